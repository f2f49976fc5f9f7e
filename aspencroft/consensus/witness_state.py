"""The decisions of a voter (witness): a pure state machine over messages and the current time, without I/O.

A voter is a single-decree Paxos acceptor for each register, and grants leases on chosen values.
"""

import dataclasses
import datetime
import typing

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import codec

LEASE = clock.seconds(1)
"""How long a primary may serve after it sent a lease renewal, provided that a majority granted the renewal."""
LEASE_MARGIN = clock.seconds(0.15)
"""How much longer than the lease a voter waits, because clocks run at different speeds."""
NO_BALLOT = 0
"""Lower than any proposer's ballot number: nothing has been promised or accepted."""

Reply = typing.TypeVar("Reply")


@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """A lease that a witness granted; ``end`` is on the witness's own clock and includes the margin."""

    lease_holder: str
    end: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Step(typing.Generic[Reply]):
    """A state transition: the next state, the reply, and the values to sync to disk before the reply is sent."""

    state: "WitnessState"
    reply: Reply
    writes: tuple[typing.Any, ...] = ()


@dataclasses.dataclass(frozen=True)
class WitnessState:
    """The whole state of a voter.

    Leases are held in memory only; at ``leases_expired_at`` those of an earlier incarnation are certain to have
    expired.
    """

    address: str
    incarnation: int
    voter_set: replica_set.VoterSet
    ballots: typing.Mapping[int, replica_set.Ballot] = dataclasses.field(default_factory=dict)
    grants: typing.Mapping[int, LeaseGrant] = dataclasses.field(default_factory=dict)
    voting: bool = False
    leases_expired_at: datetime.timedelta = clock.ZERO

    def ballot(self, register: int) -> replica_set.Ballot:
        """Return the promised ballot and the accepted value of a register."""
        return self.ballots.get(register, replica_set.Ballot(register, NO_BALLOT, NO_BALLOT, b""))

    def reply(self, granted: bool, register: int, wait: datetime.timedelta = clock.ZERO) -> replica_set.BallotReply:
        """Return the reply to a prepare, accept or lease request."""
        return replica_set.BallotReply(granted, self.incarnation, self.ballot(register), self.voter_set, wait)

    def reject(self, register: int, wait: datetime.timedelta = clock.ZERO) -> Step[replica_set.BallotReply]:
        """Reject a request without a state change; the reply has the conflicting ballot, voter set or lease wait."""
        return Step(self, self.reply(False, register, wait))

    def is_current(self, voter_set: int) -> bool:
        """Return whether a request names the voter set that is in force here.

        Raises: ``result.RequestError`` with ``WITNESS_BLANK`` while this voter is blank.
        """
        if not self.voting:
            raise result.RequestError(result.ResultCode.WITNESS_BLANK)
        return voter_set == self.voter_set.number

    def lease_wait(self, register: int, requester: str, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long another holder's lease on a register may still be in force; zero or less if none can be."""
        if register == replica_set.VOTER_SET:
            return clock.ZERO
        grant = self.grants.get(register)
        if grant is not None and grant.lease_holder == requester:
            return clock.ZERO
        current = self.ballot(register)
        # Without a grant here, a lease of an earlier incarnation can only be that of the accepted primary.
        if grant is None and current.value and str(codec.untagged(current.value).primary) == requester:
            return clock.ZERO
        end = self.leases_expired_at if grant is None else max(grant.end, self.leases_expired_at)
        return end - now

    def restore(
        self, values: typing.Iterable[typing.Any], now: datetime.timedelta, is_first_start: bool = False
    ) -> Step[None]:
        """Start from the values on disk; the returned writes must be synced before this voter votes.

        Leases of an earlier incarnation are assumed to be granted until they must have expired. ``is_first_start``
        means that the disk never held anything: a voter that is present in the voter set it was created with then
        votes at once, since it cannot have lost any state.
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
            voting=recorded and self.address in voter_set.all_voters(),
            leases_expired_at=now + LEASE + LEASE_MARGIN,
        )
        if not is_first_start or self.address not in voter_set.present:
            return Step(state, None)
        first = replica_set.VoterSet(replica_set.FIRST_VOTER_SET_NUMBER, tuple(sorted(voter_set.present)), ())
        voting = dataclasses.replace(state, voter_set=first, leases_expired_at=clock.ZERO, voting=True)
        return Step(voting, None, (first,))

    def prepare(self, message: replica_set.Prepare, now: datetime.timedelta) -> Step[replica_set.BallotReply]:
        """Phase 1; rejected while another holder's lease may be in force."""
        if not self.is_current(message.voter_set):
            return self.reject(message.register)
        current = self.ballot(message.register)
        wait = self.lease_wait(message.register, message.requester, now)
        if wait > clock.ZERO or message.ballot <= current.promised:
            return self.reject(message.register, max(wait, clock.ZERO))
        return self.store_ballot(dataclasses.replace(current, promised=message.ballot))

    def accept(self, message: replica_set.Accept) -> Step[replica_set.BallotReply]:
        """Phase 2; accepts only in a ballot that this incarnation promised.

        An accepted voter set does not come into force before it is chosen. Otherwise a set that only a minority
        accepted would exclude this voter, and every node that learns the set from it, from all quorums.
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
        """Store the new ballot of a register; the reply that grants it is sent after the ballot is synced."""
        state = dataclasses.replace(self, ballots={**self.ballots, ballot.register: ballot})
        return Step(state, state.reply(True, ballot.register), written_twice(ballot))

    def adopt(self, voter_set: replica_set.VoterSet) -> Step[None]:
        """Adopt a newer voter set; requests that name an older one are rejected from then on.

        A voter that is not in the set drops its ballots: it may vote again only after it learned them from others.
        """
        if voter_set.number <= self.voter_set.number or not self.voting:
            return Step(self, None)
        state = dataclasses.replace(self, voter_set=voter_set)
        if self.address not in voter_set.all_voters():
            state = dataclasses.replace(state, voting=False, ballots={})
        return Step(state, None, written_twice(voter_set))

    def learn_chosen(self, message: replica_set.LeaseRequest) -> Step[replica_set.BallotReply]:
        """Accept the chosen value that a lease request carries.

        The request is rejected if its voter set is not in force here, or if this voter has accepted a value in the same
        or a higher ballot or promised a higher one.
        """
        current = self.ballot(message.register)
        if (
            not self.is_current(message.voter_set)
            or message.ballot <= current.accepted
            or message.ballot < current.promised
        ):
            return self.reject(message.register)
        return self.store_ballot(replica_set.Ballot(message.register, message.ballot, message.ballot, message.value))

    def renew(self, message: replica_set.LeaseRequest, now: datetime.timedelta) -> Step[replica_set.BallotReply]:
        """Renew the lease of the primary named in the accepted record; rejected while a higher ballot is promised."""
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
        """Return all registers and the voter set, for a blank voter that asks for them."""
        return replica_set.WitnessStateReply(
            self.voting, self.incarnation, self.voter_set, tuple(self.ballots.values())
        )

    def learn(
        self, voter_set: replica_set.VoterSet, ballots: typing.Iterable[replica_set.Ballot], now: datetime.timedelta
    ) -> Step[None]:
        """Merge the ballots of other voters, take the newer of the two voter sets, and start to vote.

        For each register, the highest promised ballot and the value of the highest accepted ballot are kept. Leases
        granted earlier are assumed to be in force until they must have expired. A voter that already votes learns
        nothing.
        """
        if self.voting:
            return Step(self, None)
        newest = dict(self.ballots)
        for learned in ballots:
            known = newest.get(learned.register, replica_set.Ballot(learned.register, NO_BALLOT, NO_BALLOT, b""))
            accepted = learned if learned.accepted >= known.accepted else known
            promised = max(learned.promised, known.promised)
            newest[learned.register] = replica_set.Ballot(learned.register, promised, accepted.accepted, accepted.value)
        state = dataclasses.replace(
            self,
            voter_set=max(self.voter_set, voter_set, key=lambda known: known.number),
            ballots=newest,
            leases_expired_at=now + LEASE + LEASE_MARGIN,
            voting=True,
        )
        # A disk may lose the last value that was written, so only the last one is written twice.
        return Step(state, None, (*newest.values(), *written_twice(state.voter_set)))


def written_twice(value: typing.Any) -> tuple[typing.Any, typing.Any]:
    """Return a value twice for writing, because a disk may lose the last value even after a sync."""
    return value, value


def has_sources_to_learn(
    voter_set: replica_set.VoterSet, address: str, voting: typing.Mapping[str, replica_set.WitnessStateReply]
) -> bool:
    """Return whether a blank voter may learn from the others: a majority of the other present voters is voting.

    Any quorum that ever counted this voter shares a member with that majority. The sources must hold the same voter
    set under which this voter is going to vote: a source that still votes under the former set may accept more values
    there afterwards, and a quorum of the next set that counts this voter would not know them.
    """
    sources = {source for source, survey in voting.items() if survey.voter_set.number == voter_set.number}
    return has_voting_majority(voter_set, address, sources)


def has_voting_majority(voter_set: replica_set.VoterSet, address: str, voting: typing.Collection[str]) -> bool:
    """Return whether a majority of the other present voters is voting, under any voter set."""
    others = [voter for voter in voter_set.present if voter != address]
    return 2 * len([voter for voter in others if voter in voting]) > len(others)
