"""What a proposer decides, as pure functions: quorums, the choice of a value, when a ballot counts, a lease's end."""

import dataclasses
import datetime
import random
import typing

from aspencroft.consensus import replica_set, witness_state
from aspencroft.runtime import clock

COUNTER_UNIT = 1 << 40

Answers = typing.Mapping[str, replica_set.BallotReply]


@dataclasses.dataclass(frozen=True)
class Chosen:
    """A value that a majority accepted, and the ballot in which it did."""

    ballot: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class LeaseOutcome:
    """A lease request's outcome: the lease's end or none, a newer value that was seen, whether a majority answered."""

    end: datetime.timedelta | None
    newest: bytes
    answered: bool


def next_ballot(highest: int, randomness: random.Random) -> int:
    """A ballot number above the highest that was seen, and nobody else's.

    Example: ``next_ballot(7, random.Random(1)) > 7``
    """
    return (highest // COUNTER_UNIT + 1) * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def granted(answers: Answers) -> dict[str, replica_set.BallotReply]:
    """Those answers that grant."""
    return {address: one for address, one in answers.items() if one.granted}


def settled(voter_set: replica_set.VoterSet, answers: Answers) -> bool:
    """Whether more answers change nothing: a majority grants, or so many refused that none can."""
    agreeing = granted(answers)
    refused = set(answers) - set(agreeing)
    return voter_set.quorum(agreeing) or not voter_set.quorum(set(voter_set.everyone()) - refused)


def newest_accepted(promised: Answers) -> replica_set.Ballot:
    """Of what those who promised had accepted, the one of the highest ballot: the value that may be chosen already."""
    return max((one.ballot for one in promised.values()), key=lambda one: one.accepted)


def accept_messages(
    voter_set: replica_set.VoterSet, register: int, ballot: int, value: bytes, promised: Answers
) -> dict[str, replica_set.Accept]:
    """The second phase, for those who promised alone, each named by the incarnation that did."""
    return {
        address: replica_set.Accept(register, ballot, value, one.incarnation, voter_set.number)
        for address, one in promised.items()
    }


def is_chosen(
    voter_set: replica_set.VoterSet, answers: Answers, started: datetime.timedelta, now: datetime.timedelta
) -> bool:
    """Whether a ballot chose its value: a majority accepted it, before a wiped witness could have been taught again."""
    return now - started <= witness_state.LEASE and voter_set.quorum(granted(answers))


def lease_outcome(
    voter_set: replica_set.VoterSet,
    answers: Answers,
    chosen: Chosen,
    started: datetime.timedelta,
    length: datetime.timedelta,
) -> LeaseOutcome:
    """What answers to a lease request come to; the lease is counted from before it was asked for."""
    newest = max((one.ballot for one in answers.values()), key=lambda one: one.accepted, default=None)
    value = newest.value if newest is not None and newest.accepted > chosen.ballot else b""
    if voter_set.quorum(granted(answers)):
        return LeaseOutcome(started + length, value, True)
    return LeaseOutcome(None, value, voter_set.quorum(answers))


def wait_before_retry(answers: Answers) -> datetime.timedelta:
    """The longest time that a witness named until leases in the way have run out.

    Example: ``wait_before_retry({}) == clock.ZERO``
    """
    return max((one.wait for one in answers.values()), default=clock.ZERO)
