"""How long a primary waits for its backups."""

import asyncio
import collections.abc

from aspencroft.replication import append_patience
from aspencroft.runtime import clock
from aspencroft.simulation import loop


class StallingLoop(loop.SimLoop):
    """A simulated loop whose process may stand still: its clock goes on, nothing runs."""

    stalled = 0.0

    def time(self) -> float:
        """Simulated seconds, those of standing still too."""
        return super().time() + self.stalled


def play(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    StallingLoop().run_until_complete(scenario(append_patience.AppendPatience()))


async def asked(patience: append_patience.AppendPatience, *seconds: float) -> list[bool]:
    """Ask backups that answer after so many seconds; which of them were given up."""
    tasks = [asyncio.ensure_future(asyncio.sleep(one)) for one in seconds]
    await patience.wait_for(tasks)
    await asyncio.wait(tasks)
    return [one.cancelled() for one in tasks]


def test_a_new_primary_waits_the_most_until_it_knows_better():
    async def scenario(patience):
        await asyncio.sleep(100)
        patience.begin()
        assert patience.limit() == append_patience.MAX_TIMEOUT
        assert await asked(patience, 0.6) == [False]

    play(scenario)


def test_a_silent_backup_is_given_up_after_the_least_while_answers_are_quick():
    async def scenario(patience):
        for _ in range(500):
            assert await asked(patience, 0.02, 0.03) == [False, False]
        began = clock.now()
        assert await asked(patience, 0.02, 60.0) == [False, True]
        assert clock.now() - began <= append_patience.MIN_TIMEOUT + append_patience.POLL_PERIOD

    play(scenario)


def test_slow_disks_are_waited_for_as_long_as_they_were_lately():
    async def scenario(patience):
        for _ in range(10):
            assert await asked(patience, 0.12) == [False]
        assert patience.limit() > clock.seconds(0.55)
        assert await asked(patience, 0.5) == [False]
        assert patience.limit() == append_patience.MAX_TIMEOUT
        await asyncio.sleep(120)
        assert patience.limit() == append_patience.MIN_TIMEOUT

    play(scenario)


def test_after_a_backup_was_given_up_the_patience_is_doubled_for_a_while():
    async def scenario(patience):
        await asyncio.sleep(60)
        assert await asked(patience, 0.4) == [True]
        assert await asked(patience, 0.4) == [False], "it was not lost, it is slow"

    play(scenario)


def test_a_standstill_of_the_primary_itself_is_not_held_against_its_backups():
    async def scenario(patience):
        stalling = asyncio.get_running_loop()
        answer = stalling.create_future()
        waits = asyncio.ensure_future(asyncio.wait((answer,)))

        def stand_still() -> None:
            stalling.stalled += 1.5
            stalling.call_later(0.12, answer.set_result, None)

        stalling.call_later(0.01, stand_still)
        await patience.wait_for((waits,))
        assert not waits.cancelled()

    play(scenario)
