"""Metric samples of a node, for /metrics and for alert rules."""

import dataclasses

from aspencroft.transport import codec


@codec.kind(170)
@dataclasses.dataclass(frozen=True)
class Label:
    """A label's name and value."""

    name: str
    value: str


@codec.kind(171)
@dataclasses.dataclass(frozen=True)
class Sample:
    """One value of a metric, with the metric's name and labels."""

    name: str
    labels: tuple[Label, ...]
    value: float


@codec.kind(172)
@dataclasses.dataclass(frozen=True)
class Sampled:
    """A node's samples, sent to the node that holds the alerts role."""

    node: str
    samples: tuple[Sample, ...]


def sample(name: str, value: float, **labels: str) -> Sample:
    """Return a sample whose labels are given as keyword arguments."""
    return Sample(name, tuple(Label(key, labels[key]) for key in sorted(labels)), float(value))
