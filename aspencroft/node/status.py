"""What a node says of itself: the status document, its samples, and a log line when the majority of voters is lost."""

import collections.abc
import json

import logbook

from aspencroft.membership import cluster_member
from aspencroft.node import node_view
from aspencroft.runtime import clock, events
from aspencroft.tracing import sample

LOG = logbook.Logger("node.status")
SAMPLE_PERIOD = clock.seconds(2)
MAJORITY_LOST = (
    "no majority of voters: leases run out within a second, then no group acknowledges anything and no primary, "
    "replica set or voter set changes, until {} more voters are back with their disks; "
    "all that was acknowledged is kept"
)


class StatusReporter:
    """Reports what an operator should see of a node."""

    def __init__(self, node: node_view.NodeView):
        self.node = node
        self.sample_sources: list[collections.abc.Callable[[], list[sample.Sample]]] = [self.node_samples]
        self.sections: dict[str, collections.abc.Callable[[], dict]] = {}
        self.has_majority: bool | None = None

    def quorum(self) -> dict:
        """Which voters are live as far as this node knows, how many more may be lost.

        And what the loss of a majority does.
        """
        voter_set, detector = self.node.proposer.voter_set, self.node.failure_detector
        suspected = detector.view.suspected
        live = [
            address
            for address in voter_set.all_voters()
            if detector.state(address) == cluster_member.LIVE and address not in suspected
        ]
        left = voter_set.losses_left(live)
        return {
            "live": live,
            "missing": sorted(set(voter_set.all_voters()) - set(live)),
            "losses_left": left,
            "means": MAJORITY_LOST.format(-left) if left < 0 else "",
        }

    def log_majority_changes(self) -> None:
        """Log when the majority of voters, once seen, is lost and when it is back."""
        quorum = self.quorum()
        has_majority = quorum["losses_left"] >= 0
        if self.has_majority and not has_majority:
            missing = ", ".join(quorum["missing"])
            events.report(
                LOG,
                events.EventFields(events.Event.MAJORITY_LOST, member=missing),
                "majority of voters lost: {} are not live; {}",
                missing,
                quorum["means"],
                level=logbook.ERROR,
            )
        elif self.has_majority is False and has_majority:
            live = ", ".join(quorum["live"])
            events.report(
                LOG,
                events.EventFields(events.Event.MAJORITY_BACK, member=live),
                "majority of voters is back: {} are live",
                live,
                level=logbook.WARNING,
            )
        if has_majority or self.has_majority is not None:
            self.has_majority = has_majority

    def status(self) -> dict:
        """The status document; its keys are those that operators.md names."""
        node = self.node
        return {
            "address": node.address,
            "area": node.settings.area,
            "role": node.settings.role,
            "incarnation": node.incarnation,
            "leaving": node.stopping.is_set(),
            "unmet_bounds": list(node.unmet_bounds),
            "plan": {
                "revision": node.relay.revision.text(),
                "current": node.relay.current(),
                "root": node.relay.root,
                "parent": node.relay.parent(),
                "children": sorted(node.relay.children),
            },
            "witness": {
                "voting": node.witness.voting,
                "why": node.witness_bootstrap.status_reason,
                "roster": list(node.proposer.voter_set.all_voters()),
                "roster_number": node.proposer.voter_set.number,
            },
            "quorum": self.quorum(),
            "fellows": self.members(),
            "suspected": sorted(node.failure_detector.view.suspected),
            "copies": node.settings.copies,
            **self.groups(),
            "duties": {
                name: {"held": role.has_lease(), "epoch": role.epoch} for name, role in node.singleton_roles.items()
            },
            "faults": {"outside": dict(node.outside), "standing tasks": dict(node.standing)},
            "counts": {
                "link": dict(node.link.counts),
                "ring": node.failure_detector.counts,
                "relay": node.relay.counts,
            },
            **{name: section() for name, section in self.sections.items()},
        }

    def members(self) -> list[dict]:
        """The members of the cluster that this node knows."""
        return [
            {
                "address": member.address,
                "state": cluster_member.STATES[member.state],
                "area": member.area,
                "role": member.role,
                "http": member.http,
                "disk": member.disk,
            }
            for member in self.node.failure_detector.table().members
        ]

    def groups(self) -> dict:
        """The replica sets of all groups by the newest records here, and the replicas on this node."""
        return {
            "holders": {
                str(group_id): {
                    "epoch": record.epoch,
                    "primary": record.primary.address,
                    "backups": [backup.address for backup in record.backups],
                }
                for group_id, record in sorted(self.node.failure_detector.records.items())
            },
            "pairs": {
                str(group_id): {
                    "why": held.status_reason,
                    "claimed": held.has_lease(),
                    "sequence": held.replica.last().sequence,
                    "disk": held.replica.condition.value,
                    **held.counts,
                }
                for group_id, held in self.node.group_replicas.items()
            },
        }

    def node_samples(self) -> list[sample.Sample]:
        """The samples that every node has, whatever its role."""
        node = self.node
        found = [
            sample.sample("aspencroft_plan_current", node.relay.current()),
            sample.sample("aspencroft_plan_number", node.relay.revision.number),
            sample.sample("aspencroft_leaving", node.stopping.is_set()),
            sample.sample(
                "aspencroft_fellows_live",
                sum(member.state == cluster_member.LIVE for member in node.failure_detector.peers.values()),
            ),
            sample.sample("aspencroft_faults_outside", sum(node.outside.values())),
            sample.sample("aspencroft_faults_standing", sum(node.standing.values())),
        ]
        for group_id, held in node.group_replicas.items():
            pair = str(group_id)
            is_serving = held.has_lease() and held.status_reason == "serving"
            found.append(sample.sample("aspencroft_pair_serving", is_serving, pair=pair))
            found.append(sample.sample("aspencroft_pair_entries", held.replica.last().sequence, pair=pair))
        return [*found, *node.memory.samples()]

    def samples(self) -> tuple[sample.Sample, ...]:
        """All samples of this node, each with the labels node, area and role."""
        labels = {
            "node": self.node.address,
            "area": self.node.settings.area,
            "role": self.node.settings.role,
        }
        return tuple(
            sample.sample(found.name, found.value, **labels, **{label.name: label.value for label in found.labels})
            for source in self.sample_sources
            for found in source()
        )

    async def send_samples(self) -> None:
        """Send this node's samples to the holder of the alerts role, while the configuration has rules."""
        node = self.node
        while True:
            await clock.sleep(SAMPLE_PERIOD)
            known = node.relay.topics.get("alerts")
            holder = json.loads(known.body).get("holder") if known is not None else None
            if holder and node.relay.configuration.rules:
                if holder == node.address:
                    node.deliver_to_roles(sample.Sampled(node.address, node.samples()))
                else:
                    node.link.notify(holder, sample.Sampled(node.address, node.samples()))
