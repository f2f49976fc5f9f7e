"""A node's view of the cluster: members, replica sets and voter set, and the merge of other nodes' tables."""

import asyncio
import dataclasses
import datetime
import hashlib

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.membership import cluster_member, member_table
from aspencroft.runtime import clock, events
from aspencroft.transport import codec

LOG = logbook.Logger("membership.membership_view")

ViewVersion = tuple[int, int, replica_set.VoterSet]


class MembershipView:
    """The node's own entry, and the members and replica sets that it knows.

    ``changed`` is set on every change, ``has_unsent_updates`` while changes wait to be disseminated. ``last_heard`` and
    ``down_since`` are times on the loop's clock by address. ``suspected`` are the watched members that have been silent
    for longer than the suspicion timeout, whether or not another node confirmed it.
    """

    def __init__(self, me: cluster_member.ClusterMember, voter_sets: proposer.Proposer) -> None:
        self.me = me
        self.proposer = voter_sets
        self.members = member_table.MemberTable()
        self.members[me.address] = me
        self.records: member_table.ChangeCountingDict[int, replica_set.ReplicaSet] = member_table.ChangeCountingDict()
        self.cached_digest: tuple[ViewVersion | None, bytes] = (None, b"")
        self.last_heard: dict[str, datetime.timedelta] = {}
        self.down_since: dict[str, datetime.timedelta] = {}
        self.suspected: frozenset[str] = frozenset()
        self.changed = asyncio.Event()
        self.has_unsent_updates = asyncio.Event()
        self.counts = {"suspicions": 0, "confirmed": 0, "denials": 0, "tables sent": 0, "odd entries": 0}

    def state(self, address: str) -> int:
        """Return a node's state; an unknown node counts as down."""
        return self.members[address].state if address in self.members else cluster_member.DOWN

    def table(self) -> cluster_member.MembershipTable:
        """Return everything that this node knows, ordered by address and group."""
        return cluster_member.MembershipTable(
            tuple(self.members[address] for address in sorted(self.members)),
            tuple(self.records[group_id] for group_id in sorted(self.records)),
            self.proposer.voter_set,
        )

    def drain_updates(self) -> cluster_member.MembershipTable:
        """Return the entries set since the last call."""
        return cluster_member.MembershipTable(
            self.members.drain_updates(), self.records.drain_updates(), self.proposer.voter_set
        )

    def digest(self) -> bytes:
        """Return a digest of the table; two nodes with equal digests have nothing to exchange."""
        version = self.version()
        if self.cached_digest[0] != version:
            parts = [
                codec.LENGTH.pack(len(self.members)),
                *(self.members.packed(address) for address in sorted(self.members)),
                codec.LENGTH.pack(len(self.records)),
                *(codec.pack(self.records[group_id]) for group_id in sorted(self.records)),
                codec.pack(self.proposer.voter_set),
            ]
            self.cached_digest = version, hashlib.blake2b(b"".join(parts), digest_size=8).digest()
        return self.cached_digest[1]

    def version(self) -> ViewVersion:
        """Return a version of the table that differs after every change."""
        return self.members.change_count, self.records.change_count, self.proposer.voter_set

    def signal_change(self) -> None:
        """Wake the tasks that wait for a change, and schedule its dissemination along the ring."""
        self.changed.set()
        self.has_unsent_updates.set()

    def learn_record(self, record: replica_set.ReplicaSet) -> None:
        """Adopt a newer replica set of a group, and disseminate it."""
        known = self.records.get(record.group_id)
        if known is None or record.epoch > known.epoch:
            self.records[record.group_id] = record
            self.signal_change()

    def merge_table(self, table: cluster_member.MembershipTable) -> None:
        """Merge another node's table; a newer entry about this node is refuted."""
        before = self.version()
        for member in table.members:
            self.merge_member(member)
        for record in table.records:
            self.merge_record(record)
        self.proposer.learn(table.voter_set)
        if self.version() != before:
            self.signal_change()

    def merge_record(self, record: replica_set.ReplicaSet) -> None:
        """Merge a group's replica set; one with an invalid group or epoch is dropped and counted."""
        known = self.records.get(record.group_id)
        if record.group_id < 0 or not 0 < record.epoch < cluster_member.NUMBER_LIMIT:
            self.counts["odd entries"] += 1
        elif known is None or record.epoch > known.epoch:
            self.records[record.group_id] = record

    def merge_member(self, member: cluster_member.ClusterMember) -> None:
        """Merge a member entry; an invalid one is dropped and counted."""
        if not member.is_valid():
            self.counts["odd entries"] += 1
            return
        if member.address == self.me.address:
            if member.precedence() > self.me.precedence():
                self.refute(member)
            return
        known = self.members.get(member.address)
        if known is not None and member.precedence() <= known.precedence():
            return
        if known is None and member.state == cluster_member.DOWN:
            return
        self.members[member.address] = member
        if member.state == cluster_member.DOWN:
            self.down_since[member.address] = clock.now()
        else:
            self.down_since.pop(member.address, None)
            if known is None or known.state == cluster_member.DOWN:
                # Gives a newly known member time to send its first heartbeat before it can be suspected.
                self.last_heard[member.address] = clock.now()
        if known is not None:
            log_transition(known, member)

    def refute(self, claim: cluster_member.ClusterMember) -> None:
        """Supersede a newer entry about this node, which stems from a suspicion or from an earlier run of the node."""
        self.counts["denials"] += 1
        incarnation = claim.incarnation + (claim.incarnation > self.me.incarnation)
        self.me = dataclasses.replace(self.me, incarnation=incarnation, serial=claim.serial + 1)
        self.members[self.me.address] = self.me
        events.report(
            LOG,
            events.EventFields(
                events.Event.ENTRY_REFUTED,
                member=self.me.address,
                reason=f"reported as {cluster_member.STATES[claim.state]}",
            ),
            "{} refutes an entry that calls it {}: incarnation {}, serial {} from now on",
            self.me.address,
            cluster_member.STATES[claim.state],
            self.me.incarnation,
            self.me.serial,
        )

    def mark_down(self, member: cluster_member.ClusterMember) -> None:
        """Mark a member as down, and disseminate it."""
        self.members[member.address] = dataclasses.replace(member, state=cluster_member.DOWN)
        self.down_since[member.address] = clock.now()
        self.signal_change()

    def reset_last_heard(self, now: datetime.timedelta) -> None:
        """Count the silence of all members from ``now`` on, after this process was paused.

        The time for which it could not receive anything tells nothing about other members.
        """
        self.last_heard = dict.fromkeys(self.last_heard, now)

    def forget_down_before(self, end: datetime.timedelta) -> None:
        """Remove the members that have been down since before ``end``."""
        for address in [address for address, since in self.down_since.items() if since < end]:
            del self.down_since[address]
            self.members.pop(address, None)

    def leave(self) -> None:
        """Announce that this node is stopping."""
        self.me = dataclasses.replace(self.me, state=cluster_member.LEAVING, serial=self.me.serial + 1)
        self.members[self.me.address] = self.me
        self.signal_change()


def log_transition(known: cluster_member.ClusterMember, member: cluster_member.ClusterMember) -> None:
    """Log a change of a member's state or incarnation as reported by another node."""
    if member.state == cluster_member.DOWN:
        if known.state != cluster_member.DOWN:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.MEMBER_DOWN, member=member.address, reason="reported by another member"
                ),
                "member {} (incarnation {}) is down: reported by another member",
                member.address,
                member.incarnation,
            )
    elif known.state == cluster_member.DOWN or known.incarnation != member.incarnation:
        events.report(
            LOG,
            events.EventFields(
                events.Event.MEMBER_BACK,
                member=member.address,
                reason="restarted" if known.incarnation != member.incarnation else "it was reported down",
            ),
            "member {} is back: was {} in incarnation {}, is {} in incarnation {}",
            member.address,
            cluster_member.STATES[known.state],
            known.incarnation,
            cluster_member.STATES[member.state],
            member.incarnation,
        )
    elif member.state == cluster_member.LEAVING and known.state == cluster_member.LIVE:
        events.report(
            LOG,
            events.EventFields(events.Event.MEMBER_LEAVING, member=member.address, reason="it announced its stop"),
            "member {} (incarnation {}) is leaving: it announced its stop",
            member.address,
            member.incarnation,
        )
