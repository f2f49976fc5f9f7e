"""The marker of a new disk: it lasts from before the first store until it is removed, through losses of power."""

import pathlib
import random

import pytest

from aspencroft.node import disk_arrival
from aspencroft.simulation import disk
from aspencroft.storage import store

SEEDS = range(20)


def marker_lasts(data: pathlib.Path, machine: disk.SimDisk) -> bool:
    """Whether the marker is there after a loss of power."""
    machine.power_loss()
    return (data / disk_arrival.MARKER).exists()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_disk_is_marked_for_good_before_it_holds_anything(tmp_path, seed):
    data = tmp_path / "data"
    machine = disk.SimDisk(data, random.Random(seed))
    assert disk_arrival.mark_if_new(data, machine)
    store.open_store(data / disk_arrival.FIRST_STORE, store.NoSyncDisk())
    assert marker_lasts(data, machine)
    assert disk_arrival.mark_if_new(data, machine)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_marker_that_a_killed_process_did_not_sync_is_synced_by_the_next(tmp_path, seed):
    data = tmp_path / "data"
    machine = disk.SimDisk(data, random.Random(seed))
    disk_arrival.mark_if_new(data, store.NoSyncDisk())
    assert disk_arrival.mark_if_new(data, machine)
    assert marker_lasts(data, machine)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_marker_that_was_removed_does_not_come_back(tmp_path, seed):
    data = tmp_path / "data"
    machine = disk.SimDisk(data, random.Random(seed))
    assert disk_arrival.mark_if_new(data, machine)
    store.open_store(data / disk_arrival.FIRST_STORE, machine)
    disk_arrival.remove_marker(data, machine)
    assert not marker_lasts(data, machine)
    assert not disk_arrival.mark_if_new(data, machine)


def test_a_disk_that_a_former_version_wrote_is_no_new_one(tmp_path):
    store.open_store(tmp_path / disk_arrival.FIRST_STORE, store.NoSyncDisk())
    assert not disk_arrival.mark_if_new(tmp_path, store.NoSyncDisk())
    assert not (tmp_path / disk_arrival.MARKER).exists()
