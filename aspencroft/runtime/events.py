"""Events for whoever is on call: log lines that are written at once, with fields that a program can read.

An event is a line of level NOTICE. ``runtime/node_log.py`` writes it when it comes, counts the repetitions of one
cause, and keeps lines of lower levels in memory.
"""

import dataclasses
import enum
import json

import logbook

EXTRA = "event"
"""The key of a log record's ``extra`` that holds an event's fields."""


class Event(enum.Enum):
    """What may happen that an engineer on call reads of; ``docs/on-call.md`` tells what to do."""

    NODE_STARTED = "node_started"
    STOP_BEGUN = "stop_begun"
    STOP_ENDED = "stop_ended"
    MEMBER_SUSPECTED = "member_suspected"
    SUSPICION_DENIED = "suspicion_denied"
    SUSPICION_UNCONFIRMED = "suspicion_unconfirmed"
    MEMBER_DOWN = "member_down"
    MEMBER_BACK = "member_back"
    MEMBER_LEAVING = "member_leaving"
    ENTRY_REFUTED = "entry_refuted"
    MAJORITY_LOST = "majority_lost"
    MAJORITY_BACK = "majority_back"
    VOTER_BLANK = "voter_blank"
    VOTER_READY = "voter_ready"
    VOTERS_FROM_DISKS = "voters_from_disks"
    VOTER_SET_CHOSEN = "voter_set_chosen"
    VOTER_SET_ADOPTED = "voter_set_adopted"
    VOTER_SET_CHANGE_FAILED = "voter_set_change_failed"
    RECORD_RECOVERED = "record_recovered"
    ROLE_CHANGED = "role_changed"
    ROLE_ENDED = "role_ended"
    TAKEOVER_SUCCEEDED = "takeover_succeeded"
    TAKEOVER_REFUSED = "takeover_refused"
    BALLOT_FAILED = "ballot_failed"
    GROUP_IMPAIRED = "group_impaired"
    GROUP_SERVING = "group_serving"
    REPLICAS_DROPPED = "replicas_dropped"
    REPLICAS_NOT_DROPPED = "replicas_not_dropped"
    REPLICA_ADDED = "replica_added"
    REPLICA_NOT_ADDED = "replica_not_added"
    REPLICA_RELEASED = "replica_released"
    REPAIR_BEGUN = "repair_begun"
    REPAIR_FINISHED = "repair_finished"
    REPAIR_FAILED = "repair_failed"
    MOVE_BEGUN = "move_begun"
    MOVE_ENDED = "move_ended"
    DISK_FAULT = "disk_fault"
    GROUP_FULL = "group_full"
    ROOT_BEGUN = "root_begun"
    ROOT_ENDED = "root_ended"
    ORDER_TAKEN = "order_taken"
    ORDER_REFUSED = "order_refused"
    ORDER_UNCONFIRMED = "order_unconfirmed"
    LEASE_GAINED = "configuration_lease_gained"
    LEASE_LOST = "configuration_lease_lost"
    TURNING_AWAY = "turning_away"
    TURNING_AWAY_ENDED = "turning_away_ended"
    SINGLETON_ACQUIRED = "singleton_acquired"
    SINGLETON_LOST = "singleton_lost"
    DRAIN_ORDERED = "drain_ordered"
    DRAIN_UNFINISHED = "drain_unfinished"
    DRAIN_FINISHED = "drain_finished"
    DRAIN_WITHDRAWN = "drain_withdrawn"
    WORKER_EJECTED = "worker_ejected"
    WORKER_NOT_EJECTED = "worker_not_ejected"
    WORKER_RETURNED = "worker_returned"
    WORKER_LIST_UNREADABLE = "worker_list_unreadable"
    WORKER_LIST_READ_AGAIN = "worker_list_read_again"
    WORKER_LIST_CHANGED = "worker_list_changed"


@dataclasses.dataclass(frozen=True)
class EventFields:
    """An event and what it is about; an empty field says nothing.

    ``group`` is a replication group, ``epoch`` that of its replica set, ``revision`` that of the configuration,
    ``member`` a node, replica, worker or machine, ``reason`` why it happened.
    """

    event: Event
    group: int | None = None
    epoch: int | None = None
    revision: str = ""
    member: str = ""
    reason: str = ""

    def cause(self) -> tuple[Event, int | None, str, str]:
        """What two events have in common that are repetitions of each other, whatever numbers have grown meanwhile."""
        return self.event, self.group, self.member, self.reason

    def text(self) -> str:
        """The fields as ``name=value``, separated by blanks; texts are quoted as in JSON.

        Example: ``EventFields(Event.MOVE_ENDED, 3, 7).text() == "event=move_ended group=3 epoch=7"``
        """
        found = [f"event={self.event.value}"]
        numbers = (("group", self.group), ("epoch", self.epoch))
        found.extend(f"{name}={number}" for name, number in numbers if number is not None)
        texts = (("revision", self.revision), ("member", self.member), ("reason", self.reason))
        found.extend(f"{name}={json.dumps(text)}" for name, text in texts if text)
        return " ".join(found)


def report(
    logger: logbook.Logger,
    fields: EventFields,
    text: str,
    *values: object,
    level: int = logbook.NOTICE,
) -> None:
    """Log an event.

    Args:
        logger: the module's logger.
        fields: the event and what it is about.
        text: the line for people, with ``{}`` where values come.
        values: the values of the line.
        level: ``logbook.NOTICE``, or a warning or error where somebody has to do something.

    """
    logger.log(level, text, *values, extra={EXTRA: fields})
