"""What a session group's losses cost against what it holds: commits, a lost backup, a lost primary.

A restart from the disk.
"""

import asyncio
import pathlib
import random
import shutil
import tempfile
import time

import defopt
import logbook

from aspencroft.benchmarks import slopes, virtual, virtual_cluster
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages

GROUP = 1
AT_ONCE = 64
SHAPE = virtual_cluster.Shape(nodes=14, cores=3, storages=4, regions=1, zones=3)


class Longest(virtual.VirtualLoop):
    """A virtual loop that also keeps the longest time for which each owner held it at a stretch."""

    def __init__(self):
        super().__init__()
        self.longest: dict[str, float] = {}

    def call_soon(self, callback, *arguments, context=None):
        """Run a callback next, and note how long it held the loop."""
        owner = context.get(virtual.OWNER, "") if context is not None else ""

        def timed(*given):
            before = self.booked_now()
            try:
                callback(*given)
            finally:
                self.longest[owner] = max(self.longest.get(owner, 0.0), self.booked_now() - before)

        return super().call_soon(timed, *arguments, context=context)

    @staticmethod
    def booked_now() -> float:
        """Processor seconds of this thread so far."""
        return time.thread_time()


async def fill(cluster: virtual_cluster.VirtualCluster, turns: int, size: int, chance: random.Random) -> None:
    """Begin and end so many turns, each of a program of its own, from an edge."""
    own = cluster.nodes["edge-0:1"]
    numbers = iter(range(turns))
    life = own.incarnation_id()

    async def work() -> None:
        for number in numbers:
            name = f"p{number}"
            begin = entry.BeginTurn(
                name,
                "s",
                f"{name}-t0",
                "",
                100,
                10_000,
                True,
                clock.seconds(86_400),
                clock.seconds(30),
                life,
                "",
                (),
            )
            await own.submit(GROUP, begin)
            await own.submit(
                GROUP,
                entry.EndTurn(
                    name,
                    "s",
                    f"{name}-t0",
                    messages.DONE,
                    chance.randbytes(size // 2),
                    chance.randbytes(size - size // 2),
                    10,
                    "i-1",
                ),
            )

    async with asyncio.TaskGroup() as group:
        for _ in range(AT_ONCE):
            group.create_task(work(), context=virtual.context_of(own.address))


def served(cluster: virtual_cluster.VirtualCluster, without: str) -> bool:
    """Whether the group is served with all its copies, none of them on a node."""
    for own in cluster.nodes.values():
        held = own.group_replicas.get(GROUP)
        if held is not None and held.has_lease() and held.status_reason == "serving":
            names = [one.address for one in held.known.members()]
            return len(names) > 1 and without not in names and all(name in cluster.nodes for name in names)
    return False


async def whole(turns: int, size: int, seed: int, folder: pathlib.Path, timer: slopes.Clock) -> None:
    """Fill a group, lose its backup, its primary, and start one again; figures go to the clock."""
    cluster = virtual_cluster.VirtualCluster(SHAPE, folder)
    loop = cluster.loop
    for name in cluster.roles:
        cluster.start(name)
    if await cluster.until(lambda: served(cluster, ""), 60) < 0:
        raise RuntimeError("the group did not form")
    holders = [one.address for one in cluster.nodes["edge-0:1"].failure_detector.records[GROUP].members()]
    before = virtual_cluster.Counters.of(cluster)
    await fill(cluster, turns, size, random.Random(seed))
    after = virtual_cluster.Counters.of(cluster)
    for name, address in (("primary", holders[0]), ("backup", holders[1])):
        timer.note(
            f"commits: {name}, ms a turn",
            1000 * (after.processor_seconds[address] - before.processor_seconds.get(address, 0.0)) / turns,
        )
    await asyncio.sleep(3)
    for name, place in (("backup lost", 1), ("primary lost", 0)):
        victim = cluster.nodes["edge-0:1"].failure_detector.records[GROUP].members()[place].address
        loop.longest.clear()
        before = virtual_cluster.Counters.of(cluster)
        cluster.kill(victim, True)
        took = await cluster.until(lambda: served(cluster, victim), 120)
        after = virtual_cluster.Counters.of(cluster)
        spent = {
            own: after.processor_seconds.get(own, 0.0) - before.processor_seconds.get(own, 0.0) for own in cluster.nodes
        }
        sent = sum(one.sent_bytes for one in after.traffic.values()) - sum(
            one.sent_bytes for one in before.traffic.values()
        )
        timer.note(f"{name}: whole again after, virtual s", took)
        timer.note(f"{name}: processor of the two that did most, s", sum(sorted(spent.values())[-2:]))
        timer.note(f"{name}: longest hold of a loop, ms", 1000 * max(loop.longest.values()))
        timer.note(f"{name}: bytes sent by all, KB", sent / 1000)
        cluster.start(victim)
        await asyncio.sleep(8)
        timer.note(f"{name}: its restart from the disk, longest hold, ms", 1000 * loop.longest.get(victim, 0.0))
    await cluster.end()


def repair(*, turns: list[int] = (100, 1000, 5000, 20_000), size: int = 1000, repeats: int = 3, seed: int = 1) -> None:
    """Losses of a session group's members against the turns that it holds; prints JSON.

    Virtual times leave out what processors take; that and the longest hold of a loop stand beside them.
    Disks are real, without
    syncs.

    :param turns: turns held, each of a program of its own
    :param size: bytes of history a turn
    :param repeats: seeds for each size
    :param seed: the first seed
    """
    slopes.bounded(list(turns), 1, 40_000)
    slopes.bounded([size], 2, 100_000)
    rows = []
    for count in turns:
        timer = slopes.Clock()
        for turn in range(repeats):
            folder = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-repair-"))
            try:
                with logbook.NullHandler().applicationbound(), asyncio.Runner(loop_factory=Longest) as runner:
                    runner.run(whole(count, size, seed + turn, folder, timer))
            finally:
                shutil.rmtree(folder, ignore_errors=True)
        rows.append({"turns": count, "bytes a turn": size, **timer.shown()})
    slopes.table("repair", seed, rows)


if __name__ == "__main__":
    defopt.run(repair, cli_options="has_default")
