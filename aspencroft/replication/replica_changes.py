"""Finding other disks for a group, and moving it off machines that are drained, stopped or fuller than others."""

import asyncio
import datetime
import zlib

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, messages, record_changes
from aspencroft.runtime import clock

LOG = logbook.Logger("replication.replica_changes")
BALANCE_AFTER = clock.seconds(4)
"""How long a better place for a member must have been there before it moves: most machines that are away come back."""
BALANCE_LOOK = clock.seconds(0.5)
"""How often a primary looks for a better place; each look goes over all live disks."""
BALANCE_TURN = clock.seconds(2)
"""How much longer for each group of a lower number on the same machine, so that their moves see each other."""


class ReplicaChanges:
    """A primary's search for members."""

    def __init__(self, own: group_state.GroupState, copies: log_shipping.LogShipping):
        self.own = own
        self.log_shipping = copies
        self.ready: replica_set.ReplicaId | None = None
        self.admitted = asyncio.Event()
        self.unbalanced_since: datetime.timedelta | None = None
        self.next_look = clock.ZERO

    def order(self) -> list[replica_placement.Candidate]:
        """Candidates for a backup's place: those that failed lately last, areas without a member first, then those that
        hold the fewest replicas.
        """
        own = self.own
        members = {one.address for one in own.known.members()}
        able = own.around.candidates()
        staying = {one.address for one in own.staying()}
        areas = {one.area for one in able if one.address in staying}
        if own.moving != own.me():
            areas.add(own.area)
        free = [one for one in able if one.address not in members and not own.around.is_drained(one.address)]
        held = replica_placement.replica_counts(own.around.records())
        best_first = replica_placement.rank_candidates(own.group_id, free, areas, held)
        return sorted(best_first, key=lambda one: own.doubts(one.address))

    def lacking(self) -> bool:
        """Whether the group is to have more members than those that stay."""
        return len(self.own.staying()) < self.own.around.goal()

    async def add_replica(self, doubted: bool = True) -> bool:
        """While nothing is served: find one node, make its copy the same, have it recorded as a backup."""
        for one in self.order():
            if not doubted and self.own.doubts(one.address):
                continue
            peer = await self.prepare(one, whole=True)
            if peer is not None and await self.enlist(peer):
                return True
            if any(member.address == one.address for member in self.own.known.members()):
                return False
        return False

    async def prepare(self, one: replica_placement.Candidate, whole: bool = False) -> replica_set.ReplicaId | None:
        """Make a candidate's copy the same as this one was a moment ago, or as it is now; none when that failed."""
        own = self.own
        try:
            compared = await own.link.request(
                one.address, messages.Compare(own.group_id, own.known.epoch), group_state.REPLY
            )
            peer = replica_set.ReplicaId(one.address, compared.identity)
            mark = await self.log_shipping.repair_from(peer, compared)
            same = mark == own.replica.last() if whole else own.replica.digest_at(mark.sequence) == mark.digest
            if not same:
                own.doubt(one.address)
            return peer if same else None
        except result.RequestError as refusal:
            LOG.info("pair {}: recruiting {}: {}", own.group_id, one.address, refusal)
            own.doubt(one.address)
            return None

    async def enlist(self, peer: replica_set.ReplicaId) -> bool:
        """Have a node whose copy is the same recorded as a backup, and tell it.

        Where it is not known whether the record names it, the tenure ends:
        the next one begins with a ballot that settles it.
        Until then nothing more may be answered, as that node would lack it and could take over.
        """
        own = self.own
        if own.around.is_drained(peer.address):
            return False
        try:
            chosen = await own.ballot(lambda standing: record_changes.with_backup(standing, own.me(), peer))
            own.check_tenure()
            if peer not in own.known.backups:
                return False
            own.counts["recruits"] += 1
            await own.link.request(
                peer.address, replica_set.ReplicaSetNotice(proposer.replica_set_of(chosen.value)), group_state.REPLY
            )
            return True
        except result.RequestError as refusal:
            LOG.info("pair {}: recruiting {}: {}", own.group_id, peer.address, refusal)
            own.doubt(peer.address)
            if refusal.result is result.ResultCode.OUTCOME_UNKNOWN:
                raise group_state.Deposed(f"not known whether {peer.address} is a member") from None
            return False

    async def behind(self) -> None:
        """While the group is served: prepare a candidate whenever members are lacking.

        Serving admits it between two batches.
        """
        while True:
            await clock.sleep(group_state.RETRY)
            if not self.own.has_lease():
                continue
            self.balance()
            if not self.lacking():
                continue
            for one in self.order():
                if not self.own.has_lease() or self.own.status_reason != "serving" or not self.lacking():
                    break
                peer = await self.prepare(one)
                if peer is not None:
                    self.admitted.clear()
                    self.ready = peer
                    await self.admitted.wait()
            if self.lacking():
                self.own.moving = None

    def balance(self) -> None:
        """Have a member give its place to a better one, once that has been there for a while.

        The move itself goes the way of all changes: the better one is added first, then the other one recorded out.
        """
        own = self.own
        if own.moving is not None or clock.now() < self.next_look:
            return
        self.next_look = clock.now() + BALANCE_LOOK
        leaving = self.misplaced() if own.status_reason == "serving" else None
        if leaving is None:
            self.unbalanced_since = None
            return
        if self.unbalanced_since is None:
            self.unbalanced_since = clock.now()
        if clock.now() - self.unbalanced_since >= BALANCE_AFTER + self.turn(leaving) * BALANCE_TURN:
            LOG.info("group {}: {} is to give its place to a better one", own.group_id, leaving.address)
            self.unbalanced_since = None
            own.moving = leaving
            own.counts["moves"] += 1

    def misplaced(self) -> replica_set.ReplicaId | None:
        """The member that had better not be one: it is one too many, or a better place is free.

        None while members lack.
        """
        own = self.own
        remaining = own.remaining()
        if len(remaining) < len(own.known.members()) or len(remaining) < own.around.goal():
            return None
        held = replica_placement.replica_counts(own.around.records())
        if len(remaining) > own.around.goal():
            return max(own.known.backups, key=lambda one: held[one.address])
        able = [
            one
            for one in own.around.candidates()
            if not own.around.is_drained(one.address) and not own.doubts(one.address)
        ]
        move = replica_placement.find_improving_move(own.known, able, held)
        return move.leaving if move is not None else None

    def turn(self, leaving: replica_set.ReplicaId) -> int:
        """How many groups of a lower number have a member on the same machine: they go first."""
        return sum(
            record.group_id < self.own.group_id and any(one.address == leaving.address for one in record.members())
            for record in self.own.around.records()
        )

    async def admit(self) -> bool:
        """Between two batches: send a prepared candidate the rest and have it recorded; whether the record changed
        so.
        """
        peer, self.ready = self.ready, None
        if peer is None:
            return False
        try:
            async with clock.limit(group_state.REPLY):
                same = await self.log_shipping.repair_member(peer)
            return same and await self.enlist(peer)
        except TimeoutError:
            self.own.doubt(peer.address)
            return False
        finally:
            self.admitted.set()

    async def move_away(self) -> None:
        """Leave machines that are being drained or stopped, or that another member took the place of.

        One step at a time, once enough others hold the copy. A primary hands its place to a backup that stays.
        """
        own = self.own
        if own.moving is not None and own.moving not in own.known.members():
            own.moving = None
        remaining, staying = own.remaining(), own.staying()
        if own.me() not in staying:
            heir = next((one for one in own.known.backups if one in staying), None)
            if heir is not None:
                await self.transfer_leadership(heir)
        elif record_changes.may_leave(len(remaining), len(own.known.members()), own.around.copies):
            await self.record_out(set(own.known.backups) - set(remaining))
        elif record_changes.may_leave(len(staying), len(remaining), max(own.around.copies, own.around.goal())):
            await self.record_out(set(own.known.backups) - set(staying))

    async def record_out(self, leaving: set[replica_set.ReplicaId]) -> None:
        """Have the witnesses record backups out that are to leave; tried again by the next call if that fails."""
        own = self.own
        try:
            await own.ballot(lambda standing: record_changes.without(standing, own.me(), leaving))
        except result.RequestError as refusal:
            LOG.info("pair {}: moving away: {}", own.group_id, refusal)

    async def transfer_leadership(self, heir: replica_set.ReplicaId) -> None:
        """Make a backup the primary and stay as a backup; it holds all that was answered."""
        own = self.own
        own.handing_over = True
        await own.ballot(lambda standing: record_changes.hand_over(standing, own.me(), heir))
        await own.link.request(heir.address, replica_set.ReplicaSetNotice(own.known), group_state.REPLY)
        own.check_tenure()
        own.handing_over = False


def hash_of(text: str) -> int:
    """A stable number for a text.

    Example: ``hash_of("a:1") == hash_of("a:1")``
    """
    return zlib.crc32(text.encode())
