"""One request of a caller on its way through the stages."""

import asyncio
import dataclasses
import datetime
import hashlib
import json

from aspencroft.configuration import lane
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import messages

PIECES = 256
PATIENCE = clock.seconds(0.5)


@dataclasses.dataclass(frozen=True)
class Request:
    """What the caller asked for, checked."""

    identity: str
    lane: str
    program: str
    helper: str
    after: int
    input: object
    operation: str
    most: int
    budget: int
    tool: str

    def digest(self) -> bytes:
        """What tells two requests under one operation key apart; the identity is not part of it."""
        whole = [
            self.lane,
            self.program,
            self.helper,
            self.after,
            self.input,
            self.most,
            self.budget,
            self.tool,
        ]
        return hashlib.blake2b(json.dumps(whole, sort_keys=True).encode(), digest_size=16).digest()


@dataclasses.dataclass
class Call:
    """A request under way: the one task that works on it at a time changes it.

    ``sent`` tells that the present go may run, ``unsure`` that an earlier go may have run, ``handed`` how many
    pieces the caller was given.
    """

    request: Request
    lane: lane.Lane
    began: datetime.timedelta
    end: datetime.timedelta
    out: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)
    room: asyncio.Semaphore = dataclasses.field(default_factory=lambda: asyncio.Semaphore(PIECES))
    granted: messages.TurnGranted | None = None
    claimed: bool = False
    sent: bool = False
    unsure: bool = False
    abandoned: bool = False
    deaf: bool = False
    done: bool = False
    tried: frozenset[str] = frozenset()
    goes: int = 0
    repeats: int = 0
    handed: int = 0
    sent_at: datetime.timedelta = clock.ZERO
    worker: object = None
    service: str = ""

    def go(self) -> str:
        """The name of the present go: the request's, with a number once its work is repeated."""
        return f"{self.request.identity}.{self.repeats}" if self.repeats else self.request.identity

    def turns(self) -> bool:
        """Whether the call is a turn of a program."""
        return self.lane.kind == lane.TURNS

    def ran(self) -> result.Ran:
        """What may be said of the call's work at this moment if it is given up."""
        return result.Ran.UNKNOWN if self.sent or self.unsure else result.Ran.NOT_RUN

    async def put(self, event) -> None:
        """Hand the caller's task a piece, waiting for room; nobody waits for a caller that went away."""
        while not self.deaf:
            try:
                async with clock.limit(PATIENCE):
                    await self.room.acquire()
                self.handed += 1
                self.out.put_nowait(event)
                return
            except TimeoutError:
                if clock.now() > self.end:
                    self.deaf = True

    def close(self, end: "Ended") -> None:
        """Hand out the final event, for which there is always room."""
        self.out.put_nowait(end)

    async def take(self):
        """The next event for the caller."""
        event = await self.out.get()
        if not isinstance(event, Ended):
            self.room.release()
        return event


@dataclasses.dataclass(frozen=True)
class Ended:
    """The final event: the answer that is kept, or a refusal."""

    turn: int
    pieces: int
    used: int
    answer: object
    refusal: result.RequestError | None
