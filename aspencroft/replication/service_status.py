"""The service status of a group at its primary; each interruption and resumption is logged as an event."""

import logbook

from aspencroft.runtime import events

LOG = logbook.Logger("replication.service_status")
SERVING = "serving"
NO_BACKUP = "no backup"
RECRUITING = "recruiting"
REPAIRING_BACKUPS = "mending the backups"
IMPAIRED = frozenset((NO_BACKUP, RECRUITING, REPAIRING_BACKUPS))
"""Reasons for which a primary with a valid lease does not serve yet."""


class ServiceStatus:
    """The current status reason, as shown by ``/status``; only ``change`` sets it."""

    def __init__(self, group_id: int) -> None:
        self.group_id = group_id
        self.reason = "starting"
        self.is_impaired = False

    def change(self, reason: str, epoch: int | None, member: str) -> None:
        """Set the reason; logs when a primary stops serving, when the cause changes, and when it serves again."""
        if reason == self.reason:
            return
        self.reason = reason
        if reason in IMPAIRED:
            self.is_impaired = True
            self.report(events.Event.GROUP_IMPAIRED, reason, epoch, member)
        elif reason == SERVING and self.is_impaired:
            self.is_impaired = False
            self.report(events.Event.GROUP_SERVING, "", epoch, member)
        elif reason != SERVING:
            self.is_impaired = False

    def report(self, event: events.Event, reason: str, epoch: int | None, member: str) -> None:
        """Log that the service was interrupted or resumed."""
        events.report(
            LOG,
            events.EventFields(event, self.group_id, epoch, member=member, reason=reason),
            "group {}: primary {}: {}, epoch {}",
            self.group_id,
            member,
            f"not serving, {reason}" if reason else "serving again",
            epoch,
        )
