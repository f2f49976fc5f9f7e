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
    time_now = [100.0]

    class Clock(asyncio.SelectorEventLoop):
        def time(self):
            return time_now[0]

    async def scenario():
        env = environment.Environment(None, None, None, None, None)
        voter = witness.Witness(env, None, "w:1", 5, replica_set.VoterSet(1, ("w:1",), ()))
        await voter.learn(replica_set.VoterSet(1, ("w:1",), ()), (replica_set.Ballot(0, 5, 5, value),))
        time_now[0] += 10
        request = replica_set.LeaseRequest(0, 5, value, str(member), witness.LEASE, 1)
        assert (await voter.renew_lease(request)).granted
        time_now[0] += 1
        assert not (await voter.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        time_now[0] += 10
        assert (await voter.prepare(replica_set.Prepare(0, 9, "b:1", 1))).granted
        assert not (await voter.renew_lease(request)).granted
        time_now[0] += 10
        fresh = codec.tagged(replica_set.ReplicaSet(0, 2, replica_set.ReplicaId("b:1", "y"), ()))
        assert (await voter.accept(replica_set.Accept(0, 9, fresh, 5, 1))).granted
        assert not (await voter.renew_lease(request)).granted
        assert (
            await voter.renew_lease(dataclasses.replace(request, ballot=9, value=fresh, lease_holder="b:1"))
        ).granted is False
        renewal = dataclasses.replace(
            request, ballot=9, value=fresh, lease_holder=str(replica_set.ReplicaId("b:1", "y"))
        )
        assert (await voter.renew_lease(renewal)).granted

    with asyncio.Runner(loop_factory=Clock) as runner:
        runner.run(scenario())
