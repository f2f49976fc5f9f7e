"""One life of a worker, as the platform's list shows it."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class Instance:
    """A worker's life: its name is its own, while its address may be given to another life later.

    ``cold`` is how much longer the worker was to be slow when the list was read;
    ``slots`` the requests it works on at once.
    """

    name: str
    address: str
    service: str
    zone: str
    version: str
    slots: int
    draining: bool
    cold: datetime.timedelta
