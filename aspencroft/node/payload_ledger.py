"""What each session group may hold, as one machine agrees to it: the sum of all stays within its memory."""

import collections.abc
import dataclasses
import datetime

from aspencroft.node import payload_limit
from aspencroft.runtime import clock
from aspencroft.transport import codec

GRANT_PERIOD = clock.seconds(10)
"""How long a grant counts without a renewal: longer than a takeover, after which the new primary renews it."""


@codec.kind(196)
@dataclasses.dataclass(frozen=True)
class ReservePayload:
    """Request of a group's primary: let the group hold so many bytes, of which it holds some already."""

    group_id: int
    held_bytes: int
    wanted_bytes: int


@codec.kind(197)
@dataclasses.dataclass(frozen=True)
class PayloadReserved:
    """Reply: the bytes that the group may hold; fewer than wanted if the machine could not bear more."""

    granted_bytes: int


@dataclasses.dataclass(frozen=True)
class Grant:
    """What a group was granted, or holds if that is more, and until when."""

    size: int
    end: datetime.timedelta


class PayloadLedger:
    """The grants of one machine to all session groups, whether it has a replica of them or may get one after losses.

    Each group has a base that it need not ask for. Beyond it a group is granted what this machine could bear if it
    held the largest groups, as many as its disk holds replicas once the losses to be borne have happened.
    ``held`` returns what the replicas on this machine hold now, by group.
    """

    def __init__(
        self,
        plan: collections.abc.Callable[[], payload_limit.PayloadPlan],
        held: collections.abc.Callable[[], dict[int, int]],
    ) -> None:
        self.plan = plan
        self.held = held
        self.grants: dict[int, Grant] = {}

    def reserve(self, request: ReservePayload) -> PayloadReserved:
        """Grant a group what it wants, or as much of it as is free, and at least the base."""
        plan = self.plan()
        free = plan.total_bytes - self.others(request.group_id, plan)
        granted = max(plan.base_bytes, min(request.wanted_bytes, free, payload_limit.MAX_GROUP_BYTES))
        self.grants[request.group_id] = Grant(max(granted, request.held_bytes), clock.now() + GRANT_PERIOD)
        return PayloadReserved(granted)

    def others(self, group_id: int, plan: payload_limit.PayloadPlan) -> int:
        """Return the most bytes that the other groups on this machine may hold together."""
        now, held = clock.now(), self.held()
        self.grants = {group: grant for group, grant in self.grants.items() if grant.end > now}
        sizes = []
        for group in range(1, plan.groups + 1):
            if group != group_id:
                grant = self.grants.get(group)
                sizes.append(max(plan.base_bytes, held.get(group, 0), grant.size if grant is not None else 0))
        return sum(sorted(sizes, reverse=True)[: plan.replicas - 1])
