"""Asking the witnesses: ballots in both phases, and leases."""

import asyncio
import collections.abc
import contextlib
import datetime

from aspencroft.consensus import ballot as ballots
from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.transport import codec, connections

ASK = clock.seconds(0.4)
Chosen = ballots.Chosen


class Proposer:
    """The witnesses as a node knows them."""

    def __init__(self, around: environment.Environment, links: connections.Link, first_voter_set: replica_set.VoterSet):
        self.environment = around
        self.link = links
        self.voter_set = first_voter_set
        self.highest = 0

    def ballot(self) -> int:
        """A ballot number above all that were seen, and nobody else's."""
        self.highest = ballots.next_ballot(self.highest, self.environment.randomness)
        return self.highest

    def heed(self, answers: dict) -> None:
        """Learn higher ballots and newer voter sets from answers; tell witnesses that are behind of the newest set."""
        for one in answers.values():
            self.highest = max(self.highest, one.ballot.raised)
            self.learn(one.voter_set)
        for address, one in answers.items():
            if one.voter_set.number < self.voter_set.number:
                self.link.notify(address, replica_set.VoterSetChosen(self.voter_set))

    def learn(self, voter_set: replica_set.VoterSet) -> None:
        """Take a newer voter set."""
        if voter_set.number > self.voter_set.number:
            self.voter_set = voter_set

    async def ask_all(
        self, messages: dict[str, object], enough: collections.abc.Callable[[dict], bool]
    ) -> dict[str, replica_set.BallotReply]:
        """Ask witnesses at once; answers by address, as soon as they are enough or nobody is left."""
        answers: dict[str, replica_set.BallotReply] = {}

        async def ask(address: str, message) -> None:
            with contextlib.suppress(result.RequestError):
                answers[address] = await self.link.request(address, message, ASK)

        waiting = [asyncio.ensure_future(ask(address, message)) for address, message in messages.items()]
        try:
            while waiting and not enough(answers):
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                waiting = [task for task in waiting if not task.done()]
        finally:
            for task in waiting:
                task.cancel()
        return dict(answers)

    async def ask_voters(
        self, voter_set: replica_set.VoterSet, messages: dict[str, object]
    ) -> dict[str, replica_set.BallotReply]:
        """Ask voters until more answers change nothing, and learn from what they tell."""
        answers = await self.ask_all(messages, lambda found: ballots.settled(voter_set, found))
        self.heed(answers)
        return answers

    async def change(self, register: int, asker: str, function: collections.abc.Callable[[bytes], bytes]) -> Chosen:
        """One ballot: learn the newest value that may be chosen, record what the function makes of it.

        The value is finished, unchanged, when the function hands it back. Refused with the time to
        wait when a lease stands in the way or another ballot is higher.
        """
        voter_set, started = self.voter_set, clock.now()
        ballot = self.ballot()
        prepare = replica_set.Prepare(register, ballot, asker, voter_set.number)
        answers = await self.ask_voters(voter_set, dict.fromkeys(voter_set.everyone(), prepare))
        promised = ballots.granted(answers)
        if not voter_set.quorum(promised):
            raise result.RequestError(
                result.ResultCode.NO_CLAIM,
                retry=ballots.wait_before_retry(answers),
                detail=f"{len(promised)} of {len(voter_set.everyone())} witnesses promised",
            )
        value = function(ballots.newest_accepted(promised).value)
        accepts = ballots.accept_messages(voter_set, register, ballot, value, promised)
        answers = await self.ask_voters(voter_set, accepts)
        if not ballots.is_chosen(voter_set, answers, started, clock.now()):
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the ballot did not finish"
            )
        return ballots.Chosen(ballot, value)

    async def request_lease(
        self, chosen: Chosen, register: int, lease_holder: str, length: datetime.timedelta
    ) -> tuple[datetime.timedelta | None, bytes, bool]:
        """Renew a lease: its end, counted from before it was asked for, or none; the newest value; if most answered."""
        voter_set, started = self.voter_set, clock.now()
        message = replica_set.LeaseRequest(
            register, chosen.ballot, chosen.value, lease_holder, length, voter_set.number
        )
        answers = await self.ask_voters(voter_set, dict.fromkeys(voter_set.everyone(), message))
        outcome = ballots.lease_outcome(voter_set, answers, chosen, started, length)
        return outcome.end, outcome.newest, outcome.answered


def replica_set_of(value: bytes) -> replica_set.ReplicaSet | None:
    """The replica set in a register's value."""
    return codec.untagged(value) if value else None
