"""Who answers which message of another node: one handler for each type, found in a table."""

import collections.abc
import typing

import aspencroft.replication.messages as replication_messages
import aspencroft.residency.messages as residency_messages
from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import configuration_service, group_client, node_view, payload_ledger
from aspencroft.replication import group_replica
from aspencroft.tracing import sample, trace
from aspencroft.transport import codec

Handler = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[object]]
Handlers = dict[type, Handler]


def answered_at_once(answer: collections.abc.Callable[[typing.Any], object]) -> Handler:
    """A handler of a function that awaits nothing."""

    async def handler(message: object) -> object:
        return answer(message)

    return handler


def acknowledged(act: collections.abc.Callable[[typing.Any], None]) -> Handler:
    """A handler of a function that awaits nothing and has nothing to answer but that it was done."""

    async def handler(message: object) -> object:
        act(message)
        return replica_set.Acknowledged()

    return handler


def membership_handlers(node: node_view.NodeView) -> Handlers:
    """Heartbeats, joins and suspicions."""
    detector = node.failure_detector
    return {
        cluster_member.Heartbeat: detector.exchange.answer_heartbeat,
        cluster_member.Join: answered_at_once(detector.exchange.answer_join),
        cluster_member.ConfirmSuspicion: detector.suspicion.answer_confirm_suspicion,
    }


def voter_handlers(node: node_view.NodeView) -> Handlers:
    """Ballots, leases and voter sets."""

    async def install_state(message: replica_set.InstallWitnessState) -> replica_set.Acknowledged:
        await node.witness.learn(message.voter_set, message.ballots)
        return replica_set.Acknowledged()

    async def learn_voter_set(message: replica_set.VoterSetChosen) -> replica_set.Acknowledged:
        node.proposer.learn(message.voter_set)
        await node.witness.adopt(message.voter_set)
        return replica_set.Acknowledged()

    return {
        replica_set.LeaseRequest: node.witness.renew_lease,
        replica_set.Prepare: node.witness.prepare,
        replica_set.Accept: node.witness.accept,
        replica_set.WitnessStateRequest: answered_at_once(lambda _: node.witness.survey()),
        replica_set.InstallWitnessState: install_state,
        replica_set.VoterSetChosen: learn_voter_set,
    }


def replication_handlers(node: node_view.NodeView) -> Handlers:
    """Log entries, snapshots and replica sets of the groups that have a replica here."""

    def replica_for(message: typing.Any) -> group_replica.GroupReplica:
        return node.group_replica(message.record.group_id)

    async def submit(message: replication_messages.Submit) -> replication_messages.Submitted:
        held = node.group_replica(message.group_id)
        command = codec.untagged(message.body)
        await node.payload.make_room(message.group_id, command)
        reply = await held.submit(command, message.within, len(message.body))
        # A primary that decided a command knows the record under which it did.
        return replication_messages.Submitted(codec.tagged(reply), typing.cast(replica_set.ReplicaSet, held.known))

    async def append(message: replication_messages.Append) -> object:
        return await replica_for(message).append(message)

    async def fetch_log(message: replication_messages.FetchLog) -> object:
        return await replica_for(message).fetch(message)

    async def repair(message: replication_messages.Repair) -> object:
        return await replica_for(message).repair(message)

    async def begin_repair(message: replication_messages.BeginRepair) -> object:
        return await replica_for(message).begin_repair(message)

    async def install_snapshot(message: replication_messages.InstallSnapshot) -> object:
        return await replica_for(message).install_snapshot(message)

    async def learn_replica_set(message: replica_set.ReplicaSetNotice) -> object:
        return await replica_for(message).receive_notice(message)

    return {
        replica_set.ReplicaReportRequest: answered_at_once(lambda _: node.replica_reports()),
        replication_messages.Append: append,
        replication_messages.Submit: submit,
        replication_messages.FetchLog: fetch_log,
        replication_messages.Compare: answered_at_once(
            lambda message: node.group_replica(message.group_id).compare(message)
        ),
        replication_messages.Repair: repair,
        replication_messages.BeginRepair: begin_repair,
        replication_messages.SnapshotChunk: answered_at_once(
            lambda message: replica_for(message).receive_snapshot_chunk(message)
        ),
        replication_messages.InstallSnapshot: install_snapshot,
        replication_messages.ReplicaSetQuery: answered_at_once(
            lambda message: node.group_replica(message.group_id).report_replica_set(message)
        ),
        replica_set.ReplicaSetNotice: learn_replica_set,
        payload_ledger.ReservePayload: answered_at_once(node.payload.ledger.reserve),
    }


def configuration_handlers(node: node_view.NodeView, service: configuration_service.ConfigurationService) -> Handlers:
    """The dissemination tree, and writes and orders at its root."""

    async def read_resources(message: updates.ReadEverywhere) -> object:
        control_replica = node.group_replica(group_client.CONTROL_GROUP_ID)
        return await control_replica.submit(control_state.ReadResources(message.after), group_client.ATTEMPT_TIMEOUT)

    def publish(message: updates.Publish) -> None:
        if not node.is_root():
            raise result.RequestError(result.ResultCode.NOT_PRIMARY)
        node.relay.apply_update(message.update)

    return {
        updates.Pull: answered_at_once(lambda message: node.relay.answer_pull(message, node.is_root())),
        updates.FetchConfiguration: answered_at_once(node.relay.answer_fetch),
        updates.Push: acknowledged(lambda _: node.relay.pull_requested.set()),
        updates.Publish: acknowledged(publish),
        updates.WriteEverywhere: service.write_at_root,
        updates.ApplyEverywhere: service.apply_at_root,
        updates.ReadEverywhere: read_resources,
    }


def observation_handlers(node: node_view.NodeView) -> Handlers:
    """Traces of requests, and what edges report to singleton roles."""

    def find_traces(message: trace.TraceRequest) -> trace.Told:
        traces = node.traces.find(message.request) if node.traces is not None else ()
        if not traces:
            raise result.RequestError(result.ResultCode.UNKNOWN_REQUEST, result.Ran.UNKNOWN)
        return trace.Told(traces)

    def keep_trace(message: trace.Trace) -> None:
        if node.traces is not None:
            node.traces.keep(message)

    deliver = acknowledged(node.deliver_to_roles)
    return {
        trace.TraceRequest: answered_at_once(find_traces),
        trace.Trace: acknowledged(keep_trace),
        residency_messages.Called: deliver,
        residency_messages.Intended: deliver,
        residency_messages.Wanted: deliver,
        sample.Sampled: deliver,
    }


class MessageHandlers:
    """The handlers of all messages that reach a node."""

    def __init__(self, node: node_view.NodeView, service: configuration_service.ConfigurationService):
        self.handlers: Handlers = {
            **membership_handlers(node),
            **voter_handlers(node),
            **replication_handlers(node),
            **configuration_handlers(node, service),
            **observation_handlers(node),
        }

    async def answer(self, message: object) -> object:
        """Answer a message of another node.

        Raises:
            RequestError: FRAME_BROKEN where no handler is known for its type; else what the handler refuses it with.

        """
        handler = self.handlers.get(type(message))
        if handler is None:
            raise result.RequestError(result.ResultCode.FRAME_BROKEN, detail=type(message).__name__)
        return await handler(message)
