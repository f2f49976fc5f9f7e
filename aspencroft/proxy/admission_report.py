"""What an edge rejects at admission: counted by result, and said once while it lacks a configuration."""

import collections

import logbook

from aspencroft.errors import result
from aspencroft.runtime import events
from aspencroft.tracing import sample

LOG = logbook.Logger("proxy.admission")


class AdmissionReport:
    """Counts rejections at admission; an edge without a configuration is an event, as is its end."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.counts: collections.Counter[int] = collections.Counter()
        self.turned_away = 0

    def note_rejected(self, rejection: result.RequestError) -> None:
        """Count a call that was rejected before anything was begun for it."""
        self.counts[rejection.result.number] += 1
        if rejection.result is not result.ResultCode.NO_PLAN:
            return
        self.turned_away += 1
        if self.turned_away == 1:
            events.report(
                LOG,
                events.EventFields(events.Event.TURNING_AWAY, member=self.address, reason="no current configuration"),
                "{} turns calls away: it has no current configuration",
                self.address,
            )

    def note_admitted(self) -> None:
        """A call was admitted: whatever was lacking is there again."""
        if not self.turned_away:
            return
        events.report(
            LOG,
            events.EventFields(events.Event.TURNING_AWAY_ENDED, member=self.address),
            "{} takes calls again: {} were turned away for want of a configuration",
            self.address,
            self.turned_away,
        )
        self.turned_away = 0

    def samples(self) -> list[sample.Sample]:
        """The counts as metrics."""
        return [
            sample.sample("aspencroft_calls_rejected_total", count, result=str(number))
            for number, count in sorted(self.counts.items())
        ]

    def document(self) -> dict[str, int]:
        """The counts by the number of the result, as ``/status`` shows them."""
        return {str(number): count for number, count in sorted(self.counts.items())}
