"""The residency duty at sizes that simulated worlds do not reach."""

import random

from aspencroft.benchmarks import slopes
from aspencroft.runtime import clock


def test_a_service_of_very_many_workers_is_solved_for_all_of_them():
    duty = slopes.believed(slopes.SERVICES * 600, 50, random.Random(1))
    for belief in duty.beliefs.values():
        belief.kept = {}
    duty.decide(clock.seconds(100))
    assert len(duty.keeps) == slopes.SERVICES * 600
