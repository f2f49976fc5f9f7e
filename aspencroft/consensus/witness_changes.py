"""Changing the voters while the cluster runs: through a joint voter set, chosen with both majorities.

The steps follow the joint consensus of Raft (Ongaro and Ousterhout, 2014, section 6).
"""

import collections.abc
import contextlib
import datetime
import typing

import logbook

from aspencroft.consensus import proposer, replica_set, witness, witness_bootstrap
from aspencroft.errors import result
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import codec

LOG = logbook.Logger("consensus.witness_changes")
CHECK_INTERVAL = clock.seconds(0.5)
JOINT_CHECK_INTERVAL = clock.seconds(0.2)
"""Time between two looks at a joint voter set: shorter, as it needs more voters than either set alone."""
REQUEST_TIMEOUT = clock.seconds(0.4)
LONGEST_STEP = CHECK_INTERVAL + 2 * REQUEST_TIMEOUT + 2 * proposer.REQUEST_TIMEOUT
"""Longest time from one step to the next: the pause, a survey, both phases of a ballot, and an announcement."""
MIN_JOINT_TIME = witness.LEASE + 2 * witness.LEASE_MARGIN
"""How long a joint voter set stays in force at least, so that leases granted under the former one have expired."""


class JointStart(typing.NamedTuple):
    """The number of a joint voter set, and when it was first seen in force."""

    number: int
    since: datetime.timedelta


def choose_voter_set_value(value: bytes, voter_set: replica_set.VoterSet, proposed: replica_set.VoterSet) -> bytes:
    """What a ballot proposes: the proposed voter set, unless one newer than the one it replaces may be chosen."""
    accepted = codec.untagged(value) if value else voter_set
    return value if accepted.number > voter_set.number else codec.tagged(proposed)


def can_leave_joint(
    voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str], waited: datetime.timedelta
) -> bool:
    """Whether a joint voter set may give way to the coming one.

    Leases of before it must have expired, and a majority of the coming voters must vote under it.
    """
    return waited > MIN_JOINT_TIME and 2 * len(set(voter_set.coming) & set(ready)) > len(set(voter_set.coming))


def is_joint_in_force(voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str]) -> bool:
    """Whether a majority of the present voters votes under a joint set, so that no quorum of the former one is left.

    Leases that the former set granted run from before that moment.
    """
    return 2 * len(set(voter_set.present) & set(ready)) > len(set(voter_set.present))


class WitnessChanges:
    """The control primary's work on the voter set; any later primary continues where this one stopped."""

    def __init__(
        self,
        link: proposer.MessageLink,
        voters: proposer.Proposer,
        address: str,
        is_leader: collections.abc.Callable[[], bool],
        target_voters: collections.abc.Callable[[], tuple[str, ...]],
    ):
        self.link = link
        self.proposer = voters
        self.address = address
        self.is_leader = is_leader
        self.target_voters = target_voters
        self.joint_start = JointStart(0, clock.ZERO)
        self.counts = {"rosters": 0}

    async def run(self) -> None:
        """Make one step at a time while this node leads the control group."""
        while True:
            await clock.sleep(JOINT_CHECK_INTERVAL if self.proposer.voter_set.coming else CHECK_INTERVAL)
            if self.is_leader() and self.proposer.voter_set.number > 0:
                try:
                    await self.step()
                except result.RequestError as refusal:
                    events.report(
                        LOG,
                        events.EventFields(
                            events.Event.VOTER_SET_CHANGE_FAILED, member=self.address, reason=str(refusal)
                        ),
                        "change of voter set {} failed: {}",
                        self.proposer.voter_set.number,
                        refusal,
                    )

    async def step(self) -> None:
        """Begin a change where the target differs, or go on with one that is under way.

        The target is asked for in each step, also while a change is under way: who answers may have to see in time
        that a voter is lost.

        Raises: ``result.RequestError`` as ``Proposer.change`` does.
        """
        voter_set, target = self.proposer.voter_set, self.target_voters()
        if voter_set.coming:
            await self.step_joint(voter_set)
            return
        if target and set(target) != set(voter_set.present):
            await self.propose(voter_set, voter_set.present, target)

    async def step_joint(self, voter_set: replica_set.VoterSet) -> None:
        """End a joint voter set if it may end; else announce it to those that do not vote under it yet.

        Raises: ``result.RequestError`` as ``Proposer.change`` does.
        """
        ready = await self.voters_under(voter_set)
        if is_joint_in_force(voter_set, ready) and self.joint_start.number != voter_set.number:
            self.joint_start = JointStart(voter_set.number, clock.now())
        is_known = self.joint_start.number == voter_set.number
        if is_known and can_leave_joint(voter_set, ready, clock.now() - self.joint_start.since):
            await self.propose(voter_set, voter_set.coming, ())
        else:
            await self.announce(voter_set, (), frozenset(ready))

    async def voters_under(self, voter_set: replica_set.VoterSet) -> list[str]:
        """The present and coming voters that vote under this voter set."""
        ready = []

        async def survey(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                reply = await self.link.request(address, replica_set.WitnessStateRequest(self.address), REQUEST_TIMEOUT)
                if reply.voting and reply.voter_set.number == voter_set.number:
                    ready.append(address)

        async with supervision.Group() as group:
            for address in voter_set.everyone():
                group.create_task(survey(address))
        return ready

    async def propose(self, voter_set: replica_set.VoterSet, present: tuple[str, ...], coming: tuple[str, ...]) -> None:
        """Have the next voter set chosen by those that vote under this one, and announce it to all concerned.

        Raises: ``result.RequestError`` as ``Proposer.change`` does.
        """
        counter = voter_set.number // witness_bootstrap.COUNTER_UNIT + 1
        number = witness_bootstrap.voter_set_number(counter, self.proposer.environment.randomness)
        proposed = replica_set.VoterSet(number, present, coming)
        chosen = await self.proposer.change(
            replica_set.VOTER_SET, self.address, lambda value: choose_voter_set_value(value, voter_set, proposed)
        )
        self.counts["rosters"] += 1
        successor = codec.untagged(chosen.value)
        events.report(
            LOG,
            events.EventFields(events.Event.VOTER_SET_CHOSEN, epoch=successor.number, member=self.address),
            "voter set {} chosen in ballot {}: present {}, coming {}; was {}: present {}, coming {}",
            successor.number,
            chosen.ballot,
            successor.present,
            successor.coming,
            voter_set.number,
            voter_set.present,
            voter_set.coming,
        )
        self.proposer.learn(successor)
        await self.announce(successor, voter_set.everyone())

    async def announce(
        self,
        voter_set: replica_set.VoterSet,
        former: tuple[str, ...] = (),
        informed: frozenset[str] = frozenset(),
    ) -> None:
        """Send a chosen voter set to present, coming and former voters, but for those that know it."""

        async def send(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                await self.link.request(address, replica_set.VoterSetChosen(voter_set), REQUEST_TIMEOUT)

        async with supervision.Group() as group:
            for address in dict.fromkeys((*voter_set.everyone(), *former)):
                if address not in informed:
                    group.create_task(send(address))
