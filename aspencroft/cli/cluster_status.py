"""The state of a cluster as its nodes tell it, and what of it an engineer on call has to look at."""

import collections.abc
import dataclasses

import msgspec

LIVE = "live"
LEAVING = "leaving"
CONTROL_GROUP = "0"
SERVING = "serving"


class PlanStatus(msgspec.Struct):
    """The configuration that a node holds."""

    revision: str
    current: bool
    root: bool

    def __post_init__(self) -> None:
        """A revision that is no pair of numbers makes the whole status one that cannot be decoded."""
        self.order()

    def order(self) -> tuple[int, int]:
        """The revision as numbers that can be compared."""
        epoch, _, number = self.revision.partition(".")
        return int(epoch), int(number)


class MemberStatus(msgspec.Struct):
    """A member of the cluster as another node sees it."""

    address: str
    state: str
    area: str
    role: str
    http: str


class ReplicaSetStatus(msgspec.Struct):
    """The newest record of a group's members that a node knows."""

    epoch: int
    primary: str
    backups: list[str]


class ReplicaStatus(msgspec.Struct):
    """A node's own replica of a group."""

    why: str
    claimed: bool


class WitnessStatus(msgspec.Struct):
    """A node's own part in agreement."""

    voting: bool
    why: str
    roster: list[str]


class QuorumStatus(msgspec.Struct):
    """Which voters a node takes for live."""

    live: list[str]
    missing: list[str]
    losses_left: int
    means: str


class FaultStatus(msgspec.Struct, rename={"standing_tasks": "standing tasks"}):
    """Faults that a node counted since its start."""

    outside: dict[str, int]
    standing_tasks: dict[str, int]


class NodeStatus(msgspec.Struct):
    """What a node's ``/status`` says, as far as it is looked at here."""

    address: str
    area: str
    role: str
    leaving: bool
    plan: PlanStatus
    witness: WitnessStatus
    quorum: QuorumStatus
    fellows: list[MemberStatus]
    holders: dict[str, ReplicaSetStatus]
    pairs: dict[str, ReplicaStatus]
    faults: FaultStatus
    suspected: list[str] = []
    copies: int = 2
    unmet_bounds: list[str] = []


def group_name(group_id: str) -> str:
    """A group as people speak of it.

    Example: ``group_name("0") == "control group"``
    """
    return "control group" if group_id == CONTROL_GROUP else f"session group {group_id}"


@dataclasses.dataclass(frozen=True)
class ClusterStatus:
    """What the asked node says, what the other members said, and which of those did not answer."""

    asked: NodeStatus
    others: tuple[NodeStatus, ...]
    silent: tuple[str, ...]

    def nodes(self) -> tuple[NodeStatus, ...]:
        """All nodes that answered."""
        return (self.asked, *self.others)

    def replica_sets(self) -> dict[str, ReplicaSetStatus]:
        """The newest record of each group that any node knows."""
        newest: dict[str, ReplicaSetStatus] = {}
        for node in self.nodes():
            for group_id, record in node.holders.items():
                if group_id not in newest or record.epoch > newest[group_id].epoch:
                    newest[group_id] = record
        return dict(sorted(newest.items(), key=lambda item: (len(item[0]), item[0])))

    def primary_replica(self, group_id: str, record: ReplicaSetStatus) -> ReplicaStatus | None:
        """A group's primary as its own node tells of it; none if that did not answer."""
        found = (node.pairs.get(group_id) for node in self.nodes() if node.address == record.primary)
        return next(found, None)

    def newest_revision(self) -> PlanStatus:
        """The newest configuration that any node holds."""
        return max((node.plan for node in self.nodes()), key=PlanStatus.order)

    def problems(self) -> list[str]:
        """What is wrong, the worst first; nothing for a whole cluster."""
        return [
            *self.quorum_problems(),
            *self.group_problems(),
            *self.member_problems(),
            *self.configuration_problems(),
        ]

    def quorum_problems(self) -> collections.abc.Iterator[str]:
        """Voters that are lost or blank."""
        quorum = self.asked.quorum
        if quorum.losses_left < 0:
            yield f"majority of voters lost: {', '.join(quorum.missing)} missing; {quorum.means}"
        elif quorum.missing:
            yield f"voters missing: {', '.join(quorum.missing)}; {quorum.losses_left} more may be lost"
        for node in self.nodes():
            if node.address in self.asked.witness.roster and not node.witness.voting:
                yield f"voter {node.address} does not vote: {node.witness.why}"

    def group_problems(self) -> collections.abc.Iterator[str]:
        """Groups without a primary that serves, or with too few replicas."""
        for group_id, record in self.replica_sets().items():
            name, primary = group_name(group_id), self.primary_replica(group_id, record)
            members = 1 + len(record.backups)
            if primary is None:
                yield f"{name}: its primary {record.primary} does not answer"
            elif not primary.claimed:
                yield f"{name}: no primary, {record.primary} has no lease: {primary.why}"
            elif primary.why != SERVING:
                yield f"{name}: primary {record.primary} does not serve: {primary.why}"
            if members < self.asked.copies:
                yield f"{name}: {members} of {self.asked.copies} replicas"
        if not self.replica_sets():
            yield "no group is known yet"

    def member_problems(self) -> collections.abc.Iterator[str]:
        """Members that are down, suspected or leaving, or whose HTTP interface is silent."""
        suspecting: dict[str, list[str]] = {}
        for node in self.nodes():
            for address in node.suspected:
                suspecting.setdefault(address, []).append(node.address)
        for member in self.asked.fellows:
            if member.state != LIVE:
                yield f"member {member.address} ({member.role}) is {member.state}"
            elif member.address in suspecting:
                yield f"member {member.address} ({member.role}) is suspected by {', '.join(suspecting[member.address])}"
        for address in self.silent:
            yield f"member {address} does not answer over HTTP"

    def configuration_problems(self) -> collections.abc.Iterator[str]:
        """Nodes behind the newest configuration or without a lease on theirs, and settings that cannot be met."""
        newest = self.newest_revision()
        for node in self.nodes():
            if node.plan.order() < newest.order():
                yield f"{node.address} holds configuration {node.plan.revision}, the newest is {newest.revision}"
            if not node.plan.current:
                yield f"{node.address} has no lease on its configuration"
            for text in node.unmet_bounds:
                yield f"{node.address} cannot meet its time bounds: {text}"
