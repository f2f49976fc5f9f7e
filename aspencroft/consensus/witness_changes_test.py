"""Tests of voter set changes: a second loss at every step, a set that few voters know, and safety of chosen values."""

import pytest

from aspencroft.consensus import replica_set
from aspencroft.simulation import voter_walk
from aspencroft.simulation import voters as simulated_voters
from aspencroft.transport import codec

LOST, REPLACEMENT = "e:1", "f:1"
SECOND_LOSSES = ("a:1", "b:1", "d:1")
SPARE_OF_SEVEN = "h:1"


def replace_lost(voters: simulated_voters.Voters) -> None:
    """Take a voter down for good and name a replacement in the target voter set."""
    voters.network.down.add(LOST)
    voters.wished = (*(address for address in voters.present if address != LOST), voters.addresses[-1])


def lose_at(step_of_loss: int, lost: tuple[str, ...], present: int) -> None:
    """Replace a lost voter and lose others at one message of the change.

    Writes must still succeed and the target voter set must come into force.
    """

    async def scenario(voters: simulated_voters.Voters) -> None:
        await voters.written(1, 4)
        replace_lost(voters)
        first_step = voters.network.steps
        losses = []

        def lose_more(step: int) -> None:
            if step == first_step + step_of_loss:
                voters.network.down.update(lost)
                if voters.leader in lost:
                    voters.leader = "b:1"
                losses.append(step)

        voters.network.before = lose_more
        number = 2
        while not (voters.settled() and losses) and number < 60:
            await voters.written(number, 3.5)
            await simulated_voters.clock.sleep(simulated_voters.clock.seconds(0.2))
            number += 1
        assert voters.settled(), voters.state()
        await voters.written(number, 3.5)

    simulated_voters.play(scenario, present)


def test_a_second_loss_at_every_step_of_a_voters_replacement_leaves_a_quorum_and_all_that_was_chosen():
    for address in (*SECOND_LOSSES, REPLACEMENT):
        for step in range(1, 260, 3):
            lose_at(step, (address,), 5)


def test_two_more_losses_at_any_step_leave_a_quorum_of_seven_voters():
    for lost in (("a:1", SPARE_OF_SEVEN), ("a:1", "d:1"), ("f:1", "g:1")):
        for step in range(1, 400, 9):
            lose_at(step, lost, 7)


@pytest.mark.parametrize(("voters", "every"), [(5, 17), (7, 41)])
@pytest.mark.parametrize("loss", voter_walk.Loss)
def test_further_losses_of_each_sort_at_messages_of_a_replacement(voters, every, loss):
    """A sample of the messages; ``python -m aspencroft.simulation.voter_walk`` covers all of them."""
    scenes = voter_walk.scenes(voters, every, [loss])
    assert len(scenes) > 25
    assert [text for text in map(voter_walk.play, scenes) if text] == []


def test_a_set_that_a_single_witness_accepted_stops_nobody():
    async def scenario(voters: simulated_voters.Voters) -> None:
        await voters.written(1, 4)
        replace_lost(voters)

        def is_lost(address: str, message) -> bool:
            if isinstance(message, replica_set.Accept) and message.register == replica_set.VOTER_SET:
                return address != "d:1" and not codec.untagged(message.value).coming
            return False

        voters.network.lost = is_lost
        await voters.until(lambda: any(voter.voter_set.coming for voter in voters.network.voters.values()), 4)
        for number in range(2, 30):
            await voters.written(number, 2)
            await simulated_voters.clock.sleep(simulated_voters.clock.seconds(0.1))
        accepted = voters.network.voters["d:1"]
        assert not codec.untagged(accepted.ballot(replica_set.VOTER_SET).value).coming
        assert accepted.voter_set.coming, "the accepted voter set came into force before it was chosen"
        voters.network.lost = lambda address, message: False
        voters.leader = "b:1"
        await voters.until(voters.settled, 5)

    simulated_voters.play(scenario)


def test_witnesses_that_were_not_told_of_a_voter_set_hear_of_it_before_the_next_loss():
    async def scenario(voters: simulated_voters.Voters) -> None:
        await voters.written(1, 4)
        replace_lost(voters)
        voters.network.lost = lambda address, message: (
            isinstance(message, replica_set.VoterSetChosen) and address in ("b:1", "c:1")
        )
        await voters.until(lambda: voters.network.voters["a:1"].voter_set.coming != (), 5)
        await simulated_voters.clock.sleep(simulated_voters.clock.seconds(2))
        voters.leader = ""
        voters.network.lost = lambda address, message: False
        await voters.written(2, 3)
        await simulated_voters.clock.sleep(simulated_voters.clock.seconds(0.1))
        assert len({voters.network.voters[address].voter_set.number for address in ("a:1", "b:1", "c:1", "d:1")}) == 1
        voters.leader = "b:1"
        await voters.until(voters.settled, 6)
        voters.network.down.update(("a:1",))
        await voters.written(3, 3)

    simulated_voters.play(scenario)


def test_a_newcomer_learns_only_from_witnesses_that_hold_its_voter_set():
    """A voter that learns from a source under the former set would miss what a quorum of that set chooses afterwards.

    A quorum of the next set that counts this voter would then not know a chosen value.
    """

    async def scenario(voters: simulated_voters.Voters) -> None:
        joint = replica_set.VoterSet(voters.first.number * 2, voters.present, (*voters.present[:4], REPLACEMENT))
        voters.leader = ""
        voters.proposers[REPLACEMENT].learn(joint)
        await voters.network.voters["a:1"].adopt(joint)
        await simulated_voters.clock.sleep(simulated_voters.clock.seconds(4))
        assert not voters.network.voters[REPLACEMENT].voting
        for address in ("b:1", "c:1"):
            await voters.network.voters[address].adopt(joint)
        await voters.until(lambda: voters.network.voters[REPLACEMENT].voting, 3)

    simulated_voters.play(scenario)
