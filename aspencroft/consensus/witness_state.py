"""What a voter (witness) decides: a pure state machine over messages and the time, without input or output.

It is an acceptor of single-decree Paxos for each register, and grants leases on the values that were chosen.
"""

import dataclasses
import datetime
import typing

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import codec

LEASE = clock.seconds(1)
"""How long a primary may serve after it sent a renewal that a majority grants."""
LEASE_MARGIN = clock.seconds(0.15)
"""How much longer a voter waits than the lease: for clocks that run at different speeds."""
NO_BALLOT = 0
"""Below each proposer's ballot: nothing was promised or accepted."""

Reply = typing.TypeVar("Reply")


@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """A lease that a witness granted: until when it may be in force, by the witness's own clock with a margin."""

    lease_holder: str
    end: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Step(typing.Generic[Reply]):
    """What came of a message: the next state, the reply, and the values to sync before the reply is sent."""

    state: "WitnessState"
    reply: Reply
    writes: tuple[typing.Any, ...] = ()


@dataclasses.dataclass(frozen=True)
class WitnessState:
    """All that a voter knows.

    Leases are in memory alone: ``leases_expired_at`` is when those of an earlier incarnation have surely expired.
    """

    address: str
    incarnation: int
    voter_set: replica_set.VoterSet
    ballots: typing.Mapping[int, replica_set.Ballot] = dataclasses.field(default_factory=dict)
    grants: typing.Mapping[int, LeaseGrant] = dataclasses.field(default_factory=dict)
    voting: bool = False
    leases_expired_at: datetime.timedelta = clock.ZERO

    def ballot(self, register: int) -> replica_set.Ballot:
        """The ballot promised and the value accepted in a register."""
        return self.ballots.get(register, replica_set.Ballot(register, NO_BALLOT, NO_BALLOT, b""))

    def reply(self, granted: bool, register: int, wait: datetime.timedelta = clock.ZERO) -> replica_set.BallotReply:
        """The reply to a prepare, an accept or a lease request."""
        return replica_set.BallotReply(granted, self.incarnation, self.ballot(register), self.voter_set, wait)

    def reject(self, register: int, wait: datetime.timedelta = clock.ZERO) -> Step[replica_set.BallotReply]:
        """Nothing changes; the reply has the ballot, voter set or lease (time to wait) that is in the way."""
        return Step(self, self.reply(False, register, wait))

    def is_current(self, voter_set: int) -> bool:
        """Whether a request names the very voter set in force here, by its number.

        Raises: ``result.RequestError`` with ``WITNESS_BLANK`` while this voter is blank.
        """
        if not self.voting:
            raise result.RequestError(result.ResultCode.WITNESS_BLANK)
        return voter_set == self.voter_set.number

    def lease_wait(self, register: int, requester: str, now: datetime.timedelta) -> datetime.timedelta:
        """How long somebody else's lease on a register may still be in force."""
        if register == replica_set.VOTER_SET:
            return clock.ZERO
        grant = self.grants.get(register)
        if grant is not None and grant.lease_holder == requester:
            return clock.ZERO
        current = self.ballot(register)
        if grant is None and current.value and str(codec.untagged(current.value).primary) == requester:
            return clock.ZERO
        end = self.leases_expired_at if grant is None else max(grant.end, self.leases_expired_at)
        return end - now

    def restore(
        self, values: typing.Iterable[typing.Any], now: datetime.timedelta, is_first_start: bool = False
    ) -> Step[None]:
        """Start with the values on disk; what is written must be synced before this voter votes.

        Leases of an earlier incarnation count as granted until they have expired. With ``is_first_start`` the disk
        never held anything, so that a voter of the first voter set votes at once: it can have forgotten nothing.
        """
        voter_set, recorded = self.voter_set, False
        ballots: dict[int, replica_set.Ballot] = {}
        for value in values:
            if isinstance(value, replica_set.VoterSet):
                voter_set, recorded = value, True
            elif isinstance(value, replica_set.Ballot):
                ballots[value.register] = value
        state = dataclasses.replace(
            self,
            voter_set=voter_set,
            ballots=ballots,
            grants={},
            voting=recorded and self.address in voter_set.everyone(),
            leases_expired_at=now + LEASE + LEASE_MARGIN,
        )
        if not is_first_start or self.address not in voter_set.present:
            return Step(state, None)
        first = replica_set.VoterSet(replica_set.FIRST_VOTER_SET_NUMBER, tuple(sorted(voter_set.present)), ())
        voting = dataclasses.replace(state, voter_set=first, leases_expired_at=clock.ZERO, voting=True)
        return Step(voting, None, (first,))

    def prepare(self, message: replica_set.Prepare, now: datetime.timedelta) -> Step[replica_set.BallotReply]:
        """First phase; rejected while somebody else's lease may be in force."""
        if not self.is_current(message.voter_set):
            return self.reject(message.register)
        current = self.ballot(message.register)
        wait = self.lease_wait(message.register, message.requester, now)
        if wait > clock.ZERO or message.ballot <= current.promised:
            return self.reject(message.register, max(wait, clock.ZERO))
        return self.store_ballot(dataclasses.replace(current, promised=message.ballot))

    def accept(self, message: replica_set.Accept) -> Step[replica_set.BallotReply]:
        """Second phase; only for a ballot that this very incarnation promised.

        A voter set is not in force here before it was chosen: one that few accepted would keep this voter and all that
        learn it from every quorum.
        """
        if not self.is_current(message.voter_set):
            return self.reject(message.register)
        current = self.ballot(message.register)
        if message.incarnation != self.incarnation or current.promised != message.ballot:
            return self.reject(message.register)
        step = self.store_ballot(dataclasses.replace(current, accepted=message.ballot, value=message.value))
        if message.register == replica_set.VOTER_SET:
            return step
        value = codec.untagged(message.value)
        grant = self.grants.get(message.register)
        if grant is None or grant.lease_holder == str(value.primary):
            return step
        grants = {register: other for register, other in self.grants.items() if register != message.register}
        return dataclasses.replace(step, state=dataclasses.replace(step.state, grants=grants))

    def store_ballot(self, ballot: replica_set.Ballot) -> Step[replica_set.BallotReply]:
        """A register's new ballot, granted once it is synced."""
        state = dataclasses.replace(self, ballots={**self.ballots, ballot.register: ballot})
        return Step(state, state.reply(True, ballot.register), written_twice(ballot))

    def adopt(self, voter_set: replica_set.VoterSet) -> Step[None]:
        """Take a newer voter set; requests with an older one are rejected from then on.

        A voter that the set does not name forgets its ballots: it may vote again only once it learnt from others.
        """
        if voter_set.number <= self.voter_set.number or not self.voting:
            return Step(self, None)
        state = dataclasses.replace(self, voter_set=voter_set)
        if self.address not in voter_set.everyone():
            state = dataclasses.replace(state, voting=False, ballots={})
        return Step(state, None, written_twice(voter_set))

    def learn_chosen(self, message: replica_set.LeaseRequest) -> Step[replica_set.BallotReply]:
        """Take the chosen value that a lease request carries, where this voter had no part in its ballot."""
        current = self.ballot(message.register)
        if (
            not self.is_current(message.voter_set)
            or message.ballot <= current.accepted
            or message.ballot < current.promised
        ):
            return self.reject(message.register)
        return self.store_ballot(replica_set.Ballot(message.register, message.ballot, message.ballot, message.value))

    def renew(self, message: replica_set.LeaseRequest, now: datetime.timedelta) -> Step[replica_set.BallotReply]:
        """Renew a primary's lease under the record in force; nobody's while a higher ballot is promised."""
        if not self.is_current(message.voter_set):
            return self.reject(message.register)
        current = self.ballot(message.register)
        record = codec.untagged(current.value) if current.value else None
        if (
            record is None
            or current.accepted != message.ballot
            or current.promised != message.ballot
            or str(record.primary) != message.lease_holder
            or self.lease_wait(message.register, message.lease_holder, now) > clock.ZERO
        ):
            return self.reject(message.register)
        end, previous = now + message.length + LEASE_MARGIN, self.grants.get(message.register)
        if previous is not None and previous.lease_holder == message.lease_holder:
            end = max(end, previous.end)
        grants = {**self.grants, message.register: LeaseGrant(message.lease_holder, end)}
        return Step(dataclasses.replace(self, grants=grants), self.reply(True, message.register))

    def survey(self) -> replica_set.WitnessStateReply:
        """All registers and the voter set, for a blank voter that wants to learn."""
        return replica_set.WitnessStateReply(
            self.voting, self.incarnation, self.voter_set, tuple(self.ballots.values())
        )

    def learn(
        self, voter_set: replica_set.VoterSet, ballots: typing.Iterable[replica_set.Ballot], now: datetime.timedelta
    ) -> Step[None]:
        """Take the newest ballots of other voters, and vote from now on; leases count as granted."""
        if self.voting:
            return Step(self, None)
        newest = dict(self.ballots)
        for learnt in ballots:
            known = newest.get(learnt.register, replica_set.Ballot(learnt.register, NO_BALLOT, NO_BALLOT, b""))
            accepted = learnt if learnt.accepted >= known.accepted else known
            promised = max(learnt.promised, known.promised)
            newest[learnt.register] = replica_set.Ballot(learnt.register, promised, accepted.accepted, accepted.value)
        state = dataclasses.replace(
            self,
            voter_set=max(self.voter_set, voter_set, key=lambda known: known.number),
            ballots=newest,
            leases_expired_at=now + LEASE + LEASE_MARGIN,
            voting=True,
        )
        return Step(state, None, (*newest.values(), *written_twice(state.voter_set)))


def written_twice(value: typing.Any) -> tuple[typing.Any, typing.Any]:
    """A value as it is written: twice, as a disk may lose its last value though it was synced."""
    return value, value


def has_sources_to_learn(
    voter_set: replica_set.VoterSet, address: str, voting: typing.Mapping[str, replica_set.WitnessStateReply]
) -> bool:
    """Whether so many others vote that a blank voter may learn from them: a majority of the present ones but itself.

    Any quorum that ever counted this voter has one of them in common with those. They must hold the very voter set
    under which it is to vote: one that still votes under the former set may accept more there afterwards, which a
    quorum of the next set that counts this voter would not know.
    """
    sources = {source for source, survey in voting.items() if survey.voter_set.number == voter_set.number}
    return has_voting_majority(voter_set, address, sources)


def has_voting_majority(voter_set: replica_set.VoterSet, address: str, voting: typing.Collection[str]) -> bool:
    """Whether a majority of the present voters but this one votes, under whatever voter set."""
    others = [voter for voter in voter_set.present if voter != address]
    return 2 * len([voter for voter in others if voter in voting]) > len(others)
