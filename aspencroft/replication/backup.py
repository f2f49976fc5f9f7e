"""A backup: failure detection of its primary, and takeover."""

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_shipping, record_changes
from aspencroft.runtime import clock, events

LOG = logbook.Logger("replication.backup")
PRIMARY_TIMEOUT = clock.seconds(0.7)
"""Heartbeat time-out: how long the first backup waits for a message of the primary before it tries to take over."""
TAKEOVER_STAGGER = clock.seconds(0.25)
"""Added to the time-out for each backup listed earlier, so that two backups seldom start ballots at the same time."""
MIN_WATCH_PERIOD = clock.seconds(0.1)
"""Shortest pause between two checks of the primary's last message."""


class Backup:
    """The work of a node while it is a group's backup."""

    def __init__(self, state: group_state.GroupState, shipping: log_shipping.LogShipping):
        self.state = state
        self.log_shipping = shipping
        self.watched: replica_set.ReplicaId | None = None
        self.last_refusal = ""

    async def follow(self) -> None:
        """Follow the primary; take over once it is unresponsive and its lease has expired.

        The first backup of the replica set tries first. Returns once another replica set is known.
        """
        try:
            await self.watch_primary()
        finally:
            self.state.role_state.end_campaign()

    async def watch_primary(self) -> None:
        """Wait until the heartbeat time-out expires, and try to take over as long as the primary is unresponsive."""
        state = self.state
        if self.watched != state.record.primary:
            self.watched = state.record.primary
            state.primary_contact.note()
        state.status_reason = "backup"
        record = state.record
        await state.replica.persist_record(record)
        timeout = PRIMARY_TIMEOUT + record.backups.index(state.me()) * TAKEOVER_STAGGER
        pause = state.primary_contact.at + timeout - clock.now()
        while state.record == record:
            try:
                async with clock.limit(max(pause, MIN_WATCH_PERIOD)):
                    await state.changed.wait()
                return
            except TimeoutError:
                pass
            pause = state.primary_contact.at + timeout - clock.now()
            if clock.now() - state.primary_contact.at <= timeout:
                state.role_state.end_campaign()
                state.update_role("the primary is responsive again")
            else:
                try:
                    await self.take_over(record)
                except result.RequestError as refusal:
                    self.log_refusal(refusal)
                    pause = min(group_state.RETRY if refusal.retry is None else refusal.retry, group_state.RETRY)

    async def take_over(self, record: replica_set.ReplicaSet) -> None:
        """Become the primary through a ballot of the witnesses.

        This succeeds only if the newest replica set names this node as a backup and still names the unresponsive
        primary.
        """
        state = self.state
        if not await self.log_shipping.confirm_log():
            return
        state.suspected_peers.suspect(record.primary.address)
        state.role_state.begin_campaign()
        state.update_role(f"the primary {record.primary} is unresponsive")
        chosen = await state.ballot(lambda newest: record_changes.take_over(newest, state.me(), record.primary))
        chosen_record = proposer.decode_replica_set(chosen.value)
        if chosen_record is not None and chosen_record.primary == state.me():
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
        """Log a refused takeover unless the previous one had the same reason: it is retried several times a second."""
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
