"""Breadth-first exploration of a model's states to a stated bound, with the trace to a broken invariant."""

import dataclasses
import gc
import time
import typing


class Model(typing.Protocol):
    """What an explorer needs of a model: states are hashable and say themselves whether an invariant is broken."""

    def initial(self) -> typing.Hashable:
        """The state to begin with."""

    def successors(self, state: typing.Hashable) -> typing.Iterable[tuple[str, typing.Hashable]]:
        """Each step that is possible in a state, by its name, and the state after it."""

    def violation(self, state: typing.Hashable) -> str | None:
        """The invariant that a state breaks, or nothing."""


@dataclasses.dataclass(frozen=True)
class Bound:
    """How far to go: steps from the first state, and states in all."""

    depth: int
    states: int


@dataclasses.dataclass(frozen=True)
class Exploration:
    """What came of it: states, steps followed, the depth that was searched whole, a violation with its trace."""

    states: int
    steps: int
    depth: int
    complete: bool
    seconds: float
    violation: str | None
    trace: tuple[str, ...]

    def text(self) -> str:
        """One line for people."""
        reach = "all states" if self.complete else f"whole to depth {self.depth}"
        verdict = self.violation or "no invariant broken"
        return f"{self.states} states, {self.steps} steps, {reach}, {self.seconds:.1f} s: {verdict}"


def explore(model: Model, bound: Bound) -> Exploration:
    """Visit every state within the bound once, nearest first."""
    gc.disable()
    try:
        return search(model, bound)
    finally:
        gc.enable()


def search(model: Model, bound: Bound) -> Exploration:
    """The search itself; states are never in cycles, so that nothing is lost without the garbage collector."""
    began = time.perf_counter()
    first = model.initial()
    reached: dict[typing.Hashable, tuple[typing.Hashable, str] | None] = {first: None}
    frontier, depth, steps = [first], 0, 0

    def outcome(complete: bool, violation: str | None = None, trace: tuple[str, ...] = ()) -> Exploration:
        return Exploration(len(reached), steps, depth, complete, time.perf_counter() - began, violation, trace)

    while frontier and depth < bound.depth:
        following = []
        for state in frontier:
            for name, after in model.successors(state):
                steps += 1
                if after in reached:
                    continue
                reached[after] = (state, name)
                broken = model.violation(after)
                if broken is not None:
                    return outcome(False, broken, trace_to(after, reached))
                following.append(after)
            if len(reached) >= bound.states:
                return outcome(False)
        frontier, depth = following, depth + 1
    return outcome(not frontier)


def trace_to(state: typing.Hashable, reached: dict) -> tuple[str, ...]:
    """The names of the steps that led to a state."""
    names = []
    while reached[state] is not None:
        state, name = reached[state]
        names.append(name)
    return tuple(reversed(names))
