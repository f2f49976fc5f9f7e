"""Tests of ``aspencroft.emulator.backend``."""

import asyncio
import random

from aspencroft.emulator import backend


def test_a_model_worker_drops_idle_things_but_never_overfills():
    async def scenario():
        stand = backend.ModelWorker("m1", ("a", "b"), {"a": 40, "b": 70}, random.Random(1), memory=100)
        await stand.load("model:a")
        await stand.load("model:b")
        assert stand.used() <= 100 and "model:b" in stand.kept and "model:a" not in stand.kept
        assert (await stand.order({"epoch": 2, "release": ["model:b"], "offload": [], "load": [], "restore": []}))[
            0
        ] == 200
        assert (await stand.order({"epoch": 1, "release": [], "offload": [], "load": [], "restore": []}))[0] == 409

    asyncio.run(scenario())
