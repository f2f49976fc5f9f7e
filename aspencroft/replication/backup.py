"""A backup's watch over its primary, and taking over from it."""

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, record_changes
from aspencroft.runtime import clock

LOG = logbook.Logger("replication.backup")
PRIMARY_SILENCE = clock.seconds(0.7)
TURN = clock.seconds(0.25)
AGAIN = clock.seconds(0.1)


class Backup:
    """What a node does while it is a group's backup."""

    def __init__(self, own: group_state.GroupState, copies: log_shipping.LogShipping):
        self.own = own
        self.log_shipping = copies
        self.watched: replica_set.ReplicaId | None = None

    async def follow(self) -> None:
        """Hold the backup's copy; take over once the primary is silent and its claim ran out, the first
        backup first.
        """
        own = self.own
        if self.watched != own.known.primary:
            self.watched, own.heard = own.known.primary, clock.now()
        own.status_reason = "backup"
        standing = own.known
        await own.replica.persist_record(standing)
        silence = PRIMARY_SILENCE + standing.backups.index(own.me()) * TURN
        pause = own.heard + silence - clock.now()
        while own.known == standing:
            try:
                async with clock.limit(max(pause, AGAIN)):
                    await own.changed.wait()
                return
            except TimeoutError:
                pass
            pause = own.heard + silence - clock.now()
            if clock.now() - own.heard > silence:
                try:
                    await self.take_over(standing)
                except result.RequestError as refusal:
                    LOG.info("pair {}: taking over: {}", own.group_id, refusal)
                    pause = min(group_state.RETRY if refusal.retry is None else refusal.retry, group_state.RETRY)

    async def take_over(self, standing: replica_set.ReplicaSet) -> None:
        """Become the primary through the witnesses; only as a backup of the newest record.

        And only of the silent primary.
        """
        own = self.own
        if not await self.log_shipping.made_sure():
            return
        own.doubt(standing.primary.address)
        chosen = await own.ballot(lambda newest: record_changes.take_over(newest, own.me(), standing.primary))
        if proposer.replica_set_of(chosen.value).primary == own.me():
            own.counts["takeovers"] += 1
