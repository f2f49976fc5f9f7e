"""Leases on the configuration: a node's own lease, and those that the root has granted."""

import asyncio
import dataclasses
import datetime

import logbook

from aspencroft.configuration import control_state
from aspencroft.distribution import subtree_state, timing
from aspencroft.runtime import clock, events

LOG = logbook.Logger("distribution.configuration_lease")


class ConfigurationLease:
    """A node's lease on its configuration, and the nodes below it that the root has counted."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.end = clock.ZERO
        self.counted: frozenset[str] = frozenset()
        self.counted_digest = subtree_state.NO_ADDRESSES_DIGEST
        self.is_valid_logged = False

    def extend(self, end: datetime.timedelta) -> None:
        """Extend the lease; an end before the present one has no effect."""
        self.end = max(self.end, end)

    def set_counted(self, addresses: tuple[str, ...]) -> None:
        """Replace the counted nodes."""
        self.counted = frozenset(addresses)
        self.counted_digest = subtree_state.addresses_digest(tuple(sorted(addresses)))

    def log_transition(self, is_valid: bool, revision: control_state.Revision, root_age: datetime.timedelta) -> None:
        """Log the loss or gain of the lease, once per transition."""
        if is_valid == self.is_valid_logged:
            return
        self.is_valid_logged = is_valid
        if is_valid:
            events.report(
                LOG,
                events.EventFields(events.Event.LEASE_GAINED, revision=revision.text(), member=self.address),
                "{} has a lease on the configuration: revision {}",
                self.address,
                revision.text(),
            )
        else:
            events.report(
                LOG,
                events.EventFields(events.Event.LEASE_LOST, revision=revision.text(), member=self.address),
                "{} lost its lease on the configuration: revision {}, root last heard of {:.1f} s ago",
                self.address,
                revision.text(),
                root_age.total_seconds(),
            )


@dataclasses.dataclass(frozen=True)
class Grant:
    """A lease that the root granted to a node: its end, and the revision that the node has confirmed."""

    end: datetime.timedelta
    revision: control_state.Revision


class LeaseGrants:
    """The leases that this node has granted as root, by address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.grants: dict[str, Grant] = {}
        self.unknown_grants_end = clock.ZERO
        self.confirmed = asyncio.Event()

    def reset(self, lease_duration: datetime.timedelta) -> None:
        """Start as a new root; the previous root's grants are unknown, so every node is assumed to hold a lease."""
        self.grants = {}
        self.unknown_grants_end = clock.now() + lease_duration

    def grant(self, nodes: dict[str, control_state.Revision], end: datetime.timedelta) -> None:
        """Grant a lease to each node of a subtree and record the revision that it confirmed."""
        for address, revision in nodes.items():
            self.grants[address] = Grant(end, revision)
        self.confirmed.set()

    async def wait_until_applied(self, revision: control_state.Revision) -> None:
        """Wait until each node with a lease has confirmed a revision, or its lease has expired."""
        snapshot = dict(self.grants)
        while True:
            # Cleared before the grants are read, so that a later confirmation ends the wait below.
            self.confirmed.clear()
            now = clock.now()
            behind = [
                address
                for address, grant in snapshot.items()
                if now < grant.end and self.grants.get(address, grant).revision < revision and address != self.address
            ]
            wait = max(
                [snapshot[address].end - now for address in behind] + [self.unknown_grants_end - now],
                default=clock.ZERO,
            )
            if not behind and wait <= clock.ZERO:
                return
            try:
                async with clock.limit(max(min(wait, timing.PULL_INTERVAL), timing.PULL_INTERVAL / 100)):
                    await self.confirmed.wait()
            except TimeoutError:
                pass
