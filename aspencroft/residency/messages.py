"""What edges tell the holders of the residency and rest duties: one family of records."""

import dataclasses
import datetime

from aspencroft.transport import codec


@codec.kind(160)
@dataclasses.dataclass(frozen=True)
class Called:
    """A call was served by a worker in so much time; its KV there grew to so many tokens."""

    program: str
    service: str
    worker: str
    tokens: int
    took: datetime.timedelta


@codec.kind(161)
@dataclasses.dataclass(frozen=True)
class Intended:
    """A planner's header named the models that a program calls next."""

    program: str
    models: tuple[str, ...]


@codec.kind(162)
@dataclasses.dataclass(frozen=True)
class Wanted:
    """A resting worker was needed."""

    worker: str
