"""Tests of a store on a failing disk: no acknowledged record is lost or followed by torn bytes."""

import errno
import random

import pytest

from aspencroft.simulation import disk
from aspencroft.storage import data_file, store

FIRST = tuple(data_file.Record(1, bytes([number]) * 300) for number in range(3))
FAILED = (data_file.Record(2, b"a" * 700), data_file.Record(2, b"b" * 900))
LATER = (data_file.Record(3, b"later"),)


def open_on(machine: disk.SimDisk) -> store.OpenedStore:
    """Open the store in the folder of a machine."""
    return store.open_store(machine.folder / "store", machine)


def test_an_append_cut_off_at_any_byte_by_a_full_disk_leaves_nothing_behind(tmp_path):
    for space in range(0, 2600, 13):
        machine = disk.SimDisk(tmp_path / str(space), random.Random(space))
        journal = open_on(machine).store
        journal.append(FIRST)
        machine.space = space
        try:
            machine.within_space(journal.append, (FAILED,))
            expected = (*FIRST, *FAILED)
        except OSError as error:
            assert error.errno == errno.ENOSPC
            expected = FIRST
        machine.space = None
        journal.append(LATER)
        _, records, condition = open_on(machine)
        assert (records, condition) == ((*expected, *LATER), data_file.Condition.SOUND), space


def test_a_failed_sync_is_no_append(tmp_path):
    machine = disk.SimDisk(tmp_path, random.Random(1))
    journal = open_on(machine).store
    journal.append(FIRST)
    machine.failing_sync = True
    for _ in range(3):
        with pytest.raises(OSError, match="error"):
            journal.append(FAILED)
    machine.failing_sync = False
    journal.append(LATER)
    assert open_on(machine)[1:] == ((*FIRST, *LATER), data_file.Condition.SOUND)


def test_a_replacement_refused_at_any_byte_leaves_the_older_generation_in_force(tmp_path):
    failure_count = 0
    for space in range(0, 2200, 11):
        machine = disk.SimDisk(tmp_path / str(space), random.Random(space))
        journal = open_on(machine).store
        journal.append(FIRST)
        machine.space = space
        try:
            machine.within_space(journal.replace, (FAILED,))
            expected = FAILED
        except OSError:
            expected = FIRST
            failure_count += 1
        machine.space = None
        journal.append(LATER)
        assert open_on(machine)[1:] == ((*expected, *LATER), data_file.Condition.SOUND), space
        assert len(list((machine.folder / "store").glob("generation-*"))) == 1
    assert 100 < failure_count < 200


def test_a_pointer_that_was_not_made_to_last_holds_appends_back(tmp_path):
    for seed in range(20):
        machine = disk.SimDisk(tmp_path / str(seed), random.Random(seed))
        journal = open_on(machine).store
        journal.append(FIRST)
        syncs = machine.synchronise

        def failing_sync(path, syncs=syncs, machine=machine):
            if path == machine.folder / "store" and store.read_pointer(path / store.CURRENT).generation == 2:
                raise OSError(errno.EIO, "error")
            syncs(path)

        machine.synchronise = failing_sync
        journal.replace(FIRST[:2])
        with pytest.raises(OSError, match="error"):
            journal.append(LATER)
        machine.synchronise = syncs
        machine.power_loss()
        _, records, condition = open_on(machine)
        assert records in (FIRST, FIRST[:2]) and condition is data_file.Condition.SOUND


def test_what_a_killed_process_wrote_and_never_synced_lasts_once_it_was_found(tmp_path):
    for seed in range(20):
        machine = disk.SimDisk(tmp_path / str(seed), random.Random(seed))
        journal = open_on(machine).store
        journal.append(FIRST)
        journal.write_unsynced(LATER)
        _, records, _ = open_on(machine)
        assert records == (*FIRST, *LATER)
        machine.power_loss()
        assert open_on(machine)[1] == records


def test_a_torn_tail_that_a_start_cuts_off_is_gone_for_good_before_the_start_is_over(tmp_path):
    machine = disk.SimDisk(tmp_path, random.Random(1))
    journal = open_on(machine).store
    journal.append(FIRST)
    journal.append(LATER)
    data_path = journal.generation_folder() / "journal.dat"
    end = data_file.scan(data_path.read_bytes()).extents[-1].end
    with data_path.open("ab") as file:
        file.write(b"torn" * 300)
    synced_sizes, sync = [], machine.synchronise

    def record_size(path):
        if path == data_path:
            synced_sizes.append(path.stat().st_size)
        sync(path)

    machine.synchronise = record_size
    assert open_on(machine)[1] == (*FIRST, *LATER)
    assert data_path.stat().st_size == end
    assert synced_sizes == [end + 1200, end], "synced as found, then without the tail"


def test_a_pointer_renamed_by_a_killed_process_lasts_before_the_older_generation_goes(tmp_path):
    machine = disk.SimDisk(tmp_path, random.Random(1))
    journal = open_on(machine).store
    journal.append(FIRST)
    successor = journal.successor(journal.generation + 1)
    successor.create_empty()
    successor.append(FAILED)
    successor.finish_switch = lambda: None
    successor.put_in_force(journal.generation_folder())
    superseded_exists, syncs = [], machine.synchronise

    def record_superseded(path):
        syncs(path)
        if path == machine.folder / "store":
            superseded_exists.append(journal.generation_folder().exists())

    machine.synchronise = record_superseded
    assert open_on(machine)[1] == FAILED
    assert superseded_exists == [True] and not journal.generation_folder().exists()
