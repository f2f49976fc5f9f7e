"""What a proposer decides, as pure functions: quorums, the value to propose, when a value is chosen, a lease's end.

Each group's replica set, and the voter set itself, is one register of single-decree Paxos (Lamport, "Paxos Made
Simple", 2001) whose value may be proposed anew, with leases on the value that was chosen.
"""

import dataclasses
import datetime
import random
import typing

from aspencroft.consensus import replica_set, witness_state
from aspencroft.runtime import clock

COUNTER_UNIT = 1 << 40
"""What a ballot number's counter is multiplied with; the rest is random, so that no two proposers share a number."""

BallotReplies = typing.Mapping[str, replica_set.BallotReply]
"""Replies of voters to one request, by address."""


@dataclasses.dataclass(frozen=True)
class ChosenValue:
    """A value that a majority accepted, and the ballot in which it did."""

    ballot: int
    value: bytes


class LeaseOutcome(typing.NamedTuple):
    """What a lease request came to.

    ``end`` is the lease's end on the monotonic clock, none when it was not granted; ``newest`` a value accepted in
    a higher ballot, empty without one; ``answered`` says whether a majority replied at all.
    """

    end: datetime.timedelta | None
    newest: bytes
    answered: bool


def next_ballot(highest: int, randomness: random.Random) -> int:
    """A ballot number above the highest that was seen, and no other proposer's.

    Example: ``next_ballot(7, random.Random(1)) > 7``
    """
    return (highest // COUNTER_UNIT + 1) * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def granting_replies(replies: BallotReplies) -> dict[str, replica_set.BallotReply]:
    """The replies that promise, accept or grant."""
    return {address: reply for address, reply in replies.items() if reply.granted}


def is_decided(voter_set: replica_set.VoterSet, replies: BallotReplies) -> bool:
    """Whether more replies change nothing: a majority grants, or so many refused that none can."""
    granting = granting_replies(replies)
    refusing = set(replies) - set(granting)
    return voter_set.has_quorum(granting) or not voter_set.has_quorum(set(voter_set.everyone()) - refusing)


def newest_accepted(promises: BallotReplies) -> replica_set.Ballot:
    """What was accepted in the highest ballot, by the voters that promised: its value may be chosen already."""
    return max((reply.ballot for reply in promises.values()), key=lambda ballot: ballot.accepted)


def accept_messages(
    voter_set: replica_set.VoterSet, register: int, ballot: int, value: bytes, promises: BallotReplies
) -> dict[str, replica_set.Accept]:
    """The second phase, only for voters that promised, each named by the incarnation that did."""
    return {
        address: replica_set.Accept(register, ballot, value, reply.incarnation, voter_set.number)
        for address, reply in promises.items()
    }


def is_chosen(
    voter_set: replica_set.VoterSet, replies: BallotReplies, started: datetime.timedelta, now: datetime.timedelta
) -> bool:
    """Whether a majority accepted the value, before a voter that lost its disk meanwhile could vote again."""
    return now - started <= witness_state.LEASE and voter_set.has_quorum(granting_replies(replies))


def lease_outcome(
    voter_set: replica_set.VoterSet,
    replies: BallotReplies,
    chosen: ChosenValue,
    started: datetime.timedelta,
    length: datetime.timedelta,
) -> LeaseOutcome:
    """What the replies to a lease request come to; the lease is counted from when the request was sent."""
    newest = max((reply.ballot for reply in replies.values()), key=lambda ballot: ballot.accepted, default=None)
    value = newest.value if newest is not None and newest.accepted > chosen.ballot else b""
    if voter_set.has_quorum(granting_replies(replies)):
        return LeaseOutcome(started + length, value, True)
    return LeaseOutcome(None, value, voter_set.has_quorum(replies))


def wait_before_retry(replies: BallotReplies) -> datetime.timedelta:
    """The longest time that a voter named until leases in the way have expired.

    Example: ``wait_before_retry({}) == clock.ZERO``
    """
    return max((reply.wait for reply in replies.values()), default=clock.ZERO)
