"""Tests of the adaptive time-out for the replies of backups."""

import asyncio
import collections.abc

from aspencroft.replication import append_patience
from aspencroft.runtime import clock
from aspencroft.simulation import loop


class PausingLoop(loop.SimLoop):
    """A simulated loop whose process may pause: the clock advances, but no task runs."""

    paused_seconds = 0.0

    def time(self) -> float:
        """Simulated seconds, including those of pauses."""
        return super().time() + self.paused_seconds


def run_scenario(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    PausingLoop().run_until_complete(scenario(append_patience.AdaptiveTimeout()))


async def timed_out_backups(adaptive_timeout: append_patience.AdaptiveTimeout, *seconds: float) -> list[bool]:
    """Query backups that reply after the given seconds; return for each whether it timed out."""
    tasks = [asyncio.ensure_future(asyncio.sleep(delay)) for delay in seconds]
    await adaptive_timeout.wait_for(tasks)
    await asyncio.wait(tasks)
    return [task.cancelled() for task in tasks]


def test_a_new_primary_waits_the_most_until_it_knows_better():
    async def scenario(adaptive_timeout):
        await asyncio.sleep(100)
        adaptive_timeout.begin()
        assert adaptive_timeout.limit() == append_patience.MAX_TIMEOUT
        assert await timed_out_backups(adaptive_timeout, 0.6) == [False]

    run_scenario(scenario)


def test_a_silent_backup_is_given_up_after_the_least_while_answers_are_quick():
    async def scenario(adaptive_timeout):
        for _ in range(500):
            assert await timed_out_backups(adaptive_timeout, 0.02, 0.03) == [False, False]
        started_at = clock.now()
        assert await timed_out_backups(adaptive_timeout, 0.02, 60.0) == [False, True]
        assert clock.now() - started_at <= append_patience.MIN_TIMEOUT + append_patience.POLL_PERIOD

    run_scenario(scenario)


def test_slow_disks_are_waited_for_as_long_as_they_were_lately():
    async def scenario(adaptive_timeout):
        for _ in range(10):
            assert await timed_out_backups(adaptive_timeout, 0.12) == [False]
        assert adaptive_timeout.limit() > clock.seconds(0.55)
        assert await timed_out_backups(adaptive_timeout, 0.5) == [False]
        assert adaptive_timeout.limit() == append_patience.MAX_TIMEOUT
        await asyncio.sleep(120)
        assert adaptive_timeout.limit() == append_patience.MIN_TIMEOUT

    run_scenario(scenario)


def test_after_a_backup_was_given_up_the_patience_is_doubled_for_a_while():
    async def scenario(adaptive_timeout):
        await asyncio.sleep(60)
        assert await timed_out_backups(adaptive_timeout, 0.4) == [True]
        assert await timed_out_backups(adaptive_timeout, 0.4) == [False], "the backup is slow, not lost"

    run_scenario(scenario)


def test_a_standstill_of_the_primary_itself_is_not_held_against_its_backups():
    async def scenario(adaptive_timeout):
        pausing_loop = asyncio.get_running_loop()
        answer = pausing_loop.create_future()
        waiting_task = asyncio.ensure_future(asyncio.wait((answer,)))

        def pause_process() -> None:
            pausing_loop.paused_seconds += 1.5
            pausing_loop.call_later(0.12, answer.set_result, None)

        pausing_loop.call_later(0.01, pause_process)
        await adaptive_timeout.wait_for((waiting_task,))
        assert not waiting_task.cancelled()

    run_scenario(scenario)
