"""Tests of the bound of a group's history that a machine's memory sets."""

import itertools

from aspencroft.node import payload_limit
from aspencroft.sessions import call_sessions


def test_replicas_that_a_disk_holds_once_the_losses_to_be_borne_have_happened():
    assert payload_limit.replicas_on_a_disk(groups=12, copies=3, disks=10, losses=2) == 5
    assert payload_limit.replicas_on_a_disk(groups=12, copies=2, disks=3, losses=1) == 12
    assert payload_limit.replicas_on_a_disk(groups=12, copies=3, disks=3, losses=2) == 12
    assert payload_limit.replicas_on_a_disk(groups=12, copies=3, disks=0, losses=2) == 12


def test_all_groups_of_a_disk_at_their_bound_fit_into_its_memory():
    for memory, disks, losses in itertools.product((130_000_000, 150_000_000, 300_000_000), (3, 10, 12, 30), (1, 2)):
        replicas = payload_limit.replicas_on_a_disk(12, losses + 1, disks, losses)
        held = replicas * payload_limit.payload_limit(memory, replicas) * payload_limit.MEMORY_PER_PAYLOAD
        assert payload_limit.PROCESS_BYTES + held <= memory


def test_without_a_known_limit_and_above_it_the_ledgers_own_bound_holds():
    assert payload_limit.payload_limit(0, 5) == call_sessions.MAX_PAYLOAD_BYTES
    assert payload_limit.payload_limit(64_000_000_000, 5) == call_sessions.MAX_PAYLOAD_BYTES
    assert payload_limit.payload_limit(60_000_000, 5) == payload_limit.LEAST_BYTES
