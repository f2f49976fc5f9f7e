"""The alerts duty: evaluates operators' rules over the nodes' samples, publishes states and controls."""

import dataclasses
import datetime
import json

import logbook

from aspencroft.configuration import alert_expression, alert_rule
from aspencroft.leadership import singleton_role
from aspencroft.node import node
from aspencroft.residency import residency
from aspencroft.runtime import clock, supervision
from aspencroft.tracing import sample

LOG = logbook.Logger("alerts.alerts")
TOPIC = "alerts"
STEP = clock.seconds(1)
STALE = clock.seconds(8)
MOST_NODES = 512
INACTIVE, PENDING, FIRING = "inactive", "pending", "firing"


@dataclasses.dataclass(frozen=True)
class State:
    """A rule's state: since when it holds without a break, and when it was last seen to hold."""

    state: str
    since: datetime.timedelta
    last: datetime.timedelta


def step(
    before: State, holds: bool, wait: datetime.timedelta, keep: datetime.timedelta, now: datetime.timedelta
) -> State:
    """A rule's next state: pending for its wait, then firing, and kept firing a while after it last held, so
    that a rule that flaps does not make the fleet flap.
    """
    if holds:
        since = now if before.state == INACTIVE else before.since
        fires = before.state == FIRING or now - since >= wait
        return State(FIRING if fires else PENDING, since, now)
    if before.state == FIRING and now - before.last < keep:
        return before
    return State(INACTIVE, now, before.last)


class Alerts:
    """The work of the duty's holder. A new holder goes on from the states that were published."""

    def __init__(self, own: node.Node):
        self.node = own
        self.duty = singleton_role.SingletonRole(
            "alerts", own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit
        )
        own.singleton_roles["alerts"] = self.duty
        self.heard: dict[str, tuple[datetime.timedelta, tuple[sample.Sample, ...]]] = {}
        self.states: dict[str, State] = {}
        self.held = False
        self.published = ""

    async def run(self) -> None:
        """Compete for the duty; hear samples and evaluate while it is held."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("alerts duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("alerts hear", self.hear, self.node.standing))
            group.create_task(supervision.stand("alerts evaluate", self.evaluate, self.node.standing))

    async def hear(self) -> None:
        """Take samples from nodes."""
        while True:
            message = await self.duty.inbox.get()
            if isinstance(message, sample.Sampled) and (message.node in self.heard or len(self.heard) < MOST_NODES):
                self.heard[message.node] = (clock.now(), message.samples)

    async def evaluate(self) -> None:
        """One step a second while the duty is held."""
        while True:
            await clock.sleep(STEP)
            if not self.duty.has_lease():
                self.held = False
                continue
            now = clock.now()
            if not self.held:
                self.take_over(now)
            self.heard = {name: one for name, one in self.heard.items() if now - one[0] < STALE}
            samples = tuple(one for _, each in self.heard.values() for one in each)
            rules = self.node.relay.configuration.rules
            fresh = State(INACTIVE, now, now)
            self.states = {
                name: step(
                    self.states.get(name, fresh), alert_expression.holds(one.tree, samples), one.wait, one.keep, now
                )
                for name, one in rules.items()
            }
            body = json.dumps(
                {
                    "holder": self.node.address,
                    "epoch": self.duty.epoch,
                    "rules": {name: one.state for name, one in sorted(self.states.items())},
                    **controls(rules, self.states),
                }
            )
            known = self.node.relay.topics.get(TOPIC)
            if known is None or known.body != body:
                await residency.publish(self.node, self.duty, TOPIC, body)

    def take_over(self, now: datetime.timedelta) -> None:
        """Go on from what was published: what fires goes on firing while it is evaluated anew."""
        known = self.node.relay.topics.get(TOPIC)
        shown = json.loads(known.body).get("rules", {}) if known is not None else {}
        self.states = {name: State(state, now, now) for name, state in shown.items()}
        self.heard, self.held = {}, True


def controls(rules: dict[str, alert_rule.Rule], states: dict[str, State]) -> dict:
    """What firing rules ask of the rest duty, the residency duty and the edges."""
    firing = [one for name, one in rules.items() if states[name].state == FIRING]
    return {
        "keep_awake": any(one.control == alert_rule.KEEP_AWAKE for one in firing),
        "hold_moves": any(one.control == alert_rule.HOLD_MOVES for one in firing),
        "shed": min((one.urgency for one in firing if one.control == alert_rule.SHED), default=10),
    }
