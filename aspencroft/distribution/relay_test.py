"""Tests that pulls with differences work like complete pulls, and that no lease is granted on an unknown base."""

import asyncio
import random
import types

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import parent_selection, relay, subtree_state, updates
from aspencroft.errors import result
from aspencroft.runtime import clock

CURRENCY = clock.seconds(4)


class Link:
    """Passes a pull to the parent at once, or loses the request or the reply."""

    def __init__(self, parent: relay.Relay | None = None):
        self.parent = parent
        self.is_root = True
        self.losing = ""
        self.asked: list[updates.Pull] = []
        self.answered: list[updates.Pulled] = []

    def notify(self, address, message, epoch=0):
        pass

    async def request(self, address, message, within, epoch=0):
        self.asked.append(message)
        if self.losing != "request":
            self.answered.append(self.parent.answer_pull(message, self.is_root))
        if self.losing:
            raise result.RequestError(result.ResultCode.OVERLOADED)
        return self.answered[-1]


def relay_of(address: str, link: Link) -> relay.Relay:
    members = types.SimpleNamespace(me=types.SimpleNamespace(address=address), records={}, peers={})
    node = relay.Relay(link, members, CURRENCY)
    node.state.revision = control_state.Revision(1, 1)
    return node


def parent_and_child() -> tuple[relay.Relay, relay.Relay, Link]:
    parent = relay_of("a:1", Link())
    link = Link(parent)
    return parent, relay_of("b:1", link), link


def run(scenario):
    with asyncio.Runner() as runner:
        return runner.run(scenario())


def set_below(child: relay.Relay, nodes: dict[str, control_state.Revision]) -> None:
    child.subtree.expiry["c:1"] = clock.now() + clock.seconds(3600)
    child.subtree.subtrees["c:1"] = subtree_state.subtree_of(dict(nodes))


def test_differences_lead_the_parent_to_the_same_subtree_and_the_child_to_the_same_counted_nodes():
    async def scenario():
        for seed in range(30):
            randomness = random.Random(seed)
            parent, child, link = parent_and_child()
            nodes: dict[str, control_state.Revision] = {}
            for _ in range(25):
                for _ in range(randomness.randrange(4)):
                    nodes[f"n:{randomness.randrange(9)}"] = control_state.Revision(1, randomness.randrange(3))
                if nodes and randomness.random() < 0.3:
                    nodes.pop(randomness.choice(sorted(nodes)))
                set_below(child, nodes)
                link.is_root = randomness.random() < 0.7
                if randomness.random() < 0.3:
                    parent.lease.counted = frozenset(
                        address for address in ("b:1", "n:1", "n:2", "n:3") if randomness.random() < 0.5
                    )
                    parent.lease.counted_digest = subtree_state.addresses_digest(tuple(sorted(parent.lease.counted)))
                if randomness.random() < 0.1:
                    parent.subtree.subtrees.clear()
                link.losing = randomness.choice(("", "", "", "request", "reply"))
                await child.pull("a:1")
                if link.losing:
                    continue
                if link.answered[-1].subtree_unknown:
                    await child.pull("a:1")
                expected = {**nodes, "b:1": child.revision}
                assert parent.subtree.subtrees["b:1"].nodes == expected
                assert parent.subtree.subtrees["b:1"].digest == subtree_state.subtree_of(expected).digest
                assert child.lease.counted == frozenset(
                    address for address in expected if link.is_root or address in parent.lease.counted
                )

    run(scenario)


def test_a_pull_without_changes_names_nothing_and_is_answered_with_nothing():
    async def scenario():
        parent, child, link = parent_and_child()
        set_below(child, {f"n:{number}": control_state.Revision(1, 1) for number in range(200)})
        await child.pull("a:1")
        await child.pull("a:1")
        first, second = link.asked
        assert len(first.subtree) == 201 and first.base == b""
        assert second.subtree == () and second.removed == () and second.base == first.digest
        assert link.answered[1].counted == () and link.answered[1].counted_unchanged and len(child.lease.counted) == 201
        assert len(parent.grants.grants) == 201

    run(scenario)


def test_differences_upon_an_unknown_subtree_take_and_grant_nothing():
    async def scenario():
        parent, child, link = parent_and_child()
        await child.pull("a:1")
        parent.subtree.subtrees.clear(), parent.subtree.expiry.clear(), parent.grants.grants.clear()
        end = child.lease.end
        set_below(child, {"n:1": control_state.Revision(1, 1)})
        await child.pull("a:1")
        assert link.answered[-1].subtree_unknown and link.answered[-1].lease_duration == clock.ZERO
        assert (
            parent.grants.grants == {}
            and parent.subtree.expiry == {}
            and child.lease.end == end
            and child.pull_requested.is_set()
        )
        await child.pull("a:1")
        assert link.asked[-1].base == b"" and set(parent.grants.grants) == {"b:1", "n:1"}

    run(scenario)


def test_another_parent_is_told_the_whole():
    async def scenario():
        _parent, child, link = parent_and_child()
        await child.pull("a:1")
        link.parent = relay_of("d:1", Link())
        await child.pull("d:1")
        assert (
            link.asked[-1].base == b""
            and not link.answered[-1].subtree_unknown
            and "b:1" in link.parent.subtree.subtrees
        )

    run(scenario)


def test_tree_has_one_root_and_no_crowded_parent():
    order = tuple(f"n:{number}" for number in range(40))
    parents = {address: parent_selection.parent_of(address, "n:7", order) for address in order}
    assert parents["n:7"] == "n:7"
    for address in order:
        steps = 0
        while address != "n:7":
            address, steps = parents[address], steps + 1
            assert steps < 5
    assert max(list(parents.values()).count(address) for address in order) <= parent_selection.CHILDREN_PER_RELAY + 1


def test_patches_between_documents_lead_from_one_to_the_other():
    for seed in range(200):
        randomness = random.Random(seed)
        documents = [
            {
                kind: {name: {"value": randomness.randrange(3)} for name in "abcd" if randomness.random() < 0.6}
                for kind in ("lanes", "services")
                if randomness.random() < 0.8
            }
            for _ in range(2)
        ]
        assert resources.merge(documents[0], resources.patch_between(*documents)) == documents[1]
