"""A caller's request and its state while it passes through the stages."""

import asyncio
import dataclasses
import datetime
import hashlib
import json

from aspencroft.configuration import lane
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import messages

MAX_PENDING_PIECES = 256
CALLER_CHECK_INTERVAL = clock.seconds(0.5)


@dataclasses.dataclass(frozen=True)
class Request:
    """A validated request of a caller."""

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
        """Return a digest that distinguishes requests with the same operation key; it does not cover the identity."""
        content = [
            self.lane,
            self.program,
            self.helper,
            self.after,
            self.input,
            self.most,
            self.budget,
            self.tool,
        ]
        return hashlib.blake2b(json.dumps(content, sort_keys=True).encode(), digest_size=16).digest()


@dataclasses.dataclass
class Call:
    """A request in flight; only the one task that is working on it changes it.

    ``sent`` means that the current attempt may run, ``may_have_run`` that an earlier attempt may have run, and
    ``pieces_delivered`` is how many pieces the caller has received.
    """

    request: Request
    lane: lane.Lane
    started_at: datetime.timedelta
    end: datetime.timedelta
    events: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)
    free_slots: asyncio.Semaphore = dataclasses.field(default_factory=lambda: asyncio.Semaphore(MAX_PENDING_PIECES))
    granted: messages.TurnGranted | None = None
    claimed: bool = False
    sent: bool = False
    may_have_run: bool = False
    abandoned: bool = False
    caller_gone: bool = False
    done: bool = False
    tried_workers: frozenset[str] = frozenset()
    attempts: int = 0
    repetitions: int = 0
    pieces_delivered: int = 0
    sent_at: datetime.timedelta = clock.ZERO
    worker: object = None
    service: str = ""

    def attempt_id(self) -> str:
        """Return the id of the current attempt: the request's identity, with a number once its work is repeated."""
        return f"{self.request.identity}.{self.repetitions}" if self.repetitions else self.request.identity

    def is_turn(self) -> bool:
        """Whether the call is a turn of a program."""
        return self.lane.kind == lane.TURNS

    def ran(self) -> result.Ran:
        """Return whether the work may have run, for a refusal at this moment."""
        return result.Ran.UNKNOWN if self.sent or self.may_have_run else result.Ran.NOT_RUN

    async def put(self, event) -> None:
        """Queue a piece for the caller, waiting for a free slot unless the caller is gone."""
        while not self.caller_gone:
            try:
                async with clock.limit(CALLER_CHECK_INTERVAL):
                    await self.free_slots.acquire()
                self.pieces_delivered += 1
                self.events.put_nowait(event)
                return
            except TimeoutError:
                if clock.now() > self.end:
                    self.caller_gone = True

    def close(self, end: "Ended") -> None:
        """Queue the final event, for which there is always room."""
        self.events.put_nowait(end)

    async def take(self):
        """Return the next event for the caller."""
        event = await self.events.get()
        if not isinstance(event, Ended):
            self.free_slots.release()
        return event


@dataclasses.dataclass(frozen=True)
class Ended:
    """The final event: a stored answer, or a refusal."""

    turn: int
    pieces: int
    used: int
    answer: object
    refusal: result.RequestError | None
