"""Members of one group without a network: their own code over real copies, a plain register for the witnesses."""

import asyncio
import collections.abc
import pathlib
import random

from aspencroft.configuration import control_state
from aspencroft.consensus import proposer, record_recovery, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_replica, group_state, messages, replica
from aspencroft.runtime import clock, environment, supervision
from aspencroft.simulation import disk, loop
from aspencroft.transport import codec

AREAS = ("north", "middle", "south")


class Register:
    """What the witnesses chose; ``unknown`` makes the next ballot end without word of its outcome.

    ``refusing`` all of them fail.
    """

    def __init__(self, first: replica_set.ReplicaSet):
        self.value = codec.tagged(first)
        self.number = 1
        self.unknown = False
        self.refusing = False
        self.deaf = False
        self.lengths: list = []
        self.watch: collections.abc.Callable[[replica_set.ReplicaSet], None] = lambda standing: None

    def standing(self) -> replica_set.ReplicaSet:
        """The record that stands."""
        return codec.untagged(self.value)

    async def change(self, _, asker: str, function: collections.abc.Callable[[bytes], bytes]) -> proposer.ChosenValue:
        """As ``electorate.Electorate.change``."""
        await clock.sleep(clock.seconds(0.001))
        if self.refusing:
            raise result.RequestError(result.ResultCode.NO_CLAIM)
        self.value = function(self.value)
        self.number += 1
        self.watch(self.standing())
        if self.unknown:
            self.unknown = False
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN)
        return proposer.ChosenValue(self.number, self.value)

    async def request_lease(self, chosen: proposer.ChosenValue, _, lease_holder: str, length):
        """As ``electorate.Electorate.claim``."""
        started = clock.now()
        self.lengths.append(length)
        if self.deaf:
            await clock.sleep(proposer.REQUEST_TIMEOUT)
            return None, b"", False
        await clock.sleep(clock.seconds(0.001))
        standing = chosen.value == self.value and str(self.standing().primary) == lease_holder
        return (
            (started + length if standing else None),
            (self.value if chosen.value != self.value else b""),
            True,
        )


class Members:
    """The nodes of a group and what passes between them."""

    def __init__(self, folder: pathlib.Path, count: int, copies: int, goal: int):
        self.folder = folder
        self.names = [f"n{number}:1" for number in range(count)]
        self.folders = {name: folder / name for name in self.names}
        self.copies = copies
        self.goal = goal
        self.group_replicas: dict[str, group_replica.GroupReplica] = {}
        self.silent: set[str] = set()
        self.drained: set[str] = set()
        self.gone: set[str] = set()
        self.heard: list[tuple[str, object]] = []
        self.register: Register | None = None
        self.other_records: tuple[replica_set.ReplicaSet, ...] = ()
        self.tasks: list[asyncio.Task] = []
        self.runs: dict[str, asyncio.Task] = {}
        self.starts = 0
        self.before_step: collections.abc.Callable[[], None] = lambda: None
        self.handlers: set[asyncio.Task] = set()

    async def begin(self, members: int) -> None:
        """Open all copies and put the first ones into the first record."""
        for name in self.names:
            await self.open_host(name)
        first = [self.group_replicas[name].me() for name in self.names[:members]]
        self.register = Register(replica_set.ReplicaSet(0, 1, first[0], tuple(first[1:])))
        for one in self.group_replicas.values():
            one.proposer = self.register
            one.learn(self.register.standing())

    async def open_host(self, name: str) -> None:
        """Open a node's copy, as at the start of its process."""
        place = self.names.index(name)
        self.starts += 1
        held = replica.Replica(
            environment.Environment(
                None,
                disk.SimDisk(self.folders[name], random.Random(place)),
                None,
                random.Random(place + 7 * self.starts),
                None,
            ),
            self.folders[name],
            0,
            control_state.ControlState,
        )
        await held.open()
        around = group_state.GroupPolicy(
            self.candidates,
            self.drained.__contains__,
            lambda _: None,
            lambda _: False,
            self.copies,
            lambda: self.goal,
            lambda: (*self.other_records, self.register.standing()),
            lambda: 24 << 20,
        )
        host = group_replica.GroupReplica(held, self, None, name, AREAS[place % 3], around)
        host.proposer = self.register
        self.group_replicas[name] = host

    def stop(self, name: str) -> None:
        """A node's process ends at once; its disk stays."""
        self.silent.add(name)
        self.group_replicas[name].role_state.end_term()
        self.runs.pop(name).cancel()

    async def wipe(self, name: str, back_after: float) -> None:
        """A machine loses its disk and its process, and is back empty at the same address."""
        self.stop(name)
        self.folders[name] = self.folder / f"{name} {self.starts}"
        await clock.sleep(clock.seconds(back_after))
        await self.open_host(name)
        self.group_replicas[name].learn(self.register.standing())
        self.silent.discard(name)
        self.run(name)

    async def reopened(self, name: str) -> group_replica.GroupReplica:
        """What a node's process would find on its disk, were it started once more beside the one that runs."""
        running = self.group_replicas[name]
        await self.open_host(name)
        found, self.group_replicas[name] = self.group_replicas[name], running
        return found

    async def tell_records(self) -> None:
        """Tell all nodes of the record that stands, a while after it was chosen, as witnesses do."""
        while True:
            standing = self.register.standing()
            await clock.sleep(record_recovery.UNANNOUNCED_DELAY)
            for name, host in self.group_replicas.items():
                if name not in self.silent:
                    host.learn(standing)

    def leader(self) -> str:
        """The node that serves the group, or nothing."""
        return next(
            (name for name, one in self.group_replicas.items() if one.has_lease() and one.status_reason == "serving"),
            "",
        )

    def run(self, *names: str) -> None:
        """Let nodes be what the record says."""
        for name in names:
            self.runs[name] = asyncio.ensure_future(self.group_replicas[name].run())
            self.tasks.append(self.runs[name])

    def candidates(self) -> tuple[replica_placement.Candidate, ...]:
        """All nodes but those that membership knows to be gone."""
        return tuple(
            replica_placement.Candidate(name, AREAS[place % 3])
            for place, name in enumerate(self.names)
            if name not in self.gone
        )

    async def request(self, address: str, message, within):
        """As ``link.Link.ask``."""
        self.heard.append((address, message))
        self.before_step()
        await clock.sleep(clock.seconds(0.001))
        if address in self.silent:
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)
        one = self.group_replicas[address]
        handler = asyncio.ensure_future(self.deliver(one, message))
        self.handlers.add(handler)
        try:
            async with clock.limit(within):
                reply = await handler
        except (TimeoutError, asyncio.CancelledError):
            supervision.heed()
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address) from None
        except OSError as error:
            raise result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN, repr(error)) from None
        finally:
            self.handlers.discard(handler)
        if address in self.silent or self.group_replicas[address] is not one:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)
        return reply

    async def deliver(self, one: group_replica.GroupReplica, message):
        """What the asked node does with a message; cancelled, it is as if the connection broke meanwhile."""
        match message:
            case messages.Append():
                return await one.append(message)
            case messages.Compare():
                return one.compare(message)
            case messages.Repair():
                return await one.repair(message)
            case messages.BeginRepair():
                return await one.begin_repair(message)
            case messages.SnapshotChunk():
                return one.receive_snapshot_chunk(message)
            case messages.InstallSnapshot():
                return await one.install_snapshot(message)
            case messages.FetchLog():
                return await one.fetch(message)
            case messages.ReplicaSetQuery():
                return one.report_replica_set(message)
        return await one.receive_notice(message)

    async def until(self, condition: collections.abc.Callable[[], bool], within: float = 10.0) -> float:
        """Wait until something holds; how long it took."""
        began = clock.now()
        while not condition():
            late = (clock.now() - began).total_seconds() > within
            assert not late, {name: (one.status_reason, one.known) for name, one in self.group_replicas.items()}
            await clock.sleep(clock.seconds(0.01))
        return (clock.now() - began).total_seconds()

    async def write(self, name: str, to: str = "n0:1", within: float = 5.0):
        """Write a service through a node."""
        body = f'{{"services": {{"{name}": {{"kind": "plain"}}}}}}'
        return await self.group_replicas[to].submit(
            control_state.WriteResources("merge", "", "", body, None), clock.seconds(within)
        )

    def same(self, *names: str) -> bool:
        """Whether nodes' copies are the same."""
        return len({self.group_replicas[name].replica.last() for name in names}) == 1


def play(folder: pathlib.Path, count: int, scenario, members: int = 2, copies: int = 2, goal: int = 2) -> None:
    """Begin a group and act on it, in simulated time."""

    async def whole() -> None:
        cluster = Members(folder, count, copies, goal)
        await cluster.begin(members)
        try:
            await scenario(cluster)
        finally:
            for task in cluster.tasks:
                task.cancel()
            await asyncio.gather(*cluster.tasks, return_exceptions=True)

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(whole())
