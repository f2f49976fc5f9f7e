"""What session groups hold in a simulated fleet: large programs stop nobody, and no machine exceeds its memory."""

import asyncio
import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages
from aspencroft.simulation import groups, simulated_cluster

SIZE = simulated_cluster.Size(edges=1, storages=3, cores=3, apart=True)
GROUPS = 12
MORE = {"talk_pairs": GROUPS, "memory_limit": 290_000_000}
KEEP, TIME_LIMIT, WITHIN = clock.seconds(60), clock.seconds(3), clock.seconds(2)
LARGE, SMALL = 1_000_000, 340


class Program:
    """A program of retained turns in one group, as an edge sends them."""

    def __init__(self, harness: groups.ClusterHarness, group: int, name: str, size: int):
        self.harness = harness
        self.group = group
        self.name = name
        self.size = size
        self.last = ""
        self.turns = 0

    async def submit(self, command):
        """Submit a command at the edge; the reply or the refusal."""
        edge = self.harness.cluster.nodes["edge-0"]
        return await self.harness.ask_node("edge-0", edge.submit(self.group, command, WITHIN))

    async def begin(self, previous: str) -> str:
        """Begin a turn; its attempt, or "" if it was refused for want of room."""
        self.turns += 1
        attempt = f"{self.name} {self.turns}"
        begin = entry.BeginTurn(
            self.name, self.name, attempt, previous, 20, 0, True, KEEP, TIME_LIMIT, "edge-0:1 0", "", ()
        )
        reply = await self.submit(entry.BeginRetainedTurn(begin, self.size))
        if isinstance(reply, entry.TurnBegun | entry.LargeChainBegun):
            return attempt
        assert isinstance(reply, result.RequestError) and reply.result is result.ResultCode.OVERLOADED, reply
        return ""

    async def turn(self, previous: str = "") -> bool:
        """Take a whole turn; whether it was taken in."""
        attempt = await self.begin(previous)
        if not attempt:
            return False
        end = entry.EndTurn(self.name, self.name, attempt, messages.DONE, bytes(self.size), b"out\n", 20, "w")
        assert isinstance(await self.submit(end), messages.Closed)
        self.last = attempt
        return True

    async def go_on(self) -> bool:
        """Take the next turn of the program's chain; whether it was taken in."""
        return await self.turn(self.last)


def held(harness: groups.ClusterHarness) -> dict[str, int]:
    """What the replicas of each live storage node hold and have reserved."""
    cluster = harness.cluster
    return {
        name: sum(cluster.nodes[name].payload.held_bytes().values()) for name in cluster.storages if cluster.alive(name)
    }


def assert_within_memory(harness: groups.ClusterHarness) -> None:
    """Every machine holds no more than its plan allows."""
    found = held(harness)
    total = harness.cluster.nodes[next(iter(found))].payload_plan().total_bytes
    assert max(found.values()) <= total, (found, total)


def test_large_turns_of_one_program_do_not_keep_others_of_its_group_from_going_on():
    """Guards against kept turns that reach no worker because another program filled their group."""

    async def scenario(harness: groups.ClusterHarness) -> None:
        await asyncio.sleep(5)
        small = [Program(harness, 2, f"small {number}", SMALL) for number in range(3)]
        assert all([await one.turn() for one in small])
        large = Program(harness, 2, "large", LARGE)
        assert await large.turn()
        parent = large.last
        assert all([await large.turn(parent) for _ in range(9)]), "ten turns of a megabyte"
        assert all([await one.go_on() for one in small])
        assert await Program(harness, 2, "new", SMALL).turn()
        while await large.turn(parent):
            assert_within_memory(harness)
        assert all([await one.go_on() for one in small]), "others go on beside a program that is refused"
        assert await Program(harness, 2, "newer", SMALL).turn()

    groups.play(5, scenario, SIZE, MORE)


def test_programs_of_all_groups_together_stay_within_the_memory_of_each_machine_and_small_ones_go_on():
    """Guards against machines killed for their memory by large turns that are counted only when they have ended."""

    async def scenario(harness: groups.ClusterHarness) -> None:
        await asyncio.sleep(5)
        small = [Program(harness, group, f"small {group}", SMALL) for group in range(1, GROUPS + 1)]
        assert all([await one.turn() for one in small])
        large = [
            Program(harness, group, f"large {group} {n}", 4 * LARGE) for group in range(1, GROUPS + 1) for n in (1, 2)
        ]

        async def fill(program: Program) -> int:
            taken = 0
            while attempt := await program.begin(program.last):
                assert_within_memory(harness)
                await asyncio.sleep(0.05)
                end = entry.EndTurn(program.name, "", attempt, messages.DONE, bytes(program.size), b"", 1, "w")
                assert isinstance(await program.submit(end), messages.Closed)
                program.last, taken = attempt, taken + 1
            return taken

        taken = await asyncio.gather(*map(fill, large))
        assert_within_memory(harness)
        assert sum(taken) >= 12, taken
        assert all([await one.go_on() for one in small])
        cluster = harness.cluster
        victim = random.Random(1).choice(cluster.storages)
        cluster.kill(victim)
        await asyncio.sleep(15)
        assert_within_memory(harness)
        assert all([await one.go_on() for one in small]), "after the loss of a machine"
        assert_within_memory(harness)

    groups.play(6, scenario, SIZE, MORE)


def test_after_a_restart_of_all_machines_programs_go_on_before_all_members_are_known():
    """Guards against refusals for want of room while restarted machines don't know yet how many share the groups."""

    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        await asyncio.sleep(8)
        programs = [Program(harness, 1 + n % GROUPS, f"p{n}", LARGE // 2) for n in range(10 * GROUPS)]
        assert all(await asyncio.gather(*(one.turn() for one in programs)))
        for name in cluster.storages:
            cluster.kill(name)
        for name in cluster.storages:
            cluster.start(name)
        await cluster.until(lambda: all(cluster.leader(group) for group in range(1, GROUPS + 1)), 10, "led")
        assert not any(cluster.nodes[name].drain_orders.members_known() for name in cluster.storages)
        small = [Program(harness, group, f"p{group - 1}", SMALL) for group in range(1, GROUPS + 1)]
        for one in small:
            one.last, one.turns = f"{one.name} 1", 1
        assert all(await asyncio.gather(*(one.go_on() for one in small)))

    size = simulated_cluster.Size(edges=1, storages=10, cores=3, apart=True)
    groups.play(7, scenario, size, {**MORE, "memory_limit": 150_000_000, "losses": 2})
