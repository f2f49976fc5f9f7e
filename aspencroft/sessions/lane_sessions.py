"""The state machine of a session group: lanes' programs with history and budget, operation keys, and opaque calls."""

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
"""A key is remembered at least so long beyond the last moment at which its work could have run."""
RETENTION_MARGIN = clock.seconds(10)
"""Added to each span: a message may be under way so long after its sender gave up on it."""
UNFINISHED_KEY_MARGIN = clock.seconds(30)
"""Added, with the time that the work may take, for a key of which it is not known that the work is done."""
OVERLOADED_RETRY_AFTER = clock.seconds(60)
TURN_UNDER_WAY_RETRY_AFTER = clock.seconds(1)
MAX_ANSWER_BYTES = 256 << 10
MAX_HISTORY_CHARACTERS = 4 << 20
SCAN_LIMIT = 4000
"""Programs and keys that one step of the clock looks at, so that a large group never holds the event loop for long."""
DUE_LIMIT = 256
"""A step of the scan stops once so many commands are due."""
RECORDS_PER_CHUNK = 200
"""Records in one chunk of a snapshot."""
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
"""The events of a command, to be recorded before its reply goes out."""


class SessionState:
    """Programs, operation keys and opaque calls, as the events applied make them.

    Times count from when this primary first saw a thing, so a takeover never shortens them.
    """

    def __init__(self) -> None:
        self.programs: dict[str, messages.Program] = {}
        self.operations: dict[str, messages.Operation] = {}
        self.program_active_at: dict[str, datetime.timedelta] = {}
        self.turn_opened_at: dict[str, datetime.timedelta] = {}
        self.key_noted_at: dict[str, datetime.timedelta] = {}
        self.program_of_open_turn: dict[str, str] = {}
        self.scan: collections.abc.Iterator[tuple[str, str]] = iter(())
        self.calls = call_sessions.CallSessions()

    def decide(self, command: Command, now: datetime.timedelta, epoch: int) -> Decision:
        """Events and reply for a command.

        :raises result.RequestError: when it is rejected; MALFORMED for what is no command
        """
        if self.calls.is_command(command):
            return self.calls.decide(typing.cast(entry.Command, command), now, epoch)
        handler = COMMANDS.get(type(command))
        if handler is None:
            raise result.RequestError(result.ResultCode.MALFORMED, detail=type(command).__name__)
        return handler(self, command, now)

    def decide_at_once(self, command: Command, now: datetime.timedelta, epoch: int) -> Reply | None:
        """The reply of a command that needs no record, if it can be given now.

        :raises result.RequestError: when it is rejected
        """
        return self.calls.decide_at_once(command, now, epoch)

    def note_committed(self) -> None:
        """All events so far are on all members of the record."""
        self.calls.quotas.note_committed()

    def forget_program(self, command: messages.ForgetProgram, now: datetime.timedelta) -> Decision:
        """A program's keep time is over; looked at once more, as a turn may have begun since the scan."""
        known = self.programs.get(command.program)
        is_due = known is not None and self.is_program_expired(known, now)
        return ((messages.ProgramForgotten(command.program),) if is_due else ()), messages.Closed("")

    def forget_operation(self, command: messages.ForgetOperation, now: datetime.timedelta) -> Decision:
        """A key was remembered long enough; looked at once more, as it may have been closed since the scan."""
        known = self.operations.get(command.key)
        is_due = known is not None and self.is_key_expired(known, now)
        return ((messages.OperationForgotten(command.key),) if is_due else ()), messages.Closed("")

    def is_program_expired(self, program: messages.Program, now: datetime.timedelta) -> bool:
        """Whether no turn is in flight and the keep time since the last one ran out."""
        if program.under_way:
            return False
        return now - self.program_active_at.setdefault(program.name, now) > program.keep

    def is_key_expired(self, operation: messages.Operation, now: datetime.timedelta) -> bool:
        """Whether a key was held a full minute beyond the last moment in which its work could run."""
        span = max(MIN_KEY_RETENTION, operation.keep) + RETENTION_MARGIN
        if operation.outcome != messages.DONE:
            span += operation.within + UNFINISHED_KEY_MARGIN
        return now - self.key_noted_at.setdefault(operation.key, now) > span

    def open_turn(self, command: messages.OpenTurn, now: datetime.timedelta) -> Decision:
        """A turn starts behind the last one of its chain while used plus reserved is under the budget."""
        known = self.programs.get(command.program)
        if known is None:
            if command.after != 0:
                raise result.RequestError(result.ResultCode.UNKNOWN_PROGRAM, detail=command.program)
            if len(self.programs) >= MAX_PROGRAMS:
                raise result.RequestError(
                    result.ResultCode.OVERLOADED, detail="too many programs", retry=OVERLOADED_RETRY_AFTER
                )
            known = messages.Program(command.program, command.lane, command.budget, 0, command.keep, (), ())
        past = known.chain(command.helper).past
        last = past[-1].number if past else 0
        if any(one.go == command.go for one in known.under_way):
            return (), messages.TurnGranted(last + 1, past, command.reserve)
        if any(one.helper == command.helper for one in known.under_way):
            raise result.RequestError(
                result.ResultCode.TURN_UNDER_WAY, detail=f"after turn {last}", retry=TURN_UNDER_WAY_RETRY_AFTER
            )
        if command.after != last:
            raise result.RequestError(result.ResultCode.STALE_TURN, detail=f"the last turn is {last}")
        if known.used + known.reserved() >= known.budget:
            raise result.RequestError(
                result.ResultCode.OUT_OF_BUDGET,
                detail=f"{known.used} used, {known.reserved()} reserved of {known.budget}",
            )
        if sum(len(one.input) + len(one.output) for one in past) > MAX_HISTORY_CHARACTERS:
            raise result.RequestError(result.ResultCode.TOO_LARGE, detail="the history is at its limit")
        event = messages.TurnOpened(
            **{field.name: getattr(command, field.name) for field in dataclasses.fields(command)}
        )
        self.program_active_at[command.program] = now
        self.turn_opened_at[command.go] = now
        return (event,), messages.TurnGranted(last + 1, past, command.reserve)

    def close_turn(self, command: messages.CloseTurn, now: datetime.timedelta) -> Decision:
        """A turn under way ends once; saying it again does no harm."""
        known = self.programs.get(command.program)
        if known is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_PROGRAM, result.Ran.UNKNOWN, command.program)
        if not any(one.go == command.go for one in known.under_way):
            if any(one.go == command.go for one in known.chain(command.helper).past[-1:]):
                return (), messages.Closed(messages.DONE)
            raise result.RequestError(result.ResultCode.STALE_TURN, result.Ran.UNKNOWN, "the turn was closed before")
        event = messages.TurnClosed(
            command.program,
            command.helper,
            command.go,
            command.outcome,
            command.input,
            command.output,
            command.used,
        )
        self.program_active_at[command.program] = now
        return (event,), messages.Closed(command.outcome)

    def claim_operation(self, command: messages.ClaimOperation, now: datetime.timedelta) -> Decision:
        """The first request takes the key; others get its state and never run."""
        known = self.operations.get(command.key)
        if known is not None:
            if known.lane != command.lane:
                raise result.RequestError(result.ResultCode.OPERATION_DIFFERS, detail=f"used for lane {known.lane}")
            if known.digest != command.digest:
                raise result.RequestError(result.ResultCode.OPERATION_MISMATCH)
            return (), dataclasses.replace(known, mine=known.go == command.go and not known.outcome)
        if len(self.operations) >= MAX_OPERATIONS:
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail="too many operations", retry=OVERLOADED_RETRY_AFTER
            )
        event = messages.OperationClaimed(
            command.key, command.lane, command.go, command.digest, command.within, command.keep
        )
        self.key_noted_at[command.key] = now
        return (event,), messages.Operation(
            command.key, command.lane, command.go, command.digest, True, "", b"", command.within, command.keep
        )

    def close_operation(self, command: messages.CloseOperation, now: datetime.timedelta) -> Decision:
        """The go that holds the key tells how it ended."""
        known = self.operations.get(command.key)
        if known is None or known.go != command.go or known.outcome:
            return (), messages.Closed("" if known is None else known.outcome)
        answer = command.answer if len(command.answer) <= MAX_ANSWER_BYTES else b""
        self.key_noted_at[command.key] = now
        return (messages.OperationClosed(command.key, command.go, command.outcome, answer),), messages.Closed(
            command.outcome
        )

    def apply(self, event: Event) -> None:
        """Take an event in; one of no kind that is known here changes nothing."""
        if type(event) in call_sessions.EVENTS:
            self.calls.apply(typing.cast(entry.Event, event))
        elif type(event) in EVENTS:
            EVENTS[type(event)](self, event)

    def apply_turn_opened(self, event: messages.TurnOpened) -> None:
        """A turn is in flight."""
        known = self.programs.get(event.program) or messages.Program(
            event.program, event.lane, event.budget, 0, event.keep, (), ()
        )
        turn = messages.OpenGo(event.helper, event.after, event.go, event.reserve, event.within, event.edge)
        self.program_of_open_turn[event.go] = event.program
        self.programs[event.program] = dataclasses.replace(
            known, keep=max(known.keep, event.keep), under_way=known.under_way + (turn,)
        )

    def apply_turn_closed(self, event: messages.TurnClosed) -> None:
        """A turn in flight ended."""
        self.programs[event.program] = close_program_turn(self.programs[event.program], event)
        self.turn_opened_at.pop(event.go, None)
        self.program_of_open_turn.pop(event.go, None)

    def apply_program_forgotten(self, event: messages.ProgramForgotten) -> None:
        """A program is dropped."""
        self.programs.pop(event.program, None)
        self.program_active_at.pop(event.program, None)

    def apply_operation_claimed(self, event: messages.OperationClaimed) -> None:
        """A key is reserved."""
        self.operations[event.key] = messages.Operation(
            event.key, event.lane, event.go, event.digest, False, "", b"", event.within, event.keep
        )

    def apply_operation_closed(self, event: messages.OperationClosed) -> None:
        """A key has an outcome, or is free as its work did not run."""
        if event.outcome == messages.NOT_RUN:
            self.drop_operation(event.key)
        elif event.key in self.operations:
            self.operations[event.key] = dataclasses.replace(
                self.operations[event.key], outcome=event.outcome, answer=event.answer
            )

    def apply_operation_forgotten(self, event: messages.OperationForgotten) -> None:
        """A key was remembered long enough."""
        self.drop_operation(event.key)

    def drop_operation(self, key: str) -> None:
        """Drop a key and its answer."""
        self.operations.pop(key, None)
        self.key_noted_at.pop(key, None)

    def due(self, now: datetime.timedelta, is_edge_gone: collections.abc.Callable[[str], bool]) -> tuple[Command, ...]:
        """Commands of the clock: turns whose edge is gone or never came back, programs and keys kept long enough.

        All turns in flight are looked at each time; of programs and keys a bounded number, round and round, so that a
        large group never holds the loop for long. The first look at a thing starts its clock here.
        """
        found: list[Command] = []
        for go, name in self.program_of_open_turn.items():
            turn = next(each for each in self.programs[name].under_way if each.go == go)
            if (
                is_edge_gone(turn.edge)
                or now - self.turn_opened_at.setdefault(go, now) > turn.within + RETENTION_MARGIN
            ):
                found.append(messages.CloseTurn(name, turn.helper, go, messages.UNKNOWN, "", "", 0))
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
                found.append(messages.ForgetProgram(name))
            elif kind == "key" and operation is not None and self.is_key_expired(operation, now):
                found.append(messages.ForgetOperation(name))
            if len(found) >= DUE_LIMIT:
                break
        return (*found, *self.calls.due(now, is_edge_gone))

    def reset_clocks(self) -> None:
        """This node is the primary no more: what it saw when counts for nothing if it is one again."""
        self.program_active_at, self.turn_opened_at, self.key_noted_at, self.scan = {}, {}, {}, iter(())
        self.calls.reset_clocks()

    def snapshot(self) -> bytes:
        """All of it as bytes."""
        return b"".join(self.snapshot_parts())

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """The snapshot of this moment in bounded parts; what changes meanwhile is not in it."""
        held = (list(self.programs.values()), list(self.operations.values()))
        call_parts = self.calls.snapshot_parts()

        def parts() -> collections.abc.Iterator[bytes]:
            for row in held:
                yield codec.LENGTH.pack(len(row))
                for place in range(0, len(row), RECORDS_PER_CHUNK):
                    yield b"".join(codec.pack(one) for one in row[place : place + RECORDS_PER_CHUNK])
            yield from call_parts

        return parts()

    def size(self) -> int:
        """How much a snapshot holds, in programs, keys and entries of calls."""
        return len(self.programs) + len(self.operations) + self.calls.size()

    def payload_bytes(self) -> int:
        """Bytes of history and kept answers that are held.

        Example: ``SessionState().payload_bytes() == 0``
        """
        return self.calls.payload_bytes()

    def limit_payload(self, max_bytes: int) -> None:
        """Bound the history and kept answers, in bytes; what is held already stays."""
        self.calls.max_payload_bytes = max_bytes

    def restore(self, body: bytes) -> None:
        """Become what a snapshot shows; one from before there were opaque calls ends behind the operations.

        :raises codec.CodecError: when the bytes are no snapshot; nothing changed then
        """
        shown, place = codec.unpack_from(messages.SessionSnapshot, body, 0)
        if place < len(body):
            # All of it is read before any is taken: bytes that are no snapshot change nothing.
            calls = session_snapshot.decode(body, place)
            if calls.end != len(body):
                raise codec.CodecError("bytes are left over")
            self.calls.load(calls)
        self.programs = {one.name: one for one in shown.programs}
        self.operations = {one.key: one for one in shown.operations}
        self.program_of_open_turn = {go.go: one.name for one in shown.programs for go in one.under_way}


def close_program_turn(program: messages.Program, event: messages.TurnClosed) -> messages.Program:
    """A program once a turn of it ended."""
    ended = next(one for one in program.under_way if one.go == event.go)
    under_way = tuple(one for one in program.under_way if one.go != event.go)
    if event.outcome == messages.NOT_RUN:
        return dataclasses.replace(program, under_way=under_way)
    if event.outcome == messages.UNKNOWN:
        return dataclasses.replace(program, under_way=under_way, used=program.used + ended.reserve)
    chain = program.chain(event.helper)
    turn = messages.Past(ended.after + 1, event.go, event.input, event.output, event.used)
    chains = tuple(one for one in program.chains if one.helper != event.helper)
    return dataclasses.replace(
        program,
        under_way=under_way,
        used=program.used + event.used,
        chains=chains + (messages.Chain(event.helper, chain.past + (turn,)),),
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
