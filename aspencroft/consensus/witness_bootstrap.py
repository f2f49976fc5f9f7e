"""How a blank witness comes to vote: from its like, from the members' disks, or at the first start."""

import collections.abc
import contextlib
import datetime
import random

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set, witness, witness_state
from aspencroft.errors import result
from aspencroft.replication import messages
from aspencroft.runtime import clock, supervision
from aspencroft.transport import codec, connections

LOG = logbook.Logger("consensus.witness_bootstrap")
AGAIN = clock.seconds(0.4)
ASK = clock.seconds(1)
SETTLED = clock.seconds(1.5)
FOUND = clock.seconds(1)
ALL_KNOWN = clock.seconds(5)
FIRST_BALLOT = 1
COUNTER_UNIT = 1 << 32


class WitnessBootstrap:
    """A node's seat among the witnesses."""

    def __init__(
        self,
        own: witness.Witness,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        group_ids: int,
        copies: int,
        holders: collections.abc.Callable[[str], tuple[replica_placement.Candidate, ...]],
        founds: bool = False,
    ):
        self.witness = own
        self.link = links
        self.proposer = voters
        self.address = address
        self.group_ids = group_ids
        self.copies = copies
        self.holders = holders
        self.founds = founds
        self.status_reason = "starting"
        self.settled: tuple[datetime.timedelta, tuple] = (clock.ZERO, ())

    async def run(self) -> None:
        """Try to vote whenever this node is in the voter set and blank."""
        while True:
            if self.witness.voting:
                self.status_reason = "voting"
                self.proposer.learn(self.witness.voter_set)
                if self.proposer.voter_set.number == self.witness.voter_set.number:
                    await self.witness.remember(replica_set.RememberedCluster(self.witness.voter_set, self.disks()))
                if self.founds and self.unfounded():
                    await self.found()
            elif self.address in self.proposer.voter_set.everyone():
                try:
                    await self.try_to_vote()
                except result.RequestError as refusal:
                    self.status_reason = str(refusal)
            else:
                self.status_reason = "not in the roster"
            await clock.sleep(AGAIN)

    def disks(self) -> tuple[str, ...]:
        """The live nodes whose disks may hold groups."""
        return tuple(
            sorted({one.address for sort in (replica_set.CONTROL, replica_set.TALK) for one in self.holders(sort)})
        )

    def short(self) -> str:
        """The sort of groups for which too few disks are known, or nothing."""
        return next(
            (sort for sort in (replica_set.CONTROL, replica_set.TALK) if len(self.holders(sort)) < self.copies),
            "",
        )

    async def ask_each(self, addresses: tuple[str, ...], message) -> dict:
        """Ask several nodes at once; those that answer."""
        found = {}

        async def ask(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                found[address] = await self.link.request(address, message, ASK)

        async with supervision.Group() as group:
            for address in addresses:
                group.create_task(ask(address))
        return found

    async def try_to_vote(self) -> None:
        """Wait out a claim, then learn from a majority of the others; or start from the disks."""
        if self.witness.waits_out_leases():
            self.status_reason = "waiting out claims"
            return
        voter_set = self.proposer.voter_set
        others = tuple(one for one in voter_set.everyone() if one != self.address)
        answers = await self.ask_each(others, replica_set.WitnessStateRequest(self.address))
        voting = {address: one for address, one in answers.items() if one.voting}
        for one in voting.values():
            self.proposer.learn(one.voter_set)
        if self.proposer.voter_set.number > voter_set.number:
            return
        ballots = tuple(ballot for one in voting.values() for ballot in one.ballots)
        if witness_state.taught(voter_set, self.address, voting):
            await self.witness.learn(self.proposer.voter_set, ballots)
            LOG.info("votes again, taught by {}", sorted(voting))
            return
        if witness_state.majority_votes(voter_set, self.address, voting):
            self.status_reason = "blank; witnesses that vote have not heard of this voter set"
            return
        if len(answers) < len(others):
            self.status_reason = f"blank; witnesses that do not answer: {sorted(set(others) - set(answers))}"
            return
        blank = [address for address in voter_set.everyone() if address not in voting]
        if self.address != min(blank):
            self.status_reason = "blank; another seat starts from the disks"
            return
        found = await self.from_disks(ballots)
        if found is None or self.proposer.voter_set.number != voter_set.number:
            return
        if voter_set.number == 0:
            voter_set = replica_set.VoterSet(numbered(1, self.proposer.environment.randomness), voter_set.present, ())
        message = replica_set.InstallWitnessState(voter_set, found)
        seeded = await self.ask_each(others, message)
        if len(seeded) == len(others):
            await self.witness.learn(voter_set, found)
            self.proposer.learn(voter_set)

    def unfounded(self) -> tuple[int, ...]:
        """The groups of which this witness holds no record."""
        return tuple(group_id for group_id in range(self.group_ids) if not self.witness.ballot(group_id).value)

    async def found(self) -> None:
        """Have the very first holders recorded, by ballots like any others: a record that is there already stays.

        The first witness begins; another one goes ahead a while later, should the first be gone.
        """
        names = self.disks()
        if names != self.settled[1]:
            self.settled = (clock.now(), names)
        turn = tuple(sorted(self.proposer.voter_set.everyone())).index(self.address)
        if self.short() or clock.now() - self.settled[0] < FOUND + turn * ASK:
            self.status_reason = f"waiting for nodes with disks: {names} {self.short()}"
            return
        reports = await self.ask_each(names, replica_set.ReplicaReportRequest())
        known = newest_records(reports, ())
        enough = all(
            sum(any(replica_set.sort_of(copied.group_id) == sort for copied in one.copies) for one in reports.values())
            >= self.copies
            for sort in (replica_set.CONTROL, replica_set.TALK)
        )
        if not enough:
            self.status_reason = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return
        for ballot in first_ballots(reports, self.group_ids, self.copies):
            if ballot.register not in self.unfounded():
                continue
            if ballot.register in known:
                self.status_reason = f"disks know holders of {ballot.register} that witnesses do not know"
                continue
            try:
                chosen = await self.proposer.change(
                    ballot.register, self.address, lambda value, first=ballot.value: value or first
                )
            except result.RequestError as refusal:
                self.status_reason = f"founding {ballot.register}: {refusal}"
                continue
            standing = codec.untagged(chosen.value)
            await self.ask_each((standing.primary.address,), messages.ReplicaSetNotice(standing))

    async def from_disks(self, ballots: tuple[replica_set.Ballot, ...]) -> tuple[replica_set.Ballot, ...] | None:
        """First state of the registers out of what disks report; none while too few answered."""
        names = self.disks()
        if names != self.settled[1]:
            self.settled = (clock.now(), names)
        waited = clock.now() - self.settled[0]
        if self.short() or waited < SETTLED:
            self.status_reason = f"waiting for nodes with disks: {names} {self.short()}"
            return None
        reports = await self.ask_each(names, replica_set.ReplicaReportRequest())
        if len(reports) < len(names):
            self.status_reason = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return None
        for report in reports.values():
            self.proposer.learn(report.known.voter_set)
        records = newest_records(reports, ballots)
        known = {address for report in reports.values() for address in report.known.disks}
        if not records:
            lost = sorted(name for name, report in reports.items() if not report.first_start)
            if lost:
                self.status_reason = f"no record of any group, and these disks were lost: {lost}"
                return None
            return first_ballots(reports, self.group_ids, self.copies)
        found = []
        for group_id in range(self.group_ids):
            standing = records.get(group_id)
            if standing is None:
                self.status_reason = f"no record of pair {group_id} on any disk"
                return None
            present = present_members(standing, reports)
            missing = [one.address for one in standing.members() if one not in present]
            if missing and (not present or waited < ALL_KNOWN or not known <= set(reports)):
                self.status_reason = f"pair {group_id} waits for {sorted({*missing, *(known - set(reports))})}"
                return None
            found.append(replica_set.Ballot(group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(standing)))
        for one in ballots:
            if one.register == replica_set.VOTER_SET:
                found.append(one)
        return tuple(found)


def numbered(counter: int, randomness: random.Random) -> int:
    """A voter set's number: it grows with the counter and is nobody else's."""
    return counter * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def newest_records(
    reports: dict[str, replica_set.ReplicaReports], ballots: tuple[replica_set.Ballot, ...]
) -> dict[int, replica_set.ReplicaSet]:
    """The newest replica set of each pair, from disks and from witnesses that still vote."""
    found: dict[int, replica_set.ReplicaSet] = {}
    told = [one.record for report in reports.values() for one in report.copies]
    told.extend(codec.untagged(one.value) for one in ballots if one.value and one.register != replica_set.VOTER_SET)
    for one in told:
        if one is not None and (one.group_id not in found or found[one.group_id].epoch < one.epoch):
            found[one.group_id] = one
    return found


def present_members(
    standing: replica_set.ReplicaSet, reports: dict[str, replica_set.ReplicaReports]
) -> list[replica_set.ReplicaId]:
    """The members of a record whose own disks answered, known by their identity."""
    return [
        one
        for one in standing.members()
        if one.address in reports
        and any(
            copied.group_id == standing.group_id and copied.identity == one.identity
            for copied in reports[one.address].copies
        )
    ]


def first_ballots(
    reports: dict[str, replica_set.ReplicaReports], group_ids: int, copies: int
) -> tuple[replica_set.Ballot, ...]:
    """The very first holders: spread evenly over the disks, each in an area of its own where there are enough."""
    founded: list[replica_set.ReplicaSet] = []
    for group_id in range(group_ids):
        identities = {
            name: one.identity for name, report in reports.items() for one in report.copies if one.group_id == group_id
        }
        candidates = [replica_placement.Candidate(name, reports[name].area) for name in sorted(identities)]
        chosen = replica_placement.first_members(group_id, candidates, copies, founded)
        members = [replica_set.ReplicaId(one.address, identities[one.address]) for one in chosen]
        founded.append(replica_set.ReplicaSet(group_id, 1, members[0], tuple(members[1:])))
    return tuple(replica_set.Ballot(one.group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(one)) for one in founded)
