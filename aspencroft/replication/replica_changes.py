"""Finding other disks for a group, and moving it off machines that are drained, stopped or fuller than others."""

import asyncio
import datetime
import zlib

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, messages, record_changes
from aspencroft.runtime import clock, events

LOG = logbook.Logger("replication.replica_changes")
BALANCE_AFTER = clock.seconds(4)
"""How long a better place for a member must have been there before it moves: most machines that are away come back."""
BALANCE_LOOK = clock.seconds(0.5)
"""How often a primary looks for a better place; each look goes over all live disks."""
BALANCE_TURN = clock.seconds(2)
"""How much longer for each group of a lower number on the same machine, so that their moves see each other."""


class ReplicaChanges:
    """A primary's search for members."""

    def __init__(self, state: group_state.GroupState, shipping: log_shipping.LogShipping):
        self.state = state
        self.log_shipping = shipping
        self.ready: replica_set.ReplicaId | None = None
        self.admitted = asyncio.Event()
        self.unbalanced_since: datetime.timedelta | None = None
        self.next_look = clock.ZERO

    def rank_candidates(self) -> list[replica_placement.Candidate]:
        """Candidates for a backup's place: those that failed lately last, areas without a member first, then those that
        hold the fewest replicas.
        """
        state = self.state
        members = {member.address for member in state.record.members()}
        able = state.policy.candidates()
        staying = {member.address for member in state.staying()}
        areas = {member.area for member in able if member.address in staying}
        if state.move.leaving != state.me():
            areas.add(state.area)
        free = [
            member for member in able if member.address not in members and not state.policy.is_drained(member.address)
        ]
        held = replica_placement.replica_counts(state.policy.records())
        best_first = replica_placement.rank_candidates(state.group_id, free, areas, held)
        return sorted(best_first, key=lambda member: state.suspected_peers.is_suspected(member.address))

    def is_lacking_members(self) -> bool:
        """Whether the group is to have more members than those that stay."""
        return len(self.state.staying()) < self.state.policy.goal()

    async def add_replica(self, include_suspected: bool = True) -> bool:
        """While nothing is served: find one node, make its copy the same, have it recorded as a backup."""
        for candidate in self.rank_candidates():
            if not include_suspected and self.state.suspected_peers.is_suspected(candidate.address):
                continue
            peer = await self.prepare_candidate(candidate, whole=True)
            if peer is not None and await self.record_backup(peer):
                return True
            if any(member.address == candidate.address for member in self.state.record.members()):
                return False
        return False

    async def prepare_candidate(
        self, candidate: replica_placement.Candidate, whole: bool = False
    ) -> replica_set.ReplicaId | None:
        """Make a candidate's copy the same as this one was a moment ago, or as it is now; none when that failed."""
        state = self.state
        try:
            compared = await state.link.request(
                candidate.address, messages.Compare(state.group_id, state.record.epoch), group_state.REPLY_TIMEOUT
            )
            peer = replica_set.ReplicaId(candidate.address, compared.identity)
            mark = await self.log_shipping.repair_from(peer, compared)
            same = mark == state.replica.last() if whole else state.replica.digest_at(mark.sequence) == mark.digest
            if not same:
                state.suspected_peers.suspect(candidate.address)
            return peer if same else None
        except result.RequestError as refusal:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPLICA_NOT_ADDED,
                    state.group_id,
                    state.record.epoch,
                    member=candidate.address,
                    reason=str(refusal),
                ),
                "group {}: candidate {} not prepared, epoch {}: {}",
                state.group_id,
                candidate.address,
                state.record.epoch,
                refusal,
            )
            state.suspected_peers.suspect(candidate.address)
            return None

    async def record_backup(self, peer: replica_set.ReplicaId) -> bool:
        """Have a node whose copy is the same recorded as a backup, and tell it.

        Where it is not known whether the record names it, the tenure ends:
        the next one begins with a ballot that settles it.
        Until then nothing more may be answered, as that node would lack it and could take over.
        """
        state = self.state
        if state.policy.is_drained(peer.address):
            return False
        try:
            chosen = await state.ballot(lambda record: record_changes.with_backup(record, state.me(), peer))
            state.check_tenure()
            enlisted = proposer.decode_replica_set(chosen.value)
            if enlisted is None or peer not in state.record.backups:
                return False
            state.counts["recruits"] += 1
            events.report(
                LOG,
                events.EventFields(events.Event.REPLICA_ADDED, state.group_id, state.record.epoch, member=peer.label()),
                "group {}: replica added, epoch {}, member {}: its log is the same as the primary's",
                state.group_id,
                state.record.epoch,
                peer.label(),
            )
            await state.link.request(
                peer.address,
                replica_set.ReplicaSetNotice(enlisted),
                group_state.REPLY_TIMEOUT,
            )
            return True
        except result.RequestError as refusal:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPLICA_NOT_ADDED,
                    state.group_id,
                    state.record.epoch,
                    member=peer.label(),
                    reason=str(refusal),
                ),
                "group {}: replica {} not added, epoch {}: {}",
                state.group_id,
                peer.label(),
                state.record.epoch,
                refusal,
            )
            state.suspected_peers.suspect(peer.address)
            if refusal.result is result.ResultCode.OUTCOME_UNKNOWN:
                raise group_state.DeposedError(f"not known whether {peer.address} is a member") from None
            return False

    async def prepare_candidates(self) -> None:
        """While the group is served: prepare a candidate whenever members are lacking.

        Serving admits it between two batches.
        """
        while True:
            await clock.sleep(group_state.RETRY)
            if not self.state.has_lease():
                continue
            self.balance()
            if not self.is_lacking_members():
                continue
            for candidate in self.rank_candidates():
                if not self.state.has_lease() or self.state.status_reason != "serving" or not self.is_lacking_members():
                    break
                peer = await self.prepare_candidate(candidate)
                if peer is not None:
                    self.admitted.clear()
                    self.ready = peer
                    await self.admitted.wait()
            if self.is_lacking_members() and self.state.move.leaving is not None:
                self.end_move("given up, as members are lacking")

    def balance(self) -> None:
        """Have a member give its place to a better one, once that has been there for a while.

        The move itself goes the way of all changes: the better one is added first, then the other one recorded out.
        """
        state = self.state
        if state.move.leaving is not None or clock.now() < self.next_look:
            return
        self.next_look = clock.now() + BALANCE_LOOK
        leaving = self.find_misplaced() if state.status_reason == "serving" else None
        if leaving is None:
            self.unbalanced_since = None
            return
        if self.unbalanced_since is None:
            self.unbalanced_since = clock.now()
        if clock.now() - self.unbalanced_since >= BALANCE_AFTER + self.count_groups_ahead(leaving) * BALANCE_TURN:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.MOVE_BEGUN,
                    state.group_id,
                    state.record.epoch,
                    member=leaving.label(),
                    reason="a better place for it is free",
                ),
                "group {}: move begun, epoch {}, member {}: a better place for it is free",
                state.group_id,
                state.record.epoch,
                leaving.label(),
            )
            self.unbalanced_since = None
            state.move.begin(leaving)
            state.counts["moves"] += 1

    def end_move(self, reason: str) -> None:
        """No member is to leave for a better place any more."""
        state = self.state
        leaving = state.move.leaving.label() if state.move.leaving is not None else ""
        events.report(
            LOG,
            events.EventFields(
                events.Event.MOVE_ENDED,
                state.group_id,
                state.record.epoch,
                member=leaving,
                reason=reason,
            ),
            "group {}: move ended, epoch {}, member {}: {}",
            state.group_id,
            state.record.epoch,
            leaving,
            reason,
        )
        state.move.end()

    def find_misplaced(self) -> replica_set.ReplicaId | None:
        """The member that had better not be one: it is one too many, or a better place is free.

        None while members lack.
        """
        state = self.state
        remaining = state.remaining()
        if len(remaining) < len(state.record.members()) or len(remaining) < state.policy.goal():
            return None
        held = replica_placement.replica_counts(state.policy.records())
        if len(remaining) > state.policy.goal():
            return max(state.record.backups, key=lambda member: held[member.address])
        able = [
            member
            for member in state.policy.candidates()
            if not state.policy.is_drained(member.address) and not state.suspected_peers.is_suspected(member.address)
        ]
        move = replica_placement.find_improving_move(state.record, able, held)
        return move.leaving if move is not None else None

    def count_groups_ahead(self, leaving: replica_set.ReplicaId) -> int:
        """How many groups of a lower number have a member on the same machine: they go first."""
        return sum(
            record.group_id < self.state.group_id
            and any(member.address == leaving.address for member in record.members())
            for record in self.state.policy.records()
        )

    async def admit_candidate(self) -> bool:
        """Between two batches: send a prepared candidate the rest and have it recorded; whether the record changed
        so.
        """
        peer, self.ready = self.ready, None
        if peer is None:
            return False
        try:
            async with clock.limit(group_state.REPLY_TIMEOUT):
                same = await self.log_shipping.repair_member(peer)
            return same and await self.record_backup(peer)
        except TimeoutError:
            self.state.suspected_peers.suspect(peer.address)
            return False
        finally:
            self.admitted.set()

    async def move_away(self) -> None:
        """Leave machines that are being drained or stopped, or that another member took the place of.

        One step at a time, once enough others hold the copy. A primary hands its place to a backup that stays.
        """
        state = self.state
        if state.move.leaving is not None and state.move.leaving not in state.record.members():
            self.end_move("it is no member any more")
        remaining, staying = state.remaining(), state.staying()
        if state.me() not in staying:
            heir = next((member for member in state.record.backups if member in staying), None)
            if heir is not None:
                await self.transfer_leadership(heir)
        elif record_changes.may_leave(len(remaining), len(state.record.members()), state.policy.copies):
            await self.record_out(set(state.record.backups) - set(remaining))
        elif record_changes.may_leave(len(staying), len(remaining), max(state.policy.copies, state.policy.goal())):
            await self.record_out(set(state.record.backups) - set(staying))

    async def record_out(self, leaving: set[replica_set.ReplicaId]) -> None:
        """Have the witnesses record backups out that are to leave; tried again by the next call if that fails."""
        state = self.state
        try:
            await state.ballot(lambda record: record_changes.without_backups(record, state.me(), leaving))
        except result.RequestError as refusal:
            members = ", ".join(sorted(member.label() for member in leaving))
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPLICAS_NOT_DROPPED,
                    state.group_id,
                    state.record.epoch,
                    member=members,
                    reason=str(refusal),
                ),
                "group {}: replicas that leave not dropped, epoch {}, members {}: {}",
                state.group_id,
                state.record.epoch,
                members,
                refusal,
            )
            return
        state.log_dropped(leaving, "drained, or another member took their place")

    async def transfer_leadership(self, heir: replica_set.ReplicaId) -> None:
        """Make a backup the primary and stay as a backup; it holds all that was answered."""
        state = self.state
        # From here on nothing is answered, before the ballot: voters drop this member's lease once they accept the next
        # primary, which may lead before this one hears of it.
        state.role_state.begin_transfer()
        state.update_role(f"leadership goes to {heir}")
        await state.ballot(lambda record: record_changes.transfer_leadership(record, state.me(), heir))
        await state.link.request(heir.address, replica_set.ReplicaSetNotice(state.record), group_state.REPLY_TIMEOUT)
        state.check_tenure()
        state.role_state.end_transfer()
        state.update_role(f"leadership did not go to {heir}")


def hash_of(text: str) -> int:
    """A stable number for a text.

    Example: ``hash_of("a:1") == hash_of("a:1")``
    """
    return zlib.crc32(text.encode())
