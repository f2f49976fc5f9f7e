"""The memory budget of an edge: never over its limit, never negative, all given back, and fair between holders."""

import asyncio
import random

import pytest

from aspencroft.errors import result
from aspencroft.proxy import memory_budget
from aspencroft.runtime import clock
from aspencroft.simulation import loop

LIMIT = 8 << 20
LARGE = 1 << 20
BODY, ANSWER = memory_budget.Purpose.BODY, memory_budget.Purpose.ANSWER


def run(scenario):
    """Run a scenario with a budget in simulated time."""
    simulated = loop.SimLoop()
    try:
        return simulated.run_until_complete(scenario(memory_budget.MemoryBudget(LIMIT)))
    finally:
        simulated.bury()


def soon(seconds: float = 1.0):
    return clock.now() + clock.seconds(seconds)


def check(budget: memory_budget.MemoryBudget, reservations) -> None:
    """Compare the counts of a budget with the reservations that exist."""
    held = sum(one.size() for one in reservations)
    assert budget.held == held == sum(share.held for share in (budget.begun, budget.small, budget.large))
    assert budget.held == budget.by_holder.total() == budget.by_purpose.total() <= budget.limit
    assert all(0 <= share.held <= share.limit for share in (budget.begun, budget.small, budget.large))
    assert all(size > 0 for size in budget.by_holder.values()) and min(budget.by_purpose.values(), default=0) >= 0
    assert 0 <= budget.waiting_bytes <= budget.waiting_limit


async def call(budget, randomness, living) -> None:
    """One call as an edge makes it; it may be refused, cancelled or time out at each of its waits."""
    size = randomness.choice([0, 100, 64 << 10, LARGE, 3 * LARGE, 2 * LIMIT])
    reservation = None
    try:
        holder = f"program {randomness.randrange(4)}"
        reservation = await budget.admit(holder, size, soon(randomness.choice([-1.0, 0.1, 1.0])))
        living.append(reservation)
        await asyncio.sleep(randomness.random())
        if randomness.random() < 0.3:
            reservation.shrink(BODY, size // 2)
        await reservation.grow(ANSWER, randomness.choice([10, LARGE, 2 * LIMIT]), soon(randomness.random()))
        await asyncio.sleep(randomness.random())
    except result.RequestError as refusal:
        assert refusal.result is result.ResultCode.OVERLOADED and refusal.retry
        assert refusal.ran is (result.Ran.NOT_RUN if reservation is None else result.Ran.UNKNOWN)
    finally:
        if reservation is not None:
            reservation.release()
            living.remove(reservation)


@pytest.mark.parametrize("seed", range(40))
def test_a_budget_is_never_exceeded_and_all_bytes_come_back_after_refusals_cancellations_and_timeouts(seed):
    """Guards against edges that go over their memory, or that lose a part of it with each lost client."""

    async def scenario(budget):
        randomness, living, tasks = random.Random(seed), [], []
        for _ in range(120):
            tasks.append(asyncio.ensure_future(call(budget, randomness, living)))
            await asyncio.sleep(randomness.random() * 0.05)
            if randomness.random() < 0.3:
                randomness.choice(tasks).cancel()
            check(budget, living)
        await asyncio.wait(tasks)
        assert all(task.cancelled() or task.exception() is None for task in tasks)
        check(budget, [])
        assert budget.held == budget.waiting_bytes == 0
        assert not any(share.waiters for share in (budget.begun, budget.small, budget.large))
        return budget.counts["waited"]

    assert run(scenario) > 0


def test_large_requests_leave_room_for_small_ones_and_small_ones_for_large():
    """Guards against one size of requests that keeps the other from being served."""

    async def scenario(budget):
        large = [await budget.admit("a", LARGE, soon()) for _ in range(budget.large.limit // LARGE)]
        with pytest.raises(result.RequestError):
            await budget.admit("b", LARGE, soon(0.1))
        await budget.admit("c", 1000, soon(0))
        for one in large:
            one.release()
        small = [await budget.admit("a", 64 << 10, soon()) for _ in range(LIMIT // 2 // (64 << 10))]
        waiting = asyncio.ensure_future(budget.admit("b", 4 * LARGE, soon()))
        await asyncio.sleep(0)
        later = asyncio.ensure_future(budget.admit("d", 64 << 10, soon()))
        await asyncio.sleep(0)
        for one in small:
            one.release()
        await waiting
        await later

    run(scenario)


def test_calls_that_have_begun_get_memory_that_new_requests_can_not_take():
    """Guards against calls that hold their bodies and wait for each other until their deadlines."""

    async def scenario(budget):
        calls = [await budget.admit(f"p{number}", LARGE, soon()) for number in range(5)]
        waiting = asyncio.ensure_future(budget.admit("new", LARGE, soon()))
        await asyncio.sleep(0)
        await calls[0].grow(ANSWER, LARGE, soon(0))
        assert not waiting.done()
        calls[1].release()
        await waiting

    run(scenario)


def test_the_holder_with_the_fewest_bytes_is_next_and_nobody_passes_its_own_earlier_request():
    """Guards against one program with many large requests that keeps others waiting."""

    async def scenario(budget):
        order: list[str] = []

        async def wait(name, holder):
            await budget.admit(holder, LARGE, soon(5))
            order.append(name)

        held = [await budget.admit("busy", LARGE, soon()) for _ in range(5)]
        waiting = []
        for name, holder in (("busy 1", "busy"), ("busy 2", "busy"), ("calm 1", "calm"), ("calm 2", "calm")):
            waiting.append(asyncio.ensure_future(wait(name, holder)))
            await asyncio.sleep(0)
        for one in held[:3]:
            one.release()
            await asyncio.sleep(0.01)
        assert order == ["calm 1", "calm 2", "busy 1"]
        held[3].release()
        await asyncio.wait(waiting)

    run(scenario)


def test_what_can_never_fit_and_what_comes_while_too_many_wait_is_refused_at_once():
    """Guards against refusals that come late, and against waiting requests that take memory without a bound."""

    async def scenario(budget):
        began = clock.now()
        with pytest.raises(result.RequestError):
            await budget.admit("a", LIMIT, soon())
        await budget.admit("a", 5 * LARGE, soon())
        most = budget.waiting_limit // memory_budget.ARRIVED_BYTES
        tasks = [asyncio.ensure_future(budget.admit("b", LARGE, soon(9))) for _ in range(most + 1)]
        await asyncio.sleep(0)
        assert [task.done() for task in tasks] == [False] * most + [True]
        assert isinstance(tasks[-1].exception(), result.RequestError)
        assert clock.now() == began and budget.counts["refused"] == 2
        for task in tasks[:-1]:
            task.cancel()
        await asyncio.wait(tasks)
        assert budget.waiting_bytes == 0

    run(scenario)


def test_without_a_limit_bytes_are_only_counted():
    async def scenario(_):
        budget = memory_budget.MemoryBudget()
        reservation = await budget.admit("a", 1 << 40, soon(0))
        await reservation.grow(ANSWER, 1 << 40, soon(0))
        assert budget.held == 2 << 40
        reservation.release()
        assert budget.held == 0 and {one.name for one in budget.samples()} >= {"aspencroft_call_memory_bytes"}

    run(scenario)


def test_bytes_granted_in_the_moment_in_which_the_wait_is_cancelled_go_to_the_next():
    """Guards against memory that is lost when a client leaves just as its request gets its turn."""

    async def scenario(budget):
        first = await budget.admit("a", 5 * LARGE, soon())
        leaving = asyncio.ensure_future(budget.admit("b", 5 * LARGE, soon()))
        await asyncio.sleep(0)
        waiting = asyncio.ensure_future(budget.admit("c", 5 * LARGE, soon()))
        await asyncio.sleep(0)
        first.release()
        leaving.cancel()
        await asyncio.wait([leaving])
        assert leaving.cancelled()
        check(budget, [await waiting])

    run(scenario)
