"""Tests of what a node sends to its neighbors on the ring, and of its caching of derived data."""

import asyncio
import dataclasses
import hashlib
import random

from aspencroft.consensus import replica_set
from aspencroft.membership import cluster_member, failure_detector, member_table, table_exchange
from aspencroft.transport import codec


class Link:
    """Records what is sent, and answers nothing."""

    def __init__(self):
        self.sent: list[tuple[str, object]] = []

    def notify(self, address, message, epoch=0):
        self.sent.append((address, message))


class VoterSets:
    """A proposer that only keeps its voter set."""

    voter_set = replica_set.VoterSet(0, ("n:0", "n:1", "n:2"), ())

    def learn(self, voter_set):
        if voter_set.number > self.voter_set.number:
            self.voter_set = voter_set


class Environment:
    """An environment with randomness only."""

    randomness = random.Random(1)


class ShortPauseLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances on every read, so that every sleep is short."""

    def time(self):
        self.steps = getattr(self, "steps", 0.0) + 1.0
        return self.steps


def member(number: int) -> cluster_member.ClusterMember:
    return cluster_member.ClusterMember(
        f"n:{number}", 1, 0, cluster_member.LIVE, "abc"[number % 3], "core", "", False, ()
    )


def detector_of(count: int) -> failure_detector.FailureDetector:
    detector = failure_detector.FailureDetector(Environment(), Link(), member(0), (), VoterSets())
    for number in range(1, count):
        detector.peers[f"n:{number}"] = member(number)
    return detector


async def disseminate_once(detector: failure_detector.FailureDetector) -> list[tuple[str, object]]:
    detector.view.signal_change()
    task = asyncio.ensure_future(detector.exchange.disseminate())
    while not detector.exchange.link.sent:
        await asyncio.sleep(0)
    task.cancel()
    sent, detector.exchange.link.sent = detector.exchange.link.sent, []
    return sent


def test_the_digest_is_that_of_the_packed_table_after_every_change():
    async def scenario():
        detector = detector_of(9)

        def recomputed():
            return hashlib.blake2b(codec.pack(detector.table()), digest_size=8).digest()

        assert detector.view.digest() == recomputed()
        detector.view.merge_member(dataclasses.replace(member(3), serial=2))
        assert detector.view.digest() == recomputed()
        detector.learn_record(replica_set.ReplicaSet(0, 3, replica_set.ReplicaId("n:1", "a"), ()))
        assert detector.view.digest() == recomputed()
        detector.view.proposer.learn(replica_set.VoterSet(4, ("n:1", "n:2", "n:3"), ()))
        assert detector.view.digest() == recomputed()
        detector.peers.pop("n:4", None)
        assert detector.view.digest() == recomputed()
        detector.leave()
        assert detector.view.digest() == recomputed()

    with asyncio.Runner(loop_factory=ShortPauseLoop) as runner:
        runner.run(scenario())


def test_heartbeats_pack_no_entry_while_nothing_changes(monkeypatch):
    async def scenario():
        detector = detector_of(9)
        detector.view.digest()
        packed = []
        monkeypatch.setattr(member_table.codec, "pack", lambda value: packed.append(value) or b"")
        heartbeat = cluster_member.Heartbeat(member(3), detector.view.digest())
        assert (
            await detector.exchange.answer_heartbeat(heartbeat) == replica_set.Acknowledged()
            and detector.exchange.watched() is detector.exchange.watched()
        )
        assert packed == []

    with asyncio.Runner(loop_factory=ShortPauseLoop) as runner:
        runner.run(scenario())


def test_only_what_changed_is_passed_on_and_only_once():
    async def scenario():
        detector = detector_of(12)
        sent = await disseminate_once(detector)
        assert len(sent[0][1].table.members) == 12
        detector.merge_table(
            cluster_member.MembershipTable(
                (dataclasses.replace(member(5), state=cluster_member.DOWN), member(6)),
                (),
                detector.view.proposer.voter_set,
            )
        )
        sent = await disseminate_once(detector)
        assert {address for address, _ in sent} == {
            *detector.peers.watchers("n:0", table_exchange.WATCHERS),
            *detector.exchange.watched(),
        }
        for _, message in sent:
            assert message.table.members == (detector.peers["n:5"],) and message.table.records == ()
        detector.learn_record(replica_set.ReplicaSet(2, 7, replica_set.ReplicaId("n:1", "a"), ()))
        for _, message in await disseminate_once(detector):
            assert message.table.members == () and message.table.records == (detector.records[2],)

    with asyncio.Runner(loop_factory=ShortPauseLoop) as runner:
        runner.run(scenario())


def test_a_node_that_missed_news_is_given_the_table_at_its_next_heartbeat():
    async def scenario():
        detector, other = detector_of(6), detector_of(6)
        detector.view.merge_member(dataclasses.replace(member(4), state=cluster_member.DOWN))
        reply = await detector.exchange.answer_heartbeat(cluster_member.Heartbeat(other.me, other.view.digest()))
        assert isinstance(reply, cluster_member.MembershipTable)
        other.merge_table(reply)
        assert other.view.digest() == detector.view.digest() and other.state("n:4") == cluster_member.DOWN

    with asyncio.Runner(loop_factory=ShortPauseLoop) as runner:
        runner.run(scenario())
