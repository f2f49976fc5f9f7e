"""Turns in flight, retained turns with their history, and finished attempts that must not begin again."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages, retention

MAX_CHAIN_BYTES = 16 << 20
MAX_TURNS = 100_000
"""Limit on the sum of turns in flight, retained turns and finished attempts of a group."""
TURN_NOT_ENDED_RETRY_AFTER = clock.seconds(0.3)
"""Short, as the previous turn is about to end: its caller has the answer already."""
RAN_BY_OUTCOME = {
    messages.DONE: result.Ran.RAN,
    messages.NOT_RUN: result.Ran.NOT_RUN,
    messages.UNKNOWN: result.Ran.UNKNOWN,
}


class Predecessor(typing.NamedTuple):
    """The chain that a turn continues: its turns to import, its size in bytes, and the worker of its last turn."""

    imported: tuple[entry.Turn, ...]
    chain_bytes: int
    worker: str


NO_PREDECESSOR = Predecessor((), 0, "")


class TurnHistory:
    """Turns by attempt. The history of a turn is stored once and shared by all chains that contain it.

    A turn is retained as long as a turn that continues it is retained or in flight. Timers start when this primary
    first sees an item, so that neither a takeover nor a restart shortens a retention period. The age that a retained
    turn has by then is known from the group's own time.
    """

    def __init__(
        self,
        group_clock: retention.GroupClock,
        snapshot: entry.CallSessionsSnapshot,
        ages: entry.TurnAges,
        expected: entry.ExpectedBytes,
    ):
        self.group_clock = group_clock
        self.retained = {retained.turn.attempt: retained for retained in snapshot.turns}
        self.in_flight = {started.attempt: started for started in snapshot.in_flight}
        self.finished = {finished.attempt: finished for finished in snapshot.finished}
        self.ended_at = dict(zip(self.retained, ages.ended, strict=True))
        """When each retained turn ended, in the group's time."""
        self.successors: dict[str, int] = {}
        """For each turn that has any: the number of retained or in-flight turns that continue it."""
        self.bytes = 0
        self.program_bytes: collections.Counter[str] = collections.Counter()
        """For each program that holds any: the bytes of its retained turns and those expected of its turns in flight.

        A chain that helpers share counts once.
        """
        for retained in snapshot.turns:
            self.pin(retained.turn.previous)
            self.add_bytes(retained.program, turn_bytes(retained.turn))
        for started in snapshot.in_flight:
            self.pin(started.previous)
        self.expected: dict[str, int] = {}
        """For each turn in flight that reserves room: the bytes that it is expected to add to the history."""
        for started, size in zip(snapshot.in_flight, expected.sizes, strict=False):
            self.expect(started, size)
        self.reset_clocks()

    def reset_clocks(self) -> None:
        """Reset the timers of all turns and finished attempts."""
        self.began_at: dict[str, datetime.timedelta] = {}
        self.answered_at: dict[str, datetime.timedelta] = {}
        self.finished_at: dict[str, datetime.timedelta] = {}

    def count(self) -> int:
        """Return the number of turns and finished attempts."""
        return len(self.retained) + len(self.in_flight) + len(self.finished)

    # -- starting a turn ------------------------------------------------------------------------

    def repeated_start(self, command: entry.BeginTurn) -> entry.TurnBegun | None:
        """Return the reply to a repeated start of an attempt in flight, or None if the attempt is new.

        :raises result.RequestError: TURN_UNDER_WAY if it is in flight as a different turn, STALE_TURN if it has ended
        """
        known = self.in_flight.get(command.attempt)
        if known is not None:
            if (known.program, known.session, known.previous, known.edge) != (
                command.program,
                command.session,
                command.previous,
                command.edge,
            ):
                raise result.RequestError(
                    result.ResultCode.TURN_UNDER_WAY, detail="the attempt is in flight as a different turn"
                )
            return self.start_reply(known.previous, command.held_turn, known.worker, ())
        if command.attempt in self.retained:
            raise result.RequestError(result.ResultCode.STALE_TURN, result.Ran.RAN, "the attempt has already ended")
        if command.attempt in self.finished:
            outcome = self.finished[command.attempt].outcome
            raise result.RequestError(
                result.ResultCode.STALE_TURN, RAN_BY_OUTCOME[outcome], f"the attempt has already ended: {outcome}"
            )
        return None

    def find_predecessor(self, command: entry.BeginTurn) -> Predecessor:
        """Return the chain that a turn continues; if the command brings it, with those turns that are not retained yet.

        :raises result.RequestError: TURN_NOT_ENDED, UNKNOWN_TURN, or MALFORMED if the base is not a valid chain
        """
        if not command.previous:
            return NO_PREDECESSOR
        known = self.retained.get(command.previous)
        if known is not None:
            return Predecessor((), known.size, known.turn.worker)
        self.check_end_is_known(command.previous)
        if not command.base:
            raise result.RequestError(result.ResultCode.UNKNOWN_TURN, detail=command.previous)
        last, attempts = "", {command.attempt, ""}
        for turn in command.base:
            if turn.previous != last or turn.attempt in attempts or turn.attempt in self.in_flight:
                raise result.RequestError(result.ResultCode.MALFORMED, detail="the turns of base do not form a chain")
            attempts.add(turn.attempt)
            last = turn.attempt
        if last != command.previous:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="base does not end with the previous turn")
        return Predecessor(
            tuple(turn for turn in command.base if turn.attempt not in self.retained),
            sum(map(turn_bytes, command.base)),
            command.base[-1].worker,
        )

    def check_end_is_known(self, attempt: str) -> None:
        """Raise if a turn is not retained yet but may still become so, as it must not be reported as unknown then.

        :raises result.RequestError: TURN_NOT_ENDED
        """
        finished = self.finished.get(attempt)
        if attempt in self.in_flight or (
            finished is not None and finished.retained and finished.outcome == messages.UNKNOWN
        ):
            raise result.RequestError(
                result.ResultCode.TURN_NOT_ENDED, detail=attempt, retry=TURN_NOT_ENDED_RETRY_AFTER
            )

    def start_reply(
        self, previous: str, held_turn: str, worker: str, imported: tuple[entry.Turn, ...]
    ) -> entry.TurnBegun:
        """Return the reply to a turn's start: the chain up to ``previous``, or only its part after ``held_turn``."""
        new = {turn.attempt: turn for turn in imported}
        chain, attempt = [], previous
        while attempt and attempt != held_turn:
            turn = new[attempt] if attempt in new else self.retained[attempt].turn
            chain.append(turn)
            attempt = turn.previous
        chain.reverse()
        return entry.TurnBegun(tuple(chain), worker, not attempt)

    def decide_find(self, command: entry.FindTurn, now: datetime.timedelta) -> entry.Decision:
        """Look up a retained turn and its chain.

        :raises result.RequestError: TURN_NOT_ENDED while the turn may still become retained
        """
        if command.attempt not in self.retained:
            self.check_end_is_known(command.attempt)
            return (), entry.TurnFound(False, ())
        return (), entry.TurnFound(True, self.start_reply(command.attempt, "", "", ()).chain)

    def apply_began(self, event: entry.TurnBegan) -> None:
        """Add a turn in flight, and retain the chain that came with it."""
        for turn in event.base:
            self.retain(turn, "", event.retention_period)
        self.in_flight[event.attempt] = dataclasses.replace(event, base=()) if event.base else event
        self.pin(event.previous)

    def expect(self, started: entry.TurnBegan, size: int) -> None:
        """Reserve room for what a turn in flight is expected to add to the history."""
        if size:
            self.expected[started.attempt] = size
            self.add_bytes(started.program, size)

    # -- ending a turn --------------------------------------------------------------------------

    def take_in_flight(self, attempt: str) -> entry.TurnBegan | None:
        """Remove a turn from those in flight. Its predecessor stays pinned until the caller unpins it."""
        started = self.in_flight.pop(attempt, None)
        self.began_at.pop(attempt, None)
        if started is not None:
            self.add_bytes(started.program, -self.expected.pop(attempt, 0))
        return started

    def take_finished(self, attempt: str) -> entry.FinishedAttempt | None:
        """Remove a finished attempt whose outcome becomes known late."""
        return self.finished.pop(attempt, None)

    def add_finished(self, finished: entry.FinishedAttempt) -> None:
        """Remember an attempt that must not begin again."""
        self.finished[finished.attempt] = finished

    def retain(self, turn: entry.Turn, program: str, retention_period: datetime.timedelta) -> None:
        """Retain a turn's history, unless it is retained already.

        The turn counts as ended at the next tick, so that the time since the last tick does not add to its age.
        """
        if turn.attempt in self.retained:
            return
        self.finished.pop(turn.attempt, None)
        self.finished_at.pop(turn.attempt, None)
        self.ended_at[turn.attempt] = self.group_clock.time + retention.TICK_SPAN
        added = turn_bytes(turn)
        previous = self.retained.get(turn.previous)
        self.retained[turn.attempt] = entry.RetainedTurn(
            turn, program, retention_period, added + (previous.size if previous else 0)
        )
        self.add_bytes(program, added)
        self.pin(turn.previous)

    def add_bytes(self, program: str, size: int) -> None:
        """Count bytes of history, negative ones that are forgotten, for the group and for a program."""
        self.bytes += size
        self.program_bytes[program] += size
        if not self.program_bytes[program]:
            del self.program_bytes[program]

    def pin(self, attempt: str) -> None:
        """Count a turn, retained or in flight, that continues this one."""
        if attempt:
            self.successors[attempt] = self.successors.get(attempt, 0) + 1

    def unpin(self, attempt: str) -> None:
        """Count one turn less that continues this one."""
        if attempt:
            left = self.successors.pop(attempt, 0) - 1
            if left > 0:
                self.successors[attempt] = left

    # -- expiry ---------------------------------------------------------------------------------

    def find_overdue(
        self, now: datetime.timedelta, is_gone: collections.abc.Callable[[str], bool]
    ) -> list[entry.EndTurn]:
        """Return commands that end, as UNKNOWN, the turns whose edge is gone or whose time limit has passed."""
        overdue = []
        for attempt, started in self.in_flight.items():
            is_edge_gone = is_gone(started.edge)
            if (
                now - self.began_at.setdefault(attempt, now) > started.time_limit + retention.RETENTION_MARGIN
                or is_edge_gone
            ):
                overdue.append(
                    entry.EndTurn(started.program, started.session, attempt, messages.UNKNOWN, b"", b"", 0, "")
                )
        return overdue

    def age(self, attempt: str) -> datetime.timedelta:
        """Return the minimum time for which a turn has been retained, by the group's time."""
        time = self.group_clock.time
        return max(clock.ZERO, time - self.ended_at.get(attempt, time))

    def find_expired(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Return the given turns, and their predecessors, that have expired and that no remaining turn continues."""
        expired: dict[str, None] = {}
        unpinned: collections.Counter[str] = collections.Counter()
        """For each turn, the number of its successors among the expired ones."""
        for name in names:
            attempt = name
            known = self.retained.get(attempt)
            while (
                known is not None
                and attempt not in expired
                and now - self.answered_at.setdefault(attempt, now - self.age(attempt))
                > known.retention_period + retention.RETENTION_MARGIN
                and self.successors.get(attempt, 0) == unpinned[attempt]
            ):
                expired[attempt] = None
                attempt = known.turn.previous
                unpinned[attempt] += 1
                known = self.retained.get(attempt)
        return tuple(expired)

    def find_expired_finished(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Return those of the given finished attempts whose start can no longer arrive late."""
        span = retention.MIN_RETENTION + retention.RETENTION_MARGIN
        return tuple(
            name for name in names if name in self.finished and now - self.finished_at.setdefault(name, now) > span
        )

    def forget(self, attempt: str) -> entry.RetainedTurn | None:
        """Drop a turn's history and return it.

        A turn with a short retention period is still remembered as finished, so that a late start cannot run it again.
        """
        known = self.retained.pop(attempt, None)
        self.ended_at.pop(attempt, None)
        self.answered_at.pop(attempt, None)
        if known is None:
            return None
        self.add_bytes(known.program, -turn_bytes(known.turn))
        self.unpin(known.turn.previous)
        if known.retention_period < retention.MIN_RETENTION:
            self.finished[attempt] = entry.FinishedAttempt(
                attempt, messages.DONE, known.program, known.turn.previous, 0, 0, False, known.retention_period
            )
        return known

    def forget_finished(self, attempt: str) -> None:
        """Drop the record of a finished attempt."""
        self.finished.pop(attempt, None)
        self.finished_at.pop(attempt, None)


def turn_bytes(turn: entry.Turn) -> int:
    """Return the size of a turn's own history in bytes.

    Example: ``turn_bytes(entry.Turn("a", "", b"in", b"out", "")) == 5``
    """
    return len(turn.input) + len(turn.output)
