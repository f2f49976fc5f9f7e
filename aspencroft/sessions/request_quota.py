"""Request quotas of tenants: sliding-window rate limits that apply to all edges together.

The group's primary counts the requests it grants in memory. For a successor, the counts of a tenant are written to the
group's log, but not for each grant: the primary may run ahead of the newest record by a bounded number of requests
(``run_ahead``). A takeover loses at most that many grants. The first record of the new primary presumes that this many
were lost, so that the losses of several takeovers within one window do not add up.
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
"""Number of steps in a window; the grants of one step are counted together, at the time of the last one."""
RECORDED_STEPS = 10
"""Number of steps in a window of a record, which gives the age of a grant in whole steps, rounded down."""
MAX_TENANTS = 50_000
MAX_WINDOW = clock.seconds(3600)
REPLIES_CHECKED_PER_REQUEST = 8
"""Maximum number of remembered replies checked for expiry on each request, which is more than one request adds."""
IDLE_WINDOWS_PER_STEP = 16
"""Windows checked in one scan step."""
JUST_BEFORE = datetime.timedelta(microseconds=1)
MIN_RETRY_AFTER = clock.seconds(0.01)


class GrantedStep(typing.NamedTuple):
    """Requests granted within one step of a window; ``at`` is a time of this primary's clock."""

    at: datetime.timedelta
    requests: int


class AnsweredRequest(typing.NamedTuple):
    """The newest reservation request of an edge for a tenant, and the reply to it."""

    number: int
    at: datetime.timedelta
    reply: entry.RequestsReserved


class Presumption(enum.Enum):
    """Whether presumed grants of an earlier primary are in the log: not yet, in a record being sent, or committed."""

    UNRECORDED = enum.auto()
    IN_RECORD = enum.auto()
    RECORDED = enum.auto()


class TenantWindow:
    """The grants of a tenant within the window that ends now."""

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
        """The steps that are not in any record."""
        self.answered: dict[str, AnsweredRequest] = {}
        """By requesting edge, oldest request first."""
        self.presumed = GrantedStep(clock.ZERO, 0)
        """Grants that an earlier primary may have made without a record.

        They are not in ``total``: the allowed error of the quota covers them.
        """
        self.presumption = Presumption.RECORDED
        self.in_record: list[GrantedStep] = []
        """The steps whose record is not yet known to be committed on all members."""
        self.run_ahead = 0
        """Maximum number of granted requests without a record, as given by the newest request."""
        self.length = clock.ZERO
        self.expired_until = datetime.timedelta.min
        """Grants made at or before this time have already been dropped."""

    def presume(self, now: datetime.timedelta, count: int) -> None:
        """Presume that an earlier primary granted this many requests at this time without a record."""
        self.presumed = GrantedStep(now, count)
        self.presumption = Presumption.UNRECORDED if count else Presumption.RECORDED

    def expire(self, now: datetime.timedelta, window: datetime.timedelta) -> None:
        """Drop the grants and remembered replies that are older than the window."""
        while self.steps and now - self.steps[0].at > window:
            oldest = self.steps.popleft()
            self.total -= oldest.requests
            self.expired_until = oldest.at
        while self.unrecorded and now - self.unrecorded[0].at > window:
            self.unrecorded.popleft()
        for edge, answered in list(itertools.islice(self.answered.items(), REPLIES_CHECKED_PER_REQUEST)):
            if now - answered.at > window:
                del self.answered[edge]
        if now - self.presumed.at > window:
            self.presume(now, 0)

    def known_reply(self, command: entry.ReserveRequests) -> entry.RequestsReserved | None:
        """Return the earlier reply if the command is a retry of the edge's newest request, otherwise None."""
        answered = self.answered.get(command.edge)
        return answered.reply if answered is not None and answered.number == command.request_number else None

    def remember(self, command: entry.ReserveRequests, now: datetime.timedelta, reply: entry.RequestsReserved) -> None:
        """Remember a reply, so that a retry after its loss gets the same one."""
        self.answered.pop(command.edge, None)
        self.answered[command.edge] = AnsweredRequest(command.request_number, now, reply)

    def add(self, now: datetime.timedelta, count: int, window: datetime.timedelta) -> None:
        """Count a grant; all grants within one step count as made at the time of the last one."""
        self.total += count
        step_length = window / STEPS_PER_WINDOW
        for steps in (self.steps, self.unrecorded):
            is_same_step = steps and steps[-1].at // step_length == now // step_length
            earlier = steps.pop().requests if is_same_step else 0
            steps.append(GrantedStep(now, earlier + count))

    def room_for(self, command: entry.ReserveRequests) -> int:
        """Return how many of the requested requests may be granted."""
        return max(0, min(command.count, command.limit - self.total))

    def grant(
        self, command: entry.ReserveRequests, granted: int, now: datetime.timedelta, epoch: int
    ) -> entry.RequestsReserved:
        """Count the granted requests, if any, and remember the reply."""
        retry = clock.ZERO if granted == command.count else self.time_until_free(now, command.window)
        reply = entry.RequestsReserved(granted, retry, epoch, now)
        self.remember(command, now, reply)
        if granted:
            self.add(now, granted, command.window)
        return reply

    def take_back(self, count: int) -> None:
        """Stop counting granted requests that did not run and have not expired.

        The oldest grants are dropped: whichever grants were unused, the remaining ones expire no earlier than those
        that were used.
        """
        while count > 0 and self.steps:
            oldest = self.steps.popleft()
            taken = min(count, oldest.requests)
            count -= taken
            self.total -= taken
            if oldest.requests > taken:
                self.steps.appendleft(GrantedStep(oldest.at, oldest.requests - taken))

    def unrecorded_count(self) -> int:
        """Return the number of granted requests that are not in any record."""
        return sum(step.requests for step in self.unrecorded)

    def is_record_due(self, granted: int) -> bool:
        """Return whether a record must be committed before the reply that grants this many more requests.

        That is so if the unrecorded grants would exceed ``run_ahead``, or if the presumed grants are unrecorded.
        """
        return self.presumption is Presumption.UNRECORDED or self.unrecorded_count() + granted > self.run_ahead

    def may_answer_at_once(self, granted: int) -> bool:
        """Return whether this many more may be granted though the newest record may not be committed on all members."""
        uncommitted = self.unrecorded_count() + sum(step.requests for step in self.in_record) + granted
        return self.presumption is Presumption.RECORDED and uncommitted <= self.run_ahead

    def note_record(self) -> None:
        """Note that all counted and presumed grants are in a record that is being sent to the members."""
        self.in_record.extend(self.unrecorded)
        self.unrecorded.clear()
        if self.presumption is Presumption.UNRECORDED:
            self.presumption = Presumption.IN_RECORD

    def note_committed(self) -> None:
        """Note that the record of this window is committed on all members."""
        self.in_record.clear()
        if self.presumption is Presumption.IN_RECORD:
            self.presumption = Presumption.RECORDED

    def time_until_free(self, now: datetime.timedelta, window: datetime.timedelta) -> datetime.timedelta:
        """Return the time until the oldest grants leave the window."""
        if not self.steps:
            return MIN_RETRY_AFTER
        return max(MIN_RETRY_AFTER, self.steps[0].at + window - now)


class RecordedWindow(typing.NamedTuple):
    """The newest record of a tenant's grants, and when this replica first saw it (never before it was written)."""

    event: entry.RequestsCounted
    seen_at: datetime.timedelta | None


class RequestQuotas:
    """The request quotas of all tenants of a group.

    The records are the replicated state. The windows belong to one tenure as primary and start from the records.
    """

    def __init__(self, records: collections.abc.Iterable[entry.RequestsCounted] = ()):
        self.records = {event.tenant: RecordedWindow(event, None) for event in records}
        self.windows: dict[str, TenantWindow] = {}
        self.first_asked_at: datetime.timedelta | None = None
        """Time of the first request to this primary; earlier primaries granted nothing after it."""
        self.recording: dict[str, TenantWindow] = {}
        """Windows whose record is not yet known to be committed on all members."""
        self.to_record: dict[str, None] = {}
        """Tenants whose grants are to be recorded before a reply has to wait for it."""

    def reset_clocks(self) -> None:
        """Drop the windows when this node stops being the primary; the records stay."""
        self.windows, self.recording, self.to_record = {}, {}, {}
        self.first_asked_at = None

    def window_of(self, command: entry.ReserveRequests, now: datetime.timedelta) -> TenantWindow:
        """Return a tenant's window, without expired grants; a window new to this primary starts from the record.

        :raises result.RequestError: MALFORMED for a negative count or a window out of range, OVERLOADED at MAX_TENANTS
        """
        if min(command.count, command.limit, command.run_ahead) < 0 or not clock.ZERO < command.window <= MAX_WINDOW:
            raise result.RequestError(
                result.ResultCode.MALFORMED, detail="a count is negative, or the window is out of range"
            )
        if command.tenant not in self.windows and len(self.windows) >= MAX_TENANTS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail="the limit of tenants of the group is reached"
            )
        if self.first_asked_at is None:
            self.first_asked_at = now
        window = self.windows.get(command.tenant)
        if window is None:
            window = self.windows[command.tenant] = self.recorded_window(command.tenant, now)
            window.presume(self.first_asked_at, command.run_ahead)
            window.expired_until = now - JUST_BEFORE
        window.run_ahead, window.length = command.run_ahead, command.window
        window.expire(now, command.window)
        return window

    def recorded_window(self, tenant: str, now: datetime.timedelta) -> TenantWindow:
        """Return the window that a tenant's record shows, with the minimum age that is certain for each grant."""
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
        """Grant as many of the requests as the window has room for, with a record if too many grants have none.

        :raises result.RequestError: MALFORMED for a negative count or a window out of range, OVERLOADED at MAX_TENANTS
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
        """Return the reply if it needs no record and need not wait until the newest record is committed, else None.

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
        """Return the commands that record grants early, so that replies seldom have to wait for a record."""
        self.forget_idle_windows(now)
        return [entry.RecordRequests(tenant) for tenant in self.to_record]

    def forget_idle_windows(self, now: datetime.timedelta) -> None:
        """Check some windows and drop the idle ones; a later request of their tenant starts from the record."""
        for tenant in list(itertools.islice(self.windows, IDLE_WINDOWS_PER_STEP)):
            window = self.windows.pop(tenant)
            window.expire(now, window.length)
            if window.steps or window.in_record or window.presumption is not Presumption.RECORDED:
                self.windows[tenant] = window

    def decide_record(self, command: entry.RecordRequests, now: datetime.timedelta) -> entry.Decision:
        """Record a tenant's window, if it has unrecorded grants."""
        window = self.windows.get(command.tenant)
        self.to_record.pop(command.tenant, None)
        if window is None or not window.unrecorded:
            return (), messages.Closed("")
        return self.record(command.tenant, window, now), messages.Closed("")

    def record(self, tenant: str, window: TenantWindow, now: datetime.timedelta) -> tuple[entry.RequestsCounted, ...]:
        """Return the event that records a tenant's window."""
        window.expire(now, window.length)
        window.note_record()
        self.recording[tenant] = window
        return (record_of(tenant, window, now, window.length),)

    def note_committed(self) -> None:
        """Note that all records so far are committed on all members."""
        for window in self.recording.values():
            window.note_committed()
        self.recording.clear()

    def decide_return(self, command: entry.ReturnRequests, epoch: int) -> entry.Decision:
        """Stop counting requests that were granted in this tenure and did not run.

        Grants of an earlier primary stay counted. A delayed return is ignored once its grants have left the window, as
        it would remove other grants instead.
        """
        window = self.windows.get(command.tenant)
        if window is not None and command.epoch == epoch and command.granted_at > window.expired_until:
            window.take_back(command.count)
        return (), entry.RequestsReserved(0, clock.ZERO, epoch, command.granted_at)

    def apply_counted(self, event: entry.RequestsCounted, now: datetime.timedelta | None) -> None:
        """Store a tenant's record; at MAX_TENANTS the least recently recorded tenant is dropped."""
        self.records.pop(event.tenant, None)
        if len(self.records) >= MAX_TENANTS:
            self.records.pop(next(iter(self.records)))
        self.records[event.tenant] = RecordedWindow(event, now)

    def snapshot(self) -> tuple[entry.RequestsCounted, ...]:
        """Return all records, least recently recorded first."""
        return tuple(record.event for record in self.records.values())


def record_of(
    tenant: str, window: TenantWindow, now: datetime.timedelta, length: datetime.timedelta
) -> entry.RequestsCounted:
    """Return the record of a tenant's window, in coarser steps; presumed grants are included for a successor."""
    step_length = length / RECORDED_STEPS
    counts: collections.Counter[int] = collections.Counter()
    for step in (*window.steps, window.presumed):
        counts[(now - step.at) // step_length] += step.requests
    steps = (
        entry.CountedStep(age * step_length, count) for age, count in sorted(counts.items(), reverse=True) if count
    )
    return entry.RequestsCounted(tenant, tuple(steps))
