"""Asking the witnesses: ballots in both phases, and claims."""

import asyncio
import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set, witness
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.transport import codec, connections

ASK = clock.seconds(0.4)
COUNTER_UNIT = 1 << 40


@dataclasses.dataclass(frozen=True)
class Chosen:
    """A value that a majority accepted, and the ballot in which it did."""

    ballot: int
    value: bytes


class Proposer:
    """The witnesses as a node knows them.

    Example: ``await electorate.change(0, "me", lambda value: fresh)``
    """

    def __init__(self, around: environment.Environment, links: connections.Link, first_roster: replica_set.VoterSet):
        self.environment = around
        self.link = links
        self.voter_set = first_roster
        self.highest = 0

    def ballot(self) -> int:
        """A ballot number above all that were seen, and nobody else's.

        Example: ``electorate.ballot() > electorate.highest``
        """
        self.highest = (self.highest // COUNTER_UNIT + 1) * COUNTER_UNIT + self.environment.randomness.randrange(
            COUNTER_UNIT
        )
        return self.highest

    def heed(self, answers: dict) -> None:
        """Learn higher ballots and newer rosters from answers.

        Example: ``electorate.heed(answers)``
        """
        for one in answers.values():
            self.highest = max(self.highest, one.ballot.raised)
            self.learn(one.voter_set)

    def learn(self, voter_set: replica_set.VoterSet) -> None:
        """Take a newer roster of witnesses.

        Example: ``electorate.learn(roster)``
        """
        if voter_set.number > self.voter_set.number:
            self.voter_set = voter_set

    async def ask_all(
        self, messages: dict[str, object], enough: collections.abc.Callable[[dict], bool]
    ) -> dict[str, replica_set.BallotReply]:
        """Ask witnesses at once; answers by address, as soon as they are enough or nobody is left.

        Example: ``answers = await electorate.ask_all(messages, lambda answers: False)``
        """
        answers: dict[str, replica_set.BallotReply] = {}

        async def ask(address: str, message) -> None:
            try:
                answers[address] = await self.link.ask(address, message, ASK)
            except result.RequestError:
                pass

        waiting = [asyncio.ensure_future(ask(address, message)) for address, message in messages.items()]
        try:
            while waiting and not enough(answers):
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                waiting = [task for task in waiting if not task.done()]
        finally:
            for task in waiting:
                task.cancel()
        return dict(answers)

    def granted(self, answers: dict) -> dict[str, replica_set.BallotReply]:
        """Those answers that grant.

        Example: ``roster.quorum(electorate.granted(answers))``
        """
        return {address: one for address, one in answers.items() if one.granted}

    def decided(self, voter_set: replica_set.VoterSet, answers: dict) -> bool:
        """Whether more answers change nothing: a majority grants, or so many refused that none can.

        Example: ``electorate.decided(roster, answers)``
        """
        granted = self.granted(answers)
        refused = set(answers) - set(granted)
        return voter_set.quorum(granted) or not voter_set.quorum(set(voter_set.everyone()) - refused)

    async def change(self, register: int, asker: str, function: collections.abc.Callable[[bytes], bytes]) -> Chosen:
        """One ballot: learn the newest value that may be chosen, record what the function makes of it.

        The value is finished, unchanged, when the function hands it back. Refused with the time to
        wait when a claim stands in the way or another ballot is higher.

        Example: ``chosen = await electorate.change(0, asker, lambda value: value)``
        """
        voter_set = self.voter_set
        started = clock.now()
        ballot = self.ballot()
        raising = replica_set.Prepare(register, ballot, asker, voter_set.number)
        answers = await self.ask_all(
            dict.fromkeys(voter_set.everyone(), raising),
            lambda found: self.decided(voter_set, found),
        )
        self.heed(answers)
        promised = self.granted(answers)
        if not voter_set.quorum(promised):
            waits = [one.wait for one in answers.values()]
            raise result.RequestError(
                result.ResultCode.NO_CLAIM,
                retry=max(waits, default=clock.ZERO),
                detail=f"{len(promised)} of {len(voter_set.everyone())} witnesses promised",
            )
        newest = max((one.ballot for one in promised.values()), key=lambda one: one.accepted)
        value = function(newest.value)
        accepting = {
            address: replica_set.Accept(register, ballot, value, one.incarnation, voter_set.number)
            for address, one in promised.items()
        }
        answers = await self.ask_all(accepting, lambda found: self.decided(voter_set, found))
        self.heed(answers)
        if clock.now() - started > witness.LEASE or not voter_set.quorum(self.granted(answers)):
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the ballot did not finish"
            )
        return Chosen(ballot, value)

    async def claim(
        self, chosen: Chosen, register: int, claimant: str, length: datetime.timedelta
    ) -> tuple[datetime.timedelta | None, bytes, bool]:
        """Renew a claim: its end, counted from before it was asked for, or none; the newest value seen; whether most answered.

        Example: ``end, newest, answered = await electorate.claim(chosen, 0, claimant, witness.CLAIM)``
        """
        voter_set = self.voter_set
        started = clock.now()
        message = replica_set.LeaseRequest(register, chosen.ballot, chosen.value, claimant, length, voter_set.number)
        answers = await self.ask_all(
            dict.fromkeys(voter_set.everyone(), message),
            lambda found: self.decided(voter_set, found),
        )
        self.heed(answers)
        newest = max((one.ballot for one in answers.values()), key=lambda one: one.accepted, default=None)
        value = newest.value if newest is not None and newest.accepted > chosen.ballot else b""
        if voter_set.quorum(self.granted(answers)):
            return started + length, value, True
        return None, value, voter_set.quorum(answers)


def replica_set_of(value: bytes) -> replica_set.ReplicaSet | None:
    """The record of holders in a register's value.

    Example: ``holding_of(chosen.value).epoch``
    """
    return codec.untagged(value) if value else None
