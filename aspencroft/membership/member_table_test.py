"""Tests that the cached data of the member table equals freshly derived data."""

import dataclasses
import random

import pytest

from aspencroft.membership import cluster_member, member_table
from aspencroft.transport import codec


def entry(number: int, randomness: random.Random) -> cluster_member.ClusterMember:
    return cluster_member.ClusterMember(
        f"n:{number}",
        1,
        0,
        randomness.choice((cluster_member.LIVE, cluster_member.LIVE, cluster_member.LEAVING, cluster_member.DOWN)),
        randomness.choice("abcd"),
        randomness.choice(("core", "edge")),
        "",
        False,
        (),
    )


def test_kept_orders_and_watchers_are_those_worked_out_anew_after_every_change():
    for seed in range(40):
        randomness, table = random.Random(seed), member_table.MemberTable()
        for _ in range(40):
            number = randomness.randrange(14)
            if randomness.random() < 0.2:
                table.pop(f"n:{number}", None)
            elif f"n:{number}" in table and randomness.random() < 0.4:
                known = table[f"n:{number}"]
                table[known.address] = dataclasses.replace(
                    known, serial=known.serial + 1, state=randomness.randrange(3)
                )
            else:
                table[f"n:{number}"] = entry(number, randomness)
            live = tuple(
                sorted(
                    (member.address for member in table.values() if member.state != cluster_member.DOWN),
                    key=cluster_member.position,
                )
            )
            assert table.live() == live
            assert table.tree_order() == tuple(
                sorted(live, key=lambda name: (table[name].role != "core", cluster_member.position(name)))
            )
            for number in range(15):
                address = f"n:{number}"
                assert table.watchers(address, 3) == cluster_member.watchers(address, table, 3)
                assert table.watched(address, 3) == tuple(
                    other for other in live if address in cluster_member.watchers(other, table, 3)
                )


def test_packed_entries_are_those_of_the_newest_entry():
    randomness, table = random.Random(1), member_table.MemberTable()
    table["n:1"] = entry(1, randomness)
    assert table.packed("n:1") == codec.pack(table["n:1"])
    table["n:1"] = dataclasses.replace(table["n:1"], serial=9)
    assert table.packed("n:1") == codec.pack(table["n:1"])
    del table["n:1"]
    table["n:1"] = entry(2, randomness)
    assert table.packed("n:1") == codec.pack(table["n:1"])


def test_a_change_that_moves_nobody_keeps_the_order():
    table = member_table.MemberTable()
    table["n:1"] = entry(1, random.Random(3))
    before = table.layout_version
    table["n:1"] = dataclasses.replace(table["n:1"], serial=5, http="x:1")
    assert table.layout_version == before and table.change_count == 2


def test_no_way_to_change_a_table_goes_uncounted():
    table = member_table.ChangeCountingDict()
    table["a"] = 1
    table["a"] = 2
    del table["a"]
    assert table.pop("a", None) is None and table.change_count >= 3
    for change in (table.clear, table.popitem):
        with pytest.raises(NotImplementedError):
            change()
    for change in (table.update, table.setdefault, table.__ior__):
        with pytest.raises((NotImplementedError, TypeError)):
            change({"a": 1})
