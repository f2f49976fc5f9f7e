"""How a blank voter (witness) comes to vote: from other voters, from the members' disks, or at the very first start."""

import collections.abc
import contextlib
import datetime
import random
import typing

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set, witness, witness_state
from aspencroft.errors import result
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.witness_bootstrap")
CHECK_INTERVAL = clock.seconds(0.4)
REQUEST_TIMEOUT = clock.seconds(1)
"""How long another node may take to reply; also by how much each voter waits longer before it bootstraps groups."""
STABLE_BEFORE_RECOVERY = clock.seconds(1.5)
"""How long the live disks must stay the same before registers are recovered from them."""
STABLE_BEFORE_BOOTSTRAP = clock.seconds(1)
"""How long the live disks must stay the same before the very first replica sets are proposed."""
WAIT_FOR_KNOWN_DISKS = clock.seconds(5)
"""How long a recovery waits for all disks that are known before it goes on without some members of a group."""
FIRST_BALLOT = 1
COUNTER_UNIT = 1 << 32
"""What a voter set number's counter is multiplied with; the rest is random, so that no number is used twice."""
GROUP_KINDS = (replica_set.CONTROL, replica_set.TALK)

DiskReports = collections.abc.Mapping[str, replica_set.ReplicaReports]
"""What disks report, by their nodes' addresses."""


class StableDisks(typing.NamedTuple):
    """Since when the live disks have been the same ones."""

    since: datetime.timedelta
    names: tuple[str, ...]


class Recovery(typing.NamedTuple):
    """The first ballots of all registers, or none and the reason why."""

    ballots: tuple[replica_set.Ballot, ...] | None
    reason: str = ""


class WitnessBootstrap:
    """Brings this node's voter to vote; ``bootstraps_groups`` where voters propose the very first replica sets."""

    def __init__(
        self,
        voter: witness.Witness,
        link: proposer.MessageLink,
        voters: proposer.Proposer,
        address: str,
        group_count: int,
        replica_count: int,
        candidates: collections.abc.Callable[[str], tuple[replica_placement.Candidate, ...]],
        bootstraps_groups: bool = False,
    ):
        self.witness = voter
        self.link = link
        self.proposer = voters
        self.address = address
        self.group_count = group_count
        self.replica_count = replica_count
        self.candidates = candidates
        self.bootstraps_groups = bootstraps_groups
        self.status_reason = "starting"
        self.logged_reason = ""
        self.stable_disks = StableDisks(clock.ZERO, ())

    async def run(self) -> None:
        """Try to vote whenever this node is in the voter set and blank."""
        while True:
            if self.witness.voting:
                self.status_reason = "voting"
                self.proposer.learn(self.witness.voter_set)
                if self.proposer.voter_set.number == self.witness.voter_set.number:
                    await self.witness.remember(replica_set.RememberedCluster(self.witness.voter_set, self.disks()))
                if self.bootstraps_groups and self.groups_without_record():
                    await self.bootstrap_groups()
            elif self.address in self.proposer.voter_set.everyone():
                try:
                    await self.try_to_vote()
                except result.RequestError as refusal:
                    self.status_reason = str(refusal)
                self.log_blank()
            else:
                self.status_reason = "not in the roster"
            await clock.sleep(CHECK_INTERVAL)

    def log_blank(self) -> None:
        """Log why this voter does not vote yet, once for each reason."""
        if not self.witness.voting and self.status_reason != self.logged_reason:
            self.logged_reason = self.status_reason
            events.report(
                LOG,
                events.EventFields(events.Event.VOTER_BLANK, member=self.address, reason=self.status_reason),
                "voter {} blank in voter set {}: {}",
                self.address,
                self.proposer.voter_set.number,
                self.status_reason,
            )

    def disks(self) -> tuple[str, ...]:
        """The live nodes whose disks may hold replicas."""
        return tuple(sorted({candidate.address for kind in GROUP_KINDS for candidate in self.candidates(kind)}))

    def kind_lacking_disks(self) -> str:
        """The kind of groups for which too few disks are known, or nothing."""
        return next((kind for kind in GROUP_KINDS if len(self.candidates(kind)) < self.replica_count), "")

    def observe_disks(self) -> StableDisks:
        """The live disks, and since when they have been the same."""
        names = self.disks()
        if names != self.stable_disks.names:
            self.stable_disks = StableDisks(clock.now(), names)
        return self.stable_disks

    async def request_each(self, addresses: tuple[str, ...], message: object) -> dict[str, typing.Any]:
        """Send a message to several nodes at once; the replies of those that answered."""
        replies: dict[str, typing.Any] = {}

        async def request(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                replies[address] = await self.link.request(address, message, REQUEST_TIMEOUT)

        async with supervision.Group() as group:
            for address in addresses:
                group.create_task(request(address))
        return replies

    async def try_to_vote(self) -> None:
        """Wait out leases, then learn from a majority of the others; or start from the disks."""
        if self.witness.waits_out_leases():
            self.status_reason = "waiting out claims"
            return
        voter_set = self.proposer.voter_set
        others = tuple(voter for voter in voter_set.everyone() if voter != self.address)
        surveys = await self.request_each(others, replica_set.WitnessStateRequest(self.address))
        voting = {address: survey for address, survey in surveys.items() if survey.voting}
        for survey in voting.values():
            self.proposer.learn(survey.voter_set)
        if self.proposer.voter_set.number > voter_set.number:
            return
        ballots = tuple(ballot for survey in voting.values() for ballot in survey.ballots)
        if witness_state.has_sources_to_learn(voter_set, self.address, voting):
            await self.witness.learn(self.proposer.voter_set, ballots)
            LOG.info("voter {} learnt its registers from voters {}", self.address, sorted(voting))
            return
        reason = reason_to_stay_blank(voter_set, self.address, surveys)
        if reason:
            self.status_reason = reason
            return
        await self.start_from_disks(voter_set, others, ballots)

    async def start_from_disks(
        self, voter_set: replica_set.VoterSet, others: tuple[str, ...], ballots: tuple[replica_set.Ballot, ...]
    ) -> None:
        """Install what disks report at all other voters, then here."""
        recovered = await self.recover_from_disks(ballots)
        if recovered is None or self.proposer.voter_set.number != voter_set.number:
            return
        if voter_set.number == 0:
            number = voter_set_number(1, self.proposer.environment.randomness)
            voter_set = replica_set.VoterSet(number, voter_set.present, ())
        installed = await self.request_each(others, replica_set.InstallWitnessState(voter_set, recovered))
        if len(installed) == len(others):
            await self.witness.learn(voter_set, recovered)
            self.proposer.learn(voter_set)
            events.report(
                LOG,
                events.EventFields(events.Event.VOTERS_FROM_DISKS, epoch=voter_set.number, member=self.address),
                "voters start from what disks report: {} registers, voter set {}",
                len(recovered),
                voter_set,
            )

    def groups_without_record(self) -> tuple[int, ...]:
        """The groups of which this voter has accepted no replica set."""
        return tuple(group_id for group_id in range(self.group_count) if not self.witness.ballot(group_id).value)

    async def bootstrap_groups(self) -> None:
        """Have the very first replica sets chosen, by ballots like any others: a record that is there already stays.

        The first voter begins; another one goes ahead a while later, should the first be gone.
        """
        since, names = self.observe_disks()
        turn = tuple(sorted(self.proposer.voter_set.everyone())).index(self.address)
        lacking = self.kind_lacking_disks()
        if lacking or clock.now() - since < STABLE_BEFORE_BOOTSTRAP + turn * REQUEST_TIMEOUT:
            self.status_reason = f"waiting for nodes with disks: {names} {lacking}"
            return
        reports = await self.request_each(names, replica_set.ReplicaReportRequest())
        known = newest_records(reports, ())
        if not has_enough_disks(reports, self.replica_count):
            self.status_reason = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return
        for ballot in first_ballots(reports, self.group_count, self.replica_count):
            if ballot.register not in self.groups_without_record():
                continue
            if ballot.register in known:
                self.status_reason = f"disks know holders of {ballot.register} that witnesses do not know"
                continue
            await self.bootstrap_group(ballot)

    async def bootstrap_group(self, ballot: replica_set.Ballot) -> None:
        """Have a group's first replica set chosen, and announce what was chosen to its primary."""

        def first_unless_recorded(value: bytes) -> bytes:
            return value or ballot.value

        try:
            chosen = await self.proposer.change(ballot.register, self.address, first_unless_recorded)
        except result.RequestError as refusal:
            self.status_reason = f"founding {ballot.register}: {refusal}"
            return
        record = codec.untagged(chosen.value)
        await self.request_each((record.primary.address,), replica_set.ReplicaSetNotice(record))

    async def recover_from_disks(
        self, ballots: tuple[replica_set.Ballot, ...]
    ) -> tuple[replica_set.Ballot, ...] | None:
        """First ballots of the registers from what disks report; none while too few answered."""
        since, names = self.observe_disks()
        waited = clock.now() - since
        lacking = self.kind_lacking_disks()
        if lacking or waited < STABLE_BEFORE_RECOVERY:
            self.status_reason = f"waiting for nodes with disks: {names} {lacking}"
            return None
        reports = await self.request_each(names, replica_set.ReplicaReportRequest())
        if len(reports) < len(names):
            self.status_reason = f"disks that do not answer: {sorted(set(names) - set(reports))}"
            return None
        for report in reports.values():
            self.proposer.learn(report.known.voter_set)
        recovery = recover_ballots(reports, ballots, self.group_count, self.replica_count, waited)
        if recovery.ballots is None:
            self.status_reason = recovery.reason
        return recovery.ballots


def reason_to_stay_blank(
    voter_set: replica_set.VoterSet,
    address: str,
    surveys: collections.abc.Mapping[str, replica_set.WitnessStateReply],
) -> str:
    """Why a blank voter that cannot learn from others may not start from the disks either; nothing if it may."""
    others = {voter for voter in voter_set.everyone() if voter != address}
    voting = {voter for voter, survey in surveys.items() if survey.voting}
    if witness_state.has_voting_majority(voter_set, address, voting):
        return "blank; witnesses that vote have not heard of this voter set"
    if len(surveys) < len(others):
        return f"blank; witnesses that do not answer: {sorted(others - set(surveys))}"
    if address != min(voter for voter in voter_set.everyone() if voter not in voting):
        return "blank; another seat starts from the disks"
    return ""


def recover_ballots(
    reports: DiskReports,
    ballots: tuple[replica_set.Ballot, ...],
    group_count: int,
    replica_count: int,
    waited: datetime.timedelta,
) -> Recovery:
    """First ballots of all registers from the reports of all live disks and the ballots of voters that still vote.

    ``waited`` is how long the live disks have been the same. Where no disk has a record the cluster is new, unless
    a disk was lost.
    """
    records = newest_records(reports, ballots)
    if not records:
        lost = sorted(name for name, report in reports.items() if not report.first_start)
        if lost:
            return Recovery(None, f"no record of any group, and these disks were lost: {lost}")
        return Recovery(first_ballots(reports, group_count, replica_count))
    known = {address for report in reports.values() for address in report.known.disks}
    recovered = []
    for group_id in range(group_count):
        record = records.get(group_id)
        if record is None:
            return Recovery(None, f"no record of pair {group_id} on any disk")
        present = present_members(record, reports)
        missing = [member.address for member in record.members() if member not in present]
        if missing and (not present or waited < WAIT_FOR_KNOWN_DISKS or not known <= set(reports)):
            return Recovery(None, f"pair {group_id} waits for {sorted({*missing, *(known - set(reports))})}")
        recovered.append(replica_set.Ballot(group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(record)))
    recovered.extend(ballot for ballot in ballots if ballot.register == replica_set.VOTER_SET)
    return Recovery(tuple(recovered))


def has_enough_disks(reports: DiskReports, replica_count: int) -> bool:
    """Whether enough disks answered for a replica set of each kind of group."""
    return all(
        sum(
            any(replica_set.group_kind(replica.group_id) == kind for replica in report.copies)
            for report in reports.values()
        )
        >= replica_count
        for kind in GROUP_KINDS
    )


def voter_set_number(counter: int, randomness: random.Random) -> int:
    """A voter set's number: it grows with the counter, and no other proposer uses it."""
    return counter * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def newest_records(reports: DiskReports, ballots: tuple[replica_set.Ballot, ...]) -> dict[int, replica_set.ReplicaSet]:
    """The newest replica set of each group, from disks and from voters that still vote."""
    newest: dict[int, replica_set.ReplicaSet] = {}
    records = [replica.record for report in reports.values() for replica in report.copies]
    records.extend(
        codec.untagged(ballot.value) for ballot in ballots if ballot.value and ballot.register != replica_set.VOTER_SET
    )
    for record in records:
        if record is not None and (record.group_id not in newest or newest[record.group_id].epoch < record.epoch):
            newest[record.group_id] = record
    return newest


def present_members(record: replica_set.ReplicaSet, reports: DiskReports) -> list[replica_set.ReplicaId]:
    """The members of a record whose disks answered, known by their identity."""
    return [
        member
        for member in record.members()
        if member.address in reports
        and any(
            replica.group_id == record.group_id and replica.identity == member.identity
            for replica in reports[member.address].copies
        )
    ]


def first_ballots(reports: DiskReports, group_count: int, replica_count: int) -> tuple[replica_set.Ballot, ...]:
    """The very first replica sets: spread evenly over the disks, each over as many areas as there are."""
    records: list[replica_set.ReplicaSet] = []
    for group_id in range(group_count):
        identities = {
            name: replica.identity
            for name, report in reports.items()
            for replica in report.copies
            if replica.group_id == group_id
        }
        candidates = [replica_placement.Candidate(name, reports[name].area) for name in sorted(identities)]
        chosen = replica_placement.choose_first_members(group_id, candidates, replica_count, records)
        members = [replica_set.ReplicaId(member.address, identities[member.address]) for member in chosen]
        records.append(replica_set.ReplicaSet(group_id, 1, members[0], tuple(members[1:])))
    return tuple(
        replica_set.Ballot(record.group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(record)) for record in records
    )
