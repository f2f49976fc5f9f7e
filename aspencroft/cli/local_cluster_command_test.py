"""Tests of ``aspencroft.cli.local_cluster_command``."""

import dataclasses
import json

from aspencroft.cli import local_cluster_command
from aspencroft.emulator import caller


def test_the_check_reads_a_written_history_and_sees_a_dropped_answer():
    noted = caller.Noted("chat", "r1", "", "", 0, "", "unknown", -1, "", 0, 0, "h:1", 1.0, 3.0)
    history = {
        "noted": [dataclasses.asdict(noted)],
        "seen": [],
        "ran": {},
        "put_out": {},
        "document": {"lanes": {}},
        "leaving": {},
        "told": [],
        "allowed": [],
        "writes": [],
        "reads": [],
        "rolled": [],
        "runs": [],
    }
    assert local_cluster_command.violations_in(json.loads(json.dumps(history))) == []
    assert (
        len(local_cluster_command.violations_in(json.loads(json.dumps({**history, "rolled": [(2.0, 4.0, "h:1")]}))))
        == 1
    )
    assert local_cluster_command.violations_in({**history, "rolled": [(4.0, 5.0, "h:1")]}) == []
