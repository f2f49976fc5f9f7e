"""Tests of changing the voter set: a second loss at every step, a set that few heard of, what stays readable."""

from aspencroft.consensus import replica_set
from aspencroft.simulation import voters as simulated_voters
from aspencroft.transport import codec

LOST, FRESH = "e:1", "f:1"
SECONDS = ("a:1", "b:1", "d:1", FRESH)


def replace_lost(voters: simulated_voters.Voters) -> None:
    """A machine is gone for good, and the wished set names another one in its place."""
    voters.network.down.add(LOST)
    voters.wished = (*(one for one in voters.present if one != LOST), FRESH)


def test_a_second_loss_at_every_step_of_a_voters_replacement_leaves_a_quorum_and_all_that_was_chosen():
    async def acts(voters: simulated_voters.Voters) -> None:
        await voters.written(1, 4)
        replace_lost(voters)
        begun = voters.network.steps

        def second_loss(step: int) -> None:
            if step == begun + step_of_loss[0]:
                voters.network.down.add(second)
                if second == voters.leader:
                    voters.leader = "b:1"
                happened.append(step)

        voters.network.before = second_loss
        number = 2
        while not (voters.settled() and happened) and number < 60:
            await voters.written(number, 3.5)
            await simulated_voters.clock.sleep(simulated_voters.clock.seconds(0.2))
            number += 1
        assert voters.settled(), voters.state()
        await voters.written(number, 3.5)

    for second in SECONDS:
        for step_of_loss in ([step] for step in range(1, 260, 3)):
            happened = []
            simulated_voters.play(acts)


def test_a_set_that_a_single_witness_accepted_stops_nobody():
    async def acts(voters: simulated_voters.Voters) -> None:
        await voters.written(1, 4)
        replace_lost(voters)

        def lost(address: str, message) -> bool:
            if isinstance(message, replica_set.Accept) and message.register == replica_set.VOTER_SET:
                return address != "d:1" and not codec.untagged(message.value).coming
            return False

        voters.network.lost = lost
        await voters.until(lambda: any(one.voter_set.coming for one in voters.network.voters.values()), 4)
        for number in range(2, 30):
            await voters.written(number, 2)
            await simulated_voters.clock.sleep(simulated_voters.clock.seconds(0.1))
        accepted = voters.network.voters["d:1"]
        assert not codec.untagged(accepted.ballot(replica_set.VOTER_SET).value).coming
        assert accepted.voter_set.coming, "in force before it was chosen"
        voters.network.lost = lambda address, message: False
        voters.leader = "b:1"
        await voters.until(voters.settled, 5)

    simulated_voters.play(acts)


def test_witnesses_that_were_not_told_of_a_voter_set_hear_of_it_before_the_next_loss():
    async def acts(voters: simulated_voters.Voters) -> None:
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
        assert len({voters.network.voters[one].voter_set.number for one in ("a:1", "b:1", "c:1", "d:1")}) == 1
        voters.leader = "b:1"
        await voters.until(voters.settled, 6)
        voters.network.down.update(("a:1",))
        await voters.written(3, 3)

    simulated_voters.play(acts)


def test_a_newcomer_learns_only_from_witnesses_that_hold_its_voter_set():
    """What a quorum of the former set chose after the newcomer was taught would be unknown to a quorum of the next."""

    async def acts(voters: simulated_voters.Voters) -> None:
        joint = replica_set.VoterSet(voters.first.number * 2, voters.present, (*voters.present[:4], FRESH))
        voters.leader = ""
        voters.proposers[FRESH].learn(joint)
        await voters.network.voters["a:1"].adopt(joint)
        await simulated_voters.clock.sleep(simulated_voters.clock.seconds(4))
        assert not voters.network.voters[FRESH].voting
        for address in ("b:1", "c:1"):
            await voters.network.voters[address].adopt(joint)
        await voters.until(lambda: voters.network.voters[FRESH].voting, 3)

    simulated_voters.play(acts)
