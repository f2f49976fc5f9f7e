"""One incarnation of a worker, as listed by the platform."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class Instance:
    """An incarnation of a worker: its name is unique, while its address may be reused by a later incarnation.

    ``cold`` is the warm-up time that remained when the list was read, ``slots`` the number of requests that the worker
    runs at once.
    """

    name: str
    address: str
    service: str
    zone: str
    version: str
    slots: int
    draining: bool
    cold: datetime.timedelta
