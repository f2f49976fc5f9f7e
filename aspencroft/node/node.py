"""One node: connections, membership, voter, replicas of groups and configuration, the same in both programs."""

import asyncio
import collections
import collections.abc
import datetime
import functools
import json
import pathlib
import typing

import logbook

from aspencroft.configuration import control_state, operator_configuration
from aspencroft.consensus import (
    proposer,
    record_recovery,
    replica_placement,
    replica_set,
    witness,
    witness_bootstrap,
    witness_changes,
)
from aspencroft.distribution import relay, updates
from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member, failure_detector
from aspencroft.node import (
    configuration_service,
    disk_arrival,
    drain_order,
    group_client,
    memory_report,
    message_handlers,
    payload_limit,
    payload_reservations,
    settings,
    status,
    timing_check,
    voter_selection,
)
from aspencroft.replication import group_replica, group_state, replica
from aspencroft.runtime import clock, environment, events, node_log, supervision
from aspencroft.sessions import lane_sessions
from aspencroft.tracing import sample, trace
from aspencroft.transport import codec, connections

LOG = logbook.Logger("node.node")
RECORD_SHARING_PERIOD = clock.seconds(0.25)
"""How long replicas wait for newer replica sets at most where the failure detector tells of no change."""


class Node:
    """What every process of the cluster is, whatever its program: it wires the parts, starts and runs them."""

    def __init__(self, node_settings: settings.Settings, node_environment: environment.Environment):
        self.settings = node_settings
        self.environment = node_environment
        self.address = node_settings.address
        self.incarnation = int(node_environment.wall().timestamp() * 1000)
        self.link = connections.Link(node_environment, self.address, self)
        voter_set = replica_set.VoterSet(0, node_settings.seeds, ())
        self.proposer = proposer.Proposer(node_environment, self.link, voter_set)
        self.failure_detector = failure_detector.FailureDetector(
            node_environment, self.link, self.member_of_this_node(), node_settings.seeds, self.proposer
        )
        data = node_settings.data
        self.witness = witness.Witness(
            node_environment,
            data / disk_arrival.FIRST_STORE if data else None,
            self.address,
            self.incarnation,
            voter_set,
        )
        self.witness_bootstrap = witness_bootstrap.WitnessBootstrap(
            self.witness,
            self.link,
            self.proposer,
            self.address,
            node_settings.group_count,
            node_settings.copies,
            self.replica_candidates,
            node_settings.witnesses == settings.CORE,
        )
        self.relay = relay.Relay(self.link, self.failure_detector, node_settings.currency)
        self.record_recovery = record_recovery.RecordRecovery(
            self.witness,
            self.proposer,
            self.address,
            self.failure_detector.records,
            self.failure_detector.learn_record,
        )
        self.voter_selection = voter_selection.VoterSelection(
            node_settings, self.failure_detector, self.proposer, self.relay
        )
        self.witness_changes = witness_changes.WitnessChanges(
            self.link, self.proposer, self.address, self.is_root, self.voter_selection.preferred_voters
        )
        self.group_client = group_client.GroupClient(self.link, self.failure_detector)
        self.group_replicas: dict[int, group_replica.GroupReplica] = {}
        self.payload = payload_reservations.PayloadReservations(
            self.link, self.failure_detector, self.group_replicas, self.payload_plan
        )
        if data is not None:
            for group_id in range(node_settings.group_count):
                if replica_set.group_kind(group_id) in node_settings.held:
                    self.group_replicas[group_id] = self.new_group_replica(group_id, data / f"pair-{group_id}")
        self.memory = memory_report.MemoryReport(
            self.group_replicas, node_settings.memory_limit, payload_limit=self.payload.limit_of
        )
        self.drain_orders = drain_order.DrainOrders(self)
        self.disk_arrival = disk_arrival.DiskArrival(self, self.drain_orders)
        self.started = asyncio.Event()
        self.stopping = asyncio.Event()
        self.replicas_are_open = False
        self.traces: trace.Traces | None = None
        self.log: node_log.NodeLog | None = None
        self.singleton_roles: dict[str, singleton_role.SingletonRole] = {}
        self.outside: collections.Counter = collections.Counter()
        self.standing: collections.Counter = collections.Counter()
        self.status_reporter = status.StatusReporter(self)
        self.sample_sources = self.status_reporter.sample_sources
        self.configuration_service = configuration_service.ConfigurationService(self)
        self.message_handlers = message_handlers.MessageHandlers(self, self.configuration_service)
        self.unmet_bounds = self.check_times()

    def member_of_this_node(self) -> cluster_member.ClusterMember:
        """This node as it joins the cluster."""
        return cluster_member.ClusterMember(
            self.address,
            self.incarnation,
            0,
            cluster_member.LIVE,
            self.settings.area,
            self.settings.role,
            self.settings.http,
            self.settings.data is not None,
            self.settings.seeds,
            self.settings.name or self.address,
            self.settings.held,
        )

    def new_group_replica(self, group_id: int, folder: pathlib.Path) -> group_replica.GroupReplica:
        """This node's replica of a group, not open yet."""
        policy = group_state.GroupPolicy(
            functools.partial(self.replica_candidates, replica_set.group_kind(group_id)),
            self.is_drained,
            self.failure_detector.learn_record,
            self.has_run_ended,
            self.settings.copies,
            functools.partial(self.target_replica_count, group_id),
            self.records,
            functools.partial(self.payload.limit_of, group_id),
        )
        state_type = lane_sessions.SessionState if group_id else control_state.ControlState
        return group_replica.GroupReplica(
            replica.Replica(self.environment, folder, group_id, state_type),
            self.link,
            self.proposer,
            self.address,
            self.settings.area,
            policy,
        )

    def check_times(self) -> tuple[str, ...]:
        """The time bounds of the settings that this node's own times cannot meet; each is said in the log."""
        times = timing_check.times_in_force(
            self.settings.currency,
            self.settings.confirm,
            configuration_service.APPLY_TIMEOUT,
            max(self.settings.copies, timing_check.CONTROL_MEMBERS),
        )
        unmet = timing_check.violations(times, self.settings.bounds)
        for text in unmet:
            LOG.error("the time bounds of this deployment cannot be met: {}", text)
        return unmet

    # -- membership and placement ----------------------------------------------------------------

    def target_replica_count(self, group_id: int) -> int:
        """How many members a group is to have: one more than the losses to be borne.

        The control group has members on more than half of the core where the core has the voters, so that whichever
        part of it has a majority has a member too.
        """
        if group_id == group_client.CONTROL_GROUP_ID and self.settings.witnesses == settings.CORE:
            return max(self.settings.copies, len(self.proposer.voter_set.present) // 2 + 1)
        return self.settings.copies

    def replica_candidates(self, sort: str) -> tuple[replica_placement.Candidate, ...]:
        """Live nodes whose disks may hold groups of a sort."""
        return tuple(
            replica_placement.Candidate(member.address, member.area)
            for member in self.failure_detector.peers.values()
            if sort in member.holds and member.state == cluster_member.LIVE
        )

    def records(self) -> tuple[replica_set.ReplicaSet, ...]:
        """The newest records of replica sets that this node knows."""
        return tuple(self.failure_detector.records.values())

    def payload_plan(self) -> payload_limit.PayloadPlan:
        """How this machine's memory for history and kept answers is divided among the session groups.

        Until this node has heard of all members it can't know how many disks share the groups. It then goes by the
        replicas that are on its own disk.
        """
        if not self.drain_orders.members_known():
            replicas = max(1, sum(size > 0 for size in self.payload.held_bytes().values()))
        else:
            disks = sum(replica_set.SESSION in member.holds for member in self.failure_detector.peers.values())
            replicas = payload_limit.replicas_on_a_disk(
                self.settings.talk_pairs, self.settings.copies, disks, self.settings.losses
            )
        return payload_limit.plan(self.settings.memory_limit, self.settings.talk_pairs, replicas)

    def incarnation_id(self) -> str:
        """This run of this node, as others may learn of its end."""
        return f"{self.address} {self.failure_detector.me.incarnation}"

    def has_run_ended(self, incarnation_id: str) -> bool:
        """Whether a run of a node surely ended: another run is known, or watchers agree that it is down."""
        address, _, incarnation = incarnation_id.rpartition(" ")
        known = self.failure_detector.peers.get(address)
        return known is not None and (known.state == cluster_member.DOWN or str(known.incarnation) != incarnation)

    def is_drained(self, address: str) -> bool:
        """Whether a node is to hold no replicas: drained by an operator, or stopping."""
        return (
            address in self.relay.configuration.drained
            or self.failure_detector.state(address) == cluster_member.LEAVING
        )

    # -- messages --------------------------------------------------------------------------------

    async def answer(self, message: object) -> object:
        """Answer a message of another node."""
        return await self.message_handlers.answer(message)

    def deliver_to_roles(self, message: object) -> None:
        """Queue a report of an edge for the singleton roles on this node; a role whose queue is full loses it."""
        for role in self.singleton_roles.values():
            if not role.inbox.full():
                role.inbox.put_nowait(message)

    def group_replica(self, group_id: int) -> group_replica.GroupReplica:
        """This node's replica of a group.

        Raises:
            RequestError: NOT_PRIMARY where this node has none, or has not read it from its disk yet.

        """
        found = self.group_replicas.get(group_id)
        if found is None or not self.replicas_are_open:
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail="no copy is open here", retry=clock.seconds(1)
            )
        return found

    def replica_reports(self) -> replica_set.ReplicaReports:
        """The replicas on this node's disk."""
        replicas = [self.group_replica(group_id).replica for group_id in self.group_replicas]
        return replica_set.ReplicaReports(
            self.settings.area,
            tuple(
                replica_set.ReplicaReport(held.group_id, held.identity, held.record, held.last().sequence)
                for held in replicas
            ),
            replica_set.RememberedCluster(
                max(self.proposer.voter_set, self.witness.known.voter_set, key=lambda voters: voters.number),
                self.witness.known.disks,
            ),
            self.settings.first_start,
        )

    async def submit(
        self,
        group_id: int,
        command: typing.Any,
        within: datetime.timedelta = 2 * group_client.ATTEMPT_TIMEOUT,
    ) -> typing.Any:
        """Have a command decided by a group's primary, wherever it is; commands have to be idempotent."""
        return await self.group_client.submit(group_id, command, within)

    # -- configuration ---------------------------------------------------------------------------

    def is_root(self) -> bool:
        """Whether this node is the root of the dissemination tree: the control group's primary under a lease."""
        return self.configuration_service.is_root()

    async def write_resources(self, write: control_state.WriteResources) -> updates.Written:
        """Forward a write of resources to the root, wherever it is."""
        return await self.configuration_service.write_resources(write)

    async def apply(
        self,
        command: operator_configuration.ApplyConfiguration,
        within: datetime.timedelta = configuration_service.APPLY_TIMEOUT,
    ) -> updates.Written:
        """Have an operator's order taken, wherever the control group's primary is; durable once answered."""
        return await self.configuration_service.apply(command, within)

    async def read_configuration(
        self, within: datetime.timedelta = configuration_service.APPLY_TIMEOUT
    ) -> operator_configuration.ConfigurationRead:
        """The operator's newest configuration, read at the control group's primary under its lease."""
        return await self.submit(group_client.CONTROL_GROUP_ID, operator_configuration.ReadConfiguration(), within)

    # -- running ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Be a node until stopped."""
        listening = asyncio.Event()
        self.drain_orders.started_at = clock.now()
        async with supervision.Group() as group:
            group.create_task(self.link.run(listening))
            await listening.wait()
            await self.disk_arrival.note_first_start()
            await self.witness.start(self.settings.witnesses == settings.CORE and self.settings.first_start)
            self.proposer.learn(self.witness.known.voter_set)
            for group_id, held in self.group_replicas.items():
                await held.replica.open()
                LOG.info("group {}: replica opened at entry {}", group_id, held.replica.last().sequence)
            # Only from here on messages reach the replicas: none of them is asked for what it has not read yet.
            self.replicas_are_open = True
            for name, work in self.tasks().items():
                group.create_task(supervision.stand(name, work, self.standing))
            self.started.set()
            events.report(
                LOG,
                events.EventFields(events.Event.NODE_STARTED, member=self.address),
                "node {} started: role {}, incarnation {}, groups {}",
                self.address,
                self.settings.role,
                self.incarnation,
                ", ".join(str(group_id) for group_id in self.group_replicas) or "none",
            )

    def tasks(self) -> dict[str, collections.abc.Callable[[], collections.abc.Awaitable]]:
        """What runs as long as the node does, by the names under which its faults are counted."""
        tasks: dict[str, collections.abc.Callable[[], collections.abc.Awaitable]] = {
            "samples": self.status_reporter.send_samples,
            "ring": self.failure_detector.run,
            "seat": self.witness_bootstrap.run,
            "relay": self.relay.run,
            "holdings": self.share_records,
            "records": self.record_recovery.run,
            "disk arrival": self.disk_arrival.run,
            "memory": self.memory.run,
            "payload": self.payload.run,
        }
        tasks.update({f"pair {group_id}": held.run for group_id, held in self.group_replicas.items()})
        tasks.update(
            {f"pictures {group_id}": held.replica.snapshotter.run for group_id, held in self.group_replicas.items()}
        )
        if group_client.CONTROL_GROUP_ID in self.group_replicas:
            tasks.update({"root": self.configuration_service.run_root, "reseat": self.witness_changes.run})
        return tasks

    async def share_records(self) -> None:
        """Let this node's replicas learn of newer replica sets."""
        while True:
            for group_id, record in self.failure_detector.records.items():
                if group_id in self.group_replicas:
                    self.group_replicas[group_id].learn(record)
            if self.witness.voting:
                for ballot in list(self.witness.ballots.values()):
                    if (
                        ballot.value
                        and ballot.register not in self.failure_detector.records
                        and ballot.register != replica_set.VOTER_SET
                    ):
                        self.failure_detector.learn_record(codec.untagged(ballot.value))
            self.status_reporter.log_majority_changes()
            try:
                async with clock.limit(RECORD_SHARING_PERIOD):
                    await self.failure_detector.changed.wait()
            except TimeoutError:
                pass
            self.failure_detector.changed.clear()

    # -- status ----------------------------------------------------------------------------------

    def status(self) -> dict:
        """What an operator should see of this node."""
        return self.status_reporter.status()

    def samples(self) -> tuple[sample.Sample, ...]:
        """All samples of this node, each with the labels node, area and role."""
        return self.status_reporter.samples()

    def control(self, name: str, otherwise: typing.Any) -> typing.Any:
        """What firing alert rules ask for, as far as it is known here."""
        known = self.relay.topics.get("alerts")
        return json.loads(known.body).get(name, otherwise) if known is not None else otherwise
