"""Changes of a group's members: adding replicas, moving them off drained or stopping machines, and to emptier disks."""

import asyncio
import datetime
import zlib

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, messages, record_changes
from aspencroft.runtime import clock, events

LOG = logbook.Logger("replication.replica_changes")
MOVE_DELAY = clock.seconds(4)
"""How long a better disk must be available before a member moves: most machines that are down come back."""
MOVE_CHECK_INTERVAL = clock.seconds(0.5)
"""Interval between two searches for a better disk; each one iterates over all live disks."""
MOVE_STAGGER = clock.seconds(2)
"""Added for each group with a lower number on the same machine, so that each move takes earlier ones into account."""


class ReplicaChanges:
    """A primary's changes of the members of its group."""

    def __init__(self, state: group_state.GroupState, shipping: log_shipping.LogShipping):
        self.state = state
        self.log_shipping = shipping
        self.ready: replica_set.ReplicaId | None = None
        self.admitted = asyncio.Event()
        self.better_disk_since: datetime.timedelta | None = None
        self.next_check = clock.ZERO

    def rank_candidates(self) -> list[replica_placement.Candidate]:
        """Rank the candidates for a new backup.

        Areas without a member come first, then nodes with the fewest replicas; nodes that failed recently come last.
        """
        state = self.state
        members = {member.address for member in state.record.members()}
        candidates = state.policy.candidates()
        staying = {member.address for member in state.staying()}
        areas = {candidate.area for candidate in candidates if candidate.address in staying}
        if state.move.leaving != state.me():
            areas.add(state.area)
        eligible = [
            candidate
            for candidate in candidates
            if candidate.address not in members and not state.policy.is_drained(candidate.address)
        ]
        counts = replica_placement.replica_counts(state.policy.records())
        best_first = replica_placement.rank_candidates(state.group_id, eligible, areas, counts)
        return sorted(best_first, key=lambda candidate: state.suspected_peers.is_suspected(candidate.address))

    def has_too_few_members(self) -> bool:
        """Whether fewer members stay than the group is to have."""
        return len(self.state.staying()) < self.state.policy.target_replica_count()

    async def add_replica(self, include_suspected: bool = True) -> bool:
        """While the group is not served: find one node, bring its log up to date, and add it as a backup."""
        for candidate in self.rank_candidates():
            if not include_suspected and self.state.suspected_peers.is_suspected(candidate.address):
                continue
            peer = await self.prepare_candidate(candidate, require_latest=True)
            if peer is not None and await self.record_backup(peer):
                return True
            if any(member.address == candidate.address for member in self.state.record.members()):
                return False
        return False

    async def prepare_candidate(
        self, candidate: replica_placement.Candidate, require_latest: bool = False
    ) -> replica_set.ReplicaId | None:
        """Bring a candidate's log up to date; return its replica id, or none on failure.

        With ``require_latest``, its log must match the present end of this log; else it may match an earlier position.
        """
        state = self.state
        try:
            compared = await state.link.request(
                candidate.address, messages.Compare(state.group_id, state.record.epoch), group_state.REPLY_TIMEOUT
            )
            peer = replica_set.ReplicaId(candidate.address, compared.identity)
            position = await self.log_shipping.repair_from(peer, compared)
            matches = (
                position == state.replica.last()
                if require_latest
                else state.replica.digest_at(position.sequence) == position.digest
            )
            if not matches:
                state.suspected_peers.suspect(candidate.address)
            return peer if matches else None
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
        """Add a node whose log matches as a backup, and notify it.

        If it is not known whether the replica set names it, the term ends, and the next one begins with a ballot that
        decides this. Until then nothing more may be acknowledged: that node would lack it and could take over.
        """
        state = self.state
        if state.policy.is_drained(peer.address):
            return False
        try:
            chosen = await state.ballot(lambda record: record_changes.with_backup(record, state.me(), peer))
            state.check_tenure()
            chosen_record = proposer.decode_replica_set(chosen.value)
            if chosen_record is None or peer not in state.record.backups:
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
                replica_set.ReplicaSetNotice(chosen_record),
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
                raise group_state.DeposedError(f"it is not known whether {peer.address} became a member") from None
            return False

    async def prepare_candidates(self) -> None:
        """While the group is served: prepare a candidate whenever there are too few members.

        The serving task adds it between two batches.
        """
        while True:
            await clock.sleep(group_state.RETRY)
            if not self.state.has_lease():
                continue
            self.begin_move_if_due()
            if not self.has_too_few_members():
                continue
            for candidate in self.rank_candidates():
                if (
                    not self.state.has_lease()
                    or self.state.status_reason != "serving"
                    or not self.has_too_few_members()
                ):
                    break
                peer = await self.prepare_candidate(candidate)
                if peer is not None:
                    self.admitted.clear()
                    self.ready = peer
                    await self.admitted.wait()
            if self.has_too_few_members() and self.state.move.leaving is not None:
                self.end_move("cancelled, as the group has too few members")

    def begin_move_if_due(self) -> None:
        """Begin to replace a member by one on a better disk, once that disk has been available for some time.

        The move takes the usual steps of a change: the better one is added first, then the other one is removed.
        """
        state = self.state
        if state.move.leaving is not None or clock.now() < self.next_check:
            return
        self.next_check = clock.now() + MOVE_CHECK_INTERVAL
        leaving = self.find_replaceable_member() if state.status_reason == "serving" else None
        if leaving is None:
            self.better_disk_since = None
            return
        if self.better_disk_since is None:
            self.better_disk_since = clock.now()
        if clock.now() - self.better_disk_since >= MOVE_DELAY + self.count_groups_ahead(leaving) * MOVE_STAGGER:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.MOVE_BEGUN,
                    state.group_id,
                    state.record.epoch,
                    member=leaving.label(),
                    reason="a better disk for it is available",
                ),
                "group {}: move begun, epoch {}, member {}: a better disk for it is available",
                state.group_id,
                state.record.epoch,
                leaving.label(),
            )
            self.better_disk_since = None
            state.move.begin(leaving)
            state.counts["moves"] += 1

    def end_move(self, reason: str) -> None:
        """End the move of a member and log the reason."""
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

    def find_replaceable_member(self) -> replica_set.ReplicaId | None:
        """Find a member to remove, because there are too many or because a better disk is available.

        None while there are too few members.
        """
        state = self.state
        remaining = state.remaining()
        if len(remaining) < len(state.record.members()) or len(remaining) < state.policy.target_replica_count():
            return None
        counts = replica_placement.replica_counts(state.policy.records())
        if len(remaining) > state.policy.target_replica_count():
            return max(state.record.backups, key=lambda member: counts[member.address])
        candidates = [
            candidate
            for candidate in state.policy.candidates()
            if not state.policy.is_drained(candidate.address)
            and not state.suspected_peers.is_suspected(candidate.address)
        ]
        move = replica_placement.find_improving_move(state.record, candidates, counts)
        return move.leaving if move is not None else None

    def count_groups_ahead(self, leaving: replica_set.ReplicaId) -> int:
        """Count the groups with a lower number that have a member on the same machine: they move first."""
        return sum(
            record.group_id < self.state.group_id
            and any(member.address == leaving.address for member in record.members())
            for record in self.state.policy.records()
        )

    async def admit_candidate(self) -> bool:
        """Between two batches: send a prepared candidate the remaining entries and add it.

        Returns whether the replica set now names it.
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

    async def remove_leaving_members(self) -> None:
        """Move off machines that are being drained or stopped, and remove members that were replaced.

        One step at a time, once enough other members hold the data. A primary transfers leadership to a backup that
        stays.
        """
        state = self.state
        if state.move.leaving is not None and state.move.leaving not in state.record.members():
            self.end_move("it is no longer a member")
        remaining, staying = state.remaining(), state.staying()
        if state.me() not in staying:
            successor = next((member for member in state.record.backups if member in staying), None)
            if successor is not None:
                await self.transfer_leadership(successor)
        elif record_changes.may_leave(len(remaining), len(state.record.members()), state.policy.required_replicas):
            await self.remove_backups(set(state.record.backups) - set(remaining))
        elif record_changes.may_leave(
            len(staying), len(remaining), max(state.policy.required_replicas, state.policy.target_replica_count())
        ):
            await self.remove_backups(set(state.record.backups) - set(staying))

    async def remove_backups(self, leaving: set[replica_set.ReplicaId]) -> None:
        """Remove leaving backups through a ballot of the witnesses; retried by the next call if that fails."""
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
                "group {}: leaving replicas not dropped, epoch {}, members {}: {}",
                state.group_id,
                state.record.epoch,
                members,
                refusal,
            )
            return
        state.log_dropped(leaving, "drained, or replaced by another member")

    async def transfer_leadership(self, successor: replica_set.ReplicaId) -> None:
        """Make a backup the primary and stay as a backup; the new primary holds all acknowledged entries."""
        state = self.state
        # Serving stops before the ballot: voters drop this member's lease once they accept the next primary, which may
        # lead before this one hears of it.
        state.role_state.begin_transfer()
        state.update_role(f"leadership is transferred to {successor}")
        await state.ballot(lambda record: record_changes.transfer_leadership(record, state.me(), successor))
        await state.link.request(
            successor.address, replica_set.ReplicaSetNotice(state.record), group_state.REPLY_TIMEOUT
        )
        state.check_tenure()
        state.role_state.end_transfer()
        state.update_role(f"leadership was not transferred to {successor}")


def hash_of(text: str) -> int:
    """Hash a text to a number that is the same in every process.

    Example: ``hash_of("a:1") == hash_of("a:1")``
    """
    return zlib.crc32(text.encode())
