"""Tests of an edge's view of the workers: the list, loads, failures, and that a draining worker gets no requests."""

import asyncio
import collections.abc
import random

from aspencroft.proxy import instance, instances, worker_selection
from aspencroft.runtime import clock
from aspencroft.simulation import loop


def worker(name: str, service: str = "chat", draining: bool = False, cold: float = 0.0) -> instance.Instance:
    """A listed worker."""
    return instance.Instance(name, f"{name}:80", service, "a", "v1", 8, draining, clock.seconds(cold))


def run_scenario(scenario: collections.abc.Callable) -> None:
    """Run a scenario with one edge's view of the workers in simulated time."""
    simulated = loop.SimLoop()
    simulated.run_until_complete(scenario(instances.Instances()))


def names(found) -> list[str]:
    """The names of workers."""
    return [one.name for one in found]


def test_the_list_determines_the_workers_of_each_service():
    async def scenario(view):
        assert view.of("chat") == () and view.is_excluded("a") and view.age() is None
        view.update([worker("a"), worker("b", draining=True), worker("c", "tool")], clock.now())
        assert names(view.of("chat")) == ["a"] and names(view.of("tool")) == ["c"]
        assert [view.is_excluded(name) for name in "abcd"] == [False, True, False, True]
        await asyncio.sleep(1)
        assert view.age() == clock.seconds(1)
        view.confirm(clock.now())
        view.update([worker("x")], clock.seconds(0.5) - clock.seconds(1))
        assert view.age() == clock.ZERO and names(view.of("chat")) == ["a"], "an older list is ignored"
        view.update([], clock.now())
        assert view.of("chat") == () and view.is_excluded("a")

    run_scenario(scenario)


def test_a_worker_seen_draining_stays_so_when_an_older_list_comes_late():
    async def scenario(view):
        view.update([worker("a"), worker("b", draining=True)], clock.now())
        await asyncio.sleep(0.1)
        view.update([worker("a"), worker("b")], clock.now())
        assert names(view.of("chat")) == ["a"] and view.is_excluded("b")

    run_scenario(scenario)


def test_a_draining_worker_is_never_chosen_and_is_excluded_at_the_time_of_sending():
    for seed in range(150):
        random_source = random.Random(seed)

        async def scenario(view):
            drained, gone, alive, sent = set(), set(), {f"i-{number}" for number in range(6)}, 0
            for step in range(120):
                draw = random_source.random()
                if draw < 0.08 and len(alive - drained) > 1:
                    drained.add(random_source.choice(sorted(alive - drained)))
                if draw > 0.92 and drained & alive:
                    gone.add(removed := random_source.choice(sorted(drained & alive)))
                    alive.discard(removed)
                if 0.4 < draw < 0.45:
                    alive.add(f"i-{6 + step}")
                listed = [worker(name, draining=name in drained) for name in sorted(alive)]
                random_source.shuffle(listed)
                if random_source.random() < 0.6:
                    view.update(listed, clock.now())
                    shown = {one.name for one in listed if one.draining}
                    assert all(view.is_excluded(name) for name in shown | gone)
                for parts in ((), ((f"{step % 7}", 900),)):
                    last = random_source.choice(["", *sorted(drained), *sorted(gone)])
                    chosen = worker_selection.choose(view.candidates("chat"), parts, last, "a", random_source)
                    await asyncio.sleep(random_source.random() * 0.3)
                    if chosen.name and random_source.random() < 0.5:
                        view.update(listed, clock.now())
                        if view.is_excluded(chosen.name):
                            assert chosen.name in drained | gone
                            continue
                        assert chosen.name not in drained | gone
                        sent += 1
                    for record in (
                        view.record_connection_close,
                        view.record_answer,
                        view.record_failure,
                        view.record_rejection,
                    ):
                        if chosen.name and random_source.random() < 0.1:
                            record(chosen.name)
            assert sent > 20

        run_scenario(scenario)


def test_own_requests_count_fully_and_the_reported_load_of_others_decays():
    async def scenario(view):
        view.update([worker("a")], clock.now())
        for _ in range(3):
            view.begin_request("a")
        view.record_load("a", 7, 2, 16)
        assert view.load("a") == 9.0 and view.candidates("chat")[0].slots == 16
        view.end_request("a")
        assert view.load("a") == 8.0
        await asyncio.sleep(1)
        assert 2 < view.load("a") < 5
        await asyncio.sleep(9)
        assert 2 <= view.load("a") < 2.01
        view.record_load("a", 0, 0, 0)
        assert view.load("a") == 2.0, "never less than the edge's own requests"
        for _ in range(5):
            view.end_request("a")
        assert view.load("a") == 0.0

    run_scenario(scenario)


def test_failures_make_a_worker_suspect_for_increasing_times_until_it_answers():
    async def scenario(view):
        view.update([worker("a")], clock.now())
        spans = []
        for _ in range(8):
            view.record_failure("a")
            view.record_failure("a")
            began = clock.now()
            assert view.candidates("chat")[0].suspect and not view.is_excluded("a")
            while view.candidates("chat")[0].suspect:
                await asyncio.sleep(0.05)
            spans.append((clock.now() - began).total_seconds())
        assert spans[0] < 0.35 and spans[1] > 1.4 * spans[0] and 7 < spans[-1] < 9, spans
        view.record_failure("a")
        view.record_answer("a")
        assert not view.candidates("chat")[0].suspect
        view.record_failure("a")
        await asyncio.sleep(0.35)
        assert not view.candidates("chat")[0].suspect

    run_scenario(scenario)


def test_a_worker_that_rejected_a_request_is_avoided_for_a_short_time():
    async def scenario(view):
        view.update([worker("a"), worker("b")], clock.now())
        view.record_rejection("a")
        assert [one.rejecting for one in view.candidates("chat")] == [True, False]
        await asyncio.sleep(0.06)
        assert not view.candidates("chat")[0].rejecting
        for _ in range(8):
            view.record_rejection("a")
            await asyncio.sleep(0.9)
        view.record_rejection("a")
        await asyncio.sleep(0.7)
        assert view.candidates("chat")[0].rejecting
        await asyncio.sleep(0.2)
        assert not view.candidates("chat")[0].rejecting
        assert names(view.candidates("chat", frozenset("a"))) == ["b"]

    run_scenario(scenario)


def test_only_several_closed_connections_in_a_row_make_a_worker_suspect():
    async def scenario(view):
        view.update([worker("a")], clock.now())
        for _ in range(5):
            view.record_answer("a")
            view.record_connection_close("a")
            assert not view.candidates("chat")[0].suspect
            view.record_answer("a")
            view.record_answer("a")
            assert not view.candidates("chat")[0].suspect
        for _ in range(3):
            view.record_answer("a")
            view.record_connection_close("a")
        assert view.candidates("chat")[0].suspect and not view.is_excluded("a")
        await asyncio.sleep(1.6)
        assert not view.candidates("chat")[0].suspect

    run_scenario(scenario)


def test_a_worker_whose_address_was_reused_is_excluded_for_longer_each_time():
    async def scenario(view):
        view.update([worker("a"), worker("b")], clock.now())
        for span in (4, 8):
            view.record_misdirection("a")
            assert view.is_excluded("a") and names(view.of("chat")) == ["b"]
            await asyncio.sleep(span - 0.1)
            assert view.is_excluded("a")
            await asyncio.sleep(0.2)
            assert not view.is_excluded("a")

    run_scenario(scenario)


def test_cold_workers_become_warm_with_time():
    async def scenario(view):
        view.update([worker("a", cold=2.0)], clock.now())
        assert view.candidates("chat")[0].warming_up
        await asyncio.sleep(2.1)
        assert not view.candidates("chat")[0].warming_up

    run_scenario(scenario)


def test_the_state_of_a_removed_worker_is_dropped_once_no_request_runs_there():
    async def scenario(view):
        view.update([worker("a"), worker("b", draining=True)], clock.now())
        view.begin_request("a")
        view.record_load("b", 1, 0, 8)
        view.update([], clock.now())
        assert set(view.states) == {"a"}
        view.end_request("a")
        assert not view.states
        for number in range(200):
            await asyncio.sleep(1)
            view.update([worker(f"i-{number}", draining=True)], clock.now())
        assert len(view.drained_at) < 70

    run_scenario(scenario)
