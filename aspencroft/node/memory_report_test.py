"""Tests of the memory report: when it warns, and what it names."""

import dataclasses
import pathlib

import logbook

from aspencroft.node import memory_report
from aspencroft.replication import replica
from aspencroft.runtime import process_memory

LIMIT = 100_000_000


@dataclasses.dataclass
class FakeCopy:
    """A replica that holds given figures."""

    held: replica.ReplicaMemory

    def memory(self) -> replica.ReplicaMemory:
        return self.held


@dataclasses.dataclass
class FakeIncoming:
    """A snapshot that is being received."""

    size: int


@dataclasses.dataclass
class FakeHost:
    """A node's part in a group."""

    status_reason: str
    replica: FakeCopy
    incoming: FakeIncoming


def report_of(resident: list[int], limit: int = LIMIT) -> memory_report.MemoryReport:
    """A report over one group whose process holds, look after look, so many bytes."""
    host = FakeHost(
        "serving", FakeCopy(replica.ReplicaMemory(8_000_000, 1_200_000, 90, 9_000_000, 3100)), FakeIncoming(0)
    )
    readings = iter(resident)
    return memory_report.MemoryReport({2: host}, limit, lambda: next(readings))


def warnings(report: memory_report.MemoryReport, looks: int) -> list[str]:
    """What so many looks log."""
    with logbook.TestHandler() as handler:
        for _ in range(looks):
            report.look()
    return [record.message for record in handler.records]


def test_it_warns_at_the_share_of_the_limit_and_again_with_each_step_only():
    told = warnings(report_of([69_000_000, 70_000_000, 74_000_000, 75_000_000, 60_000_000, 76_000_000]), 6)
    assert [text.split(" MB")[0] for text in told] == ["70.0 of 100.0", "75.0 of 100.0"]


def test_a_warning_names_what_each_group_holds_and_the_node_s_part_in_it():
    (told,) = warnings(report_of([90_000_000]), 1)
    assert "2 serving: snapshot 8.0 journal 1.2 (90) state 9.0 (3100) incoming 0.0" in told


def test_without_a_known_limit_nothing_is_said():
    assert warnings(report_of([900_000_000], limit=0), 1) == []


def test_samples_tell_the_same_figures():
    found = {(one.name, *(label.value for label in one.labels)): one.value for one in report_of([5]).samples()}
    assert found[("aspencroft_memory_resident_bytes",)] == 5
    assert found[("aspencroft_memory_limit_bytes",)] == LIMIT
    assert found[("aspencroft_group_state_bytes", "2")] == 9_000_000


def test_resident_memory_is_what_the_kernel_tells_and_zero_where_it_does_not():
    assert process_memory.resident_bytes() > 1 << 20
    assert process_memory.resident_bytes(pathlib.Path("/nowhere")) == 0
