"""Tests of a second loss at every message of a member change: acknowledged writes survive and service resumes."""

import asyncio
import collections.abc
import dataclasses

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import members

PRIMARY, BACKUP, THIRD, SPARE = "n0:1", "n1:1", "n2:1", "n3:1"
RESTART_DELAY = 0.3
WRITE_INTERVAL = clock.seconds(0.02)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of members: the tolerated number of losses, what begins the change, and whether it has ended.

    With ``from_whole`` the change begins with a loss that already uses the tolerated one, so the second loss comes only
    once the group is complete again.
    """

    losses: int
    begin: collections.abc.Callable[[members.Members], None]
    ended: collections.abc.Callable[[members.Members], bool]
    from_whole: bool = False


def is_complete_without(name: str):
    """Return a check that the replica set has enough members without this node."""

    def check(cluster: members.Members) -> bool:
        standing = cluster.register.standing().members()
        return len(standing) >= cluster.goal and all(member.address != name for member in standing)

    return check


def lose_machine(name: str):
    """Return a function that stops a machine for good."""

    def begin(cluster: members.Members) -> None:
        cluster.stop(name)
        cluster.gone.add(name)

    return begin


def raise_goal(cluster: members.Members) -> None:
    """Raise the intended number of members by one."""
    cluster.goal += 1


class Traffic:
    """Writes services one after the other through the leader, and collects the acknowledged ones."""

    def __init__(self, cluster: members.Members):
        self.cluster = cluster
        self.acknowledged: list[str] = []

    async def run(self) -> None:
        """Write until cancelled."""
        number = 0
        while True:
            await clock.sleep(WRITE_INTERVAL)
            leader = self.cluster.leader()
            if not leader:
                continue
            number += 1
            try:
                await self.cluster.write(f"w{number}", leader, 1.0)
                self.acknowledged.append(f"w{number}")
            except result.RequestError:
                continue


async def run_with_second_loss(cluster: members.Members, change: Change, step: int, second: str) -> bool:
    """Begin the change and wipe a second machine at one of its messages; whether the change had ended before that."""
    cluster.run(*cluster.names)
    cluster.tasks.append(asyncio.ensure_future(cluster.tell_records()))
    await cluster.until(lambda: bool(cluster.leader()))
    traffic = Traffic(cluster)
    cluster.tasks.append(asyncio.ensure_future(traffic.run()))
    await cluster.until(lambda: len(traffic.acknowledged) > 3)
    change.begin(cluster)
    seen, wiped, late = 0, asyncio.Event(), []

    def count() -> None:
        nonlocal seen
        if wiped.is_set() or (change.from_whole and not change.ended(cluster)):
            return
        seen += 1
        if seen == step:
            late.append(change.ended(cluster) and seen > 30)
            wiped.set()
            cluster.tasks.append(asyncio.ensure_future(cluster.wipe(second, RESTART_DELAY)))

    cluster.before_step = count
    await asyncio.wait_for(wiped.wait(), 20)
    await clock.sleep(clock.seconds(0.1))
    before = len(traffic.acknowledged)
    await cluster.until(lambda: len(traffic.acknowledged) > before + 2, 8)
    leader = cluster.leader()
    services = cluster.group_replicas[leader].replica.state_machine.document["services"]
    assert set(traffic.acknowledged[:-1]) <= set(services), (step, second)
    return late[0]


def run_at_every_message(folder, change: Change, seconds: tuple[str, ...]) -> None:
    """Lose each of some machines at each message of a change, until the change ends before the loss."""
    copies = change.losses + 1
    for second in seconds:
        for step in range(1, 400):
            over = []

            async def scenario(cluster: members.Members, at=step, lost=second, over=over) -> None:
                over.append(await run_with_second_loss(cluster, change, at, lost))

            members.play(folder / f"{second[:2]}-{step}", 5, scenario, copies, copies, copies)
            if over[0]:
                break
        assert over[0], "the change never ended"


def test_a_second_loss_at_every_message_while_a_replica_is_added(tmp_path):
    def has_grown(cluster: members.Members) -> bool:
        return len(cluster.register.standing().members()) >= cluster.goal

    run_at_every_message(tmp_path, Change(1, raise_goal, has_grown), (PRIMARY, BACKUP, THIRD))


def test_a_second_loss_at_every_message_of_a_drain(tmp_path):
    run_at_every_message(
        tmp_path, Change(1, lambda cluster: cluster.drained.add(BACKUP), is_complete_without(BACKUP)), (PRIMARY, THIRD)
    )


def test_a_second_loss_at_every_message_while_the_primary_is_drained(tmp_path):
    run_at_every_message(
        tmp_path, Change(1, lambda cluster: cluster.drained.add(PRIMARY), is_complete_without(PRIMARY)), (BACKUP, THIRD)
    )


def test_a_second_loss_from_the_moment_on_that_a_lost_member_is_replaced(tmp_path):
    run_at_every_message(
        tmp_path, Change(1, lose_machine(BACKUP), is_complete_without(BACKUP), from_whole=True), (PRIMARY, THIRD)
    )


def test_with_two_losses_to_be_borne_a_second_one_at_every_message_of_a_replacement(tmp_path):
    run_at_every_message(
        tmp_path, Change(2, lose_machine(BACKUP), is_complete_without(BACKUP)), (PRIMARY, THIRD, SPARE)
    )
