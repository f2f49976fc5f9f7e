"""How a blank witness comes to vote: from its like, from the members' disks, or at the first start."""

import collections.abc
import datetime
import random

import logbook

import aspencroft.code.result as result
import aspencroft.link.link as link
import aspencroft.link.record as record
import aspencroft.pair.electorate as electorate
import aspencroft.pair.exchange as exchange
import aspencroft.pair.holding as holding
import aspencroft.pair.part as part
import aspencroft.pair.witness as witness
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady

LOG = logbook.Logger("seat")
AGAIN = moment.seconds(0.4)
ASK = moment.seconds(1)
SETTLED = moment.seconds(1.5)
FOUND = moment.seconds(1)
ALL_KNOWN = moment.seconds(5)
FIRST_BALLOT = 1
COUNTER_UNIT = 1 << 32


class Seat:
    """A node's seat among the witnesses.

    Example: ``group.create_task(seat.run())``
    """

    def __init__(self, own: witness.Witness, links: link.Link, voters: electorate.Electorate, address: str,
                 pairs: int, copies: int, holders: collections.abc.Callable[[str], tuple[part.Candidate, ...]],
                 founds: bool = False):
        self.witness = own
        self.link = links
        self.electorate = voters
        self.address = address
        self.pairs = pairs
        self.copies = copies
        self.holders = holders
        self.founds = founds
        self.why = "starting"
        self.settled: tuple[datetime.timedelta, tuple] = (moment.ZERO, ())

    async def run(self) -> None:
        """Try to vote whenever this node is in the roster and blank.

        Example: ``group.create_task(seat.run())``
        """
        while True:
            if self.witness.voting:
                self.why = "voting"
                self.electorate.learn(self.witness.roster)
                if self.electorate.roster.number == self.witness.roster.number:
                    await self.witness.remember(holding.Known(
                        self.witness.roster, self.disks()))
                if self.founds and self.unfounded():
                    await self.found()
            elif self.address in self.electorate.roster.everyone():
                try:
                    await self.try_to_vote()
                except result.Refusal as refusal:
                    self.why = str(refusal)
            else:
                self.why = "not in the roster"
            await moment.pause(AGAIN)

    def disks(self) -> tuple[str, ...]:
        """The live nodes whose disks may hold groups.

        Example: ``seat.disks() == ("a:1", "b:1")``
        """
        return tuple(sorted({one.address for sort in (holding.CONTROL, holding.TALK) for one in self.holders(sort)}))

    def short(self) -> str:
        """The sort of groups for which too few disks are known, or nothing.

        Example: ``seat.short() == ""``
        """
        return next((sort for sort in (holding.CONTROL, holding.TALK)
                     if len(self.holders(sort)) < self.copies), "")

    async def ask_each(self, addresses: tuple[str, ...], message) -> dict:
        """Ask several nodes at once; those that answer.

        Example: ``await seat.ask_each(("a:1",), holding.Report())``
        """
        found = {}

        async def ask(address: str) -> None:
            try:
                found[address] = await self.link.ask(address, message, ASK)
            except result.Refusal:
                pass

        async with steady.Group() as group:
            for address in addresses:
                group.create_task(ask(address))
        return found

    async def try_to_vote(self) -> None:
        """Wait out a claim, then learn from a majority of the others; or start from the disks.

        Example: ``await seat.try_to_vote()``
        """
        if moment.now() < self.witness.awake:
            self.why = "waiting out claims"
            return
        roster = self.electorate.roster
        others = tuple(one for one in roster.everyone() if one != self.address)
        answers = await self.ask_each(others, holding.Survey(self.address))
        voting = {address: one for address, one in answers.items() if one.voting}
        for one in voting.values():
            self.electorate.learn(one.roster)
        if self.electorate.roster.number > roster.number:
            return
        source = [one for one in roster.present if one != self.address]
        ballots = tuple(ballot for one in voting.values() for ballot in one.ballots)
        if 2 * len([one for one in source if one in voting]) > len(source):
            await self.witness.learn(self.electorate.roster, ballots)
            LOG.info("votes again, taught by {}", sorted(voting))
            return
        if len(answers) < len(others):
            self.why = f"blank; witnesses that do not answer: {sorted(set(others) - set(answers))}"
            return
        blank = [address for address in roster.everyone() if address not in voting]
        if self.address != min(blank):
            self.why = "blank; another seat starts from the disks"
            return
        found = await self.from_disks(ballots)
        if found is None or self.electorate.roster.number != roster.number:
            return
        if roster.number == 0:
            roster = holding.Roster(numbered(1, self.electorate.surroundings.randomness), roster.present, ())
        message = holding.SeedWitness(roster, found)
        seeded = await self.ask_each(others, message)
        if len(seeded) == len(others):
            await self.witness.learn(roster, found)
            self.electorate.learn(roster)

    def unfounded(self) -> tuple[int, ...]:
        """The groups of which this witness holds no record.

        Example: ``seat.unfounded() == ()`` in a fleet that was founded.
        """
        return tuple(pair for pair in range(self.pairs) if not self.witness.ballot(pair).value)

    async def found(self) -> None:
        """Have the very first holders recorded, by ballots like any others: a record that is there already stays.

        The first witness begins; another one goes ahead a while later, should the first be gone.

        Example: ``await seat.found()``
        """
        names = self.disks()
        if names != self.settled[1]:
            self.settled = (moment.now(), names)
        turn = tuple(sorted(self.electorate.roster.everyone())).index(self.address)
        if self.short() or moment.now() - self.settled[0] < FOUND + turn * ASK:
            self.why = f"waiting for nodes with disks: {names} {self.short()}"
            return
        reports = await self.ask_each(names, holding.Report())
        known = newest_holdings(reports, ())
        enough = all(sum(any(holding.sort_of(copied.pair) == sort for copied in one.copies) for one in reports.values())
                     >= self.copies for sort in (holding.CONTROL, holding.TALK))
        if not enough:
            self.why = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return
        for ballot in first_ballots(reports, self.pairs, self.copies):
            if ballot.register not in self.unfounded():
                continue
            if ballot.register in known:
                self.why = f"disks know holders of {ballot.register} that witnesses do not know"
                continue
            try:
                chosen = await self.electorate.change(ballot.register, self.address,
                                                      lambda value, first=ballot.value: value or first)
            except result.Refusal as refusal:
                self.why = f"founding {ballot.register}: {refusal}"
                continue
            standing = record.untagged(chosen.value)
            await self.ask_each((standing.primary.address,), exchange.Appoint(standing))

    async def from_disks(self, ballots: tuple[holding.Ballot, ...]) -> tuple[holding.Ballot, ...] | None:
        """First state of the registers out of what disks report; none while too few answered.

        Example: ``await seat.from_disks(())``
        """
        names = self.disks()
        if names != self.settled[1]:
            self.settled = (moment.now(), names)
        waited = moment.now() - self.settled[0]
        if self.short() or waited < SETTLED:
            self.why = f"waiting for nodes with disks: {names} {self.short()}"
            return None
        reports = await self.ask_each(names, holding.Report())
        if len(reports) < len(names):
            self.why = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return None
        for report in reports.values():
            self.electorate.learn(report.known.roster)
        holdings = newest_holdings(reports, ballots)
        known = {address for report in reports.values() for address in report.known.disks}
        if not holdings:
            lost = sorted(name for name, report in reports.items() if not report.first_start)
            if lost:
                self.why = f"no record of any group, and these disks were lost: {lost}"
                return None
            return first_ballots(reports, self.pairs, self.copies)
        found = []
        for pair in range(self.pairs):
            standing = holdings.get(pair)
            if standing is None:
                self.why = f"no record of pair {pair} on any disk"
                return None
            present = present_members(standing, reports)
            missing = [one.address for one in standing.members() if one not in present]
            if missing and (not present or waited < ALL_KNOWN or not known <= set(reports)):
                self.why = f"pair {pair} waits for {sorted({*missing, *(known - set(reports))})}"
                return None
            found.append(holding.Ballot(pair, FIRST_BALLOT, FIRST_BALLOT, record.tagged(standing)))
        for one in ballots:
            if one.register == holding.ROSTER:
                found.append(one)
        return tuple(found)


def numbered(counter: int, randomness: random.Random) -> int:
    """A roster's number: it grows with the counter and is nobody else's.

    Example: ``numbered(2, randomness) > numbered(1, randomness)``
    """
    return counter * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def newest_holdings(reports: dict[str, holding.Reported],
                    ballots: tuple[holding.Ballot, ...]) -> dict[int, holding.Holding]:
    """The newest record of holders of each pair, from disks and from witnesses that still vote.

    Example: ``newest_holdings(reports, ()) == {}`` at the very first start.
    """
    found: dict[int, holding.Holding] = {}
    told = [one.holding for report in reports.values() for one in report.copies]
    told.extend(record.untagged(one.value) for one in ballots if one.value and one.register != holding.ROSTER)
    for one in told:
        if one is not None and (one.pair not in found or found[one.pair].epoch < one.epoch):
            found[one.pair] = one
    return found


def present_members(standing: holding.Holding, reports: dict[str, holding.Reported]) -> list[holding.Member]:
    """The members of a record whose own disks answered, known by their identity.

    Example: ``present_members(record, reports) == list(record.members())``
    """
    return [one for one in standing.members() if one.address in reports
            and any(copied.pair == standing.pair and copied.identity == one.identity
                    for copied in reports[one.address].copies)]


def first_ballots(reports: dict[str, holding.Reported], pairs: int, copies: int) -> tuple[holding.Ballot, ...]:
    """The very first holders: spread over the disks, each backup in an area of its own where there are enough.

    Example: ``first_ballots(reports, 5, 2)``
    """
    found = []
    for pair in range(pairs):
        identities = {name: one.identity for name, report in reports.items() for one in report.copies if one.pair == pair}
        names = sorted(identities)
        primary = names[pair % len(names)]
        chosen = [primary]
        while len(chosen) < min(copies, len(names)):
            areas = {reports[one].area for one in chosen}
            chosen.append(min((one for one in names if one not in chosen),
                              key=lambda one: (reports[one].area in areas, (names.index(one) - pair) % len(names))))
        members = [holding.Member(one, identities[one]) for one in chosen]
        value = record.tagged(holding.Holding(pair, 1, members[0], tuple(members[1:])))
        found.append(holding.Ballot(pair, FIRST_BALLOT, FIRST_BALLOT, value))
    return tuple(found)
