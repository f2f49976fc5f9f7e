"""Recovery of replica set records whose proposer failed before it announced them."""

import collections.abc
import datetime
import typing

import logbook

from aspencroft.consensus import proposer, replica_set, witness
from aspencroft.errors import result
from aspencroft.runtime import clock, events
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.record_recovery")
CHECK_INTERVAL = clock.seconds(0.25)
UNANNOUNCED_DELAY = clock.seconds(0.6)
"""How long an accepted record may stay unannounced; longer than its proposer needs to finish and announce it."""
VOTER_STAGGER = clock.seconds(0.2)
"""Additional wait of each voter after the previous one, so that their ballots do not collide."""
RETRY_INTERVAL = clock.seconds(2)
"""Time between two ballots of this node for one record; longer than a lease, as a lease may reject the first."""


class RecordKey(typing.NamedTuple):
    """Identifies a replica set by the register of its group and its epoch."""

    register: int
    epoch: int


class RecordRecovery:
    """Watches for records that this voter accepted and that nobody announced, and recovers them.

    A primary that fails between a ballot and its announcement leaves a record that may be chosen but is unknown to its
    new member, so the group would never get a primary. The record cannot be announced as it is, because perhaps only a
    minority accepted it: a new ballot completes the value that may be chosen, and that value is announced. The ballot
    is rejected while a lease is in force.
    """

    def __init__(
        self,
        voter: witness.Witness,
        voters: proposer.Proposer,
        address: str,
        known_records: collections.abc.Mapping[int, replica_set.ReplicaSet],
        announce: collections.abc.Callable[[replica_set.ReplicaSet], None],
    ):
        self.witness = voter
        self.proposer = voters
        self.address = address
        self.known_records = known_records
        self.announce = announce
        self.due_at: dict[RecordKey, datetime.timedelta] = {}

    async def run(self) -> None:
        """Recover overdue records for as long as the node runs."""
        while True:
            await clock.sleep(CHECK_INTERVAL)
            for register in self.overdue():
                try:
                    await self.finish_ballot(register)
                except result.RequestError as error:
                    LOG.info("unannounced record of group {} not recovered: {}", register, error)

    def overdue(self) -> list[int]:
        """Return the groups whose accepted record has been unannounced for too long; voters take turns by stagger."""
        unannounced = self.unannounced_records()
        voters = sorted(self.proposer.voter_set.all_voters())
        rank = voters.index(self.address) if self.address in voters else len(voters)
        now = clock.now()
        self.due_at = {key: self.due_at.get(key, now + UNANNOUNCED_DELAY + rank * VOTER_STAGGER) for key in unannounced}
        ready = [key for key, due_at in self.due_at.items() if due_at <= now]
        for key in ready:
            self.due_at[key] = now + RETRY_INTERVAL
        return [key.register for key in ready]

    def unannounced_records(self) -> list[RecordKey]:
        """Return the accepted records that are newer than the announced ones."""
        unannounced: list[RecordKey] = []
        if not self.witness.voting:
            return unannounced
        for ballot in self.witness.ballots.values():
            accepted = None if ballot.register == replica_set.VOTER_SET else proposer.decode_replica_set(ballot.value)
            if accepted is None:
                continue
            known = self.known_records.get(ballot.register)
            if known is None or known.epoch < accepted.epoch:
                unannounced.append(RecordKey(ballot.register, accepted.epoch))
        return unannounced

    async def finish_ballot(self, register: int) -> None:
        """Run a ballot that completes the record that may be chosen, and announce the chosen record.

        Raises: ``result.RequestError`` if no record is known yet, or as ``Proposer.change`` does.
        """

        def keep_value(value: bytes) -> bytes:
            if not value:
                raise result.RequestError(result.ResultCode.WITNESS_BLANK, detail="this group has no record yet")
            return value

        chosen = await self.proposer.change(register, self.address, keep_value)
        record: replica_set.ReplicaSet = codec.untagged(chosen.value)
        events.report(
            LOG,
            events.EventFields(events.Event.RECORD_RECOVERED, register, record.epoch, member=self.address),
            "unannounced record of group {} recovered: {}",
            register,
            record,
        )
        self.announce(record)
