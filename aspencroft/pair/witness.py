"""A witness: keeps epochs and claims only, decides with its like who holds a pair."""

import asyncio
import dataclasses
import datetime
import pathlib

import logbook

import aspencroft.code.result as result
import aspencroft.disk.store as store
import aspencroft.link.record as record
import aspencroft.pair.holding as holding
import aspencroft.seam.moment as moment
import aspencroft.seam.surroundings as surroundings

LOG = logbook.Logger("witness")
CLAIM = moment.seconds(1)
MARGIN = moment.seconds(0.15)
BLANK_BALLOT = 0
COMPACT = 2000


@dataclasses.dataclass(frozen=True)
class Grant:
    """A claim that a witness granted, by its own clock with a margin."""

    claimant: str
    end: datetime.timedelta


class Witness:
    """One witness's state; diskless ones lose it at a restart and then do not vote at first.

    Example: ``await witness.raise_ballot(Raise(0, 7, "me", 1))``
    """

    def __init__(self, around: surroundings.Surroundings, folder: pathlib.Path | None,
                 address: str, incarnation: int, first_roster: holding.Roster):
        self.surroundings = around
        self.address = address
        self.folder = folder
        self.incarnation = incarnation
        self.roster = first_roster
        self.ballots: dict[int, holding.Ballot] = {}
        self.grants: dict[int, Grant] = {}
        self.voting = False
        self.known = holding.Known(first_roster, ())
        self.awake = moment.ZERO
        self.kept: store.Store | None = None
        self.writing = asyncio.Lock()

    async def start(self, founding: bool = False) -> None:
        """Read what the disk holds; claims of an earlier life count as granted until they ran out.

        With ``founding`` an empty disk is one that never held anything, so that this witness of the first roster votes at once:
        there is nothing that it could have forgotten.

        Example: ``await witness.start()``
        """
        self.awake = moment.now() + CLAIM + MARGIN
        if self.folder is None:
            return
        self.kept, items, condition = await self.surroundings.disk.perform(
            store.load, self.folder, self.surroundings.disk)
        for item in items:
            value = record.untagged(item.payload)
            if isinstance(value, holding.Roster):
                self.roster = value
            elif isinstance(value, holding.Known):
                self.known = value
            else:
                self.ballots[value.register] = value
        self.voting = self.roster.number > 0 and self.address in self.roster.everyone()
        if condition is store.Condition.DAMAGED:
            LOG.warning("the witness's store was damaged; it starts blank")
        if founding and condition is store.Condition.EMPTY and self.address in self.roster.present:
            self.roster = holding.Roster(holding.FOUNDING, tuple(sorted(self.roster.present)), ())
            await self.keep(self.roster)
            self.awake, self.voting = moment.ZERO, True

    async def keep(self, *values) -> None:
        """Make values last before anybody is told of them.

        Example: ``await witness.keep(ballot)``
        """
        if self.kept is None:
            return
        async with self.writing:
            if self.kept.count > COMPACT:
                values = (self.known, self.roster, *self.ballots.values())
            items = tuple(store.Item(0, record.tagged(value)) for value in values)
            work = self.kept.replace if self.kept.count > COMPACT else self.kept.append
            await self.surroundings.disk.perform(work, items)

    def ballot(self, register: int) -> holding.Ballot:
        """What is kept of a register.

        Example: ``witness.ballot(0).raised``
        """
        return self.ballots.get(register, holding.Ballot(register, BLANK_BALLOT, BLANK_BALLOT, b""))

    def answer(self, granted: bool, register: int, wait: datetime.timedelta = moment.ZERO) -> holding.Raised:
        """The answer to a raise, an accept or a claim.

        Example: ``witness.answer(False, 0)``
        """
        return holding.Raised(granted, self.incarnation, self.ballot(register), self.roster, wait)

    def check(self, roster: int) -> bool:
        """Whether the asker uses the very roster in force here; a blank witness answers nobody.

        Example: ``witness.check(message.roster)``
        """
        if not self.voting:
            raise result.Refusal(result.Result.WITNESS_BLANK)
        return roster == self.roster.number

    async def raise_ballot(self, message: holding.Raise) -> holding.Raised:
        """First phase; refused while somebody else's claim may be in force.

        Example: ``await witness.raise_ballot(holding.Raise(0, 7, "me", 1))``
        """
        if not self.check(message.roster):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        wait = self.claimed(message.register, message.asker)
        if wait > moment.ZERO or message.ballot <= current.raised:
            return self.answer(False, message.register, max(wait, moment.ZERO))
        await self.settle(dataclasses.replace(current, raised=message.ballot))
        return self.answer(self.ballot(message.register).raised == message.ballot, message.register)

    def claimed(self, register: int, asker: str) -> datetime.timedelta:
        """How long somebody else's claim on a register may still be in force.

        Example: ``witness.claimed(0, "me") > moment.ZERO``
        """
        if register == holding.ROSTER:
            return moment.ZERO
        grant = self.grants.get(register)
        if grant is not None and grant.claimant == asker:
            return moment.ZERO
        end = self.awake if grant is None else max(grant.end, self.awake)
        current = self.ballot(register)
        if grant is None and current.value and str(record.untagged(current.value).primary) == asker:
            return moment.ZERO
        return end - moment.now()

    async def settle(self, fresh: holding.Ballot) -> None:
        """Take a register's new state into memory, then make it last; twice, as a disk may lose its last value.

        Example: ``await witness.settle(ballot)``
        """
        self.ballots[fresh.register] = fresh
        await self.keep(fresh, fresh)

    async def accept(self, message: holding.Accept) -> holding.Raised:
        """Second phase; only for a ballot that this very incarnation promised.

        Example: ``await witness.accept(holding.Accept(0, 7, value, incarnation, 1))``
        """
        if not self.check(message.roster):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        if message.incarnation != self.incarnation or current.raised != message.ballot:
            return self.answer(False, message.register)
        await self.settle(dataclasses.replace(current, accepted=message.ballot, value=message.value))
        value = record.untagged(message.value)
        if message.register == holding.ROSTER:
            await self.adopt(value)
        elif str(value.primary) != getattr(self.grants.get(message.register), "claimant", ""):
            self.grants.pop(message.register, None)
        return self.answer(self.ballot(message.register).accepted == message.ballot, message.register)

    async def adopt(self, roster: holding.Roster) -> None:
        """Take a newer roster; older ones are refused from then on.

        Example: ``await witness.adopt(roster)``
        """
        if roster.number > self.roster.number and self.voting:
            self.roster = roster
            if self.address not in roster.everyone():
                self.voting = False
                self.ballots.clear()
            await self.keep(roster)

    async def remember(self, known: holding.Known) -> None:
        """Keep what this node knows of the fleet, for the start after a full stop.

        Example: ``await witness.remember(holding.Known(roster, disks))``
        """
        if known != self.known:
            self.known = known
            await self.keep(known)

    async def claim(self, message: holding.Claim) -> holding.Raised:
        """Renew a claim under the record that stands; nobody's while a higher ballot is raised.

        Example: ``await witness.claim(claim)``
        """
        if not self.check(message.roster):
            return self.answer(False, message.register)
        current = self.ballot(message.register)
        if message.ballot > current.accepted and message.ballot >= current.raised:
            current = holding.Ballot(message.register, message.ballot, message.ballot, message.value)
            await self.settle(current)
        current = self.ballot(message.register)
        standing = record.untagged(current.value) if current.value else None
        if (standing is None or current.accepted != message.ballot or current.raised != message.ballot
                or str(standing.primary) != message.claimant
                or self.claimed(message.register, message.claimant) > moment.ZERO):
            return self.answer(False, message.register)
        end, before = moment.now() + message.length + MARGIN, self.grants.get(message.register)
        if before is not None and before.claimant == message.claimant:
            end = max(end, before.end)
        self.grants[message.register] = Grant(message.claimant, end)
        return self.answer(True, message.register)

    def survey(self) -> holding.Surveyed:
        """All that is kept, for a blank witness that wants to learn.

        Example: ``witness.survey().voting``
        """
        return holding.Surveyed(self.voting, self.incarnation, self.roster, tuple(self.ballots.values()))

    async def learn(self, roster: holding.Roster, ballots: tuple[holding.Ballot, ...]) -> None:
        """Take the newest of what others keep, and vote from now on; claims count as granted.

        Example: ``await witness.learn(roster, ballots)``
        """
        if self.voting:
            return
        for one in ballots:
            mine = self.ballot(one.register)
            newest = one if one.accepted >= mine.accepted else mine
            self.ballots[one.register] = holding.Ballot(one.register, max(one.raised, mine.raised),
                                                        newest.accepted, newest.value)
        self.roster = roster if roster.number > self.roster.number else self.roster
        self.awake = moment.now() + CLAIM + MARGIN
        self.voting = True
        await self.keep(self.roster, *self.ballots.values())
