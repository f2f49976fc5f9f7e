"""Tests of ``aspencroft.sim.liar``."""

import random

import aspencroft.sim.liar as liar


def test_odd_bytes_are_odd_and_by_seed():
    sound = b'{"workers": [{"name": "a", "services": ["b"]}]}'
    for seed in range(300):
        odd = liar.odd_bytes(sound, random.Random(seed))
        assert odd != sound and odd == liar.odd_bytes(sound, random.Random(seed))
