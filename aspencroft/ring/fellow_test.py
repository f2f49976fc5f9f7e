"""Tests of ``aspencroft.ring.fellow``."""

import aspencroft.ring.fellow as fellow


def test_watchers_spread_over_areas_and_everyone_is_watched():
    fellows = {f"n:{number}": fellow.Fellow(f"n:{number}", 1, 0, fellow.LIVE, "abc"[number % 3], "core", "", False, ())
               for number in range(16)}
    for address in fellows:
        named = fellow.watchers(address, fellows, 3)
        assert len(set(named)) == 3 and address not in named
        assert {fellows[one].area for one in named} == {"a", "b", "c"}
