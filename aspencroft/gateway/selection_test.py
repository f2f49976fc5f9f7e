"""Tests of ``aspencroft.gateway.selection``."""

import itertools
import random

import aspencroft.gateway.selection as draw_module
from aspencroft.workers import worker


def test_never_a_leaving_worker_nor_a_service_outside():
    workers = tuple(
        worker.Worker(f"w{number}", "http://h", "model", services, number == 0, 1, 2)
        for number, services in enumerate([("a",), ("a", "b"), ("b",), ("c",)])
    )
    for leaving, tried, troubled in itertools.product([frozenset(), frozenset({"w1"})], repeat=3):
        view = draw_module.sample_view(
            0,
            workers=workers,
            leaving=leaving,
            demand={"w2": 2},
            troubled=troubled,
            held={"w1": frozenset({"b"})},
        )
        drawn = draw_module.draw(("a", "b"), "p", view, tried, random.Random(1))
        if drawn.worker is None:
            assert "w1" in leaving | tried
        else:
            assert drawn.worker.name == "w1" and drawn.service == "b"
            assert "w1" not in leaving | tried


def test_reluctance_sound_then_failed_then_resting_and_full_ones_wake_the_resting():
    chance = random.Random(1)
    failed, rests = frozenset({"w1"}), frozenset({"w2"})
    view = draw_module.sample_view(3, troubled=failed, quiet=rests)
    assert {draw_module.draw(("a",), "", view, frozenset(), chance).worker.name for _ in range(50)} == {"w0"}
    assert draw_module.draw(("a",), "", view, frozenset({"w0"}), chance).worker.name == "w1"
    assert (
        draw_module.draw(
            ("a",),
            "",
            draw_module.sample_view(3, troubled=frozenset({"w0", "w1"}), quiet=rests),
            frozenset({"w0", "w1"}),
            chance,
        ).worker.name
        == "w2"
    )
    crowd = draw_module.draw(
        ("a",), "", draw_module.sample_view(3, quiet=rests, demand={"w0": 2, "w1": 2}), frozenset(), chance
    )
    assert crowd.worker is None and crowd.full and crowd.wake == ("w2",)


def test_edges_that_know_nothing_of_each_other_spread_over_equal_workers():
    drawn = [
        draw_module.draw(("a",), "", draw_module.sample_view(8), frozenset(), random.Random(seed)).worker.name
        for seed in range(400)
    ]
    counts = [drawn.count(f"w{number}") for number in range(8)]
    assert min(counts) > 25 and max(counts) < 85, counts
    held = {"w3": frozenset({"a"}), "w5": frozenset({"a"})}
    assert {
        draw_module.draw(
            ("a",), "", draw_module.sample_view(8, held=held), frozenset(), random.Random(seed)
        ).worker.name
        for seed in range(50)
    } == {"w3", "w5"}
    assert (
        draw_module.draw(
            ("a",),
            "p",
            draw_module.sample_view(8, held=held, homes={"p": "w5"}),
            frozenset(),
            random.Random(1),
        ).worker.name
        == "w5"
    )
