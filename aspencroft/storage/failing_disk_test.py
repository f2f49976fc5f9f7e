"""A store on a disk that refuses writes, tears them, or loses power: nothing acknowledged is lost or followed by torn bytes."""

import errno
import random

import pytest

from aspencroft.simulation import disk
from aspencroft.storage import store

FIRST = tuple(store.Item(1, bytes([number]) * 300) for number in range(3))
REFUSED = (store.Item(2, b"a" * 700), store.Item(2, b"b" * 900))
LATER = (store.Item(3, b"later"),)


def opened(machine: disk.SimDisk) -> tuple[store.Store, tuple[store.Item, ...], store.Condition]:
    """The store in a disk's folder, opened."""
    return store.load(machine.folder / "store", machine)


def test_an_append_cut_off_at_any_byte_by_a_full_disk_leaves_nothing_behind(tmp_path):
    for space in range(0, 2600, 13):
        machine = disk.SimDisk(tmp_path / str(space), random.Random(space))
        kept, _, _ = opened(machine)
        kept.append(FIRST)
        machine.space = space
        try:
            machine.within_space(kept.append, (REFUSED,))
            taken = (*FIRST, *REFUSED)
        except OSError as error:
            assert error.errno == errno.ENOSPC
            taken = FIRST
        machine.space = None
        kept.append(LATER)
        _, items, condition = opened(machine)
        assert (items, condition) == ((*taken, *LATER), store.Condition.SOUND), space


def test_a_failed_sync_is_no_append(tmp_path):
    machine = disk.SimDisk(tmp_path, random.Random(1))
    kept, _, _ = opened(machine)
    kept.append(FIRST)
    machine.failing_sync = True
    for _ in range(3):
        with pytest.raises(OSError, match="error"):
            kept.append(REFUSED)
    machine.failing_sync = False
    kept.append(LATER)
    assert opened(machine)[1:] == ((*FIRST, *LATER), store.Condition.SOUND)


def test_a_replacement_refused_at_any_byte_leaves_the_older_generation_in_force(tmp_path):
    refused = 0
    for space in range(0, 2200, 11):
        machine = disk.SimDisk(tmp_path / str(space), random.Random(space))
        kept, _, _ = opened(machine)
        kept.append(FIRST)
        machine.space = space
        try:
            machine.within_space(kept.replace, (REFUSED,))
            taken = REFUSED
        except OSError:
            taken = FIRST
            refused += 1
        machine.space = None
        kept.append(LATER)
        assert opened(machine)[1:] == ((*taken, *LATER), store.Condition.SOUND), space
        assert len(list((machine.folder / "store").glob("generation-*"))) == 1
    assert 100 < refused < 200


def test_a_pointer_that_was_not_made_to_last_holds_appends_back(tmp_path):
    for seed in range(20):
        machine = disk.SimDisk(tmp_path / str(seed), random.Random(seed))
        kept, _, _ = opened(machine)
        kept.append(FIRST)
        syncs = machine.synchronise

        def failing(path, syncs=syncs, machine=machine):
            if path == machine.folder / "store" and store.read_pointer(path / store.CURRENT).generation == 2:
                raise OSError(errno.EIO, "error")
            syncs(path)

        machine.synchronise = failing
        kept.replace(FIRST[:2])
        with pytest.raises(OSError, match="error"):
            kept.append(LATER)
        machine.synchronise = syncs
        machine.power_loss()
        _, items, condition = opened(machine)
        assert items in (FIRST, FIRST[:2]) and condition is store.Condition.SOUND


def test_what_a_killed_process_wrote_and_never_synced_lasts_once_it_was_found(tmp_path):
    for seed in range(20):
        machine = disk.SimDisk(tmp_path / str(seed), random.Random(seed))
        kept, _, _ = opened(machine)
        kept.append(FIRST)
        kept.add(LATER)
        _, items, _ = opened(machine)
        assert items == (*FIRST, *LATER)
        machine.power_loss()
        assert opened(machine)[1] == items


def test_a_pointer_renamed_by_a_killed_process_lasts_before_the_older_generation_goes(tmp_path):
    machine = disk.SimDisk(tmp_path, random.Random(1))
    kept, _, _ = opened(machine)
    kept.append(FIRST)
    fresh = kept.successor(kept.generation + 1)
    fresh.blank()
    fresh.append(REFUSED)
    fresh.finish_point = lambda: None
    fresh.point(kept.home())
    there, syncs = [], machine.synchronise

    def watched(path):
        syncs(path)
        if path == machine.folder / "store":
            there.append(kept.home().exists())

    machine.synchronise = watched
    assert opened(machine)[1] == REFUSED
    assert there == [True] and not kept.home().exists()
