"""Witnesses of one group without a cluster: their own code, a network whose every message is a numbered step."""

import asyncio
import collections.abc
import random

from aspencroft.consensus import proposer, replica_set, witness, witness_bootstrap, witness_changes
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.simulation import loop
from aspencroft.transport import codec

GROUP = 1
DELAY = clock.seconds(0.002)


class VoterNetwork:
    """Delivers messages to witnesses; ``before`` is called with the number of each, ``lost`` tells which never
    arrive.
    """

    def __init__(self):
        self.voters: dict[str, witness.Witness] = {}
        self.proposers: dict[str, proposer.Proposer] = {}
        self.down: set[str] = set()
        self.cut: set[str] = set()
        self.steps = 0
        self.before: collections.abc.Callable[[int], None] = lambda step: None
        self.lost: collections.abc.Callable[[str, object], bool] = lambda address, message: False

    def is_apart(self, sender: str, address: str) -> bool:
        """Whether a cut lies between two nodes: one that is cut off reaches itself alone."""
        return sender != address and bool(self.cut & {sender, address})

    async def request(self, sender: str, address: str, message, within):
        """Deliver a request and its reply; either may be lost to a cut, or to the end of its receiver."""
        self.steps += 1
        self.before(self.steps)
        await clock.sleep(DELAY)
        if address in self.down or self.is_apart(sender, address) or self.lost(address, message):
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)
        voter = self.voters[address]
        reply = await self.deliver(voter, message)
        await clock.sleep(DELAY)
        if self.is_apart(sender, address) or self.voters[address] is not voter:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)
        return reply

    def notify(self, sender: str, address: str, message) -> None:
        """Deliver a message that has no reply."""
        if address not in self.down and not self.is_apart(sender, address) and not self.lost(address, message):
            asyncio.get_running_loop().create_task(self.deliver(self.voters[address], message))

    async def deliver(self, voter: witness.Witness, message):
        """What a node does with the message of a proposer or of another witness."""
        match message:
            case replica_set.Prepare():
                return await voter.prepare(message)
            case replica_set.Accept():
                return await voter.accept(message)
            case replica_set.LeaseRequest():
                return await voter.renew_lease(message)
            case replica_set.WitnessStateRequest():
                return voter.survey()
            case replica_set.VoterSetChosen():
                self.proposers[voter.state.address].learn(message.voter_set)
                await voter.adopt(message.voter_set)
        return replica_set.Acknowledged()


class NodeLink:
    """One node's way to the others, as ``connections.Link`` is."""

    def __init__(self, network: VoterNetwork, address: str):
        self.network = network
        self.address = address

    async def request(self, address: str, message, within):
        """As ``connections.Link.request``."""
        return await self.network.request(self.address, address, message, within)

    def notify(self, address: str, message) -> None:
        """As ``connections.Link.notify``."""
        self.network.notify(self.address, address, message)


class Voters:
    """A voter set in force, a blank machine that may join it, and proposers on any of their nodes."""

    def __init__(self, present: tuple[str, ...], spare: tuple[str, ...]):
        self.network = VoterNetwork()
        self.present = present
        self.wished = present
        self.leader = present[0]
        self.first = replica_set.VoterSet(witness_bootstrap.COUNTER_UNIT, present, ())
        self.proposers = self.network.proposers
        self.changes: dict[str, witness_changes.WitnessChanges] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}
        self.incarnations = 0
        self.addresses = (*present, *spare)

    async def begin(self) -> None:
        """Start all witnesses; those present vote, the spare ones learn from them once a voter set names them."""
        for address in self.addresses:
            voter = self.start(address)
            if address in self.present:
                await voter.learn(self.first, ())
        await clock.sleep(clock.seconds(2))

    def start(self, address: str) -> witness.Witness:
        """Start a node whose voter remembers nothing, in the place of one that ran there before."""
        for task in self.tasks.pop(address, ()):
            task.cancel()
        self.incarnations += 1
        around = environment.Environment(None, None, None, random.Random(self.incarnations), None)
        none_known = replica_set.VoterSet(0, self.present, ())
        voter = witness.Witness(around, None, address, self.incarnations, none_known)
        link = NodeLink(self.network, address)
        self.network.voters[address] = voter
        own = self.proposers[address] = proposer.Proposer(around, link, self.first)
        seat = witness_bootstrap.WitnessBootstrap(voter, link, own, address, 1, 1, lambda sort: ())
        self.changes[address] = witness_changes.WitnessChanges(
            link,
            own,
            address,
            lambda: self.leader == address,
            lambda: self.wished,
        )
        self.tasks[address] = [asyncio.ensure_future(seat.run()), asyncio.ensure_future(self.guided(address))]
        return voter

    async def guided(self, address: str) -> None:
        """Work on the voter set as the control group's primary does, while this node is up."""
        while True:
            await clock.sleep(witness_changes.CHECK_INTERVAL)
            if self.leader == address and address not in self.network.down | self.network.cut:
                try:
                    await self.changes[address].step()
                except result.RequestError:
                    continue

    def exchange_voter_sets(self) -> None:
        """Have all nodes that reach each other know the newest voter set that any of them does, as tables do."""
        apart = self.network.down | self.network.cut
        reachable = [self.proposers[address] for address in self.addresses if address not in apart]
        newest = max((one.voter_set for one in reachable), key=lambda voter_set: voter_set.number)
        for one in reachable:
            one.learn(newest)

    async def write(self, address: str, number: int) -> int:
        """Have a record with this epoch chosen, unless a later one stands; the epoch that stands."""
        member = replica_set.ReplicaId(address, "disk")

        def change(value: bytes) -> bytes:
            standing = codec.untagged(value) if value else None
            if standing is not None and standing.epoch >= number:
                return value
            return codec.tagged(replica_set.ReplicaSet(GROUP, number, member, ()))

        chosen = await self.proposers[address].change(GROUP, str(member), change)
        return codec.untagged(chosen.value).epoch

    async def written(self, number: int, within: float) -> str:
        """Write from any node that is up until it is acknowledged; the node, for the record's epoch."""
        end = clock.now() + clock.seconds(within)
        while clock.now() < end:
            for address in self.present:
                if address in self.network.down | self.network.cut:
                    continue
                try:
                    assert await self.write(address, number) == number
                    return address
                except result.RequestError:
                    await clock.sleep(clock.seconds(0.1))
        raise AssertionError(self.state())

    def state(self) -> dict:
        """Each witness's voter set, for the message of a failed check."""
        return {
            address: (voter.voting, voter.voter_set, self.proposers[address].voter_set.number)
            for address, voter in self.network.voters.items()
        }

    def settled(self) -> bool:
        """Whether all witnesses of the wished set that are up vote under one set that is no longer joint."""
        up = [self.network.voters[one] for one in self.wished if one not in self.network.down]
        return all(
            one.voting and not one.voter_set.coming and set(one.voter_set.present) == set(self.wished) for one in up
        )

    async def until(self, condition: collections.abc.Callable[[], bool], within: float) -> float:
        """Wait until something holds; how long it took."""
        began = clock.now()
        while not condition():
            assert (clock.now() - began).total_seconds() < within, self.state()
            await clock.sleep(clock.seconds(0.02))
        return (clock.now() - began).total_seconds()


def play(scenario, present: int = 5, spare: int = 1) -> None:
    """Start witnesses and act on them, in simulated time."""

    async def whole() -> None:
        names = [f"{chr(ord('a') + place)}:1" for place in range(present + spare)]
        voters = Voters(tuple(names[:present]), tuple(names[present:]))
        await voters.begin()
        try:
            await scenario(voters)
        finally:
            tasks = [task for started in voters.tasks.values() for task in started]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(whole())
