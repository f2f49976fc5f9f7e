"""Which nodes should be voters (witnesses) of this cluster, as far as this node knows."""

import datetime

from aspencroft.consensus import proposer, witness_changes, witness_placement
from aspencroft.distribution import relay
from aspencroft.membership import cluster_member, failure_detector
from aspencroft.node import settings
from aspencroft.runtime import clock

VOTER_LOST_AFTER = clock.seconds(1.5)
"""A voter that is not live for less than this is expected back; a voter set is not changed for a short fault."""


class VoterSelection:
    """Chooses the voters that the control group's primary should change the voter set to."""

    def __init__(
        self,
        node_settings: settings.Settings,
        detector: failure_detector.FailureDetector,
        voters: proposer.Proposer,
        configuration: relay.Relay,
    ):
        self.settings = node_settings
        self.failure_detector = detector
        self.proposer = voters
        self.relay = configuration
        self.not_live_since: dict[str, datetime.timedelta] = {}
        self.last_checked = clock.ZERO

    def preferred_voters(self) -> tuple[str, ...]:
        """The voters by the configuration, else by the settings of all live nodes if they agree; none while unclear.

        None as well while one of them is not live: a voter set is only changed to voters that can learn and vote.
        """
        preferred = self.relay.configuration.seeds
        if not preferred and self.settings.witnesses == settings.CORE:
            return self.preferred_core_voters()
        if not preferred:
            named = {
                member.seeds for member in self.failure_detector.peers.values() if member.state == cluster_member.LIVE
            }
            preferred = named.pop() if len(named) == 1 else ()
        all_live = all(self.failure_detector.state(address) == cluster_member.LIVE for address in preferred)
        return preferred if all_live else ()

    def preferred_core_voters(self) -> tuple[str, ...]:
        """The voters where live core nodes are; one that is not live for VOTER_LOST_AFTER counts as lost.

        How long a voter is not live counts anew when nobody asked for longer than a step of a change takes: another
        node may have been the primary, or this process stood still.
        """
        now, present = clock.now(), self.proposer.voter_set.present
        not_live = [address for address in present if self.failure_detector.state(address) != cluster_member.LIVE]
        if now - self.last_checked > witness_changes.LONGEST_STEP:
            self.not_live_since = {}
        self.last_checked = now
        self.not_live_since = {address: self.not_live_since.get(address, now) for address in not_live}
        lost = frozenset(address for address in not_live if now - self.not_live_since[address] >= VOTER_LOST_AFTER)
        cores = tuple(
            address
            for address in self.failure_detector.live()
            if self.failure_detector.state(address) == cluster_member.LIVE
            and self.failure_detector.peers[address].role == settings.CORE
        )
        return witness_placement.choose_witnesses(present, cores, lost)
