"""Tests of ``aspencroft.simulation.mutations``."""

import aspencroft.simulation.mutations as breaks_module


def test_each_break_still_has_its_place_in_the_code():
    for one in breaks_module.MUTATIONS:
        for file, old, _ in one.places():
            text = (breaks_module.ROOT / "aspencroft" / file).read_text()
            assert text.count(old) == 1, (one.name, text.count(old))
