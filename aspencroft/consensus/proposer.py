"""A proposer: sends both phases of ballots and lease requests to the voters."""

import asyncio
import collections.abc
import contextlib
import datetime
import typing

import logbook

from aspencroft.consensus import ballot as ballots
from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.proposer")
REQUEST_TIMEOUT = clock.seconds(0.4)
"""Time limit for a voter's reply; well below the lease, so that a failed renewal can be retried in time."""

ChosenValue = ballots.ChosenValue


class MessageLink(typing.Protocol):
    """The part of the transport to other nodes that consensus uses."""

    async def request(self, address: str, message: typing.Any, within: datetime.timedelta) -> typing.Any:
        """Send a message and return its reply.

        Raises: ``result.RequestError`` if the peer rejects it or no reply arrives in time.
        """
        ...

    def notify(self, address: str, message: typing.Any) -> None:
        """Send a message that needs no reply."""
        ...


class Proposer:
    """Proposes values to the voters; holds the newest voter set and the highest ballot that this node has seen."""

    def __init__(self, env: environment.Environment, link: MessageLink, first_voter_set: replica_set.VoterSet):
        self.environment = env
        self.link = link
        self.voter_set = first_voter_set
        self.highest_ballot = 0

    def next_ballot(self) -> int:
        """Return a ballot number above all that were seen, which no other proposer uses."""
        self.highest_ballot = ballots.next_ballot(self.highest_ballot, self.environment.randomness)
        return self.highest_ballot

    def learn_from_replies(self, replies: ballots.BallotReplies) -> None:
        """Learn higher ballots and newer voter sets from replies; send the newest set to voters that lack it."""
        for reply in replies.values():
            self.highest_ballot = max(self.highest_ballot, reply.ballot.promised)
            self.learn(reply.voter_set)
        for address, reply in replies.items():
            if reply.voter_set.number < self.voter_set.number:
                self.link.notify(address, replica_set.VoterSetChosen(self.voter_set))

    def learn(self, voter_set: replica_set.VoterSet) -> None:
        """Adopt a voter set if it is newer."""
        if voter_set.number > self.voter_set.number:
            self.voter_set = voter_set

    async def request_all(
        self,
        messages: collections.abc.Mapping[str, object],
        is_enough: collections.abc.Callable[[ballots.BallotReplies], bool],
    ) -> dict[str, replica_set.BallotReply]:
        """Send messages concurrently; return the replies by address once they are enough or no request is pending."""
        replies: dict[str, replica_set.BallotReply] = {}

        async def request(address: str, message: object) -> None:
            with contextlib.suppress(result.RequestError):
                replies[address] = await self.link.request(address, message, REQUEST_TIMEOUT)

        pending = [asyncio.ensure_future(request(address, message)) for address, message in messages.items()]
        try:
            while pending and not is_enough(replies):
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                pending = [task for task in pending if not task.done()]
        finally:
            for task in pending:
                task.cancel()
        return dict(replies)

    async def request_voters(
        self, voter_set: replica_set.VoterSet, messages: collections.abc.Mapping[str, object]
    ) -> dict[str, replica_set.BallotReply]:
        """Send messages to voters, wait until more replies cannot change the result, and learn from the replies."""
        replies = await self.request_all(messages, lambda received: ballots.is_decided(voter_set, received))
        self.learn_from_replies(replies)
        return replies

    async def change(
        self, register: int, requester: str, function: collections.abc.Callable[[bytes], bytes]
    ) -> ChosenValue:
        """Run one ballot: learn the newest value that may be chosen, and propose the function's result for it.

        If the function returns the value unchanged, the ballot completes that value.

        Raises: ``result.RequestError`` with ``NO_CLAIM`` and the time to wait if no majority promised (another lease
        is in force, or another ballot is higher); with ``OUTCOME_UNKNOWN`` if no majority accepted in time; and
        whatever the function raises.
        """
        voter_set, started = self.voter_set, clock.now()
        ballot = self.next_ballot()
        prepare = replica_set.Prepare(register, ballot, requester, voter_set.number)
        replies = await self.request_voters(voter_set, dict.fromkeys(voter_set.all_voters(), prepare))
        promises = ballots.granting_replies(replies)
        if not voter_set.has_quorum(promises):
            raise result.RequestError(
                result.ResultCode.NO_CLAIM,
                retry=ballots.wait_before_retry(replies),
                detail=f"{len(promises)} of {len(voter_set.all_voters())} witnesses promised",
            )
        value = function(ballots.newest_accepted(promises).value)
        accepts = ballots.accept_messages(voter_set, register, ballot, value, promises)
        replies = await self.request_voters(voter_set, accepts)
        if not ballots.is_chosen(voter_set, replies, started, clock.now()):
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "no majority accepted the ballot in time"
            )
        LOG.info(
            "ballot {} of register {} chosen: proposed by {}, voter set {}", ballot, register, requester, voter_set
        )
        return ChosenValue(ballot, value)

    async def request_lease(
        self, chosen: ChosenValue, register: int, lease_holder: str, length: datetime.timedelta
    ) -> ballots.LeaseOutcome:
        """Renew a lease on a chosen value; the lease runs from the time at which the request was sent."""
        voter_set, started = self.voter_set, clock.now()
        message = replica_set.LeaseRequest(
            register, chosen.ballot, chosen.value, lease_holder, length, voter_set.number
        )
        replies = await self.request_voters(voter_set, dict.fromkeys(voter_set.all_voters(), message))
        return ballots.lease_outcome(voter_set, replies, chosen, started, length)


def decode_replica_set(value: bytes) -> replica_set.ReplicaSet | None:
    """Return the replica set in a register's value, or None if the value is empty."""
    return codec.untagged(value) if value else None
