"""Requests of tenants, counted over a sliding window: how many a tenant may still make, over all edges together.

The group's primary counts in memory what it grants. So that a successor knows of it, the counts of a tenant are
recorded in the group's log, though not for each grant: the primary may run ahead of its last record by a bounded number
of requests. After a takeover at most so many are forgotten. Its first record presumes that so many were, so that those
that several takeovers within one window forget do not add up.
"""

import collections
import collections.abc
import datetime
import enum
import itertools
import typing

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages

STEPS_PER_WINDOW = 100
"""Grants within one such step of a window are counted together, at the time of the last."""
RECORDED_STEPS = 10
"""Steps of a window in a record: it says for how many of them a grant is gone already, rounded down."""
MAX_TENANTS = 50_000
MAX_WINDOW = clock.seconds(3600)
EXPIRED_AT_ONCE = 8
"""Remembered replies that one look forgets at most: more than one question adds."""
IDLE_LOOKED_AT = 16
"""Windows that one step of the clock looks at."""
JUST_BEFORE = datetime.timedelta(microseconds=1)
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


class Presumption(enum.Enum):
    """Whether a record tells what an earlier primary may have granted on none."""

    UNRECORDED = enum.auto()
    IN_RECORD = enum.auto()
    RECORDED = enum.auto()


class TenantWindow:
    """What a tenant was granted within the window that ends now."""

    __slots__ = (
        "answered",
        "expired_until",
        "in_record",
        "length",
        "presumed",
        "presumption",
        "run_ahead",
        "steps",
        "total",
        "unrecorded",
    )

    def __init__(self) -> None:
        self.steps: collections.deque[GrantedStep] = collections.deque()
        self.total = 0
        self.unrecorded: collections.deque[GrantedStep] = collections.deque()
        """The steps that no record holds."""
        self.answered: dict[str, AnsweredQuestion] = {}
        """By the edge that asked, those asked longest ago first."""
        self.presumed = GrantedStep(clock.ZERO, 0)
        """What an earlier primary may have granted on no record; not in ``total``, as the allowed error covers it."""
        self.presumption = Presumption.RECORDED
        self.in_record: list[GrantedStep] = []
        """The steps whose record is not known to be with all members."""
        self.run_ahead = 0
        """How many granted requests may be on no record, as the newest question says."""
        self.length = clock.ZERO
        self.expired_until = datetime.timedelta.min
        """Grants of this time and before are forgotten already."""

    def presume(self, now: datetime.timedelta, count: int) -> None:
        """Hold it for possible that an earlier primary granted so many requests just now that no record shows."""
        self.presumed = GrantedStep(now, count)
        self.presumption = Presumption.UNRECORDED if count else Presumption.RECORDED

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

    def room_for(self, command: entry.ReserveRequests) -> int:
        """How many of the requests that are asked for may be granted."""
        return max(0, min(command.count, command.limit - self.total))

    def grant(
        self, command: entry.ReserveRequests, granted: int, now: datetime.timedelta, epoch: int
    ) -> entry.RequestsReserved:
        """Count a grant, or none, and keep the reply."""
        retry = clock.ZERO if granted == command.count else self.time_until_free(now, command.window)
        reply = entry.RequestsReserved(granted, retry, epoch, now)
        self.remember(command, now, reply)
        if granted:
            self.add(now, granted, command.window)
        return reply

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

    def unrecorded_count(self) -> int:
        """How many of the granted requests no record holds."""
        return sum(step.requests for step in self.unrecorded)

    def is_record_due(self, granted: int) -> bool:
        """Whether a record has to go before the reply to so many more: too many are on none, or what is presumed is."""
        return self.presumption is Presumption.UNRECORDED or self.unrecorded_count() + granted > self.run_ahead

    def may_answer_at_once(self, granted: int) -> bool:
        """Whether so many more may be granted while the newest record may not be with all members yet."""
        ahead = self.unrecorded_count() + sum(step.requests for step in self.in_record) + granted
        return self.presumption is Presumption.RECORDED and ahead <= self.run_ahead

    def note_record(self) -> None:
        """All that is counted or presumed stands in a record that is on its way to the members."""
        self.in_record.extend(self.unrecorded)
        self.unrecorded.clear()
        if self.presumption is Presumption.UNRECORDED:
            self.presumption = Presumption.IN_RECORD

    def note_committed(self) -> None:
        """The records are with all members."""
        self.in_record.clear()
        if self.presumption is Presumption.IN_RECORD:
            self.presumption = Presumption.RECORDED

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
        self.recording: dict[str, TenantWindow] = {}
        """Windows whose record is not known to be with all members."""
        self.to_record: dict[str, None] = {}
        """Tenants whose grants are to be recorded ahead of need."""

    def reset_clocks(self) -> None:
        """This primary's counts are over; the records stay."""
        self.windows, self.recording, self.to_record = {}, {}, {}
        self.first_asked_at = None

    def window_of(self, command: entry.ReserveRequests, now: datetime.timedelta) -> TenantWindow:
        """A tenant's window up to now; one that this primary has not used yet begins with what is recorded.

        :raises result.RequestError: MALFORMED for counts below zero or a window out of bounds, OVERLOADED at a bound
        """
        if min(command.count, command.limit, command.run_ahead) < 0 or not clock.ZERO < command.window <= MAX_WINDOW:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="counts below zero, or no window")
        if command.tenant not in self.windows and len(self.windows) >= MAX_TENANTS:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many tenants")
        if self.first_asked_at is None:
            self.first_asked_at = now
        found = self.windows.get(command.tenant)
        if found is None:
            found = self.windows[command.tenant] = self.recorded_window(command.tenant, now)
            found.presume(self.first_asked_at, command.run_ahead)
            found.expired_until = now - JUST_BEFORE
        found.run_ahead, found.length = command.run_ahead, command.window
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
        window = self.window_of(command, now)
        known = window.known_reply(command)
        if known is not None:
            return (), known
        granted = window.room_for(command)
        is_record_due = granted > 0 and window.is_record_due(granted)
        reply = window.grant(command, granted, now, epoch)
        return (self.record(command.tenant, window, now) if is_record_due else ()), reply

    def reserve_at_once(
        self, command: entry.ReserveRequests, now: datetime.timedelta, epoch: int
    ) -> entry.RequestsReserved | None:
        """The reply, if it needs no record and may go out before the newest record is with all members.

        :raises result.RequestError: as ``decide_reserve``
        """
        window = self.window_of(command, now)
        known = window.known_reply(command)
        if known is not None:
            return known if window.may_answer_at_once(0) else None
        granted = window.room_for(command)
        if granted and not window.may_answer_at_once(granted):
            return None
        reply = window.grant(command, granted, now, epoch)
        if 2 * window.unrecorded_count() > window.run_ahead:
            self.to_record[command.tenant] = None
        return reply

    def due_records(self, now: datetime.timedelta) -> list[entry.RecordRequests]:
        """Records that are written ahead of need, so that grants seldom wait for one."""
        self.forget_idle_windows(now)
        return [entry.RecordRequests(tenant) for tenant in self.to_record]

    def forget_idle_windows(self, now: datetime.timedelta) -> None:
        """Drop some windows that hold nothing; whoever asks again begins with what is recorded."""
        for tenant in list(itertools.islice(self.windows, IDLE_LOOKED_AT)):
            window = self.windows.pop(tenant)
            window.expire(now, window.length)
            if window.steps or window.in_record or window.presumption is not Presumption.RECORDED:
                self.windows[tenant] = window

    def decide_record(self, command: entry.RecordRequests, now: datetime.timedelta) -> entry.Decision:
        """Put a tenant's window on record."""
        window = self.windows.get(command.tenant)
        self.to_record.pop(command.tenant, None)
        if window is None or not window.unrecorded:
            return (), messages.Closed("")
        return self.record(command.tenant, window, now), messages.Closed("")

    def record(self, tenant: str, window: TenantWindow, now: datetime.timedelta) -> tuple[entry.RequestsCounted, ...]:
        """The event that records a tenant's window."""
        window.expire(now, window.length)
        window.note_record()
        self.recording[tenant] = window
        return (record_of(tenant, window, now, window.length),)

    def note_committed(self) -> None:
        """The records are with all members."""
        for window in self.recording.values():
            window.note_committed()
        self.recording.clear()

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
