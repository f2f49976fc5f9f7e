"""Tests of operators' configurations against a simple, slow reference model."""

import collections
import copy
import hashlib
import json
import random

from aspencroft.configuration import control_state, operator_configuration, resources
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import codec

NOW = clock.seconds(1)


def service(name: str, text: str = "") -> operator_configuration.Item:
    """Return an item that stands for a service."""
    return operator_configuration.Item(
        "services here", name, text or f"words of {name}", "services", name, '{"kind": "plain"}'
    )


def route(name: str, prefix: str, target: str, text: str = "") -> operator_configuration.Item:
    """Return an item that stands for a route of a fixed host at a prefix."""
    spec = {"host": "h", "prefix": prefix, "targets": [{"service": target}]}
    return operator_configuration.Item(
        "routes here", name, text or f"{prefix} {target}", "http_routes", name, json.dumps(spec)
    )


def order(
    version: int, condition: int, upserts: list, removals: list | None = None, digest: bytes = b""
) -> operator_configuration.ApplyConfiguration:
    """Return a command, which replaces the whole configuration if no removals are given."""
    order_digest = hashlib.blake2b(
        digest or repr((version, condition, upserts, removals)).encode(), digest_size=16
    ).digest()
    return operator_configuration.ApplyConfiguration(
        version, condition, removals is None, tuple(upserts), tuple(removals or ()), order_digest
    )


class Store:
    """The control group's state machine as a primary uses it, and a follower that applies the same events."""

    def __init__(self):
        self.state_machine, self.follower = control_state.ControlState(), control_state.ControlState()

    def apply(self, command):
        """Return the reply or the result of a rejection; neither a rejection nor a repeat may change the state."""
        before = self.state_machine.snapshot()
        command = codec.untagged(codec.tagged(command))
        try:
            events, reply = self.state_machine.decide(command, NOW, 3)
        except result.RequestError as refusal:
            assert self.state_machine.snapshot() == before
            return refusal.result
        assert self.state_machine.snapshot() == before
        state_before = self.state_machine.revision, self.items()
        for event in events:
            self.state_machine.apply(event)
            self.follower.apply(codec.untagged(codec.tagged(event)))
        assert self.follower.snapshot() == self.state_machine.snapshot()
        if isinstance(reply, result.RequestError):
            assert (self.state_machine.revision, self.items()) == state_before, (
                "a rejection changed more than the record of rejections"
            )
            return reply.result
        return reply

    def restart(self) -> None:
        """Replace both copies by ones restored from a snapshot."""
        snapshot = self.state_machine.snapshot()
        for name in ("state_machine", "follower"):
            restored = control_state.ControlState()
            restored.restore(snapshot)
            setattr(self, name, restored)
        assert self.state_machine.snapshot() == snapshot
        assert (self.state_machine.index.places, self.state_machine.index.uses) == (
            self.follower.index.places,
            self.follower.index.uses,
        )

    def items(self) -> dict[str, list[tuple[str, str]]]:
        """Return labels and texts of each list, in order."""
        texts_by_list: dict[str, list] = {}
        for item in self.state_machine.configuration.read().items:
            texts_by_list.setdefault(item.group, []).append((item.label, item.text))
        return texts_by_list


class Model:
    """The reference model of a configuration store: a list of items, validated by checking all of them."""

    def __init__(self):
        self.version = 0
        self.items: list[operator_configuration.Item] = []
        self.taken: list[tuple[int, bytes]] = []

    def apply(self, command):
        """Return True, "again", or the set of acceptable rejections."""
        if (command.version, command.digest) in self.taken:
            return "again"
        rejections = set()
        if command.condition != self.version:
            rejections.add(result.ResultCode.REVISION_DIFFERS)
        new_items = (
            []
            if command.whole
            else [
                one
                for one in self.items
                if (one.group, one.label) not in {(removal.group, removal.label) for removal in command.removals}
            ]
        )
        for item in command.upserts:
            places = [
                number for number, one in enumerate(new_items) if (one.group, one.label) == (item.group, item.label)
            ]
            if places:
                new_items[places[0]] = item
            else:
                new_items.append(item)
        names = [(one.group, one.label) for one in (*command.upserts, *command.removals)]
        services = {one.name for one in new_items if one.kind == "services"}
        routes = [json.loads(one.spec) for one in new_items if one.kind == "http_routes"]
        if (
            command.version <= self.version
            or len(set(names)) < len(names)
            or any(one["targets"][0]["service"] not in services for one in routes)
            or len({one["prefix"] for one in routes}) < len(routes)
        ):
            rejections.add(result.ResultCode.PLAN_INVALID)
        if rejections:
            return rejections
        self.version, self.items = command.version, new_items
        self.taken.append((command.version, command.digest))
        return True


def random_order(rng: random.Random, model: Model, sent: list) -> operator_configuration.ApplyConfiguration:
    """Return a random order of an operator: new, racing, repeated or faulty."""
    if sent and rng.random() < 0.2:
        return rng.choice(sent[-12:])
    condition = model.version if rng.random() < 0.8 else rng.choice((0, max(0, model.version - 1), model.version + 3))
    version = model.version + (rng.randint(1, 4) if rng.random() < 0.9 else -rng.randrange(3))
    services = [service(name, rng.choice(("", "other"))) for name in rng.sample("stuv", rng.randint(1, 4))]
    routes = [
        route(f"r{number}", rng.choice(("/", "/a/", "/b/", "/c/", "/d/", "/e/")), rng.choice("ssstuv"))
        for number in rng.sample(range(6), rng.randrange(5))
    ]
    other_items = (
        [operator_configuration.Item("", rng.choice(("quota", "note")), str(rng.randrange(3)))]
        if rng.random() < 0.3
        else []
    )
    if rng.random() < 0.5:
        return order(version, condition, [*services, *routes, *other_items])
    removals = [
        operator_configuration.Label(group, label)
        for group, label in (
            ("routes here", "r1"),
            ("routes here", "r4"),
            ("services here", "v"),
            ("", "note"),
            ("gone", "x"),
        )
        if rng.random() < 0.25
    ]
    return order(version, condition, [*rng.sample(services, len(services) // 2), *routes[:2], *other_items], removals)


def test_over_many_seeds_it_does_what_the_model_does():
    counts = collections.Counter()
    for seed in range(250):
        rng = random.Random(seed)
        store, model, sent, refused = Store(), Model(), [], {}
        for _ in range(40):
            command = random_order(rng, model, sent)
            sent.append(command)
            before = store.state_machine.revision
            if command in refused:
                result_now = copy.deepcopy(model).apply(command)
                expected = {refused[command]} | (result_now if isinstance(result_now, set) else set())
                counts["refused again"] += 1
            else:
                expected = model.apply(command)
            reply = store.apply(command)
            if isinstance(expected, set):
                assert reply in expected, (seed, reply, expected, command)
                refused.setdefault(command, reply)
                counts[reply] += 1
            else:
                assert reply.again == (expected == "again"), (seed, reply, expected, command)
                assert (store.state_machine.revision == before) == reply.again
                counts[expected] += 1
            assert store.state_machine.configuration.version == model.version
            expected_items: dict[str, list] = {}
            for one in model.items:
                expected_items.setdefault(one.group, []).append((one.label, one.text))
            assert store.items() == expected_items, seed
            for kind in ("services", "http_routes"):
                assert store.state_machine.document.get(kind, {}) == {
                    one.name: json.loads(one.spec) for one in model.items if one.kind == kind
                }
            assert resources.check(store.state_machine.document) == ()
            if rng.random() < 0.1:
                store.restart()
    assert (
        counts[True] > 1000
        and counts["refused again"] > 100
        and min(counts["again"], counts[result.ResultCode.PLAN_INVALID], counts[result.ResultCode.REVISION_DIFFERS])
        > 400
    ), counts


def test_of_two_orders_upon_one_version_one_wins_and_another_under_the_same_number_is_not_taken_for_it():
    store = Store()
    store.apply(order(1, 0, [service("s")]))
    assert store.apply(order(5, 1, [service("s"), route("a", "/", "s")])).changed == 1
    assert store.apply(order(5, 1, [service("s")])) is result.ResultCode.REVISION_DIFFERS
    assert store.apply(order(9, 1, [service("s")])) is result.ResultCode.REVISION_DIFFERS
    assert store.apply(order(5, 1, [service("s"), route("a", "/", "s")])).again


def test_what_other_writers_do_leaves_the_operators_number_and_words_alone():
    store = Store()
    store.apply(order(4, 0, [service("s"), route("a", "/", "s")]))
    body = json.dumps({"machines": {"m": {"emptied": True}}, "services": {"other": {"kind": "plain"}}})
    assert store.apply(control_state.WriteResources("merge", "", "", body, None)).changed == 2
    assert store.state_machine.configuration.version == 4
    assert store.apply(order(6, 4, [service("s")])).changed == 1
    assert (
        store.state_machine.document["machines"] == {"m": {"emptied": True}}
        and "other" in store.state_machine.document["services"]
    )
    assert store.apply(control_state.WriteResources("delete", "services", "s", "", None)).changed == 1
    assert store.apply(order(7, 6, [service("s")])).changed == 1, "the stated service was not restored"


def test_other_writers_are_held_to_the_routes_that_stand():
    store = Store()
    store.apply(order(4, 0, [service("s"), route("a", "/", "s")]))
    assert (
        store.apply(control_state.WriteResources("delete", "services", "s", "", None)) is result.ResultCode.PLAN_INVALID
    )
    spec = json.dumps({"host": "H", "prefix": "/", "targets": [{"service": "s"}]})
    assert (
        store.apply(control_state.WriteResources("put", "http_routes", "b", spec, None))
        is result.ResultCode.PLAN_INVALID
    )
    assert (
        store.apply(control_state.WriteResources("put", "http_routes", "b", spec.replace('"/"', '"/b/"'), None)).changed
        == 1
    )
    assert store.apply(order(5, 4, [route("c", "/b/", "s")], [])) is result.ResultCode.PLAN_INVALID


def test_all_faults_are_told_with_their_paths():
    faulty = [service("s"), route("a", "/", "gone"), route("b", "/b/", "s"), route("c", "/b/", "s")]
    try:
        _, reply = control_state.ControlState().decide(order(1, 0, faulty), NOW, 1)
        raise reply if isinstance(reply, result.RequestError) else AssertionError("accepted")
    except result.RequestError as refusal:
        paths = {one["path"] for one in json.loads(refusal.detail)}
        assert paths == {"http_routes/a/targets/0/service", "http_routes/c/prefix"}
    odd = operator_configuration.Item("x", "y", "z", "colours", "n", "{}")
    ill = operator_configuration.Item("x", "y", "z", "services", "n", '{"kind": 3}')
    for item in (odd, ill, operator_configuration.Item("x", "y", "")):
        assert Store().apply(order(1, 0, [item])) is result.ResultCode.PLAN_INVALID


def test_steps_lead_from_any_revision_to_what_stands_and_when_they_are_gone_the_whole_does():
    for seed in range(60):
        rng = random.Random(seed)
        store, model = Store(), Model()
        history = []
        for _ in range(30):
            content = json.loads(
                json.dumps(
                    {
                        "plan": store.state_machine.document,
                        "revisions": store.state_machine.revisions,
                        "version": store.state_machine.configuration.version,
                    }
                )
            )
            history.append((store.state_machine.revision, content, resources.of(content["plan"], content["version"])))
            command = random_order(rng, model, [])
            if isinstance(store.apply(command), operator_configuration.Applied):
                model.apply(command)
            if rng.random() < 0.05:
                store.restart()
            for revision, content, typed in history[-6:]:
                read = store.state_machine.read_plan(revision)
                assert read.revision == store.state_machine.revision
                if read.document:
                    content = json.loads(read.document)
                    typed = resources.of(content["plan"], content["version"])
                for step in read.steps:
                    patch = json.loads(step.patch)
                    content = resources.merge(content, patch)
                    typed = resources.with_patch(typed, content["plan"], patch["plan"], content["version"])
                assert content == {
                    "plan": store.state_machine.document,
                    "revisions": store.state_machine.revisions,
                    "version": model.version,
                }
                rebuilt = resources.of(store.state_machine.document, model.version)
                assert (typed.services, typed.http_routes, typed.version) == (
                    rebuilt.services,
                    rebuilt.http_routes,
                    rebuilt.version,
                )


def test_a_change_of_one_route_looks_at_no_other():
    store = Store()
    items = [service("s"), *[route(f"r{number}", f"/{number}/", "s") for number in range(300)]]
    store.apply(order(1, 0, items))
    counts = collections.Counter()

    class Watched(dict):
        def __iter__(self):
            counts["walks"] += 1
            return super().__iter__()

        def items(self):
            counts["walks"] += 1
            return super().items()

        def values(self):
            counts["walks"] += 1
            return super().values()

    store.state_machine.document["http_routes"] = Watched(store.state_machine.document["http_routes"])
    store.state_machine.index.routes = Watched(store.state_machine.index.routes)
    store.state_machine.index.places = Watched(store.state_machine.index.places)
    events, reply = store.state_machine.decide(
        order(2, 1, [route("r7", "/new/", "s")], [operator_configuration.Label("routes here", "r9")]), NOW, 1
    )
    store.state_machine.apply(events[0])
    read = store.state_machine.read_plan(control_state.Revision(3, 1))
    assert reply.changed == 2 and len(read.steps) == 1 and len(read.steps[0].patch) < 500 and not counts


def test_a_field_that_is_left_out_is_gone_also_at_nodes_that_learn_of_the_step():
    store = Store()
    store.apply(
        order(
            1,
            0,
            [
                service("s"),
                operator_configuration.Item(
                    "routes here",
                    "a",
                    "1",
                    "http_routes",
                    "a",
                    json.dumps({"host": "h", "prefix": "/", "targets": [{"service": "s"}], "rank": 3}),
                ),
            ],
        )
    )
    content = {
        "plan": json.loads(json.dumps(store.state_machine.document)),
        "revisions": dict(store.state_machine.revisions),
        "version": 1,
    }
    typed, before = resources.of(content["plan"], 1), store.state_machine.revision
    store.apply(order(2, 1, [route("a", "/", "s")], []))
    patch = json.loads(store.state_machine.read_plan(before).steps[0].patch)
    content = resources.merge(content, patch)
    assert typed.http_routes["a"].rank == 3
    assert resources.with_patch(typed, content["plan"], patch["plan"], 2).http_routes["a"].rank == 0


def test_a_service_that_a_lane_names_is_not_taken_away():
    store = Store()
    store.apply(order(1, 0, [service("s"), service("t")]))
    lane = '{"kind": "signal", "services": ["t"]}'
    assert store.apply(control_state.WriteResources("put", "lanes", "l", lane, None)).changed == 1
    assert store.apply(order(2, 1, [service("s")])) is result.ResultCode.PLAN_INVALID
    assert store.apply(order(2, 1, [], [operator_configuration.Label("services here", "s")])).changed == 1
