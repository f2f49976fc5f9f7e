"""A node's part in one group: primary, backup or bystander, as the newest record says; answers to the other members."""

import datetime

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.replication import (
    backup,
    group_state,
    log_shipping,
    messages,
    primary,
    replica,
    replica_changes,
    snapshot_transfer,
)
from aspencroft.runtime import clock, supervision
from aspencroft.transport import connections

LOG = logbook.Logger("pair")
PATIENCE = clock.seconds(3)
STEP_ASIDE = clock.seconds(4)


RepairStep = messages.Repair | messages.BeginRepair | messages.SnapshotPart | messages.InstallSnapshot


class GroupReplica(group_state.GroupState):
    """One group on one node.

    Example: ``reply = await host.submit(command, moment.seconds(1))``
    """

    def __init__(
        self,
        held: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        around: group_state.GroupPolicy,
    ):
        super().__init__(held, links, voters, address, area, around)
        self.log_shipping = log_shipping.LogShipping(self)
        self.replica_changes = replica_changes.ReplicaChanges(self, self.log_shipping)
        self.serving = primary.Primary(self, self.log_shipping, self.replica_changes)
        self.following = backup.Backup(self, self.log_shipping)
        self.incoming = snapshot_transfer.IncomingSnapshot()

    async def run(self) -> None:
        """Be whatever the newest record says, for ever.

        A member whose disk refuses or hangs neither leads nor renews its lease for ``STEP_ASIDE``, which is longer than the
        lease and the silence after which a backup takes over.

        Example: ``group.create_task(host.run())``
        """
        self.patience_end = clock.now() + PATIENCE
        if self.copy.holding is not None:
            self.learn(self.copy.holding)
        while True:
            self.changed.clear()
            standing = self.known
            try:
                if standing is not None and standing.primary == self.me():
                    await self.serving.lead()
                elif standing is not None and self.me() in standing.backups:
                    await self.following.follow()
                else:
                    self.why = "bystander"
                    await self.changed.wait()
            except* (group_state.Deposed, result.RequestError) as group:
                LOG.info("pair {}: {}", self.pair, group.exceptions)
                supervision.heed()
                await clock.sleep(group_state.RETRY)
            except* OSError as group:
                LOG.warning("group {}: the disk failed: {}", self.pair, group.exceptions)
                supervision.heed()
                self.why = "the disk failed"
                self.counts["disk failures"] += 1
                await clock.sleep(STEP_ASIDE)

    async def submit(self, command, within: datetime.timedelta):
        """Have a command decided, if this node is the primary; the reply comes once it is synced on all copies.

        Example: ``reply = await host.submit(command, moment.seconds(1))``
        """
        return await self.serving.submit(command, within)

    def stands(self, message: messages.Ask) -> messages.Stands:
        """As primary that serves: the record that stands, while no ballot is under way.

        Example: ``host.stands(exchange.Ask(1, "a:1")).emptied``
        """
        if not self.claimed() or self.why != "serving" or self.balloting.locked():
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail=self.why, retry=group_state.COME_BACK)
        return messages.Stands(self.known, self.around.emptied(message.address))

    async def fetch(self, message: messages.Fetch) -> messages.Fetched:
        """As a member of the same record: what this copy holds beyond that of one that just started.

        Example: ``await host.fetch(exchange.Fetch(record, mark, identity))``
        """
        async with self.lock:
            if message.identity != self.copy.identity:
                return messages.Fetched(None, (), True)
            if self.copy.incomplete():
                raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="this copy is being repaired")
            if self.known is None or message.holding.epoch != self.known.epoch or self.me() not in self.known.members():
                raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail="not a member of that record")
            return messages.Fetched(*self.copy.ahead_of(message.last, log_shipping.MEND_BYTES), False)

    async def append(self, message: messages.Append) -> messages.Appended:
        """As backup: take entries that follow the last one; refuse lower epochs.

        Example: ``await host.append(message)``
        """
        async with self.lock:
            if self.known is None or message.holding.epoch > self.known.epoch:
                self.learn(message.holding)
            if message.holding.epoch < self.known.epoch or self.me() not in self.known.backups:
                raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail=f"epoch {self.known.epoch} stands")
            await self.copy.hold(self.known)
            self.heard, self.unsure = clock.now(), False
            fresh = self.copy.beyond(message.previous, message.entries)
            if fresh:
                await self.copy.append(fresh)
                self.copy.begin_snapshot()
            return messages.Appended(self.copy.last())

    def compare(self, message: messages.Compare) -> messages.Compared:
        """Identity and range digests of this copy.

        Example: ``host.compare(exchange.Compare(0, 3)).marks``
        """
        return messages.Compared(self.copy.identity, self.copy.marks())

    async def repair(self, message: messages.Repair) -> messages.Appended:
        """As candidate or backup: become like the primary's copy.

        Example: ``await host.mend(message)``
        """
        async with self.lock:
            self.check_repair(message)
            await self.copy.hold(message.holding)
            self.heard, self.unsure = clock.now(), False
            return messages.Appended(await self.copy.repair(message.through, message.snapshot, message.entries))

    def check_repair(self, message: RepairStep) -> None:
        """Refuse what is not from the primary of the newest record, or meant for another copy.

        Example: ``host.check_repair(message)``
        """
        self.learn(message.holding)
        if self.leading or message.identity != self.copy.identity or message.holding.epoch < self.known.epoch:
            raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail="not to be mended by that")

    async def begin_repair(self, message: messages.BeginRepair) -> replica_set.Acknowledged:
        """As candidate or backup: from now on this copy is not whole before it holds the goal.

        Example: ``await host.begin_repair(message)``
        """
        async with self.lock:
            self.check_repair(message)
            await self.copy.hold(message.holding)
            await self.copy.begin_repair(replica.RepairGoal(message.goal.sequence, message.goal.digest))
            return replica_set.Acknowledged()

    def take_snapshot_part(self, message: messages.SnapshotPart) -> messages.SnapshotHeld:
        """As candidate or backup: hold a part of a snapshot; the copy is what it was until all of it is installed.

        Example: ``host.take_snapshot_part(message).held``
        """
        self.check_repair(message)
        self.heard = clock.now()
        return messages.SnapshotHeld(self.incoming.take(message))

    async def install_snapshot(self, message: messages.InstallSnapshot) -> messages.Appended:
        """As candidate or backup: become what the parts of a snapshot show; asked again, say that it was done.

        Example: ``await host.install_snapshot(message)``
        """
        async with self.lock:
            self.check_repair(message)
            if self.copy.digest_at(message.sequence) != message.digest:
                snapshot = self.incoming.whole(message)
                await self.copy.hold(message.holding)
                await self.copy.repair(message.sequence, snapshot, ())
            self.heard, self.unsure = clock.now(), False
            self.incoming.forget()
            return messages.Appended(self.copy.last())

    async def appoint(self, message: messages.Appoint) -> replica_set.Acknowledged:
        """Hear at once of a record that names this node.

        Example: ``await host.appoint(exchange.Appoint(record))``
        """
        self.learn(message.holding)
        return replica_set.Acknowledged()
