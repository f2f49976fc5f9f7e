"""A witness on its node: applies messages to its state one after the other, and syncs each change before it is told."""

import asyncio
import pathlib
import typing

import logbook

from aspencroft.consensus import replica_set, witness_state
from aspencroft.runtime import clock, environment
from aspencroft.storage import data_file, store
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.witness")
LEASE = witness_state.LEASE
LEASE_MARGIN = witness_state.LEASE_MARGIN
COMPACT = 2000


class Witness:
    """One witness: its state and its store; diskless ones lose it at a restart and then do not vote at first."""

    def __init__(
        self,
        around: environment.Environment,
        folder: pathlib.Path | None,
        address: str,
        incarnation: int,
        first_voter_set: replica_set.VoterSet,
    ):
        self.environment = around
        self.folder = folder
        self.state = witness_state.WitnessState(address, incarnation, first_voter_set)
        self.known = replica_set.RememberedCluster(first_voter_set, ())
        self.kept: store.Store | None = None
        self.writing = asyncio.Lock()

    @property
    def voting(self) -> bool:
        """Whether this witness answers askers."""
        return self.state.voting

    @property
    def voter_set(self) -> replica_set.VoterSet:
        """The voter set in force here."""
        return self.state.voter_set

    @property
    def ballots(self) -> typing.Mapping[int, replica_set.Ballot]:
        """What is kept of each register."""
        return self.state.ballots

    def ballot(self, register: int) -> replica_set.Ballot:
        """What is kept of a register."""
        return self.state.ballot(register)

    def waits_out_leases(self) -> bool:
        """Whether leases that were granted in an earlier life may still be in force."""
        return clock.now() < self.state.awake

    async def start(self, founding: bool = False) -> None:
        """Read what the disk holds; with ``founding`` an empty disk is one that never held anything."""
        values, condition = [], None
        if self.folder is not None:
            self.kept, items, condition = await self.environment.disk.perform(
                store.open_store, self.folder, self.environment.disk
            )
            values = [codec.untagged(item.payload) for item in items]
        if condition is data_file.Condition.DAMAGED:
            LOG.warning("the witness's store was damaged; it starts blank")
        for value in values:
            if isinstance(value, replica_set.RememberedCluster):
                self.known = value
        founds = founding and condition is data_file.Condition.EMPTY
        state, writes = self.state.started(values, clock.now(), founds)
        await self.keep(*writes)
        self.state = state

    async def keep(self, *values) -> None:
        """Sync values before anybody is told of them."""
        if self.kept is None or not values:
            return
        async with self.writing:
            compacts = self.kept.record_count > COMPACT
            if compacts:
                remembered = witness_state.lasting(self.known)
                values = (*self.ballots.values(), self.voter_set, *remembered)
            items = tuple(data_file.Record(0, codec.tagged(value)) for value in values)
            work = self.kept.replace if compacts else self.kept.append
            await self.environment.disk.perform(work, items)

    async def settle(self, step: witness_state.Step) -> replica_set.BallotReply | None:
        """Take a step's state into memory, sync it, and then hand out its reply.

        An asker that needs no more answers may go away in the middle; what memory holds is synced all the same.
        """
        self.state = step.state
        if step.writes:
            await asyncio.shield(asyncio.ensure_future(self.keep(*step.writes)))
        return step.reply

    async def prepare(self, message: replica_set.Prepare) -> replica_set.BallotReply:
        """First phase of a ballot."""
        return await self.settle(self.state.prepare(message, clock.now()))

    async def accept(self, message: replica_set.Accept) -> replica_set.BallotReply:
        """Second phase of a ballot."""
        return await self.settle(self.state.accept(message))

    async def renew_lease(self, message: replica_set.LeaseRequest) -> replica_set.BallotReply:
        """Renew a primary's lease; a chosen value that was missed is learnt first."""
        await self.settle(self.state.learn_chosen(message))
        return await self.settle(self.state.renew(message, clock.now()))

    async def adopt(self, voter_set: replica_set.VoterSet) -> None:
        """Take a newer voter set that was chosen."""
        await self.settle(self.state.adopt(voter_set))

    async def remember(self, known: replica_set.RememberedCluster) -> None:
        """Keep what this node knows of the cluster, for the start after a full stop."""
        if known != self.known:
            self.known = known
            await self.keep(known)

    def survey(self) -> replica_set.WitnessState:
        """All that is kept, for a blank witness that wants to learn."""
        return self.state.survey()

    async def learn(self, voter_set: replica_set.VoterSet, ballots: tuple[replica_set.Ballot, ...]) -> None:
        """Take the newest of what others keep, and vote from now on."""
        await self.settle(self.state.learn(voter_set, ballots, clock.now()))
