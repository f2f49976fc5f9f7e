"""Tests of ``aspencroft.membership.suspicion``."""

import asyncio

import pytest

from aspencroft.errors import result
from aspencroft.membership import cluster_member, failure_detector, failure_detector_test, suspicion


class AnsweringLink:
    """A link on which the given members answer whether they miss a suspected member; no other member answers."""

    def __init__(self, answers: dict[str, bool]):
        self.answers = answers
        self.asked: list[str] = []

    async def request(self, address, message, timeout):
        if isinstance(message, cluster_member.ConfirmSuspicion):
            self.asked.append(address)
            if address in self.answers:
                return cluster_member.SuspicionReply(self.answers[address])
        raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, address)


def detector_with(count: int, answers: dict[str, bool]) -> failure_detector.FailureDetector:
    detector = failure_detector_test.detector_of(count)
    detector.suspicion.link = detector.exchange.link = AnsweringLink(answers)
    return detector


def suspect(detector: failure_detector.FailureDetector, address: str) -> int:
    """Suspect a member and return its state afterwards."""
    asyncio.run(detector.suspicion.suspect(address))
    return detector.state(address)


def test_a_member_that_no_other_member_confirms_is_not_marked_down():
    detector = detector_with(9, {})
    assert suspect(detector, "n:4") == cluster_member.LIVE
    assert len(detector.suspicion.link.asked) > suspicion.FURTHER_WATCHERS and detector.counts["confirmed"] == 0


def test_a_member_whose_other_watchers_are_gone_too_is_confirmed_by_a_further_member():
    watchers = set(failure_detector_test.detector_of(9).peers.watchers("n:4", 3))
    others = {f"n:{number}": True for number in range(1, 9) if f"n:{number}" not in watchers}
    assert suspect(detector_with(9, others), "n:4") == cluster_member.DOWN


@pytest.mark.parametrize("missing", [True, False])
def test_a_second_watcher_decides(missing):
    detector = detector_with(9, {f"n:{number}": missing for number in range(1, 9)})
    assert suspect(detector, "n:4") == (cluster_member.DOWN if missing else cluster_member.LIVE)
    assert len(detector.suspicion.link.asked) == 1


def test_a_node_with_a_single_peer_decides_alone():
    assert suspect(detector_with(2, {}), "n:1") == cluster_member.DOWN
