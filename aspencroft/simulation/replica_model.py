"""A model of a group's copies: appending, repairing, taking over, dropping, enlisting, draining.

Restarts and lost disks.

The record of the replica set is one value here, and its lease one holder: that ballots and leases make it so is what
``consensus_model`` shows. A ballot may end without word of its outcome.
"""

import dataclasses
import typing

from aspencroft.consensus import replica_set
from aspencroft.replication import group_state, log_shipping, record_changes
from aspencroft.runtime import clock

GROUP = 0
NOW = clock.seconds(1)


@dataclasses.dataclass(frozen=True)
class Budget:
    """How often each kind of event may happen in one run."""

    entries: int = 2
    takeovers: int = 1
    restarts: int = 0
    lost_values: int = 0
    lost_disks: int = 0
    drops: int = 1
    enlistments: int = 0
    unknown_outcomes: int = 0
    drains: int = 0
    failed_looks: int = 0
    impatience: int = 0

    def less(self, name: str) -> "Budget | None":
        """One event fewer of a kind; none when there is none left.

        Example: ``Budget(entries=0).less("entries") is None``
        """
        left = getattr(self, name)
        return dataclasses.replace(self, **{name: left - 1}) if left else None


@dataclasses.dataclass(frozen=True)
class Scenario:
    """How many nodes have disks, how many are members at first, how many copies must hold what is answered."""

    nodes: int = 3
    members: int = 2
    copies: int = 2
    budget: Budget = Budget()


class Batch(typing.NamedTuple):
    """An entry that is being synced: under which record, and on which backups it is."""

    standing: replica_set.ReplicaSet
    entry: int
    synced: frozenset[int]


class Node(typing.NamedTuple):
    """A node's part in the group."""

    identity: int = 0
    log: tuple[int, ...] = ()
    known: replica_set.ReplicaSet | None = None
    unsure: bool = False
    leading: bool = False
    agreed: replica_set.ReplicaSet | None = None
    short: replica_set.ReplicaSet | None = None
    batch: Batch | None = None


class State(typing.NamedTuple):
    """The nodes, the record that stands, who holds the lease, who is drained, and what was acknowledged."""

    nodes: tuple[Node, ...]
    record: replica_set.ReplicaSet
    holder: int | None
    drained: frozenset[int]
    acknowledged: frozenset[int]
    budget: Budget


def identity(place: int, node: Node) -> replica_set.ReplicaId:
    """A node's name as a member.

    Example: ``identity(0, Node()).address == "m0"``
    """
    return replica_set.ReplicaId(f"m{place}", str(node.identity))


class ReplicaModel:
    """The copies of one group."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario

    def initial(self) -> State:
        """The first member leads, and its backups agree."""
        blank = [Node() for _ in range(self.scenario.nodes)]
        members = [identity(place, blank[place]) for place in range(self.scenario.members)]
        record = replica_set.ReplicaSet(GROUP, 1, members[0], tuple(members[1:]))
        nodes = [
            node._replace(known=record) if place < self.scenario.members else node for place, node in enumerate(blank)
        ]
        nodes[0] = nodes[0]._replace(leading=True, agreed=record)
        return State(tuple(nodes), record, 0, frozenset(), frozenset(), self.scenario.budget)

    def serves(self, state: State, place: int) -> bool:
        """Whether a node may act as the primary, by the product's rule."""
        node = state.nodes[place]
        lease_end = NOW + clock.seconds(1) if state.holder == place else clock.ZERO
        tenure = record_changes.Tenure(node.leading, False, lease_end, True)
        return record_changes.may_serve(tenure, node.known, identity(place, node), NOW)

    def answers(self, state: State, place: int) -> bool:
        """Whether a node may decide commands and answer reads now."""
        node = state.nodes[place]
        return (
            self.serves(state, place)
            and node.agreed == node.known
            and record_changes.has_enough_members(
                node.known, self.scenario.copies, group_state.MIN_REPLICAS, node.short
            )
        )

    def successors(self, state: State) -> typing.Iterator[tuple[str, State]]:
        """Every step that can follow."""
        if state.holder is not None:
            yield "the lease runs out", state._replace(holder=None)
        for place, node in enumerate(state.nodes):
            me = identity(place, node)
            if node.known is not None and node.known.epoch < state.record.epoch:
                yield f"m{place} hears of the record", changed(state, place, heard(node, state.record, me))
            yield from self.starts(state, place, node)
            if node.known is None:
                continue
            if node.unsure and self.serves(state, place):
                yield from self.compares(state, place, node)
            if node.known.primary == me:
                yield from self.primary_steps(state, place, node, me)
            elif me in node.known.backups and state.holder is not None and node.unsure:
                for after in self.before_takeover(state, place, node):
                    yield f"m{place} compares before it may take over", after
            elif me in node.known.backups and state.holder is None:
                for before in self.before_takeover(state, place, node):
                    fresh = record_changes.take_over(state.record, me, node.known.primary)
                    yield from self.ballot(before, place, fresh, "takes over", "takeovers")
        budget = state.budget.less("drains")
        if budget is not None:
            for place in set(range(self.scenario.nodes)) - state.drained:
                yield f"m{place} is to be drained", state._replace(drained=state.drained | {place}, budget=budget)

    def starts(self, state: State, place: int, node: Node) -> typing.Iterator[tuple[str, State]]:
        """Restarts with the disk, without its last value, or without it."""
        again = Node(node.identity, node.log, node.known, True)
        kinds = {
            "restarts": again,
            "lost_values": again._replace(log=node.log[:-1]),
            "lost_disks": Node(node.identity + 1, unsure=True),
        }
        for kind, after in kinds.items():
            budget = state.budget.less(kind)
            if budget is not None:
                yield f"m{place} starts again ({kind})", changed(state, place, after, budget=budget)

    def before_takeover(self, state: State, place: int, node: Node) -> list[State]:
        """A backup that is unsure compares first, and stays unsure.

        The old primary may acknowledge more until its lease ends.
        """
        if not node.unsure:
            return [state]
        return [
            changed(
                state, place, after.nodes[place]._replace(unsure=not log_shipping.is_comparison_final(leading=False))
            )
            for _, after in self.compares(state, place, node)
        ]

    def compares(self, state: State, place: int, node: Node) -> typing.Iterator[tuple[str, State]]:
        """After a start: take what any other member of the record holds beyond this copy.

        Members that lost theirs say so.
        """
        others = [one for one in node.known.members() if one != identity(place, node)]
        lost = 0
        for other, peer in enumerate(state.nodes):
            if identity(other, peer) in others and peer.known == node.known:
                longer = peer.log if len(peer.log) > len(node.log) else node.log
                yield (
                    f"m{place} takes what m{other} holds",
                    changed(state, place, node._replace(log=longer, unsure=False)),
                )
            lost += any(one.address == f"m{other}" and one != identity(other, peer) for one in others)
        if lost == len(others):
            yield f"m{place} is alone", changed(state, place, node._replace(unsure=False))
        budget = state.budget.less("impatience")
        if budget is not None:
            # ``START_WAIT`` is over: it goes on with what its disk holds, whatever the others would have said.
            yield f"m{place} waits no longer", changed(state, place, node._replace(unsure=False), budget=budget)

    def primary_steps(
        self, state: State, place: int, node: Node, me: replica_set.ReplicaId
    ) -> typing.Iterator[tuple[str, State]]:
        """What the primary of the newest known record does."""
        if not node.leading:
            if state.holder in (None, place) and state.record == node.known:
                leading = node._replace(leading=True, agreed=None, short=None, batch=None)
                yield f"m{place} leads", changed(state, place, leading, holder=place)
            return
        if not self.serves(state, place):
            return
        if not node.unsure and node.batch is None:
            yield from self.agrees(state, place, node)
        for backup in node.known.backups:
            fresh = record_changes.without_backups(state.record, me, {backup})
            yield from self.ballot(state, place, fresh, f"drops {backup.address}", "drops")
        if node.agreed != node.known:
            return
        yield from self.batches(state, place, node)
        if node.batch is None:
            yield from self.membership(state, place, node, me)

    def agrees(self, state: State, place: int, node: Node) -> typing.Iterator[tuple[str, State]]:
        """All backups of the record become the same as the primary."""
        backups = {one.address: one for one in node.known.backups}
        nodes = list(state.nodes)
        for other, peer in enumerate(state.nodes):
            named = backups.pop(f"m{other}", None)
            if named is None:
                continue
            if named != identity(other, peer) or peer.leading or newer(peer.known, node.known):
                return
            nodes[other] = peer._replace(log=node.log, known=node.known, unsure=False)
        nodes[place] = node._replace(agreed=node.known)
        yield f"m{place} makes its backups agree", state._replace(nodes=tuple(nodes))

    def batches(self, state: State, place: int, node: Node) -> typing.Iterator[tuple[str, State]]:
        """An entry is decided, synced by one backup after the other, and acknowledged."""
        batch = node.batch
        if batch is None:
            budget = state.budget.less("entries")
            if budget is not None and node.known.backups and self.answers(state, place):
                entry = self.scenario.budget.entries - budget.entries
                fresh = node._replace(log=(*node.log, entry), batch=Batch(node.known, entry, frozenset()))
                yield f"m{place} decides {entry}", changed(state, place, fresh, budget=budget)
            return
        backups = {int(one.address[1:]) for one in batch.standing.backups}
        for other in backups - batch.synced:
            peer = state.nodes[other]
            fits = identity(other, peer) in batch.standing.backups and peer.log == node.log[:-1]
            if fits and not newer(peer.known, batch.standing):
                synced = state.nodes[other]._replace(log=node.log, known=batch.standing, unsure=False)
                told = node._replace(batch=batch._replace(synced=batch.synced | {other}))
                after = changed(changed(state, other, synced), place, told)
                yield f"m{other} syncs {batch.entry}", after
        if batch.synced == backups and node.known == batch.standing:
            done = changed(state, place, node._replace(batch=None))
            yield f"m{place} acknowledges {batch.entry}", done._replace(acknowledged=state.acknowledged | {batch.entry})
        else:
            yield f"m{place} gives the batch up", changed(state, place, node._replace(batch=None, agreed=None))

    def membership(
        self, state: State, place: int, node: Node, me: replica_set.ReplicaId
    ) -> typing.Iterator[tuple[str, State]]:
        """Members are taken in, leave, or take the primary's place."""
        members = {int(one.address[1:]) for one in node.known.members()}
        for other in set(range(self.scenario.nodes)) - members - state.drained:
            peer = state.nodes[other]
            prepared = changed(state, other, peer._replace(log=node.log, known=node.known, unsure=False))
            fresh = record_changes.with_backup(state.record, me, identity(other, peer))
            yield from self.ballot(prepared, place, fresh, f"enlists m{other}", "enlistments")
        staying = members - state.drained
        if place in state.drained:
            for heir in node.known.backups:
                if int(heir.address[1:]) in staying:
                    fresh = record_changes.transfer_leadership(state.record, me, heir)
                    yield from self.ballot(state._replace(holder=None), place, fresh, "hands over", None)
        elif record_changes.may_leave(len(staying), len(members), self.scenario.copies):
            gone = {one for one in node.known.backups if int(one.address[1:]) not in staying}
            fresh = record_changes.without_backups(state.record, me, gone)
            yield from self.ballot(state, place, fresh, "lets drained members go", None)
        budget = state.budget.less("failed_looks")
        if budget is not None and not self.answers(state, place):
            yield f"m{place} finds no other disk", changed(state, place, node._replace(short=node.known), budget=budget)

    def ballot(
        self, state: State, place: int, fresh: replica_set.ReplicaSet, name: str, cost: str | None
    ) -> typing.Iterator[tuple[str, State]]:
        """A ballot that records a change, or that ends without word of it: then a tenure is over."""
        budget = state.budget if cost is None else state.budget.less(cost)
        if fresh == state.record or budget is None:
            return
        node = state.nodes[place]
        state = state._replace(record=fresh, budget=budget)
        learnt = heard(node, fresh, identity(place, node))
        if fresh.primary == identity(place, node) and node.leading and name.startswith("enlists"):
            learnt = learnt._replace(agreed=fresh)
        yield f"m{place} {name}", changed(state, place, learnt)
        unknown = budget.less("unknown_outcomes")
        if unknown is not None:
            ended = node._replace(leading=False, agreed=None, batch=None)
            yield f"m{place} {name}, without word of it", changed(state, place, ended, budget=unknown)

    def losses(self, state: State) -> int:
        """How many copies were lost or left out so far; a group that was not made whole since bears fewer."""
        given, left = self.scenario.budget, state.budget
        kinds = ("lost_disks", "takeovers", "drops")
        return sum(getattr(given, kind) - getattr(left, kind) for kind in kinds)

    def violation(self, state: State) -> str | None:
        """The invariant that a state breaks."""
        for place, node in enumerate(state.nodes):
            if self.answers(state, place) and not state.acknowledged <= set(node.log):
                return f"m{place} serves without what was acknowledged: {sorted(state.acknowledged - set(node.log))}"
        if not state.acknowledged or self.losses(state) >= self.scenario.copies:
            return None
        holders = [
            place
            for place, node in enumerate(state.nodes)
            if identity(place, node) in state.record.members() and state.acknowledged <= set(node.log)
        ]
        return None if holders else "no member holds what was acknowledged"


def changed(state: State, place: int, node: Node, **others) -> State:
    """The state with one node changed."""
    return state._replace(nodes=(*state.nodes[:place], node, *state.nodes[place + 1 :]), **others)


def newer(known: replica_set.ReplicaSet | None, standing: replica_set.ReplicaSet) -> bool:
    """Whether a node knows a newer record, and so refuses the sender of this one."""
    return known is not None and known.epoch > standing.epoch


def heard(node: Node, record: replica_set.ReplicaSet, me: replica_set.ReplicaId) -> Node:
    """A node that learns a record: its tenure ends when it is primary no more."""
    if record.primary == me:
        return node._replace(known=record)
    return node._replace(known=record, leading=False, agreed=None, short=None, batch=None)
