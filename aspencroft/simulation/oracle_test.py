"""Tests of ``aspencroft.simulation.oracle``."""

import dataclasses

from aspencroft.simulation import oracle


def test_the_judge_sees_each_fault():
    sound = oracle.sample()
    assert oracle.faults(sound) == []
    body, noted = sound.seen[0], sound.noted[0]
    signal = {
        "request": "r2",
        "service": "m",
        "input": {"name": "k", "keyed": True},
        "worker": "w",
        "at": 1.0,
    }
    wrong = [
        oracle.sample(ran={"r1": 2}),
        oracle.sample(seen=(body, signal, {**signal, "request": "r3"})),
        oracle.sample(noted=(dataclasses.replace(noted, ran="not run"),)),
        oracle.sample(put_out={"r1": 16}),
        oracle.sample(seen=({**body, "history": [["a", "b"]], "turn": 2},)),
        oracle.sample(allowed=frozenset()),
        oracle.sample(leaving={"w": -3.0}),
        oracle.sample(told=("piece",)),
        oracle.sample(noted=(dataclasses.replace(noted, result=1901),)),
    ]
    for one in wrong:
        assert len(oracle.faults(one)) == 1, oracle.faults(one)
