"""Which parent a node of the relay tree asks: the usual one, then the root, then other cores; no stale one for long."""

import asyncio
import types

import pytest

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.distribution import relay, updates
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import loop

ORDER = tuple(f"core-{number}:1" for number in range(5)) + tuple(f"edge-{number}:1" for number in range(20))
ROOT = ORDER[0]
CURRENCY = clock.seconds(12)


class Answers:
    """Answers of relays that heard of the root some seconds ago; one without an age does not answer."""

    def __init__(self, ages: dict[str, float]):
        self.ages = ages
        self.asked: list[str] = []

    async def request(self, address, message, within):
        self.asked.append(address)
        if address not in self.ages:
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.UNREACHABLE)
        age = clock.seconds(self.ages[address])
        return updates.Pulled((), control_state.NEVER, clock.ZERO, (), True, False, age)

    def notify(self, address, message):
        pass


def made(address: str, answers: Answers, root: str = ROOT) -> relay.Relay:
    record = types.SimpleNamespace(primary=replica_set.ReplicaId(root, "1"), epoch=1)
    members = types.SimpleNamespace(
        me=types.SimpleNamespace(address=address),
        records={0: record},
        peers=types.SimpleNamespace(tree_order=lambda: ORDER),
    )
    return relay.Relay(answers, members, CURRENCY)


def run(work) -> None:
    loop.SimLoop().run_until_complete(work())


def test_while_the_usual_parent_is_left_out_the_root_is_asked_and_then_another_core():
    async def acts() -> None:
        one = made("edge-19:1", Answers({}))
        usual = one.parent()
        assert usual == relay.parent_of("edge-19:1", ROOT, ORDER) and usual.startswith("edge")
        one.leave_out(usual)
        assert one.parent() == ROOT and one.parent_depth == 0
        one.leave_out(ROOT)
        assert one.parent() == ORDER[1] and one.parent_depth == 1
        for address in ORDER:
            one.leave_out(address)
        assert one.parent() == usual
        await clock.sleep(relay.SHUN)
        assert one.parent() == usual

    run(acts)


def test_a_new_root_is_asked_though_it_was_left_out_before():
    async def acts() -> None:
        one = made("edge-19:1", Answers({}))
        for address in ORDER:
            one.leave_out(address)
            one.parent()
        one.failure_detector.records[0].primary = replica_set.ReplicaId(ORDER[1], "1")
        usual = one.parent()
        assert not one.shunned and usual == relay.parent_of("edge-19:1", ORDER[1], ORDER)

    run(acts)


@pytest.mark.parametrize("silent", (True, False))
def test_a_node_that_reaches_the_root_hears_of_it_within_two_failed_parents(silent):
    async def acts() -> None:
        ages = dict.fromkeys(ORDER, 60.0) if not silent else {}
        answers = Answers({**ages, ROOT: 0.0})
        one = made("edge-19:1", answers)
        running = asyncio.ensure_future(one.run())
        await clock.sleep(relay.PULL + relay.ASK + clock.seconds(0.1))
        running.cancel()
        assert ROOT in answers.asked and answers.asked.index(ROOT) == 1
        assert one.age() <= relay.PULL + clock.seconds(0.1)

    run(acts)


def test_a_restarted_parent_that_holds_no_configuration_is_left_as_well():
    async def acts() -> None:
        answers = Answers({ROOT: 0.0})
        one = made("edge-19:1", answers)
        answers.ages[one.parent()] = 5.0
        await one.pull(one.parent())
        assert one.parent() == ROOT and one.counts["stale parents"] == 1

    run(acts)


def test_while_no_root_is_heard_of_the_tree_is_asked_at_its_usual_pace():
    async def acts() -> None:
        answers = Answers(dict.fromkeys(ORDER, 60.0))
        one = made("edge-19:1", answers)
        running = asyncio.ensure_future(one.run())
        await clock.sleep(clock.seconds(10))
        running.cancel()
        rounds = clock.seconds(10) / relay.SHUN + 1
        assert len(answers.asked) < clock.seconds(10) / relay.PULL + rounds * (relay.SPARE_PARENTS + 2)

    run(acts)


def test_a_relay_passes_on_how_long_ago_its_root_was_heard_of_and_a_root_says_zero():
    async def acts() -> None:
        await clock.sleep(clock.seconds(100))
        one = made(ORDER[1], Answers({ROOT: 0.5}))
        await one.pull(ROOT)
        await clock.sleep(clock.seconds(1))
        message = updates.Pull("edge-1:1", (), (), b"", (), b"", b"")
        assert clock.seconds(1.5) <= one.answer_pull(message, rooted=False).age < clock.seconds(1.6)
        assert one.answer_pull(message, rooted=True).age == clock.ZERO
        await clock.sleep(clock.seconds(1))
        assert one.answer_pull(message, rooted=False).age == clock.seconds(1)

    run(acts)
