"""Each kind of call in each trouble: what must hold for all scenes, and the table in the docs."""

import asyncio
import pathlib

import pytest

from aspencroft.runtime import clock
from aspencroft.simulation import call_troubles

DOCS = pathlib.Path(__file__).parents[2] / "docs" / "control-under-trouble-calls.md"

HELD_BEYOND = 0.25
CASES = pytest.mark.parametrize("kind", call_troubles.KINDS, ids=lambda one: one.name.replace(" ", "-"))


@CASES
def test_each_trouble_leaves_every_rule_whole_and_the_table_as_it_is_kept(kind):
    kept = DOCS.read_text()
    for moment in call_troubles.MOMENTS:
        scenes = [call_troubles.play(kind, trouble) for trouble in moment.troubles(kind)]
        row = call_troubles.Row(kind, moment.name, scenes)
        for seen in row.seen:
            place = (kind.name, moment.name, seen)
            assert not seen.wrong, place
            assert seen.workers <= call_troubles.ROUTE["attempts"], place
            if not kind.repeatable:
                assert seen.runs <= 1 and seen.runs_of_key <= 1, place
            if seen.not_run:
                assert not seen.runs, place
            if seen.told != call_troubles.NOBODY[0]:
                assert seen.held <= call_troubles.TIMEOUT + HELD_BEYOND, place
        assert f"| {' | '.join(row.cells())} |\n" in kept, (
            "make the table anew: python -m aspencroft.simulation.call_troubles"
        )


def test_the_table_in_the_docs_has_no_other_rows():
    rows = [line for line in DOCS.read_text().splitlines() if line.startswith("| ")]
    assert len(rows) == 2 + len(call_troubles.KINDS) * len(call_troubles.MOMENTS)


def test_a_key_is_held_for_the_window_of_the_settings():
    keyed = next(one for one in call_troubles.KINDS if one.key)
    call_scenario = call_troubles.CallScenario(keyed, call_troubles.Trouble())

    async def scenario():
        await call_scenario.start()
        edge = call_scenario.edge("edge-1")
        call_scenario.loop.create_task(call_troubles.drain_endings(edge, call_scenario.group))
        first = await call_scenario.ask(edge, call_scenario.call_of("a1", "k"))
        for _ in range(int(call_troubles.KEY_WINDOW.total_seconds()) - 1):
            call_scenario.group.tick()
            await clock.sleep(clock.seconds(1))
        repeat = await call_scenario.ask(edge, call_scenario.call_of("a3", "k"))
        return first == repeat, len(call_scenario.runs_of("a1")), len(call_scenario.runs_of("a3"))

    try:
        assert call_scenario.loop.run_until_complete(scenario()) == (True, 1, 0)
    finally:
        call_scenario.loop.bury()


def test_a_turn_that_cannot_be_kept_is_not_held_beyond_the_time_of_its_route():
    turn = next(one for one in call_troubles.KINDS if one.budget)
    call_scenario = call_troubles.CallScenario(turn, call_troubles.Trouble(group_commands=1))

    async def scenario():
        for life in call_scenario.lives:
            life.engine.slowness = 45.0
        await call_scenario.start()
        told, _, _ = await call_scenario.ask(call_scenario.edge("edge-1"), call_scenario.call_of("a1"))
        return told, clock.now().total_seconds()

    try:
        told, held = call_scenario.loop.run_until_complete(scenario())
    finally:
        call_scenario.loop.bury()
    assert told == "stream broken off, OUTCOME_UNKNOWN, may have run"
    assert call_troubles.TIMEOUT < held <= call_troubles.TIMEOUT + HELD_BEYOND


def test_repeats_of_a_key_at_work_never_run_whatever_takeovers_come_between():
    keyed = next(one for one in call_troubles.KINDS if one.key)
    for takeover in range(0, 30):
        call_scenario = call_troubles.CallScenario(keyed, call_troubles.Trouble())

        async def scenario(call_scenario=call_scenario, takeover=takeover):
            await call_scenario.start()
            edges = [call_scenario.edge("edge-1"), call_scenario.edge("edge-2")]
            for edge in edges:
                call_scenario.loop.create_task(call_troubles.drain_endings(edge, call_scenario.group))
            first = asyncio.ensure_future(call_scenario.ask(edges[0], call_scenario.call_of("a1", "k")))
            repeats = []
            for at in range(30):
                await clock.sleep(clock.seconds(0.001))
                repeats.append(
                    asyncio.ensure_future(call_scenario.ask(edges[at % 2], call_scenario.call_of(f"r{at}", "k")))
                )
                if at == takeover:
                    call_scenario.group.take_over()
            told = {(await one)[0] for one in repeats}
            bodies = {(await one)[2] for one in (first, *repeats)} - {""}
            return (await first)[0], told, bodies, sum(len(life.runs) for life in call_scenario.lives)

        try:
            first, told, bodies, runs = call_scenario.loop.run_until_complete(scenario())
        finally:
            call_scenario.loop.bury()
        assert (first, runs, len(bodies)) == ("answer 200", 1, 1)
        assert told == {"answer 200", "OPERATION_IN_PROGRESS, may have run"}
