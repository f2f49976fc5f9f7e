"""Tests of parent selection: the usual parent, then the root, then other cores, and no stale parent for long."""

import asyncio
import types

import logbook
import pytest

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.distribution import parent_selection, relay, timing, updates
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import loop

ORDER = tuple(f"core-{number}:1" for number in range(5)) + tuple(f"edge-{number}:1" for number in range(20))
ROOT = ORDER[0]
CURRENCY = clock.seconds(12)


class AnsweringLink:
    """A link to relays that last heard of the root ``ages`` seconds ago; a relay without an age does not answer."""

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


def relay_of(address: str, link: AnsweringLink, root: str = ROOT) -> relay.Relay:
    record = types.SimpleNamespace(primary=replica_set.ReplicaId(root, "1"), epoch=1)
    members = types.SimpleNamespace(
        me=types.SimpleNamespace(address=address),
        records={0: record},
        peers=types.SimpleNamespace(tree_order=lambda: ORDER),
    )
    return relay.Relay(link, members, CURRENCY)


def run(work) -> None:
    loop.SimLoop().run_until_complete(work())


def test_while_the_usual_parent_is_left_out_the_root_is_asked_and_then_another_core():
    async def scenario() -> None:
        node = relay_of("edge-19:1", AnsweringLink({}))
        usual = node.parent()
        assert usual == parent_selection.parent_of("edge-19:1", ROOT, ORDER) and usual.startswith("edge")
        node.avoid_parent(usual, "test")
        assert node.parent() == ROOT and node.parents.parent_depth == 0
        node.avoid_parent(ROOT, "test")
        assert node.parent() == ORDER[1] and node.parents.parent_depth == 1
        for address in ORDER:
            node.avoid_parent(address, "test")
        assert node.parent() == usual
        await clock.sleep(timing.AVOID_PARENT_FOR)
        assert node.parent() == usual

    run(scenario)


def test_a_new_root_is_asked_though_it_was_left_out_before():
    async def scenario() -> None:
        node = relay_of("edge-19:1", AnsweringLink({}))
        for address in ORDER:
            node.avoid_parent(address, "test")
            node.parent()
        node.failure_detector.records[0].primary = replica_set.ReplicaId(ORDER[1], "1")
        usual = node.parent()
        assert not node.parents.avoided_until and usual == parent_selection.parent_of("edge-19:1", ORDER[1], ORDER)

    run(scenario)


@pytest.mark.parametrize("silent", (True, False))
def test_a_node_that_reaches_the_root_hears_of_it_within_two_failed_parents(silent):
    async def scenario() -> None:
        ages = dict.fromkeys(ORDER, 60.0) if not silent else {}
        link = AnsweringLink({**ages, ROOT: 0.0})
        node = relay_of("edge-19:1", link)
        running = asyncio.ensure_future(node.run())
        await clock.sleep(timing.PULL_INTERVAL + timing.PULL_TIMEOUT + clock.seconds(0.1))
        running.cancel()
        assert ROOT in link.asked and link.asked.index(ROOT) == 1
        assert node.root_age() <= timing.PULL_INTERVAL + clock.seconds(0.1)

    run(scenario)


def test_a_new_root_that_has_not_read_yet_is_asked_again_before_a_second_silent_parent():
    """A new root reports that it has heard of no root until it has read under its lease; all other nodes are silent."""

    async def scenario() -> None:
        link = AnsweringLink({ROOT: 60.0})
        node = relay_of("edge-19:1", link)
        running = asyncio.ensure_future(node.run())
        while ROOT not in link.asked:
            await clock.sleep(clock.seconds(0.01))
        await clock.sleep(clock.seconds(0.1))
        link.ages[ROOT] = 0.0
        await clock.sleep(timing.PULL_TIMEOUT + timing.PULL_INTERVAL)
        running.cancel()
        assert node.root_age() <= timing.PULL_INTERVAL + clock.seconds(0.1), link.asked

    run(scenario)


def test_a_root_never_heard_of_is_said_as_such_and_once():
    async def scenario() -> None:
        await clock.sleep(clock.seconds(100))
        link = AnsweringLink(dict.fromkeys(ORDER, timing.NEVER_HEARD.total_seconds()))
        node = relay_of("edge-19:1", link)
        running = asyncio.ensure_future(node.run())
        await clock.sleep(clock.seconds(3))
        running.cancel()
        assert node.root_age() == timing.NEVER_HEARD
        message = updates.Pull("edge-1:1", (), (), b"", (), b"", b"")
        assert node.answer_pull(message, is_root=False).root_age == timing.NEVER_HEARD

    with logbook.TestHandler() as handler:
        run(scenario)
        lines = [record.message for record in handler.records]
    assert len(lines) == 1 and "has heard of none yet" in lines[0]


def test_a_restarted_parent_that_holds_no_configuration_is_left_as_well():
    async def scenario() -> None:
        link = AnsweringLink({ROOT: 0.0})
        node = relay_of("edge-19:1", link)
        link.ages[node.parent()] = 5.0
        await node.pull(node.parent())
        assert node.parent() == ROOT and node.counts["stale parents"] == 1

    run(scenario)


def test_while_no_root_is_heard_of_the_tree_is_asked_at_its_usual_pace():
    async def scenario() -> None:
        link = AnsweringLink(dict.fromkeys(ORDER, 60.0))
        node = relay_of("edge-19:1", link)
        running = asyncio.ensure_future(node.run())
        await clock.sleep(clock.seconds(10))
        running.cancel()
        avoid_periods = clock.seconds(10) / timing.AVOID_PARENT_FOR + 1
        assert len(link.asked) < clock.seconds(10) / timing.PULL_INTERVAL + avoid_periods * (
            parent_selection.SPARE_PARENTS + 2
        )

    run(scenario)


def test_a_relay_passes_on_how_long_ago_its_root_was_heard_of_and_a_root_says_zero():
    async def scenario() -> None:
        await clock.sleep(clock.seconds(100))
        node = relay_of(ORDER[1], AnsweringLink({ROOT: 0.5}))
        await node.pull(ROOT)
        await clock.sleep(clock.seconds(1))
        message = updates.Pull("edge-1:1", (), (), b"", (), b"", b"")
        assert clock.seconds(1.5) <= node.answer_pull(message, is_root=False).root_age < clock.seconds(1.6)
        assert node.answer_pull(message, is_root=True).root_age == clock.ZERO
        await clock.sleep(clock.seconds(1))
        assert node.answer_pull(message, is_root=False).root_age == clock.seconds(1)

    run(scenario)
