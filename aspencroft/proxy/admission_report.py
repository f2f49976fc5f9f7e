"""Counts the calls that an edge rejects at admission and reports when it starts and stops lacking a configuration."""

import collections

import logbook

from aspencroft.errors import result
from aspencroft.runtime import events
from aspencroft.tracing import sample

LOG = logbook.Logger("proxy.admission")


class AdmissionReport:
    """Counts rejections by result; the start and the end of rejecting for want of a configuration are events."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.counts: collections.Counter[int] = collections.Counter()
        self.rejected_without_configuration = 0

    def record_rejected(self, rejection: result.RequestError) -> None:
        """Count a call that was rejected before anything was reserved for it."""
        self.counts[rejection.result.number] += 1
        if rejection.result is not result.ResultCode.NO_PLAN:
            return
        self.rejected_without_configuration += 1
        if self.rejected_without_configuration == 1:
            events.report(
                LOG,
                events.EventFields(events.Event.TURNING_AWAY, member=self.address, reason="no current configuration"),
                "{} turns calls away: it has no current configuration",
                self.address,
            )

    def record_admitted(self) -> None:
        """Record that a call was admitted, which ends a period without a configuration."""
        if not self.rejected_without_configuration:
            return
        events.report(
            LOG,
            events.EventFields(events.Event.TURNING_AWAY_ENDED, member=self.address),
            "{} takes calls again: {} were turned away for want of a configuration",
            self.address,
            self.rejected_without_configuration,
        )
        self.rejected_without_configuration = 0

    def samples(self) -> list[sample.Sample]:
        """Return the counts as metrics."""
        return [
            sample.sample("aspencroft_calls_rejected_total", count, result=str(number))
            for number, count in sorted(self.counts.items())
        ]

    def document(self) -> dict[str, int]:
        """Return the counts by result number, as shown by ``/status``."""
        return {str(number): count for number, count in sorted(self.counts.items())}
