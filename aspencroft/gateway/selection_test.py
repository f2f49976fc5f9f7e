"""Tests of ``aspencroft.gateway.selection``."""

import itertools
import random

import aspencroft.gateway.selection as selection_module
from aspencroft.workers import worker


def test_never_a_leaving_worker_nor_a_service_outside():
    workers = tuple(
        worker.Worker(f"w{number}", "http://h", "model", services, number == 0, 1, 2)
        for number, services in enumerate([("a",), ("a", "b"), ("b",), ("c",)])
    )
    for leaving, tried, troubled in itertools.product([frozenset(), frozenset({"w1"})], repeat=3):
        view = selection_module.sample_view(
            0,
            workers=workers,
            leaving=leaving,
            demand={"w2": 2},
            troubled=troubled,
            held={"w1": frozenset({"b"})},
        )
        selected = selection_module.select_worker(("a", "b"), "p", view, tried, random.Random(1))
        if selected.worker is None:
            assert "w1" in leaving | tried
        else:
            assert selected.worker.name == "w1" and selected.service == "b"
            assert "w1" not in leaving | tried


def test_reluctance_sound_then_failed_then_resting_and_full_ones_wake_the_resting():
    randomness = random.Random(1)
    failed, asleep = frozenset({"w1"}), frozenset({"w2"})
    view = selection_module.sample_view(3, troubled=failed, quiet=asleep)
    assert {
        selection_module.select_worker(("a",), "", view, frozenset(), randomness).worker.name for _ in range(50)
    } == {"w0"}
    assert selection_module.select_worker(("a",), "", view, frozenset({"w0"}), randomness).worker.name == "w1"
    assert (
        selection_module.select_worker(
            ("a",),
            "",
            selection_module.sample_view(3, troubled=frozenset({"w0", "w1"}), quiet=asleep),
            frozenset({"w0", "w1"}),
            randomness,
        ).worker.name
        == "w2"
    )
    all_full = selection_module.select_worker(
        ("a",), "", selection_module.sample_view(3, quiet=asleep, demand={"w0": 2, "w1": 2}), frozenset(), randomness
    )
    assert all_full.worker is None and all_full.full and all_full.wake == ("w2",)


def test_edges_that_know_nothing_of_each_other_spread_over_equal_workers():
    selected = [
        selection_module.select_worker(
            ("a",), "", selection_module.sample_view(8), frozenset(), random.Random(seed)
        ).worker.name
        for seed in range(400)
    ]
    counts = [selected.count(f"w{number}") for number in range(8)]
    assert min(counts) > 25 and max(counts) < 85, counts
    held = {"w3": frozenset({"a"}), "w5": frozenset({"a"})}
    assert {
        selection_module.select_worker(
            ("a",), "", selection_module.sample_view(8, held=held), frozenset(), random.Random(seed)
        ).worker.name
        for seed in range(50)
    } == {"w3", "w5"}
    assert (
        selection_module.select_worker(
            ("a",),
            "p",
            selection_module.sample_view(8, held=held, homes={"p": "w5"}),
            frozenset(),
            random.Random(1),
        ).worker.name
        == "w5"
    )
