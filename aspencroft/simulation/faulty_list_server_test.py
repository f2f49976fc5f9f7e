"""Tests of ``aspencroft.simulation.faulty_list_server``."""

import random

from aspencroft.simulation import faulty_list_server


def test_odd_bytes_are_odd_and_by_seed():
    sound = b'{"workers": [{"name": "a", "services": ["b"]}]}'
    for seed in range(300):
        odd = faulty_list_server.odd_bytes(sound, random.Random(seed))
        assert odd != sound and odd == faulty_list_server.odd_bytes(sound, random.Random(seed))
