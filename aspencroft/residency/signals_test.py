"""Tests of ``aspencroft.residency.signals``."""

import aspencroft.residency.signals as signals_module
from aspencroft.residency import tap
from aspencroft.runtime import clock


def test_intent_outranks_transitions_outrank_popularity():
    signals, services, now = signals_module.Signals(), ("planner", "coder", "math"), clock.seconds(1)
    for _turn in range(20):
        signals.called("p", "planner", now)
        signals.called("p", "coder", now)
    signals.called("p", "planner", now)
    session = signals.sessions["p"]
    assert signals.next_of(session, "coder", services, now) > 0.8 > signals.next_of(session, "math", services, now)
    signals.intend("p", tap.Intent(("math",)), now)
    assert signals.next_of(signals.sessions["p"], "math", services, now) == signals_module.LOCKED
    late = now + signals_module.INTENT_LIFE
    assert signals.next_of(signals.sessions["p"], "math", services, late) < 0.5
    assert signals.reuse("coder", services, clock.seconds(5), now + signals_module.SESSION_LIFE) < 0.1
