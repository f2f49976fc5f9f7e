"""Tests of ``aspencroft.residency.tap``."""

import random

import aspencroft.residency.tap as tap_module


def test_headers_are_found_however_the_stream_is_cut():
    stream = (
        'think <calling> <call model="coder"> do <calls models="math, vision"> then <call model=bad> '
        '< call <call model="last">'
    )
    wanted = (
        tap_module.Intent(("coder",)),
        tap_module.Intent(("math", "vision")),
        tap_module.Intent(("last",)),
    )
    for seed in range(300):
        chance, tap, found, place = random.Random(seed), tap_module.Tap(), (), 0
        while place < len(stream):
            step = chance.randrange(1, 12)
            tap, fresh = tap.feed(stream[place : place + step])
            found += fresh
            place += step
        assert found == wanted
