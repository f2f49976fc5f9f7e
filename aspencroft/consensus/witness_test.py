"""Tests of ``aspencroft.consensus.witness``."""

import asyncio
import dataclasses

from aspencroft.consensus import replica_set, witness
from aspencroft.runtime import environment
from aspencroft.transport import codec


def test_no_claim_is_granted_below_a_raised_ballot():
    """An old primary must not renew once another's ballot is raised, whoever else would refuse it later."""
    member = replica_set.ReplicaId("a:1", "x")
    value = codec.tagged(replica_set.ReplicaSet(0, 1, member, ()))
    timer = [100.0]

    class Clock(asyncio.SelectorEventLoop):
        def time(self):
            return timer[0]

    async def scene():
        around = environment.Environment(None, None, None, None, None)
        one = witness.Witness(around, None, "w:1", 5, replica_set.VoterSet(1, ("w:1",), ()))
        await one.learn(replica_set.VoterSet(1, ("w:1",), ()), (replica_set.Ballot(0, 5, 5, value),))
        timer[0] += 10
        claim = replica_set.LeaseRequest(0, 5, value, str(member), witness.LEASE, 1)
        assert (await one.renew_lease(claim)).granted
        timer[0] += 1
        assert not (await one.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        timer[0] += 10
        assert (await one.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        assert not (await one.renew_lease(claim)).granted
        timer[0] += 10
        fresh = codec.tagged(replica_set.ReplicaSet(0, 2, replica_set.ReplicaId("b:1", "y"), ()))
        assert (await one.accept(replica_set.Accept(0, 9, fresh, 5, 1))).granted
        assert not (await one.renew_lease(claim)).granted
        assert (
            await one.renew_lease(dataclasses.replace(claim, ballot=9, value=fresh, lease_holder="b:1"))
        ).granted is False
        newer = dataclasses.replace(claim, ballot=9, value=fresh, lease_holder=str(replica_set.ReplicaId("b:1", "y")))
        assert (await one.renew_lease(newer)).granted

    with asyncio.Runner(loop_factory=Clock) as runner:
        runner.run(scene())
