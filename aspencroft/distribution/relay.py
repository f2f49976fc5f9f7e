"""Delivery: a tree of relays that nodes form, news down, confirmations up, and claims on currency."""

import asyncio
import dataclasses
import datetime
import hashlib
import json

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import configuration_transfer, updates
from aspencroft.errors import result
from aspencroft.membership import failure_detector
from aspencroft.runtime import clock
from aspencroft.transport import connections

LOG = logbook.Logger("distribution.relay")
BRANCHES = 4
PULL = clock.seconds(0.4)
ASK = clock.seconds(0.8)
SHUN = clock.seconds(2)
STALE = clock.seconds(0.8)
CHILD = clock.seconds(2)
DELTAS = 64
SPARE_PARENTS = 9
STEP_BYTES = 256 << 10


def parent_of(address: str, root: str, order: tuple[str, ...]) -> str:
    """A node's parent in the tree that the ring's order spans from the root.

    Example: ``parent_of("b", "a", ("a", "b", "c")) == "a"``
    """
    line = [root, *[one for one in order if one != root]]
    if address not in line:
        return root
    return line[max(0, (line.index(address) - 1) // BRANCHES)]


def depth_of(address: str, root: str, order: tuple[str, ...]) -> int:
    """How many relays a node is below the root; one for a node that the order does not name.

    Example: ``depth_of("b", "a", ("a", "b", "c")) == 1``
    """
    if address == root:
        return 0
    if address not in order:
        return 1
    place, depth = order.index(address), 0
    place += 1 - (root in order and order.index(root) < place)
    while place > 0:
        place, depth = (place - 1) // BRANCHES, depth + 1
    return depth


@dataclasses.dataclass(frozen=True)
class Grant:
    """What the root knows of a node: until when it may act on a plan, and which one it confirmed."""

    end: datetime.timedelta
    revision: control_state.Revision


@dataclasses.dataclass(frozen=True)
class Subtree:
    """A node and all below it with the revisions that they confirmed, and the digest of that."""

    nodes: dict[str, control_state.Revision]
    digest: bytes


def subtree_of(nodes: dict[str, control_state.Revision]) -> Subtree:
    """A subtree with its digest.

    Example: ``subtree_of({}) == subtree_of({})``
    """
    lines = (f"{address} {revision.text()}" for address, revision in sorted(nodes.items()))
    return Subtree(nodes, hashlib.blake2b("\n".join(lines).encode(), digest_size=16).digest())


def names_digest(names: tuple[str, ...]) -> bytes:
    """The digest of sorted names."""
    return hashlib.blake2b("\n".join(names).encode(), digest_size=16).digest()


NOBODY = names_digest(())


class Relay:
    """A node's place in the tree: what it knows, its parent, its children, its claim on currency."""

    def __init__(
        self, links: connections.Link, members: failure_detector.FailureDetector, currency: datetime.timedelta
    ):
        self.link = links
        self.currency = currency
        self.failure_detector = members
        self.address = members.me.address
        self.topics: dict[str, updates.Update] = {}
        self.deltas: dict[control_state.Revision, updates.Update] = {}
        self.wholes = configuration_transfer.CompleteConfigurations()
        self.partial = configuration_transfer.PartialConfiguration()
        self.document: dict = {}
        self.revisions: dict[str, str] = {}
        self.configuration = resources.of({})
        self.revision = control_state.NEVER
        self.currency_end = clock.ZERO
        self.counted: frozenset[str] = frozenset()
        self.counted_digest = NOBODY
        self.children: dict[str, datetime.timedelta] = {}
        self.below: dict[str, Subtree] = {}
        self.own = subtree_of({})
        self.taken_by: tuple[str, Subtree] = ("", self.own)
        self.counted_below: dict[str, tuple[tuple[bytes, bytes | None], tuple[str, ...], bytes]] = {}
        self.shunned: dict[str, datetime.timedelta] = {}
        self.parent_depth = 0
        self.root_heard = clock.ZERO
        self.followed_root = ""
        self.grants: dict[str, Grant] = {}
        self.stranger_end = clock.ZERO
        self.root = False
        self.hurry = asyncio.Event()
        self.confirmed = asyncio.Event()
        self.versions: dict[str, asyncio.Event] = {}
        self.counts = {
            "pulls": 0,
            "pushes": 0,
            "news": 0,
            "whole plans": 0,
            "subtrees lost": 0,
            "stale parents": 0,
        }

    def current(self) -> bool:
        """Whether this node holds a plan whose currency is claimed at this moment."""
        return clock.now() < self.currency_end and self.revision != control_state.NEVER

    def parent(self) -> str | None:
        """The parent at this moment; none for the root.

        While the parent in the tree is left out, the root itself is asked, and while that is left out too, another
        core: a node that reaches the root is never more than one failed parent away from it.
        """
        held = self.failure_detector.records.get(0)
        if held is None or held.primary.address == self.address:
            return None
        root, order = held.primary.address, self.failure_detector.peers.tree_order()
        if root != self.followed_root:
            self.followed_root = root
            self.shunned.clear()
        usual = parent_of(self.address, root, order)
        candidates = (usual, root, *(address for address in order[:SPARE_PARENTS] if address != self.address))
        now = clock.now()
        parent = next((one for one in candidates if self.shunned.get(one, clock.ZERO) <= now), usual)
        self.parent_depth = depth_of(parent, root, order)
        return parent

    def learn(self, one: updates.Update) -> bool:
        """Take a topic's newer state; a patch upon another base than ours is not taken."""
        held = self.topics.get(one.topic)
        known = self.revision if one.topic == updates.PLAN else held.revision if held else control_state.NEVER
        if not known < one.revision or (one.base is not None and one.base != known):
            return False
        if one.topic == updates.PLAN and not one.body:
            return False
        if one.topic == updates.PLAN:
            shown = json.loads(one.body)
            if one.base is not None:
                patch = shown.get("plan", {})
                shown = resources.merge(
                    {"plan": self.document, "revisions": self.revisions, "version": self.configuration.version}, shown
                )
                fresh = resources.after(self.configuration, shown["plan"], patch, shown["version"])
                self.deltas[one.base] = one
            else:
                fresh = resources.of(shown["plan"], shown["version"])
                self.counts["whole plans"] += 1
            self.document, self.revisions, self.configuration = shown["plan"], shown["revisions"], fresh
            self.revision = one.revision
            while len(self.deltas) > DELTAS:
                del self.deltas[next(iter(self.deltas))]
        else:
            self.topics[one.topic] = one
        self.counts["news"] += 1
        self.versions.pop(one.topic, asyncio.Event()).set()
        self.push()
        return True

    async def changed(self, topic: str) -> None:
        """Wait until a topic changes."""
        await self.versions.setdefault(topic, asyncio.Event()).wait()

    def push(self) -> None:
        """Tell the children at once that there is something new."""
        self.hurry.set()
        now = clock.now()
        for address, end in list(self.children.items()):
            if end < now:
                self.children.pop(address)
                self.below.pop(address, None)
                self.counted_below.pop(address, None)
            else:
                self.counts["pushes"] += 1
                self.link.notify(address, updates.Push())

    def pending_updates(self, known: control_state.Revision) -> tuple[updates.Update, ...]:
        """What brings a node from the revision it knows to ours: patches in a row, or the whole.

        The row is as long as one message may be. A whole plan that is too large for one message is only named, and
        fetched in parts.
        """
        if not known < self.revision:
            return ()
        row, place, size = [], known, 0
        while place != self.revision and place in self.deltas:
            row.append(self.deltas[place])
            place = self.deltas[place].revision
        if place != self.revision:
            whole = self.wholes.newest(self.revision, self.shown())
            body = whole.body.decode() if len(whole.body) <= configuration_transfer.PART_BYTES else ""
            return (updates.Update(updates.PLAN, self.revision, None, body),)
        for count, one in enumerate(row):
            size += len(one.body)
            if count and size > STEP_BYTES:
                return tuple(row[:count])
        return tuple(row)

    def shown(self) -> dict:
        """The whole plan as it is told to others."""
        return {"plan": self.document, "revisions": self.revisions, "version": self.configuration.version}

    def answer_fetch(self, message: updates.FetchConfiguration) -> updates.ConfigurationChunk:
        """Give a child the next part of a whole plan."""
        if self.revision == control_state.NEVER:
            raise result.RequestError(result.ResultCode.NO_CLAIM, detail="no plan is held here yet")
        return self.wholes.part(message, self.revision, self.shown())

    async def fetch_configuration(self, parent: str) -> None:
        """Fetch a whole plan from a parent, part by part; what came before it failed is kept."""
        while True:
            part = await self.link.request(parent, self.partial.next_part(), ASK)
            whole = self.partial.take(part)
            if whole is not None:
                self.learn(whole)
            if whole is not None or not part.body:
                return

    def subtree(self) -> Subtree:
        """This node and all below it, each with the plan revision it confirmed."""
        now = clock.now()
        found = {}
        for child, end in self.children.items():
            if end >= now and child in self.below:
                found.update(self.below[child].nodes)
        found[self.address] = self.revision
        if found != self.own.nodes:
            self.own = subtree_of(found)
        return self.own

    def taken(self, message: updates.Pull) -> Subtree | None:
        """The subtree that a pull names; none when its differences are upon one that is not held here."""
        held = self.below.get(message.address)
        named = {one.address: one.revision for one in message.subtree}
        if not message.base:
            return subtree_of(named)
        if held is None or held.digest != message.base:
            return None
        if not named and not message.gone:
            return held
        nodes = {**held.nodes, **named}
        for address in message.gone:
            nodes.pop(address, None)
        found = subtree_of(nodes)
        return found if found.digest == message.digest else None

    def counted_of(self, child: str, below: Subtree, rooted: bool) -> tuple[tuple[str, ...], bytes]:
        """Those below a child that the root counted, and their digest."""
        upon = below.digest, None if rooted else self.counted_digest
        known = self.counted_below.get(child)
        if known is None or known[0] != upon:
            names = tuple(sorted(address for address in below.nodes if rooted or address in self.counted))
            known = self.counted_below[child] = upon, names, names_digest(names)
        return known[1], known[2]

    def answer_pull(self, message: updates.Pull, rooted: bool) -> updates.Pulled:
        """Give a child its news, and currency no longer than our own.

        A child below a relay gets currency only once the root counted it: the root must know all
        who may act on a plan. Nothing is granted without the plan that the grant is for.
        """
        now = clock.now()
        below = self.taken(message)
        if below is None:
            self.counts["subtrees lost"] += 1
            return updates.Pulled((), control_state.NEVER, clock.ZERO, (), False, True, self.age())
        self.children[message.address] = now + CHILD
        if message.address not in self.below or below.digest != self.below[message.address].digest:
            self.below[message.address] = below
            if not rooted:
                self.hurry.set()
        have = {one.topic: one.revision for one in message.have}
        fresh = [one for one in self.topics.values() if have.get(one.topic, control_state.NEVER) < one.revision]
        fresh.extend(self.pending_updates(have.get(updates.PLAN, control_state.NEVER)))
        if rooted:
            self.root_heard = now
            currency = self.currency
            for address, revision in below.nodes.items():
                self.grants[address] = Grant(now + self.currency, revision)
            self.confirmed.set()
        else:
            trusted = message.address in self.counted
            currency = max(self.currency_end - now, clock.ZERO) if trusted else clock.ZERO
        if self.revision == control_state.NEVER:
            currency = clock.ZERO
        counted, digest = self.counted_of(message.address, below, rooted)
        same = digest == message.counted
        return updates.Pulled(
            tuple(fresh), self.revision, currency, () if same else counted, same, False, now - self.root_heard
        )

    async def run(self) -> None:
        """Pull from the parent again and again, at once when there is something to pull or tell."""
        while True:
            try:
                async with clock.limit(PULL):
                    await self.hurry.wait()
            except TimeoutError:
                pass
            self.hurry.clear()
            parent = self.parent()
            if parent is not None:
                await self.pull(parent)

    def age(self) -> datetime.timedelta:
        """How long ago the root was last heard of, by way of the relays between."""
        return clock.now() - self.root_heard

    def is_stale(self, age: datetime.timedelta) -> bool:
        """Whether a parent that heard of the root so long ago is to be left out.

        Each relay above it may put it behind by one pull.
        """
        return age > min(STALE + PULL * self.parent_depth, self.currency / 2)

    def leave_out(self, parent: str) -> None:
        """Ask others than this parent for a while, at once unless all were tried."""
        now = clock.now()
        if self.shunned.get(parent, clock.ZERO) <= now:
            self.hurry.set()
        self.shunned[parent] = now + SHUN

    def pull_of(self, parent: str, have: tuple[updates.HeldRevision, ...], own: Subtree) -> updates.Pull:
        """A pull that names the subtree: what differs from the one that this parent took last, else the whole."""
        taker, held = self.taken_by
        nodes, base, gone = own.nodes, b"", ()
        if taker == parent:
            base, gone = (
                held.digest,
                tuple(sorted(address for address in held.nodes if address not in own.nodes)),
            )
            nodes = {
                address: revision for address, revision in own.nodes.items() if held.nodes.get(address) != revision
            }
        named = tuple(updates.Confirmation(address, revision) for address, revision in sorted(nodes.items()))
        return updates.Pull(self.address, have, named, base, gone, own.digest, self.counted_digest)

    async def pull(self, parent: str) -> None:
        """One pull; a parent that fails, or that heard nothing of the root for long, is left out for a while."""
        asked = clock.now()
        have = tuple(updates.HeldRevision(one.topic, one.revision) for one in self.topics.values())
        have += (updates.HeldRevision(updates.PLAN, self.revision),)
        self.counts["pulls"] += 1
        before, own = self.revision, self.subtree()
        message = self.pull_of(parent, have, own)
        self.taken_by = ("", own)
        try:
            reply = await self.link.request(parent, message, ASK)
            if any(one.topic == updates.PLAN and not one.body for one in reply.news):
                await self.fetch_configuration(parent)
        except result.RequestError as refusal:
            if refusal.result is result.ResultCode.UNREACHABLE:
                self.leave_out(parent)
            return
        if reply.lost:
            self.hurry.set()
            await clock.sleep(PULL / 40)
            return
        self.taken_by = (parent, own)
        for one in reply.news:
            self.learn(one)
        if not reply.same:
            self.counted, self.counted_digest = (
                frozenset(reply.counted),
                names_digest(tuple(sorted(reply.counted))),
            )
        if reply.revision == self.revision and reply.currency > clock.ZERO:
            self.currency_end = max(self.currency_end, asked + reply.currency)
        self.root_heard = max(self.root_heard, asked - reply.age)
        stale = self.is_stale(reply.age)
        if stale:
            self.counts["stale parents"] += 1
            self.leave_out(parent)
        if before != self.revision or (self.address not in self.counted and not stale):
            self.hurry.set()
            await clock.sleep(PULL / 40)

    # -- root ----------------------------------------------------------------------------------

    def become_root(self) -> None:
        """Begin to grant, once all that was committed before is held here.

        Grants of the root before are unknown: count one as running for everybody.
        """
        self.root = True
        self.grants = {}
        self.stranger_end = clock.now() + self.currency

    def take_committed(self, read: control_state.ResourcesRead) -> None:
        """As root: take the plan that the copies hold, keeping the steps for those that are behind."""
        for step in read.steps:
            self.learn(updates.Update(updates.PLAN, step.revision, step.base, step.patch))
        if not read.document:
            return
        shown = json.loads(read.document)
        if self.revision != control_state.NEVER:
            patch = {
                "plan": resources.patch_between(self.document, shown["plan"]),
                "revisions": resources.patch_between(self.revisions, shown["revisions"]),
                "version": shown["version"],
            }
            self.learn(updates.Update(updates.PLAN, read.revision, self.revision, json.dumps(patch)))
        else:
            self.learn(updates.Update(updates.PLAN, read.revision, None, read.document))

    async def everywhere(self, revision: control_state.Revision) -> None:
        """As root: wait until all who may act on a plan confirmed this one or may not act any more."""
        while self.revision < revision:
            await self.changed(updates.PLAN)
        snapshot = dict(self.grants)
        while True:
            self.confirmed.clear()
            now = clock.now()
            behind = [
                address
                for address, grant in snapshot.items()
                if now < grant.end and self.grants.get(address, grant).revision < revision and address != self.address
            ]
            wait = max(
                [snapshot[address].end - now for address in behind] + [self.stranger_end - now],
                default=clock.ZERO,
            )
            if not behind and wait <= clock.ZERO:
                return
            try:
                async with clock.limit(max(min(wait, PULL), PULL / 100)):
                    await self.confirmed.wait()
            except TimeoutError:
                pass
