"""Reserves, for the session groups that this node leads, the bytes that they may hold on every machine."""

import asyncio
import collections
import collections.abc
import datetime
import typing

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.membership import cluster_member, failure_detector
from aspencroft.node import payload_ledger, payload_limit
from aspencroft.replication import group_replica
from aspencroft.runtime import clock, supervision
from aspencroft.sessions import call_sessions, lane_sessions
from aspencroft.transport import connections

LOG = logbook.Logger("node.payload_reservations")
ASK_TIMEOUT = clock.seconds(0.4)
"""How long one machine may take to answer: one that is down must not hold up the others' turns for long."""
SILENT_PAUSE = clock.seconds(4)
"""How long turns do not wait for the answer of a machine that gave none; renewals ask it all the same."""
REFUSED_PAUSE = clock.seconds(0.25)
"""How long a group that was not granted all that it wanted does not ask again."""
RENEWAL_PERIOD = clock.seconds(2)
SPARE_FACTOR = 1.25
"""How much more than needed is asked for, so that a group that grows steadily does not ask for each turn."""


class PayloadReservations:
    """The limits of the session groups that this node leads.

    A group asks all machines that may hold its replicas, and its limit is the least that one of them grants. So no
    machine exceeds its memory, wherever replicas are moved after a loss, and a group may use what others leave.
    A machine that does not answer is left out: it holds no replica that is acknowledged without it.
    """

    def __init__(
        self,
        link: connections.Link,
        detector: failure_detector.FailureDetector,
        group_replicas: dict[int, group_replica.GroupReplica],
        plan: collections.abc.Callable[[], payload_limit.PayloadPlan],
    ) -> None:
        self.link = link
        self.failure_detector = detector
        self.group_replicas = group_replicas
        self.plan = plan
        self.ledger = payload_ledger.PayloadLedger(plan, self.held_bytes)
        self.granted: dict[int, int] = {}
        self.refused_until: dict[int, datetime.timedelta] = {}
        self.silent_until: dict[str, datetime.timedelta] = {}
        self.locks: collections.defaultdict[int, asyncio.Lock] = collections.defaultdict(asyncio.Lock)

    def held_bytes(self) -> dict[int, int]:
        """Return what the replicas of session groups on this node hold."""
        return {
            group_id: held.replica.state_machine.payload_bytes()
            for group_id, held in self.group_replicas.items()
            if replica_set.group_kind(group_id) == replica_set.SESSION
        }

    def limit_of(self, group_id: int) -> int:
        """Return how many bytes a group that this node leads may hold."""
        return max(self.plan().base_bytes, self.granted.get(group_id, 0))

    async def make_room(self, group_id: int, command: object) -> None:
        """Before a command is decided: ask for a higher limit if the command needs it."""
        machine = self.state_of(group_id)
        if machine is None or machine.wanted_limit(command) <= self.limit_of(group_id):
            return
        async with self.locks[group_id]:
            wanted = machine.wanted_limit(command)
            may_ask = clock.now() >= self.refused_until.get(group_id, clock.ZERO)
            if may_ask and wanted > self.limit_of(group_id) and self.group_replicas[group_id].has_lease():
                await self.ask(group_id, machine, round(wanted * SPARE_FACTOR), self.answering_machines())

    async def run(self) -> None:
        """Renew the grants, ask ahead for groups that grow, and give back what is no longer needed."""
        while True:
            await clock.sleep(RENEWAL_PERIOD)
            for group_id, held in self.group_replicas.items():
                machine = self.state_of(group_id)
                if machine is not None and not held.has_lease():
                    self.granted.pop(group_id, None)
                elif machine is not None:
                    await self.renew(group_id, machine)

    async def renew(self, group_id: int, machine: lane_sessions.SessionState) -> None:
        """Ask for what a group holds, and for room for its programs to grow, if that is more than the base."""
        size = machine.payload_bytes()
        wanted = round((size + size // call_sessions.HOLDING_FACTOR) * SPARE_FACTOR)
        if max(self.granted.get(group_id, 0), wanted) > self.plan().base_bytes:
            async with self.locks[group_id]:
                await self.ask(group_id, machine, wanted, self.machines())

    def state_of(self, group_id: int) -> lane_sessions.SessionState | None:
        """Return the state of a session group with a replica here, None for any other group."""
        held = self.group_replicas.get(group_id)
        if held is None or replica_set.group_kind(group_id) != replica_set.SESSION:
            return None
        return typing.cast(lane_sessions.SessionState, held.replica.state_machine)

    async def ask(self, group_id: int, machine: lane_sessions.SessionState, wanted: int, addresses: list[str]) -> None:
        """Ask machines that may hold the group for a limit, and set the least that is granted."""
        request = payload_ledger.ReservePayload(group_id, machine.payload_bytes(), wanted)
        grants: list[int] = []

        async def ask_one(address: str) -> None:
            try:
                grants.append((await self.link.request(address, request, ASK_TIMEOUT)).granted_bytes)
                self.silent_until.pop(address, None)
            except result.RequestError as refusal:
                self.silent_until[address] = clock.now() + SILENT_PAUSE
                LOG.info("group {}: no reservation of {}: {}", group_id, address, refusal)

        async with supervision.Group() as group:
            for address in addresses:
                group.create_task(ask_one(address))
        if not grants:
            return
        self.granted[group_id] = min(grants)
        if min(grants) < wanted:
            self.refused_until[group_id] = clock.now() + REFUSED_PAUSE
        machine.limit_payload(self.limit_of(group_id))
        LOG.info("group {}: may hold {} bytes, {} wanted", group_id, self.granted[group_id], wanted)

    def answering_machines(self) -> list[str]:
        """Return the machines without those that gave no answer a moment ago."""
        now = clock.now()
        return [address for address in self.machines() if self.silent_until.get(address, now) <= now]

    def machines(self) -> list[str]:
        """Return the addresses of the nodes that may hold session groups and are not down, this one among them."""
        return [
            member.address
            for member in self.failure_detector.peers.values()
            if replica_set.SESSION in member.holds and member.state != cluster_member.DOWN
        ]
