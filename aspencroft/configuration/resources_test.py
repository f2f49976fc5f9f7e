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
    assert typed.allowed("chat", "t") == ("b",) and typed.allowed("chat", "") == ("a", "b")
