"""Tests of ``aspencroft.consensus.witness``."""

import asyncio
import dataclasses

import pytest

from aspencroft.consensus import ballot, replica_set, witness
from aspencroft.runtime import clock, environment
from aspencroft.transport import codec


def test_no_claim_is_granted_below_a_raised_ballot():
    """An old primary must not renew its lease once a voter promised a higher ballot, even if others would reject it."""
    member = replica_set.ReplicaId("a:1", "x")
    value = codec.tagged(replica_set.ReplicaSet(0, 1, member, ()))
    current_time = [100.0]

    class ManualClockLoop(asyncio.SelectorEventLoop):
        def time(self):
            return current_time[0]

    async def scenario():
        env = environment.Environment(None, None, None, None, None)
        voter = witness.Witness(env, None, "w:1", 5, replica_set.VoterSet(1, ("w:1",), ()))
        await voter.learn(replica_set.VoterSet(1, ("w:1",), ()), (replica_set.Ballot(0, 5, 5, value),))
        current_time[0] += 10
        request = replica_set.LeaseRequest(0, 5, value, str(member), witness.LEASE, 1)
        assert (await voter.renew_lease(request)).granted
        current_time[0] += 1
        assert not (await voter.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        current_time[0] += 10
        assert (await voter.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        assert not (await voter.renew_lease(request)).granted
        current_time[0] += 10
        new_value = codec.tagged(replica_set.ReplicaSet(0, 2, replica_set.ReplicaId("b:1", "y"), ()))
        assert (await voter.accept(replica_set.Accept(0, 9, new_value, 5, 1))).granted
        assert not (await voter.renew_lease(request)).granted
        assert (
            await voter.renew_lease(dataclasses.replace(request, ballot=9, value=new_value, lease_holder="b:1"))
        ).granted is False
        renewal = dataclasses.replace(
            request, ballot=9, value=new_value, lease_holder=str(replica_set.ReplicaId("b:1", "y"))
        )
        assert (await voter.renew_lease(renewal)).granted

    with asyncio.Runner(loop_factory=ManualClockLoop) as runner:
        runner.run(scenario())


class FailingDisk:
    """A disk whose operations can be paused or made to fail; otherwise like the machine's disk."""

    def __init__(self, machine_disk):
        self.machine_disk = machine_disk
        self.is_full = False
        self.may_write = asyncio.Event()
        self.may_write.set()

    def __getattr__(self, name):
        return getattr(self.machine_disk, name)

    async def perform(self, work, *arguments):
        await self.may_write.wait()
        if self.is_full:
            raise OSError("no space is left")
        return await self.machine_disk.perform(work, *arguments)


VOTERS = replica_set.VoterSet(1, ("w:1", "w:2", "w:3"), ())
NEWER_VOTERS = replica_set.VoterSet(2, ("w:1", "w:2", "w:4"), ())
RECORD = codec.tagged(replica_set.ReplicaSet(0, 1, replica_set.ReplicaId("a:1", "x"), ()))


async def voter_on(folder, disk) -> witness.Witness:
    env = environment.Environment(None, disk, None, None, None)
    voter = witness.Witness(env, folder, "w:1", 5, VOTERS)
    await voter.start(is_first_start=True)
    return voter


async def with_a_record(folder, disk) -> witness.Witness:
    voter = await voter_on(folder, disk)
    assert (await voter.prepare(replica_set.Prepare(0, 5, "a:1", VOTERS.number))).granted
    assert (await voter.accept(replica_set.Accept(0, 5, RECORD, 5, VOTERS.number))).granted
    return voter


def test_a_voter_set_whose_write_failed_is_written_before_any_other_reply(tmp_path):
    async def scenario():
        disk = FailingDisk(environment.machine().disk)
        voter = await with_a_record(tmp_path / "voter", disk)
        disk.is_full = True
        with pytest.raises(OSError):
            await voter.adopt(NEWER_VOTERS)
        request = replica_set.LeaseRequest(0, 5, RECORD, "a:1", witness.LEASE, NEWER_VOTERS.number)
        with pytest.raises(OSError):
            await voter.renew_lease(request)
        disk.is_full = False
        await voter.renew_lease(request)
        again = await voter_on(tmp_path / "voter", environment.machine().disk)
        assert again.voter_set == voter.voter_set == NEWER_VOTERS and again.ballots == voter.ballots

    asyncio.run(scenario())


def test_no_reply_is_given_while_the_write_of_an_earlier_step_is_under_way(tmp_path):
    async def scenario():
        disk = FailingDisk(environment.machine().disk)
        voter = await with_a_record(tmp_path / "voter", disk)
        disk.may_write.clear()
        adopting = asyncio.ensure_future(voter.adopt(NEWER_VOTERS))
        await asyncio.sleep(0)
        rejecting = asyncio.ensure_future(voter.prepare(replica_set.Prepare(0, 3, "b:1", VOTERS.number)))
        await asyncio.sleep(0.05)
        assert not adopting.done() and not rejecting.done()
        disk.may_write.set()
        _, reply = await asyncio.gather(adopting, rejecting)
        assert not reply.granted and reply.voter_set == NEWER_VOTERS

    asyncio.run(scenario())


def test_an_accept_for_the_promise_of_an_earlier_incarnation_is_refused(tmp_path):
    """An earlier incarnation may have reported accepted values that were then lost with its disk.

    This holds no matter what the voter has learned from others since.
    """

    async def scenario():
        voter = await voter_on(tmp_path / "voter", environment.machine().disk)
        promise = await voter.prepare(replica_set.Prepare(0, 9, "b:1", VOTERS.number))
        assert promise.granted and promise.incarnation == 5
        assert not (await voter.accept(replica_set.Accept(0, 9, RECORD, 4, VOTERS.number))).granted
        assert (await voter.accept(replica_set.Accept(0, 9, RECORD, 5, VOTERS.number))).granted

    asyncio.run(scenario())


def test_a_ballot_that_took_longer_than_a_lease_is_not_known_to_be_chosen():
    """A voter that lost its disk in the meantime may vote again by then, and count towards another value."""
    reply = replica_set.BallotReply(True, 1, replica_set.Ballot(0, 9, 9, RECORD), VOTERS, clock.ZERO)
    replies, started = {"w:1": reply, "w:2": reply}, clock.seconds(100)
    assert ballot.is_chosen(VOTERS, replies, started, started + witness.LEASE)
    assert not ballot.is_chosen(VOTERS, replies, started, started + witness.LEASE + clock.seconds(0.001))
    assert not ballot.is_chosen(VOTERS, {"w:1": reply}, started, started)
