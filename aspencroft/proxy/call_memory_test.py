"""The memory that calls reserve while they run: answers, output of retained turns, and answers under operation keys."""

import dataclasses

import pytest

from aspencroft.emulator import worker_server
from aspencroft.errors import result
from aspencroft.proxy import events, forwarder, forwarder_test, memory_budget
from aspencroft.runtime import clock
from aspencroft.sessions import operation_keys, turn_history

LIMIT = 1 << 20


async def reserved_call(budget: memory_budget.MemoryBudget, **changes):
    """A call with a reservation of a budget."""
    memory = await budget.admit("p", 0, clock.now())
    return dataclasses.replace(forwarder_test.make_call(**changes), memory=memory)


def answer_of(answer_bytes: int):
    """Have one worker answer a call with so many bytes; return the result code, and what was held at most and after."""

    async def scenario(edge, workers):
        workers[0].work = worker_server.Work(answer_bytes=answer_bytes)
        budget = memory_budget.MemoryBudget(LIMIT)
        one = await reserved_call(budget)
        try:
            answer = await edge.handle(one)
            seen = len(answer.body) >= answer_bytes, result.Ran.RAN
        except result.RequestError as error:
            seen = error.result, error.ran
        one.memory.release()
        open_connections = edge.pool.open_count - sum(map(len, edge.pool.idle_connections.values()))
        return seen, budget.most_held, budget.held, open_connections

    return forwarder_test.run_scenario(scenario, {}, attempts=1)


def test_an_answer_is_reserved_before_it_is_read():
    """Guards against large answers of workers that take an edge over its memory."""
    seen, most, left, open_connections = answer_of(LIMIT // 2)
    assert seen == (True, result.Ran.RAN) and LIMIT // 2 <= most <= LIMIT and (left, open_connections) == (0, 0)


def test_an_answer_that_does_not_fit_is_refused_as_of_unknown_outcome_and_leaves_nothing():
    """Guards against a refusal that says that nothing ran, and against connections left behind."""
    seen, most, left, open_connections = answer_of(2 * LIMIT)
    assert seen == (result.ResultCode.OVERLOADED, result.Ran.UNKNOWN)
    assert most <= LIMIT and (left, open_connections) == (0, 0)


def test_the_output_of_a_retained_turn_is_reserved_in_steps_and_bounded():
    """Guards against a stream without end that fills the memory of the edge, or a turn that no chain can take."""

    async def scenario(edge, workers):
        budget = memory_budget.MemoryBudget(64 << 20)
        one = await reserved_call(budget)
        state = edge.admit(one)
        reader = events.Reader()
        for size in (1000, 1 << 20):
            reader.feed(b"data: " + b"x" * size + b"\n\n")
            await edge.reserve_output(state, reader)
            assert reader.held_bytes() <= budget.held < reader.held_bytes() + forwarder.OUTPUT_STEP_BYTES
        reader.feed(b"data: " + b"x" * turn_history.MAX_CHAIN_BYTES)
        with pytest.raises(result.RequestError) as refused:
            await edge.reserve_output(state, reader)
        assert (refused.value.result, refused.value.ran) == (result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN)

    forwarder_test.run_scenario(scenario, {})


def test_an_answer_too_large_to_be_stored_is_not_queued_for_its_key():
    """Guards against answers that fill the queue to the session groups, where they would only be dropped."""

    async def scenario(edge, workers):
        offered = []
        edge.completions.offer = lambda group, command: offered.append(command)
        for size in (operation_keys.MAX_ANSWER_BYTES, operation_keys.MAX_ANSWER_BYTES + 1):
            state = edge.admit(dataclasses.replace(forwarder_test.make_call(), key="k"))
            edge.finish_key_later(state, forwarder.call.Answer(200, (), bytes(size)))
        return [(one.status, len(one.body)) for one in offered]

    assert forwarder_test.run_scenario(scenario, {}) == [(200, operation_keys.MAX_ANSWER_BYTES), (0, 0)]
