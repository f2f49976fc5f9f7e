"""The configuration at its root: who is the root, writes and orders taken there, and how they get there."""

import datetime

import logbook

from aspencroft.configuration import control_state, operator_configuration
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.node import group_client, node_view
from aspencroft.runtime import clock, events

LOG = logbook.Logger("node.configuration_service")
COMMIT_WAIT = clock.seconds(0.25)
"""How long the root waits for a commit before it reads again; fractions of it pace a node that is not the root."""
APPLY_TIMEOUT = clock.seconds(0.85)
"""How long an operator's order takes at most: an operator waits for one second."""
APPLY_TIMEOUT_PER_ITEM = clock.seconds(0.002)
REPLY_MARGIN = clock.seconds(0.1)
"""What is left of an order's time for its answer to travel back."""
WRITE_RETRIED_FOR = clock.seconds(8)
MOST_REFUSAL_TEXT = 400
"""Characters of a refusal in a log line: it may list many faults."""


class ConfigurationService:
    """Takes the configuration where this node is its root, and sends writes and orders there where it is not."""

    def __init__(self, node: node_view.NodeView):
        self.node = node

    def is_root(self) -> bool:
        """Whether this node is the root of the dissemination tree: the control group's primary under a lease."""
        replicas = self.node.group_replicas
        return (
            self.node.relay.root
            and group_client.CONTROL_GROUP_ID in replicas
            and replicas[group_client.CONTROL_GROUP_ID].has_lease()
        )

    async def run_root(self) -> None:
        """While primary of the control group, feed the dissemination tree with what its members hold.

        A new primary is no root before it read what the ones before it acknowledged: nothing older is handed out as
        new.
        """
        relay = self.node.relay
        while True:
            held = self.node.group_replicas[group_client.CONTROL_GROUP_ID]
            if not held.has_lease():
                if relay.root:
                    relay.stop_being_root(f"no lease as primary of the control group; {self.newest()}")
                await clock.sleep(COMMIT_WAIT / 2)
                continue
            # Cleared before the read: what is committed during it ends the wait below at once.
            held.committed.clear()
            try:
                relay.apply_committed(
                    await held.submit(control_state.ReadResources(relay.revision), group_client.ATTEMPT_TIMEOUT)
                )
            except result.RequestError:
                await clock.sleep(COMMIT_WAIT / 5)
            else:
                if not relay.root and held.has_lease():
                    relay.become_root()
                    self.report_root()
            if self.is_root():
                relay.extend_as_root(held.lease_end)
            try:
                async with clock.limit(COMMIT_WAIT):
                    await held.committed.wait()
            except TimeoutError:
                pass

    def report_root(self) -> None:
        """Log that this node became the root."""
        events.report(
            LOG,
            events.EventFields(
                events.Event.ROOT_BEGUN,
                group_client.CONTROL_GROUP_ID,
                revision=self.node.relay.revision.text(),
                member=self.node.address,
            ),
            "{} became the configuration root: {}",
            self.node.address,
            self.newest(),
        )

    def report_taken(self, order: str, revision: control_state.Revision, changed: int) -> None:
        """Log that an order is durable; one that was taken before changes nothing."""
        events.report(
            LOG,
            events.EventFields(events.Event.ORDER_TAKEN, revision=revision.text(), reason=order),
            "order taken: {}, revision {}{}",
            order,
            revision.text(),
            "" if changed else ", which changed nothing",
        )

    def report_refused(self, order: str, refusal: result.RequestError) -> None:
        """Log an order that the control group refused; one that it could not decide is tried again elsewhere."""
        if refusal.result.status >= 500:
            return
        text = str(refusal)[:MOST_REFUSAL_TEXT]
        events.report(
            LOG,
            events.EventFields(events.Event.ORDER_REFUSED, reason=f"{order}: {refusal.result.number}"),
            "order refused: {}: {}",
            order,
            text,
        )

    def newest(self) -> str:
        """The newest revision here, and the epoch of the control group's newest record, as part of a log line."""
        record = self.node.failure_detector.records.get(group_client.CONTROL_GROUP_ID)
        return (
            f"revision {self.node.relay.revision.text()}, control group epoch {record.epoch if record else 'unknown'}"
        )

    async def write_at_root(self, message: updates.WriteEverywhere) -> updates.Written:
        """As root: store a write, then wait until it is in force everywhere, or as long as settings say.

        Raises:
            RequestError: NOT_PRIMARY or NO_BACKUP where nothing was stored; OUTCOME_UNKNOWN where it was stored and is
                not known to be in force everywhere, or where another node became primary meanwhile.

        """
        started = clock.now()
        held = self.node.group_replica(group_client.CONTROL_GROUP_ID)
        if held.has_lease():
            state = held.replica.state_machine
            if isinstance(state, control_state.ControlState):
                await state.precheck_write(message.write)
        order = f"{message.write.way} {message.write.kind}/{message.write.name}".rstrip("/ ")
        try:
            written = await held.submit(message.write, message.within)
        except result.RequestError as refusal:
            self.report_refused(order, refusal)
            raise
        self.report_taken(order, written.revision, written.changed)
        confirm, currency = self.node.settings.confirm, self.node.settings.currency
        limit = message.within + 2 * currency if confirm is None else confirm
        await self.wait_until_in_force(written.revision, limit, started, is_required=confirm is None)
        # Asked again after the wait: a write that a later primary may not hold is not acknowledged.
        if not self.is_root():
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the primary changed")
        return updates.Written(written.revision, written.changed, clock.now() - started)

    async def apply_at_root(self, message: updates.ApplyEverywhere) -> updates.Written:
        """As root: take an operator's order, then wait until nodes confirmed it, or as long as settings say.

        Once it is durable nothing takes it back: an order that was taken before is answered as done.

        Raises:
            RequestError: the control group's refusal, or OUTCOME_UNKNOWN where it is stored and not known to be in
                force everywhere.

        """
        started = clock.now()
        order = f"version {message.command.version} upon {message.command.condition}"
        held = self.node.group_replica(group_client.CONTROL_GROUP_ID)
        try:
            applied = await held.submit(message.command, message.within)
        except result.RequestError as refusal:
            self.report_refused(order, refusal)
            raise
        self.report_taken(order, control_state.revision_of(applied.revision), applied.changed)
        confirm, left = self.node.settings.confirm, started + message.within - REPLY_MARGIN - clock.now()
        revision = control_state.revision_of(applied.revision)
        limit = left if confirm is None else min(confirm, left)
        await self.wait_until_in_force(revision, limit, started, is_required=confirm is None)
        return updates.Written(revision, applied.changed, clock.now() - started)

    async def wait_until_in_force(
        self,
        revision: control_state.Revision,
        limit: datetime.timedelta,
        started: datetime.timedelta,
        *,
        is_required: bool,
    ) -> None:
        """Wait until all nodes that may act on a configuration confirmed a revision, for at most ``limit``.

        ``started`` is when the write or order came, for the log.

        Raises:
            RequestError: OUTCOME_UNKNOWN when the limit passed and confirmation is required.

        """
        try:
            async with clock.limit(limit):
                await self.node.relay.wait_until_applied(revision)
        except TimeoutError:
            events.report(
                LOG,
                events.EventFields(events.Event.ORDER_UNCONFIRMED, revision=revision.text(), member=self.node.address),
                "revision {} is stored but not confirmed by all nodes after {:.2f} s; no acknowledgement from {}",
                revision.text(),
                (clock.now() - started).total_seconds(),
                ", ".join(self.unconfirmed_by(revision)) or "nodes unknown to this root",
                level=logbook.WARNING,
            )
            if is_required:
                raise result.RequestError(
                    result.ResultCode.OUTCOME_UNKNOWN,
                    result.Ran.UNKNOWN,
                    "stored, but not known to be in force everywhere",
                ) from None
        else:
            LOG.info(
                "revision {} confirmed by all nodes after {:.2f} s",
                revision.text(),
                (clock.now() - started).total_seconds(),
            )

    def unconfirmed_by(self, revision: control_state.Revision) -> list[str]:
        """The nodes that may act on an older configuration than a revision at this moment."""
        now, grants = clock.now(), self.node.relay.grants.grants
        return sorted(
            address
            for address, grant in grants.items()
            if now < grant.end and grant.revision < revision and address != self.node.address
        )

    async def write_resources(self, write: control_state.WriteResources) -> updates.Written:
        """Forward a write of resources to the root, wherever it is.

        Raises:
            RequestError: the root's refusal, or the last one after WRITE_RETRIED_FOR.

        """
        end = clock.now() + WRITE_RETRIED_FOR
        message = updates.WriteEverywhere(write, 2 * group_client.ATTEMPT_TIMEOUT)
        while True:
            record = self.node.failure_detector.records.get(group_client.CONTROL_GROUP_ID)
            try:
                if record is None:
                    raise result.RequestError(
                        result.ResultCode.NOT_PRIMARY,
                        detail="the control pair is not known yet",
                        retry=clock.seconds(1),
                    )
                return await self.node.link.request(
                    record.primary.address,
                    message,
                    2 * group_client.ATTEMPT_TIMEOUT + 3 * self.node.settings.currency,
                )
            except result.RequestError as refusal:
                retried = refusal.result in (result.ResultCode.NOT_PRIMARY, result.ResultCode.NO_BACKUP)
                if not retried or clock.now() > end:
                    raise
            await clock.sleep(group_client.RETRY_PAUSE)

    async def apply(
        self, command: operator_configuration.ApplyConfiguration, within: datetime.timedelta
    ) -> updates.Written:
        """Have an operator's order taken, wherever the control group's primary is; durable once answered.

        Retried for as long as ``within`` (more where there are many items). It is idempotent, here and for the
        operator: the same order is recognized.

        Raises:
            RequestError: the refusal; it says whether the order may have been taken.

        """
        span = within + APPLY_TIMEOUT_PER_ITEM * len(command.upserts)
        return await self.node.group_client.request_to_control_primary(
            lambda left: updates.ApplyEverywhere(command, left), span
        )
