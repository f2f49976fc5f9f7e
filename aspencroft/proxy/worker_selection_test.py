"""Tests of worker selection: agreement between edges, spread, overflow, no herding."""

import collections
import dataclasses
import random

from aspencroft.proxy import worker_selection


def workers(count: int, **named) -> tuple[worker_selection.Candidate, ...]:
    """Equal workers in three zones."""
    named = {"slots": 16, "load": 0.0, **named}
    return tuple(worker_selection.Candidate(f"i-{number:03x}", "abc"[number % 3], **named) for number in range(count))


def replace_worker(
    candidates: tuple[worker_selection.Candidate, ...], name: str, **named
) -> tuple[worker_selection.Candidate, ...]:
    """The same workers with one of them changed."""
    return tuple(dataclasses.replace(one, **named) if one.name == name else one for one in candidates)


def choice_for(candidates, segment: str, seed: int = 1, zone: str = "elsewhere") -> worker_selection.Choice:
    """The choice for a request that begins with a segment, by an edge whose zone may have no worker."""
    return worker_selection.choose(candidates, ((segment, 800), (f"own {seed}", 90)), "", zone, random.Random(seed))


def test_all_edges_of_a_zone_agree_on_the_preferred_worker_of_a_segment_without_communication():
    for seed in range(300):
        random_source = random.Random(seed)
        candidates, segment = workers(random_source.randrange(1, 40)), f"{random_source.getrandbits(64):x}"
        for zone, load_limit in (("a", 5), ("b", 5), ("c", 5), ("elsewhere", 11)):
            names = set()
            for edge in range(5):
                shuffled = list(candidates)
                random_source.shuffle(shuffled)
                shuffled = tuple(dataclasses.replace(one, load=random_source.random() * load_limit) for one in shuffled)
                names.add(
                    worker_selection.choose(shuffled, ((segment, 800), (f"{edge}", 9)), "", zone, random_source).name
                )
            assert len(names) == 1
            if zone in {one.zone for one in candidates}:
                assert next(one.zone for one in candidates if one.name in names) == zone


def test_a_zone_overflows_to_other_zones_at_half_of_the_share_and_fills_up_later():
    for seed in range(100):
        candidates, segment, seen = workers(9), f"part {seed}", []
        for _ in range(9 * 16):
            chosen = choice_for(candidates, segment, seed, "a")
            load = next(one.load for one in candidates if one.name == chosen.name)
            seen.append(next(one.zone for one in candidates if one.name == chosen.name))
            candidates = replace_worker(candidates, chosen.name, load=load + 1)
        assert seen[:18] == ["a"] * 18 and "a" not in seen[18:54] and set(seen[54:72]) == {"a"}
        assert all(one.load == 16 for one in candidates)


def test_preferred_workers_are_spread_evenly_and_change_only_with_their_worker():
    segments = [f"{number:x}" for number in range(3000)]
    for count in (2, 5, 11, 30):
        candidates = workers(count)
        preferred_workers = {segment: choice_for(candidates, segment).name for segment in segments}
        counted = collections.Counter(preferred_workers.values())
        assert (
            max(counted.values()) < 1.5 * len(segments) / count and min(counted.values()) > 0.6 * len(segments) / count
        )
        gone = candidates[count // 2].name
        left = tuple(one for one in candidates if one.name != gone)
        moved = {segment for segment in segments if choice_for(left, segment).name != preferred_workers[segment]}
        assert moved == {segment for segment in segments if preferred_workers[segment] == gone}
        grown = candidates + (worker_selection.Candidate("i-new", "a", 16, 0.0),)
        assert all(choice_for(grown, segment).name in ("i-new", preferred_workers[segment]) for segment in segments)


def test_requests_of_a_full_preferred_worker_overflow_in_the_same_order_on_every_edge():
    for seed in range(100):
        candidates, segment = workers(9), f"part {seed}"
        order = [one.name for one in worker_selection.preferred_workers(segment, candidates)]
        for place in range(1, 9):
            candidates = replace_worker(candidates, order[place - 1], load=12.0)
            chosen = choice_for(candidates, segment, seed)
            assert (chosen.name, chosen.kind) == (order[place], worker_selection.OVERFLOW)
        candidates = replace_worker(candidates, order[8], load=12.0)
        assert choice_for(candidates, segment, seed).name == order[0], (
            "preferred workers are filled up once all have reached their share"
        )
        candidates = tuple(dataclasses.replace(one, load=16.0 + (one.name != order[5])) for one in candidates)
        assert choice_for(candidates, segment, seed).kind == worker_selection.LEAST_LOADED


def test_the_worker_of_the_previous_turn_is_chosen_while_it_has_capacity():
    candidates = workers(9)
    for name in [one.name for one in candidates]:
        for named, is_kept in (
            ({"load": 15.0}, True),
            ({"load": 16.0}, False),
            ({"suspect": True}, False),
            ({"rejecting": True}, False),
            ({"warming_up": True}, True),
        ):
            chosen = worker_selection.choose(
                replace_worker(candidates, name, **named), (("x", 9),), name, "a", random.Random(1)
            )
            assert (chosen.kind == worker_selection.PREVIOUS) == is_kept, named
    assert worker_selection.choose(candidates, (), "gone", "a", random.Random(1)).kind == worker_selection.LEAST_LOADED


def test_plain_requests_stay_in_their_zone_while_loads_are_equal():
    for seed in range(200):
        random_source = random.Random(seed)
        for zone in "abc":
            chosen = worker_selection.choose(workers(9, load=2.0), (), "", zone, random_source)
            assert next(one.zone for one in workers(9) if one.name == chosen.name) == zone
        busy = tuple(dataclasses.replace(one, load=9.0 if one.zone == "a" else 2.0) for one in workers(9))
        chosen = worker_selection.choose(busy, (), "", "a", random_source)
        assert next(one.zone for one in busy if one.name == chosen.name) != "a"
        assert worker_selection.choose(workers(9), (), "", "elsewhere", random_source).name


def test_edges_with_the_same_stale_view_do_not_herd_to_one_worker():
    candidates = tuple(dataclasses.replace(one, load=float(place % 5)) for place, one in enumerate(workers(30)))
    for seed in range(20):
        chosen = collections.Counter(
            worker_selection.choose(candidates, (), "", "abc"[edge % 3], random.Random(f"{seed} {edge}")).name
            for edge in range(300)
        )
        assert max(chosen.values()) < 60, chosen


def loads_after(slots: dict[str, int], requests: int, seed: int) -> collections.Counter:
    """The loads after a number of requests without segments that do not end.

    Example: ``loads_after({"a": 8, "b": 8}, 4, 1) == {"a": 2, "b": 2}``
    """
    random_source, loads = random.Random(seed), collections.Counter()
    for _ in range(requests):
        candidates = tuple(
            worker_selection.Candidate(name, "a", count, float(loads[name])) for name, count in slots.items()
        )
        loads[worker_selection.choose(candidates, (), "", "a", random_source).name] += 1
    return loads


def test_two_choices_keep_loads_even_and_follow_slots():
    for seed in range(30):
        loads = loads_after({f"i-{number}": 8 for number in range(12)}, 60, seed)
        assert max(loads.values()) <= 7, loads
        loads = loads_after({f"i-{number:02}": 8 if number < 6 else 24 for number in range(12)}, 96, seed)
        small, large = (sum(loads[f"i-{number:02}"] for number in side) for side in (range(6), range(6, 12)))
        assert 1.4 < large / small < 3.6, loads


def test_warming_up_and_suspect_workers_are_chosen_last():
    candidates = workers(6)
    for flag in ("warming_up", "suspect"):
        limited = tuple(dataclasses.replace(one, **{flag: place < 5}) for place, one in enumerate(candidates))
        for seed in range(50):
            assert worker_selection.choose(limited, (), "", "a", random.Random(seed)).name == "i-005"
            assert choice_for(limited, f"{seed}").name == "i-005"
        full = replace_worker(limited, "i-005", load=16.0)
        assert {worker_selection.choose(full, (), "", "a", random.Random(seed)).name for seed in range(50)} >= {
            "i-000",
            "i-003",
        }
        assert {choice_for(full, f"{seed}").name for seed in range(100)} == {f"i-00{number}" for number in range(5)}
        every = tuple(dataclasses.replace(one, **{flag: True}) for one in candidates)
        assert worker_selection.choose(every, (), "", "a", random.Random(1)).name


def test_a_rejecting_worker_is_not_chosen_while_another_is_available():
    limited = tuple(dataclasses.replace(one, rejecting=place < 5) for place, one in enumerate(workers(6, load=15.0)))
    for seed in range(50):
        assert worker_selection.choose(limited, (), "", "a", random.Random(seed)).name == "i-005"
        assert choice_for(limited, f"{seed}").name == "i-005"
    assert worker_selection.choose(limited[:5], (), "", "a", random.Random(1)).name


def test_no_worker_is_chosen_if_there_is_none_or_all_are_at_the_load_limit():
    assert worker_selection.choose((), (), "", "a", random.Random(1)).kind == worker_selection.NONE
    assert (
        worker_selection.choose(workers(3, load=18.0), (), "", "a", random.Random(1), load_limit=1.125).kind
        == worker_selection.NONE
    )
    assert worker_selection.choose(workers(3, load=17.9), (), "", "a", random.Random(1), load_limit=1.125).name


def test_the_reason_names_the_worker_and_its_load():
    for segments, last in (((), ""), ((("x", 1),), ""), ((), "i-001")):
        chosen = worker_selection.choose(workers(3, load=2.0), segments, last, "a", random.Random(1))
        assert chosen.name in chosen.reason and "2.0 of 16" in chosen.reason


def spread_of(candidates, copies: int, zone: str, requests: int = 400) -> collections.Counter:
    """How often each worker is chosen for one segment by edges that know nothing of each other's requests.

    Example: ``len(spread_of(workers(9), 3, "a")) == 1``
    """
    return collections.Counter(
        worker_selection.choose(
            candidates, (("5c1e", 800), ("own", 9)), "", zone, random.Random(seed), copies=copies
        ).name
        for seed in range(requests)
    )


def test_a_segment_with_several_copies_is_spread_over_them_without_load_reports():
    candidates = workers(12)
    for zone in "abc":
        assert len(spread_of(candidates, 1, zone)) == 1
        for copies, own in ((3, 1), (6, 2), (12, 4)):
            chosen = spread_of(candidates, copies, zone)
            assert len(chosen) == own and max(chosen.values()) < 2 * min(chosen.values())
            assert {one.zone for one in candidates if one.name in chosen} == {zone}
    order = [one.name for one in worker_selection.preferred_workers("5c1e", candidates)]
    assert set(spread_of(candidates, 5, "elsewhere")) == set(order[:5]), (
        "the first preferred workers, the same on every edge"
    )


def test_the_faster_of_two_copies_is_chosen():
    candidates = tuple(
        dataclasses.replace(one, slowness=1.6 if place < 6 else 1.1) for place, one in enumerate(workers(12))
    )
    for zone in "abc":
        chosen = spread_of(candidates, 12, zone)
        slow = sum(count for name, count in chosen.items() if name < "i-006")
        assert slow < 0.25 * sum(chosen.values())


def test_a_zone_that_is_slower_than_the_others_sends_its_sessions_to_them():
    for slowness, share in ((1.0, 0.0), (1.1, 0.0), (1.3, 1.0)):
        candidates = tuple(
            dataclasses.replace(one, slowness=slowness if one.zone == "a" else 1.0) for one in workers(12)
        )
        chosen = spread_of(candidates, 12, "a")
        remote = sum(count for name, count in chosen.items() if int(name[2:], 16) % 3)
        assert remote == share * sum(chosen.values())
    slow_zone = tuple(dataclasses.replace(one, slowness=1.3 if one.zone == "a" else 1.0) for one in workers(12))
    remote_choice = spread_of(slow_zone, 1, "a")
    preferred_in = {zone: set(spread_of(slow_zone, 1, zone)) for zone in "bc"}
    assert len(remote_choice) == 1 and set(remote_choice) <= preferred_in["b"] | preferred_in["c"], (
        "a preferred worker of that zone, which holds the segment anyway"
    )


def test_a_session_stays_at_the_worker_that_holds_its_history_even_if_all_are_slow():
    candidates = tuple(dataclasses.replace(one, slowness=1.0 + place) for place, one in enumerate(workers(9)))
    for one in candidates:
        chosen = worker_selection.choose(candidates, (("x", 9), ("own", 2)), one.name, "a", random.Random(2), copies=9)
        assert (chosen.name, chosen.kind) == (one.name, worker_selection.PREVIOUS), (
            "moving a session under overload would recompute its whole history"
        )
