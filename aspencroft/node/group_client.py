"""Requests to the primary of a replication group, whichever node that is."""

import asyncio
import collections.abc
import datetime
import typing

import aspencroft.replication.messages as replication_messages
from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.membership import failure_detector
from aspencroft.runtime import clock
from aspencroft.transport import codec, connections

CONTROL_GROUP_ID = 0
ATTEMPT_TIMEOUT = clock.seconds(1.2)
"""How long one attempt at one primary takes at most: as long as a takeover, so that a retry meets the next primary."""
REPLICA_SET_QUERY_TIMEOUT = clock.seconds(0.4)
RETRY_PAUSE = clock.seconds(0.05)
PRIMARY_CHECK_PERIOD = clock.seconds(0.1)
"""How often a request in flight is compared with the newest record, lest it waits for a primary that was replaced."""


class GroupClient:
    """Sends commands and queries to the primaries of groups by the newest replica-set records known here."""

    def __init__(self, link: connections.Link, detector: failure_detector.FailureDetector):
        self.link = link
        self.failure_detector = detector

    async def submit(self, group_id: int, command: typing.Any, within: datetime.timedelta) -> typing.Any:
        """Have a command decided by a group's primary, again until ``within`` is over; it has to be idempotent.

        Raises:
            RequestError: what the primary refused it with, or, after ``within``, the last refusal; that of an attempt
                that may have run comes before one of an attempt that surely did not.

        """
        end = clock.now() + within
        unknown = None
        while True:
            record = self.failure_detector.records.get(group_id)
            left = end - clock.now()
            try:
                if record is None:
                    raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail=f"pair {group_id} is not known yet")
                message = replication_messages.Submit(group_id, min(ATTEMPT_TIMEOUT, left), codec.tagged(command))
                reply = await self.request_to_primary(record, message, min(ATTEMPT_TIMEOUT, left))
                return codec.untagged(reply.body)
            except result.RequestError as refusal:
                if refusal.ran is result.Ran.UNKNOWN and refusal.result is not result.ResultCode.INTERNAL:
                    unknown = refusal
                elif refusal.result not in (result.ResultCode.NOT_PRIMARY, result.ResultCode.NO_BACKUP):
                    raise
                if clock.now() + RETRY_PAUSE >= end:
                    raise unknown or refusal from None
            await clock.sleep(RETRY_PAUSE)

    async def submit_once(
        self, record: replica_set.ReplicaSet, command: typing.Any, within: datetime.timedelta
    ) -> typing.Any:
        """Have a command that is not idempotent decided by the primary that a record names, or not at all.

        Raises:
            RequestError: the primary's refusal, or no answer ``within``.

        """
        message = replication_messages.Submit(record.group_id, within, codec.tagged(command))
        reply = await self.request_to_primary(record, message, within)
        return codec.untagged(reply.body)

    async def request_to_primary(
        self, record: replica_set.ReplicaSet, message: object, within: datetime.timedelta
    ) -> typing.Any:
        """Send one request to the primary that a record names.

        Raises:
            RequestError: the primary's refusal, no answer ``within``, or NOT_PRIMARY with an unknown outcome as soon
                as another record names another primary.

        """
        request = asyncio.ensure_future(self.link.request(record.primary.address, message, within))
        try:
            while not request.done():
                await asyncio.wait((request,), timeout=PRIMARY_CHECK_PERIOD.total_seconds())
                newest = self.failure_detector.records.get(record.group_id, record)
                if not request.done() and newest.primary != record.primary:
                    raise result.RequestError(result.ResultCode.NOT_PRIMARY, result.Ran.UNKNOWN, "the primary changed")
            return request.result()
        finally:
            request.cancel()
            # A future holds its exception, whose traceback holds this frame: without this cycle all is freed at once.
            del request

    async def request_to_control_primary(
        self, message_of: collections.abc.Callable[[datetime.timedelta], object], within: datetime.timedelta
    ) -> typing.Any:
        """Send a request to the control group's primary, again until it answers or ``within`` is over.

        The message is made of the time that is left, and has to be idempotent.

        Raises:
            RequestError: the last refusal, which says whether anything may have been done.

        """
        end, unknown = clock.now() + within, None
        while True:
            record, left = self.failure_detector.records.get(CONTROL_GROUP_ID), end - clock.now()
            try:
                if record is None:
                    raise result.RequestError(
                        result.ResultCode.NOT_PRIMARY, detail="the control group is not known yet"
                    )
                async with clock.limit(left):
                    return await self.request_to_primary(record, message_of(left), left)
            except TimeoutError:
                raise result.RequestError(
                    result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "no answer in time"
                ) from None
            except result.RequestError as refusal:
                if refusal.ran is result.Ran.UNKNOWN:
                    unknown = refusal
                elif refusal.result not in (
                    result.ResultCode.NOT_PRIMARY,
                    result.ResultCode.NO_BACKUP,
                    result.ResultCode.UNREACHABLE,
                ):
                    raise
                if clock.now() + RETRY_PAUSE >= end:
                    raise unknown or refusal from None
            await clock.sleep(RETRY_PAUSE)

    async def is_complete_without(self, group_id: int, address: str, replica_count: int) -> bool:
        """Whether a group's primary says that ``replica_count`` replicas exist without a node, and that this lasts.

        False while the primary is not known or does not answer.
        """
        record = self.failure_detector.records.get(group_id)
        if record is None:
            return False
        try:
            reply = await self.link.request(
                record.primary.address,
                replication_messages.ReplicaSetQuery(group_id, address),
                REPLICA_SET_QUERY_TIMEOUT,
            )
        except result.RequestError:
            return False
        members = reply.record.members()
        return reply.drained and len(members) >= replica_count and all(member.address != address for member in members)
