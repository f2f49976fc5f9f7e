"""A duty that one node does: the first live node in an agreed order, under an epoch."""

import asyncio
import collections.abc

import logbook

import aspencroft.code.result as result
import aspencroft.plan.control as control
import aspencroft.ring.fellow as fellow
import aspencroft.seam.moment as moment

LOG = logbook.Logger("duty")
RENEW = moment.seconds(0.5)
WITHIN = moment.seconds(1)
WORDS = 4096


def first_of(name: str, fellows: dict[str, fellow.Fellow], role: str = "") -> str:
    """The node that should do a duty: the first live one of a role, or of the control plane, in the duty's order.

    Example: ``first_of("residency", ring.fellows)``
    """
    able = [one.address for one in fellows.values() if one.state == fellow.LIVE
            and (one.role == role if role else one.role != "edge")]
    return min(able, key=lambda address: fellow.position(name + address), default="")


class Duty:
    """A node's claim on a duty.

    Example: ``if duty.held(): ...`` at each step, as the claim may have run out meanwhile.
    """

    def __init__(self, name: str, address: str, incarnation: int,
                 fellows: collections.abc.Callable[[], dict[str, fellow.Fellow]],
                 submit: collections.abc.Callable, role: str = ""):
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.fellows = fellows
        self.submit = submit
        self.role = role
        self.epoch = 0
        self.end = moment.ZERO
        self.words: asyncio.Queue = asyncio.Queue(WORDS)

    def held(self) -> bool:
        """Whether this node may do the duty at this moment.

        Example: ``duty.held()``
        """
        return moment.now() < self.end

    async def run(self) -> None:
        """Claim the duty while first in its order, and go on claiming it.

        Example: ``group.create_task(duty.run())``
        """
        while True:
            if first_of(self.name, self.fellows(), self.role) == self.address:
                asked = moment.now()
                try:
                    taken = await self.submit(0, control.TakeDuty(self.name, self.address, self.incarnation), WITHIN)
                    if self.epoch != taken.epoch:
                        LOG.info("does {} under epoch {}", self.name, taken.epoch)
                    self.epoch, self.end = taken.epoch, asked + control.DUTY_CLAIM
                except result.Refusal as refusal:
                    LOG.info("duty {}: {}", self.name, refusal)
            await moment.pause(RENEW)
