"""Tests of the callers' own rules, against an edge that answers as told."""

import random

from aspencroft.emulator import agent
from aspencroft.errors import result
from aspencroft.proxy import call
from aspencroft.simulation import loop

CHAT = agent.Use("chat", "h", "/chat/", "stream", 0.25, 3.0, 1, retained=True)
SAFE = agent.Use("light", "h", "/light/", "safe", 0.1, 1.0, 2)
ONCE = agent.Use("alert", "h", "/alert/", "non_idempotent", 0.1, 1.0, 2)
KEYED = agent.Use("lock", "h", "/lock/", "keyed", 0.1, 1.0, 2)


class Told:
    """An edge that answers as told, one entry for each request; the last one for all others."""

    name = "edge-0"

    def __init__(self, script):
        self.script = list(script)
        self.seen = []

    async def ask(self, one):
        self.seen.append(one)
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, Exception):
            raise step
        if isinstance(step, bytes):
            return call.Answer(200, ((b"x-seal", b"s"),), b"", self.parts(step))
        return call.Answer(step, ((b"x-seal", b"s"),), b"ok")

    async def parts(self, body):
        yield body
        if body.endswith(b"!"):
            raise agent.Gone(True)


def played(script, scenario):
    simulated, door = loop.SimLoop(), Told(script)
    agents = agent.Agents(lambda: [door], random.Random(1))
    try:
        return simulated.run_until_complete(scenario(agents)), agents, door
    finally:
        simulated.bury()


def tries(script, use):
    async def scenario(agents):
        return await agents.ask(use, agents.make(use, b"x", key="k" if use is KEYED else ""))

    found, _agents, door = played(script, scenario)
    assert len({one.attempt for one in door.seen}) == len(door.seen)
    return len(door.seen), found.good(), found.ended


PROMISE = result.RequestError(result.ResultCode.OVERLOADED, retry=None)
UNSURE = result.RequestError(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN)


def test_only_what_may_be_repeated_is_sent_again():
    assert tries([UNSURE, 200], SAFE)[:2] == (2, True) and tries([agent.Gone(True), UNSURE, 200], KEYED)[:2] == (
        3,
        True,
    )
    assert tries([UNSURE, 200], ONCE)[:2] == (1, False) and tries([PROMISE, 200], ONCE)[:2] == (2, True)
    assert tries([agent.Gone(False), 200], ONCE)[:2] == (2, True) and tries([agent.Gone(True), 200], ONCE)[:2] == (
        1,
        False,
    )
    assert tries([404, 200], SAFE)[:2] == (1, False) and tries([200], SAFE)[:2] == (1, True)
    assert tries([result.RequestError(result.ResultCode.UNKNOWN_ROUTE), 200], SAFE)[:2] == (1, False)
    assert tries([500], SAFE)[:2] == (3, False)


def test_a_time_to_return_is_honoured_up_to_a_third_of_what_is_left():
    later = result.RequestError(result.ResultCode.OVERLOADED, retry=agent.clock.seconds(0.2))
    assert abs(tries([later, 200], ONCE)[2] - 0.2) < 0.01
    assert PROMISE.retry.total_seconds() == 1 and abs(tries([PROMISE, 200], ONCE)[2] - 1 / 3) < 0.01


def test_turns_go_on_from_one_another_and_a_failed_one_is_sent_again_from_its_start():
    habit = agent.Habit(CHAT, (), turns=3, helper_share=0.0, runaway=0.0, leaves=0.0)
    done, _agents, door = played([b"data: a\n\n", b"data: b!", b"data: c\n\n"], lambda agents: agents.program(habit))
    good = [one.attempt for one in door.seen]
    assert done.outcome == agent.ENDED
    assert [one.previous for one in door.seen[:3]] == ["", good[0], good[0]] and door.seen[1].body == door.seen[2].body
    assert door.seen[3].previous == good[2] if len(door.seen) > 3 else True


def test_without_a_kept_history_a_turn_brings_all_before_it():
    use = agent.dataclasses.replace(CHAT, retained=False)
    habit = agent.Habit(use, (), turns=3, helper_share=0.0, runaway=0.0, leaves=0.0)
    _, _, door = played([b"data: a\n\n"], lambda agents: agents.program(habit))
    for before, after in zip(door.seen, door.seen[1:], strict=False):
        assert after.body.startswith(before.body + b"a\n") and not after.previous


def test_a_runaway_goes_on_until_its_budget_stops_it_and_others_end_with_it():
    spent = result.RequestError(result.ResultCode.OUT_OF_BUDGET)
    for runaway, more in ((1.0, 3), (0.0, 1)):
        habit = agent.Habit(CHAT, (), turns=5, helper_share=0.0, runaway=runaway, leaves=0.0)
        done, _, door = played([b"data: a\n\n", spent], lambda agents: agents.program(habit))
        assert done.outcome == agent.SPENT and len(door.seen) >= 1 + more


def test_failed_calls_end_a_program_but_a_tools_own_error_does_not():
    habit = agent.Habit(CHAT, (ONCE,), turns=4, tool_share=1.0, helper_share=0.0, runaway=0.0, leaves=0.0)
    done, *_ = played([b"data: a\n\n", UNSURE], lambda agents: agents.program(habit))
    assert done.outcome == agent.FAILED
    one = agent.Program("p", habit, 1, 0.0, 1.0, False)
    found, *_ = played([500], lambda agents: agents.tool(one, "s", ONCE))
    assert found.status == 500


def test_helpers_go_on_from_their_parents_turn_in_sessions_of_their_own():
    habit = agent.Habit(CHAT, (), turns=2, helper_share=1.0, runaway=0.0, leaves=0.0)
    for seed in range(5):
        simulated, door = loop.SimLoop(), Told([b"data: a\n\n"])
        agents = agent.Agents(lambda: [door], random.Random(seed))
        done = simulated.run_until_complete(agents.program(habit))
        simulated.bury()
        assert done.outcome == agent.ENDED
        helpers = [one for one in door.seen if one.session.count(".") == 3]
        mains = {one.attempt for one in door.seen if one.session.count(".") == 1}
        heads = {one.previous for one in helpers if one.previous in mains}
        if helpers:
            assert heads and len({one.session for one in helpers}) == len(helpers) / habit.helper_turns
            return
    raise AssertionError("no helper in five programs")
