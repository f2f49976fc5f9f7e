"""The failure detector of a node: its view of the cluster, table exchange, and suspicion of silent members."""

from aspencroft.consensus import proposer, replica_set
from aspencroft.membership import cluster_member, membership_view, suspicion, table_exchange
from aspencroft.runtime import environment, supervision
from aspencroft.transport import connections


class FailureDetector:
    """The interface of membership for other packages; ``peers``, ``records`` and ``down_since`` belong to the view."""

    def __init__(
        self,
        services: environment.Environment,
        link: connections.Link,
        me: cluster_member.ClusterMember,
        seeds: tuple[str, ...],
        voter_sets: proposer.Proposer,
    ) -> None:
        self.view = membership_view.MembershipView(me, voter_sets)
        self.exchange = table_exchange.TableExchange(services, link, self.view, seeds)
        self.suspicion = suspicion.SuspicionMonitor(link, self.view, self.exchange, services.randomness)
        self.peers = self.view.members
        self.records = self.view.records
        self.down_since = self.view.down_since
        self.changed = self.view.changed
        self.counts = self.view.counts

    @property
    def me(self) -> cluster_member.ClusterMember:
        """This node's own entry."""
        return self.view.me

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses that are probed while no live member is known there."""
        return self.exchange.seeds

    @seeds.setter
    def seeds(self, seeds: tuple[str, ...]) -> None:
        self.exchange.seeds = seeds

    def live(self) -> tuple[str, ...]:
        """Return the addresses of the members that are not down, in ring order."""
        return self.peers.live()

    def state(self, address: str) -> int:
        """Return a node's state; an unknown node counts as down."""
        return self.view.state(address)

    def table(self) -> cluster_member.MembershipTable:
        """Return everything that this node knows, ordered by address and group."""
        return self.view.table()

    def learn_record(self, record: replica_set.ReplicaSet) -> None:
        """Adopt a newer replica set of a group, and disseminate it."""
        self.view.learn_record(record)

    def merge_table(self, table: cluster_member.MembershipTable) -> None:
        """Merge another node's table."""
        self.view.merge_table(table)

    def leave(self) -> None:
        """Announce that this node is stopping."""
        self.view.leave()

    async def run(self) -> None:
        """Send heartbeats, watch members, disseminate updates and probe lost members for as long as the node runs."""
        async with supervision.Group() as group:
            group.create_task(self.exchange.send_heartbeats())
            group.create_task(self.suspicion.watch())
            group.create_task(self.exchange.disseminate())
            group.create_task(self.exchange.rejoin())
