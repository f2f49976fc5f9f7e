"""The model of the relays: nobody acts on what an acknowledged order replaced, and nobody steps back."""

import hypothesis
import pytest
from hypothesis import strategies

from aspencroft.simulation import explorer, model_check, model_check_test, relay_model

SMALL = explorer.Bound(depth=80, states=9_000)
MANY = relay_model.Budget(commits=3, clock_steps=10, lost_replies=3, restarts=2, unfit_updates=2)
CHOICES = strategies.lists(strategies.integers(0, 1 << 16), min_size=80, max_size=80)


@pytest.mark.parametrize("check", model_check.relay_checks(), ids=lambda one: one.name)
def test_relays_keep_every_invariant_to_the_small_bound(check):
    model_check_test.assert_kept(check, SMALL)


@hypothesis.settings(model_check_test.WALK, max_examples=30)
@hypothesis.given(CHOICES)
def test_long_walks_of_relays_keep_every_invariant(choices):
    model_check_test.walk(relay_model.RelayModel(MANY), choices)
