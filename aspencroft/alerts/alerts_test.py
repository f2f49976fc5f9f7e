"""Tests of ``aspencroft.alerts.alerts``."""

from aspencroft.alerts import alerts
from aspencroft.runtime import clock


def test_a_rule_waits_fires_and_is_kept_firing_over_a_flap():
    now, keep, wait = clock.seconds(100), clock.seconds(15), clock.seconds(3)
    state, states = alerts.State(alerts.INACTIVE, now, now), []
    for second in range(60):
        flapping = 10 <= second < 30 and second % 2 == 0
        state = alerts.step(state, second < 6 or flapping, wait, keep, now + clock.seconds(second))
        states.append(state.state)
    assert states[:4] == [alerts.PENDING, alerts.PENDING, alerts.PENDING, alerts.FIRING]
    assert set(states[3 : 28 + 15]) == {alerts.FIRING} and set(states[28 + 16 :]) == {alerts.INACTIVE}
    state_without_truth = [alerts.step(alerts.State(alerts.INACTIVE, now, now), False, wait, keep, now).state]
    assert state_without_truth == [alerts.INACTIVE]
