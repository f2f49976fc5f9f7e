"""A session group's view: conversations with history and budget, and operation keys."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, messages
from aspencroft.transport import codec

MINUTE = clock.seconds(60)
BEYOND = clock.seconds(10)
LARGEST_ANSWER = 256 << 10
LARGEST_PAST = 4 << 20
LOOKS, MOST_DUE, SLICE = 4000, 256, 200
MOST_PROGRAMS = 100_000
MOST_OPERATIONS = 400_000


class SessionState:
    """Programs and operation keys, folded from events.

    Times count from when this primary first saw a thing, so a takeover never shortens them.
    """

    def __init__(self):
        self.programs: dict[str, messages.Program] = {}
        self.operations: dict[str, messages.Operation] = {}
        self.touched: dict[str, datetime.timedelta] = {}
        self.opened: dict[str, datetime.timedelta] = {}
        self.noted: dict[str, datetime.timedelta] = {}
        self.going: dict[str, str] = {}
        self.looked: collections.abc.Iterator[tuple[str, str]] = iter(())
        self.calls = call_sessions.CallSessions()

    def decide(self, command, now: datetime.timedelta, epoch: int) -> tuple[tuple, object]:
        """Events and reply for a command, or a Refusal."""
        if type(command) in call_sessions.COMMANDS:
            return self.calls.decide(command, now)
        if isinstance(command, messages.OpenTurn):
            return self.open_turn(command, now)
        if isinstance(command, messages.CloseTurn):
            return self.close_turn(command, now)
        if isinstance(command, messages.ClaimOperation):
            return self.claim_operation(command, now)
        if isinstance(command, messages.CloseOperation):
            return self.close_operation(command, now)
        if isinstance(command, messages.ForgetProgram):
            known = self.programs.get(command.program)
            due = known is not None and not known.under_way and self.kept_out(known, now)
            return ((messages.ProgramForgotten(command.program),) if due else ()), messages.Closed("")
        if isinstance(command, messages.ForgetOperation):
            known = self.operations.get(command.key)
            due = known is not None and self.remembered_out(known, now)
            return ((messages.OperationForgotten(command.key),) if due else ()), messages.Closed("")
        raise result.RequestError(result.ResultCode.MALFORMED, detail=type(command).__name__)

    def kept_out(self, program: messages.Program, now: datetime.timedelta) -> bool:
        """Whether the keep time since the last turn ran out."""
        return now - self.touched.setdefault(program.name, now) > program.keep

    def remembered_out(self, operation: messages.Operation, now: datetime.timedelta) -> bool:
        """Whether a key was held a full minute beyond the last moment in which its work could run."""
        span = max(MINUTE, operation.keep) + BEYOND
        if operation.outcome != messages.DONE:
            span += operation.within + MINUTE / 2
        return now - self.noted.setdefault(operation.key, now) > span

    def open_turn(self, command: messages.OpenTurn, now: datetime.timedelta) -> tuple[tuple, object]:
        """A turn starts behind the last one of its chain while used plus reserved is under the budget."""
        known = self.programs.get(command.program)
        if known is None:
            if command.after != 0:
                raise result.RequestError(result.ResultCode.UNKNOWN_PROGRAM, detail=command.program)
            if len(self.programs) >= MOST_PROGRAMS:
                raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many programs", retry=MINUTE)
            known = messages.Program(command.program, command.lane, command.budget, 0, command.keep, (), ())
        past = known.chain(command.helper).past
        last = past[-1].number if past else 0
        if any(one.go == command.go for one in known.under_way):
            return (), messages.TurnGranted(last + 1, past, command.reserve)
        if any(one.helper == command.helper for one in known.under_way):
            raise result.RequestError(
                result.ResultCode.TURN_UNDER_WAY, detail=f"after turn {last}", retry=clock.seconds(1)
            )
        if command.after != last:
            raise result.RequestError(result.ResultCode.STALE_TURN, detail=f"the last turn is {last}")
        if known.used + known.reserved() >= known.budget:
            raise result.RequestError(
                result.ResultCode.OUT_OF_BUDGET,
                detail=f"{known.used} used, {known.reserved()} reserved of {known.budget}",
            )
        if sum(len(one.input) + len(one.output) for one in past) > LARGEST_PAST:
            raise result.RequestError(result.ResultCode.TOO_LARGE, detail="the history is at its limit")
        event = messages.TurnOpened(
            **{field.name: getattr(command, field.name) for field in dataclasses.fields(command)}
        )
        self.touched[command.program] = now
        self.opened[command.go] = now
        return (event,), messages.TurnGranted(last + 1, past, command.reserve)

    def close_turn(self, command: messages.CloseTurn, now: datetime.timedelta) -> tuple[tuple, object]:
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
        self.touched[command.program] = now
        return (event,), messages.Closed(command.outcome)

    def claim_operation(self, command: messages.ClaimOperation, now: datetime.timedelta) -> tuple[tuple, object]:
        """The first request takes the key; others get its state and never run."""
        known = self.operations.get(command.key)
        if known is not None:
            if known.lane != command.lane:
                raise result.RequestError(result.ResultCode.OPERATION_DIFFERS, detail=f"used for lane {known.lane}")
            if known.digest != command.digest:
                raise result.RequestError(result.ResultCode.OPERATION_MISMATCH)
            return (), dataclasses.replace(known, mine=known.go == command.go and not known.outcome)
        if len(self.operations) >= MOST_OPERATIONS:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many operations", retry=MINUTE)
        event = messages.OperationClaimed(
            command.key, command.lane, command.go, command.digest, command.within, command.keep
        )
        self.noted[command.key] = now
        return (event,), messages.Operation(
            command.key, command.lane, command.go, command.digest, True, "", b"", command.within, command.keep
        )

    def close_operation(self, command: messages.CloseOperation, now: datetime.timedelta) -> tuple[tuple, object]:
        """The go that holds the key tells how it ended."""
        known = self.operations.get(command.key)
        if known is None or known.go != command.go or known.outcome:
            return (), messages.Closed("" if known is None else known.outcome)
        answer = command.answer if len(command.answer) <= LARGEST_ANSWER else b""
        self.noted[command.key] = now
        return (messages.OperationClosed(command.key, command.go, command.outcome, answer),), messages.Closed(
            command.outcome
        )

    def apply(self, event) -> None:
        """Take an event in."""
        if type(event) in call_sessions.EVENTS:
            self.calls.apply(event)
        elif isinstance(event, messages.TurnOpened):
            known = self.programs.get(event.program) or messages.Program(
                event.program, event.lane, event.budget, 0, event.keep, (), ()
            )
            go = messages.OpenGo(event.helper, event.after, event.go, event.reserve, event.within, event.edge)
            self.going[event.go] = event.program
            self.programs[event.program] = dataclasses.replace(
                known, keep=max(known.keep, event.keep), under_way=known.under_way + (go,)
            )
        elif isinstance(event, messages.TurnClosed):
            self.programs[event.program] = closed(self.programs[event.program], event)
            self.opened.pop(event.go, None)
            self.going.pop(event.go, None)
        elif isinstance(event, messages.ProgramForgotten):
            self.programs.pop(event.program, None)
            self.touched.pop(event.program, None)
        elif isinstance(event, messages.OperationClaimed):
            self.operations[event.key] = messages.Operation(
                event.key, event.lane, event.go, event.digest, False, "", b"", event.within, event.keep
            )
        elif isinstance(event, messages.OperationClosed):
            if event.outcome == messages.NOT_RUN:
                self.operations.pop(event.key, None)
                self.noted.pop(event.key, None)
            elif event.key in self.operations:
                self.operations[event.key] = dataclasses.replace(
                    self.operations[event.key], outcome=event.outcome, answer=event.answer
                )
        elif isinstance(event, messages.OperationForgotten):
            self.operations.pop(event.key, None)
            self.noted.pop(event.key, None)

    def due(self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]) -> tuple:
        """Clock events: turns whose edge is gone or never came back, programs and keys kept long enough.

        All turns under way are looked at each time; of programs and keys a bounded number, round and round,
        so that a large pair never holds the loop for long. The first look at a thing starts its clock here.
        """
        found = []
        for go, name in self.going.items():
            one = next(each for each in self.programs[name].under_way if each.go == go)
            if gone(one.edge) or now - self.opened.setdefault(go, now) > one.within + BEYOND:
                found.append(messages.CloseTurn(name, one.helper, go, messages.UNKNOWN, "", "", 0))
        for _ in range(LOOKS):
            kind, name = next(self.looked, ("", ""))
            if not kind:
                self.looked = itertools.chain(
                    zip(itertools.repeat("program"), list(self.programs)),
                    zip(itertools.repeat("key"), list(self.operations)),
                )
                break
            program, operation = self.programs.get(name), self.operations.get(name)
            if kind == "program" and program is not None and not program.under_way and self.kept_out(program, now):
                found.append(messages.ForgetProgram(name))
            elif kind == "key" and operation is not None and self.remembered_out(operation, now):
                found.append(messages.ForgetOperation(name))
            if len(found) >= MOST_DUE:
                break
        return (*found, *self.calls.due(now, gone))

    def reset_clocks(self) -> None:
        """This node is the primary no more: what it saw when counts for nothing if it is one again."""
        self.touched, self.opened, self.noted, self.looked = {}, {}, {}, iter(())
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
                for place in range(0, len(row), SLICE):
                    yield b"".join(codec.pack(one) for one in row[place : place + SLICE])
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

    def limit_payload(self, most: int) -> None:
        """Bound the history and kept answers, in bytes; what is held already stays."""
        self.calls.max_payload_bytes = most

    def restore(self, body: bytes) -> None:
        """Become what a snapshot shows; one from before there were opaque calls ends behind the operations."""
        shown, place = codec.unpack_from(messages.TalkPicture, body, 0)
        if place < len(body) and self.calls.restore(body, place) != len(body):
            raise codec.CodecError("bytes are left over")
        self.programs = {one.name: one for one in shown.programs}
        self.operations = {one.key: one for one in shown.operations}
        self.going = {go.go: one.name for one in shown.programs for go in one.under_way}


def closed(program: messages.Program, event: messages.TurnClosed) -> messages.Program:
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
