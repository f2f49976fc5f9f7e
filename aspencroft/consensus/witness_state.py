"""What a witness decides: a pure state machine over messages and the time, without input or output."""

import dataclasses
import datetime
import typing

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import codec

LEASE = clock.seconds(1)
LEASE_MARGIN = clock.seconds(0.15)
BLANK_BALLOT = 0


@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """A lease that a witness granted: until when it may be in force, by the witness's own clock with a margin."""

    lease_holder: str
    end: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Step:
    """What came of a message: the next state, the reply, and the values to sync before the reply is sent."""

    state: "WitnessState"
    reply: replica_set.BallotReply | None
    writes: tuple = ()


@dataclasses.dataclass(frozen=True)
class WitnessState:
    """All that a witness knows. Leases are in memory alone; ``awake`` is when those of an earlier life have run out."""

    address: str
    incarnation: int
    voter_set: replica_set.VoterSet
    ballots: typing.Mapping[int, replica_set.Ballot] = dataclasses.field(default_factory=dict)
    grants: typing.Mapping[int, LeaseGrant] = dataclasses.field(default_factory=dict)
    voting: bool = False
    awake: datetime.timedelta = clock.ZERO

    def ballot(self, register: int) -> replica_set.Ballot:
        """What is kept of a register."""
        return self.ballots.get(register, replica_set.Ballot(register, BLANK_BALLOT, BLANK_BALLOT, b""))

    def answer(self, granted: bool, register: int, wait: datetime.timedelta = clock.ZERO) -> replica_set.BallotReply:
        """The reply to a prepare, an accept or a lease request."""
        return replica_set.BallotReply(granted, self.incarnation, self.ballot(register), self.voter_set, wait)

    def refused(self, register: int, wait: datetime.timedelta = clock.ZERO) -> Step:
        """Nothing changes; the reply tells what stands in the way."""
        return Step(self, self.answer(False, register, wait))

    def uses(self, voter_set: int) -> bool:
        """Whether the asker uses the very voter set in force here; a blank witness answers nobody."""
        if not self.voting:
            raise result.RequestError(result.ResultCode.WITNESS_BLANK)
        return voter_set == self.voter_set.number

    def lease_wait(self, register: int, asker: str, now: datetime.timedelta) -> datetime.timedelta:
        """How long somebody else's lease on a register may still be in force."""
        if register == replica_set.VOTER_SET:
            return clock.ZERO
        grant = self.grants.get(register)
        if grant is not None and grant.lease_holder == asker:
            return clock.ZERO
        current = self.ballot(register)
        if grant is None and current.value and str(codec.untagged(current.value).primary) == asker:
            return clock.ZERO
        end = self.awake if grant is None else max(grant.end, self.awake)
        return end - now

    def started(
        self, values: typing.Iterable, now: datetime.timedelta, founding: bool = False
    ) -> tuple["WitnessState", tuple]:
        """The state of a witness that starts with what its disk held, and what must be written before it votes.

        Leases of an earlier life count as granted until they have run out. With ``founding`` the disk never held
        anything, so that this witness of the first voter set votes at once: it can have forgotten nothing.
        """
        voter_set, ballots, recorded = self.voter_set, {}, False
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
            awake=now + LEASE + LEASE_MARGIN,
        )
        if not founding or self.address not in voter_set.present:
            return state, ()
        first = replica_set.VoterSet(replica_set.FOUNDING, tuple(sorted(voter_set.present)), ())
        return dataclasses.replace(state, voter_set=first, awake=clock.ZERO, voting=True), (first,)

    def prepare(self, message: replica_set.Prepare, now: datetime.timedelta) -> Step:
        """First phase; refused while somebody else's lease may be in force."""
        if not self.uses(message.voter_set):
            return self.refused(message.register)
        current = self.ballot(message.register)
        wait = self.lease_wait(message.register, message.asker, now)
        if wait > clock.ZERO or message.ballot <= current.raised:
            return self.refused(message.register, max(wait, clock.ZERO))
        return self.settled(dataclasses.replace(current, raised=message.ballot))

    def accept(self, message: replica_set.Accept) -> Step:
        """Second phase; only for a ballot that this very incarnation promised.

        A voter set is not in force here before it was chosen: one that few accepted would keep this witness and all who
        hear of it from every quorum.
        """
        if not self.uses(message.voter_set):
            return self.refused(message.register)
        current = self.ballot(message.register)
        if message.incarnation != self.incarnation or current.raised != message.ballot:
            return self.refused(message.register)
        step = self.settled(dataclasses.replace(current, accepted=message.ballot, value=message.value))
        if message.register == replica_set.VOTER_SET:
            return step
        value = codec.untagged(message.value)
        grant = self.grants.get(message.register)
        if grant is None or grant.lease_holder == str(value.primary):
            return step
        grants = {register: one for register, one in self.grants.items() if register != message.register}
        return dataclasses.replace(step, state=dataclasses.replace(step.state, grants=grants))

    def settled(self, ballot: replica_set.Ballot) -> Step:
        """A register's new state, granted once it is synced."""
        state = dataclasses.replace(self, ballots={**self.ballots, ballot.register: ballot})
        return Step(state, state.answer(True, ballot.register), lasting(ballot))

    def adopt(self, voter_set: replica_set.VoterSet) -> Step:
        """Take a newer voter set; askers with an older one are refused from then on.

        A witness that the set does not name forgets its ballots: it may vote again only once others taught it.
        """
        if voter_set.number <= self.voter_set.number or not self.voting:
            return Step(self, None)
        state = dataclasses.replace(self, voter_set=voter_set)
        if self.address not in voter_set.everyone():
            state = dataclasses.replace(state, voting=False, ballots={})
        return Step(state, None, lasting(voter_set))

    def learn_chosen(self, message: replica_set.LeaseRequest) -> Step:
        """Take the chosen value that a lease request carries, where this witness had no part in its ballot."""
        current = self.ballot(message.register)
        if not self.uses(message.voter_set) or message.ballot <= current.accepted or message.ballot < current.raised:
            return self.refused(message.register)
        return self.settled(replica_set.Ballot(message.register, message.ballot, message.ballot, message.value))

    def renew(self, message: replica_set.LeaseRequest, now: datetime.timedelta) -> Step:
        """Renew a primary's lease under the record that stands; nobody's while a higher ballot is raised."""
        if not self.uses(message.voter_set):
            return self.refused(message.register)
        current = self.ballot(message.register)
        standing = codec.untagged(current.value) if current.value else None
        if (
            standing is None
            or current.accepted != message.ballot
            or current.raised != message.ballot
            or str(standing.primary) != message.lease_holder
            or self.lease_wait(message.register, message.lease_holder, now) > clock.ZERO
        ):
            return self.refused(message.register)
        end, before = now + message.length + LEASE_MARGIN, self.grants.get(message.register)
        if before is not None and before.lease_holder == message.lease_holder:
            end = max(end, before.end)
        grants = {**self.grants, message.register: LeaseGrant(message.lease_holder, end)}
        return Step(dataclasses.replace(self, grants=grants), self.answer(True, message.register))

    def survey(self) -> replica_set.WitnessState:
        """All that is kept, for a blank witness that wants to learn."""
        return replica_set.WitnessState(self.voting, self.incarnation, self.voter_set, tuple(self.ballots.values()))

    def learn(
        self, voter_set: replica_set.VoterSet, ballots: typing.Iterable[replica_set.Ballot], now: datetime.timedelta
    ) -> Step:
        """Take the newest of what others keep, and vote from now on; leases count as granted."""
        if self.voting:
            return Step(self, None)
        held = dict(self.ballots)
        for one in ballots:
            mine = held.get(one.register, replica_set.Ballot(one.register, BLANK_BALLOT, BLANK_BALLOT, b""))
            newest = one if one.accepted >= mine.accepted else mine
            raised = max(one.raised, mine.raised)
            held[one.register] = replica_set.Ballot(one.register, raised, newest.accepted, newest.value)
        state = dataclasses.replace(
            self,
            voter_set=max(self.voter_set, voter_set, key=lambda one: one.number),
            ballots=held,
            awake=now + LEASE + LEASE_MARGIN,
            voting=True,
        )
        return Step(state, None, (*held.values(), *lasting(state.voter_set)))


def lasting(value) -> tuple:
    """A value as it is written: twice, as a disk may lose its last value though it was synced."""
    return value, value


def taught(
    voter_set: replica_set.VoterSet, address: str, voting: typing.Mapping[str, replica_set.WitnessState]
) -> bool:
    """Whether so many others vote that a blank witness may learn from them: a majority of the present ones but itself.

    Any quorum that ever counted this witness has one of them in common with those. They must hold the very voter set
    under which it is to vote: one that still votes under the former set may accept more there afterwards, which a
    quorum of the next set that counts this witness would not know.
    """
    sources = {one for one, survey in voting.items() if survey.voter_set.number == voter_set.number}
    return majority_votes(voter_set, address, sources)


def majority_votes(voter_set: replica_set.VoterSet, address: str, voting: typing.Collection[str]) -> bool:
    """Whether a majority of the present witnesses but this one votes, under whatever voter set."""
    others = [one for one in voter_set.present if one != address]
    return 2 * len([one for one in others if one in voting]) > len(others)
