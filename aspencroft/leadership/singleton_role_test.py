"""Tests of ``aspencroft.leadership.singleton_role``."""

import asyncio
import dataclasses

from aspencroft.configuration import control_state
from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member


def test_every_node_agrees_on_the_first():
    members = {
        f"n:{number}": cluster_member.ClusterMember(
            f"n:{number}", 1, 0, cluster_member.LIVE, "a", "core", "", False, ()
        )
        for number in range(9)
    }
    preferred = singleton_role.preferred_holder("residency", members)
    reordered = dict(reversed(members.items()))
    assert singleton_role.preferred_holder("residency", reordered) == preferred
    members[preferred] = dataclasses.replace(members[preferred], state=cluster_member.DOWN)
    assert singleton_role.preferred_holder("residency", members) not in ("", preferred)


def test_a_renewal_asked_for_before_the_lease_was_ended_does_not_revive_it():
    async def scenario():
        replies: list[asyncio.Future] = []

        async def submit(group_id, command, within):
            replies.append(asyncio.get_running_loop().create_future())
            return await replies[-1]

        async def acquire(end_meanwhile: bool) -> None:
            renewal = asyncio.ensure_future(role.acquire())
            await asyncio.sleep(0.01)
            if end_meanwhile:
                role.end_lease()
            replies[-1].set_result(control_state.RoleAcquired("residency", len(replies), "n:1", 1))
            await renewal

        role = singleton_role.SingletonRole("residency", "n:1", 1, dict, submit)
        await acquire(end_meanwhile=False)
        assert role.has_lease() and role.epoch == 1
        await acquire(end_meanwhile=True)
        assert not role.has_lease() and role.epoch == 1
        await acquire(end_meanwhile=False)
        assert role.has_lease() and role.epoch == 3

    asyncio.run(scenario())
