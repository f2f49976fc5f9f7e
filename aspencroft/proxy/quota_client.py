"""An edge's share in counting the requests of tenants: it asks the tenant's session group for each, in batches.

While one question of a tenant is under way the next requests wait for the following one, so that a busy tenant costs
one message a round trip from each edge and no more. When the group that counts a tenant has no primary, another group
grants a small part of the error that a deployment allows, which is counted by itself.
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

PRIMARY_PATIENCE = clock.seconds(0.15)
"""How long a question waits for the primary of the group that counts before the reserve is asked."""
ANSWER_TIMEOUT = clock.seconds(0.5)
"""How long an answer of that primary may take to be used; then the question is asked again."""
RETRY_PAUSE = clock.seconds(0.02)
REFUSAL_MEMORY = clock.seconds(0.1)
"""For so long an edge refuses on its own what would be refused if it asked."""
RETURN_WITHIN = clock.seconds(1)
RUN_AHEAD_PART = 4
"""The part of the allowed error that a primary may forget at a takeover is one in so many."""
RESERVE_PART = 4
"""The part of the allowed error that the reserve grants in a window is one in so many."""
MAX_BATCH = 256
MAX_WAITING = 128
"""Calls of one tenant that wait at an edge: a small part of those that it may hold, which others need."""
UNAVAILABLE_RETRY_AFTER = clock.seconds(0.3)


@dataclasses.dataclass(frozen=True)
class Grant:
    """Leave for one request to run: the name, group and epoch that it is counted under, and when it was asked for.

    ``granted_at`` is when the primary counted it, by that one's clock.
    """

    counted_as: str
    group_id: int
    epoch: int
    asked_at: datetime.timedelta
    granted_at: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Question:
    """What is asked about a tenant: its number on this edge, and for how many requests."""

    number: int
    count: int


@dataclasses.dataclass
class TenantQueue:
    """The requests of a tenant that wait for an answer here."""

    limit: tenant.Tenant
    waiting: collections.deque[asyncio.Future] = dataclasses.field(default_factory=collections.deque)
    task: asyncio.Task | None = None
    refused_until: datetime.timedelta = clock.ZERO


class QuotaClient:
    """Gets leave for the requests of tenants that have a limit."""

    def __init__(self, own: node.Node):
        self.node = own
        self.queues: dict[str, TenantQueue] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)
        self.returns: set[asyncio.Task] = set()
        self.late_answers: set[asyncio.Future] = set()

    async def reserve(self, one: tenant.Tenant, within: datetime.timedelta) -> Grant | None:
        """Leave for one request; none is needed where the tenant has no limit.

        Raises:
            RequestError: OVER_QUOTA with the time after which the next request may be granted, or UNREACHABLE where
                nobody could tell ``within`` that time. Nothing ran.

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
        if len(queue.waiting) >= MAX_WAITING:
            raise result.RequestError(result.ResultCode.OVERLOADED, retry=UNAVAILABLE_RETRY_AFTER)
        leave = asyncio.get_running_loop().create_future()
        queue.waiting.append(leave)
        if queue.task is None or queue.task.done():
            queue.task = asyncio.ensure_future(self.serve(queue))
        try:
            async with clock.limit(within):
                return await leave
        except TimeoutError:
            if is_granted(leave):
                return leave.result()
            self.counts["not told"] += 1
            raise result.RequestError(
                result.ResultCode.UNREACHABLE,
                detail="the tenant's requests can't be counted",
                retry=UNAVAILABLE_RETRY_AFTER,
            ) from None
        except asyncio.CancelledError:
            if is_granted(leave):
                self.give_back(leave.result())
            raise

    async def serve(self, queue: TenantQueue) -> None:
        """Ask for all that wait, batch by batch, until none waits."""
        while batch := self.take_batch(queue):
            question = Question(next(self.numbers), len(batch))
            try:
                while batch:
                    batch = await self.ask(queue, question, batch)
            except BaseException as error:
                self.fail(batch, error)
                raise

    def take_batch(self, queue: TenantQueue) -> list[asyncio.Future]:
        """The requests that are asked for next; those that gave up waiting fall out."""
        batch: list[asyncio.Future] = []
        while queue.waiting and len(batch) < MAX_BATCH:
            leave = queue.waiting.popleft()
            if not leave.done():
                batch.append(leave)
        return batch

    async def ask(self, queue: TenantQueue, question: Question, batch: list[asyncio.Future]) -> list[asyncio.Future]:
        """Ask once for a batch; those of it that still have to wait for an answer.

        The group that counts the tenant is asked the same question until it answers, lest it counts twice. As long as
        it doesn't, the reserve is asked for those that wait.
        """
        quota, name = self.node.settings.quota, queue.limit.name
        limit = queue.limit.most_requests(quota.window)
        error = quota.allowed_error(limit)
        command = self.question(name, question, limit, error // RUN_AHEAD_PART)
        asked = asyncio.ensure_future(self.ask_group(self.group_of(name), command, ANSWER_TIMEOUT))
        try:
            await asyncio.wait((asked,), timeout=PRIMARY_PATIENCE.total_seconds())
            if not asked.done() or asked.exception() is not None:
                self.counts["primary did not tell"] += 1
                batch = await self.ask_for_reserve(queue, error // RESERVE_PART, batch)
                if not batch:
                    self.late_answers.add(asked)
                    asked.add_done_callback(self.give_back_late)
                    return []
            grant, reply = await asked
        except result.RequestError:
            return batch
        except BaseException:
            asked.cancel()
            raise
        self.hand_out(queue, batch, grant, reply)
        return []

    def give_back_late(self, asked: asyncio.Future[tuple[Grant, entry.RequestsReserved]]) -> None:
        """A primary answered when nobody waited for its answer any more."""
        self.late_answers.discard(asked)
        if asked.cancelled() or asked.exception() is not None:
            return
        grant, reply = asked.result()
        if reply.granted:
            self.give_back(grant, reply.granted)

    async def ask_for_reserve(
        self, queue: TenantQueue, limit: int, batch: list[asyncio.Future]
    ) -> list[asyncio.Future]:
        """Ask another group for leave from the reserve; those of a batch that got none and still wait."""
        waiting = [leave for leave in batch if not leave.done()]
        if not waiting:
            return []
        name = queue.limit.name
        command = self.question(f"{name}\nreserve", Question(next(self.numbers), len(waiting)), limit, 0)
        try:
            grant, reply = await self.ask_group(self.other_group(self.group_of(name)), command, PRIMARY_PATIENCE)
        except result.RequestError:
            await clock.sleep(RETRY_PAUSE)
            return waiting
        if not reply.granted:
            await clock.sleep(RETRY_PAUSE)
        left = reply.granted
        for leave in waiting:
            if left and not leave.done():
                left -= 1
                self.counts["granted from the reserve"] += 1
                leave.set_result(grant)
        if left:
            self.give_back(grant, left)
        return [leave for leave in waiting if not leave.done()]

    def question(self, counted_as: str, question: Question, limit: int, run_ahead: int) -> entry.ReserveRequests:
        """The command that asks for leave under a name."""
        edge, window = self.node.incarnation_id(), self.node.settings.quota.window
        return entry.ReserveRequests(counted_as, edge, question.number, question.count, limit, run_ahead, window)

    async def ask_group(
        self, group_id: int, command: entry.ReserveRequests, within: datetime.timedelta
    ) -> tuple[Grant, entry.RequestsReserved]:
        """Ask the primary of one group, for a short time."""
        asked_at = clock.now()
        reply: entry.RequestsReserved = await self.node.submit(group_id, command, within)
        return Grant(command.tenant, group_id, reply.epoch, asked_at, reply.granted_at), reply

    def group_of(self, name: str) -> int:
        """The session group that counts a tenant's requests."""
        return session_groups.group_of(name, self.node.settings.talk_pairs)

    def other_group(self, group_id: int) -> int:
        """The session group that has the reserve of the tenants of a group."""
        return 1 + group_id % self.node.settings.talk_pairs

    def hand_out(
        self, queue: TenantQueue, batch: list[asyncio.Future], grant: Grant, reply: entry.RequestsReserved
    ) -> None:
        """Tell those who wait; grants of those who left meanwhile go to others."""
        left = reply.granted
        for leave in batch:
            if leave.done():
                continue
            if left:
                left -= 1
                self.counts["granted"] += 1
                leave.set_result(grant)
            else:
                self.counts["refused"] += 1
                leave.set_exception(over_quota(reply.retry))
        if reply.retry:
            queue.refused_until = clock.now() + min(reply.retry, REFUSAL_MEMORY)
        if left:
            self.give_back(grant, left)

    def fail(self, batch: list[asyncio.Future], error: BaseException) -> None:
        """Nobody is left waiting when the questions end, be it for a fault of this program."""
        if not isinstance(error, asyncio.CancelledError):
            error = result.RequestError(result.ResultCode.INTERNAL, detail=repr(error))
        for leave in batch:
            if not leave.done():
                leave.set_exception(error) if isinstance(error, Exception) else leave.cancel()

    def give_back(self, grant: Grant, count: int = 1) -> None:
        """Requests that were granted did not run: the tenant may have others for them.

        It is sent once and may be lost. After half of the window it is too late, as the grant may be over by then.
        """
        window = self.node.settings.quota.window
        if clock.now() + RETURN_WITHIN > grant.asked_at + window / 2:
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
        """Tell the group once."""
        try:
            await self.node.group_client.submit_once(record, command, RETURN_WITHIN)
        except result.RequestError:
            self.counts["not given back"] += 1

    def samples(self) -> list[sample.Sample]:
        """The counts as metrics."""
        return [
            sample.sample("aspencroft_quota_requests_total", count, outcome=name.replace(" ", "_"))
            for name, count in sorted(self.counts.items())
        ]

    def document(self) -> dict[str, int]:
        """The counts, as ``/status`` shows them."""
        return dict(sorted(self.counts.items()))


def is_granted(leave: asyncio.Future[Grant]) -> bool:
    """Whether a request that waited for leave has it."""
    return leave.done() and not leave.cancelled() and leave.exception() is None


def over_quota(retry: datetime.timedelta) -> result.RequestError:
    """The refusal of a request above its tenant's limit."""
    return result.RequestError(result.ResultCode.OVER_QUOTA, retry=retry)
