"""What is kept of the table of peers is what working it out anew gives."""

import dataclasses
import random

import pytest

from aspencroft.membership import cluster_member, member_table
from aspencroft.transport import codec


def entry(number: int, chance: random.Random) -> cluster_member.ClusterMember:
    return cluster_member.ClusterMember(
        f"n:{number}",
        1,
        0,
        chance.choice((cluster_member.LIVE, cluster_member.LIVE, cluster_member.LEAVING, cluster_member.DOWN)),
        chance.choice("abcd"),
        chance.choice(("core", "edge")),
        "",
        False,
        (),
    )


def test_kept_orders_and_watchers_are_those_worked_out_anew_after_every_change():
    for seed in range(40):
        chance, held = random.Random(seed), member_table.MemberTable()
        for _ in range(40):
            number = chance.randrange(14)
            if chance.random() < 0.2:
                held.pop(f"n:{number}", None)
            elif f"n:{number}" in held and chance.random() < 0.4:
                known = held[f"n:{number}"]
                held[known.address] = dataclasses.replace(known, serial=known.serial + 1, state=chance.randrange(3))
            else:
                held[f"n:{number}"] = entry(number, chance)
            live = tuple(
                sorted(
                    (one.address for one in held.values() if one.state != cluster_member.DOWN),
                    key=cluster_member.position,
                )
            )
            assert held.live() == live
            assert held.tree_order() == tuple(
                sorted(live, key=lambda one: (held[one].role != "core", cluster_member.position(one)))
            )
            for number in range(15):
                own = f"n:{number}"
                assert held.watchers(own, 3) == cluster_member.watchers(own, held, 3)
                assert held.watched(own, 3) == tuple(
                    one for one in live if own in cluster_member.watchers(one, held, 3)
                )


def test_packed_entries_are_those_of_the_newest_entry():
    chance, held = random.Random(1), member_table.MemberTable()
    held["n:1"] = entry(1, chance)
    assert held.packed("n:1") == codec.pack(held["n:1"])
    held["n:1"] = dataclasses.replace(held["n:1"], serial=9)
    assert held.packed("n:1") == codec.pack(held["n:1"])
    del held["n:1"]
    held["n:1"] = entry(2, chance)
    assert held.packed("n:1") == codec.pack(held["n:1"])


def test_a_change_that_moves_nobody_keeps_the_order():
    held = member_table.MemberTable()
    held["n:1"] = entry(1, random.Random(3))
    before = held.layout
    held["n:1"] = dataclasses.replace(held["n:1"], serial=5, http="x:1")
    assert held.layout == before and held.changes == 2


def test_no_way_to_change_a_table_goes_uncounted():
    held = member_table.Counted()
    held["a"] = 1
    held["a"] = 2
    del held["a"]
    assert held.pop("a", None) is None and held.changes >= 3
    for change in (held.clear, held.popitem):
        with pytest.raises(NotImplementedError):
            change()
    for change in (held.update, held.setdefault, held.__ior__):
        with pytest.raises((NotImplementedError, TypeError)):
            change({"a": 1})
