"""The memory that calls reserve while they run: answers, output of retained turns, and answers under operation keys."""

import dataclasses

import pytest

from aspencroft.emulator import worker_server
from aspencroft.errors import result
from aspencroft.proxy import completion_queue, events, forwarder, forwarder_test, memory_budget
from aspencroft.runtime import clock
from aspencroft.sessions import entry, operation_keys, turn_history

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


def test_queued_answers_are_bounded_together_and_those_left_out_stand_for_no_answer():
    """Guards against many answers under keys that wait in the queue to groups without a primary."""

    async def scenario(edge, workers):
        queue = edge.completions
        body = bytes(operation_keys.MAX_ANSWER_BYTES)
        for number in range(100):
            queue.offer(1, entry.CloseKey(f"k{number}", "a", "done", 200, (), body))
        queued = [queue.queues[1].get_nowait() for _ in range(100)]
        assert sum(len(one.body) for one in queued) == queue.answer_bytes <= completion_queue.MAX_ANSWER_BYTES
        assert {(one.status, len(one.body)) for one in queued} == {(200, len(body)), (0, 0)}

    forwarder_test.run_scenario(scenario, {})


def test_a_large_message_to_a_group_reserves_its_copies_only_while_it_is_under_way():
    """Guards against turns that take an edge over its memory on their way to and from session groups."""

    async def scenario(edge, workers):
        budget = memory_budget.MemoryBudget(8 << 20)
        one = await reserved_call(budget)
        state = edge.admit(one)
        async with edge.transfer(state, 1000):
            assert budget.held == 0
        async with edge.transfer(state, 1 << 20):
            assert budget.held == forwarder.TRANSFER_COPIES << 20
        assert budget.held == 0
        with pytest.raises(result.RequestError) as refused:
            async with edge.transfer(state, 4 << 20):
                raise AssertionError
        assert (refused.value.result, refused.value.ran) == (result.ResultCode.OVERLOADED, result.Ran.NOT_RUN)
        with pytest.raises(ValueError):
            async with edge.transfer(state, 1 << 20):
                raise ValueError
        assert budget.held == 0

    forwarder_test.run_scenario(scenario, {})
