"""Quota client of an edge: it reserves each request of a tenant at the tenant's session group, in batches.

While one batch of a tenant is in flight, further requests wait for the next one, so that a busy tenant costs each edge
at most one message a round trip. When the group that counts a tenant has no primary, another group grants requests from
a reserve: a small part of the error that a deployment allows, which is counted separately.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import itertools

from aspencroft.configuration import tenant
from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.runtime import clock
from aspencroft.sessions import entry, session_groups
from aspencroft.tracing import sample

PRIMARY_TIMEOUT = clock.seconds(0.15)
"""How long a batch waits for the primary of the counting group before the reserve is used."""
ANSWER_TIMEOUT = clock.seconds(0.5)
"""How long a reply of that primary is waited for; then the batch is sent again."""
RETRY_PAUSE = clock.seconds(0.02)
REFUSAL_CACHE_TIME = clock.seconds(0.1)
"""After a refusal an edge refuses requests of the tenant for up to this time without asking the group."""
RETURN_TIMEOUT = clock.seconds(1)
RUN_AHEAD_DIVISOR = 4
"""A takeover of the primary may lose one part in this many of the allowed error."""
RESERVE_DIVISOR = 4
"""The reserve grants one part in this many of the allowed error in each window."""
MAX_BATCH = 256
MAX_WAITING_PER_TENANT = 128
"""Most calls of one tenant that wait at an edge: a small part of its capacity, which other tenants need too."""
UNAVAILABLE_RETRY_AFTER = clock.seconds(0.3)


@dataclasses.dataclass(frozen=True)
class Grant:
    """A granted request: the name, group and epoch under which it is counted, and when it was requested.

    ``granted_at`` is when the primary counted it, on the clock of that primary.
    """

    counted_as: str
    group_id: int
    epoch: int
    asked_at: datetime.timedelta
    granted_at: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Batch:
    """A batch of requests to reserve: its number on this edge, and how many requests it has."""

    number: int
    count: int


@dataclasses.dataclass
class TenantQueue:
    """The requests of one tenant that wait for a reply on this edge."""

    limit: tenant.Tenant
    waiting: collections.deque[asyncio.Future] = dataclasses.field(default_factory=collections.deque)
    task: asyncio.Task | None = None
    refused_until: datetime.timedelta = clock.ZERO


class QuotaClient:
    """Reserves the requests of tenants that have a limit."""

    def __init__(self, own: node.Node):
        self.node = own
        self.queues: dict[str, TenantQueue] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)
        self.returns: set[asyncio.Task] = set()
        self.late_answers: set[asyncio.Future] = set()

    async def reserve(self, one: tenant.Tenant, within: datetime.timedelta) -> Grant | None:
        """Reserve one request and return its grant; none if the tenant has no limit.

        Raises:
            RequestError: OVER_QUOTA with the time after which the next request may be granted, UNREACHABLE if no group
                answered ``within`` that time, or OVERLOADED if too many requests wait. In each case nothing ran.

        """
        if not one.is_limited():
            return None
        now = clock.now()
        queue = self.queues.setdefault(one.name, TenantQueue(one))
        if queue.limit is not one:
            queue.limit, queue.refused_until = one, clock.ZERO
        if now < queue.refused_until:
            self.counts["refused here"] += 1
            raise over_quota(queue.refused_until - now)
        if len(queue.waiting) >= MAX_WAITING_PER_TENANT:
            raise result.RequestError(result.ResultCode.OVERLOADED, retry=UNAVAILABLE_RETRY_AFTER)
        waiter = asyncio.get_running_loop().create_future()
        queue.waiting.append(waiter)
        if queue.task is None or queue.task.done():
            queue.task = asyncio.ensure_future(self.serve(queue))
        try:
            async with clock.limit(within):
                return await waiter
        except TimeoutError:
            if is_granted(waiter):
                return waiter.result()
            self.counts["not told"] += 1
            raise result.RequestError(
                result.ResultCode.UNREACHABLE,
                detail="no session group answered the quota request of the tenant in time",
                retry=UNAVAILABLE_RETRY_AFTER,
            ) from None
        except asyncio.CancelledError:
            if is_granted(waiter):
                self.return_grant(waiter.result())
            raise

    async def serve(self, queue: TenantQueue) -> None:
        """Reserve all waiting requests, batch by batch, until none waits."""
        while waiters := self.take_batch(queue):
            batch = Batch(next(self.numbers), len(waiters))
            try:
                while waiters:
                    waiters = await self.reserve_batch(queue, batch, waiters)
            except BaseException as error:
                self.fail_waiters(waiters, error)
                raise

    def take_batch(self, queue: TenantQueue) -> list[asyncio.Future]:
        """Return the requests of the next batch; those that stopped waiting are dropped."""
        waiters: list[asyncio.Future] = []
        while queue.waiting and len(waiters) < MAX_BATCH:
            waiter = queue.waiting.popleft()
            if not waiter.done():
                waiters.append(waiter)
        return waiters

    async def reserve_batch(
        self, queue: TenantQueue, batch: Batch, waiters: list[asyncio.Future]
    ) -> list[asyncio.Future]:
        """Try once to reserve a batch; return those of its waiters that have no reply yet.

        The counting group is sent the batch under the same number until it replies, so that it does not count it twice.
        Until then the waiting requests are granted from the reserve.
        """
        quota, name = self.node.settings.quota, queue.limit.name
        limit = queue.limit.most_requests(quota.window)
        error = quota.allowed_error(limit)
        command = self.reservation_command(name, batch, limit, error // RUN_AHEAD_DIVISOR)
        pending_reply = asyncio.ensure_future(self.submit_to_group(self.group_of(name), command, ANSWER_TIMEOUT))
        try:
            await asyncio.wait((pending_reply,), timeout=PRIMARY_TIMEOUT.total_seconds())
            if not pending_reply.done() or pending_reply.exception() is not None:
                self.counts["primary did not tell"] += 1
                waiters = await self.grant_from_reserve(queue, error // RESERVE_DIVISOR, waiters)
                if not waiters:
                    self.late_answers.add(pending_reply)
                    pending_reply.add_done_callback(self.return_late_grant)
                    return []
            grant, reply = await pending_reply
        except result.RequestError:
            return waiters
        except BaseException:
            pending_reply.cancel()
            raise
        self.resolve(queue, waiters, grant, reply)
        return []

    def return_late_grant(self, pending_reply: asyncio.Future[tuple[Grant, entry.RequestsReserved]]) -> None:
        """Return the grants of a primary that replied when no request waited any more."""
        self.late_answers.discard(pending_reply)
        if pending_reply.cancelled() or pending_reply.exception() is not None:
            return
        grant, reply = pending_reply.result()
        if reply.granted:
            self.return_grant(grant, reply.granted)

    async def grant_from_reserve(
        self, queue: TenantQueue, limit: int, waiters: list[asyncio.Future]
    ) -> list[asyncio.Future]:
        """Ask another group for grants from the reserve; return the requests of the batch that still wait."""
        waiting = [waiter for waiter in waiters if not waiter.done()]
        if not waiting:
            return []
        name = queue.limit.name
        command = self.reservation_command(f"{name}\nreserve", Batch(next(self.numbers), len(waiting)), limit, 0)
        try:
            grant, reply = await self.submit_to_group(self.other_group(self.group_of(name)), command, PRIMARY_TIMEOUT)
        except result.RequestError:
            await clock.sleep(RETRY_PAUSE)
            return waiting
        if not reply.granted:
            await clock.sleep(RETRY_PAUSE)
        left = reply.granted
        for waiter in waiting:
            if left and not waiter.done():
                left -= 1
                self.counts["granted from the reserve"] += 1
                waiter.set_result(grant)
        if left:
            self.return_grant(grant, left)
        return [waiter for waiter in waiting if not waiter.done()]

    def reservation_command(self, counted_as: str, batch: Batch, limit: int, run_ahead: int) -> entry.ReserveRequests:
        """Build the command that reserves a batch, counted under a name."""
        edge, window = self.node.incarnation_id(), self.node.settings.quota.window
        return entry.ReserveRequests(counted_as, edge, batch.number, batch.count, limit, run_ahead, window)

    async def submit_to_group(
        self, group_id: int, command: entry.ReserveRequests, within: datetime.timedelta
    ) -> tuple[Grant, entry.RequestsReserved]:
        """Send a command to the primary of one group; return the grant and the reply."""
        asked_at = clock.now()
        reply: entry.RequestsReserved = await self.node.submit(group_id, command, within)
        return Grant(command.tenant, group_id, reply.epoch, asked_at, reply.granted_at), reply

    def group_of(self, name: str) -> int:
        """The session group that counts a tenant's requests."""
        return session_groups.group_of(name, self.node.settings.talk_pairs)

    def other_group(self, group_id: int) -> int:
        """The session group that holds the reserve for the tenants counted by a group."""
        return 1 + group_id % self.node.settings.talk_pairs

    def resolve(
        self, queue: TenantQueue, waiters: list[asyncio.Future], grant: Grant, reply: entry.RequestsReserved
    ) -> None:
        """Resolve the waiting requests; grants of those that stopped waiting go to others or are returned."""
        left = reply.granted
        for waiter in waiters:
            if waiter.done():
                continue
            if left:
                left -= 1
                self.counts["granted"] += 1
                waiter.set_result(grant)
            else:
                self.counts["refused"] += 1
                waiter.set_exception(over_quota(reply.retry))
        if reply.retry:
            queue.refused_until = clock.now() + min(reply.retry, REFUSAL_CACHE_TIME)
        if left:
            self.return_grant(grant, left)

    def fail_waiters(self, waiters: list[asyncio.Future], error: BaseException) -> None:
        """Fail all waiting requests when the queue's task ends with an error, even with an internal one."""
        if not isinstance(error, asyncio.CancelledError):
            error = result.RequestError(result.ResultCode.INTERNAL, detail=repr(error))
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(error) if isinstance(error, Exception) else waiter.cancel()

    def return_grant(self, grant: Grant, count: int = 1) -> None:
        """Return granted requests that did not run to the tenant's quota.

        The message is sent once and may be lost. After half of the window nothing is returned, as the grant may have
        left the window by then.
        """
        window = self.node.settings.quota.window
        if clock.now() + RETURN_TIMEOUT > grant.asked_at + window / 2:
            return
        record = self.node.failure_detector.records.get(grant.group_id)
        if record is None:
            return
        command = entry.ReturnRequests(grant.counted_as, count, grant.epoch, grant.granted_at)
        self.counts["given back"] += count
        task = asyncio.ensure_future(self.send_back(record, command))
        self.returns.add(task)
        task.add_done_callback(self.returns.discard)

    async def send_back(self, record, command: entry.ReturnRequests) -> None:
        """Send the command to the group once, without a retry."""
        try:
            await self.node.group_client.submit_once(record, command, RETURN_TIMEOUT)
        except result.RequestError:
            self.counts["not given back"] += 1

    def samples(self) -> list[sample.Sample]:
        """Return the counts as metrics."""
        return [
            sample.sample("aspencroft_quota_requests_total", count, outcome=name.replace(" ", "_"))
            for name, count in sorted(self.counts.items())
        ]

    def document(self) -> dict[str, int]:
        """Return the counts as shown by ``/status``."""
        return dict(sorted(self.counts.items()))


def is_granted(waiter: asyncio.Future[Grant]) -> bool:
    """Whether a waiting request was granted."""
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None


def over_quota(retry: datetime.timedelta) -> result.RequestError:
    """The error for a request above its tenant's limit."""
    return result.RequestError(result.ResultCode.OVER_QUOTA, retry=retry)
