"""The decisions of a proposer as pure functions: quorums, the value to propose, chosen values, the end of a lease.

The replica set of each group, and the voter set itself, is one register of single-decree Paxos (Lamport, "Paxos Made
Simple", 2001). Unlike in plain single-decree Paxos, a later ballot may replace the chosen value, and voters grant
leases on it.
"""

import dataclasses
import datetime
import random
import typing

from aspencroft.consensus import replica_set, witness_state
from aspencroft.runtime import clock

COUNTER_UNIT = 1 << 40
"""Factor of the counter in a ballot number; the low bits are random, so that no two proposers use the same number."""

BallotReplies = typing.Mapping[str, replica_set.BallotReply]
"""The voters' replies to one request, by voter address."""


@dataclasses.dataclass(frozen=True)
class ChosenValue:
    """A value that a majority of the voters accepted, and the ballot in which they accepted it."""

    ballot: int
    value: bytes


class LeaseOutcome(typing.NamedTuple):
    """The result of a lease request.

    ``end`` is the end of the lease on the monotonic clock, or None if the lease was not granted. ``newest`` is a value
    that a voter accepted in a higher ballot, or empty if there is none. ``answered`` tells whether a majority replied
    at all.
    """

    end: datetime.timedelta | None
    newest: bytes
    answered: bool


def next_ballot(highest: int, randomness: random.Random) -> int:
    """Return a ballot number above the highest one seen, which no other proposer uses.

    Example: ``next_ballot(7, random.Random(1)) > 7``
    """
    return (highest // COUNTER_UNIT + 1) * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def granting_replies(replies: BallotReplies) -> dict[str, replica_set.BallotReply]:
    """Return the replies that promise, accept or grant."""
    return {address: reply for address, reply in replies.items() if reply.granted}


def is_decided(voter_set: replica_set.VoterSet, replies: BallotReplies) -> bool:
    """Return whether more replies cannot change the result: a majority granted, or no majority can grant any more."""
    granting = granting_replies(replies)
    refusing = set(replies) - set(granting)
    return voter_set.has_quorum(granting) or not voter_set.has_quorum(set(voter_set.all_voters()) - refusing)


def newest_accepted(promises: BallotReplies) -> replica_set.Ballot:
    """Return the ballot state with the highest accepted ballot among the promises; its value may already be chosen."""
    return max((reply.ballot for reply in promises.values()), key=lambda ballot: ballot.accepted)


def accept_messages(
    voter_set: replica_set.VoterSet, register: int, ballot: int, value: bytes, promises: BallotReplies
) -> dict[str, replica_set.Accept]:
    """Return the phase 2 messages: only to voters that promised, each with the incarnation that made the promise."""
    return {
        address: replica_set.Accept(register, ballot, value, reply.incarnation, voter_set.number)
        for address, reply in promises.items()
    }


def is_chosen(
    voter_set: replica_set.VoterSet, replies: BallotReplies, started: datetime.timedelta, now: datetime.timedelta
) -> bool:
    """Return whether a majority accepted the value in time.

    The ballot must end within one lease: a voter that lost its disk after it promised could vote again after that.
    """
    return now - started <= witness_state.LEASE and voter_set.has_quorum(granting_replies(replies))


def lease_outcome(
    voter_set: replica_set.VoterSet,
    replies: BallotReplies,
    chosen: ChosenValue,
    started: datetime.timedelta,
    length: datetime.timedelta,
) -> LeaseOutcome:
    """Return the result of a lease request; the lease runs from the time at which the request was sent."""
    newest = max((reply.ballot for reply in replies.values()), key=lambda ballot: ballot.accepted, default=None)
    value = newest.value if newest is not None and newest.accepted > chosen.ballot else b""
    if voter_set.has_quorum(granting_replies(replies)):
        return LeaseOutcome(started + length, value, True)
    return LeaseOutcome(None, value, voter_set.has_quorum(replies))


def wait_before_retry(replies: BallotReplies) -> datetime.timedelta:
    """Return the longest wait that a voter reported until the leases that block this ballot have expired.

    Example: ``wait_before_retry({}) == clock.ZERO``
    """
    return max((reply.wait for reply in replies.values()), default=clock.ZERO)
