"""The choice of a worker: agreement, spread, spill, no herd."""

import collections
import dataclasses
import random

from aspencroft.proxy import worker_selection


def workers(count: int, **named) -> tuple[worker_selection.Candidate, ...]:
    """So many equal workers in three zones."""
    named = {"slots": 16, "load": 0.0, **named}
    return tuple(worker_selection.Candidate(f"i-{number:03x}", "abc"[number % 3], **named) for number in range(count))


def swap(found: tuple[worker_selection.Candidate, ...], name: str, **named) -> tuple[worker_selection.Candidate, ...]:
    """The same workers, one of them changed."""
    return tuple(dataclasses.replace(one, **named) if one.name == name else one for one in found)


def home_of(found, part: str, seed: int = 1, zone: str = "elsewhere") -> worker_selection.Choice:
    """The choice for a request that begins with a part, by an edge whose zone may have no worker."""
    return worker_selection.choose(found, ((part, 800), (f"own {seed}", 90)), "", zone, random.Random(seed))


def test_all_edges_of_a_zone_agree_on_a_parts_home_without_talking():
    for seed in range(300):
        chance = random.Random(seed)
        found, part = workers(chance.randrange(1, 40)), f"{chance.getrandbits(64):x}"
        for zone, load_limit in (("a", 5), ("b", 5), ("c", 5), ("elsewhere", 11)):
            names = set()
            for edge in range(5):
                turned = list(found)
                chance.shuffle(turned)
                turned = tuple(dataclasses.replace(one, load=chance.random() * load_limit) for one in turned)
                names.add(worker_selection.choose(turned, ((part, 800), (f"{edge}", 9)), "", zone, chance).name)
            assert len(names) == 1
            if zone in {one.zone for one in found}:
                assert next(one.zone for one in found if one.name in names) == zone


def test_a_zone_whose_homes_fill_up_lends_to_others_and_takes_the_rest_itself():
    for seed in range(100):
        found, part, seen = workers(9), f"part {seed}", []
        for _ in range(9 * 16):
            chosen = home_of(found, part, seed, "a")
            load = next(one.load for one in found if one.name == chosen.name)
            seen.append(next(one.zone for one in found if one.name == chosen.name))
            found = swap(found, chosen.name, load=load + 1)
        assert seen[:18] == ["a"] * 18 and "a" not in seen[18:54] and set(seen[54:72]) == {"a"}
        assert all(one.load == 16 for one in found)


def test_homes_spread_and_move_only_with_their_worker():
    parts = [f"{number:x}" for number in range(3000)]
    for count in (2, 5, 11, 30):
        found = workers(count)
        preferred_workers = {part: home_of(found, part).name for part in parts}
        counted = collections.Counter(preferred_workers.values())
        assert max(counted.values()) < 1.5 * len(parts) / count and min(counted.values()) > 0.6 * len(parts) / count
        gone = found[count // 2].name
        left = tuple(one for one in found if one.name != gone)
        moved = {part for part in parts if home_of(left, part).name != preferred_workers[part]}
        assert moved == {part for part in parts if preferred_workers[part] == gone}
        grown = found + (worker_selection.Candidate("i-new", "a", 16, 0.0),)
        assert all(home_of(grown, part).name in ("i-new", preferred_workers[part]) for part in parts)


def test_a_full_home_gives_to_the_next_one_in_the_same_order_everywhere():
    for seed in range(100):
        found, part = workers(9), f"part {seed}"
        order = [one.name for one in worker_selection.preferred_workers(part, found)]
        for place in range(1, 9):
            found = swap(found, order[place - 1], load=12.0)
            chosen = home_of(found, part, seed)
            assert (chosen.name, chosen.kind) == (order[place], worker_selection.OVERFLOW)
        found = swap(found, order[8], load=12.0)
        assert home_of(found, part, seed).name == order[0], "homes are filled up once all have taken their share"
        found = tuple(dataclasses.replace(one, load=16.0 + (one.name != order[5])) for one in found)
        assert home_of(found, part, seed).kind == worker_selection.LEAST_LOADED


def test_the_worker_of_the_turn_before_is_kept_while_it_has_room():
    found = workers(9)
    for name in [one.name for one in found]:
        for named, kept in (
            ({"load": 15.0}, True),
            ({"load": 16.0}, False),
            ({"suspect": True}, False),
            ({"rejecting": True}, False),
            ({"warming_up": True}, True),
        ):
            chosen = worker_selection.choose(swap(found, name, **named), (("x", 9),), name, "a", random.Random(1))
            assert (chosen.kind == worker_selection.PREVIOUS) == kept, named
    assert worker_selection.choose(found, (), "gone", "a", random.Random(1)).kind == worker_selection.LEAST_LOADED


def test_plain_requests_stay_in_their_zone_while_loads_are_equal():
    for seed in range(200):
        chance = random.Random(seed)
        for zone in "abc":
            chosen = worker_selection.choose(workers(9, load=2.0), (), "", zone, chance)
            assert next(one.zone for one in workers(9) if one.name == chosen.name) == zone
        busy = tuple(dataclasses.replace(one, load=9.0 if one.zone == "a" else 2.0) for one in workers(9))
        chosen = worker_selection.choose(busy, (), "", "a", chance)
        assert next(one.zone for one in busy if one.name == chosen.name) != "a"
        assert worker_selection.choose(workers(9), (), "", "elsewhere", chance).name


def test_edges_with_the_same_old_view_do_not_herd_to_one_worker():
    found = tuple(dataclasses.replace(one, load=float(place % 5)) for place, one in enumerate(workers(30)))
    for seed in range(20):
        chosen = collections.Counter(
            worker_selection.choose(found, (), "", "abc"[edge % 3], random.Random(f"{seed} {edge}")).name
            for edge in range(300)
        )
        assert max(chosen.values()) < 60, chosen


def placed(slots: dict[str, int], requests: int, seed: int) -> collections.Counter:
    """The loads after so many plain requests that stay.

    Example: ``placed({"a": 8, "b": 8}, 4, 1) == {"a": 2, "b": 2}``
    """
    chance, loads = random.Random(seed), collections.Counter()
    for _ in range(requests):
        found = tuple(worker_selection.Candidate(name, "a", count, float(loads[name])) for name, count in slots.items())
        loads[worker_selection.choose(found, (), "", "a", chance).name] += 1
    return loads


def test_two_choices_keep_loads_even_and_follow_slots():
    for seed in range(30):
        loads = placed({f"i-{number}": 8 for number in range(12)}, 60, seed)
        assert max(loads.values()) <= 7, loads
        loads = placed({f"i-{number:02}": 8 if number < 6 else 24 for number in range(12)}, 96, seed)
        small, large = (sum(loads[f"i-{number:02}"] for number in side) for side in (range(6), range(6, 12)))
        assert 1.4 < large / small < 3.6, loads


def test_warming_up_and_suspect_workers_come_last_but_do_come():
    found = workers(6)
    for flag in ("warming_up", "suspect"):
        held = tuple(dataclasses.replace(one, **{flag: place < 5}) for place, one in enumerate(found))
        for seed in range(50):
            assert worker_selection.choose(held, (), "", "a", random.Random(seed)).name == "i-005"
            assert home_of(held, f"{seed}").name == "i-005"
        full = swap(held, "i-005", load=16.0)
        assert {worker_selection.choose(full, (), "", "a", random.Random(seed)).name for seed in range(50)} >= {
            "i-000",
            "i-003",
        }
        assert {home_of(full, f"{seed}").name for seed in range(100)} == {f"i-00{number}" for number in range(5)}
        every = tuple(dataclasses.replace(one, **{flag: True}) for one in found)
        assert worker_selection.choose(every, (), "", "a", random.Random(1)).name


def test_a_crowded_worker_gets_nothing_while_another_is_there():
    held = tuple(dataclasses.replace(one, rejecting=place < 5) for place, one in enumerate(workers(6, load=15.0)))
    for seed in range(50):
        assert worker_selection.choose(held, (), "", "a", random.Random(seed)).name == "i-005"
        assert home_of(held, f"{seed}").name == "i-005"
    assert worker_selection.choose(held[:5], (), "", "a", random.Random(1)).name


def test_none_is_chosen_when_none_is_there_or_all_hold_the_most():
    assert worker_selection.choose((), (), "", "a", random.Random(1)).kind == worker_selection.NONE
    assert (
        worker_selection.choose(workers(3, load=18.0), (), "", "a", random.Random(1), load_limit=1.125).kind
        == worker_selection.NONE
    )
    assert worker_selection.choose(workers(3, load=17.9), (), "", "a", random.Random(1), load_limit=1.125).name


def test_the_reason_names_the_worker_and_its_load():
    for parts, last in (((), ""), ((("x", 1),), ""), ((), "i-001")):
        chosen = worker_selection.choose(workers(3, load=2.0), parts, last, "a", random.Random(1))
        assert chosen.name in chosen.reason and "2.0 of 16" in chosen.reason


def spread_of(found, copies: int, zone: str, requests: int = 400) -> collections.Counter:
    """How often each worker is chosen for one part by many edges that know nothing of each other's requests.

    Example: ``len(spread_of(workers(9), 3, "a")) == 1``
    """
    return collections.Counter(
        worker_selection.choose(found, (("5c1e", 800), ("own", 9)), "", zone, random.Random(seed), copies=copies).name
        for seed in range(requests)
    )


def test_a_part_with_several_copies_is_spread_over_them_without_any_word_of_loads():
    found = workers(12)
    for zone in "abc":
        assert len(spread_of(found, 1, zone)) == 1
        for copies, own in ((3, 1), (6, 2), (12, 4)):
            chosen = spread_of(found, copies, zone)
            assert len(chosen) == own and max(chosen.values()) < 2 * min(chosen.values())
            assert {one.zone for one in found if one.name in chosen} == {zone}
    order = [one.name for one in worker_selection.preferred_workers("5c1e", found)]
    assert set(spread_of(found, 5, "elsewhere")) == set(order[:5]), "the first homes, the same on every edge"


def test_of_two_copies_the_quicker_is_taken_as_streams_show():
    found = tuple(dataclasses.replace(one, slowness=1.6 if place < 6 else 1.1) for place, one in enumerate(workers(12)))
    for zone in "abc":
        chosen = spread_of(found, 12, zone)
        slow = sum(count for name, count in chosen.items() if name < "i-006")
        assert slow < 0.25 * sum(chosen.values())


def test_a_zone_that_is_slower_than_the_others_lends_its_sessions_until_it_is_not():
    for slowness, share in ((1.0, 0.0), (1.1, 0.0), (1.3, 1.0)):
        found = tuple(dataclasses.replace(one, slowness=slowness if one.zone == "a" else 1.0) for one in workers(12))
        chosen = spread_of(found, 12, "a")
        lent = sum(count for name, count in chosen.items() if int(name[2:], 16) % 3)
        assert lent == share * sum(chosen.values())
    slow_zone = tuple(dataclasses.replace(one, slowness=1.3 if one.zone == "a" else 1.0) for one in workers(12))
    lent_to = spread_of(slow_zone, 1, "a")
    own_home = {zone: set(spread_of(slow_zone, 1, zone)) for zone in "bc"}
    assert len(lent_to) == 1 and set(lent_to) <= own_home["b"] | own_home["c"], "a home that holds the part anyway"


def test_a_session_stays_where_its_history_is_however_slow_all_have_become():
    found = tuple(dataclasses.replace(one, slowness=1.0 + place) for place, one in enumerate(workers(9)))
    for one in found:
        chosen = worker_selection.choose(found, (("x", 9), ("own", 2)), one.name, "a", random.Random(2), copies=9)
        assert (chosen.name, chosen.kind) == (one.name, worker_selection.PREVIOUS), (
            "moving under overload reads all of it anew"
        )
