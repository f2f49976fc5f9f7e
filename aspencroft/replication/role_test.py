"""Tests of the role derived from what a replica knows, and of its log lines."""

import dataclasses

import logbook
import pytest

from aspencroft.consensus import replica_set
from aspencroft.replication import role
from aspencroft.runtime import events

ME, PEER, OTHER = (replica_set.ReplicaId(f"n{number}:1", "disk") for number in range(3))
PRIMARY = replica_set.ReplicaSet(7, 4, ME, (PEER,))
BACKUP = replica_set.ReplicaSet(7, 4, PEER, (ME,))
ABSENT = replica_set.ReplicaSet(7, 4, PEER, (OTHER,))
NOTHING_KNOWN = role.RoleFacts(None, ME, False, False, False, True, False)


def facts(**changes: object) -> role.RoleFacts:
    """The facts of a confirmed backup, with some changes."""
    confirmed = dataclasses.replace(NOTHING_KNOWN, known=BACKUP, is_unconfirmed=False)
    return dataclasses.replace(confirmed, **changes)


@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        (NOTHING_KNOWN, role.ReplicaRole.RECOVERING),
        (facts(is_unconfirmed=True), role.ReplicaRole.RECOVERING),
        (facts(), role.ReplicaRole.FOLLOWER),
        (facts(known=ABSENT), role.ReplicaRole.NON_MEMBER),
        (facts(known=ABSENT, is_unconfirmed=True), role.ReplicaRole.NON_MEMBER),
        (facts(known=ABSENT, is_campaigning=True), role.ReplicaRole.NON_MEMBER),
        (facts(is_campaigning=True), role.ReplicaRole.CANDIDATE),
        (facts(is_campaigning=True, is_unconfirmed=True), role.ReplicaRole.CANDIDATE),
        (facts(known=PRIMARY), role.ReplicaRole.ACQUIRING_LEASE),
        (facts(known=PRIMARY, is_leading=True), role.ReplicaRole.ACQUIRING_LEASE),
        (facts(known=PRIMARY, is_leading=True, has_lease=True), role.ReplicaRole.LEADER),
        (facts(known=PRIMARY, is_leading=True, is_transferring=True), role.ReplicaRole.STEPPING_DOWN),
        (facts(known=PRIMARY, is_leading=True, is_transferring=True, has_lease=True), role.ReplicaRole.STEPPING_DOWN),
        (facts(known=BACKUP, is_leading=True), role.ReplicaRole.ACQUIRING_LEASE),
    ],
)
def test_the_role_follows_from_the_record_the_term_and_the_lease(seen, expected):
    assert role.decide_role(seen) is expected


def test_a_change_of_role_is_logged_once_with_group_epoch_member_and_reason():
    roles = role.RoleState(7)
    with logbook.TestHandler() as log:
        for _ in range(3):
            roles.apply(facts(), "its log follows the primary's")
        roles.apply(facts(known=PRIMARY, is_leading=True), "the primary is unresponsive")
    about = f"epoch 4, member {ME.label()}"
    assert [record.message for record in log.records] == [
        f"group 7: role changed from recovering to follower, {about}: its log follows the primary's",
        f"group 7: role changed from follower to acquiring lease, {about}: the primary is unresponsive",
    ]
    assert [record.level for record in log.records] == [logbook.INFO, logbook.NOTICE], (
        "a start is not logged as a notice"
    )
    assert log.records[1].extra[events.EXTRA] == events.EventFields(
        events.Event.ROLE_CHANGED,
        7,
        4,
        member=ME.label(),
        reason="follower to acquiring lease: the primary is unresponsive",
    )


def test_the_end_of_a_term_ends_a_transfer_with_it():
    roles = role.RoleState(7)
    roles.begin_term()
    roles.begin_transfer()
    assert roles.is_leading and roles.is_transferring
    roles.end_term()
    assert not roles.is_leading and not roles.is_transferring
