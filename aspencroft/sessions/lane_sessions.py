"""Replicated state machine of a session group: history and budget of programs, operation keys, and opaque calls."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools
import typing

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages, session_snapshot
from aspencroft.transport import codec

MIN_KEY_RETENTION = clock.seconds(60)
"""A key is retained at least this long after the last moment at which its work could have run."""
RETENTION_MARGIN = clock.seconds(10)
"""Added to each retention period: a message may still arrive this long after its sender gave up on it."""
UNFINISHED_KEY_MARGIN = clock.seconds(30)
"""Added, together with the time limit of the work, to the retention of a key whose work is not known to be done."""
OVERLOADED_RETRY_AFTER = clock.seconds(60)
TURN_UNDER_WAY_RETRY_AFTER = clock.seconds(1)
MAX_ANSWER_BYTES = 256 << 10
MAX_HISTORY_CHARACTERS = 4 << 20
SCAN_LIMIT = 4000
"""Programs and keys checked in one scan step, so that a large group never blocks the event loop for long."""
DUE_LIMIT = 256
"""A scan step stops once this many commands are due."""
RECORDS_PER_CHUNK = 200
"""Maximum number of records in one chunk of a snapshot."""
MAX_PROGRAMS = 100_000
MAX_OPERATIONS = 400_000
Command = (
    messages.OpenTurn
    | messages.CloseTurn
    | messages.ClaimOperation
    | messages.CloseOperation
    | messages.ForgetProgram
    | messages.ForgetOperation
    | entry.Command
)
Event = (
    messages.TurnOpened
    | messages.TurnClosed
    | messages.ProgramForgotten
    | messages.OperationClaimed
    | messages.OperationClosed
    | messages.OperationForgotten
    | entry.Event
)
Reply = messages.TurnGranted | messages.Operation | messages.Closed | entry.Reply
Decision = tuple[tuple[Event, ...], Reply]
"""The events of a command, which must be committed to the log before the reply is sent, and the reply."""


class SessionState:
    """Programs, operation keys and opaque calls of a session group; only applied events change them.

    Timers start when this primary first sees an item, so that a takeover never shortens a retention period.
    """

    def __init__(self) -> None:
        self.programs: dict[str, messages.Program] = {}
        self.operations: dict[str, messages.Operation] = {}
        self.program_active_at: dict[str, datetime.timedelta] = {}
        self.turn_opened_at: dict[str, datetime.timedelta] = {}
        self.key_updated_at: dict[str, datetime.timedelta] = {}
        self.program_of_open_turn: dict[str, str] = {}
        self.scan: collections.abc.Iterator[tuple[str, str]] = iter(())
        self.calls = call_sessions.CallSessions()

    def decide(self, command: Command, now: datetime.timedelta, epoch: int) -> Decision:
        """Decide a command: return its events and its reply.

        :raises result.RequestError: if the command is rejected; MALFORMED if it is of an unknown type
        """
        if self.calls.is_command(command):
            return self.calls.decide(typing.cast(entry.Command, command), now, epoch)
        handler = COMMANDS.get(type(command))
        if handler is None:
            raise result.RequestError(result.ResultCode.MALFORMED, detail=type(command).__name__)
        return handler(self, command, now)

    def decide_at_once(self, command: Command, now: datetime.timedelta, epoch: int) -> Reply | None:
        """Return the reply of a command that needs no log entry, or None if it cannot be answered at once.

        :raises result.RequestError: if the command is rejected
        """
        return self.calls.decide_at_once(command, now, epoch)

    def note_committed(self) -> None:
        """Note that all events so far are committed on all members of the group."""
        self.calls.quotas.note_committed()

    def forget_program(self, command: messages.ForgetProgram, now: datetime.timedelta) -> Decision:
        """Forget an expired program. It is checked again, as a turn may have begun since the scan."""
        known = self.programs.get(command.program)
        is_due = known is not None and self.is_program_expired(known, now)
        return ((messages.ProgramForgotten(command.program),) if is_due else ()), messages.Closed("")

    def forget_operation(self, command: messages.ForgetOperation, now: datetime.timedelta) -> Decision:
        """Forget an expired key. It is checked again, as its outcome may have been recorded since the scan."""
        known = self.operations.get(command.key)
        is_due = known is not None and self.is_key_expired(known, now)
        return ((messages.OperationForgotten(command.key),) if is_due else ()), messages.Closed("")

    def is_program_expired(self, program: messages.Program, now: datetime.timedelta) -> bool:
        """Return whether no turn is in flight and the retention period since the last one has passed."""
        if program.in_flight:
            return False
        return now - self.program_active_at.setdefault(program.name, now) > program.retention_period

    def is_key_expired(self, operation: messages.Operation, now: datetime.timedelta) -> bool:
        """Return whether a key was retained for at least a minute after the last moment at which its work could run."""
        span = max(MIN_KEY_RETENTION, operation.retention_period) + RETENTION_MARGIN
        if operation.outcome != messages.DONE:
            span += operation.time_limit + UNFINISHED_KEY_MARGIN
        return now - self.key_updated_at.setdefault(operation.key, now) > span

    def open_turn(self, command: messages.OpenTurn, now: datetime.timedelta) -> Decision:
        """Start a turn after the last one of its chain, while used plus reserved tokens are below the budget."""
        known = self.programs.get(command.program)
        if known is None:
            if command.after != 0:
                raise result.RequestError(result.ResultCode.UNKNOWN_PROGRAM, detail=command.program)
            if len(self.programs) >= MAX_PROGRAMS:
                raise result.RequestError(
                    result.ResultCode.OVERLOADED,
                    detail="the limit of programs of the group is reached",
                    retry=OVERLOADED_RETRY_AFTER,
                )
            known = messages.Program(command.program, command.lane, command.budget, 0, command.retention_period, (), ())
        turns = known.chain(command.helper).turns
        last = turns[-1].number if turns else 0
        if any(turn.attempt == command.attempt for turn in known.in_flight):
            return (), messages.TurnGranted(last + 1, turns, command.reserve)
        if any(turn.helper == command.helper for turn in known.in_flight):
            raise result.RequestError(
                result.ResultCode.TURN_UNDER_WAY,
                detail=f"a turn after turn {last} is in flight",
                retry=TURN_UNDER_WAY_RETRY_AFTER,
            )
        if command.after != last:
            raise result.RequestError(
                result.ResultCode.STALE_TURN, detail=f"the last turn of the chain is number {last}"
            )
        if known.used + known.reserved() >= known.budget:
            raise result.RequestError(
                result.ResultCode.OUT_OF_BUDGET,
                detail=f"{known.used} tokens used and {known.reserved()} reserved of a budget of {known.budget}",
            )
        if sum(len(turn.input) + len(turn.output) for turn in turns) > MAX_HISTORY_CHARACTERS:
            raise result.RequestError(
                result.ResultCode.TOO_LARGE, detail="the history of the chain is at its size limit"
            )
        event = messages.TurnOpened(
            **{field.name: getattr(command, field.name) for field in dataclasses.fields(command)}
        )
        self.program_active_at[command.program] = now
        self.turn_opened_at[command.attempt] = now
        return (event,), messages.TurnGranted(last + 1, turns, command.reserve)

    def close_turn(self, command: messages.CloseTurn, now: datetime.timedelta) -> Decision:
        """End a turn in flight; repeating the command has no further effect."""
        known = self.programs.get(command.program)
        if known is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_PROGRAM, result.Ran.UNKNOWN, command.program)
        if not any(turn.attempt == command.attempt for turn in known.in_flight):
            if any(turn.attempt == command.attempt for turn in known.chain(command.helper).turns[-1:]):
                return (), messages.Closed(messages.DONE)
            raise result.RequestError(result.ResultCode.STALE_TURN, result.Ran.UNKNOWN, "the turn has already ended")
        event = messages.TurnClosed(
            command.program,
            command.helper,
            command.attempt,
            command.outcome,
            command.input,
            command.output,
            command.used,
        )
        self.program_active_at[command.program] = now
        return (event,), messages.Closed(command.outcome)

    def claim_operation(self, command: messages.ClaimOperation, now: datetime.timedelta) -> Decision:
        """Reserve an operation key for the first attempt; all others get the key's state and never run."""
        known = self.operations.get(command.key)
        if known is not None:
            if known.lane != command.lane:
                raise result.RequestError(
                    result.ResultCode.OPERATION_DIFFERS, detail=f"the key is in use for lane {known.lane}"
                )
            if known.digest != command.digest:
                raise result.RequestError(result.ResultCode.OPERATION_MISMATCH)
            return (), dataclasses.replace(known, is_holder=known.attempt == command.attempt and not known.outcome)
        if len(self.operations) >= MAX_OPERATIONS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED,
                detail="the limit of operation keys of the group is reached",
                retry=OVERLOADED_RETRY_AFTER,
            )
        event = messages.OperationClaimed(
            command.key, command.lane, command.attempt, command.digest, command.time_limit, command.retention_period
        )
        self.key_updated_at[command.key] = now
        return (event,), messages.Operation(
            command.key,
            command.lane,
            command.attempt,
            command.digest,
            True,
            "",
            b"",
            command.time_limit,
            command.retention_period,
        )

    def close_operation(self, command: messages.CloseOperation, now: datetime.timedelta) -> Decision:
        """Record the outcome of the attempt that holds an operation key."""
        known = self.operations.get(command.key)
        if known is None or known.attempt != command.attempt or known.outcome:
            return (), messages.Closed("" if known is None else known.outcome)
        answer = command.answer if len(command.answer) <= MAX_ANSWER_BYTES else b""
        self.key_updated_at[command.key] = now
        return (messages.OperationClosed(command.key, command.attempt, command.outcome, answer),), messages.Closed(
            command.outcome
        )

    def apply(self, event: Event) -> None:
        """Apply an event to the state; an event of an unknown type is ignored."""
        if type(event) in call_sessions.EVENTS:
            self.calls.apply(typing.cast(entry.Event, event))
        elif type(event) in EVENTS:
            EVENTS[type(event)](self, event)

    def apply_turn_opened(self, event: messages.TurnOpened) -> None:
        """Add a turn in flight."""
        known = self.programs.get(event.program) or messages.Program(
            event.program, event.lane, event.budget, 0, event.retention_period, (), ()
        )
        turn = messages.OpenGo(event.helper, event.after, event.attempt, event.reserve, event.time_limit, event.edge)
        self.program_of_open_turn[event.attempt] = event.program
        self.programs[event.program] = dataclasses.replace(
            known,
            retention_period=max(known.retention_period, event.retention_period),
            in_flight=known.in_flight + (turn,),
        )

    def apply_turn_closed(self, event: messages.TurnClosed) -> None:
        """End a turn in flight."""
        self.programs[event.program] = close_program_turn(self.programs[event.program], event)
        self.turn_opened_at.pop(event.attempt, None)
        self.program_of_open_turn.pop(event.attempt, None)

    def apply_program_forgotten(self, event: messages.ProgramForgotten) -> None:
        """Drop a program."""
        self.programs.pop(event.program, None)
        self.program_active_at.pop(event.program, None)

    def apply_operation_claimed(self, event: messages.OperationClaimed) -> None:
        """Reserve an operation key."""
        self.operations[event.key] = messages.Operation(
            event.key, event.lane, event.attempt, event.digest, False, "", b"", event.time_limit, event.retention_period
        )

    def apply_operation_closed(self, event: messages.OperationClosed) -> None:
        """Set the outcome of an operation key, or release it if its work did not run."""
        if event.outcome == messages.NOT_RUN:
            self.drop_operation(event.key)
        elif event.key in self.operations:
            self.operations[event.key] = dataclasses.replace(
                self.operations[event.key], outcome=event.outcome, answer=event.answer
            )

    def apply_operation_forgotten(self, event: messages.OperationForgotten) -> None:
        """Drop an expired operation key."""
        self.drop_operation(event.key)

    def drop_operation(self, key: str) -> None:
        """Drop an operation key and its answer."""
        self.operations.pop(key, None)
        self.key_updated_at.pop(key, None)

    def due(self, now: datetime.timedelta, is_edge_gone: collections.abc.Callable[[str], bool]) -> tuple[Command, ...]:
        """Return the timer commands that are due.

        They end turns whose edge is gone or whose time limit has passed, and forget expired programs and keys. All
        turns in flight are checked on each call, programs and keys in turn and in bounded numbers, so that a large
        group never blocks the event loop for long. The first check of an item starts its timer.
        """
        commands: list[Command] = []
        for attempt, name in self.program_of_open_turn.items():
            turn = next(each for each in self.programs[name].in_flight if each.attempt == attempt)
            if (
                is_edge_gone(turn.edge)
                or now - self.turn_opened_at.setdefault(attempt, now) > turn.time_limit + RETENTION_MARGIN
            ):
                commands.append(messages.CloseTurn(name, turn.helper, attempt, messages.UNKNOWN, "", "", 0))
        for _ in range(SCAN_LIMIT):
            kind, name = next(self.scan, ("", ""))
            if not kind:
                self.scan = itertools.chain(
                    zip(itertools.repeat("program"), list(self.programs)),
                    zip(itertools.repeat("key"), list(self.operations)),
                )
                break
            program, operation = self.programs.get(name), self.operations.get(name)
            if kind == "program" and program is not None and self.is_program_expired(program, now):
                commands.append(messages.ForgetProgram(name))
            elif kind == "key" and operation is not None and self.is_key_expired(operation, now):
                commands.append(messages.ForgetOperation(name))
            if len(commands) >= DUE_LIMIT:
                break
        return (*commands, *self.calls.due(now, is_edge_gone))

    def reset_clocks(self) -> None:
        """Reset all timers when this node stops being the primary, so that a later tenure starts them anew."""
        self.program_active_at, self.turn_opened_at, self.key_updated_at, self.scan = {}, {}, {}, iter(())
        self.calls.reset_clocks()

    def snapshot(self) -> bytes:
        """Return a snapshot of the current state as bytes."""
        return b"".join(self.snapshot_parts())

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """Return a snapshot of the current state in bounded chunks; later changes are not included."""
        tables = (list(self.programs.values()), list(self.operations.values()))
        call_parts = self.calls.snapshot_parts()

        def parts() -> collections.abc.Iterator[bytes]:
            for records in tables:
                yield codec.LENGTH.pack(len(records))
                for start in range(0, len(records), RECORDS_PER_CHUNK):
                    yield b"".join(codec.pack(record) for record in records[start : start + RECORDS_PER_CHUNK])
            yield from call_parts

        return parts()

    def size(self) -> int:
        """Return the number of records in a snapshot: programs, keys and records of opaque calls."""
        return len(self.programs) + len(self.operations) + self.calls.size()

    def payload_bytes(self) -> int:
        """Return the bytes of the history and stored answers of opaque calls.

        Example: ``SessionState().payload_bytes() == 0``
        """
        return self.calls.payload_bytes()

    def limit_payload(self, max_bytes: int) -> None:
        """Limit the history and stored answers of opaque calls, in bytes; what is already stored stays."""
        self.calls.max_payload_bytes = max_bytes

    def wanted_limit(self, command: object) -> int:
        """Return the smallest payload limit under which a command has room, 0 if it needs none."""
        return self.calls.wanted_limit(command)

    def restore(self, body: bytes) -> None:
        """Replace the state with that of a snapshot; one of a version without opaque calls ends after the operations.

        :raises codec.CodecError: if the bytes are not a valid snapshot; nothing has changed then
        """
        snapshot, offset = codec.unpack_from(messages.SessionSnapshot, body, 0)
        if offset < len(body):
            # Decode everything before changing anything, so that invalid bytes change nothing.
            calls = session_snapshot.decode(body, offset)
            if calls.end != len(body):
                raise codec.CodecError("trailing bytes after the snapshot")
            self.calls.load(calls)
        self.programs = {program.name: program for program in snapshot.programs}
        self.operations = {operation.key: operation for operation in snapshot.operations}
        self.program_of_open_turn = {
            turn.attempt: program.name for program in snapshot.programs for turn in program.in_flight
        }


def close_program_turn(program: messages.Program, event: messages.TurnClosed) -> messages.Program:
    """Return a program after a turn of it ended."""
    ended = next(turn for turn in program.in_flight if turn.attempt == event.attempt)
    in_flight = tuple(turn for turn in program.in_flight if turn.attempt != event.attempt)
    if event.outcome == messages.NOT_RUN:
        return dataclasses.replace(program, in_flight=in_flight)
    if event.outcome == messages.UNKNOWN:
        return dataclasses.replace(program, in_flight=in_flight, used=program.used + ended.reserve)
    chain = program.chain(event.helper)
    finished = messages.Past(ended.after + 1, event.attempt, event.input, event.output, event.used)
    chains = tuple(other for other in program.chains if other.helper != event.helper)
    return dataclasses.replace(
        program,
        in_flight=in_flight,
        used=program.used + event.used,
        chains=chains + (messages.Chain(event.helper, chain.turns + (finished,)),),
    )


Handler = collections.abc.Callable[[SessionState, typing.Any, datetime.timedelta], Decision]
COMMANDS: dict[type, Handler] = {
    messages.OpenTurn: SessionState.open_turn,
    messages.CloseTurn: SessionState.close_turn,
    messages.ClaimOperation: SessionState.claim_operation,
    messages.CloseOperation: SessionState.close_operation,
    messages.ForgetProgram: SessionState.forget_program,
    messages.ForgetOperation: SessionState.forget_operation,
}
EVENTS: dict[type, collections.abc.Callable[[SessionState, typing.Any], None]] = {
    messages.TurnOpened: SessionState.apply_turn_opened,
    messages.TurnClosed: SessionState.apply_turn_closed,
    messages.ProgramForgotten: SessionState.apply_program_forgotten,
    messages.OperationClaimed: SessionState.apply_operation_claimed,
    messages.OperationClosed: SessionState.apply_operation_closed,
    messages.OperationForgotten: SessionState.apply_operation_forgotten,
}
