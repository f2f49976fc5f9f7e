"""Changes of the voter set in a running cluster, by way of a joint voter set that needs both majorities.

The steps follow joint consensus in Raft (Ongaro and Ousterhout, 2014, section 6).
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
"""Check interval during a joint voter set; shorter, because a joint set needs more voters than either set alone."""
REQUEST_TIMEOUT = clock.seconds(0.4)
LONGEST_STEP = CHECK_INTERVAL + 2 * REQUEST_TIMEOUT + 2 * proposer.REQUEST_TIMEOUT
"""Longest time from one step to the next: the pause, a state query, both phases of a ballot, and an announcement."""
MIN_JOINT_TIME = witness.LEASE + 2 * witness.LEASE_MARGIN
"""Minimum time for which a joint voter set stays in force, so that leases granted under the former set expire."""


class JointStart(typing.NamedTuple):
    """The number of a joint voter set, and the time at which it was first seen in force."""

    number: int
    since: datetime.timedelta


def choose_voter_set_value(value: bytes, voter_set: replica_set.VoterSet, proposed: replica_set.VoterSet) -> bytes:
    """Return the value to propose: the proposed voter set, unless a set newer than the current one may be chosen."""
    accepted = codec.untagged(value) if value else voter_set
    return value if accepted.number > voter_set.number else codec.tagged(proposed)


def can_leave_joint(
    voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str], waited: datetime.timedelta
) -> bool:
    """Return whether the coming voter set may replace a joint one.

    Leases granted before the joint set must have expired, and a majority of the coming voters must vote under it.
    """
    return waited > MIN_JOINT_TIME and 2 * len(set(voter_set.coming) & set(ready)) > len(set(voter_set.coming))


def is_joint_in_force(voter_set: replica_set.VoterSet, ready: collections.abc.Collection[str]) -> bool:
    """Return whether a majority of the present voters votes under a joint set, so the former set has no quorum left.

    All leases granted by the former set started before that moment.
    """
    return 2 * len(set(voter_set.present) & set(ready)) > len(set(voter_set.present))


class WitnessChanges:
    """Changes the voter set; runs on the primary of the control group, and any later primary can continue a change."""

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
        """Take one step at a time while this node leads the control group."""
        while True:
            await clock.sleep(JOINT_CHECK_INTERVAL if self.proposer.voter_set.coming else CHECK_INTERVAL)
            if self.is_leader() and self.proposer.voter_set.number > 0:
                try:
                    await self.step()
                except result.RequestError as error:
                    events.report(
                        LOG,
                        events.EventFields(
                            events.Event.VOTER_SET_CHANGE_FAILED, member=self.address, reason=str(error)
                        ),
                        "change of voter set {} failed: {}",
                        self.proposer.voter_set.number,
                        error,
                    )

    async def step(self) -> None:
        """Begin a change if the target differs, or continue the current one.

        ``target_voters`` is called in every step, also during a change: it may need regular calls to notice in time
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
        """End a joint voter set if possible, or else announce it to the voters that do not vote under it yet.

        Raises: ``result.RequestError`` as ``Proposer.change`` does.
        """
        ready = await self.voters_under(voter_set)
        if is_joint_in_force(voter_set, ready) and self.joint_start.number != voter_set.number:
            self.joint_start = JointStart(voter_set.number, clock.now())
        is_in_force = self.joint_start.number == voter_set.number
        if is_in_force and can_leave_joint(voter_set, ready, clock.now() - self.joint_start.since):
            await self.propose(voter_set, voter_set.coming, ())
        else:
            await self.announce(voter_set, (), frozenset(ready))

    async def voters_under(self, voter_set: replica_set.VoterSet) -> list[str]:
        """Return the present and coming voters that vote under this voter set."""
        ready = []

        async def request_state(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                reply = await self.link.request(address, replica_set.WitnessStateRequest(self.address), REQUEST_TIMEOUT)
                if reply.voting and reply.voter_set.number == voter_set.number:
                    ready.append(address)

        async with supervision.Group() as group:
            for address in voter_set.all_voters():
                group.create_task(request_state(address))
        return ready

    async def propose(self, voter_set: replica_set.VoterSet, present: tuple[str, ...], coming: tuple[str, ...]) -> None:
        """Propose the next voter set to the voters of this one, and announce the chosen set to all voters of both.

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
        await self.announce(successor, voter_set.all_voters())

    async def announce(
        self,
        voter_set: replica_set.VoterSet,
        former: tuple[str, ...] = (),
        informed: frozenset[str] = frozenset(),
    ) -> None:
        """Send a chosen voter set to present, coming and former voters, except those that know it already."""

        async def send(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                await self.link.request(address, replica_set.VoterSetChosen(voter_set), REQUEST_TIMEOUT)

        async with supervision.Group() as group:
            for address in dict.fromkeys((*voter_set.all_voters(), *former)):
                if address not in informed:
                    group.create_task(send(address))
