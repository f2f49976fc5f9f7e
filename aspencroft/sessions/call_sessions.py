"""The state machine of opaque calls in a session group: token budgets, turns with their history, operation keys."""

import collections.abc
import datetime
import functools
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
"""Of the bound of payload, for turns that begin a chain: what has begun may still go on when nothing new may begin."""
MAX_PAYLOAD_BYTES = 24 << 20
"""History and stored answers of a group, unless the machine's memory asks for less."""
OVERLOADED_RETRY_AFTER = clock.seconds(5)


class CallSessions:
    """Budgets, turns and keys. A command is decided into events, and the state is what the events applied make it.

    Deciding changes nothing but clocks. Those count from when this primary first saw a thing, so that neither a
    takeover nor a restart shortens a span. Replicas apply the same events in the same order and so hold the same
    state, to the order of their tables.
    """

    def __init__(self) -> None:
        self.max_payload_bytes = MAX_PAYLOAD_BYTES
        self.load(session_snapshot.empty())

    def load(self, restored: session_snapshot.Restored) -> None:
        """Hold what a snapshot shows and nothing else; the bound of payload stays, and clocks begin anew."""
        snapshot, ages, quotas, _ = restored
        self.group_clock = retention.GroupClock(ages.time)
        self.budgets = token_budget.TokenBudgets(snapshot.accounts)
        self.history = turn_history.TurnHistory(self.group_clock, snapshot, ages)
        self.keys = operation_keys.OperationKeys(snapshot.keys, snapshot.released)
        self.quotas = request_quota.RequestQuotas(quotas.counted)
        self.scan = retention.RetentionScan()

    def reset_clocks(self) -> None:
        """This node is the primary no more: what it saw when counts for nothing if it is one again."""
        self.budgets.reset_clocks()
        self.history.reset_clocks()
        self.keys.reset_clocks()
        self.quotas.reset_clocks()
        self.group_clock.reset()
        self.scan.reset()

    def payload_bytes(self) -> int:
        """Bytes of history and stored answers."""
        return self.history.bytes + self.keys.bytes

    # -- commands ------------------------------------------------------------------------------

    def decide(self, command: entry.Command, now: datetime.timedelta, epoch: int = 0) -> entry.Decision:
        """Events and reply for a command of COMMANDS.

        :raises result.RequestError: when it is rejected; nothing changed then
        """
        if isinstance(command, entry.ReserveRequests):
            return self.quotas.decide_reserve(command, now, epoch)
        if isinstance(command, entry.ReturnRequests):
            return self.quotas.decide_return(command, epoch)
        return COMMANDS[type(command)](self, command, now)

    def decide_at_once(self, command: object, now: datetime.timedelta, epoch: int) -> entry.Reply | None:
        """The reply of a command about tenants' requests that needs no record; none of any other.

        :raises result.RequestError: when it is rejected
        """
        if isinstance(command, entry.ReserveRequests):
            return self.quotas.reserve_at_once(command, now, epoch)
        if isinstance(command, entry.ReturnRequests):
            return self.quotas.decide_return(command, epoch)[1]
        return None

    def is_command(self, command: object) -> bool:
        """Whether a command is one of opaque calls."""
        return type(command) in COMMANDS or isinstance(command, entry.ReserveRequests | entry.ReturnRequests)

    def begin_turn(self, command: entry.BeginTurn, now: datetime.timedelta) -> entry.Decision:
        """A turn starts while used and reserved tokens are under the program's budget; once for each attempt.

        The order of the checks decides which result a caller gets: an attempt that ran is never told OUT_OF_BUDGET.
        """
        repeated = self.history.repeated_start(command)
        if repeated is not None:
            return (), repeated
        if not command.attempt or command.most < 0 or command.budget < 0:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="no attempt, or tokens below zero")
        budget = self.budgets.budget_in_force(command, now)
        imported, chain_bytes, worker = self.history.find_predecessor(command)
        if self.budgets.is_full_for(command.program) or self.history.count() + len(imported) >= turn_history.MAX_TURNS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail="too many programs or turns", retry=OVERLOADED_RETRY_AFTER
            )
        if command.retained and not self.has_room(command, imported):
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail="no room for more history", retry=OVERLOADED_RETRY_AFTER
            )
        if chain_bytes > turn_history.MAX_CHAIN_BYTES:
            raise result.RequestError(result.ResultCode.TOO_LARGE, detail="the history is at its limit")
        worker = worker or self.budgets.last_worker(command.program)
        self.history.began_at[command.attempt] = now
        self.budgets.note_activity(command.program, now)
        event = entry.TurnBegan(
            command.program,
            command.session,
            command.attempt,
            command.previous,
            command.most,
            budget,
            command.retained,
            command.keep,
            command.within,
            command.edge,
            worker,
            imported,
        )
        return (event,), self.history.start_reply(command.previous, command.have, worker, imported)

    def has_room(self, command: entry.BeginTurn, imported: tuple[entry.Turn, ...]) -> bool:
        """Whether there is room for a turn's history; less of it for the first one of a chain."""
        added = sum(map(turn_history.turn_bytes, imported))
        share = 1.0 if command.previous else FIRST_TURN_SHARE
        return self.payload_bytes() + added < share * self.max_payload_bytes

    def find_turn(self, command: entry.FindTurn, now: datetime.timedelta) -> entry.Decision:
        """Whether a turn is retained, and its chain."""
        return self.history.decide_find(command, now)

    def end_turn(self, command: entry.EndTurn, now: datetime.timedelta) -> entry.Decision:
        """A turn ends once; only an unknown outcome may become known later.

        An attempt that did not run never begins any more.

        :raises result.RequestError: MALFORMED, UNKNOWN_TURN, or STALE_TURN when the outcome came too late to count
        """
        if command.outcome not in messages.OUTCOMES or not command.attempt:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="no attempt or outcome")
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
                        "the attempt was told not to have run",
                    )
                return (), messages.Closed(finished.outcome)
            if is_done and finished.retained and finished.previous and finished.previous not in self.history.retained:
                raise result.RequestError(
                    result.ResultCode.STALE_TURN, result.Ran.UNKNOWN, "the turn before is kept no more"
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
        """The end of an attempt that this group does not know: if it did not run, its start may still be on the way.

        :raises result.RequestError: UNKNOWN_TURN unless it did not run, OVERLOADED at a bound
        """
        if command.outcome != messages.NOT_RUN:
            raise result.RequestError(result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN, command.attempt)
        if self.history.count() >= turn_history.MAX_TURNS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail="too many turns", retry=OVERLOADED_RETRY_AFTER
            )
        self.history.finished_at[command.attempt] = now
        return (entry.TurnEnded(command.attempt, messages.NOT_RUN, b"", b"", 0, ""),), messages.Closed(messages.NOT_RUN)

    def reserve_key(self, command: entry.ClaimKey, now: datetime.timedelta) -> entry.Decision:
        """The first attempt reserves the key; others get its state and never run."""
        return self.keys.decide_reserve(command, now, self.payload_bytes() >= self.max_payload_bytes)

    def finish_key(self, command: entry.CloseKey, now: datetime.timedelta) -> entry.Decision:
        """The attempt that holds the key tells how it ended."""
        return self.keys.decide_finish(command, now)

    def record_requests(self, command: entry.RecordRequests, now: datetime.timedelta) -> entry.Decision:
        """A tenant's granted requests are put on record."""
        return self.quotas.decide_record(command, now)

    def tick(self, command: entry.Tick, now: datetime.timedelta) -> entry.Decision:
        """The group's time goes on by one tick, if that much has passed."""
        return self.group_clock.decide_tick(command, now)

    def forget(self, command: entry.Forget, now: datetime.timedelta) -> entry.Decision:
        """Spans are over; looked at once more, as things may have changed since the scan."""
        event = entry.Forget(
            self.budgets.find_expired(command.programs, now),
            self.history.find_expired(command.turns, now),
            self.history.find_expired_finished(command.ended, now),
            self.keys.find_expired(command.keys, now),
            self.keys.find_expired_released(command.freed, now),
        )
        is_any_expired = event.programs or event.turns or event.ended or event.keys or event.freed
        return ((event,) if is_any_expired else ()), messages.Closed("")

    # -- events --------------------------------------------------------------------------------

    def apply(self, event: entry.Event) -> None:
        """Take an event of EVENTS in."""
        EVENTS[type(event)](self, event)

    def apply_turn_began(self, event: entry.TurnBegan) -> None:
        """A turn is in flight, and its program's tokens are reserved."""
        self.history.apply_began(event)
        self.budgets.reserve(event)

    def apply_turn_ended(self, event: entry.TurnEnded) -> None:
        """A turn is over: charged, and retained or only remembered as finished."""
        started = self.history.take_in_flight(event.attempt)
        finished = self.history.take_finished(event.attempt)
        known = started or finished or entry.FinishedAttempt(event.attempt, "", "", "", 0, 0, False, clock.ZERO)
        charged, reserved = 0, started.reserved() if started else 0
        if known.budget and event.outcome != messages.NOT_RUN:
            # An unknown outcome is charged in full: the turn may have put out all that was reserved for it.
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
                known.keep,
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
                    known.keep,
                )
            )
        if started:
            # Only now: a retained turn has pinned its predecessor itself, so that it was pinned all the while.
            self.history.unpin(started.previous)

    def apply_key_reserved(self, event: entry.KeyClaimed) -> None:
        """A key is reserved."""
        self.keys.apply_reserved(event)

    def apply_key_finished(self, event: entry.KeyClosed) -> None:
        """A key has an outcome, or is released."""
        self.keys.apply_finished(event)

    def apply_requests_counted(self, event: entry.RequestsCounted) -> None:
        """A tenant's requests were recorded; when this replica saw the record tells how old its counts are at least."""
        try:
            seen_at = clock.now()
        except RuntimeError:
            seen_at = None
        self.quotas.apply_counted(event, seen_at)

    def apply_tick(self, event: entry.Tick) -> None:
        """A tick was recorded."""
        self.group_clock.apply_tick(event)

    def apply_forget(self, event: entry.Forget) -> None:
        """Spans are over. Turns go first: those with a short span become finished attempts."""
        for name in event.turns:
            forgotten = self.history.forget(name)
            if forgotten is not None:
                self.budgets.release_retained_turn(forgotten.program)
        for name in event.ended:
            self.history.forget_finished(name)
        for name in event.programs:
            self.budgets.forget(name)
        for name in event.keys:
            self.keys.forget(name)
        for name in event.freed:
            self.keys.forget_released(name)

    # -- clocks --------------------------------------------------------------------------------

    def due(
        self, now: datetime.timedelta, is_edge_gone: collections.abc.Callable[[str], bool]
    ) -> tuple[entry.Command, ...]:
        """Commands of the clock: ends of what is in flight though its edge is gone or its time over; a tick; expiry.

        All that is in flight is looked at each time, the rest in bounded steps. The first look at a thing starts its
        clock here.
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
        """The snapshot of this moment in bounded chunks; history is shared, not copied.

        What changes meanwhile is not in it.
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
        return session_snapshot.encode_chunks(tables, list(self.keys.released), ages, quotas)

    def size(self) -> int:
        """How much a snapshot holds, in entries."""
        calls = len(self.budgets.accounts) + self.history.count()
        return calls + len(self.keys.records) + len(self.keys.released) + len(self.quotas.records)

    def restore(self, body: bytes, start: int) -> int:
        """Become what the snapshot shows that begins at an offset; the offset behind it.

        :raises codec.Broken: when the bytes are no snapshot; nothing changed then
        """
        restored = session_snapshot.decode(body, start)
        self.load(restored)
        return restored.end


CommandHandler = collections.abc.Callable[[CallSessions, typing.Any, datetime.timedelta], entry.Decision]
COMMANDS: dict[type, CommandHandler] = {
    entry.BeginTurn: CallSessions.begin_turn,
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
    entry.TurnEnded: CallSessions.apply_turn_ended,
    entry.KeyClaimed: CallSessions.apply_key_reserved,
    entry.KeyClosed: CallSessions.apply_key_finished,
    entry.Forget: CallSessions.apply_forget,
    entry.Tick: CallSessions.apply_tick,
    entry.RequestsCounted: CallSessions.apply_requests_counted,
}
