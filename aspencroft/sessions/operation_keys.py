"""Operation keys: which attempt may run under a key, its outcome, and how long the key is retained."""

import collections.abc
import datetime

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages, retention

MAX_ANSWER_BYTES = 256 << 10
"""A larger answer is not stored; the outcome of the key is then NOT_KEPT."""
MAX_KEYS = 200_000
"""Limit on the sum of keys and released attempts of a group."""
OVERLOADED_RETRY_AFTER = clock.seconds(5)


class OperationKeys:
    """One record for each key. The first attempt reserves the key; all others get its state and never run."""

    def __init__(self, records: collections.abc.Iterable[entry.Key] = (), released: collections.abc.Iterable[str] = ()):
        records = tuple(records)
        self.records = {record.key: record for record in records}
        self.released: dict[str, None] = dict.fromkeys(released)
        """Attempts that ended without running, perhaps before their reservation arrived; they may not reserve a key."""
        self.in_flight: dict[str, None] = {}
        """Keys whose attempt has not ended."""
        self.bytes = 0
        for record in records:
            self.bytes += answer_bytes(record.headers, record.body)
            if not record.outcome:
                self.in_flight[record.key] = None
        self.reset_clocks()

    def reset_clocks(self) -> None:
        """Reset the timers of all keys and released attempts."""
        self.reserved_at: dict[str, datetime.timedelta] = {}
        self.released_at: dict[str, datetime.timedelta] = {}

    def is_full(self) -> bool:
        """Return whether the limit of keys and released attempts is reached."""
        return len(self.records) + len(self.released) >= MAX_KEYS

    def decide_reserve(self, command: entry.ClaimKey, now: datetime.timedelta, is_payload_full: bool) -> entry.Decision:
        """Reserve a key for the first attempt; all others get the key's state.

        :raises result.RequestError: STALE_TURN if the attempt has released the key before, OVERLOADED at a limit
        """
        known = self.records.get(command.key)
        if known is not None:
            is_holder = not known.outcome and (known.attempt, known.edge) == (command.attempt, command.edge)
            return (), entry.KeyHeld(is_holder, known.outcome, known.status, known.headers, known.body)
        if command.attempt in self.released:
            raise result.RequestError(result.ResultCode.STALE_TURN, detail="the attempt has already released the key")
        if self.is_full() or is_payload_full:
            raise result.RequestError(
                result.ResultCode.OVERLOADED,
                detail="the group is at its limit of operation keys or history",
                retry=OVERLOADED_RETRY_AFTER,
            )
        self.reserved_at[command.key] = now
        event = entry.KeyClaimed(command.key, command.attempt, command.time_limit, command.window, command.edge)
        return (event,), entry.KeyHeld(True, "", 0, (), b"")

    def decide_finish(self, command: entry.CloseKey, now: datetime.timedelta, room: int) -> entry.Decision:
        """Record the outcome of the attempt that holds a key. An outcome is final, except that UNKNOWN may become DONE.

        An answer larger than ``room``, in bytes, is not stored.

        :raises result.RequestError: MALFORMED without a valid outcome, OVERLOADED at the limit of keys
        """
        if command.outcome not in messages.OUTCOMES:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="outcome is missing or invalid")
        known = self.records.get(command.key)
        if known is None or known.attempt != command.attempt:
            if command.outcome != messages.NOT_RUN:
                return (), messages.Closed("")
            if command.attempt in self.released:
                return (), messages.Closed(messages.NOT_RUN)
            if self.is_full():
                raise result.RequestError(
                    result.ResultCode.OVERLOADED,
                    detail="the limit of operation keys of the group is reached",
                    retry=OVERLOADED_RETRY_AFTER,
                )
        elif known.outcome and not (known.outcome == messages.UNKNOWN and command.outcome == messages.DONE):
            return (), messages.Closed(messages.DONE if known.outcome == entry.NOT_KEPT else known.outcome)
        if command.outcome == messages.NOT_RUN:
            self.released_at[command.attempt] = now
            event = entry.KeyClosed(command.key, command.attempt, messages.NOT_RUN, 0, (), b"")
        else:
            assert known is not None
            # The window starts at the last moment at which the work could have run, so a late answer extends it.
            self.reserved_at[command.key] = max(self.reserved_at.get(command.key, now), now - known.time_limit)
            event = key_closed(command, room)
        return (event,), messages.Closed(command.outcome)

    def apply_reserved(self, event: entry.KeyClaimed) -> None:
        """Reserve a key."""
        self.records[event.key] = entry.Key(
            event.key, event.attempt, event.time_limit, event.window, event.edge, "", 0, (), b""
        )
        self.in_flight[event.key] = None

    def apply_finished(self, event: entry.KeyClosed) -> None:
        """Set the outcome of a key, or release it."""
        known = self.records.get(event.key)
        if event.outcome == messages.NOT_RUN:
            self.released[event.attempt] = None
        if known is None or known.attempt != event.attempt:
            return
        self.in_flight.pop(event.key, None)
        if event.outcome == messages.NOT_RUN:
            self.forget(event.key)
            return
        self.records[event.key] = entry.Key(
            event.key,
            event.attempt,
            known.time_limit,
            known.window,
            known.edge,
            event.outcome,
            event.status,
            event.headers,
            event.body,
        )
        self.bytes += answer_bytes(event.headers, event.body)

    def find_overdue(
        self, now: datetime.timedelta, is_gone: collections.abc.Callable[[str], bool]
    ) -> list[entry.CloseKey]:
        """Return commands that end, as UNKNOWN, the keys whose edge is gone or whose time limit has passed."""
        overdue = []
        for key in self.in_flight:
            record = self.records[key]
            is_edge_gone = is_gone(record.edge)
            if (
                now - self.reserved_at.setdefault(key, now) > record.time_limit + retention.RETENTION_MARGIN
                or is_edge_gone
            ):
                overdue.append(entry.CloseKey(key, record.attempt, messages.UNKNOWN, 0, (), b""))
        return overdue

    def find_expired(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Return those of the given keys that have an outcome and whose window has passed.

        The window starts at the last moment at which the work could have run, ``time_limit`` after the reservation, so
        that no second request runs while the first one still may.
        """
        expired = []
        for name in names:
            record = self.records.get(name)
            if record is None:
                continue
            span = record.time_limit + record.window + retention.RETENTION_MARGIN
            if now - self.reserved_at.setdefault(name, now) > span:
                if record.outcome:
                    expired.append(name)
        return tuple(expired)

    def find_expired_released(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Return those of the given released attempts whose reservation can no longer arrive late."""
        span = retention.MIN_RETENTION + retention.RETENTION_MARGIN
        return tuple(
            name for name in names if name in self.released and now - self.released_at.setdefault(name, now) > span
        )

    def forget(self, key: str) -> None:
        """Drop a key and its answer."""
        known = self.records.pop(key, None)
        self.reserved_at.pop(key, None)
        if known is not None:
            self.bytes -= answer_bytes(known.headers, known.body)

    def forget_released(self, attempt: str) -> None:
        """Drop the record of a released attempt."""
        self.released.pop(attempt, None)
        self.released_at.pop(attempt, None)


def answer_bytes(headers: tuple[entry.Header, ...], body: bytes) -> int:
    """Return the size of a stored answer in bytes.

    Example: ``answer_bytes((), b"body") == 4``
    """
    return len(body) + sum(len(header.name) + len(header.value) for header in headers)


def key_closed(command: entry.CloseKey, room: int) -> entry.KeyClosed:
    """Return the event that ends a key; an answer that is too large is left out and marked as NOT_KEPT."""
    if command.outcome != messages.DONE:
        return entry.KeyClosed(command.key, command.attempt, command.outcome, 0, (), b"")
    if answer_bytes(command.headers, command.body) > min(MAX_ANSWER_BYTES, room):
        return entry.KeyClosed(command.key, command.attempt, entry.NOT_KEPT, command.status, (), b"")
    return entry.KeyClosed(command.key, command.attempt, messages.DONE, command.status, command.headers, command.body)
