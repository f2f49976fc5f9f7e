"""Changing the witnesses while the fleet runs: through a joint voter set, recorded with both majorities."""

import collections.abc
import contextlib
import datetime

import logbook

from aspencroft.consensus import proposer, replica_set, witness, witness_bootstrap
from aspencroft.errors import result
from aspencroft.runtime import clock, supervision
from aspencroft.transport import codec, connections

LOG = logbook.Logger("consensus.witness_changes")
STEP = clock.seconds(0.5)
JOINT_STEP = clock.seconds(0.2)
ASK = clock.seconds(0.4)
JOINT_LEAST = witness.LEASE + 2 * witness.LEASE_MARGIN


def following(value: bytes, voter_set: replica_set.VoterSet, fresh: replica_set.VoterSet) -> bytes:
    """What a ballot on the voter set records: the fresh one, unless one newer than the one it follows may be chosen."""
    standing = codec.untagged(value) if value else voter_set
    return value if standing.number > voter_set.number else codec.tagged(fresh)


def may_end(
    voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str], waited: datetime.timedelta
) -> bool:
    """Whether a joint voter set may give way to the coming one.

    Leases of before it must have run out, and a majority of the coming voters must vote under it.
    """
    return waited > JOINT_LEAST and 2 * len(set(voter_set.coming) & set(ready)) > len(set(voter_set.coming))


def in_force(voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str]) -> bool:
    """Whether a majority of the present voters votes under a joint set, so that no quorum of the former one is left.

    Leases that the former set granted run from before that moment.
    """
    return 2 * len(set(voter_set.present) & set(ready)) > len(set(voter_set.present))


class WitnessChanges:
    """The control primary's work on the voter set; any later primary goes on where this one stopped."""

    def __init__(
        self,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        leads: collections.abc.Callable[[], bool],
        wished: collections.abc.Callable[[], tuple[str, ...]],
    ):
        self.link = links
        self.proposer = voters
        self.address = address
        self.leads = leads
        self.wished = wished
        self.joint_since: tuple[int, datetime.timedelta] = (0, clock.ZERO)
        self.counts = {"rosters": 0}

    async def run(self) -> None:
        """One step at a time while this node leads the control group."""
        while True:
            await clock.sleep(JOINT_STEP if self.proposer.voter_set.coming else STEP)
            if self.leads() and self.proposer.voter_set.number > 0:
                try:
                    await self.step()
                except result.RequestError as refusal:
                    LOG.info("{}", refusal)

    async def step(self) -> None:
        """Begin a change that is wished for, or end one that is under way.

        A joint voter set is ended only once leases of before it ran out, and a majority of the coming
        witnesses vote under it.
        """
        voter_set = self.proposer.voter_set
        if voter_set.coming:
            await self.step_joint(voter_set)
            return
        wished = self.wished()
        if wished and set(wished) != set(voter_set.present):
            await self.record(voter_set, voter_set.present, wished)

    async def step_joint(self, voter_set: replica_set.VoterSet) -> None:
        """End a joint voter set if it may end; else tell those who do not vote under it yet."""
        ready = await self.ready(voter_set)
        if in_force(voter_set, ready) and self.joint_since[0] != voter_set.number:
            self.joint_since = (voter_set.number, clock.now())
        known = self.joint_since[0] == voter_set.number
        if known and may_end(voter_set, ready, clock.now() - self.joint_since[1]):
            await self.record(voter_set, voter_set.coming, ())
        else:
            await self.tell(voter_set, (), frozenset(ready))

    async def ready(self, voter_set: replica_set.VoterSet) -> list[str]:
        """The present and coming witnesses that vote under this voter set."""
        ready = []

        async def ask(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                reply = await self.link.request(address, replica_set.WitnessStateRequest(self.address), ASK)
                if reply.voting and reply.voter_set.number == voter_set.number:
                    ready.append(address)

        async with supervision.Group() as group:
            for address in voter_set.everyone():
                group.create_task(ask(address))
        return ready

    async def record(self, voter_set: replica_set.VoterSet, present: tuple[str, ...], coming: tuple[str, ...]) -> None:
        """Have the next voter set chosen by those who vote under this one, and tell everybody concerned."""
        counter = voter_set.number // witness_bootstrap.COUNTER_UNIT + 1
        fresh = replica_set.VoterSet(
            witness_bootstrap.numbered(counter, self.proposer.environment.randomness), present, coming
        )

        chosen = await self.proposer.change(
            replica_set.VOTER_SET, self.address, lambda value: following(value, voter_set, fresh)
        )
        self.counts["rosters"] += 1
        settled = codec.untagged(chosen.value)
        LOG.info("witnesses: {}", settled)
        self.proposer.learn(settled)
        await self.tell(settled, voter_set.everyone())

    async def tell(
        self,
        voter_set: replica_set.VoterSet,
        others: tuple[str, ...] = (),
        informed: frozenset[str] = frozenset(),
    ) -> None:
        """Tell present, coming and former witnesses of a chosen voter set, but for those that know it."""

        async def one(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                await self.link.request(address, replica_set.VoterSetChosen(voter_set), ASK)

        async with supervision.Group() as group:
            for address in dict.fromkeys((*voter_set.everyone(), *others)):
                if address not in informed:
                    group.create_task(one(address))
