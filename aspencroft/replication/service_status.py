"""How a group is served by its primary, in words; what stops or resumes the service is logged as an event."""

import logbook

from aspencroft.runtime import events

LOG = logbook.Logger("replication.service_status")
SERVING = "serving"
NO_BACKUP = "no backup"
RECRUITING = "recruiting"
REPAIRING_BACKUPS = "mending the backups"
IMPAIRED = frozenset((NO_BACKUP, RECRUITING, REPAIRING_BACKUPS))
"""Why a primary under its lease answers nothing yet."""


class ServiceStatus:
    """The present reason, as ``/status`` shows it; only ``change`` sets it."""

    def __init__(self, group_id: int) -> None:
        self.group_id = group_id
        self.reason = "starting"
        self.is_impaired = False

    def change(self, reason: str, epoch: int | None, member: str) -> None:
        """Take a reason; an event where a primary stops serving, still cannot for another reason, or serves again."""
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
        """Log that the service stopped or resumed."""
        events.report(
            LOG,
            events.EventFields(event, self.group_id, epoch, member=member, reason=reason),
            "group {}: primary {}: {}, epoch {}",
            self.group_id,
            member,
            f"not serving, {reason}" if reason else "serving again",
            epoch,
        )
