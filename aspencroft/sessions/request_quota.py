"""Requests of tenants, counted over a sliding window: how many a tenant may still make, over all edges together.

The group's primary counts in memory what it grants. So that a successor knows of it, the counts of a tenant are
recorded in the group's log, though not for each grant: the primary may run ahead of its last record by a bounded number
of requests. After a takeover at most so many are forgotten. Its first record presumes that so many were, so that those
that several takeovers within one window forget do not add up.
"""

import collections
import collections.abc
import datetime
import itertools
import typing

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry

STEPS_PER_WINDOW = 100
"""Grants within one such step of a window are counted together, at the time of the last."""
RECORDED_STEPS = 10
"""Steps of a window in a record: it says for how many of them a grant is gone already, rounded down."""
MAX_TENANTS = 50_000
MAX_WINDOW = clock.seconds(3600)
EXPIRED_AT_ONCE = 8
"""Remembered replies that one look forgets at most: more than one question adds."""
SHORTEST_RETRY = clock.seconds(0.01)


class GrantedStep(typing.NamedTuple):
    """Requests that were granted at nearly the same time, by this primary's clock."""

    at: datetime.timedelta
    requests: int


class AnsweredQuestion(typing.NamedTuple):
    """The newest question of an edge about a tenant, and the reply that it got."""

    number: int
    at: datetime.timedelta
    reply: entry.RequestsReserved


class TenantWindow:
    """What a tenant was granted within the window that ends now."""

    __slots__ = ("answered", "expired_until", "is_presumed_recorded", "presumed", "steps", "total", "unrecorded")

    def __init__(self) -> None:
        self.steps: collections.deque[GrantedStep] = collections.deque()
        self.total = 0
        self.unrecorded: collections.deque[GrantedStep] = collections.deque()
        """The steps that no record holds."""
        self.answered: dict[str, AnsweredQuestion] = {}
        """By the edge that asked, those asked longest ago first."""
        self.presumed = GrantedStep(clock.ZERO, 0)
        """What an earlier primary may have granted on no record; not in ``total``, as the allowed error covers it."""
        self.is_presumed_recorded = True
        self.expired_until = datetime.timedelta.min
        """Grants of this time and before are forgotten already."""

    def presume(self, now: datetime.timedelta, count: int) -> None:
        """Hold it for possible that an earlier primary granted so many requests just now that no record shows."""
        self.presumed = GrantedStep(now, count)
        self.is_presumed_recorded = not count

    def expire(self, now: datetime.timedelta, window: datetime.timedelta) -> None:
        """Forget what was granted before the window."""
        while self.steps and now - self.steps[0].at > window:
            oldest = self.steps.popleft()
            self.total -= oldest.requests
            self.expired_until = oldest.at
        while self.unrecorded and now - self.unrecorded[0].at > window:
            self.unrecorded.popleft()
        for edge, answered in list(itertools.islice(self.answered.items(), EXPIRED_AT_ONCE)):
            if now - answered.at > window:
                del self.answered[edge]
        if now - self.presumed.at > window:
            self.presume(now, 0)

    def known_reply(self, command: entry.ReserveRequests) -> entry.RequestsReserved | None:
        """The reply that the very question got before."""
        answered = self.answered.get(command.edge)
        return answered.reply if answered is not None and answered.number == command.question else None

    def remember(self, command: entry.ReserveRequests, now: datetime.timedelta, reply: entry.RequestsReserved) -> None:
        """Keep a reply, in case that it is lost on its way."""
        self.answered.pop(command.edge, None)
        self.answered[command.edge] = AnsweredQuestion(command.question, now, reply)

    def add(self, now: datetime.timedelta, count: int, window: datetime.timedelta) -> None:
        """Count a grant; all of one step count as granted with the last of them."""
        self.total += count
        step_length = window / STEPS_PER_WINDOW
        for steps in (self.steps, self.unrecorded):
            is_same_step = steps and steps[-1].at // step_length == now // step_length
            before = steps.pop().requests if is_same_step else 0
            steps.append(GrantedStep(now, before + count))

    def take_back(self, count: int) -> None:
        """Count requests no more that did not run and whose grants are not forgotten yet.

        The oldest grants go: whichever grant was not used, what remains expires no earlier than what was used.
        """
        while count > 0 and self.steps:
            oldest = self.steps.popleft()
            taken = min(count, oldest.requests)
            count -= taken
            self.total -= taken
            if oldest.requests > taken:
                self.steps.appendleft(GrantedStep(oldest.at, oldest.requests - taken))

    def is_record_due(self, run_ahead: int) -> bool:
        """Whether a record has to go before the reply: too many grants are on none, or what is presumed is."""
        return not self.is_presumed_recorded or sum(step.requests for step in self.unrecorded) > run_ahead

    def note_recorded(self) -> None:
        """All that is counted or presumed is on a record."""
        self.unrecorded.clear()
        self.is_presumed_recorded = True

    def time_until_free(self, now: datetime.timedelta, window: datetime.timedelta) -> datetime.timedelta:
        """How long until a granted request leaves the window."""
        if not self.steps:
            return SHORTEST_RETRY
        return max(SHORTEST_RETRY, self.steps[0].at + window - now)


class RecordedWindow(typing.NamedTuple):
    """The newest record of a tenant's grants, and when this replica first saw it (not before it was written)."""

    event: entry.RequestsCounted
    seen_at: datetime.timedelta | None


class RequestQuotas:
    """Counts of all tenants whose requests this group counts.

    The records are the replicated state; windows belong to one tenure as primary and begin with what is recorded.
    """

    def __init__(self, records: collections.abc.Iterable[entry.RequestsCounted] = ()):
        self.records = {event.tenant: RecordedWindow(event, None) for event in records}
        self.windows: dict[str, TenantWindow] = {}
        self.first_asked_at: datetime.timedelta | None = None
        """When this primary was first asked: those before it granted nothing later."""

    def reset_clocks(self) -> None:
        """This primary's counts are over; the records stay."""
        self.windows = {}
        self.first_asked_at = None

    def window_of(self, command: entry.ReserveRequests, now: datetime.timedelta) -> TenantWindow:
        """A tenant's window up to now; one that this primary has not used yet begins with what is recorded."""
        if self.first_asked_at is None:
            self.first_asked_at = now
        found = self.windows.get(command.tenant)
        if found is None:
            found = self.windows[command.tenant] = self.recorded_window(command.tenant, now)
            found.presume(self.first_asked_at, command.run_ahead)
        found.expire(now, command.window)
        return found

    def recorded_window(self, tenant: str, now: datetime.timedelta) -> TenantWindow:
        """The window that a record shows; what it holds is taken for no older than is certain."""
        restored = TenantWindow()
        record = self.records.get(tenant)
        if record is None:
            return restored
        seen_at = now if record.seen_at is None else record.seen_at
        for step in record.event.steps:
            restored.steps.append(GrantedStep(seen_at - step.age, step.count))
            restored.total += step.count
        return restored

    def decide_reserve(self, command: entry.ReserveRequests, now: datetime.timedelta, epoch: int) -> entry.Decision:
        """Grant as many of the requests as the window has room for; a record is due once too much is unrecorded.

        :raises result.RequestError: MALFORMED for counts below zero or a window out of bounds, OVERLOADED at a bound
        """
        if min(command.count, command.limit, command.run_ahead) < 0 or not clock.ZERO < command.window <= MAX_WINDOW:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="counts below zero, or no window")
        if command.tenant not in self.windows and len(self.windows) >= MAX_TENANTS:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many tenants")
        window = self.window_of(command, now)
        known = window.known_reply(command)
        if known is not None:
            return (), known
        granted = max(0, min(command.count, command.limit - window.total))
        retry = clock.ZERO if granted == command.count else window.time_until_free(now, command.window)
        reply = entry.RequestsReserved(granted, retry, epoch, now)
        window.remember(command, now, reply)
        if not granted:
            return (), reply
        window.add(now, granted, command.window)
        if not window.is_record_due(command.run_ahead):
            return (), reply
        window.note_recorded()
        return (record_of(command.tenant, window, now, command.window),), reply

    def decide_return(self, command: entry.ReturnRequests, epoch: int) -> entry.Decision:
        """Requests that were granted in this tenure did not run; those granted by an earlier primary stay counted.

        A return that was held up on its way is too late once its grants left the window: it would take others for them.
        """
        window = self.windows.get(command.tenant)
        if window is not None and command.epoch == epoch and command.granted_at > window.expired_until:
            window.take_back(command.count)
        return (), entry.RequestsReserved(0, clock.ZERO, epoch, command.granted_at)

    def apply_counted(self, event: entry.RequestsCounted, now: datetime.timedelta | None) -> None:
        """A tenant's counts were recorded; the tenant that was recorded longest ago gives way at a bound."""
        self.records.pop(event.tenant, None)
        if len(self.records) >= MAX_TENANTS:
            self.records.pop(next(iter(self.records)))
        self.records[event.tenant] = RecordedWindow(event, now)

    def snapshot(self) -> tuple[entry.RequestsCounted, ...]:
        """All records, those that were recorded longest ago first."""
        return tuple(record.event for record in self.records.values())


def record_of(
    tenant: str, window: TenantWindow, now: datetime.timedelta, length: datetime.timedelta
) -> entry.RequestsCounted:
    """The record of a tenant's window, in coarser steps; for a successor, what is presumed counts as granted."""
    step_length = length / RECORDED_STEPS
    counts: collections.Counter[int] = collections.Counter()
    for step in (*window.steps, window.presumed):
        counts[(now - step.at) // step_length] += step.requests
    steps = (
        entry.CountedStep(age * step_length, count) for age, count in sorted(counts.items(), reverse=True) if count
    )
    return entry.RequestsCounted(tenant, tuple(steps))
