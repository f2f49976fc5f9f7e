"""A voter (witness) on its node: applies messages to its state in order and syncs each change before replying."""

import asyncio
import pathlib
import typing

import logbook

from aspencroft.consensus import replica_set, witness_state
from aspencroft.runtime import clock, environment, events
from aspencroft.storage import data_file, store
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.witness")
LEASE = witness_state.LEASE
LEASE_MARGIN = witness_state.LEASE_MARGIN
COMPACT_VALUES = 2000
"""Number of stored values above which the store is compacted to the newest ones."""

Reply = typing.TypeVar("Reply")


class Witness:
    """A voter with its state and its store; without a disk it is blank after a restart."""

    def __init__(
        self,
        env: environment.Environment,
        folder: pathlib.Path | None,
        address: str,
        incarnation: int,
        first_voter_set: replica_set.VoterSet,
    ):
        self.environment = env
        self.folder = folder
        self.state = witness_state.WitnessState(address, incarnation, first_voter_set)
        self.known = replica_set.RememberedCluster(first_voter_set, ())
        self.store: store.Store | None = None
        self.write_lock = asyncio.Lock()
        self.unfinished_writes: set[asyncio.Future[None]] = set()
        self.has_failed_write = False

    @property
    def voting(self) -> bool:
        """Whether this voter votes, that is, is not blank (without state)."""
        return self.state.voting

    @property
    def voter_set(self) -> replica_set.VoterSet:
        """The voter set in force here."""
        return self.state.voter_set

    @property
    def ballots(self) -> typing.Mapping[int, replica_set.Ballot]:
        """The ballot of each register."""
        return self.state.ballots

    def ballot(self, register: int) -> replica_set.Ballot:
        """Return the ballot of a register."""
        return self.state.ballot(register)

    def may_have_earlier_leases(self) -> bool:
        """Return whether leases granted by an earlier incarnation may still be in force."""
        return clock.now() < self.state.leases_expired_at

    async def start(self, is_first_start: bool = False) -> None:
        """Read the store; with ``is_first_start`` an empty disk is taken for one that never held anything."""
        values: list[typing.Any] = []
        condition = None
        if self.folder is not None:
            self.store, items, condition = await self.environment.disk.perform(
                store.open_store, self.folder, self.environment.disk
            )
            values = [codec.untagged(item.payload) for item in items]
        if condition is data_file.Condition.DAMAGED:
            LOG.warning("voter {} blank: its store was damaged", self.state.address)
        for value in values:
            if isinstance(value, replica_set.RememberedCluster):
                self.known = value
        is_new = is_first_start and condition is data_file.Condition.EMPTY
        step = self.state.restore(values, clock.now(), is_new)
        await self.persist(*step.writes)
        self.state = step.state

    async def persist(self, *values: typing.Any) -> None:
        """Sync values to disk; must be done before sending a reply that depends on them.

        After a failed write, memory is ahead of the disk. The whole state is then rewritten, even if there is no new
        value to write.
        """
        if self.store is None:
            return
        async with self.write_lock:
            if not values and not self.has_failed_write:
                return
            is_complete = self.has_failed_write or self.store.record_count > COMPACT_VALUES
            if is_complete:
                remembered = witness_state.written_twice(self.known)
                values = (*self.ballots.values(), self.voter_set, *remembered)
            items = tuple(data_file.Record(0, codec.tagged(value)) for value in values)
            write = self.store.replace if is_complete else self.store.append
            self.has_failed_write = True
            await self.environment.disk.perform(write, items)
            self.has_failed_write = False

    async def apply_step(self, step: witness_state.Step[Reply]) -> Reply:
        """Apply a state transition in memory, sync it, and return its reply.

        No reply is given while the disk lacks anything that memory holds: a step without writes of its own waits for
        the writes in flight. A proposer that needs no more replies may cancel this call at any point; the shield lets
        the write finish.
        """
        self.state = step.state
        if step.writes or self.unfinished_writes or self.has_failed_write:
            write = asyncio.ensure_future(self.persist(*step.writes))
            self.unfinished_writes.add(write)
            write.add_done_callback(self.unfinished_writes.discard)
            await asyncio.shield(write)
        return step.reply

    async def prepare(self, message: replica_set.Prepare) -> replica_set.BallotReply:
        """Phase 1 of a ballot."""
        return await self.apply_step(self.state.prepare(message, clock.now()))

    async def accept(self, message: replica_set.Accept) -> replica_set.BallotReply:
        """Phase 2 of a ballot."""
        return await self.apply_step(self.state.accept(message))

    async def renew_lease(self, message: replica_set.LeaseRequest) -> replica_set.BallotReply:
        """Renew a primary's lease, after learning the chosen value if this voter missed it.

        Raises: ``result.RequestError`` while this voter is blank, as both phases do.
        """
        await self.apply_step(self.state.learn_chosen(message))
        return await self.apply_step(self.state.renew(message, clock.now()))

    async def adopt(self, voter_set: replica_set.VoterSet) -> None:
        """Adopt a newer voter set that was chosen."""
        previous = self.state
        await self.apply_step(self.state.adopt(voter_set))
        if previous.voting and previous.voter_set.number < voter_set.number:
            events.report(
                LOG,
                events.EventFields(events.Event.VOTER_SET_ADOPTED, epoch=voter_set.number, member=previous.address),
                "voter {} adopted voter set {}: present {}, coming {}, {}",
                previous.address,
                voter_set.number,
                voter_set.present,
                voter_set.coming,
                "voting" if previous.address in voter_set.all_voters() else "not a member, blank from now on",
            )

    async def remember(self, known: replica_set.RememberedCluster) -> None:
        """Persist what this node knows of the cluster, for a restart of the whole cluster."""
        if known != self.known:
            self.known = known
            await self.persist(known)

    def survey(self) -> replica_set.WitnessStateReply:
        """Return all registers and the voter set, for a blank voter that asks for them."""
        return self.state.survey()

    async def learn(self, voter_set: replica_set.VoterSet, ballots: tuple[replica_set.Ballot, ...]) -> None:
        """Merge the newest ballots of other voters and start to vote."""
        was_voting = self.voting
        await self.apply_step(self.state.learn(voter_set, ballots, clock.now()))
        if not was_voting:
            events.report(
                LOG,
                events.EventFields(events.Event.VOTER_READY, epoch=voter_set.number, member=self.state.address),
                "voter {} votes: learnt {} registers, voter set {}",
                self.state.address,
                len(ballots),
                voter_set,
            )
