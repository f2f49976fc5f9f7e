"""Tests of ``aspencroft.duty.duty``."""

import aspencroft.duty.duty as duty
import aspencroft.ring.fellow as fellow


def test_every_node_agrees_on_the_first():
    fellows = {f"n:{number}": fellow.Fellow(f"n:{number}", 1, 0, fellow.LIVE, "a", "core", "", False, ())
               for number in range(9)}
    first = duty.first_of("residency", fellows)
    turned = dict(reversed(fellows.items()))
    assert duty.first_of("residency", turned) == first
    import dataclasses
    fellows[first] = dataclasses.replace(fellows[first], state=fellow.DOWN)
    assert duty.first_of("residency", fellows) not in ("", first)
