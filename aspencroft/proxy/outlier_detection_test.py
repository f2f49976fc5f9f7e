"""Judgement of workers by their answers: who is left out, how many, and how they come back."""

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
    """A service whose workers fail by chance, and one edge that sends them requests.

    ``fails`` gives each worker's chance and kind of failure at a time; ``sent`` holds (time, worker, good).
    """

    def __init__(self, seed: int, count: int, fails: collections.abc.Callable):
        self.chance = random.Random(seed)
        self.known = instances.Instances()
        self.names = [f"i-{number}" for number in range(count)]
        self.fails = fails
        self.sent: list[tuple[float, str, bool]] = []
        self.most_out = 0

    async def run(self, seconds: float, rate: float = 30.0, repeatable: bool = True) -> None:
        """Send requests for so long."""
        end = clock.now() + clock.seconds(seconds)
        while clock.now() < end:
            now = clock.now()
            self.known.update(
                [
                    instance.Instance(name, f"{name}:80", "chat", "a", "v1", 16, False, clock.ZERO)
                    for name in self.names
                ],
                now,
            )
            chosen = worker_selection.choose(
                self.known.candidates("chat", repeatable=repeatable), (), "", "a", self.chance
            ).name
            self.known.begin(chosen)
            likely, kind = self.fails(chosen, now.total_seconds())
            good = self.chance.random() >= likely
            self.sent.append((now.total_seconds(), chosen, good))
            await asyncio.sleep(self.chance.expovariate(rate))
            if good:
                self.known.record_answer(chosen)
            elif kind == outlier_detection.FAILED:
                self.known.record_answer(chosen, kind)
            else:
                self.known.record_failure(chosen, kind)
            self.known.end(chosen)
            records = self.known.outliers.records.values()
            self.most_out = max(self.most_out, sum(one.ejected_until > clock.now() for one in records))

    def share(self, name: str, since: float, until: float = 1e9) -> float:
        """A worker's share of the requests sent in a time."""
        sent = [who for at, who, _ in self.sent if since <= at < until]
        return sent.count(name) / max(1, len(sent))

    def bad(self, since: float) -> float:
        """The share of requests that failed from a time on."""
        found = [good for at, _, good in self.sent if at >= since]
        return 1 - sum(found) / max(1, len(found))


def play(seed: int, count: int, fails: collections.abc.Callable, scenario: collections.abc.Callable) -> Service:
    """Run a scenario of a service in simulated time."""
    simulated = loop.SimLoop()
    service = Service(seed, count, fails)
    simulated.run_until_complete(scenario(service))
    return service


def test_a_worker_that_fails_a_part_of_its_requests_is_left_out_whatever_way_it_fails():
    for kind in (
        outlier_detection.FAILED,
        outlier_detection.BROKE,
        outlier_detection.LOST,
        outlier_detection.UNREACHED,
    ):
        for seed in range(10):

            async def scenario(service):
                await service.run(40)

            service = play(seed, 6, lambda name, now: (0.35 if name == "i-3" else 0.01, kind), scenario)
            assert service.share("i-3", 8) < 0.06 and service.bad(8) < 0.035, (
                kind,
                seed,
                service.share("i-3", 8),
            )
            assert service.known.outliers.counts["ejected"] >= 2


def test_sound_workers_are_left_in_when_all_fail_alike_or_by_chance():
    for likely in (0.0, 0.02, 0.1, 0.5, 1.0):
        ejected = 0
        for seed in range(10):

            async def scenario(service):
                await service.run(30)

            ejected += play(
                seed, 6, lambda name, now: (likely, outlier_detection.FAILED), scenario
            ).known.outliers.counts["ejected"]
        assert ejected <= 5, (likely, ejected)


def test_never_more_than_a_third_of_a_service_is_out():
    for count, most in ((1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (9, 3)):
        for seed in range(5):

            async def scenario(service):
                await service.run(25)

            service = play(
                seed,
                count,
                lambda name, now: (0.9 if int(name[2:]) % 2 == 0 else 0.0, outlier_detection.FAILED),
                scenario,
            )
            assert service.most_out <= most, (count, seed)
            assert most == 0 or service.most_out > 0


def test_a_bad_worker_that_must_not_go_out_comes_after_the_others():
    async def scenario(service):
        await service.run(30)

    service = play(3, 2, lambda name, now: (0.5 if name == "i-0" else 0.0, outlier_detection.FAILED), scenario)
    assert service.most_out == 0 and service.share("i-0", 10) < 0.1
    assert service.known.outliers.counts["not ejected"]


def test_a_worker_that_got_well_comes_back_by_small_shares():
    async def scenario(service):
        await service.run(10)
        assert service.known.outliers.explain("i-3", clock.now())
        await service.run(50)
        assert not service.known.outliers.explain("i-3", clock.now())

    service = play(
        1, 6, lambda name, now: (0.8 if name == "i-3" and now < 10 else 0.0, outlier_detection.BROKE), scenario
    )
    until = max(record.ejected_until for record in service.known.outliers.records.values()).total_seconds()
    assert service.share("i-3", until, until + 1.5) < 0.1, "small shares first"
    assert service.share("i-3", 40) > 0.1, "its whole share in the end"


def test_a_worker_that_flaps_goes_out_for_longer_each_time():
    async def scenario(service):
        await service.run(60)

    service = play(
        2, 6, lambda name, now: (0.9 if name == "i-3" and now % 6 < 3 else 0.0, outlier_detection.LOST), scenario
    )
    assert service.known.outliers.records["i-3"].span >= clock.seconds(8)
    assert service.share("i-3", 20) < 0.08


def test_requests_sent_once_only_go_to_sound_workers_first():
    async def scenario(service):
        await service.run(20, repeatable=False)

    every = play(1, 6, lambda name, now: (0.12 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)
    assert every.share("i-3", 5) < 0.1

    async def back(service):
        await service.run(10)
        service.known.outliers.records["i-3"].ejected_until = clock.now()
        service.known.outliers.records["i-3"].share = 0.3
        began = clock.now().total_seconds()
        await service.run(3, repeatable=False)
        assert service.share("i-3", began) == 0.0, "one that comes back is tried with what may be repeated"
        service.known.outliers.records["i-3"].ejected_until = clock.now()
        began = clock.now().total_seconds()
        await service.run(6)
        assert service.share("i-3", began) > 0.0

    play(2, 6, lambda name, now: (0.9 if name == "i-3" and now < 10 else 0.0, outlier_detection.BROKE), back)


def test_one_that_is_alone_is_chosen_whatever_is_held_against_it():
    async def scenario(service):
        await service.run(20)
        without = frozenset(service.names) - {"i-3"}
        assert service.known.outliers.explain("i-3", clock.now())
        for repeatable in (True, False):
            assert [one.name for one in service.known.candidates("chat", without, repeatable)] == ["i-3"]

    play(1, 6, lambda name, now: (0.9 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)


def test_a_suspicion_that_was_limited_ends_once_the_worker_is_well():
    async def scenario(service):
        await service.run(50)
        assert not service.known.outliers.is_suspect("i-0", True, clock.now())

    play(3, 2, lambda name, now: (0.5 if name == "i-0" and now < 15 else 0.0, outlier_detection.FAILED), scenario)


def test_the_bounds_of_being_worse():
    assert not outlier_detection.exceeds_peer_rate(2.0, 2.0, 0.02) and outlier_detection.exceeds_peer_rate(
        3.0, 3.0, 0.02
    )
    assert not outlier_detection.exceeds_peer_rate(3.0, 60.0, 0.02) and not outlier_detection.exceeds_peer_rate(
        30.0, 60.0, 0.5
    )
    assert outlier_detection.exceeds_peer_rate(12.0, 60.0, 0.02) and outlier_detection.peer_rate(0.0, 0.0) == 0.02


def test_refusals_of_the_pool_tell_how_a_request_ended():
    def refusal(kind, ran=result.Ran.UNKNOWN):
        return outlier_detection.outcome_of_error(result.RequestError(kind, ran))

    assert outlier_detection.outcome_of_error(pools.ConnectionLostError(True, "")) == outlier_detection.STALE
    assert outlier_detection.outcome_of_error(pools.ConnectionLostError(False, "")) == outlier_detection.LOST
    assert refusal(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN) == outlier_detection.UNREACHED
    assert (
        refusal(result.ResultCode.WORKER_BROKE) == outlier_detection.BROKE
        and refusal(result.ResultCode.DEADLINE) == outlier_detection.LATE
    )
    assert refusal(result.ResultCode.DEADLINE, result.Ran.NOT_RUN) == "" and refusal(result.ResultCode.OVERLOADED) == ""
    assert refusal(result.ResultCode.MALFORMED) == ""


def test_what_is_known_of_workers_that_are_gone_goes():
    async def scenario(service):
        await service.run(10)
        assert service.known.outliers.records
        service.known.update([], clock.now())
        assert not service.known.outliers.records
        service.known.record_failure("i-0", outlier_detection.LOST)
        assert not service.known.outliers.records

    play(1, 6, lambda name, now: (0.3, outlier_detection.BROKE), scenario)


def test_the_words_say_what_was_counted():
    async def scenario(service):
        while not service.most_out:
            await service.run(0.5)
        said = service.known.outliers.explain("i-3", clock.now())
        assert said.startswith("i-3 gets nothing for") and "broke" in said and "% expected" in said
        assert collections.Counter(service.known.outliers.explain(name, clock.now()) for name in service.names)[""] == 5

    play(1, 6, lambda name, now: (0.9 if name == "i-3" else 0.0, outlier_detection.BROKE), scenario)


def ejected(at: float) -> outlier_detection.OutlierDetector:
    """A outlier detection of six workers that has just put ``i-3`` out."""
    judged = outlier_detection.OutlierDetector()
    names = [f"i-{number}" for number in range(6)]
    judged.set_workers({"chat": frozenset(names)})
    for name in names:
        for _ in range(4):
            judged.record_outcome(
                "chat", name, outlier_detection.BROKE if name == "i-3" else outlier_detection.GOOD, clock.seconds(at)
            )
    assert not judged.admit("i-3", True, clock.seconds(at))
    return judged


def admitted(judged: outlier_detection.OutlierDetector, at: float) -> int:
    """How many of a hundred requests that may be repeated the worker would be let have."""
    return sum(judged.admit("i-3", True, clock.seconds(at)) for _ in range(100))


def test_shares_grow_with_each_good_answer():
    judged = ejected(5.0)
    assert admitted(judged, 6.9) == 0
    shares = []
    for _ in range(8):
        shares.append(admitted(judged, 7.1))
        judged.record_outcome("chat", "i-3", outlier_detection.GOOD, clock.seconds(7.1))
    assert shares[0] in (9, 10) and shares[1] in (14, 15, 16) and shares[-1] == 100 and shares == sorted(shares)


def test_a_bad_answer_on_the_way_back_puts_a_worker_out_again_for_longer():
    judged = ejected(5.0)
    judged.record_outcome("chat", "i-3", outlier_detection.STALE, clock.seconds(7.1))
    assert admitted(judged, 7.1) > 0, "a dead connection alone says little"
    judged.record_outcome("chat", "i-3", outlier_detection.BROKE, clock.seconds(7.1))
    assert admitted(judged, 11.0) == 0 and admitted(judged, 11.2) > 0
    judged = ejected(5.0)
    for name in ("i-0", "i-1", "i-2"):
        for _ in range(4):
            judged.record_outcome("chat", name, outlier_detection.BROKE, clock.seconds(7.0))
    judged.record_outcome("chat", "i-3", outlier_detection.GOOD, clock.seconds(7.1))
    judged.record_outcome("chat", "i-3", outlier_detection.BROKE, clock.seconds(7.1))
    assert admitted(judged, 7.1) > 0, "no worse than the others now"


def test_a_little_is_enough_to_prefer_others_for_what_is_sent_once_only():
    judged = outlier_detection.OutlierDetector()
    judged.set_workers({"chat": frozenset(("i-1", "i-2", "i-3"))})
    now = clock.seconds(5)
    for name in ("i-1", "i-2", "i-3"):
        for _ in range(6):
            judged.record_outcome("chat", name, outlier_detection.GOOD, now)
    judged.record_outcome("chat", "i-2", outlier_detection.BROKE, now)
    assert [judged.is_suspect(name, False, now) for name in ("i-1", "i-2", "i-3")] == [False, True, False]
    assert not judged.is_suspect("i-2", True, now)
    assert not judged.is_suspect("i-2", False, now + clock.seconds(10)), "it fades"
