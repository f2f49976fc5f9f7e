"""A node's part in one group: its copy, the newest replica set it knows, its claim."""

import asyncio
import collections.abc
import dataclasses
import datetime

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import record_changes, replica
from aspencroft.runtime import clock
from aspencroft.transport import codec, connections

LOG = logbook.Logger("replication.group_state")
REPLY = clock.seconds(0.6)
RETRY = clock.seconds(0.15)
COME_BACK = clock.seconds(1)
DOUBT = clock.seconds(5)
LEAST = 2


class Deposed(Exception):
    """This node is no longer what it was in the group."""


class DiskStalled(OSError):
    """A write to this node's disk has not come back for long."""


@dataclasses.dataclass(frozen=True)
class GroupPolicy:
    """What a part is told by its node: who could hold copies, who is to hold none, who is gone.

    Whom to tell of records.

    ``copies`` is how many disks must hold what is answered, ``goal`` how many members the group is to have; ``records``
    are the newest records known here of all groups, ``payload_limit`` is how many bytes of callers' the group may hold.
    """

    candidates: collections.abc.Callable[[], tuple[replica_placement.Candidate, ...]]
    is_drained: collections.abc.Callable[[str], bool]
    publish: collections.abc.Callable[[replica_set.ReplicaSet], None]
    gone: collections.abc.Callable[[str], bool]
    copies: int
    goal: collections.abc.Callable[[], int]
    records: collections.abc.Callable[[], tuple[replica_set.ReplicaSet, ...]]
    payload_limit: collections.abc.Callable[[], int]


class GroupState:
    """What all rooms of a node's part in a group share."""

    def __init__(
        self,
        held: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        around: GroupPolicy,
    ):
        self.replica = held
        self.group_id = held.group_id
        self.link = links
        self.proposer = voters
        self.address = address
        self.area = area
        self.around = around
        self.known: replica_set.ReplicaSet | None = None
        self.chosen: proposer.ChosenValue | None = None
        self.chosen_record: replica_set.ReplicaSet | None = None
        self.lease_end = clock.ZERO
        self.leading = False
        self.handing_over = False
        self.moving: replica_set.ReplicaId | None = None
        self.heard = clock.ZERO
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.balloting = asyncio.Lock()
        self.committed = asyncio.Event()
        self.doubted: dict[str, datetime.timedelta] = {}
        self.counts = {
            "takeovers": 0,
            "recruits": 0,
            "batches": 0,
            "entries": 0,
            "taken at start": 0,
            "disk failures": 0,
            "moves": 0,
            "released": 0,
        }
        self.status_reason = "starting"
        self.unsure = True
        self.patience_end = clock.ZERO

    def me(self) -> replica_set.ReplicaId:
        """This node's member name in the group."""
        return replica_set.ReplicaId(self.address, self.replica.identity)

    def learn(self, fresh: replica_set.ReplicaSet) -> None:
        """Hear of a replica set from anywhere; only a newer epoch counts."""
        if self.known is None or fresh.epoch > self.known.epoch:
            self.known = fresh
            self.changed.set()
            self.around.publish(fresh)

    def has_lease(self) -> bool:
        """Whether this node may act as the primary at this moment."""
        tenure = record_changes.Tenure(self.leading, self.handing_over, self.lease_end, self.knows_chosen())
        return record_changes.may_serve(tenure, self.known, self.me(), clock.now())

    def knows_chosen(self) -> bool:
        """Whether the newest record known here is the very one under which this node asks for its lease.

        A witness may tell of a record that few accepted. Who served under it would leave out a backup that the chosen
        record names, and that may take over.
        """
        return self.chosen is not None and self.chosen_record == self.known

    def check_tenure(self) -> None:
        """Stop at once when the newest record names another primary."""
        if self.known.primary != self.me():
            raise Deposed(f"epoch {self.known.epoch}")

    def check_disk(self) -> None:
        """Stop at once when this disk has held a write up for long: a backup whose disk works can serve instead."""
        if self.replica.storage.is_stalled():
            raise DiskStalled(f"group {self.group_id}: a write has not come back for long")

    def staying(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained nor about to stop, nor giving their place to a better one."""
        return tuple(one for one in self.remaining() if one != self.moving)

    def remaining(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained nor about to stop."""
        return tuple(one for one in self.known.members() if not self.around.is_drained(one.address))

    def doubt(self, address: str) -> None:
        """Try a node that failed last for a while, whatever membership thinks of it."""
        self.doubted[address] = clock.now() + DOUBT

    def doubts(self, address: str) -> bool:
        """Whether a node failed lately."""
        return self.doubted.get(address, clock.ZERO) > clock.now()

    async def ballot(
        self, function: collections.abc.Callable[[replica_set.ReplicaSet], replica_set.ReplicaSet]
    ) -> proposer.ChosenValue:
        """One ballot on the replica set; what it chose is known from then on.

        Witnesses may have told of a record that was accepted by few and never chosen. Where the chosen one bears no
        higher epoch, it is given the next one, so that it is the newer one for everybody.
        """

        def change(value: bytes) -> bytes:
            standing = proposer.replica_set_of(value)
            if standing is None:
                raise result.RequestError(result.ResultCode.WITNESS_BLANK, detail="no record of holders yet")
            return codec.tagged(record_changes.distinct(function(standing), self.known))

        async with self.balloting:
            chosen = await self.proposer.change(self.group_id, str(self.me()), change)
            fresh = proposer.replica_set_of(chosen.value)
            if self.me() in fresh.members():
                await self.replica.persist_record(fresh)
            if fresh.primary == self.me():
                self.chosen, self.chosen_record = chosen, fresh
            self.learn(fresh)
            return chosen
