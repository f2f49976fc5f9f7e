"""Replicated state machine for the opaque calls of a session group: token budgets, turn history, operation keys.

Opaque calls are requests that are passed to workers unread.
"""

import collections.abc
import datetime
import functools
import math
import typing

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import (
    entry,
    messages,
    operation_keys,
    request_quota,
    retention,
    session_snapshot,
    token_budget,
    turn_history,
)

FIRST_TURN_SHARE = 0.9
"""New chains may begin only below this share of the payload limit; existing chains may use all of it."""
HOLDING_FACTOR = 2
"""How many times the bytes that are left a program may hold: who holds most is refused first, and never takes all."""
LARGE_CHAIN_BYTES = 256 << 10
"""A larger chain is not sent with the reply to the start of a turn: the edge reserves its size first."""
MAX_PAYLOAD_BYTES = 24 << 20
"""Limit on the history and stored answers of a group; a machine with little memory sets a lower one."""
OVERLOADED_RETRY_AFTER = clock.seconds(5)


class CallSessions:
    """Token budgets, turns, operation keys and request quotas of a session group.

    Deciding a command returns events, and applying events is the only way to change the replicated state. Deciding
    changes only the primary's local timers and its request counts. A timer starts when this primary first sees an
    item, so that neither a takeover nor a restart shortens a retention period. Replicas apply the same events in the
    same order and therefore hold the same state, including the order of the items in each table.
    """

    def __init__(self) -> None:
        self.max_payload_bytes = MAX_PAYLOAD_BYTES
        self.load(session_snapshot.empty())

    def load(self, restored: session_snapshot.Restored) -> None:
        """Replace the state with that of a snapshot and reset all timers; the payload limit stays."""
        snapshot, ages, quotas, _, expected = restored
        self.group_clock = retention.GroupClock(ages.time)
        self.budgets = token_budget.TokenBudgets(snapshot.accounts)
        self.history = turn_history.TurnHistory(self.group_clock, snapshot, ages, expected)
        self.keys = operation_keys.OperationKeys(snapshot.keys, snapshot.released)
        self.quotas = request_quota.RequestQuotas(quotas.counted)
        self.scan = retention.RetentionScan()

    def reset_clocks(self) -> None:
        """Reset all timers when this node stops being the primary, so that a later tenure starts them anew."""
        self.budgets.reset_clocks()
        self.history.reset_clocks()
        self.keys.reset_clocks()
        self.quotas.reset_clocks()
        self.group_clock.reset()
        self.scan.reset()

    def payload_bytes(self) -> int:
        """Return the bytes of history, of what turns in flight are expected to add to it, and of stored answers."""
        return self.history.bytes + self.keys.bytes

    # -- commands ------------------------------------------------------------------------------

    def decide(self, command: entry.Command, now: datetime.timedelta, epoch: int = 0) -> entry.Decision:
        """Decide a command: return its events and its reply.

        :raises result.RequestError: if the command is rejected; nothing has changed then
        """
        if isinstance(command, entry.ReserveRequests):
            return self.quotas.decide_reserve(command, now, epoch)
        if isinstance(command, entry.ReturnRequests):
            return self.quotas.decide_return(command, epoch)
        return COMMANDS[type(command)](self, command, now)

    def decide_at_once(self, command: object, now: datetime.timedelta, epoch: int) -> entry.Reply | None:
        """Return the reply of a quota command that needs no log entry, or None for any other command.

        :raises result.RequestError: if the command is rejected
        """
        if isinstance(command, entry.ReserveRequests):
            return self.quotas.reserve_at_once(command, now, epoch)
        if isinstance(command, entry.ReturnRequests):
            return self.quotas.decide_return(command, epoch)[1]
        return None

    def is_command(self, command: object) -> bool:
        """Return whether a command belongs to opaque calls."""
        return type(command) in COMMANDS or isinstance(command, entry.ReserveRequests | entry.ReturnRequests)

    def begin_retained_turn(self, command: entry.BeginRetainedTurn, now: datetime.timedelta) -> entry.Decision:
        """Start a turn like ``begin_turn``, and reserve room for what it is expected to add to the history."""
        decided, reply = self.begin_turn(command.begin, now, max(0, command.expected_bytes))
        events = tuple(entry.RetainedTurnBegan(began, max(0, command.expected_bytes)) for began in decided)
        chain_bytes = sum(map(turn_history.turn_bytes, reply.chain))
        if chain_bytes > LARGE_CHAIN_BYTES:
            return events, entry.LargeChainBegun(chain_bytes, reply.worker)
        return events, reply

    def begin_turn(
        self, command: entry.BeginTurn, now: datetime.timedelta, expected_bytes: int | None = None
    ) -> tuple[tuple[entry.TurnBegan, ...], entry.TurnBegun]:
        """Start a turn, once for each attempt, while used plus reserved tokens are below the program's budget.

        A program without a budget is not limited. The order of the checks decides which result a caller gets: an
        attempt that ran never gets OUT_OF_BUDGET.
        """
        repeated = self.history.repeated_start(command)
        if repeated is not None:
            return (), repeated
        if not command.attempt or command.max_tokens < 0 or command.budget < 0:
            raise result.RequestError(
                result.ResultCode.MALFORMED, detail="attempt is missing, or a token count is negative"
            )
        budget = self.budgets.budget_in_force(command, now)
        imported, chain_bytes, worker = self.history.find_predecessor(command)
        if self.budgets.is_full_for(command.program) or self.history.count() + len(imported) >= turn_history.MAX_TURNS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED,
                detail="the limit of programs or turns of the group is reached",
                retry=OVERLOADED_RETRY_AFTER,
            )
        if command.retained and not self.has_room(command, imported, expected_bytes):
            raise result.RequestError(
                result.ResultCode.OVERLOADED,
                detail=self.describe_use(command.program),
                retry=OVERLOADED_RETRY_AFTER,
            )
        if chain_bytes > turn_history.MAX_CHAIN_BYTES:
            raise result.RequestError(
                result.ResultCode.TOO_LARGE, detail="the history of the chain is at its size limit"
            )
        worker = worker or self.budgets.last_worker(command.program)
        self.history.began_at[command.attempt] = now
        self.budgets.note_activity(command.program, now)
        event = entry.TurnBegan(
            command.program,
            command.session,
            command.attempt,
            command.previous,
            command.max_tokens,
            budget,
            command.retained,
            command.retention_period,
            command.time_limit,
            command.edge,
            worker,
            imported,
        )
        return (event,), self.history.start_reply(command.previous, command.held_turn, worker, imported)

    def describe_use(self, program: str) -> str:
        """Return how many bytes the group and one of its programs hold, for refusals."""
        held = self.history.program_bytes[program]
        return (
            f"the group holds {self.payload_bytes()} of {self.max_payload_bytes} bytes,"
            f" the program {program[:100]!r} {held} of them"
        )

    def has_room(self, command: entry.BeginTurn, imported: tuple[entry.Turn, ...], expected_bytes: int | None) -> bool:
        """Return whether the payload limit, lower for the first turn of a chain, has room for a turn.

        Edges of earlier versions do not tell what a turn is expected to add. It is not counted then.
        """
        added = sum(map(turn_history.turn_bytes, imported))
        if expected_bytes is not None:
            return self.required_limit(command, added, expected_bytes) <= self.max_payload_bytes
        share = 1.0 if command.previous else FIRST_TURN_SHARE
        return self.payload_bytes() + added < share * self.max_payload_bytes

    def required_limit(self, command: entry.BeginTurn, imported_bytes: int, expected_bytes: int) -> int:
        """Return the smallest payload limit under which a turn may begin.

        The program's bytes, with the new ones, must not exceed ``HOLDING_FACTOR`` times those that are left after it.
        So a program that holds little goes on, however much others hold: these are refused before they take the rest.
        """
        used = self.payload_bytes() + imported_bytes + expected_bytes
        held = self.history.program_bytes[command.program] + expected_bytes
        left = -(-held // HOLDING_FACTOR)
        share = 1.0 if command.previous else FIRST_TURN_SHARE
        return max(math.ceil(used / share), used + left)

    def wanted_limit(self, command: object) -> int:
        """Return the smallest payload limit under which a command has room, 0 if it needs none."""
        if isinstance(command, entry.BeginRetainedTurn):
            imported_bytes = sum(map(turn_history.turn_bytes, command.begin.base))
            return self.required_limit(command.begin, imported_bytes, max(0, command.expected_bytes))
        if isinstance(command, entry.ClaimKey):
            return self.payload_bytes() + operation_keys.MAX_ANSWER_BYTES
        return 0

    def find_turn(self, command: entry.FindTurn, now: datetime.timedelta) -> entry.Decision:
        """Look up a retained turn and its chain."""
        return self.history.decide_find(command, now)

    def end_turn(self, command: entry.EndTurn, now: datetime.timedelta) -> entry.Decision:
        """End a turn. Its outcome is final, except that UNKNOWN may be replaced by a known one later.

        An attempt that ended as not run can never begin afterwards: a start command that arrives later is rejected as
        STALE_TURN while the attempt is remembered.

        :raises result.RequestError: MALFORMED, UNKNOWN_TURN, or STALE_TURN if the outcome arrived too late to count
        """
        if command.outcome not in messages.OUTCOMES or not command.attempt:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="attempt or outcome is missing or invalid")
        is_done = command.outcome == messages.DONE
        known: entry.TurnBegan | entry.FinishedAttempt | None = self.history.in_flight.get(command.attempt)
        if known is None:
            if command.attempt in self.history.retained:
                return (), messages.Closed(messages.DONE)
            finished = self.history.finished.get(command.attempt)
            if finished is None:
                return self.end_unknown_attempt(command, now)
            if finished.outcome != messages.UNKNOWN or command.outcome == messages.UNKNOWN:
                if finished.outcome == messages.NOT_RUN and is_done:
                    raise result.RequestError(
                        result.ResultCode.STALE_TURN,
                        result.Ran.UNKNOWN,
                        "the attempt was already reported as not run",
                    )
                return (), messages.Closed(finished.outcome)
            if is_done and finished.retained and finished.previous and finished.previous not in self.history.retained:
                raise result.RequestError(
                    result.ResultCode.STALE_TURN, result.Ran.UNKNOWN, "the previous turn is no longer retained"
                )
            known = finished
        is_retained = is_done and known.retained
        (self.history.answered_at if is_retained else self.history.finished_at)[command.attempt] = now
        self.budgets.note_activity(known.program, now)
        event = entry.TurnEnded(
            command.attempt,
            command.outcome,
            command.input if is_retained else b"",
            command.output if is_retained else b"",
            max(0, command.used),
            command.worker,
        )
        return (event,), messages.Closed(command.outcome)

    def end_unknown_attempt(self, command: entry.EndTurn, now: datetime.timedelta) -> entry.Decision:
        """End an attempt that this group does not know.

        An attempt that did not run is recorded as finished, because its start command may still arrive: it is then
        rejected as STALE_TURN.

        :raises result.RequestError: UNKNOWN_TURN unless the attempt did not run, OVERLOADED at the limit of turns
        """
        if command.outcome != messages.NOT_RUN:
            raise result.RequestError(result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN, command.attempt)
        if self.history.count() >= turn_history.MAX_TURNS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED,
                detail="the limit of turns of the group is reached",
                retry=OVERLOADED_RETRY_AFTER,
            )
        self.history.finished_at[command.attempt] = now
        return (entry.TurnEnded(command.attempt, messages.NOT_RUN, b"", b"", 0, ""),), messages.Closed(messages.NOT_RUN)

    def reserve_key(self, command: entry.ClaimKey, now: datetime.timedelta) -> entry.Decision:
        """Reserve an operation key for the first attempt; all others get the key's state and never run."""
        return self.keys.decide_reserve(command, now, self.payload_bytes() >= self.max_payload_bytes)

    def finish_key(self, command: entry.CloseKey, now: datetime.timedelta) -> entry.Decision:
        """Record the outcome of the attempt that holds an operation key."""
        return self.keys.decide_finish(command, now, self.max_payload_bytes - self.payload_bytes())

    def record_requests(self, command: entry.RecordRequests, now: datetime.timedelta) -> entry.Decision:
        """Write the grants of a tenant to the log."""
        return self.quotas.decide_record(command, now)

    def tick(self, command: entry.Tick, now: datetime.timedelta) -> entry.Decision:
        """Advance the group's time by one tick if at least that much time has passed since the last tick."""
        return self.group_clock.decide_tick(command, now)

    def forget(self, command: entry.Forget, now: datetime.timedelta) -> entry.Decision:
        """Forget expired items. Each is checked again, as it may have changed since the scan."""
        event = entry.Forget(
            self.budgets.find_expired(command.programs, now),
            self.history.find_expired(command.turns, now),
            self.history.find_expired_finished(command.finished_attempts, now),
            self.keys.find_expired(command.keys, now),
            self.keys.find_expired_released(command.released_attempts, now),
        )
        is_any_expired = (
            event.programs or event.turns or event.finished_attempts or event.keys or event.released_attempts
        )
        return ((event,) if is_any_expired else ()), messages.Closed("")

    # -- events --------------------------------------------------------------------------------

    def apply(self, event: entry.Event) -> None:
        """Apply an event to the state."""
        EVENTS[type(event)](self, event)

    def apply_turn_began(self, event: entry.TurnBegan) -> None:
        """Add a turn in flight and reserve its tokens."""
        self.history.apply_began(event)
        self.budgets.reserve(event)

    def apply_retained_turn_began(self, event: entry.RetainedTurnBegan) -> None:
        """Add a turn in flight, and reserve its tokens and the room for what it is expected to add."""
        self.apply_turn_began(event.began)
        self.history.expect(event.began, event.expected_bytes)

    def apply_turn_ended(self, event: entry.TurnEnded) -> None:
        """End a turn: charge its program, and retain its history or only remember the attempt as finished."""
        started = self.history.take_in_flight(event.attempt)
        finished = self.history.take_finished(event.attempt)
        known = started or finished or entry.FinishedAttempt(event.attempt, "", "", "", 0, 0, False, clock.ZERO)
        charged, reserved = 0, started.reserved() if started else 0
        if known.budget and event.outcome != messages.NOT_RUN:
            # An unknown outcome is charged in full: the turn may have generated all the tokens reserved for it.
            charged = event.used if event.outcome == messages.DONE else max(reserved, event.used)
        is_retained = event.outcome == messages.DONE and known.retained
        has_account = self.budgets.settle(
            known.program,
            token_budget.Settlement(
                charged - (finished.charged if finished else 0), reserved, started is not None, is_retained
            ),
            event.worker,
        )
        if is_retained:
            self.history.retain(
                entry.Turn(event.attempt, known.previous, event.input, event.output, event.worker),
                known.program if has_account else "",
                known.retention_period,
            )
        else:
            self.history.add_finished(
                entry.FinishedAttempt(
                    event.attempt,
                    event.outcome,
                    known.program,
                    known.previous,
                    charged,
                    known.budget,
                    known.retained,
                    known.retention_period,
                )
            )
        if started:
            # Unpin last: if the turn is retained, ``retain`` has pinned the predecessor already, so that its number of
            # pins does not fall to zero in between.
            self.history.unpin(started.previous)

    def apply_key_reserved(self, event: entry.KeyClaimed) -> None:
        """Reserve an operation key."""
        self.keys.apply_reserved(event)

    def apply_key_finished(self, event: entry.KeyClosed) -> None:
        """Set the outcome of an operation key, or release it."""
        self.keys.apply_finished(event)

    def apply_requests_counted(self, event: entry.RequestsCounted) -> None:
        """Store the record of a tenant's grants, with the time at which this replica saw it.

        That time gives the minimum age of the grants after a takeover. If no event loop is running, the time is
        unknown and None is stored.
        """
        try:
            seen_at = clock.now()
        except RuntimeError:
            seen_at = None
        self.quotas.apply_counted(event, seen_at)

    def apply_tick(self, event: entry.Tick) -> None:
        """Advance the group's time."""
        self.group_clock.apply_tick(event)

    def apply_forget(self, event: entry.Forget) -> None:
        """Drop expired items. Turns go first, as those with a short retention period become finished attempts."""
        for name in event.turns:
            forgotten = self.history.forget(name)
            if forgotten is not None:
                self.budgets.release_retained_turn(forgotten.program)
        for name in event.finished_attempts:
            self.history.forget_finished(name)
        for name in event.programs:
            self.budgets.forget(name)
        for name in event.keys:
            self.keys.forget(name)
        for name in event.released_attempts:
            self.keys.forget_released(name)

    # -- timers --------------------------------------------------------------------------------

    def due(
        self, now: datetime.timedelta, is_edge_gone: collections.abc.Callable[[str], bool]
    ) -> tuple[entry.Command, ...]:
        """Return the timer commands that are due.

        They end work in flight whose edge is gone or whose time limit has passed, write quota records and a tick, and
        forget expired items. All work in flight is checked on each call, the rest in bounded steps. Of the commands
        that end work, and of the quota records, at most ``DUE_LIMIT`` each are returned at once. The first check of an
        item starts its timer.
        """
        is_gone = functools.cache(is_edge_gone)
        overdue: list[entry.Command] = [*self.history.find_overdue(now, is_gone)]
        overdue += self.keys.find_overdue(now, is_gone)
        tables = (
            retention.ScanTable(self.budgets.accounts, self.budgets.find_expired),
            retention.ScanTable(self.history.retained, self.history.find_expired),
            retention.ScanTable(self.history.finished, self.history.find_expired_finished),
            retention.ScanTable(self.keys.records, self.keys.find_expired),
            retention.ScanTable(self.keys.released, self.keys.find_expired_released),
        )
        return (
            *overdue[: retention.DUE_LIMIT],
            *self.quotas.due_records(now)[: retention.DUE_LIMIT],
            *self.group_clock.due_ticks(now, bool(self.history.retained)),
            *self.scan.step(now, tables),
        )

    # -- snapshots ------------------------------------------------------------------------------

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """Return a snapshot of the current state in bounded chunks.

        History is shared with the chunks, not copied. Changes made while they are read are not included.
        """
        tables: list[collections.abc.Sequence[object]] = [
            list(self.budgets.accounts.values()),
            list(self.history.retained.values()),
            list(self.history.in_flight.values()),
            list(self.history.finished.values()),
            list(self.keys.records.values()),
        ]
        ages = entry.TurnAges(
            self.group_clock.time, tuple(self.history.ended_at[attempt] for attempt in self.history.retained)
        )
        quotas = entry.QuotaRecords(self.quotas.snapshot())
        expected = entry.ExpectedBytes(
            tuple(self.history.expected.get(attempt, 0) for attempt in self.history.in_flight)
        )
        return session_snapshot.encode_chunks(tables, list(self.keys.released), ages, quotas, expected)

    def size(self) -> int:
        """Return the number of records in a snapshot."""
        call_records = len(self.budgets.accounts) + self.history.count()
        return call_records + len(self.keys.records) + len(self.keys.released) + len(self.quotas.records)

    def restore(self, body: bytes, start: int) -> int:
        """Replace the state with that of the snapshot at an offset; return the offset after it.

        :raises codec.CodecError: if the bytes are not a valid snapshot; nothing has changed then
        """
        restored = session_snapshot.decode(body, start)
        self.load(restored)
        return restored.end


CommandHandler = collections.abc.Callable[[CallSessions, typing.Any, datetime.timedelta], entry.Decision]
COMMANDS: dict[type, CommandHandler] = {
    entry.BeginTurn: CallSessions.begin_turn,
    entry.BeginRetainedTurn: CallSessions.begin_retained_turn,
    entry.EndTurn: CallSessions.end_turn,
    entry.FindTurn: CallSessions.find_turn,
    entry.ClaimKey: CallSessions.reserve_key,
    entry.CloseKey: CallSessions.finish_key,
    entry.Forget: CallSessions.forget,
    entry.RecordRequests: CallSessions.record_requests,
    entry.Tick: CallSessions.tick,
}
EVENTS: dict[type, collections.abc.Callable[[CallSessions, typing.Any], None]] = {
    entry.TurnBegan: CallSessions.apply_turn_began,
    entry.RetainedTurnBegan: CallSessions.apply_retained_turn_began,
    entry.TurnEnded: CallSessions.apply_turn_ended,
    entry.KeyClaimed: CallSessions.apply_key_reserved,
    entry.KeyClosed: CallSessions.apply_key_finished,
    entry.Forget: CallSessions.apply_forget,
    entry.Tick: CallSessions.apply_tick,
    entry.RequestsCounted: CallSessions.apply_requests_counted,
}
