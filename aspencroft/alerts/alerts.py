"""The alerts role: evaluates alert rules over the nodes' samples and publishes their states and controls."""

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
MAX_SAMPLE_AGE = clock.seconds(8)
MAX_NODES = 512
INACTIVE, PENDING, FIRING = "inactive", "pending", "firing"


@dataclasses.dataclass(frozen=True)
class State:
    """The state of a rule, the start of its uninterrupted truth, and the last time it was true."""

    state: str
    since: datetime.timedelta
    last: datetime.timedelta


def step(
    before: State, holds: bool, wait: datetime.timedelta, keep: datetime.timedelta, now: datetime.timedelta
) -> State:
    """Return a rule's next state: pending for its ``for`` time, then firing.

    It is kept firing for ``keep`` after it was last true, so that a flapping rule does not make the cluster flap.
    """
    if holds:
        since = now if before.state == INACTIVE else before.since
        fires = before.state == FIRING or now - since >= wait
        return State(FIRING if fires else PENDING, since, now)
    if before.state == FIRING and now - before.last < keep:
        return before
    return State(INACTIVE, now, before.last)


class Alerts:
    """The work of the role's holder; a new holder continues from the published states."""

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
        """Compete for the role; collect samples and evaluate rules while holding it."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("alerts duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("alerts hear", self.hear, self.node.standing))
            group.create_task(supervision.stand("alerts evaluate", self.evaluate, self.node.standing))

    async def hear(self) -> None:
        """Receive samples from nodes."""
        while True:
            message = await self.duty.inbox.get()
            if isinstance(message, sample.Sampled) and (message.node in self.heard or len(self.heard) < MAX_NODES):
                self.heard[message.node] = (clock.now(), message.samples)

    async def evaluate(self) -> None:
        """Evaluate all rules once a second while holding the role."""
        while True:
            await clock.sleep(STEP)
            if not self.duty.has_lease():
                self.held = False
                continue
            now = clock.now()
            if not self.held:
                self.take_over(now)
            self.heard = {name: entry for name, entry in self.heard.items() if now - entry[0] < MAX_SAMPLE_AGE}
            samples = tuple(one for _, node_samples in self.heard.values() for one in node_samples)
            rules = self.node.relay.configuration.rules
            initial = State(INACTIVE, now, now)
            self.states = {
                name: step(
                    self.states.get(name, initial),
                    alert_expression.holds(rule.tree, samples),
                    rule.wait,
                    rule.keep,
                    now,
                )
                for name, rule in rules.items()
            }
            body = json.dumps(
                {
                    "holder": self.node.address,
                    "epoch": self.duty.epoch,
                    "rules": {name: rule.state for name, rule in sorted(self.states.items())},
                    **controls(rules, self.states),
                }
            )
            current = self.node.relay.topics.get(TOPIC)
            if current is None or current.body != body:
                await residency.publish(self.node, self.duty, TOPIC, body)

    def take_over(self, now: datetime.timedelta) -> None:
        """Continue from the published states, so that firing rules keep firing until they are evaluated again."""
        published = self.node.relay.topics.get(TOPIC)
        states = json.loads(published.body).get("rules", {}) if published is not None else {}
        self.states = {name: State(state, now, now) for name, state in states.items()}
        self.heard, self.held = {}, True


def controls(rules: dict[str, alert_rule.Rule], states: dict[str, State]) -> dict:
    """Return what firing rules demand of the power role, the residency role and the edges."""
    firing = [rule for name, rule in rules.items() if states[name].state == FIRING]
    return {
        "keep_awake": any(rule.control == alert_rule.KEEP_AWAKE for rule in firing),
        "hold_moves": any(rule.control == alert_rule.HOLD_MOVES for rule in firing),
        "shed": min((rule.urgency for rule in firing if rule.control == alert_rule.SHED), default=10),
    }
