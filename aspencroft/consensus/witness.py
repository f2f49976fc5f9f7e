"""A witness: keeps epochs and claims only, decides with its like who holds a pair."""

import asyncio
import dataclasses
import datetime
import pathlib

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.storage import store
from aspencroft.transport import codec

LOG = logbook.Logger("witness")
LEASE = clock.seconds(1)
LEASE_MARGIN = clock.seconds(0.15)
BLANK_BALLOT = 0
COMPACT = 2000


@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """A claim that a witness granted, by its own clock with a margin."""

    claimant: str
    end: datetime.timedelta


class Witness:
    """One witness's state; diskless ones lose it at a restart and then do not vote at first.

    Example: ``await witness.raise_ballot(Raise(0, 7, "me", 1))``
    """

    def __init__(
        self,
        around: environment.Environment,
        folder: pathlib.Path | None,
        address: str,
        incarnation: int,
        first_roster: replica_set.VoterSet,
    ):
        self.environment = around
        self.address = address
        self.folder = folder
        self.incarnation = incarnation
        self.voter_set = first_roster
        self.ballots: dict[int, replica_set.Ballot] = {}
        self.grants: dict[int, LeaseGrant] = {}
        self.voting = False
        self.known = replica_set.RememberedCluster(first_roster, ())
        self.awake = clock.ZERO
        self.kept: store.Store | None = None
        self.writing = asyncio.Lock()

    async def start(self, founding: bool = False) -> None:
        """Read what the disk holds; claims of an earlier life count as granted until they ran out.

        With ``founding`` an empty disk is one that never held anything, so that this witness of the first roster votes at once:
        there is nothing that it could have forgotten.

        Example: ``await witness.start()``
        """
        self.awake = clock.now() + LEASE + LEASE_MARGIN
        if self.folder is None:
            return
        self.kept, items, condition = await self.environment.disk.perform(
            store.load, self.folder, self.environment.disk
        )
        for item in items:
            value = codec.untagged(item.payload)
            if isinstance(value, replica_set.VoterSet):
                self.voter_set = value
            elif isinstance(value, replica_set.RememberedCluster):
                self.known = value
            else:
                self.ballots[value.register] = value
        self.voting = self.voter_set.number > 0 and self.address in self.voter_set.everyone()
        if condition is store.Condition.DAMAGED:
            LOG.warning("the witness's store was damaged; it starts blank")
        if founding and condition is store.Condition.EMPTY and self.address in self.voter_set.present:
            self.voter_set = replica_set.VoterSet(replica_set.FOUNDING, tuple(sorted(self.voter_set.present)), ())
            await self.keep(self.voter_set)
            self.awake, self.voting = clock.ZERO, True

    async def keep(self, *values) -> None:
        """Make values last before anybody is told of them.

        Example: ``await witness.keep(ballot)``
        """
        if self.kept is None:
            return
        async with self.writing:
            if self.kept.count > COMPACT:
                values = (self.known, self.voter_set, *self.ballots.values())
            items = tuple(store.Item(0, codec.tagged(value)) for value in values)
            work = self.kept.replace if self.kept.count > COMPACT else self.kept.append
            await self.environment.disk.perform(work, items)

    def ballot(self, register: int) -> replica_set.Ballot:
        """What is kept of a register.

        Example: ``witness.ballot(0).raised``
        """
        return self.ballots.get(register, replica_set.Ballot(register, BLANK_BALLOT, BLANK_BALLOT, b""))

    def answer(self, granted: bool, register: int, wait: datetime.timedelta = clock.ZERO) -> replica_set.BallotReply:
        """The answer to a raise, an accept or a claim.

        Example: ``witness.answer(False, 0)``
        """
        return replica_set.BallotReply(granted, self.incarnation, self.ballot(register), self.voter_set, wait)

    def check(self, voter_set: int) -> bool:
        """Whether the asker uses the very roster in force here; a blank witness answers nobody.

        Example: ``witness.check(message.roster)``
        """
        if not self.voting:
            raise result.RequestError(result.ResultCode.WITNESS_BLANK)
        return voter_set == self.voter_set.number

    async def raise_ballot(self, message: replica_set.Prepare) -> replica_set.BallotReply:
        """First phase; refused while somebody else's claim may be in force.

        Example: ``await witness.raise_ballot(holding.Raise(0, 7, "me", 1))``
        """
        if not self.check(message.voter_set):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        wait = self.claimed(message.register, message.asker)
        if wait > clock.ZERO or message.ballot <= current.raised:
            return self.answer(False, message.register, max(wait, clock.ZERO))
        await self.settle(dataclasses.replace(current, raised=message.ballot))
        return self.answer(self.ballot(message.register).raised == message.ballot, message.register)

    def claimed(self, register: int, asker: str) -> datetime.timedelta:
        """How long somebody else's claim on a register may still be in force.

        Example: ``witness.claimed(0, "me") > moment.ZERO``
        """
        if register == replica_set.VOTER_SET:
            return clock.ZERO
        grant = self.grants.get(register)
        if grant is not None and grant.claimant == asker:
            return clock.ZERO
        end = self.awake if grant is None else max(grant.end, self.awake)
        current = self.ballot(register)
        if grant is None and current.value and str(codec.untagged(current.value).primary) == asker:
            return clock.ZERO
        return end - clock.now()

    async def settle(self, fresh: replica_set.Ballot) -> None:
        """Take a register's new state into memory, then make it last; twice, as a disk may lose its last value.

        Example: ``await witness.settle(ballot)``
        """
        self.ballots[fresh.register] = fresh
        await self.keep(fresh, fresh)

    async def accept(self, message: replica_set.Accept) -> replica_set.BallotReply:
        """Second phase; only for a ballot that this very incarnation promised.

        Example: ``await witness.accept(holding.Accept(0, 7, value, incarnation, 1))``
        """
        if not self.check(message.voter_set):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        if message.incarnation != self.incarnation or current.raised != message.ballot:
            return self.answer(False, message.register)
        await self.settle(dataclasses.replace(current, accepted=message.ballot, value=message.value))
        value = codec.untagged(message.value)
        if message.register == replica_set.VOTER_SET:
            await self.adopt(value)
        elif str(value.primary) != getattr(self.grants.get(message.register), "claimant", ""):
            self.grants.pop(message.register, None)
        return self.answer(self.ballot(message.register).accepted == message.ballot, message.register)

    async def adopt(self, voter_set: replica_set.VoterSet) -> None:
        """Take a newer roster; older ones are refused from then on.

        Example: ``await witness.adopt(roster)``
        """
        if voter_set.number > self.voter_set.number and self.voting:
            self.voter_set = voter_set
            if self.address not in voter_set.everyone():
                self.voting = False
                self.ballots.clear()
            await self.keep(voter_set)

    async def remember(self, known: replica_set.RememberedCluster) -> None:
        """Keep what this node knows of the fleet, for the start after a full stop.

        Example: ``await witness.remember(holding.Known(roster, disks))``
        """
        if known != self.known:
            self.known = known
            await self.keep(known)

    async def claim(self, message: replica_set.LeaseRequest) -> replica_set.BallotReply:
        """Renew a claim under the record that stands; nobody's while a higher ballot is raised.

        Example: ``await witness.claim(claim)``
        """
        if not self.check(message.voter_set):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        if message.ballot > current.accepted and message.ballot >= current.raised:
            current = replica_set.Ballot(message.register, message.ballot, message.ballot, message.value)
            await self.settle(current)
        current = self.ballot(message.register)
        standing = codec.untagged(current.value) if current.value else None
        if (
            standing is None
            or current.accepted != message.ballot
            or current.raised != message.ballot
            or str(standing.primary) != message.claimant
            or self.claimed(message.register, message.claimant) > clock.ZERO
        ):
            return self.answer(False, message.register)
        end, before = clock.now() + message.length + LEASE_MARGIN, self.grants.get(message.register)
        if before is not None and before.claimant == message.claimant:
            end = max(end, before.end)
        self.grants[message.register] = LeaseGrant(message.claimant, end)
        return self.answer(True, message.register)

    def survey(self) -> replica_set.WitnessState:
        """All that is kept, for a blank witness that wants to learn.

        Example: ``witness.survey().voting``
        """
        return replica_set.WitnessState(self.voting, self.incarnation, self.voter_set, tuple(self.ballots.values()))

    async def learn(self, voter_set: replica_set.VoterSet, ballots: tuple[replica_set.Ballot, ...]) -> None:
        """Take the newest of what others keep, and vote from now on; claims count as granted.

        Example: ``await witness.learn(roster, ballots)``
        """
        if self.voting:
            return
        for one in ballots:
            mine = self.ballot(one.register)
            newest = one if one.accepted >= mine.accepted else mine
            self.ballots[one.register] = replica_set.Ballot(
                one.register, max(one.raised, mine.raised), newest.accepted, newest.value
            )
        self.voter_set = voter_set if voter_set.number > self.voter_set.number else self.voter_set
        self.awake = clock.now() + LEASE + LEASE_MARGIN
        self.voting = True
        await self.keep(self.voter_set, *self.ballots.values())
