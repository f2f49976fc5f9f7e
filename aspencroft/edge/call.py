"""One request of a caller on its way through the stages."""

import asyncio
import dataclasses
import datetime

import aspencroft.code.result as result
import aspencroft.plan.lane as lane
import aspencroft.seam.moment as moment
import aspencroft.talk.speech as speech

PIECES = 256


@dataclasses.dataclass(frozen=True)
class Request:
    """What the caller asked for, checked.

    Example: ``Request("id", "chat", "program", "", 3, "input", "key", 512, 4096, "")``
    """

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


@dataclasses.dataclass
class Call:
    """A request under way: the one task that works on it at a time changes it.

    Example: ``Call(request, lane, end)``
    """

    request: Request
    lane: lane.Lane
    began: datetime.timedelta
    end: datetime.timedelta
    out: asyncio.Queue = dataclasses.field(default_factory=lambda: asyncio.Queue(PIECES))
    granted: speech.TurnGranted | None = None
    claimed: bool = False
    sent: bool = False
    abandoned: bool = False
    deaf: bool = False
    tried: frozenset[str] = frozenset()
    goes: int = 0
    sent_at: datetime.timedelta = moment.ZERO
    worker: object = None
    service: str = ""

    async def put(self, event) -> None:
        """Hand the caller's task an event; nobody waits for a caller that went away.

        Example: ``await call.put(piece)``
        """
        while not self.deaf:
            try:
                async with moment.limit(moment.seconds(0.5)):
                    await self.out.put(event)
                return
            except TimeoutError:
                if moment.now() > self.end:
                    self.deaf = True


@dataclasses.dataclass(frozen=True)
class Ended:
    """The final event: the answer that is kept, or a refusal.

    Example: ``Ended(3, 12, 40, None, None)``
    """

    turn: int
    pieces: int
    used: int
    answer: object
    refusal: result.Refusal | None
