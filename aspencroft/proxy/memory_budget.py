"""The bytes that an edge may hold for its callers: reserved before they are held, given back when the call ends."""

import asyncio
import collections
import dataclasses
import datetime
import enum

import logbook

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.tracing import sample

LOG = logbook.Logger("proxy.memory_budget")
SMALL_REQUEST_BYTES = 64 << 10
"""Requests up to this size have a share of the budget of their own, so that large ones never hold them up."""
ARRIVED_BYTES = 128 << 10
"""Most bytes of a waiting request that have arrived all the same."""
SMALL_SHARE_DIVISOR = 8
LARGE_SHARE_NUMERATOR, LARGE_SHARE_DENOMINATOR = 5, 8
"""The rest, a quarter, is left to calls that have begun: their histories and answers."""
WAITING_SHARE_DIVISOR = 8
RETRY_AFTER = clock.seconds(0.3)


class Purpose(enum.Enum):
    """What reserved bytes are held for."""

    BODY = "body"
    HISTORY = "history"
    ANSWER = "answer"
    OUTPUT = "output"
    TRANSFER = "transfer"


@dataclasses.dataclass(eq=False)
class Waiter:
    """A reservation that waits for bytes."""

    reservation: "Reservation"
    purpose: Purpose
    size: int
    answer: asyncio.Future[None]
    is_granted: bool = False


class Share:
    """A part of the budget with a limit of its own, and what waits for it."""

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.held = 0
        self.waiters: list[Waiter] = []


class Reservation:
    """The bytes held for one call. ``holder`` is the program, session or attempt that they are charged to."""

    def __init__(self, budget: "MemoryBudget", holder: str) -> None:
        self.budget = budget
        self.holder = holder
        self.parts: collections.Counter[tuple[Share, Purpose]] = collections.Counter()

    def size(self) -> int:
        """Return the bytes that are reserved."""
        return self.parts.total()

    async def grow(
        self, purpose: Purpose, size: int, until: datetime.timedelta, ran: result.Ran = result.Ran.UNKNOWN
    ) -> None:
        """Reserve more bytes for a call that has begun, waiting for them until a time on the loop's clock.

        Raises:
            RequestError: OVERLOADED with the outcome ``ran``; the bytes are not reserved.

        """
        try:
            await self.budget.grow(self, purpose, size, until)
        except TimeoutError:
            raise self.budget.refusal(self, size, ran) from None

    def shrink(self, purpose: Purpose, size: int) -> None:
        """Give back what is reserved for a purpose beyond a size."""
        self.budget.shrink(self, purpose, size)

    def release(self) -> None:
        """Give all bytes back. Further calls have no effect."""
        self.budget.release(self)


class MemoryBudget:
    """One budget of bytes for all calls of a process; a limit of 0 bounds nothing and only counts.

    A new request reserves its whole body before it is read. Small and large requests have separate shares, so that
    neither kind can take all bytes. Among the requests that wait for a share, the next is one of the holder with the
    fewest bytes; a request is never passed by later ones of its own holder. Calls that have begun may use what
    the two shares leave, and go first.
    """

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.begun = Share("begun", limit)
        self.small = Share("small", limit // SMALL_SHARE_DIVISOR)
        self.large = Share("large", limit * LARGE_SHARE_NUMERATOR // LARGE_SHARE_DENOMINATOR)
        self.waiting_limit = limit // WAITING_SHARE_DIVISOR
        self.held = 0
        self.most_held = 0
        self.waiting_bytes = 0
        self.by_holder: collections.Counter[str] = collections.Counter()
        self.by_purpose: collections.Counter[Purpose] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()

    async def admit(self, holder: str, size: int, until: datetime.timedelta) -> Reservation:
        """Reserve the body of a new request, waiting for it until a time on the loop's clock.

        Raises:
            RequestError: OVERLOADED, not run: the bytes are not free in time, or too many requests wait already.

        """
        reservation = Reservation(self, holder)
        shares = (self.small, self.large) if size <= SMALL_REQUEST_BYTES else (self.large,)
        for share in shares:
            if not share.waiters and self.has_room(share, size):
                self.take(reservation, share, Purpose.BODY, size)
                return reservation
        arrived = min(size, ARRIVED_BYTES)
        if size > shares[0].limit or self.waiting_bytes + arrived > self.waiting_limit:
            raise self.refusal(reservation, size, result.Ran.NOT_RUN)
        self.waiting_bytes += arrived
        try:
            await self.wait(reservation, shares[0], Purpose.BODY, size, until)
        except TimeoutError:
            raise self.refusal(reservation, size, result.Ran.NOT_RUN) from None
        finally:
            self.waiting_bytes -= arrived
        return reservation

    async def grow(self, reservation: Reservation, purpose: Purpose, size: int, until: datetime.timedelta) -> None:
        """Reserve more bytes for a call that has begun; see ``Reservation.grow``.

        Raises:
            TimeoutError: the bytes are not free in time, or are more than the whole budget.

        """
        if not self.begun.waiters and self.has_room(self.begun, size):
            self.take(reservation, self.begun, purpose, size)
            return
        if size > self.limit:
            raise TimeoutError
        await self.wait(reservation, self.begun, purpose, size, until)

    def release(self, reservation: Reservation) -> None:
        """Give all bytes of a reservation back and let others have them."""
        for (share, purpose), size in list(reservation.parts.items()):
            self.give_back(reservation, share, purpose, size)
        self.grant_waiting()

    def shrink(self, reservation: Reservation, purpose: Purpose, size: int) -> None:
        """Give back what a reservation has for a purpose beyond a size."""
        for (share, held_purpose), held in list(reservation.parts.items()):
            if held_purpose is purpose and held > size:
                self.give_back(reservation, share, purpose, held - size)
                size = 0
            elif held_purpose is purpose:
                size -= held
        self.grant_waiting()

    def has_room(self, share: Share, size: int) -> bool:
        """Whether bytes fit into a share and into the whole budget."""
        return not self.limit or (share.held + size <= share.limit and self.held + size <= self.limit)

    def take(self, reservation: Reservation, share: Share, purpose: Purpose, size: int) -> None:
        """Count bytes as reserved."""
        if not size:
            return
        reservation.parts[share, purpose] += size
        share.held += size
        self.held += size
        self.most_held = max(self.most_held, self.held)
        self.by_holder[reservation.holder] += size
        self.by_purpose[purpose] += size

    def give_back(self, reservation: Reservation, share: Share, purpose: Purpose, size: int) -> None:
        """Count bytes as free."""
        reservation.parts[share, purpose] -= size
        if not reservation.parts[share, purpose]:
            del reservation.parts[share, purpose]
        share.held -= size
        self.held -= size
        self.by_holder[reservation.holder] -= size
        if not self.by_holder[reservation.holder]:
            del self.by_holder[reservation.holder]
        self.by_purpose[purpose] -= size

    async def wait(
        self, reservation: Reservation, share: Share, purpose: Purpose, size: int, until: datetime.timedelta
    ) -> None:
        """Wait until bytes of a share are granted; they are not reserved if the wait ends in any other way.

        Raises:
            TimeoutError: the time is over.

        """
        waiter = Waiter(reservation, purpose, size, asyncio.get_running_loop().create_future())
        share.waiters.append(waiter)
        self.counts["waited"] += 1
        try:
            async with clock.limit(until - clock.now()):
                await waiter.answer
        except BaseException:
            # The bytes may have been granted in the moment in which the wait was cancelled.
            if waiter.is_granted:
                self.give_back(reservation, share, purpose, size)
            else:
                share.waiters.remove(waiter)
            self.grant_waiting()
            raise

    def grant_waiting(self) -> None:
        """Grant the free bytes of each share, calls that have begun first, until the next in turn does not fit."""
        for share in (self.begun, self.small, self.large):
            while share.waiters:
                waiter = share.waiters[0] if share is self.begun else self.next_in_turn(share)
                if not self.has_room(share, waiter.size):
                    break
                share.waiters.remove(waiter)
                self.take(waiter.reservation, share, waiter.purpose, waiter.size)
                waiter.is_granted = True
                if not waiter.answer.done():
                    waiter.answer.set_result(None)

    def next_in_turn(self, share: Share) -> Waiter:
        """The waiting request of the holder with the fewest bytes; the first to come among equals."""
        return min(share.waiters, key=lambda waiter: self.by_holder[waiter.reservation.holder])

    def refusal(self, reservation: Reservation, size: int, ran: result.Ran) -> result.RequestError:
        """Count and log a refusal, and return its error."""
        self.counts["refused"] += 1
        LOG.info(
            "{} bytes refused: holder={} held={} limit={} waiting={}",
            size,
            reservation.holder,
            self.held,
            self.limit,
            self.waiting_bytes,
        )
        return result.RequestError(
            result.ResultCode.OVERLOADED, ran, "the memory for requests of this edge is in use", RETRY_AFTER
        )

    def text(self) -> str:
        """What is held for callers, as one part of a log line, in megabytes."""
        purposes = ", ".join(f"{purpose.value} {self.by_purpose[purpose] / 1e6:.1f}" for purpose in Purpose)
        return f"{self.held / 1e6:.1f} of {self.limit / 1e6:.1f} ({purposes})"

    def samples(self) -> list[sample.Sample]:
        """The metrics of the budget."""
        found = [
            sample.sample("aspencroft_call_memory_limit_bytes", self.limit),
            sample.sample("aspencroft_call_memory_waiting_bytes", self.waiting_bytes),
            sample.sample("aspencroft_call_memory_most_bytes", self.most_held),
            sample.sample("aspencroft_call_memory_refused_total", self.counts["refused"]),
            sample.sample("aspencroft_call_memory_waited_total", self.counts["waited"]),
        ]
        found.extend(
            sample.sample("aspencroft_call_memory_bytes", self.by_purpose[purpose], purpose=purpose.value)
            for purpose in Purpose
        )
        return found


def unlimited() -> Reservation:
    """Return a reservation of a budget that bounds nothing."""
    return Reservation(MemoryBudget(), "")
