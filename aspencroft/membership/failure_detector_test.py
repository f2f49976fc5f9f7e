"""What a ring tells its neighbours, and how often it works anything out."""

import asyncio
import dataclasses
import hashlib
import random

from aspencroft.consensus import replica_set
from aspencroft.membership import cluster_member, failure_detector, member_table
from aspencroft.transport import codec


class Link:
    """Takes what is told, and answers nothing."""

    def __init__(self):
        self.told: list[tuple[str, object]] = []

    def notify(self, address, message, epoch=0):
        self.told.append((address, message))


class Voters:
    """An electorate that only keeps its voter set."""

    voter_set = replica_set.VoterSet(0, ("n:0", "n:1", "n:2"), ())

    def learn(self, voter_set):
        if voter_set.number > self.voter_set.number:
            self.voter_set = voter_set


class Around:
    """Surroundings of which only chance is used."""

    randomness = random.Random(1)


class Instant(asyncio.SelectorEventLoop):
    """A loop whose clock makes every pause short."""

    def time(self):
        self.steps = getattr(self, "steps", 0.0) + 1.0
        return self.steps


def entry(number: int) -> cluster_member.ClusterMember:
    return cluster_member.ClusterMember(
        f"n:{number}", 1, 0, cluster_member.LIVE, "abc"[number % 3], "core", "", False, ()
    )


def ring_of(count: int) -> failure_detector.FailureDetector:
    one = failure_detector.FailureDetector(Around(), Link(), entry(0), (), Voters())
    for number in range(1, count):
        one.peers[f"n:{number}"] = entry(number)
    return one


async def spread_once(one: failure_detector.FailureDetector) -> list[tuple[str, object]]:
    one.tell_change()
    task = asyncio.ensure_future(one.spread())
    while not one.link.told:
        await asyncio.sleep(0)
    task.cancel()
    told, one.link.told = one.link.told, []
    return told


def test_the_digest_is_that_of_the_packed_table_after_every_change():
    async def scene():
        one = ring_of(9)

        def fresh():
            return hashlib.blake2b(codec.pack(one.table()), digest_size=8).digest()

        assert one.digest() == fresh()
        one.take_fellow(dataclasses.replace(entry(3), serial=2))
        assert one.digest() == fresh()
        one.learn_record(replica_set.ReplicaSet(0, 3, replica_set.ReplicaId("n:1", "a"), ()))
        assert one.digest() == fresh()
        one.proposer.learn(replica_set.VoterSet(4, ("n:1", "n:2", "n:3"), ()))
        assert one.digest() == fresh()
        one.peers.pop("n:4", None)
        assert one.digest() == fresh()
        one.leave()
        assert one.digest() == fresh()

    with asyncio.Runner(loop_factory=Instant) as runner:
        runner.run(scene())


def test_heartbeats_pack_no_entry_while_nothing_changes(monkeypatch):
    async def scene():
        one = ring_of(9)
        one.digest()
        packed = []
        monkeypatch.setattr(member_table.codec, "pack", lambda value: packed.append(value) or b"")
        beat = cluster_member.Heartbeat(entry(3), one.digest())
        assert await one.beat(beat) == replica_set.Acknowledged() and one.watched() is one.watched()
        assert packed == []

    with asyncio.Runner(loop_factory=Instant) as runner:
        runner.run(scene())


def test_only_what_changed_is_passed_on_and_only_once():
    async def scene():
        one = ring_of(12)
        told = await spread_once(one)
        assert len(told[0][1].table.peers) == 12
        one.take(
            cluster_member.MembershipTable(
                (dataclasses.replace(entry(5), state=cluster_member.DOWN), entry(6)),
                (),
                one.proposer.voter_set,
            )
        )
        told = await spread_once(one)
        assert {address for address, _ in told} == {
            *one.peers.watchers("n:0", failure_detector.WATCHERS),
            *one.watched(),
        }
        for _, message in told:
            assert message.table.peers == (one.peers["n:5"],) and message.table.records == ()
        one.learn_record(replica_set.ReplicaSet(2, 7, replica_set.ReplicaId("n:1", "a"), ()))
        for _, message in await spread_once(one):
            assert message.table.peers == () and message.table.records == (one.records[2],)

    with asyncio.Runner(loop_factory=Instant) as runner:
        runner.run(scene())


def test_a_node_that_missed_news_is_given_the_table_at_its_next_heartbeat():
    async def scene():
        one, other = ring_of(6), ring_of(6)
        one.take_fellow(dataclasses.replace(entry(4), state=cluster_member.DOWN))
        reply = await one.beat(cluster_member.Heartbeat(other.me, other.digest()))
        assert isinstance(reply, cluster_member.MembershipTable)
        other.take(reply)
        assert other.digest() == one.digest() and other.state("n:4") == cluster_member.DOWN

    with asyncio.Runner(loop_factory=Instant) as runner:
        runner.run(scene())
