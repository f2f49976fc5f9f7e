"""Whether the product's intervals and timeouts can meet the time bounds of a deployment: a chain of inequalities.

Each check has the times it is about on its left side and what a deployment allows on its right. It is computed from
the constants that the modules use, so that a changed constant changes the verdict.
"""

import dataclasses
import datetime

from aspencroft.consensus import proposer, witness
from aspencroft.distribution import timing
from aspencroft.membership import suspicion, table_exchange
from aspencroft.replication import backup, group_replica, group_state, log_shipping, primary
from aspencroft.runtime import clock
from aspencroft.transport import peer_connection

WORKER_LIST_PERIOD = clock.seconds(1)
CALLER_SILENCE = clock.seconds(1)
LOST_HEARTBEATS = 3
RELAY_LEVELS = 3
CONTROL_MEMBERS = 3
STALE_PARENTS_IN_A_ROW = 2


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What a deployment demands.

    ``contact``: calm before promises bind a node; ``acknowledge``: for an order, from when the core is settled;
    ``apply``: from an acknowledgement until all nodes in touch act on it; ``drain``: from when a worker is listed as
    draining until nothing is sent to it; ``recovery``: from a full stop until requests are served; ``unsettled``: what
    an unsettled core may add to ``apply``.
    """

    contact: datetime.timedelta | None = None
    acknowledge: datetime.timedelta | None = None
    apply: datetime.timedelta | None = None
    drain: datetime.timedelta | None = None
    recovery: datetime.timedelta | None = None
    unsettled: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True)
class Times:
    """The product's intervals and timeouts in force."""

    heartbeat: datetime.timedelta
    silence: datetime.timedelta
    lease: datetime.timedelta
    lease_margin: datetime.timedelta
    renewal: datetime.timedelta
    ballot_ask: datetime.timedelta
    primary_silence: datetime.timedelta
    takeover_turn: datetime.timedelta
    takeover_retry: datetime.timedelta
    append_timeout: datetime.timedelta
    start_patience: datetime.timedelta
    reconnect: datetime.timedelta
    pull: datetime.timedelta
    pull_timeout: datetime.timedelta
    stale_parent: datetime.timedelta
    list_period: datetime.timedelta
    order_timeout: datetime.timedelta
    confirm: datetime.timedelta | None
    currency: datetime.timedelta
    members: int

    def takeover(self) -> datetime.timedelta:
        """The longest time from the loss of a control primary until the next one serves, with a majority in contact.

        The last backup in turn takes over; one ballot has the old primary recorded out, a lease is asked for, the
        backups are made the same, and one that fails at that is recorded out by one ballot more.
        """
        noticed = self.primary_silence + self.takeover_turn * max(self.members - 2, 0)
        ballot = 2 * self.ballot_ask
        lease_out = self.lease + self.lease_margin
        return max(noticed, lease_out) + self.takeover_retry + ballot + self.ballot_ask + self.append_timeout + ballot

    def new_parent(self) -> datetime.timedelta:
        """The longest time from a cut until a node in touch pulls from a relay that is in touch as well.

        The first parent is found silent or stale after one interval; each further one by its answer, or by none.
        """
        first = self.pull + max(self.pull_timeout, self.stale_parent)
        return first + self.pull_timeout * (STALE_PARENTS_IN_A_ROW - 1)

    def delivery(self) -> datetime.timedelta:
        """The longest time that a configuration takes down the tree when every push is lost."""
        return self.pull * RELAY_LEVELS


@dataclasses.dataclass(frozen=True)
class Inequality:
    """A demand that the left side, in time, is no more than the right side."""

    left_name: str
    left: datetime.timedelta
    right_name: str
    right: datetime.timedelta

    def holds(self) -> bool:
        """Whether it holds."""
        return self.left <= self.right

    def text(self) -> str:
        """The inequality with its figures."""
        left, right = (f"{span.total_seconds():g} s" for span in (self.left, self.right))
        return f"{self.left_name} ({left}) <= {self.right_name} ({right})"


def times_in_force(
    currency: datetime.timedelta, confirm: datetime.timedelta | None, order_timeout: datetime.timedelta, members: int
) -> Times:
    """The times that the modules use, with those that settings decide."""
    return Times(
        heartbeat=table_exchange.HEARTBEAT_INTERVAL,
        silence=suspicion.SUSPICION_TIMEOUT,
        lease=witness.LEASE,
        lease_margin=witness.LEASE_MARGIN,
        renewal=primary.LEASE_RENEWAL_PERIOD,
        ballot_ask=proposer.REQUEST_TIMEOUT,
        primary_silence=backup.PRIMARY_TIMEOUT,
        takeover_turn=backup.TAKEOVER_STAGGER,
        takeover_retry=group_state.RETRY,
        append_timeout=log_shipping.APPEND_TIMEOUT,
        start_patience=group_replica.START_WAIT,
        reconnect=peer_connection.CONNECT_TIMEOUT + peer_connection.RECONNECT_PAUSE,
        pull=timing.PULL_INTERVAL,
        pull_timeout=timing.PULL_TIMEOUT,
        stale_parent=timing.STALE_PARENT_AFTER + timing.PULL_INTERVAL,
        list_period=WORKER_LIST_PERIOD,
        order_timeout=order_timeout,
        confirm=confirm,
        currency=currency,
        members=members,
    )


def own_inequalities(times: Times) -> list[Inequality]:
    """What must hold in every deployment."""
    found = [
        Inequality("lost heartbeats", LOST_HEARTBEATS * times.heartbeat, "silence before suspicion", times.silence),
        Inequality("renewal + one ask", times.renewal + times.ballot_ask, "lease", times.lease),
        Inequality("order timeout", times.order_timeout, "a caller's silence", CALLER_SILENCE),
    ]
    if times.confirm is not None:
        found.append(Inequality("wait for confirmations", times.confirm, "order timeout", times.order_timeout))
    return found


def bound_inequalities(times: Times, bounds: Bounds) -> list[Inequality]:
    """What a deployment's bounds demand; a bound that it does not name demands nothing."""
    found: list[Inequality] = []

    def demand(name: str, left: datetime.timedelta, *allowed: tuple[str, datetime.timedelta | None]) -> None:
        spans = [bound for _, bound in allowed if bound is not None]
        if len(spans) == len(allowed):
            right = sum(spans, clock.ZERO)
            found.append(Inequality(name, left, " + ".join(allowed_name for allowed_name, _ in allowed), right))

    contact, apply = ("contact", bounds.contact), ("apply", bounds.apply)
    if bounds.contact is not None:
        demand("takeover + new parent", times.takeover() + times.new_parent(), ("currency", times.currency))
    demand("new parent", times.new_parent(), contact)
    demand("reconnect + pull", times.reconnect + times.pull, contact)
    demand("delivery", times.delivery(), apply)
    demand("new parent + delivery", times.new_parent() + times.delivery(), contact, apply)
    demand(
        "takeover + two orders",
        times.takeover() + 2 * times.order_timeout,
        contact,
        ("acknowledge", bounds.acknowledge),
    )
    demand(
        "takeover + one pull + delivery",
        max(times.takeover(), times.new_parent()) + times.pull_timeout + times.delivery(),
        apply,
        ("unsettled", bounds.unsettled),
    )
    demand(
        "start + takeover + new parent",
        times.start_patience + times.takeover() + times.new_parent(),
        ("recovery", bounds.recovery),
    )
    demand("list period + delivery", times.list_period + times.delivery(), ("drain", bounds.drain))
    return found


def violations(times: Times, bounds: Bounds) -> tuple[str, ...]:
    """The inequalities that do not hold, as text; none when the bounds can be met."""
    checked = own_inequalities(times) + bound_inequalities(times, bounds)
    return tuple(inequality.text() for inequality in checked if not inequality.holds())
