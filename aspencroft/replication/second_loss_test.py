"""Tests of a second loss at every message of a change of members: nothing acknowledged goes, the group serves again."""

import asyncio
import collections.abc
import dataclasses

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import members

PRIMARY, BACKUP, THIRD, SPARE = "n0:1", "n1:1", "n2:1", "n3:1"
BACK_AFTER = 0.3
PACE = clock.seconds(0.02)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of members: how many losses are to be borne, what begins it, and when it has come to its end.

    ``from_whole`` says that the loss that began it is itself one to be borne, so that with losses of one the second one
    comes once the group is whole again.
    """

    losses: int
    begin: collections.abc.Callable[[members.Members], None]
    ended: collections.abc.Callable[[members.Members], bool]
    from_whole: bool = False


def whole_without(name: str):
    """Whether the record names as many members as are to hold what is answered, and not this node."""

    def check(cluster: members.Members) -> bool:
        standing = cluster.register.standing().members()
        return len(standing) >= cluster.goal and all(one.address != name for one in standing)

    return check


def lose(name: str):
    """The machine is gone for good."""

    def begin(cluster: members.Members) -> None:
        cluster.stop(name)
        cluster.gone.add(name)

    return begin


def grow(cluster: members.Members) -> None:
    """One member more is wished for."""
    cluster.goal += 1


class Traffic:
    """Writes one service after the other through whoever leads, and notes those that were acknowledged."""

    def __init__(self, cluster: members.Members):
        self.cluster = cluster
        self.acknowledged: list[str] = []

    async def run(self) -> None:
        """Write until cancelled."""
        number = 0
        while True:
            await clock.sleep(PACE)
            leader = self.cluster.leader()
            if not leader:
                continue
            number += 1
            try:
                await self.cluster.write(f"w{number}", leader, 1.0)
                self.acknowledged.append(f"w{number}")
            except result.RequestError:
                continue


async def played(cluster: members.Members, change: Change, step: int, second: str) -> bool:
    """Begin the change, wipe a second machine at a message of it; whether the change had ended before that message."""
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
            cluster.tasks.append(asyncio.ensure_future(cluster.wipe(second, BACK_AFTER)))

    cluster.before_step = count
    await asyncio.wait_for(wiped.wait(), 20)
    await clock.sleep(clock.seconds(0.1))
    before = len(traffic.acknowledged)
    await cluster.until(lambda: len(traffic.acknowledged) > before + 2, 8)
    leader = cluster.leader()
    services = cluster.group_replicas[leader].replica.state_machine.document["services"]
    assert set(traffic.acknowledged[:-1]) <= set(services), (step, second)
    return late[0]


def walk(folder, change: Change, seconds: tuple[str, ...]) -> None:
    """Lose each of some machines at each message of a change, until the change had ended before the loss."""
    copies = change.losses + 1
    for second in seconds:
        for step in range(1, 400):
            over = []

            async def scenario(cluster: members.Members, at=step, lost=second, over=over) -> None:
                over.append(await played(cluster, change, at, lost))

            members.play(folder / f"{second[:2]}-{step}", 5, scenario, copies, copies, copies)
            if over[0]:
                break
        assert over[0], "the change never ended"


def test_a_second_loss_at_every_message_while_a_replica_is_added(tmp_path):
    def grown(cluster: members.Members) -> bool:
        return len(cluster.register.standing().members()) >= cluster.goal

    walk(tmp_path, Change(1, grow, grown), (PRIMARY, BACKUP, THIRD))


def test_a_second_loss_at_every_message_of_a_drain(tmp_path):
    walk(tmp_path, Change(1, lambda cluster: cluster.drained.add(BACKUP), whole_without(BACKUP)), (PRIMARY, THIRD))


def test_a_second_loss_at_every_message_while_the_primary_is_drained(tmp_path):
    walk(tmp_path, Change(1, lambda cluster: cluster.drained.add(PRIMARY), whole_without(PRIMARY)), (BACKUP, THIRD))


def test_a_second_loss_from_the_moment_on_that_a_lost_member_is_replaced(tmp_path):
    walk(tmp_path, Change(1, lose(BACKUP), whole_without(BACKUP), from_whole=True), (PRIMARY, THIRD))


def test_with_two_losses_to_be_borne_a_second_one_at_every_message_of_a_replacement(tmp_path):
    walk(tmp_path, Change(2, lose(BACKUP), whole_without(BACKUP)), (PRIMARY, THIRD, SPARE))
