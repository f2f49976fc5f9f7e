"""Finishing ballots whose proposer died before it announced what they chose."""

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
"""How long an accepted record may stay unannounced: longer than its proposer takes to finish and announce it."""
VOTER_STAGGER = clock.seconds(0.2)
"""By how much each voter waits longer than the one before it, so that their ballots do not collide."""
RETRY_INTERVAL = clock.seconds(2)
"""Time between two ballots of this node for a record: beyond a lease, which may refuse the first."""


class RecordKey(typing.NamedTuple):
    """A replica set by its group's register and its epoch."""

    register: int
    epoch: int


class RecordRecovery:
    """A voter's watch over records that it accepted and that nobody announced.

    A primary that dies between a ballot and its announcement leaves a record that may be chosen and of which its new
    member does not know: nobody would ever lead the group. The record is not passed on as it is, since it may have
    been accepted by few: a ballot finishes what may be chosen, and that is announced. A lease in force refuses it.
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
        self.due: dict[RecordKey, datetime.timedelta] = {}

    async def run(self) -> None:
        """Finish the ballots of records that stay unannounced."""
        while True:
            await clock.sleep(CHECK_INTERVAL)
            for register in self.overdue():
                try:
                    await self.finish_ballot(register)
                except result.RequestError as refusal:
                    LOG.info("unannounced record of group {} not recovered: {}", register, refusal)

    def overdue(self) -> list[int]:
        """The groups of which this voter accepted a record that stays unannounced; the voters take turns."""
        unannounced = self.unannounced_records()
        voters = sorted(self.proposer.voter_set.everyone())
        turn = voters.index(self.address) if self.address in voters else len(voters)
        now = clock.now()
        self.due = {key: self.due.get(key, now + UNANNOUNCED_DELAY + turn * VOTER_STAGGER) for key in unannounced}
        ready = [key for key, due in self.due.items() if due <= now]
        for key in ready:
            self.due[key] = now + RETRY_INTERVAL
        return [key.register for key in ready]

    def unannounced_records(self) -> list[RecordKey]:
        """The accepted records that are newer than those announced."""
        unannounced: list[RecordKey] = []
        if not self.witness.voting:
            return unannounced
        for ballot in self.witness.ballots.values():
            accepted = None if ballot.register == replica_set.VOTER_SET else proposer.replica_set_of(ballot.value)
            if accepted is None:
                continue
            known = self.known_records.get(ballot.register)
            if known is None or known.epoch < accepted.epoch:
                unannounced.append(RecordKey(ballot.register, accepted.epoch))
        return unannounced

    async def finish_ballot(self, register: int) -> None:
        """Finish the ballot of a record, whatever it turns out to be, and announce it.

        Raises: ``result.RequestError`` where no record is known yet, or as ``Proposer.change`` does.
        """

        def unchanged(value: bytes) -> bytes:
            if not value:
                raise result.RequestError(result.ResultCode.WITNESS_BLANK, detail="no record of this group yet")
            return value

        chosen = await self.proposer.change(register, self.address, unchanged)
        record: replica_set.ReplicaSet = codec.untagged(chosen.value)
        events.report(
            LOG,
            events.EventFields(events.Event.RECORD_RECOVERED, register, record.epoch, member=self.address),
            "unannounced record of group {} recovered: {}",
            register,
            record,
        )
        self.announce(record)
