"""Bootstrap of a blank voter (witness): from other voters, from the replicas' disks, or at the very first start."""

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
"""Time limit for another node's reply; also the additional wait of each next voter before it bootstraps groups."""
STABLE_BEFORE_RECOVERY = clock.seconds(1.5)
"""How long the set of live disks must be unchanged before registers are recovered from them."""
STABLE_BEFORE_BOOTSTRAP = clock.seconds(1)
"""How long the set of live disks must be unchanged before the very first replica sets are proposed."""
WAIT_FOR_KNOWN_DISKS = clock.seconds(5)
"""How long a recovery waits for all known disks before it continues without some members of a group."""
FIRST_BALLOT = 1
COUNTER_UNIT = 1 << 32
"""Factor of the counter in a voter set number; the low bits are random, so that no number is used twice."""
GROUP_KINDS = (replica_set.CONTROL, replica_set.SESSION)

DiskReports = collections.abc.Mapping[str, replica_set.ReplicaReports]
"""The replica reports of disks, by node address."""


class StableDisks(typing.NamedTuple):
    """The live disks, and the time since which the set is unchanged."""

    since: datetime.timedelta
    names: tuple[str, ...]


class Recovery(typing.NamedTuple):
    """The first ballots of all registers, or None and the reason."""

    ballots: tuple[replica_set.Ballot, ...] | None
    reason: str = ""


class WitnessBootstrap:
    """Gets this node's voter to vote; with ``bootstraps_groups`` voters also propose the very first replica sets."""

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
        """Try to start voting whenever this node is in the voter set and blank."""
        while True:
            if self.witness.voting:
                self.status_reason = "voting"
                self.proposer.learn(self.witness.voter_set)
                if self.proposer.voter_set.number == self.witness.voter_set.number:
                    await self.witness.remember(replica_set.RememberedCluster(self.witness.voter_set, self.disks()))
                if self.bootstraps_groups and self.groups_without_record():
                    await self.bootstrap_groups()
            elif self.address in self.proposer.voter_set.all_voters():
                try:
                    await self.try_to_vote()
                except result.RequestError as error:
                    self.status_reason = str(error)
                self.log_blank()
            else:
                self.status_reason = "not in the voter set"
            await clock.sleep(CHECK_INTERVAL)

    def log_blank(self) -> None:
        """Log why this voter does not vote yet, once per reason."""
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
        """Return the live nodes whose disks may hold replicas."""
        return tuple(sorted({candidate.address for kind in GROUP_KINDS for candidate in self.candidates(kind)}))

    def kind_lacking_disks(self) -> str:
        """Return the first kind of groups for which too few disks are known; empty if there are enough."""
        return next((kind for kind in GROUP_KINDS if len(self.candidates(kind)) < self.replica_count), "")

    def observe_disks(self) -> StableDisks:
        """Return the live disks, and the time since which the set is unchanged."""
        names = self.disks()
        if names != self.stable_disks.names:
            self.stable_disks = StableDisks(clock.now(), names)
        return self.stable_disks

    async def request_each(self, addresses: tuple[str, ...], message: object) -> dict[str, typing.Any]:
        """Send a message to several nodes concurrently and return the replies by address."""
        replies: dict[str, typing.Any] = {}

        async def request(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                replies[address] = await self.link.request(address, message, REQUEST_TIMEOUT)

        async with supervision.Group() as group:
            for address in addresses:
                group.create_task(request(address))
        return replies

    async def try_to_vote(self) -> None:
        """Wait until leases have expired, then learn from a majority of the others, or else start from the disks."""
        if self.witness.may_have_earlier_leases():
            self.status_reason = "waiting for earlier leases to expire"
            return
        voter_set = self.proposer.voter_set
        others = tuple(voter for voter in voter_set.all_voters() if voter != self.address)
        states = await self.request_each(others, replica_set.WitnessStateRequest(self.address))
        voting = {address: state for address, state in states.items() if state.voting}
        for state in voting.values():
            self.proposer.learn(state.voter_set)
        if self.proposer.voter_set.number > voter_set.number:
            return
        ballots = tuple(ballot for state in voting.values() for ballot in state.ballots)
        if witness_state.has_sources_to_learn(voter_set, self.address, voting):
            await self.witness.learn(self.proposer.voter_set, ballots)
            LOG.info("voter {} learned its registers from voters {}", self.address, sorted(voting))
            return
        reason = reason_to_stay_blank(voter_set, self.address, states)
        if reason:
            self.status_reason = reason
            return
        await self.start_from_disks(voter_set, others, ballots)

    async def start_from_disks(
        self, voter_set: replica_set.VoterSet, others: tuple[str, ...], ballots: tuple[replica_set.Ballot, ...]
    ) -> None:
        """Install the state recovered from the disks at all other voters, then here."""
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
                "voters start from the state recovered from disks: {} registers, voter set {}",
                len(recovered),
                voter_set,
            )

    def groups_without_record(self) -> tuple[int, ...]:
        """Return the groups for which this voter has not accepted any replica set."""
        return tuple(group_id for group_id in range(self.group_count) if not self.witness.ballot(group_id).value)

    async def bootstrap_groups(self) -> None:
        """Propose the very first replica sets in ordinary ballots, which keep a record that exists already.

        The first voter begins; each next one starts a little later, in case the voters before it are down.
        """
        since, names = self.observe_disks()
        rank = tuple(sorted(self.proposer.voter_set.all_voters())).index(self.address)
        lacking_kind = self.kind_lacking_disks()
        if lacking_kind or clock.now() - since < STABLE_BEFORE_BOOTSTRAP + rank * REQUEST_TIMEOUT:
            self.status_reason = f"waiting for nodes with disks: {names} {lacking_kind}"
            return
        reports = await self.request_each(names, replica_set.ReplicaReportRequest())
        known = newest_records(reports, ())
        if not has_enough_disks(reports, self.replica_count):
            self.status_reason = f"no reply from disks: {sorted(set(names) - set(reports))}"
            return
        for ballot in first_ballots(reports, self.group_count, self.replica_count):
            if ballot.register not in self.groups_without_record():
                continue
            if ballot.register in known:
                self.status_reason = f"disks hold a record of group {ballot.register} that the voters do not know"
                continue
            await self.bootstrap_group(ballot)

    async def bootstrap_group(self, ballot: replica_set.Ballot) -> None:
        """Propose a group's first replica set, and announce the chosen one to its primary."""

        def existing_or_first(value: bytes) -> bytes:
            return value or ballot.value

        try:
            chosen = await self.proposer.change(ballot.register, self.address, existing_or_first)
        except result.RequestError as error:
            self.status_reason = f"first replica set of group {ballot.register} not chosen: {error}"
            return
        record = codec.untagged(chosen.value)
        await self.request_each((record.primary.address,), replica_set.ReplicaSetNotice(record))

    async def recover_from_disks(
        self, ballots: tuple[replica_set.Ballot, ...]
    ) -> tuple[replica_set.Ballot, ...] | None:
        """Return first ballots of the registers from the disks' reports; None while too few disks replied."""
        since, names = self.observe_disks()
        waited = clock.now() - since
        lacking_kind = self.kind_lacking_disks()
        if lacking_kind or waited < STABLE_BEFORE_RECOVERY:
            self.status_reason = f"waiting for nodes with disks: {names} {lacking_kind}"
            return None
        reports = await self.request_each(names, replica_set.ReplicaReportRequest())
        if len(reports) < len(names):
            self.status_reason = f"no reply from disks: {sorted(set(names) - set(reports))}"
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
    states: collections.abc.Mapping[str, replica_set.WitnessStateReply],
) -> str:
    """Return why a blank voter that cannot learn from others may not start from the disks either; empty if it may."""
    others = {voter for voter in voter_set.all_voters() if voter != address}
    voting = {voter for voter, state in states.items() if state.voting}
    if witness_state.has_voting_majority(voter_set, address, voting):
        return "blank; the voting witnesses do not know this voter set yet"
    if len(states) < len(others):
        return f"blank; no reply from witnesses: {sorted(others - set(states))}"
    if address != min(voter for voter in voter_set.all_voters() if voter not in voting):
        return "blank; another voter starts from the disks"
    return ""


def recover_ballots(
    reports: DiskReports,
    ballots: tuple[replica_set.Ballot, ...],
    group_count: int,
    replica_count: int,
    waited: datetime.timedelta,
) -> Recovery:
    """Return first ballots of all registers from the reports of all live disks and the ballots of voting witnesses.

    ``waited`` is how long the set of live disks has been unchanged. If no disk has a record, the cluster is new unless
    a disk was lost.
    """
    records = newest_records(reports, ballots)
    if not records:
        lost = sorted(name for name, report in reports.items() if not report.first_start)
        if lost:
            return Recovery(None, f"no disk has a record of any group, and these disks were lost: {lost}")
        return Recovery(first_ballots(reports, group_count, replica_count))
    known = {address for report in reports.values() for address in report.known.disks}
    recovered = []
    for group_id in range(group_count):
        record = records.get(group_id)
        if record is None:
            return Recovery(None, f"no disk has a record of group {group_id}")
        present = present_members(record, reports)
        missing = [member.address for member in record.members() if member not in present]
        if missing and (not present or waited < WAIT_FOR_KNOWN_DISKS or not known <= set(reports)):
            return Recovery(None, f"group {group_id} waits for {sorted({*missing, *(known - set(reports))})}")
        recovered.append(replica_set.Ballot(group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(record)))
    recovered.extend(ballot for ballot in ballots if ballot.register == replica_set.VOTER_SET)
    return Recovery(tuple(recovered))


def has_enough_disks(reports: DiskReports, replica_count: int) -> bool:
    """Return whether enough disks replied to form a replica set of each kind of group."""
    return all(
        sum(
            any(replica_set.group_kind(replica.group_id) == kind for replica in report.replicas)
            for report in reports.values()
        )
        >= replica_count
        for kind in GROUP_KINDS
    )


def voter_set_number(counter: int, randomness: random.Random) -> int:
    """Return a voter set number that grows with the counter and that no other proposer uses."""
    return counter * COUNTER_UNIT + randomness.randrange(COUNTER_UNIT)


def newest_records(reports: DiskReports, ballots: tuple[replica_set.Ballot, ...]) -> dict[int, replica_set.ReplicaSet]:
    """Return the newest replica set of each group, from disks and from voting witnesses."""
    newest: dict[int, replica_set.ReplicaSet] = {}
    records = [replica.record for report in reports.values() for replica in report.replicas]
    records.extend(
        codec.untagged(ballot.value) for ballot in ballots if ballot.value and ballot.register != replica_set.VOTER_SET
    )
    for record in records:
        if record is not None and (record.group_id not in newest or newest[record.group_id].epoch < record.epoch):
            newest[record.group_id] = record
    return newest


def present_members(record: replica_set.ReplicaSet, reports: DiskReports) -> list[replica_set.ReplicaId]:
    """Return the members of a record that are on disks that replied, matched by identity."""
    return [
        member
        for member in record.members()
        if member.address in reports
        and any(
            replica.group_id == record.group_id and replica.identity == member.identity
            for replica in reports[member.address].replicas
        )
    ]


def first_ballots(reports: DiskReports, group_count: int, replica_count: int) -> tuple[replica_set.Ballot, ...]:
    """Return the very first replica sets: balanced over the disks, each in as many areas as possible."""
    records: list[replica_set.ReplicaSet] = []
    for group_id in range(group_count):
        identities = {
            name: replica.identity
            for name, report in reports.items()
            for replica in report.replicas
            if replica.group_id == group_id
        }
        candidates = [replica_placement.Candidate(name, reports[name].area) for name in sorted(identities)]
        chosen = replica_placement.choose_first_members(group_id, candidates, replica_count, records)
        members = [replica_set.ReplicaId(member.address, identities[member.address]) for member in chosen]
        records.append(replica_set.ReplicaSet(group_id, 1, members[0], tuple(members[1:])))
    return tuple(
        replica_set.Ballot(record.group_id, FIRST_BALLOT, FIRST_BALLOT, codec.tagged(record)) for record in records
    )
