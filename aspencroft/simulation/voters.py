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
        self.steps = 0
        self.before: collections.abc.Callable[[int], None] = lambda step: None
        self.lost: collections.abc.Callable[[str, object], bool] = lambda address, message: False

    async def request(self, address: str, message, within):
        """As ``connections.Link.request``."""
        self.steps += 1
        self.before(self.steps)
        await clock.sleep(DELAY)
        if address in self.down or self.lost(address, message):
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)
        reply = await self.deliver(self.voters[address], message)
        await clock.sleep(DELAY)
        return reply

    def notify(self, address: str, message) -> None:
        """As ``connections.Link.notify``."""
        if address not in self.down and not self.lost(address, message):
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
        self.tasks: list[asyncio.Task] = []
        self.addresses = (*present, *spare)

    async def begin(self) -> None:
        """Start all witnesses; those present vote, the spare ones learn from them once a voter set names them."""
        for place, address in enumerate(self.addresses):
            around = environment.Environment(None, None, None, random.Random(place), None)
            voter = witness.Witness(around, None, address, place + 1, replica_set.VoterSet(0, self.present, ()))
            if address in self.present:
                await voter.learn(self.first, ())
            self.network.voters[address] = voter
            own = self.proposers[address] = proposer.Proposer(around, self.network, self.first)
            seat = witness_bootstrap.WitnessBootstrap(voter, self.network, own, address, 1, 1, lambda sort: ())
            self.changes[address] = witness_changes.WitnessChanges(
                self.network,
                own,
                address,
                lambda address=address: self.leader == address,
                lambda: self.wished,
            )
            self.tasks.append(asyncio.ensure_future(seat.run()))
            self.tasks.append(asyncio.ensure_future(self.guided(address)))
        await clock.sleep(clock.seconds(2))

    async def guided(self, address: str) -> None:
        """Work on the voter set as the control group's primary does, while this node is up."""
        while True:
            await clock.sleep(witness_changes.CHECK_INTERVAL)
            if self.leader == address and address not in self.network.down:
                try:
                    await self.changes[address].step()
                except result.RequestError:
                    continue

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
                if address in self.network.down:
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
            for task in voters.tasks:
                task.cancel()
            await asyncio.gather(*voters.tasks, return_exceptions=True)

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(whole())
