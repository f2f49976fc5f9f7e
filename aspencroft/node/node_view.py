"""What the parts of a node may see of the node that they belong to."""

import asyncio
import collections
import datetime
import typing

from aspencroft.consensus import proposer, replica_placement, replica_set, witness, witness_bootstrap
from aspencroft.distribution import relay, updates
from aspencroft.leadership import singleton_role
from aspencroft.membership import failure_detector
from aspencroft.node import group_client, memory_report, payload_reservations, settings
from aspencroft.replication import group_replica
from aspencroft.runtime import environment
from aspencroft.tracing import sample, trace
from aspencroft.transport import connections


class NodeView(typing.Protocol):
    """A node as its own parts see it, so that none of them imports the module that puts them together.

    The parts read an attribute whenever they need it and keep no copy: settings change while a node runs, and
    replicas, roles and traces come after the parts were made.
    """

    settings: settings.Settings
    environment: environment.Environment
    address: str
    incarnation: int
    link: connections.Link
    proposer: proposer.Proposer
    failure_detector: failure_detector.FailureDetector
    witness: witness.Witness
    witness_bootstrap: witness_bootstrap.WitnessBootstrap
    relay: relay.Relay
    group_replicas: dict[int, group_replica.GroupReplica]
    group_client: group_client.GroupClient
    singleton_roles: dict[str, singleton_role.SingletonRole]
    traces: trace.Traces | None
    memory: memory_report.MemoryReport
    payload: payload_reservations.PayloadReservations
    outside: collections.Counter
    standing: collections.Counter
    stopping: asyncio.Event
    unmet_bounds: tuple[str, ...]

    def group_replica(self, group_id: int) -> group_replica.GroupReplica:
        """This node's replica of a group."""

    def is_root(self) -> bool:
        """Whether this node is the root of the dissemination tree."""

    def is_drained(self, address: str) -> bool:
        """Whether a node is to hold no replicas."""

    def replica_candidates(self, sort: str) -> tuple[replica_placement.Candidate, ...]:
        """Live nodes whose disks may hold groups of a sort."""

    def replica_reports(self) -> replica_set.ReplicaReports:
        """The replicas on this node's disk."""

    def samples(self) -> tuple[sample.Sample, ...]:
        """All samples of this node."""

    def deliver_to_roles(self, message: object) -> None:
        """Queue a message for the singleton roles on this node."""

    async def submit(self, group_id: int, command: typing.Any, within: datetime.timedelta) -> typing.Any:
        """Have a command decided by a group's primary, wherever it is."""

    async def write_resources(self, write: typing.Any) -> updates.Written:
        """Forward a write of resources to the root, wherever it is."""
