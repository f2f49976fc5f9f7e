"""Finishing ballots whose proposer died before it told of what they chose."""

import collections.abc
import datetime

import logbook

from aspencroft.consensus import proposer, replica_set, witness
from aspencroft.errors import result
from aspencroft.runtime import clock

LOG = logbook.Logger("consensus.record_recovery")
STEP = clock.seconds(0.25)
UNHEARD = clock.seconds(0.6)
TURN = clock.seconds(0.2)
AGAIN = clock.seconds(2)


class RecordRecovery:
    """A witness's watch over records that it accepted and that nobody told of.

    A primary that dies between a ballot and the news of it leaves a record that may be chosen and that its new member
    has not heard of. Nobody would ever lead the group then. The record is not passed on as it is,
    since it may have been
    accepted by few: a ballot settles what stands, and that is told. A lease in force refuses that ballot.
    """

    def __init__(
        self,
        own: witness.Witness,
        voters: proposer.Proposer,
        address: str,
        told: collections.abc.Mapping[int, replica_set.ReplicaSet],
        tell: collections.abc.Callable[[replica_set.ReplicaSet], None],
    ):
        self.witness = own
        self.proposer = voters
        self.address = address
        self.told = told
        self.tell = tell
        self.due: dict[tuple[int, int], datetime.timedelta] = {}

    async def run(self) -> None:
        """Settle records that stay unheard of."""
        while True:
            await clock.sleep(STEP)
            for register in self.overdue():
                try:
                    await self.settle(register)
                except result.RequestError as refusal:
                    LOG.info("record of group {}: {}", register, refusal)

    def overdue(self) -> list[int]:
        """The groups of which this witness accepted a record that stays unheard of; the witnesses take turns."""
        unheard = self.unheard()
        voters = sorted(self.proposer.voter_set.everyone())
        place = voters.index(self.address) if self.address in voters else len(voters)
        now = clock.now()
        self.due = {one: self.due.get(one, now + UNHEARD + place * TURN) for one in unheard}
        ready = [one for one, due in self.due.items() if due <= now]
        for one in ready:
            self.due[one] = now + AGAIN
        return [register for register, _ in ready]

    def unheard(self) -> list[tuple[int, int]]:
        """Group and epoch of accepted records that are newer than those told of."""
        found = []
        if not self.witness.voting:
            return found
        for ballot in self.witness.ballots.values():
            if ballot.register == replica_set.VOTER_SET or not ballot.value:
                continue
            accepted = proposer.replica_set_of(ballot.value)
            told = self.told.get(ballot.register)
            if told is None or told.epoch < accepted.epoch:
                found.append((ballot.register, accepted.epoch))
        return found

    async def settle(self, register: int) -> None:
        """Finish the ballot of a record, whatever it turns out to be, and tell of it."""

        def standing(value: bytes) -> bytes:
            if not value:
                raise result.RequestError(result.ResultCode.WITNESS_BLANK, detail="no record of this group yet")
            return value

        chosen = await self.proposer.change(register, self.address, standing)
        record = proposer.replica_set_of(chosen.value)
        LOG.info("settled {}", record)
        self.tell(record)
