"""Tests of ``aspencroft.pair.witness``."""

import asyncio
import dataclasses

import aspencroft.link.record as record
import aspencroft.pair.holding as holding
import aspencroft.pair.witness as witness
import aspencroft.seam.moment as moment
import aspencroft.seam.surroundings as surroundings


def test_no_claim_is_granted_below_a_raised_ballot():
    """An old primary must not renew once another's ballot is raised, whoever else would refuse it later."""
    member = holding.Member("a:1", "x")
    value = record.tagged(holding.Holding(0, 1, member, ()))
    clock = [100.0]

    class Clock(asyncio.SelectorEventLoop):
        def time(self):
            return clock[0]

    async def scene():
        around = surroundings.Surroundings(None, None, None, None, None)
        one = witness.Witness(around, None, "w:1", 5, holding.Roster(1, ("w:1",), ()))
        one.awake = moment.ZERO
        await one.learn(holding.Roster(1, ("w:1",), ()), (holding.Ballot(0, 5, 5, value),))
        clock[0] += 10
        claim = holding.Claim(0, 5, value, str(member), witness.CLAIM, 1)
        assert (await one.claim(claim)).granted
        clock[0] += 1
        assert not (await one.raise_ballot(holding.Raise(0, 9, "b:1", 1))).granted
        clock[0] += 10
        assert (await one.raise_ballot(holding.Raise(0, 9, "b:1", 1))).granted
        assert not (await one.claim(claim)).granted
        clock[0] += 10
        fresh = record.tagged(holding.Holding(0, 2, holding.Member("b:1", "y"), ()))
        assert (await one.accept(holding.Accept(0, 9, fresh, 5, 1))).granted
        assert not (await one.claim(claim)).granted
        assert (await one.claim(dataclasses.replace(claim, ballot=9, value=fresh, claimant="b:1"))).granted is False
        newer = dataclasses.replace(claim, ballot=9, value=fresh, claimant=str(holding.Member("b:1", "y")))
        assert (await one.claim(newer)).granted

    with asyncio.Runner(loop_factory=Clock) as runner:
        runner.run(scene())
