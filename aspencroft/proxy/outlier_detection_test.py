"""Tests of outlier detection: which workers are ejected, how many, and how they return."""

import asyncio
import collections
import collections.abc
import random

import aspencroft.workers.pool as pools
from aspencroft.errors import result
from aspencroft.proxy import instance, instances, outlier_detection, worker_selection
from aspencroft.runtime import clock
from aspencroft.simulation import loop


class Service:
    """A service whose workers fail at random, and one edge that sends them requests.

    ``fails`` returns a worker's probability and kind of failure at a time; ``sent`` holds (time, worker, success).
    """

    def __init__(self, seed: int, count: int, fails: collections.abc.Callable):
        self.random_source = random.Random(seed)
        self.view = instances.Instances()
        self.names = [f"i-{number}" for number in range(count)]
        self.fails = fails
        self.sent: list[tuple[float, str, bool]] = []
        self.max_ejected = 0

    async def run(self, seconds: float, rate: float = 30.0, idempotent: bool = True) -> None:
        """Send requests for this time."""
        end = clock.now() + clock.seconds(seconds)
        while clock.now() < end:
            now = clock.now()
            self.view.update(
                [
                    instance.Instance(name, f"{name}:80", "chat", "a", "v1", 16, False, clock.ZERO)
                    for name in self.names
                ],
                now,
            )
            chosen = worker_selection.choose(
                self.view.candidates("chat", idempotent=idempotent), (), "", "a", self.random_source
            ).name
            self.view.begin_request(chosen)
            probability, kind = self.fails(chosen, now.total_seconds())
            success = self.random_source.random() >= probability
            self.sent.append((now.total_seconds(), chosen, success))
            await asyncio.sleep(self.random_source.expovariate(rate))
            if success:
                self.view.record_answer(chosen)
            elif kind == outlier_detection.FAILED:
                self.view.record_answer(chosen, kind)
            else:
                self.view.record_failure(chosen, kind)
            self.view.end_request(chosen)
            records = self.view.outliers.records.values()
            self.max_ejected = max(self.max_ejected, sum(one.ejected_until > clock.now() for one in records))

    def share(self, name: str, since: float, until: float = 1e9) -> float:
        """A worker's share of the requests sent in a period."""
        sent = [who for at, who, _ in self.sent if since <= at < until]
        return sent.count(name) / max(1, len(sent))

    def failed_share(self, since: float) -> float:
        """The share of failed requests since a time."""
        found = [success for at, _, success in self.sent if at >= since]
        return 1 - sum(found) / max(1, len(found))


def run_scenario(seed: int, count: int, fails: collections.abc.Callable, scenario: collections.abc.Callable) -> Service:
    """Run a scenario with a service in simulated time."""
    simulated = loop.SimLoop()
    service = Service(seed, count, fails)
    simulated.run_until_complete(scenario(service))
    return service


def test_a_worker_that_fails_some_of_its_requests_is_ejected_for_every_kind_of_failure():
    for kind in (
        outlier_detection.FAILED,
        outlier_detection.BROKE,
        outlier_detection.LOST,
        outlier_detection.UNREACHED,
    ):
        for seed in range(10):

            async def scenario(service):
                await service.run(40)

            service = run_scenario(seed, 6, lambda name, now: (0.35 if name == "i-3" else 0.01, kind), scenario)
            assert service.share("i-3", 8) < 0.06 and service.failed_share(8) < 0.035, (
                kind,
                seed,
                service.share("i-3", 8),
            )
            assert service.view.outliers.counts["ejected"] >= 2


def test_workers_are_rarely_ejected_when_all_fail_at_the_same_rate():
    for probability in (0.0, 0.02, 0.1, 0.5, 1.0):
        ejected = 0
        for seed in range(10):

            async def scenario(service):
                await service.run(30)

            ejected += run_scenario(
                seed, 6, lambda name, now: (probability, outlier_detection.FAILED), scenario
            ).view.outliers.counts["ejected"]
        assert ejected <= 5, (probability, ejected)


def test_never_more_than_a_third_of_a_service_is_ejected():
    for count, most in ((1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (9, 3)):
        for seed in range(5):

            async def scenario(service):
                await service.run(25)

            service = run_scenario(
                seed,
                count,
                lambda name, now: (0.9 if int(name[2:]) % 2 == 0 else 0.0, outlier_detection.FAILED),
                scenario,
            )
            assert service.max_ejected <= most, (count, seed)
            assert most == 0 or service.max_ejected > 0


def test_a_failing_worker_that_cannot_be_ejected_is_chosen_last():
    async def scenario(service):
        await service.run(30)

    service = run_scenario(3, 2, lambda name, now: (0.5 if name == "i-0" else 0.0, outlier_detection.FAILED), scenario)
    assert service.max_ejected == 0 and service.share("i-0", 10) < 0.1
    assert service.view.outliers.counts["not ejected"]


def test_a_recovered_worker_returns_with_small_shares_of_traffic():
    async def scenario(service):
        await service.run(10)
        assert service.view.outliers.explain("i-3", clock.now())
        await service.run(50)
        assert not service.view.outliers.explain("i-3", clock.now())

    service = run_scenario(
        1, 6, lambda name, now: (0.8 if name == "i-3" and now < 10 else 0.0, outlier_detection.BROKE), scenario
    )
    until = max(record.ejected_until for record in service.view.outliers.records.values()).total_seconds()
    assert service.share("i-3", until, until + 1.5) < 0.1, "small shares first"
    assert service.share("i-3", 40) > 0.1, "its full share in the end"


def test_a_flapping_worker_is_ejected_for_longer_each_time():
    async def scenario(service):
        await service.run(60)

    service = run_scenario(
        2, 6, lambda name, now: (0.9 if name == "i-3" and now % 6 < 3 else 0.0, outlier_detection.LOST), scenario
    )
    assert service.view.outliers.records["i-3"].ejection_time >= clock.seconds(8)
    assert service.share("i-3", 20) < 0.08


def test_requests_that_are_not_idempotent_prefer_workers_without_failures():
    async def scenario(service):
        await service.run(20, idempotent=False)

    every = run_scenario(1, 6, lambda name, now: (0.12 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)
    assert every.share("i-3", 5) < 0.1

    async def return_after_ejection(service):
        await service.run(10)
        service.view.outliers.records["i-3"].ejected_until = clock.now()
        service.view.outliers.records["i-3"].traffic_share = 0.3
        began = clock.now().total_seconds()
        await service.run(3, idempotent=False)
        assert service.share("i-3", began) == 0.0, "a returning worker gets only idempotent requests"
        service.view.outliers.records["i-3"].ejected_until = clock.now()
        began = clock.now().total_seconds()
        await service.run(6)
        assert service.share("i-3", began) > 0.0

    run_scenario(
        2,
        6,
        lambda name, now: (0.9 if name == "i-3" and now < 10 else 0.0, outlier_detection.BROKE),
        return_after_ejection,
    )


def test_the_only_remaining_worker_is_chosen_even_if_it_is_ejected():
    async def scenario(service):
        await service.run(20)
        without = frozenset(service.names) - {"i-3"}
        assert service.view.outliers.explain("i-3", clock.now())
        for idempotent in (True, False):
            assert [one.name for one in service.view.candidates("chat", without, idempotent)] == ["i-3"]

    run_scenario(1, 6, lambda name, now: (0.9 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)


def test_a_worker_that_could_not_be_ejected_is_no_longer_suspect_once_it_recovers():
    async def scenario(service):
        await service.run(50)
        assert not service.view.outliers.is_suspect("i-0", True, clock.now())

    run_scenario(
        3, 2, lambda name, now: (0.5 if name == "i-0" and now < 15 else 0.0, outlier_detection.FAILED), scenario
    )


def test_the_thresholds_for_exceeding_the_peer_rate():
    assert not outlier_detection.exceeds_peer_rate(2.0, 2.0, 0.02) and outlier_detection.exceeds_peer_rate(
        3.0, 3.0, 0.02
    )
    assert not outlier_detection.exceeds_peer_rate(3.0, 60.0, 0.02) and not outlier_detection.exceeds_peer_rate(
        30.0, 60.0, 0.5
    )
    assert outlier_detection.exceeds_peer_rate(12.0, 60.0, 0.02) and outlier_detection.peer_rate(0.0, 0.0) == 0.02


def test_errors_of_the_pool_are_mapped_to_outcomes():
    def outcome_of(kind, ran=result.Ran.UNKNOWN):
        return outlier_detection.outcome_of_error(result.RequestError(kind, ran))

    assert outlier_detection.outcome_of_error(pools.ConnectionLostError(True, "")) == outlier_detection.STALE
    assert outlier_detection.outcome_of_error(pools.ConnectionLostError(False, "")) == outlier_detection.LOST
    assert outcome_of(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN) == outlier_detection.UNREACHED
    assert (
        outcome_of(result.ResultCode.WORKER_BROKE) == outlier_detection.BROKE
        and outcome_of(result.ResultCode.DEADLINE) == outlier_detection.LATE
    )
    assert (
        outcome_of(result.ResultCode.DEADLINE, result.Ran.NOT_RUN) == ""
        and outcome_of(result.ResultCode.OVERLOADED) == ""
    )
    assert outcome_of(result.ResultCode.MALFORMED) == ""


def test_records_of_removed_workers_are_dropped():
    async def scenario(service):
        await service.run(10)
        assert service.view.outliers.records
        service.view.update([], clock.now())
        assert not service.view.outliers.records
        service.view.record_failure("i-0", outlier_detection.LOST)
        assert not service.view.outliers.records

    run_scenario(1, 6, lambda name, now: (0.3, outlier_detection.BROKE), scenario)


def test_the_explanation_has_the_counted_outcomes():
    async def scenario(service):
        while not service.max_ejected:
            await service.run(0.5)
        explanation = service.view.outliers.explain("i-3", clock.now())
        assert (
            explanation.startswith("i-3 is ejected for another")
            and "broke" in explanation
            and "% expected" in explanation
        )
        assert collections.Counter(service.view.outliers.explain(name, clock.now()) for name in service.names)[""] == 5

    run_scenario(1, 6, lambda name, now: (0.9 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)


def ejected(at: float) -> outlier_detection.OutlierDetector:
    """An outlier detector of six workers that has just ejected ``i-3``."""
    detector = outlier_detection.OutlierDetector()
    names = [f"i-{number}" for number in range(6)]
    detector.set_workers({"chat": frozenset(names)})
    for name in names:
        for _ in range(4):
            detector.record_outcome(
                "chat", name, outlier_detection.BROKE if name == "i-3" else outlier_detection.GOOD, clock.seconds(at)
            )
    assert not detector.admit("i-3", True, clock.seconds(at))
    return detector


def admitted(detector: outlier_detection.OutlierDetector, at: float) -> int:
    """How many of a hundred idempotent requests the worker is admitted to."""
    return sum(detector.admit("i-3", True, clock.seconds(at)) for _ in range(100))


def test_shares_grow_with_each_good_answer():
    detector = ejected(5.0)
    assert admitted(detector, 6.9) == 0
    shares = []
    for _ in range(8):
        shares.append(admitted(detector, 7.1))
        detector.record_outcome("chat", "i-3", outlier_detection.GOOD, clock.seconds(7.1))
    assert shares[0] in (9, 10) and shares[1] in (14, 15, 16) and shares[-1] == 100 and shares == sorted(shares)


def test_a_failure_during_slow_start_ejects_a_worker_again_for_longer():
    detector = ejected(5.0)
    detector.record_outcome("chat", "i-3", outlier_detection.STALE, clock.seconds(7.1))
    assert admitted(detector, 7.1) > 0, "a stale connection alone does not eject a worker"
    detector.record_outcome("chat", "i-3", outlier_detection.BROKE, clock.seconds(7.1))
    assert admitted(detector, 11.0) == 0 and admitted(detector, 11.2) > 0
    detector = ejected(5.0)
    for name in ("i-0", "i-1", "i-2"):
        for _ in range(4):
            detector.record_outcome("chat", name, outlier_detection.BROKE, clock.seconds(7.0))
    detector.record_outcome("chat", "i-3", outlier_detection.GOOD, clock.seconds(7.1))
    detector.record_outcome("chat", "i-3", outlier_detection.BROKE, clock.seconds(7.1))
    assert admitted(detector, 7.1) > 0, "its failure rate is now that of the others"


def test_one_failure_makes_a_worker_suspect_for_requests_that_are_not_idempotent():
    detector = outlier_detection.OutlierDetector()
    detector.set_workers({"chat": frozenset(("i-1", "i-2", "i-3"))})
    now = clock.seconds(5)
    for name in ("i-1", "i-2", "i-3"):
        for _ in range(6):
            detector.record_outcome("chat", name, outlier_detection.GOOD, now)
    detector.record_outcome("chat", "i-2", outlier_detection.BROKE, now)
    assert [detector.is_suspect(name, False, now) for name in ("i-1", "i-2", "i-3")] == [False, True, False]
    assert not detector.is_suspect("i-2", True, now)
    assert not detector.is_suspect("i-2", False, now + clock.seconds(10)), "failures decay"
