"""What a node's memory goes to: resident bytes, and what each replica on it holds; a warning near the limit."""

import collections.abc
import dataclasses

import logbook

from aspencroft.replication import group_replica, replica
from aspencroft.runtime import clock, process_memory
from aspencroft.tracing import sample

LOG = logbook.Logger("node.memory_report")
CHECK_PERIOD = clock.seconds(1)
WARN_SHARE = 0.7
"""Share of the limit from which on warnings are logged."""
STEP_SHARE = 0.05
"""Share of the limit by which memory has to grow for the next warning."""
MEGABYTE = 1e6


@dataclasses.dataclass(frozen=True)
class GroupMemory:
    """What one group's replica holds on this node, and the part that the node plays in the group."""

    group: int
    part: str
    held: replica.ReplicaMemory
    incoming_bytes: int
    payload_limit: int = 0

    def text(self) -> str:
        """The figures as one part of a log line, in megabytes."""
        held = self.held
        return (
            f"{self.group} {self.part}: snapshot {held.snapshot_bytes / MEGABYTE:.1f} "
            f"journal {held.journal_bytes / MEGABYTE:.1f} ({held.journal_entries}) "
            f"state {held.state_bytes / MEGABYTE:.1f} ({held.state_entries}) "
            f"incoming {self.incoming_bytes / MEGABYTE:.1f} "
            f"limit {self.payload_limit / MEGABYTE:.1f}"
        )


class MemoryReport:
    """Looks at the process's memory and warns as it nears its limit (bytes; 0 where none is known)."""

    def __init__(
        self,
        hosts: dict[int, group_replica.GroupReplica],
        limit: int,
        resident: collections.abc.Callable[[], int] = process_memory.resident_bytes,
        payload_limit: collections.abc.Callable[[int], int] = lambda group: 0,
    ):
        self.group_replicas = hosts
        self.limit = limit
        self.resident = resident
        self.payload_limit = payload_limit
        self.warned_at = 0
        self.sections: dict[str, collections.abc.Callable[[], str]] = {}
        """Texts of what else a program of this node holds, by name."""

    def groups(self) -> tuple[GroupMemory, ...]:
        """What each replica on this node holds."""
        return tuple(
            GroupMemory(group, held.status_reason, held.replica.memory(), held.incoming.size, self.payload_limit(group))
            for group, held in self.group_replicas.items()
        )

    def look(self) -> None:
        """Warn when memory passed the first share of the limit, and again with each further step."""
        resident = self.resident()
        due = max(WARN_SHARE * self.limit, self.warned_at + STEP_SHARE * self.limit)
        if not self.limit or resident < due:
            return
        self.warned_at = resident
        LOG.warning(
            "{:.1f} of {:.1f} MB in use; groups: {}{}",
            resident / MEGABYTE,
            self.limit / MEGABYTE,
            "; ".join(group.text() for group in self.groups()),
            "".join(f"; {name}: {text()}" for name, text in self.sections.items()),
        )

    def samples(self) -> list[sample.Sample]:
        """The same figures as samples, for the operator's view and alert rules."""
        found = [
            sample.sample("aspencroft_memory_resident_bytes", self.resident()),
            sample.sample("aspencroft_memory_limit_bytes", self.limit),
        ]
        for one in self.groups():
            group = str(one.group)
            found.append(sample.sample("aspencroft_group_state_bytes", one.held.state_bytes, pair=group))
            found.append(sample.sample("aspencroft_group_payload_limit_bytes", one.payload_limit, pair=group))
            found.append(sample.sample("aspencroft_group_snapshot_bytes", one.held.snapshot_bytes, pair=group))
            found.append(sample.sample("aspencroft_group_journal_bytes", one.held.journal_bytes, pair=group))
        return found

    async def run(self) -> None:
        """Look again and again."""
        while True:
            self.look()
            await clock.sleep(CHECK_PERIOD)
