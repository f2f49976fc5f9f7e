"""Tests of ``aspencroft.consensus.witness_placement``."""

import random

from aspencroft.consensus import witness_placement

NO_LOSS: frozenset[str] = frozenset()


def test_all_of_five_cores_become_witnesses():
    assert witness_placement.choose_witnesses(("a", "b", "c"), ("a", "b", "c", "d", "e"), NO_LOSS) == (
        "a",
        "b",
        "c",
        "d",
        "e",
    )


def test_an_even_number_leaves_the_last_one_out_and_drops_no_present_witness():
    assert witness_placement.choose_witnesses(("a", "b", "c"), ("d", "a", "b", "c"), NO_LOSS) == ("a", "b", "c")
    assert witness_placement.choose_witnesses(("a", "b", "c"), ("f", "d", "e", "a", "b", "c"), NO_LOSS) == (
        "a",
        "b",
        "c",
        "d",
        "f",
    )
    assert witness_placement.choose_witnesses(("a", "b"), ("a", "b", "c"), NO_LOSS) == ("a", "b", "c")


def test_a_lost_witness_is_replaced_only_by_a_live_core_that_is_none_yet():
    five = ("a", "b", "c", "d", "e")
    assert witness_placement.choose_witnesses(five, ("a", "b", "c", "d"), frozenset({"e"})) == five
    assert witness_placement.choose_witnesses(five, ("a", "b", "c", "d", "f"), frozenset({"e"})) == (
        "a",
        "b",
        "c",
        "d",
        "f",
    )
    assert witness_placement.choose_witnesses(five, ("a", "b", "c", "d", "f"), NO_LOSS) == five


def test_the_choice_is_odd_bounded_and_at_rest_once_adopted():
    for seed in range(2000):
        randomness = random.Random(seed)
        names = [f"n{number}" for number in range(12)]
        present = tuple(randomness.sample(names, randomness.choice((1, 3, 5, 7, 9))))
        cores = tuple(randomness.sample(names, randomness.randrange(13)))
        lost = frozenset(address for address in present if address not in cores and randomness.random() < 0.5)
        chosen = witness_placement.choose_witnesses(present, cores, lost)
        assert len(chosen) % 2 == 1 and len(present) <= len(chosen) <= 9
        assert set(present) - lost <= set(chosen)
        assert witness_placement.choose_witnesses(chosen, cores, lost & set(chosen)) == chosen
