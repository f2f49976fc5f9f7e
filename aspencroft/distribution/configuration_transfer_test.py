"""Tests that a node catches up after any number of missed changes, in bounded messages and without a gap."""

import json
import types

import pytest

from aspencroft.configuration import control_state
from aspencroft.distribution import configuration_state, configuration_transfer, relay, updates
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import loop
from aspencroft.transport import codec

MAX_MESSAGE_BYTES = 300 << 10


class Link:
    """Passes requests to relays and records the sizes of their replies."""

    def __init__(self):
        self.relays: dict[str, relay.Relay] = {}
        self.sizes: list[int] = []
        self.chunks = 0
        self.failing_chunk = -1
        self.after_chunk = lambda: None

    def notify(self, address, message, epoch=0):
        pass

    async def request(self, address, message, within, epoch=0):
        await clock.sleep(clock.seconds(0.01))
        parent = self.relays[address]
        if isinstance(message, updates.FetchConfiguration):
            self.chunks += 1
            if self.chunks == self.failing_chunk:
                raise result.RequestError(result.ResultCode.UNREACHABLE)
            reply = parent.answer_fetch(message)
            self.after_chunk()
        else:
            reply = parent.answer_pull(message, True)
        self.sizes.append(len(codec.pack(reply)))
        return reply


def relay_of(link: Link, address: str) -> relay.Relay:
    members = types.SimpleNamespace(me=types.SimpleNamespace(address=address), records={}, peers={})
    link.relays[address] = relay.Relay(link, members, clock.seconds(4))
    return link.relays[address]


def configuration_with(service_count: int, suffix: str = "") -> dict:
    return {"services": {f"service-{number}{suffix}": {"kind": "plain"} for number in range(service_count)}}


def complete_update(number: int, configuration: dict) -> updates.Update:
    body = json.dumps({"plan": configuration, "revisions": {}, "version": number})
    return updates.Update(updates.CONFIGURATION_TOPIC, control_state.Revision(1, number), None, body)


def apply_next_patch(node: relay.Relay, service_count: int = 1) -> None:
    """Apply the next patch at a relay; it adds a number of services."""
    number = node.revision.number + 1
    patch = json.dumps({"plan": configuration_with(service_count, f"-{number}"), "revisions": {}, "version": number})
    node.apply_update(
        updates.Update(updates.CONFIGURATION_TOPIC, control_state.Revision(1, number), node.revision, patch)
    )


def run(scenario) -> None:
    loop.SimLoop().run_until_complete(scenario())


async def pull_until_equal(child: relay.Relay, parent: str, max_pulls: int = 200) -> int:
    """Pull until the child holds what the parent holds; return the number of pulls."""
    for count in range(max_pulls):
        if child.revision == child.link.relays[parent].revision:
            assert child.document == child.link.relays[parent].document
            return count
        await child.pull(parent)
    raise AssertionError(f"still at {child.revision} after {max_pulls} pulls")


@pytest.mark.parametrize(
    ("missed_changes", "services"),
    [(1, 40), (63, 40), (64, 40), (65, 40), (66, 40), (500, 40), (2000, 40), (64, 10_000), (66, 10_000)],
)
def test_a_child_that_was_away_for_any_number_of_changes_catches_up(missed_changes, services):
    async def scenario():
        link = Link()
        parent, child = relay_of(link, "a:1"), relay_of(link, "b:1")
        for node in (parent, child):
            node.apply_update(complete_update(1, configuration_with(services)))
        for _ in range(missed_changes):
            apply_next_patch(parent)
        assert await pull_until_equal(child, "a:1") <= 3
        assert child.counts["whole plans"] == (1 if missed_changes <= configuration_state.PATCHES_KEPT else 2)
        assert max(link.sizes) < MAX_MESSAGE_BYTES

    run(scenario)


def test_large_steps_go_in_several_messages():
    async def scenario():
        link = Link()
        parent, child = relay_of(link, "a:1"), relay_of(link, "b:1")
        for node in (parent, child):
            node.apply_update(complete_update(1, configuration_with(10)))
        for _ in range(60):
            apply_next_patch(parent, 500)
        assert 3 < await pull_until_equal(child, "a:1") < 20
        assert child.counts["whole plans"] == 1 and max(link.sizes) < MAX_MESSAGE_BYTES

    run(scenario)


def test_a_plan_that_changes_while_it_is_fetched_is_fetched_to_its_end():
    async def scenario():
        link = Link()
        parent, child = relay_of(link, "a:1"), relay_of(link, "b:1")
        parent.apply_update(complete_update(1, configuration_with(20_000)))
        size = len(json.dumps(parent.state.content()))
        link.after_chunk = lambda: apply_next_patch(parent)
        await child.pull("a:1")
        assert child.revision == control_state.Revision(1, 1)
        assert link.chunks == -(-size // configuration_transfer.CHUNK_BYTES) > 4
        link.after_chunk = lambda: None
        await pull_until_equal(child, "a:1")
        assert child.counts["whole plans"] == 1

    run(scenario)


@pytest.mark.parametrize("failing_chunk", range(1, 7))
def test_a_broken_fetch_goes_on_with_another_parent(failing_chunk):
    async def scenario():
        link = Link()
        first, second, child = relay_of(link, "a:1"), relay_of(link, "c:1"), relay_of(link, "b:1")
        for node in (first, second):
            node.apply_update(complete_update(1, configuration_with(20_000)))
        size = len(json.dumps(first.state.content()))
        link.failing_chunk = failing_chunk
        await child.pull("a:1")
        assert child.revision == control_state.NEVER and "a:1" in child.parents.avoided_until
        await child.pull("c:1")
        assert child.revision == first.revision and child.document == first.document
        assert link.chunks == -(-size // configuration_transfer.CHUNK_BYTES) + 1

    run(scenario)


def test_parts_of_two_plans_are_not_mixed():
    async def scenario():
        link = Link()
        first, second, child = relay_of(link, "a:1"), relay_of(link, "c:1"), relay_of(link, "b:1")
        first.apply_update(complete_update(1, configuration_with(20_000)))
        second.apply_update(complete_update(2, configuration_with(20_000, "-other")))
        link.failing_chunk = 4
        await child.pull("a:1")
        await child.pull("c:1")
        assert child.revision == second.revision and child.document == second.document

    run(scenario)


def test_a_relay_with_a_gap_in_its_steps_gives_the_whole_and_no_step_is_taken_twice():
    async def scenario():
        link = Link()
        source, parent, child = relay_of(link, "s:1"), relay_of(link, "a:1"), relay_of(link, "b:1")
        for node in (source, parent, child):
            node.apply_update(complete_update(1, configuration_with(10)))
        apply_next_patch(source)
        parent.apply_update(source.state.patches[control_state.Revision(1, 1)])
        for _ in range(3):
            apply_next_patch(source)
        latest = source.state.patches[control_state.Revision(1, 4)]
        assert not parent.apply_update(latest) and parent.revision == control_state.Revision(1, 2)
        parent.apply_update(complete_update(source.revision.number, source.document))
        apply_next_patch(source)
        parent.apply_update(source.state.patches[parent.revision])
        assert parent.revision == source.revision
        pending = parent.state.pending_updates(child.revision)
        assert [update.base for update in pending] == [None]
        await pull_until_equal(child, "a:1")
        assert child.document == source.document and not child.apply_update(latest)

    run(scenario)
