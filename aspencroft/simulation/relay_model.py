"""A model of the dissemination tree: two nodes that may be its root, a relay below them and a node below that.

Every decision is taken by the product's own ``distribution.relay.Relay``: what a pull names, what is answered, which
lease that gives. A step handles a request, delivers or loses its reply, commits a revision, acknowledges one, moves the
clock, ends a root's term, begins the next one, or restarts a node.
"""

import asyncio
import copy
import dataclasses
import datetime
import types
import typing

import logbook

from aspencroft.configuration import control_state
from aspencroft.distribution import configuration_lease, relay, updates
from aspencroft.runtime import clock

CURRENCY = clock.seconds(3)
CONTROL_LEASE = clock.seconds(1)
CLOCK_STEP_S = 1.0
FIRST_ROOT, NEXT_ROOT, RELAYING, LEAF = "a:1", "b:1", "c:1", "d:1"
PULLS = (
    (NEXT_ROOT, FIRST_ROOT),
    (FIRST_ROOT, NEXT_ROOT),
    (RELAYING, FIRST_ROOT),
    (RELAYING, NEXT_ROOT),
    (LEAF, RELAYING),
    (LEAF, NEXT_ROOT),
)
"""Who may pull from whom."""
ONE_ROOT = ((RELAYING, FIRST_ROOT), (LEAF, RELAYING))
"""The same without a second root, so that it is searched deeper."""


@dataclasses.dataclass(frozen=True)
class Budget:
    """How often each kind of event may happen in one run."""

    commits: int = 2
    clock_steps: int = 4
    terms: int = 1
    lost_replies: int = 0
    restarts: int = 0
    unfit_updates: int = 0

    def less(self, name: str) -> "Budget | None":
        """One event fewer of a kind; none when there is none left.

        Example: ``Budget(commits=0).less("commits") is None``
        """
        left = getattr(self, name)
        return dataclasses.replace(self, **{name: left - 1}) if left else None


class ModelLoop:
    """The running loop as the product's code sees it: nothing but a clock, set by hand."""

    def __init__(self) -> None:
        self.at = 0.0

    def time(self) -> float:
        """The present of the state that is looked at."""
        return self.at


class NoLink:
    """A link on which pushes are lost; the model delivers pulls itself."""

    def notify(self, address: str, message: object) -> None:
        """Nothing is delivered."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """A reply on its way: when it was asked for, of whom, and which subtree the request named."""

    parent: str
    asked: datetime.timedelta
    subtree: typing.Any
    pulled: updates.Pulled


@dataclasses.dataclass(frozen=True)
class Order:
    """A committed revision that is not acknowledged yet, and the leases that were granted when it was committed."""

    revision: control_state.Revision
    grants: tuple[tuple[str, configuration_lease.Grant], ...]


@dataclasses.dataclass
class World:
    """All nodes at one moment; what decides its future is its key."""

    now: float
    relays: dict[str, relay.Relay]
    replies: dict[str, Reply]
    root: str
    control_lease_end: datetime.timedelta
    term: int
    committed: tuple[control_state.Revision, ...]
    orders: tuple[Order, ...]
    acknowledged: control_state.Revision
    budget: Budget
    went_back: str = ""

    def key(self) -> tuple:
        """What makes it different from others; times are relative to its present."""
        return (
            tuple(relay_key(self.relays[address], self.now) for address in sorted(self.relays)),
            tuple(
                (address, reply.parent, relative(reply.asked, self.now), reply.pulled)
                for address, reply in sorted(self.replies.items())
            ),
            self.root,
            relative(self.control_lease_end, self.now),
            self.term,
            self.committed,
            tuple(
                (order.revision, tuple((name, relative(grant.end, self.now)) for name, grant in order.grants))
                for order in self.orders
            ),
            self.acknowledged,
            self.budget,
            self.went_back,
        )

    def __hash__(self) -> int:
        return hash(self.key())

    def __eq__(self, other: object) -> bool:
        return isinstance(other, World) and self.key() == other.key()


def relative(moment: datetime.timedelta, now: float) -> float:
    """A time from the present on; what is over is the same as never."""
    return max(0.0, round(moment.total_seconds() - now, 3))


def relay_key(held: relay.Relay, now: float) -> tuple:
    """What of a relay decides what it will do."""
    return (
        held.root,
        held.state.revision,
        relative(held.lease.end, now),
        held.lease.counted,
        relative(held.grants.unknown_grants_end, now),
        tuple(
            (address, relative(grant.end, now), grant.revision) for address, grant in sorted(held.grants.grants.items())
        ),
        tuple(
            (child, relative(end, now), held.subtree.subtrees[child].digest)
            for child, end in sorted(held.subtree.expiry.items())
            if child in held.subtree.subtrees
        ),
        held.acknowledged[0],
        held.acknowledged[1].digest,
    )


def fresh_relay(address: str) -> relay.Relay:
    """A relay of a node that has just started."""
    members = types.SimpleNamespace(me=types.SimpleNamespace(address=address), records={}, peers=None)
    return relay.Relay(NoLink(), members, CURRENCY)  # type: ignore[arg-type]


def clone(held: relay.Relay) -> relay.Relay:
    """An independent copy of a relay."""
    made = copy.copy(held)
    made.state = copy.copy(held.state)
    for name in ("topics", "patches", "changes", "counts"):
        setattr(made.state, name, dict(getattr(held.state, name)))
    made.counts = made.state.counts
    made.subtree = copy.copy(held.subtree)
    for name in ("expiry", "subtrees", "counted"):
        setattr(made.subtree, name, dict(getattr(held.subtree, name)))
    made.lease = copy.copy(held.lease)
    made.grants = copy.copy(held.grants)
    made.grants.grants = dict(held.grants.grants)
    made.grants.confirmed = asyncio.Event()
    return made


class RelayModel:
    """The tree under a budget of events; ``pulls`` says who may pull from whom, ``quiet`` keeps log lines away."""

    def __init__(self, budget: Budget = Budget(), pulls: tuple[tuple[str, str], ...] = PULLS):
        self.budget = budget
        self.pulls = pulls
        self.loop = ModelLoop()
        self.quiet = logbook.NullHandler()

    def present(self, world: World) -> None:
        """Make a state's present that of the product's code."""
        self.loop.at = world.now
        asyncio.events._set_running_loop(self.loop)  # type: ignore[arg-type]

    def initial(self) -> World:
        """The first root holds a first revision; nobody else holds any."""
        relays = {address: fresh_relay(address) for address in (FIRST_ROOT, NEXT_ROOT, RELAYING, LEAF)}
        first = control_state.Revision(1, 1)
        world = World(
            100.0,
            relays,
            {},
            FIRST_ROOT,
            clock.seconds(101),
            1,
            (first,),
            (),
            control_state.NEVER,
            self.budget,
        )
        with self.quiet.applicationbound():
            try:
                self.present(world)
                self.apply_committed(world)
                relays[FIRST_ROOT].root = True
            finally:
                asyncio.events._set_running_loop(None)
        return world

    def apply_committed(self, world: World) -> None:
        """Have the root hold the newest committed revision."""
        held, newest = world.relays[world.root], world.committed[-1]
        held.apply_update(
            updates.Update(updates.CONFIGURATION_TOPIC, newest, None, '{"plan": {}, "revisions": {}, "version": 1}')
        )
        held.extend_as_root(world.control_lease_end)

    def successors(self, state: typing.Hashable) -> list[tuple[str, typing.Hashable]]:
        """Each step that is possible, with the state after it."""
        world = typing.cast(World, state)
        with self.quiet.applicationbound():
            try:
                return [
                    (name, after)
                    for step in (self.requests, self.deliveries, self.orders, self.roots, self.clock_and_restarts)
                    for name, after in step(world)
                ]
            finally:
                asyncio.events._set_running_loop(None)

    def after(self, world: World, *changed: str) -> World:
        """A copy of a state in which the named nodes may change, with the product's clock at its present."""
        self.present(world)
        relays = {address: clone(held) if address in changed else held for address, held in world.relays.items()}
        return dataclasses.replace(world, relays=relays, replies=dict(world.replies))

    def requests(self, world: World) -> typing.Iterator[tuple[str, World]]:
        """A child without a reply on its way pulls, and the parent answers."""
        for child, parent in self.pulls:
            if child in world.replies or child == world.root:
                continue
            after = self.after(world, child, parent)
            asking, answering = after.relays[child], after.relays[parent]
            subtree = asking.subtree.merge(asking.state.revision)
            message = asking.make_pull(parent, subtree)
            asking.acknowledged = ("", subtree)
            pulled = answering.answer_pull(message, is_root=answering.root and parent == world.root)
            after.replies[child] = Reply(parent, clock.now(), subtree, pulled)
            yield f"{child} pulls from {parent}", after

    def deliveries(self, world: World) -> typing.Iterator[tuple[str, World]]:
        """A reply is received, received with updates that do not fit what is held, or lost."""
        lost, unfit = world.budget.less("lost_replies"), world.budget.less("unfit_updates")
        for child, reply in world.replies.items():
            yield f"{child} hears from {reply.parent}", self.received(world, child, reply)
            if unfit is not None and reply.pulled.updates:
                bare = dataclasses.replace(reply, pulled=dataclasses.replace(reply.pulled, updates=()))
                after = dataclasses.replace(self.received(world, child, bare), budget=unfit)
                yield f"{child} hears from {reply.parent} what does not fit", after
            if lost is not None:
                without = self.after(world)
                del without.replies[child]
                yield f"{child} does not hear from {reply.parent}", dataclasses.replace(without, budget=lost)

    def received(self, world: World, child: str, reply: Reply) -> World:
        """The state once a child took a reply in, as ``Relay.pull`` does."""
        after = self.after(world, child)
        del after.replies[child]
        receiving = after.relays[child]
        before = receiving.state.revision
        if not reply.pulled.subtree_unknown:
            receiving.acknowledged = (reply.parent, reply.subtree)
            receiving.apply_reply(reply.pulled, reply.asked)
        if receiving.state.revision < before:
            after.went_back = child
        return after

    def orders(self, world: World) -> typing.Iterator[tuple[str, World]]:
        """The root commits a revision, or acknowledges one that all nodes with a lease have confirmed."""
        if not world.root:
            return
        self.present(world)
        budget = world.budget.less("commits")
        if budget is not None and clock.now() < world.control_lease_end:
            after = self.after(world, world.root)
            fresh = control_state.Revision(world.term, world.committed[-1].number + 1)
            after.committed, after.budget = (*world.committed, fresh), budget
            grants = tuple(sorted(after.relays[world.root].grants.grants.items()))
            after.orders = (*world.orders, Order(fresh, grants))
            self.apply_committed(after)
            yield f"{world.root} commits {fresh.text()}", after
        for order in world.orders:
            if self.is_confirmed(world, order):
                kept = tuple(other for other in world.orders if other is not order)
                newest = max(world.acknowledged, order.revision)
                yield (
                    f"{world.root} acknowledges {order.revision.text()}",
                    dataclasses.replace(world, orders=kept, acknowledged=newest),
                )

    def is_confirmed(self, world: World, order: Order) -> bool:
        """As ``LeaseGrants.wait_until_applied``: each lease of the commit's moment is confirmed or over."""
        grants, now = world.relays[world.root].grants, clock.now()
        behind = [
            address
            for address, grant in order.grants
            if now < grant.end and grants.grants.get(address, grant).revision < order.revision and address != world.root
        ]
        return not behind and grants.unknown_grants_end <= now

    def roots(self, world: World) -> typing.Iterator[tuple[str, World]]:
        """A root renews its lease on the control group or ends its term; the other one begins once that is over."""
        self.present(world)
        if world.root:
            if world.control_lease_end < clock.now() + CONTROL_LEASE:
                after = self.after(world, world.root)
                after.control_lease_end = clock.now() + CONTROL_LEASE
                after.relays[world.root].extend_as_root(after.control_lease_end)
                yield f"{world.root} renews", after
            if world.budget.less("terms") is not None:
                after = self.after(world, world.root)
                after.relays[world.root].stop_being_root("its term ends")
                after.root, after.orders = "", ()
                yield f"{world.root} is no root any more", after
            return
        budget = world.budget.less("terms")
        if budget is not None and world.control_lease_end <= clock.now():
            after = self.after(world, NEXT_ROOT)
            after.root, after.term, after.budget = NEXT_ROOT, world.term + 1, budget
            after.control_lease_end = clock.now() + CONTROL_LEASE
            self.apply_committed(after)
            after.relays[NEXT_ROOT].become_root()
            yield f"{NEXT_ROOT} becomes the root", after

    def clock_and_restarts(self, world: World) -> typing.Iterator[tuple[str, World]]:
        """Time passes; a node that is no root starts anew."""
        budget = world.budget.less("clock_steps")
        if budget is not None:
            yield "clock step", dataclasses.replace(world, now=world.now + CLOCK_STEP_S, budget=budget)
        budget = world.budget.less("restarts")
        if budget is not None:
            for address in (RELAYING, LEAF):
                after = self.after(world)
                after.relays[address], after.budget = fresh_relay(address), budget
                after.replies.pop(address, None)
                yield f"{address} starts anew", after

    def violation(self, state: typing.Hashable) -> str | None:
        """The invariant that a state breaks: nobody steps back, nobody acts on what an acknowledged order replaced."""
        world = typing.cast(World, state)
        if world.went_back:
            return f"{world.went_back} stepped back"
        self.present(world)
        try:
            for address, held in world.relays.items():
                if held.current() and held.state.revision < world.acknowledged:
                    return f"{address} acts on {held.state.revision.text()} after {world.acknowledged.text()}"
        finally:
            asyncio.events._set_running_loop(None)
        return None
