"""Tests of ``aspencroft.sim.judge``."""

import dataclasses

import aspencroft.sim.judge as judge


def test_the_judge_sees_each_fault():
    sound = judge.sample()
    assert judge.faults(sound) == []
    body, noted = sound.seen[0], sound.noted[0]
    signal = {"request": "r2", "service": "m", "input": {"name": "k", "keyed": True}, "worker": "w", "at": 1.0}
    wrong = [judge.sample(ran={"r1": 2}), judge.sample(seen=(body, signal, {**signal, "request": "r3"})),
             judge.sample(noted=(dataclasses.replace(noted, ran="not run"),)), judge.sample(put_out={"r1": 16}),
             judge.sample(seen=({**body, "history": [["a", "b"]], "turn": 2},)), judge.sample(allowed=frozenset()),
             judge.sample(leaving={"w": -3.0}), judge.sample(told=("piece",)),
             judge.sample(noted=(dataclasses.replace(noted, result=1901),))]
    for one in wrong:
        assert len(judge.faults(one)) == 1, judge.faults(one)
