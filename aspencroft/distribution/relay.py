"""A node of the dissemination tree: pulls updates and its lease from its parent, and answers its children's pulls."""

import asyncio
import datetime
import typing

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import (
    configuration_lease,
    configuration_state,
    configuration_transfer,
    parent_selection,
    subtree_state,
    timing,
    updates,
)
from aspencroft.errors import result
from aspencroft.membership import failure_detector
from aspencroft.runtime import clock, events
from aspencroft.transport import connections

LOG = logbook.Logger("distribution.relay")
CONTROL_GROUP = 0


class Relay:
    """A node of the tree; ``root_heard`` is the time at which the root was last heard of.

    ``acknowledged`` is the parent that stored this node's subtree last, with that subtree: the next pull from that
    parent lists only the differences.

    Words for the stages of a subtree and of an update:

    - counted: the root has recorded a lease for the node; a relay learns this from the replies of its parent.
    - confirmed: a pull has listed the node with the revision that it holds.
    - acknowledged: the parent has stored the subtree that the pull described.
    - applied: the update has changed the state that this node holds.
    """

    def __init__(
        self, link: connections.Link, members: failure_detector.FailureDetector, lease_duration: datetime.timedelta
    ) -> None:
        self.link = link
        self.lease_duration = lease_duration
        self.failure_detector = members
        self.address = members.me.address
        self.counts = {
            "pulls": 0,
            "pushes": 0,
            "news": 0,
            "whole plans": 0,
            "subtrees lost": 0,
            "stale parents": 0,
        }
        self.state = configuration_state.ConfigurationState(self.address, self.counts)
        self.partial = configuration_transfer.PartialConfiguration()
        self.subtree = subtree_state.SubtreeState(self.address)
        self.parents = parent_selection.ParentSelection(self.address)
        self.lease = configuration_lease.ConfigurationLease(self.address)
        self.grants = configuration_lease.LeaseGrants(self.address)
        self.acknowledged: tuple[str, subtree_state.Subtree] = ("", self.subtree.complete)
        self.root_heard: datetime.timedelta | None = None
        self.is_missing_root_logged = False
        self.root = False
        self.pull_requested = asyncio.Event()

    # -- state for readers -------------------------------------------------------------------------

    @property
    def configuration(self) -> resources.Configuration:
        """The configuration in force."""
        return self.state.configuration

    @property
    def document(self) -> configuration_state.Document:
        """The configuration as JSON."""
        return self.state.document

    @property
    def revision(self) -> control_state.Revision:
        """The revision in force."""
        return self.state.revision

    @property
    def revisions(self) -> dict[str, str]:
        """The revision of each resource, as text, by kind and name."""
        return self.state.revisions

    @property
    def topics(self) -> dict[str, updates.Update]:
        """The newest update of each topic except the configuration."""
        return self.state.topics

    @property
    def children(self) -> typing.Iterable[str]:
        """Addresses of the children, including expired ones that were not removed yet."""
        return self.subtree.expiry

    @property
    def lease_expires_at(self) -> datetime.timedelta:
        """When the lease on the configuration expires."""
        return self.lease.end

    def current(self) -> bool:
        """Return whether this node holds a configuration and a lease on it now."""
        return clock.now() < self.lease.end and self.state.revision != control_state.NEVER

    def parent(self) -> str | None:
        """Return the parent to pull from now; None for the root, or while no root is known."""
        control_group = self.failure_detector.records.get(CONTROL_GROUP)
        if control_group is None or control_group.primary.address == self.address:
            return None
        return self.parents.select(control_group.primary.address, self.failure_detector.peers.tree_order())

    def root_age(self) -> datetime.timedelta:
        """Return how long ago the root was last heard of through the relays above; ``NEVER_HEARD`` if it never was."""
        return timing.NEVER_HEARD if self.root_heard is None else clock.now() - self.root_heard

    async def wait_for_change(self, topic: str) -> None:
        """Wait until a topic changes."""
        await self.state.wait_for_change(topic)

    # -- updates -----------------------------------------------------------------------------------

    def apply_update(self, update: updates.Update) -> bool:
        """Apply a newer state of a topic and notify the children; return whether it was applied."""
        if not self.state.apply(update):
            return False
        self.push()
        return True

    def push(self) -> None:
        """Request a pull of this node at once, and notify the children, which then pull in turn."""
        self.pull_requested.set()
        for address in self.subtree.live_children():
            self.counts["pushes"] += 1
            self.link.notify(address, updates.Push())

    # -- answers to children -----------------------------------------------------------------------

    def answer_fetch(self, message: updates.FetchConfiguration) -> updates.ConfigurationChunk:
        """Answer a child with the next chunk of a complete configuration.

        Raises:
            result.RequestError: NO_CLAIM, while no configuration is held.

        """
        return self.state.next_chunk(message)

    def answer_pull(self, message: updates.Pull, is_root: bool) -> updates.Pulled:
        """Answer a child with the updates that it lacks and a lease.

        The root grants the full lease duration, a relay no more than the rest of its own lease. A child of a relay gets
        a lease only after the root has counted it: the root must know every node that may act on a configuration. While
        this node holds no configuration, its replies have no lease, although the root records one all the same.
        """
        now = clock.now()
        subtree = self.subtree.resolve(message)
        if subtree is None:
            self.counts["subtrees lost"] += 1
            return updates.Pulled((), control_state.NEVER, clock.ZERO, (), False, True, self.root_age())
        if self.subtree.store(message.address, subtree) and not is_root:
            self.pull_requested.set()
        known = {held.topic: held.revision for held in message.have}
        missing = [
            update
            for update in self.state.topics.values()
            if known.get(update.topic, control_state.NEVER) < update.revision
        ]
        missing.extend(self.state.pending_updates(known.get(updates.CONFIGURATION_TOPIC, control_state.NEVER)))
        if is_root:
            self.root_heard = now
            lease = self.lease_duration
            self.grants.grant(subtree.nodes, now + self.lease_duration)
        else:
            is_counted = message.address in self.lease.counted
            lease = max(self.lease.end - now, clock.ZERO) if is_counted else clock.ZERO
        if self.state.revision == control_state.NEVER:
            lease = clock.ZERO
        counted = self.subtree.counted_nodes(
            message.address,
            subtree,
            None if is_root else self.lease.counted,
            None if is_root else self.lease.counted_digest,
        )
        same = counted.digest == message.counted
        addresses = () if same else counted.addresses
        return updates.Pulled(tuple(missing), self.state.revision, lease, addresses, same, False, self.root_age())

    # -- pulls from the parent ---------------------------------------------------------------------

    async def run(self) -> None:
        """Pull from the parent in each interval, and at once if there is something to pull or to confirm."""
        while True:
            try:
                async with clock.limit(timing.PULL_INTERVAL):
                    await self.pull_requested.wait()
            except TimeoutError:
                pass
            self.pull_requested.clear()
            parent = self.parent()
            if parent is not None:
                await self.pull(parent)
            self.lease.log_transition(self.current(), self.state.revision, self.root_age())

    async def pull(self, parent: str) -> None:
        """Pull once; a parent that cannot be reached or that heard of the root too long ago is avoided for a while."""
        requested_at = clock.now()
        self.counts["pulls"] += 1
        before, subtree = self.state.revision, self.subtree.merge(self.state.revision)
        message = self.make_pull(parent, subtree)
        # Until the reply arrives it is unknown what the parent stored, so a pull after a lost reply lists everything.
        self.acknowledged = ("", subtree)
        try:
            reply = await self.link.request(parent, message, timing.PULL_TIMEOUT)
            if any(update.topic == updates.CONFIGURATION_TOPIC and not update.body for update in reply.updates):
                await self.fetch_configuration(parent)
        except result.RequestError as error:
            if error.result is result.ResultCode.UNREACHABLE:
                self.avoid_parent(parent, str(error))
            return
        if reply.subtree_unknown:
            self.pull_requested.set()
            await clock.sleep(timing.IMMEDIATE_PULL_PAUSE)
            return
        self.acknowledged = (parent, subtree)
        self.apply_reply(reply, requested_at)
        stale = self.parents.is_stale(reply.root_age, self.lease_duration)
        if stale:
            self.counts["stale parents"] += 1
            self.avoid_stale_parent(parent, reply.root_age)
        # Pull again at once to confirm a new revision. Do so also until the root has counted this node, but not if the
        # parent is stale.
        if before != self.state.revision or (self.address not in self.lease.counted and not stale):
            self.pull_requested.set()
            await clock.sleep(timing.IMMEDIATE_PULL_PAUSE)

    def make_pull(self, parent: str, subtree: subtree_state.Subtree) -> updates.Pull:
        """Return a pull that lists the differences from the subtree that this parent stored last, or else all of it."""
        held = tuple(updates.HeldRevision(update.topic, update.revision) for update in self.state.topics.values())
        held += (updates.HeldRevision(updates.CONFIGURATION_TOPIC, self.state.revision),)
        acknowledged_by, acknowledged = self.acknowledged
        nodes, base = subtree.nodes, b""
        removed: tuple[str, ...] = ()
        if acknowledged_by == parent:
            base = acknowledged.digest
            removed = tuple(sorted(address for address in acknowledged.nodes if address not in subtree.nodes))
            nodes = {
                address: revision
                for address, revision in subtree.nodes.items()
                if acknowledged.nodes.get(address) != revision
            }
        listed = tuple(updates.Confirmation(address, revision) for address, revision in sorted(nodes.items()))
        return updates.Pull(self.address, held, listed, base, removed, subtree.digest, self.lease.counted_digest)

    def apply_reply(self, reply: updates.Pulled, requested_at: datetime.timedelta) -> None:
        """Apply the updates of a reply, then extend the lease if it was granted for the revision held here."""
        for update in reply.updates:
            self.apply_update(update)
        if not reply.counted_unchanged:
            self.lease.set_counted(reply.counted)
        if reply.revision == self.state.revision and reply.lease_duration > clock.ZERO:
            self.lease.extend(requested_at + reply.lease_duration)
        if reply.root_age < timing.NEVER_HEARD:
            heard = requested_at - reply.root_age
            self.root_heard = heard if self.root_heard is None else max(self.root_heard, heard)
            self.is_missing_root_logged = False

    async def fetch_configuration(self, parent: str) -> None:
        """Fetch a complete configuration from a parent in chunks; chunks received before a failure are kept.

        Raises:
            result.RequestError: the parent did not answer, or holds no configuration.

        """
        while True:
            chunk = await self.link.request(parent, self.partial.next_request(), timing.PULL_TIMEOUT)
            complete = self.partial.add(chunk)
            if complete is not None:
                self.apply_update(complete)
            if complete is not None or not chunk.body:
                return

    def avoid_parent(self, parent: str, reason: str) -> None:
        """Pull from other parents for a while; pull again at once, unless this parent is being avoided already."""
        if self.parents.avoid(parent):
            self.pull_requested.set()
            LOG.info("{} avoids parent {}: {}", self.address, parent, reason)

    def avoid_stale_parent(self, parent: str, root_age: datetime.timedelta) -> None:
        """Like ``avoid_parent``, for a parent that answers but heard of the root too long ago or never."""
        if not self.parents.avoid(parent, is_reachable=True):
            return
        self.pull_requested.set()
        if root_age < timing.NEVER_HEARD:
            age = root_age.total_seconds()
            LOG.info("{} avoids parent {}: it last heard of the root {:.1f} s ago", self.address, parent, age)
        elif not self.is_missing_root_logged:
            self.is_missing_root_logged = True
            LOG.info("{} waits for a root: parent {} has heard of none yet", self.address, parent)

    # -- root --------------------------------------------------------------------------------------

    def become_root(self) -> None:
        """Start to grant leases as root; called once this node holds everything committed before."""
        self.root = True
        self.grants.reset(self.lease_duration)

    def stop_being_root(self, reason: str) -> None:
        """Stop granting leases as root."""
        if self.root:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.ROOT_ENDED, CONTROL_GROUP, revision=self.revision.text(), member=self.address
                ),
                "{} is no longer the root of the dissemination tree: {}",
                self.address,
                reason,
            )
        self.root = False

    def extend_as_root(self, lease_end: datetime.timedelta) -> None:
        """As root: record that the root is alive, and extend the configuration lease to the given end.

        The caller passes the end of the lease on the control group.
        """
        self.root_heard = clock.now()
        self.lease.extend(lease_end)

    def apply_committed(self, read: control_state.ResourcesRead) -> None:
        """As root: apply what the control group holds, and keep its steps as patches for nodes that are behind."""
        for step in read.steps:
            self.apply_update(updates.Update(updates.CONFIGURATION_TOPIC, step.revision, step.base, step.patch))
        update = self.state.update_to(read)
        if update is not None:
            self.apply_update(update)

    async def wait_until_applied(self, revision: control_state.Revision) -> None:
        """As root: wait until each node with a lease has applied a revision or its lease has expired."""
        while self.state.revision < revision:
            await self.state.wait_for_change(updates.CONFIGURATION_TOPIC)
        await self.grants.wait_until_applied(revision)
