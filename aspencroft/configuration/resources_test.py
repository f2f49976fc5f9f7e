"""Tests of ``aspencroft.configuration.resources``."""

from aspencroft.configuration import resources


def test_all_faults_are_told_at_once_with_their_paths():
    document = {
        "services": {"planner": {"kind": "model", "base": "gone"}, "bad name!": {"kind": "plain"}},
        "lanes": {"chat": {"kind": "turns", "services": ["planner"], "urgency": 99}},
        "colours": {},
    }
    paths = {one.path for one in resources.check(document)}
    assert {"colours", "services/bad name!", "lanes/chat/urgency"} <= paths
    for odd in (None, 3, [], "x"):
        assert resources.check({"lanes": odd})[0].path == "lanes" and resources.differences({}, {"lanes": odd}) == ()
        changed = resources.differences({}, {"lanes": {"a": odd}})
        assert changed and resources.check({"lanes": {"a": odd}}, (("lanes", "a"),))[0].path == "lanes/a"
    del document["colours"], document["services"]["bad name!"], document["lanes"]["chat"]["urgency"]
    document["routes"] = {
        "a": {"lane": "chat", "services": ["other"]},
        "b": {"lane": "none", "services": ["x"]},
    }
    assert {one.path for one in resources.check(document)} == {
        "services/planner/base",
        "routes/a/services/0",
        "routes/b/lane",
    }


def test_allowed_services_never_leave_the_lane():
    document = {
        "services": {"a": {"kind": "model"}, "b": {"kind": "model"}},
        "lanes": {"chat": {"kind": "turns", "services": ["a", "b"]}},
        "routes": {"r": {"lane": "chat", "tool": "t", "services": ["b"]}},
    }
    assert not resources.check(document)
    typed = resources.of(document)
    assert typed.allowed_services("chat", "t") == ("b",) and typed.allowed_services("chat", "") == ("a", "b")


def test_a_drain_order_of_a_former_version_holds_until_somebody_was_told_of_its_end():
    document: dict = {
        "machines": {
            "a:1": {"emptied": True},
            "b:1": {"emptied": True, "name": "storage-b"},
            "c:1": {"emptied": True, "name": "storage-c", "completed": True},
            "d:1": {"emptied": False, "name": "storage-d", "completed": True},
        }
    }
    assert not resources.check(document)
    typed = resources.of(document)
    assert typed.drain_orders == {
        "a:1": resources.DrainOrder("", False),
        "b:1": resources.DrainOrder("storage-b", False),
        "c:1": resources.DrainOrder("storage-c", True),
    }
    assert set(typed.drained) == {"a:1", "b:1", "c:1"}
    holding = [
        (address, name)
        for address, order in typed.drain_orders.items()
        for name in ("storage-b", "storage-c")
        if order.holds_for_new_disk(name)
    ]
    assert holding == [("a:1", "storage-b"), ("a:1", "storage-c"), ("b:1", "storage-b")]


def test_a_machines_name_names_a_resource_only_where_it_is_no_address():
    assert all(resources.is_machine_name(name) for name in ("storage-shah-alam-1", "S.1_b"))
    assert not any(resources.is_machine_name(name) for name in ("", "10.0.0.4:7300", "a/b", "-a", "a" * 97))
