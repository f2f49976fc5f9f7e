"""Tests of the model worker's engine and a plain service's slots."""

import asyncio
import dataclasses

from aspencroft.emulator import engine
from aspencroft.runtime import clock
from aspencroft.simulation import loop

SHAPE = engine.Shape(
    slots=4,
    queue=3,
    step=clock.seconds(0.002),
    step_more=clock.seconds(0.001),
    reading=100_000.0,
    chunk=1000,
    memory=10_000,
    stride=10,
    at_once=5,
)


def played(scenario):
    simulated = loop.SimLoop()
    try:
        return simulated.run_until_complete(scenario())
    finally:
        simulated.bury()


def job(parts, most=20, within=100.0):
    return engine.Job("m", parts, most, clock.seconds(within))


async def until_over(own, *jobs):
    running = asyncio.ensure_future(own.run())
    for one in jobs:
        own.offer(one)
    for one in jobs:
        while one.state != engine.OVER:
            one.news.clear()
            await one.news.wait()
    running.cancel()
    return clock.now().total_seconds()


def test_tokens_come_more_slowly_the_more_requests_run():
    async def alone():
        return await until_over(engine.Engine(SHAPE), job((), 100))

    async def four():
        return await until_over(engine.Engine(SHAPE), *(job((), 100) for _ in range(4)))

    assert abs(played(alone) - 0.2) < 0.01 and abs(played(four) - 0.5) < 0.01


def test_a_part_kept_is_not_read_again_but_only_if_all_before_it_are_kept():
    async def scenario():
        own = engine.Engine(SHAPE)
        await until_over(own, job((("a", 2000), ("b", 1000))))
        first = own.counts["tokens read"]
        await until_over(own, job((("a", 2000), ("c", 500))))
        second = own.counts["tokens read"] - first
        await until_over(own, job((("x", 10), ("b", 1000))))
        return first, second, own.counts["tokens read"] - first - second

    assert played(scenario) == (3000, 500, 1010)


def test_prompts_are_read_in_pieces_between_the_tokens_of_others():
    async def scenario():
        own = engine.Engine(SHAPE)
        short, long = job((("a", 10),), 40), job((("b", 8000),), 10)
        times = []
        running = asyncio.ensure_future(own.run())
        own.offer(short)
        own.offer(long)
        while short.state != engine.OVER:
            short.news.clear()
            await short.news.wait()
            times.append((own.events(short), long.state))
        running.cancel()
        return times

    assert (1, engine.RUNNING) in played(scenario) or (1, engine.READING) in played(scenario)


def test_parts_longest_unused_give_way_and_the_newest_request_is_put_back_when_memory_runs_out():
    async def scenario():
        own = engine.Engine(SHAPE)
        for name in "abc":
            await until_over(own, job(((name, 3000),)))
        await until_over(own, job((("d", 3000),)))
        gone = [name for name in "abcd" if f"m {name}" not in own.ready]
        older, newer = job((("e", 4000),), 3000), job((("f", 2500),), 3000)
        await until_over(own, older, newer)
        return gone, older.put_back, newer.put_back, older.whole(), newer.whole()

    gone, older, newer, whole, also = played(scenario)
    assert gone == ["a"] and older == 0 and newer >= 1 and whole and also


def test_memory_is_never_taken_twice_and_nothing_stays_pinned():
    async def scenario():
        own = engine.Engine(dataclasses.replace(SHAPE, queue=100))
        jobs = [job(((f"s{number % 3}", 1500), (f"own{number}", 200)), 300) for number in range(30)]
        running = asyncio.ensure_future(own.run())
        for one in jobs:
            own.offer(one)
        most = 0
        while any(one.state != engine.OVER for one in jobs):
            await clock.sleep(clock.seconds(0.01))
            most = max(most, own.taken())
            assert own.in_use() <= own.taken()
            for one in jobs[:5]:
                if one.made > 100:
                    own.drop(one)
        running.cancel()
        return most, dict(own.pins), own.active, all(one.whole() for one in jobs[5:])

    most, pins, active, whole = played(scenario)
    assert most <= SHAPE.memory and not pins and not active and whole


def test_what_is_larger_than_the_memory_or_finds_the_queue_full_is_turned_away_and_lateness_tells_whether_it_ran():
    async def scenario():
        own = engine.Engine(SHAPE)
        turned = 0
        for one in [job((("a", 11_000),)), *(job((), 100, 0.05) for _ in range(8))]:
            try:
                own.offer(one)
            except engine.Full:
                turned += 1
        running = asyncio.ensure_future(own.run())
        own.waiting[0].end = clock.seconds(-1)
        first, second = own.waiting[0], own.waiting[1]
        while second.state != engine.OVER:
            second.news.clear()
            await second.news.wait()
        running.cancel()
        return turned, first.late, first.ran_at, second.late, second.ran_at is not None

    assert played(scenario) == (2, True, None, True, True)


def test_a_plain_service_serves_in_order_and_loses_no_slot():
    async def scenario():
        own, order, told = engine.Slots(2, 3), [], []

        async def ask(number, within):
            try:
                await own.enter(clock.now() + clock.seconds(within))
            except (engine.Full, engine.Late) as error:
                told.append(type(error).__name__)
                return
            order.append(number)
            try:
                await clock.sleep(clock.seconds(0.1))
            finally:
                own.leave()

        tasks = [asyncio.ensure_future(ask(number, 0.05 if number == 2 else 1)) for number in range(6)]
        await clock.sleep(clock.seconds(0.06))
        tasks[3].cancel()
        await asyncio.wait(tasks)
        return order, sorted(told), own.running, len(own.waiting)

    assert played(scenario) == ([0, 1, 4], ["Full", "Late"], 0, 0)
