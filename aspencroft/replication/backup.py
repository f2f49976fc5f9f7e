"""A backup's watch over its primary, and taking over from it."""

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, record_changes
from aspencroft.runtime import clock, events

LOG = logbook.Logger("replication.backup")
PRIMARY_SILENCE = clock.seconds(0.7)
"""How long the first backup waits for a sign of life of the primary before it tries to take over."""
TAKEOVER_STAGGER = clock.seconds(0.25)
"""How much longer for each backup before it in the record, so that two of them seldom ask the voters at once."""
MIN_WATCH_PERIOD = clock.seconds(0.1)
"""Shortest pause between two looks at the primary's silence."""


class Backup:
    """What a node does while it is a group's backup."""

    def __init__(self, state: group_state.GroupState, shipping: log_shipping.LogShipping):
        self.state = state
        self.log_shipping = shipping
        self.watched: replica_set.ReplicaId | None = None
        self.last_refusal = ""

    async def follow(self) -> None:
        """Hold the backup's replica; take over once the primary is silent and its lease ran out.

        The first backup of the record tries first. Returns once another record is known.
        """
        try:
            await self.watch_primary()
        finally:
            self.state.role_state.end_campaign()

    async def watch_primary(self) -> None:
        """Wait for the primary's silence, and try to take over as long as it lasts."""
        state = self.state
        if self.watched != state.record.primary:
            self.watched = state.record.primary
            state.primary_contact.note()
        state.status_reason = "backup"
        record = state.record
        await state.replica.persist_record(record)
        silence = PRIMARY_SILENCE + record.backups.index(state.me()) * TAKEOVER_STAGGER
        pause = state.primary_contact.at + silence - clock.now()
        while state.record == record:
            try:
                async with clock.limit(max(pause, MIN_WATCH_PERIOD)):
                    await state.changed.wait()
                return
            except TimeoutError:
                pass
            pause = state.primary_contact.at + silence - clock.now()
            if clock.now() - state.primary_contact.at <= silence:
                state.role_state.end_campaign()
                state.update_role("the primary is heard again")
            else:
                try:
                    await self.take_over(record)
                except result.RequestError as refusal:
                    self.log_refusal(refusal)
                    pause = min(group_state.RETRY if refusal.retry is None else refusal.retry, group_state.RETRY)

    async def take_over(self, record: replica_set.ReplicaSet) -> None:
        """Become the primary through the witnesses; only as a backup of the newest record.

        And only of the silent primary.
        """
        state = self.state
        if not await self.log_shipping.confirm_log():
            return
        state.suspected_peers.suspect(record.primary.address)
        state.role_state.begin_campaign()
        state.update_role(f"the primary {record.primary} is silent")
        chosen = await state.ballot(lambda newest: record_changes.take_over(newest, state.me(), record.primary))
        fresh = proposer.decode_replica_set(chosen.value)
        if fresh is not None and fresh.primary == state.me():
            state.counts["takeovers"] += 1
            self.last_refusal = ""
            events.report(
                LOG,
                events.EventFields(
                    events.Event.TAKEOVER_SUCCEEDED,
                    state.group_id,
                    state.record.epoch,
                    member=state.me().label(),
                    reason=f"in the place of {record.primary.label()}",
                ),
                "group {}: takeover succeeded, epoch {}, member {}: in the place of {}",
                state.group_id,
                state.record.epoch,
                state.me().label(),
                record.primary.label(),
            )

    def log_refusal(self, refusal: result.RequestError) -> None:
        """Log why a takeover was refused, once for each reason in a row: it is tried several times a second."""
        if str(refusal) != self.last_refusal:
            self.last_refusal = str(refusal)
            state = self.state
            events.report(
                LOG,
                events.EventFields(
                    events.Event.TAKEOVER_REFUSED,
                    state.group_id,
                    state.record.epoch,
                    member=state.me().label(),
                    reason=str(refusal),
                ),
                "group {}: takeover refused, epoch {}, member {}: {}",
                state.group_id,
                state.record.epoch,
                state.me().label(),
                refusal,
            )
