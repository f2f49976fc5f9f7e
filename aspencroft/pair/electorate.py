"""Asking the witnesses: ballots in both phases, and claims."""

import asyncio
import collections.abc
import dataclasses
import datetime

import aspencroft.code.result as result
import aspencroft.link.link as link
import aspencroft.link.record as record
import aspencroft.pair.holding as holding
import aspencroft.pair.witness as witness
import aspencroft.seam.moment as moment
import aspencroft.seam.surroundings as surroundings

ASK = moment.seconds(0.4)
COUNTER_UNIT = 1 << 40


@dataclasses.dataclass(frozen=True)
class Chosen:
    """A value that a majority accepted, and the ballot in which it did."""

    ballot: int
    value: bytes


class Electorate:
    """The witnesses as a node knows them.

    Example: ``await electorate.change(0, "me", lambda value: fresh)``
    """

    def __init__(self, around: surroundings.Surroundings, links: link.Link, first_roster: holding.Roster):
        self.surroundings = around
        self.link = links
        self.roster = first_roster
        self.highest = 0

    def ballot(self) -> int:
        """A ballot number above all that were seen, and nobody else's.

        Example: ``electorate.ballot() > electorate.highest``
        """
        self.highest = ((self.highest // COUNTER_UNIT + 1) * COUNTER_UNIT
                        + self.surroundings.randomness.randrange(COUNTER_UNIT))
        return self.highest

    def heed(self, answers: dict) -> None:
        """Learn higher ballots and newer rosters from answers.

        Example: ``electorate.heed(answers)``
        """
        for one in answers.values():
            self.highest = max(self.highest, one.ballot.raised)
            self.learn(one.roster)

    def learn(self, roster: holding.Roster) -> None:
        """Take a newer roster of witnesses.

        Example: ``electorate.learn(roster)``
        """
        if roster.number > self.roster.number:
            self.roster = roster

    async def ask_all(self, messages: dict[str, object],
                      enough: collections.abc.Callable[[dict], bool]) -> dict[str, holding.Raised]:
        """Ask witnesses at once; answers by address, as soon as they are enough or nobody is left.

        Example: ``answers = await electorate.ask_all(messages, lambda answers: False)``
        """
        answers: dict[str, holding.Raised] = {}

        async def ask(address: str, message) -> None:
            try:
                answers[address] = await self.link.ask(address, message, ASK)
            except result.Refusal:
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

    def granted(self, answers: dict) -> dict[str, holding.Raised]:
        """Those answers that grant.

        Example: ``roster.quorum(electorate.granted(answers))``
        """
        return {address: one for address, one in answers.items() if one.granted}

    def decided(self, roster: holding.Roster, answers: dict) -> bool:
        """Whether more answers change nothing: a majority grants, or so many refused that none can.

        Example: ``electorate.decided(roster, answers)``
        """
        granted = self.granted(answers)
        refused = set(answers) - set(granted)
        return roster.quorum(granted) or not roster.quorum(set(roster.everyone()) - refused)

    async def change(self, register: int, asker: str,
                     function: collections.abc.Callable[[bytes], bytes]) -> Chosen:
        """One ballot: learn the newest value that may be chosen, record what the function makes of it.

        The value is finished, unchanged, when the function hands it back. Refused with the time to
        wait when a claim stands in the way or another ballot is higher.

        Example: ``chosen = await electorate.change(0, asker, lambda value: value)``
        """
        roster = self.roster
        started = moment.now()
        ballot = self.ballot()
        raising = holding.Raise(register, ballot, asker, roster.number)
        answers = await self.ask_all({address: raising for address in roster.everyone()},
                                     lambda found: self.decided(roster, found))
        self.heed(answers)
        promised = self.granted(answers)
        if not roster.quorum(promised):
            waits = [one.wait for one in answers.values()]
            raise result.Refusal(result.Result.NO_CLAIM, retry=max(waits, default=moment.ZERO),
                                 detail=f"{len(promised)} of {len(roster.everyone())} witnesses promised")
        newest = max((one.ballot for one in promised.values()), key=lambda one: one.accepted)
        value = function(newest.value)
        accepting = {address: holding.Accept(register, ballot, value, one.incarnation, roster.number)
                     for address, one in promised.items()}
        answers = await self.ask_all(accepting, lambda found: self.decided(roster, found))
        self.heed(answers)
        if moment.now() - started > witness.CLAIM or not roster.quorum(self.granted(answers)):
            raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the ballot did not finish")
        return Chosen(ballot, value)

    async def claim(self, chosen: Chosen, register: int, claimant: str,
                    length: datetime.timedelta) -> tuple[datetime.timedelta | None, bytes, bool]:
        """Renew a claim: its end, counted from before it was asked for, or none; the newest value seen; whether most answered.

        Example: ``end, newest, answered = await electorate.claim(chosen, 0, claimant, witness.CLAIM)``
        """
        roster = self.roster
        started = moment.now()
        message = holding.Claim(register, chosen.ballot, chosen.value, claimant, length, roster.number)
        answers = await self.ask_all({address: message for address in roster.everyone()},
                                     lambda found: self.decided(roster, found))
        self.heed(answers)
        newest = max((one.ballot for one in answers.values()), key=lambda one: one.accepted, default=None)
        value = newest.value if newest is not None and newest.accepted > chosen.ballot else b""
        if roster.quorum(self.granted(answers)):
            return started + length, value, True
        return None, value, roster.quorum(answers)


def holding_of(value: bytes) -> holding.Holding | None:
    """The record of holders in a register's value.

    Example: ``holding_of(chosen.value).epoch``
    """
    return record.untagged(value) if value else None
