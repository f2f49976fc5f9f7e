"""Tests of ``aspencroft.cli.cluster_status`` and of the commands that show it."""

import copy
import json

import hypothesis
import hypothesis.strategies
import msgspec
import pytest

from aspencroft.cli import cluster_status, operator_command

NODES = ("a:1", "b:1", "c:1")
LEAVES = hypothesis.strategies.one_of(
    hypothesis.strategies.none(),
    hypothesis.strategies.booleans(),
    hypothesis.strategies.integers(),
    hypothesis.strategies.text(max_size=8),
    hypothesis.strategies.just([]),
    hypothesis.strategies.just({}),
)


def document(address: str) -> dict:
    """A node's status as it is when all is well; ``a:1`` is primary of both groups."""
    is_primary = address == "a:1"
    return {
        "address": address,
        "area": "north",
        "role": "core",
        "leaving": False,
        "plan": {"revision": "3.7", "current": True, "root": is_primary, "parent": None, "children": []},
        "witness": {"voting": True, "why": "voting", "roster": list(NODES), "roster_number": 5},
        "quorum": {"live": list(NODES), "missing": [], "losses_left": 1, "means": ""},
        "fellows": [
            {"address": node, "state": "live", "area": "north", "role": "core", "http": f"{node}0", "disk": True}
            for node in NODES
        ],
        "suspected": [],
        "copies": 2,
        "holders": {group: {"epoch": 4, "primary": "a:1", "backups": ["b:1"]} for group in ("0", "1")},
        "pairs": {
            group: {"why": "serving" if is_primary else "backup", "claimed": is_primary, "sequence": 9}
            for group in ("0", "1")
        },
        "faults": {"outside": {}, "standing tasks": {}},
        "unmet_bounds": [],
    }


def cluster(*silent: str, **changed) -> cluster_status.ClusterStatus:
    """The cluster as ``c:1`` is asked; changes are made to copies of the nodes' documents, by address."""
    found = {}
    for node in NODES:
        shown = document(node)
        changed.get(node.split(":")[0], lambda _: None)(shown)
        found[node] = msgspec.json.decode(json.dumps(shown), type=cluster_status.NodeStatus)
    others = tuple(found[node] for node in ("a:1", "b:1") if node not in silent)
    return cluster_status.ClusterStatus(found["c:1"], others, silent)


def test_a_whole_cluster_has_no_problem():
    assert cluster().problems() == []
    assert operator_command.status_screen(cluster(), {}, {}, {}).startswith("no problem is known")


def lose_lease(shown: dict) -> None:
    shown["pairs"]["1"].update(claimed=False, why="no majority of witnesses grants the lease")


def lose_backup(shown: dict) -> None:
    shown["holders"]["1"].update(epoch=5, backups=[])
    shown["pairs"]["1"].update(why="no backup")


def lose_voters(shown: dict) -> None:
    shown["quorum"] = {"live": ["c:1"], "missing": ["a:1", "b:1"], "losses_left": -1, "means": "nothing decides"}


def miss_a_voter(shown: dict) -> None:
    shown["quorum"] = {"live": ["b:1", "c:1"], "missing": ["a:1"], "losses_left": 0, "means": ""}


def be_blank(shown: dict) -> None:
    shown["witness"].update(voting=False, why="waiting out claims")


def be_behind(shown: dict) -> None:
    shown["plan"].update(revision="3.6", current=False)


def see_leaving(shown: dict) -> None:
    shown["fellows"][1]["state"] = "leaving"


def suspect(shown: dict) -> None:
    shown["suspected"] = ["a:1"]


def miss_bounds(shown: dict) -> None:
    shown["unmet_bounds"] = ["takeover (9 s) <= contact (3 s)"]


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"a": lose_lease}, "session group 1: no primary, a:1 has no lease: no majority of witnesses grants the lease"),
        ({"a": lose_backup}, "session group 1: primary a:1 does not serve: no backup"),
        ({"a": lose_backup}, "session group 1: 1 of 2 replicas"),
        ({"c": lose_voters}, "majority of voters lost: a:1, b:1 missing; nothing decides"),
        ({"c": miss_a_voter}, "voters missing: a:1; 0 more may be lost"),
        ({"b": be_blank}, "voter b:1 does not vote: waiting out claims"),
        ({"b": be_behind}, "b:1 holds configuration 3.6, the newest is 3.7"),
        ({"b": be_behind}, "b:1 has no lease on its configuration"),
        ({"c": see_leaving}, "member b:1 (core) is leaving"),
        ({"b": suspect}, "member a:1 (core) is suspected by b:1"),
        ({"a": miss_bounds}, "a:1 cannot meet its time bounds: takeover (9 s) <= contact (3 s)"),
    ],
)
def test_each_problem_is_told_with_who_and_why(changed, expected):
    assert expected in cluster(**changed).problems()


def test_a_primary_that_does_not_answer_is_told():
    problems = cluster("a:1").problems()
    assert "control group: its primary a:1 does not answer" in problems
    assert "member a:1 does not answer over HTTP" in problems


def test_revisions_are_compared_as_numbers():
    problems = cluster(b=lambda shown: shown["plan"].update(revision="3.10")).problems()
    assert sorted(problems) == [
        "a:1 holds configuration 3.7, the newest is 3.10",
        "c:1 holds configuration 3.7, the newest is 3.10",
    ]


def paths(value, path=()):
    """All places in a document."""
    yield path
    children = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in children:
        yield from paths(child, (*path, key))


PLACES = [path for path in paths(document("a:1")) if path]


@hypothesis.settings(deadline=None, derandomize=True, database=None, max_examples=400)
@hypothesis.given(hypothesis.strategies.sampled_from(PLACES), LEAVES, hypothesis.strategies.booleans())
def test_a_status_with_anything_anywhere_is_shown_or_refused_in_one_line(path, leaf, is_removed):
    shown = copy.deepcopy(document("c:1"))
    holder = shown
    for key in path[:-1]:
        holder = holder[key]
    if is_removed:
        del holder[path[-1]]
    else:
        holder[path[-1]] = leaf
    try:
        asked = operator_command.decode_status("c:10", json.dumps(shown).encode())
    except SystemExit as end:
        assert "c:10 gave no status of a node" in str(end.code) and "\n" not in str(end.code)
        return
    found = cluster_status.ClusterStatus(asked, (), ())
    assert operator_command.status_screen(found, {}, {}, {})


@pytest.mark.parametrize("revision", ["", "7", "a.b", "3.", "3.7.1", "3.x"])
def test_a_revision_that_is_no_pair_of_numbers_is_refused_in_one_line(revision):
    shown = document("c:1")
    shown["plan"]["revision"] = revision
    with pytest.raises(SystemExit, match="gave no status of a node"):
        operator_command.decode_status("c:10", json.dumps(shown).encode())


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@hypothesis.given(hypothesis.strategies.binary(max_size=60))
def test_bytes_that_are_no_status_are_refused_in_one_line(body):
    with pytest.raises(SystemExit, match="gave no status of a node"):
        operator_command.decode_status("c:10", body)
