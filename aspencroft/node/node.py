"""One node: link, ring, witness, copies of pairs and relay, the same in both programs."""

import asyncio
import collections
import collections.abc
import datetime
import functools
import json

import logbook

import aspencroft.replication.messages as replication_messages
import aspencroft.residency.messages as residency_messages
from aspencroft.alerts import sample
from aspencroft.configuration import control_state, operator_configuration
from aspencroft.consensus import (
    proposer,
    record_recovery,
    replica_placement,
    replica_set,
    witness,
    witness_bootstrap,
    witness_changes,
    witness_placement,
)
from aspencroft.distribution import relay, updates
from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member, failure_detector
from aspencroft.node import drain_order, memory_report, payload_limit, settings, timing_check
from aspencroft.replication import group_replica, group_state, replica
from aspencroft.runtime import clock, environment, supervision
from aspencroft.sessions import lane_sessions
from aspencroft.tracing import trace
from aspencroft.transport import codec, connections

LOG = logbook.Logger("node.node")
STEP = clock.seconds(0.25)
SAMPLE = clock.seconds(2)
GO = clock.seconds(1.2)
STANDS = clock.seconds(0.4)
AGAIN = clock.seconds(0.05)
SLICE = clock.seconds(0.1)
LOST = clock.seconds(1.5)
APPLY = clock.seconds(0.85)
APPLY_ITEM = clock.seconds(0.002)
LAST_LEG = clock.seconds(0.1)
MAJORITY_LOST = (
    "no majority of voters: leases run out within a second, then no group acknowledges anything and no primary, "
    "replica set or voter set changes, until {} more voters are back with their disks; "
    "all that was acknowledged is kept"
)


class Node:
    """What every process of the fleet is, whatever its program."""

    def __init__(self, place: settings.Settings, around: environment.Environment):
        self.settings = place
        self.environment = around
        self.address = place.address
        self.incarnation = int(around.wall().timestamp() * 1000)
        self.link = connections.Link(around, place.address, self)
        voter_set = replica_set.VoterSet(0, place.seeds, ())
        self.proposer = proposer.Proposer(around, self.link, voter_set)
        data = place.data
        me = cluster_member.ClusterMember(
            place.address,
            self.incarnation,
            0,
            cluster_member.LIVE,
            place.area,
            place.role,
            place.http,
            data is not None,
            place.seeds,
            place.name or place.address,
            place.held,
        )
        self.failure_detector = failure_detector.FailureDetector(around, self.link, me, place.seeds, self.proposer)
        self.witness = witness.Witness(
            around, data / "witness" if data else None, place.address, self.incarnation, voter_set
        )
        self.witness_bootstrap = witness_bootstrap.WitnessBootstrap(
            self.witness,
            self.link,
            self.proposer,
            place.address,
            place.group_count,
            place.copies,
            self.holders,
            place.witnesses == settings.CORE,
        )
        self.relay = relay.Relay(self.link, self.failure_detector, place.currency)
        self.record_recovery = record_recovery.RecordRecovery(
            self.witness,
            self.proposer,
            place.address,
            self.failure_detector.records,
            self.failure_detector.learn_record,
        )
        self.witness_changes = witness_changes.WitnessChanges(
            self.link, self.proposer, place.address, self.is_root, self.wished_seeds
        )
        self.group_replicas: dict[int, group_replica.GroupReplica] = {}
        if data is not None:
            for group_id in [one for one in range(place.group_count) if replica_set.sort_of(one) in place.held]:
                held = replica.Replica(
                    around,
                    data / f"pair-{group_id}",
                    group_id,
                    lane_sessions.Talk if group_id else control_state.ControlState,
                )
                around_it = group_state.GroupPolicy(
                    functools.partial(self.holders, replica_set.sort_of(group_id)),
                    self.is_drained,
                    self.failure_detector.learn_record,
                    self.gone,
                    place.copies,
                    functools.partial(self.goal, group_id),
                    self.records,
                    self.payload_limit,
                )
                self.group_replicas[group_id] = group_replica.GroupReplica(
                    held, self.link, self.proposer, place.address, place.area, around_it
                )
        self.memory = memory_report.MemoryReport(self.group_replicas, place.memory_limit)
        self.drain_orders = drain_order.DrainOrders(self)
        self.missed: dict[str, datetime.timedelta] = {}
        self.looked = clock.ZERO
        self.started = asyncio.Event()
        self.stopping = asyncio.Event()
        self.opened = False
        self.traces: trace.Traces | None = None
        self.singleton_roles: dict[str, singleton_role.SingletonRole] = {}
        self.sampled: list[collections.abc.Callable[[], list[sample.Sample]]] = [self.own_samples]
        self.outside: collections.Counter = collections.Counter()
        self.standing: collections.Counter = collections.Counter()
        self.unmet_bounds = self.check_times()

    def check_times(self) -> tuple[str, ...]:
        """The time bounds of the settings that this node's own times cannot meet; each is said in the log."""
        times = timing_check.times_in_force(
            self.settings.currency,
            self.settings.confirm,
            APPLY,
            max(self.settings.copies, timing_check.CONTROL_MEMBERS),
        )
        unmet = timing_check.violations(times, self.settings.bounds)
        for text in unmet:
            LOG.error("the time bounds of this deployment cannot be met: {}", text)
        return unmet

    # -- what is known of others -----------------------------------------------------------------

    def goal(self, group_id: int) -> int:
        """How many members a group is to have: one more than the losses to be borne.

        The control group has members on more than half of the core where the core has the witnesses,
        so that whichever part of
        it has a majority has a member too.
        """
        if group_id == 0 and self.settings.witnesses == settings.CORE:
            return max(self.settings.copies, len(self.proposer.voter_set.present) // 2 + 1)
        return self.settings.copies

    def holders(self, sort: str) -> tuple[replica_placement.Candidate, ...]:
        """Live nodes whose disks may hold groups of a sort."""
        return tuple(
            replica_placement.Candidate(one.address, one.area)
            for one in self.failure_detector.peers.values()
            if sort in one.holds and one.state == cluster_member.LIVE
        )

    def records(self) -> tuple[replica_set.ReplicaSet, ...]:
        """The newest records of replica sets that this node knows."""
        return tuple(self.failure_detector.records.values())

    def payload_limit(self) -> int:
        """How many bytes of history and kept answers a talk group may hold, by this machine's memory.

        Until this node has heard of all members it can't know how many disks share the groups.
        """
        if not self.drain_orders.members_known():
            return payload_limit.payload_limit(0, 1)
        place = self.settings
        disks = sum(replica_set.TALK in one.holds for one in self.failure_detector.peers.values())
        replicas = payload_limit.replicas_on_a_disk(place.talk_pairs, place.copies, disks, place.losses)
        return payload_limit.payload_limit(place.memory_limit, replicas)

    def incarnation_id(self) -> str:
        """This run of this node, as others may hear of its end."""
        return f"{self.address} {self.failure_detector.me.incarnation}"

    def gone(self, life: str) -> bool:
        """Whether a run of a node surely ended: another run is known, or watchers agree that it is down."""
        address, _, incarnation = life.rpartition(" ")
        known = self.failure_detector.peers.get(address)
        return known is not None and (known.state == cluster_member.DOWN or str(known.incarnation) != incarnation)

    def wished_seeds(self) -> tuple[str, ...]:
        """The witnesses wished for: by the plan, else by the settings of all live nodes if they agree."""
        wished = self.relay.configuration.seeds
        if not wished and self.settings.witnesses == settings.CORE:
            return self.wished_cores()
        if not wished:
            named = {one.seeds for one in self.failure_detector.peers.values() if one.state == cluster_member.LIVE}
            wished = named.pop() if len(named) == 1 else ()
        alive = all(self.failure_detector.state(address) == cluster_member.LIVE for address in wished)
        return wished if alive else ()

    def wished_cores(self) -> tuple[str, ...]:
        """The witnesses wished for where the core has them; one that has been gone for a while counts as lost."""
        now, present = clock.now(), self.proposer.voter_set.present
        gone = [address for address in present if self.failure_detector.state(address) != cluster_member.LIVE]
        if now - self.looked > LOST:
            self.missed = {}
        self.looked = now
        self.missed = {address: self.missed.get(address, now) for address in gone}
        lost = frozenset(address for address in gone if now - self.missed[address] >= LOST)
        cores = tuple(
            address
            for address in self.failure_detector.live()
            if self.failure_detector.state(address) == cluster_member.LIVE
            and self.failure_detector.peers[address].role == settings.CORE
        )
        return witness_placement.witnesses(present, cores, lost)

    def is_drained(self, address: str) -> bool:
        """Whether a node is to hold no copies: drained by an operator, or stopping."""
        return (
            address in self.relay.configuration.drained
            or self.failure_detector.state(address) == cluster_member.LEAVING
        )

    # -- messages --------------------------------------------------------------------------------

    async def answer(self, message):
        """Answer a message of another node."""
        match message:
            case cluster_member.Heartbeat():
                return await self.failure_detector.exchange.answer_heartbeat(message)
            case updates.Pull():
                return self.relay.answer_pull(message, self.is_root())
            case updates.FetchConfiguration():
                return self.relay.answer_fetch(message)
            case cluster_member.Join():
                return self.failure_detector.exchange.answer_join(message)
            case updates.Push():
                self.relay.hurry.set()
                return replica_set.Acknowledged()
            case cluster_member.ConfirmSuspicion():
                return await self.failure_detector.suspicion.answer_confirm_suspicion(message)
            case replication_messages.Append():
                return await self.group_replica(message.record.group_id).append(message)
            case replication_messages.Submit():
                return await self.answer_submit(message)
            case replica_set.LeaseRequest():
                return await self.witness.renew_lease(message)
            case replica_set.Prepare():
                return await self.witness.prepare(message)
            case replica_set.Accept():
                return await self.witness.accept(message)
            case replica_set.WitnessStateRequest():
                return self.witness.survey()
            case replica_set.InstallWitnessState():
                await self.witness.learn(message.voter_set, message.ballots)
                return replica_set.Acknowledged()
            case replica_set.VoterSetChosen():
                self.proposer.learn(message.voter_set)
                await self.witness.adopt(message.voter_set)
                return replica_set.Acknowledged()
            case replica_set.ReplicaReportRequest():
                return self.report()
            case replication_messages.FetchLog():
                return await self.group_replica(message.record.group_id).fetch(message)
            case replication_messages.Compare():
                return self.group_replica(message.group_id).compare(message)
            case replication_messages.Repair():
                return await self.group_replica(message.record.group_id).repair(message)
            case replication_messages.BeginRepair():
                return await self.group_replica(message.record.group_id).begin_repair(message)
            case replication_messages.SnapshotChunk():
                return self.group_replica(message.record.group_id).receive_snapshot_chunk(message)
            case replication_messages.InstallSnapshot():
                return await self.group_replica(message.record.group_id).install_snapshot(message)
            case replication_messages.ReplicaSetQuery():
                return self.group_replica(message.group_id).stands(message)
            case replication_messages.ReplicaSetNotice():
                return await self.group_replica(message.record.group_id).appoint(message)
            case updates.WriteEverywhere():
                return await self.write_here(message)
            case updates.ApplyEverywhere():
                return await self.apply_here(message)
            case updates.ReadEverywhere():
                return await self.group_replica(0).submit(control_state.ReadResources(message.after), GO)
            case trace.TraceRequest():
                told = self.traces.told(message.request) if self.traces is not None else ()
                if not told:
                    raise result.RequestError(result.ResultCode.UNKNOWN_REQUEST, result.Ran.UNKNOWN)
                return trace.Told(told)
            case trace.Trace():
                if self.traces is not None:
                    self.traces.keep(message)
                return replica_set.Acknowledged()
            case (
                residency_messages.Called()
                | residency_messages.Intended()
                | residency_messages.Wanted()
                | sample.Sampled()
            ):
                self.hear(message)
                return replica_set.Acknowledged()
            case updates.Publish():
                if not self.is_root():
                    raise result.RequestError(result.ResultCode.NOT_PRIMARY)
                self.relay.learn(message.news)
                return replica_set.Acknowledged()
        raise result.RequestError(result.ResultCode.FRAME_BROKEN, detail=type(message).__name__)

    def hear(self, message) -> None:
        """Give word from an edge to the duties that asked for its kind; what no queue has room for is lost."""
        for listening in self.singleton_roles.values():
            if not listening.words.full():
                listening.words.put_nowait(message)

    def group_replica(self, group_id: int) -> group_replica.GroupReplica:
        """This node's part in a pair; refused without a disk or before the disk was read."""
        found = self.group_replicas.get(group_id)
        if found is None or not self.opened:
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail="no copy is open here", retry=clock.seconds(1)
            )
        return found

    def report(self) -> replica_set.ReplicaReports:
        """The copies on this node's disk."""
        copies = tuple(
            replica_set.ReplicaReport(
                group_id,
                self.group_replica(group_id).replica.identity,
                self.group_replica(group_id).replica.record,
                self.group_replica(group_id).replica.last().sequence,
            )
            for group_id in self.group_replicas
        )
        return replica_set.ReplicaReports(
            self.settings.area,
            copies,
            replica_set.RememberedCluster(
                max(self.proposer.voter_set, self.witness.known.voter_set, key=lambda one: one.number),
                self.witness.known.disks,
            ),
            self.settings.first_start,
        )

    async def answer_submit(self, message: replication_messages.Submit) -> replication_messages.Submitted:
        """Have a command decided here, if this node is the group's primary."""
        held = self.group_replica(message.group_id)
        reply = await held.submit(codec.untagged(message.body), message.within)
        return replication_messages.Submitted(codec.tagged(reply), held.known)

    async def submit(self, group_id: int, command, within=2 * GO):
        """Have a command decided by a group's primary, wherever it is; commands bear being said twice."""
        end = clock.now() + within
        unknown = None
        while True:
            held = self.failure_detector.records.get(group_id)
            left = end - clock.now()
            try:
                if held is None:
                    raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail=f"pair {group_id} is not known yet")
                message = replication_messages.Submit(group_id, min(GO, left), codec.tagged(command))
                reply = await self.ask_primary(held, message, min(GO, left))
                return codec.untagged(reply.body)
            except result.RequestError as refusal:
                if refusal.ran is result.Ran.UNKNOWN and refusal.result is not result.ResultCode.INTERNAL:
                    unknown = refusal
                elif refusal.result not in (result.ResultCode.NOT_PRIMARY, result.ResultCode.NO_BACKUP):
                    raise
                if clock.now() + AGAIN >= end:
                    raise unknown or refusal from None
            await clock.sleep(AGAIN)

    async def ask_primary(self, held: replica_set.ReplicaSet, message, within: datetime.timedelta):
        """Ask a group's primary; refused as soon as another record names another one.

        Whose answer is then to be asked for.
        """
        asking = asyncio.ensure_future(self.link.request(held.primary.address, message, within))
        try:
            while not asking.done():
                await asyncio.wait((asking,), timeout=SLICE.total_seconds())
                known = self.failure_detector.records.get(held.group_id, held)
                if not asking.done() and known.primary != held.primary:
                    raise result.RequestError(result.ResultCode.NOT_PRIMARY, result.Ran.UNKNOWN, "the primary changed")
            return asking.result()
        finally:
            asking.cancel()

    # -- the plan --------------------------------------------------------------------------------

    def is_root(self) -> bool:
        """Whether this node is the root of the relay tree: the control group's primary under a claim."""
        return self.relay.root and 0 in self.group_replicas and self.group_replicas[0].has_lease()

    async def root(self) -> None:
        """While primary of the control group, feed the relay tree with what its members hold.

        A new primary is no root before it read what the ones before it acknowledged:
        nothing older is handed out as new.
        """
        while True:
            held = self.group_replicas[0]
            if not held.has_lease():
                self.relay.root = False
                await clock.sleep(STEP / 2)
                continue
            held.committed.clear()
            try:
                self.relay.take_committed(await held.submit(control_state.ReadResources(self.relay.revision), GO))
            except result.RequestError:
                await clock.sleep(STEP / 5)
            else:
                if not self.relay.root and held.has_lease():
                    self.relay.become_root()
            if self.is_root():
                self.relay.root_heard = clock.now()
                self.relay.currency_end = max(self.relay.currency_end, held.lease_end)
            try:
                async with clock.limit(STEP):
                    await held.committed.wait()
            except TimeoutError:
                pass

    async def write_here(self, message: updates.WriteEverywhere) -> updates.Written:
        """As root: store an operator's write, then wait until it is in force everywhere, or as long as settings say."""
        started = clock.now()
        held = self.group_replica(0)
        if held.has_lease():
            await held.replica.state_machine.look_ahead(message.write)
        written = await held.submit(message.write, message.within)
        confirm = self.settings.confirm
        try:
            async with clock.limit(message.within + 2 * self.settings.currency if confirm is None else confirm):
                await self.relay.everywhere(written.revision)
        except TimeoutError:
            if confirm is None:
                raise result.RequestError(
                    result.ResultCode.OUTCOME_UNKNOWN,
                    result.Ran.UNKNOWN,
                    "stored, but not known to be in force everywhere",
                ) from None
        if not self.is_root():
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the primary changed")
        return updates.Written(written.revision, written.changed, clock.now() - started)

    async def write_resources(self, write: control_state.WriteResources) -> updates.Written:
        """Send an operator's write on to the root, wherever it is."""
        end = clock.now() + clock.seconds(8)
        message = updates.WriteEverywhere(write, 2 * GO)
        while True:
            held = self.failure_detector.records.get(0)
            try:
                if held is None:
                    raise result.RequestError(
                        result.ResultCode.NOT_PRIMARY,
                        detail="the control pair is not known yet",
                        retry=clock.seconds(1),
                    )
                return await self.link.request(held.primary.address, message, 2 * GO + 3 * self.settings.currency)
            except result.RequestError as refusal:
                retried = refusal.result in (result.ResultCode.NOT_PRIMARY, result.ResultCode.NO_BACKUP)
                if not retried or clock.now() > end:
                    raise
            await clock.sleep(AGAIN)

    async def apply_here(self, message: updates.ApplyEverywhere) -> updates.Written:
        """As root: take an operator's configuration, then wait until nodes confirmed it, or as long as settings say.

        Once it is durable nothing takes it back: an order that was taken before is answered as done.
        """
        started = clock.now()
        applied = await self.group_replica(0).submit(message.command, message.within)
        confirm, left = self.settings.confirm, started + message.within - LAST_LEG - clock.now()
        try:
            async with clock.limit(left if confirm is None else min(confirm, left)):
                await self.relay.everywhere(control_state.revision_of(applied.revision))
        except TimeoutError:
            if confirm is None:
                raise result.RequestError(
                    result.ResultCode.OUTCOME_UNKNOWN,
                    result.Ran.UNKNOWN,
                    "stored, but not known to be in force everywhere",
                ) from None
        return updates.Written(control_state.revision_of(applied.revision), applied.changed, clock.now() - started)

    async def apply(
        self, command: operator_configuration.ApplyConfiguration, within: datetime.timedelta = APPLY
    ) -> updates.Written:
        """Have an operator's configuration taken, wherever the control group's primary is; durable once answered.

        Asks again for as long as ``within`` (more where there are many items); then a Refusal says whether it may
        have been taken. It bears being said twice, here and by the operator: the same order is known again.
        """
        span = within + APPLY_ITEM * len(command.upserts)
        return await self.ask_root(lambda left: updates.ApplyEverywhere(command, left), span)

    async def ask_root(self, message_of: collections.abc.Callable[[datetime.timedelta], object], within):
        """Ask the control group's primary, whichever node that is, again until it answers; refused after ``within``.

        The message is made of the time that is left, and has to bear being said twice. The last refusal says whether
        anything may have been done.
        """
        end, unknown = clock.now() + within, None
        while True:
            held, left = self.failure_detector.records.get(0), end - clock.now()
            try:
                if held is None:
                    raise result.RequestError(
                        result.ResultCode.NOT_PRIMARY, detail="the control group is not known yet"
                    )
                async with clock.limit(left):
                    return await self.ask_primary(held, message_of(left), left)
            except TimeoutError:
                raise result.RequestError(
                    result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "no answer in time"
                ) from None
            except result.RequestError as refusal:
                if refusal.ran is result.Ran.UNKNOWN:
                    unknown = refusal
                elif refusal.result not in (
                    result.ResultCode.NOT_PRIMARY,
                    result.ResultCode.NO_BACKUP,
                    result.ResultCode.UNREACHABLE,
                ):
                    raise
                if clock.now() + AGAIN >= end:
                    raise unknown or refusal from None
            await clock.sleep(AGAIN)

    async def read_configuration(self, within: datetime.timedelta = APPLY) -> operator_configuration.ConfigurationRead:
        """The operator's newest configuration, read at the control group's primary under its claim."""
        return await self.submit(0, operator_configuration.ReadConfiguration(), within)

    # -- draining a machine ----------------------------------------------------------------------

    async def stands(self, group_id: int, address: str) -> bool:
        """Whether a group's primary says that the group is whole without a node, and stays so.

        False while it does not say.
        """
        held = self.failure_detector.records.get(group_id)
        if held is None:
            return False
        try:
            reply = await self.link.request(
                held.primary.address, replication_messages.ReplicaSetQuery(group_id, address), STANDS
            )
        except result.RequestError:
            return False
        members = reply.record.members()
        return reply.drained and len(members) >= self.settings.copies and all(one.address != address for one in members)

    # -- life ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Be a node until stopped."""
        ready = asyncio.Event()
        self.drain_orders.began = clock.now()
        async with supervision.Group() as group:
            group.create_task(self.link.run(ready))
            await ready.wait()
            await self.witness.start(self.settings.witnesses == settings.CORE and self.settings.first_start)
            self.proposer.learn(self.witness.known.voter_set)
            for held in self.group_replicas.values():
                await held.replica.open()
            self.opened = True
            works = {
                "samples": self.tell_samples,
                "ring": self.failure_detector.run,
                "seat": self.witness_bootstrap.run,
                "relay": self.relay.run,
                "holdings": self.share_records,
                "records": self.record_recovery.run,
                "memory": self.memory.run,
            }
            works.update({f"pair {group_id}": held.run for group_id, held in self.group_replicas.items()})
            works.update(
                {f"pictures {group_id}": held.replica.write_snapshots for group_id, held in self.group_replicas.items()}
            )
            if 0 in self.group_replicas:
                works.update({"root": self.root, "reseat": self.witness_changes.run})
            for name, work in works.items():
                group.create_task(supervision.stand(name, work, self.standing))
            self.started.set()

    async def share_records(self) -> None:
        """Let this node's copies hear of newer replica set."""
        while True:
            for group_id, held in self.failure_detector.records.items():
                if group_id in self.group_replicas:
                    self.group_replicas[group_id].learn(held)
            if self.witness.voting:
                for ballot in list(self.witness.ballots.values()):
                    if (
                        ballot.value
                        and ballot.register not in self.failure_detector.records
                        and ballot.register != replica_set.VOTER_SET
                    ):
                        self.failure_detector.learn_record(codec.untagged(ballot.value))
            try:
                async with clock.limit(STEP):
                    await self.failure_detector.changed.wait()
            except TimeoutError:
                pass
            self.failure_detector.changed.clear()

    def own_samples(self) -> list[sample.Sample]:
        """What any node says of itself in numbers."""
        found = [
            sample.sample("aspencroft_plan_current", self.relay.current()),
            sample.sample("aspencroft_plan_number", self.relay.revision.number),
            sample.sample("aspencroft_leaving", self.stopping.is_set()),
            sample.sample(
                "aspencroft_fellows_live",
                sum(one.state == cluster_member.LIVE for one in self.failure_detector.peers.values()),
            ),
            sample.sample("aspencroft_faults_outside", sum(self.outside.values())),
            sample.sample("aspencroft_faults_standing", sum(self.standing.values())),
        ]
        for group_id, held in self.group_replicas.items():
            found.append(
                sample.sample(
                    "aspencroft_pair_serving", held.has_lease() and held.status_reason == "serving", pair=str(group_id)
                )
            )
            found.append(sample.sample("aspencroft_pair_entries", held.replica.last().sequence, pair=str(group_id)))
        return [*found, *self.memory.samples()]

    def samples(self) -> tuple[sample.Sample, ...]:
        """All samples of this node, each with the labels node, area and role."""
        own = {"node": self.address, "area": self.settings.area, "role": self.settings.role}
        return tuple(
            sample.sample(one.name, one.value, **own, **{label.name: label.value for label in one.labels})
            for source in self.sampled
            for one in source()
        )

    async def tell_samples(self) -> None:
        """Tell the holder of the alerts duty this node's samples, while the plan holds rules."""
        while True:
            await clock.sleep(SAMPLE)
            known = self.relay.topics.get("alerts")
            holder = json.loads(known.body).get("holder") if known is not None else None
            if holder and self.relay.configuration.rules:
                if holder == self.address:
                    self.hear(sample.Sampled(self.address, self.samples()))
                else:
                    self.link.notify(holder, sample.Sampled(self.address, self.samples()))

    def control(self, name: str, otherwise):
        """What firing alert rules ask for, as far as it is known here."""
        known = self.relay.topics.get("alerts")
        return json.loads(known.body).get(name, otherwise) if known is not None else otherwise

    def quorum_status(self) -> dict:
        """Which voters are live as far as this node knows, how many more may be lost.

        And what the loss of a majority does.
        """
        voter_set = self.proposer.voter_set
        live = [one for one in voter_set.everyone() if self.failure_detector.state(one) == cluster_member.LIVE]
        left = voter_set.losses_left(live)
        return {
            "live": live,
            "missing": sorted(set(voter_set.everyone()) - set(live)),
            "losses_left": left,
            "means": MAJORITY_LOST.format(-left) if left < 0 else "",
        }

    def status(self) -> dict:
        """What an operator should see of this node."""
        return {
            "address": self.address,
            "area": self.settings.area,
            "role": self.settings.role,
            "incarnation": self.incarnation,
            "leaving": self.stopping.is_set(),
            "unmet_bounds": list(self.unmet_bounds),
            "plan": {
                "revision": self.relay.revision.text(),
                "current": self.relay.current(),
                "root": self.relay.root,
                "parent": self.relay.parent(),
                "children": sorted(self.relay.children),
            },
            "witness": {
                "voting": self.witness.voting,
                "why": self.witness_bootstrap.status_reason,
                "roster": list(self.proposer.voter_set.everyone()),
                "roster_number": self.proposer.voter_set.number,
            },
            "quorum": self.quorum_status(),
            "fellows": [
                {
                    "address": one.address,
                    "state": cluster_member.STATES[one.state],
                    "area": one.area,
                    "role": one.role,
                    "http": one.http,
                    "disk": one.disk,
                }
                for one in self.failure_detector.table().members
            ],
            "holders": {
                str(group_id): {
                    "epoch": held.epoch,
                    "primary": held.primary.address,
                    "backups": [one.address for one in held.backups],
                }
                for group_id, held in sorted(self.failure_detector.records.items())
            },
            "pairs": {
                str(group_id): {
                    "why": held.status_reason,
                    "claimed": held.has_lease(),
                    "sequence": held.replica.last().sequence,
                    "disk": held.replica.condition.value,
                    **held.counts,
                }
                for group_id, held in self.group_replicas.items()
            },
            "duties": {name: {"held": one.held(), "epoch": one.epoch} for name, one in self.singleton_roles.items()},
            "faults": {"outside": dict(self.outside), "standing tasks": dict(self.standing)},
            "counts": {
                "link": dict(self.link.counts),
                "ring": self.failure_detector.counts,
                "relay": self.relay.counts,
            },
        }
