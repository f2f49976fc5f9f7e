"""Finding other disks for a group, and moving it off machines that are emptied or stopped."""

import asyncio
import dataclasses
import zlib

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, messages
from aspencroft.runtime import clock

LOG = logbook.Logger("recruiting")


class ReplicaChanges:
    """A primary's search for members.

    Example: ``taken = await recruiting.recruit()``
    """

    def __init__(self, own: group_state.GroupState, copies: log_shipping.LogShipping):
        self.own = own
        self.log_shipping = copies
        self.ready: replica_set.ReplicaId | None = None
        self.admitted = asyncio.Event()

    def order(self) -> list[group_state.Candidate]:
        """Candidates for a backup's place: those that failed lately last, areas without a member first.

        Example: ``recruiting.order()[0].area != own.area``
        """
        own = self.own
        members = {one.address for one in own.known.members()}
        able = own.around.candidates()
        areas = {one.area for one in able if one.address in members} | {own.area}
        return sorted(
            (one for one in able if one.address not in members and not own.around.emptied(one.address)),
            key=lambda one: (
                own.doubts(one.address),
                one.area in areas,
                (hash_of(one.address) + own.pair) % 97,
            ),
        )

    def lacking(self) -> bool:
        """Whether the group is to have more members than those that stay.

        Example: ``recruiting.lacking()``
        """
        return len(self.own.staying()) < self.own.around.goal()

    async def add_replica(self, doubted: bool = True) -> bool:
        """While nothing is served: find one node, make its copy the same, have it recorded as a backup.

        Example: ``taken = await recruiting.recruit()``
        """
        for one in self.order():
            if not doubted and self.own.doubts(one.address):
                continue
            peer = await self.prepare(one, whole=True)
            if peer is not None and await self.enlist(peer):
                return True
            if any(member.address == one.address for member in self.own.known.members()):
                return False
        return False

    async def prepare(self, one: group_state.Candidate, whole: bool = False) -> replica_set.ReplicaId | None:
        """Make a candidate's copy the same as this one was a moment ago, or as it is now; none when that failed.

        Example: ``fellow = await recruiting.prepare(candidate)``
        """
        own = self.own
        try:
            compared = await own.link.ask(one.address, messages.Compare(own.pair, own.known.epoch), group_state.REPLY)
            peer = replica_set.ReplicaId(one.address, compared.identity)
            mark = await self.log_shipping.repair_from(peer, compared)
            same = mark == own.copy.last() if whole else own.copy.digest_at(mark.sequence) == mark.digest
            return peer if same else None
        except result.RequestError as refusal:
            LOG.info("pair {}: recruiting {}: {}", own.pair, one.address, refusal)
            own.doubt(one.address)
            return None

    async def enlist(self, peer: replica_set.ReplicaId) -> bool:
        """Have a node whose copy is the same recorded as a backup, and tell it.

        Where it is not known whether the record names it, the tenure ends: the next one begins with a ballot that settles it.
        Until then nothing more may be answered, as that node would lack it and could take over.

        Example: ``await recruiting.enlist(fellow)``
        """
        own = self.own
        if own.around.emptied(peer.address):
            return False
        try:
            chosen = await own.ballot(
                lambda standing: (
                    dataclasses.replace(standing, epoch=standing.epoch + 1, backups=(*standing.backups, peer))
                    if standing.primary == own.me() and all(one.address != peer.address for one in standing.backups)
                    else standing
                )
            )
            own.check_tenure()
            if peer not in own.known.backups:
                return False
            own.counts["recruits"] += 1
            await own.link.ask(peer.address, messages.Appoint(proposer.replica_set_of(chosen.value)), group_state.REPLY)
            return True
        except result.RequestError as refusal:
            LOG.info("pair {}: recruiting {}: {}", own.pair, peer.address, refusal)
            own.doubt(peer.address)
            if refusal.result is result.ResultCode.OUTCOME_UNKNOWN:
                raise group_state.Deposed(f"not known whether {peer.address} is a member") from None
            return False

    async def behind(self) -> None:
        """While the group is served: prepare a candidate whenever members are lacking; serving admits it between two batches.

        Example: ``group.create_task(recruiting.behind())``
        """
        while True:
            await clock.sleep(group_state.RETRY)
            if not self.own.claimed() or not self.lacking():
                continue
            for one in self.order():
                if not self.own.claimed() or self.own.why != "serving" or not self.lacking():
                    break
                peer = await self.prepare(one)
                if peer is not None:
                    self.admitted.clear()
                    self.ready = peer
                    await self.admitted.wait()

    async def admit(self) -> bool:
        """Between two batches: send a prepared candidate the rest and have it recorded; whether the record changed so.

        Example: ``changed = await recruiting.admit()``
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
        """Leave machines that are being emptied or stopped, one step at a time, once enough others hold the copy.

        A primary hands its place to a backup that stays.

        Example: ``await recruiting.move_away()``
        """
        own = self.own
        staying = own.staying()
        if own.around.emptied(own.address):
            heir = next((one for one in own.known.backups if one in staying), None)
            if heir is not None:
                await self.transfer_leadership(heir)
        elif len(staying) >= own.around.copies and len(staying) < len(own.known.members()):
            try:
                await own.ballot(
                    lambda standing: (
                        dataclasses.replace(
                            standing,
                            epoch=standing.epoch + 1,
                            backups=tuple(one for one in standing.backups if one in staying),
                        )
                        if standing.primary == own.me() and set(standing.backups) - set(staying)
                        else standing
                    )
                )
            except result.RequestError as refusal:
                LOG.info("pair {}: moving away: {}", own.pair, refusal)

    async def transfer_leadership(self, heir: replica_set.ReplicaId) -> None:
        """Make a backup the primary and stay as a backup; it holds all that was answered.

        Example: ``await recruiting.hand_over(own.known.backups[0])``
        """
        own = self.own
        own.lease_end = clock.ZERO
        await own.ballot(
            lambda standing: (
                dataclasses.replace(
                    standing,
                    epoch=standing.epoch + 1,
                    primary=heir,
                    backups=(*(one for one in standing.backups if one != heir), own.me()),
                )
                if standing.primary == own.me() and heir in standing.backups
                else standing
            )
        )
        await own.link.ask(heir.address, messages.Appoint(own.known), group_state.REPLY)
        own.check_tenure()


def hash_of(text: str) -> int:
    """A stable number for a text.

    Example: ``hash_of("a:1") == hash_of("a:1")``
    """
    return zlib.crc32(text.encode())
