"""The judge of tenants' limits and keys: its own count of what workers ran, over every sliding window."""

import collections
import collections.abc
import dataclasses
import json
import math

from aspencroft.configuration import tenant
from aspencroft.emulator import agent, worker_server
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.simulation import rules

TENANTS = "tenants"
ALLOWED_PART = 0.5
"""The part of the allowed error that the product may use."""
MAX_UNJUST_SHARE = 1 / 200
"""The part of requests within their tenant's limit that may be refused as above it, exclusive."""


@dataclasses.dataclass(frozen=True)
class LimitSpan:
    """Tenants of a configuration that may have been in force on some edge, and from when to when in seconds."""

    tenants: dict[str, tenant.Tenant]
    began: float
    ended: float

    def holder_of(self, key_digest: str) -> str | None:
        """The tenant that holds a key."""
        return next((name for name, one in self.tenants.items() if key_digest in one.key_digests), None)

    def overlaps(self, began: float, ended: float) -> bool:
        """Whether it may have been in force at some moment of a time."""
        return self.began <= ended and began <= self.ended


@dataclasses.dataclass(frozen=True)
class RanRequest:
    """A request that a worker ran: the tenant that it was told, the caller's key, and when it was sent and arrived."""

    attempt: str
    told_tenant: str
    key_digest: str
    sent: float
    arrived: float


@dataclasses.dataclass(frozen=True)
class Overrun:
    """The window that holds the most requests over a tenant's limit, in parts of the error that is allowed."""

    tenant: str
    began: float
    requests: int
    limit: float
    part: float


@dataclasses.dataclass(frozen=True)
class QuotaHistory:
    """All that was seen of a day: tries, runs, configurations, bounds of the count and of a configuration's spread."""

    tries: list[agent.Try]
    ran: list[RanRequest]
    spans: list[LimitSpan]
    bounds: settings.QuotaBounds

    def limits_within(self, name: str, began: float, ended: float) -> list[float]:
        """The limits of a tenant that may have been in force within a time; infinite where it had none."""
        found = [span.tenants[name] for span in self.spans if span.overlaps(began, ended) and name in span.tenants]
        window = self.bounds.window.total_seconds()
        return [one.rate * window + one.burst if one.rate else math.inf for one in found]


def spans_of(versions: list[rules.Version], spread: float) -> list[LimitSpan]:
    """When each version may have been in force: from its sending until ``spread`` after the next is acknowledged."""
    found = []
    for one in versions:
        if one.refused or not one.valid:
            continue
        ends = [later.taken for later in versions if later.number > one.number and later.taken is not None]
        specs = {name: json.loads(text) for (group, name), text in one.items.items() if group == TENANTS}
        tenants = {name: tenant.of(name, spec) for name, spec in specs.items()}
        found.append(LimitSpan(tenants, one.sent, min(ends, default=math.inf) + spread))
    return found


def ran_requests(tries: list[agent.Try], workers: list[worker_server.Worker]) -> list[RanRequest]:
    """What workers ran, each request once, at its first arrival where it ran."""
    by_attempt = {one.call.attempt: one for one in tries}
    found: dict[str, RanRequest] = {}
    for life in workers:
        arrivals = {arrival.attempt: arrival.at for arrival in reversed(life.arrivals) if arrival.taken}
        for run in life.runs:
            one, arrived = by_attempt.get(run.attempt), arrivals[run.attempt]
            if run.attempt in found and found[run.attempt].arrived <= arrived:
                continue
            told = next((value.decode() for name, value in run.headers if name.lower() == worker_server.TENANT), "")
            digest, sent = (one.call.key_digest, one.began) if one is not None else ("", arrived)
            found[run.attempt] = RanRequest(run.attempt, told, digest, sent, arrived)
    return sorted(found.values(), key=lambda one: (one.sent, one.attempt))


def faults(history: QuotaHistory) -> list[str]:
    """Everything that must never happen and did, each line begins with the name of its rule."""
    return [*over_limit(history), *wrong_tenants(history), *unjust_refusals(history)]


def over_limit(history: QuotaHistory) -> list[str]:
    """QUOTA: a window holds more than is allowed; MARGIN: more than the part of it that the product may use."""
    found = []
    for one in overruns(history):
        if one.part > ALLOWED_PART:
            rule = "QUOTA" if one.part > 1 else "MARGIN"
            found.append(
                f"{rule} {one.tenant}: {one.requests} requests in the window from {one.began:.3f}, the limit is "
                f"{one.limit:g}: {one.part:.2f} of the allowed error"
            )
    return found


def overruns(history: QuotaHistory) -> list[Overrun]:
    """The worst window of each tenant that has a limit."""
    by_tenant: dict[str, list[RanRequest]] = collections.defaultdict(list)
    for one in history.ran:
        by_tenant[one.told_tenant].append(one)
    worst = []
    for name, ran in by_tenant.items():
        windows = [found for found in windows_of(name, ran, history) if math.isfinite(found.limit)]
        if windows:
            worst.append(max(windows, key=lambda found: found.part))
    return worst


def windows_of(name: str, ran: list[RanRequest], history: QuotaHistory) -> collections.abc.Iterator[Overrun]:
    """The windows that begin as a request is sent: how many requests are sent and arrive in each."""
    length = history.bounds.window.total_seconds()
    for place, first in enumerate(ran):
        end, requests = first.sent + length, 0
        for one in ran[place:]:
            if one.sent > end:
                break
            requests += one.arrived <= end
        limit = max(history.limits_within(name, first.sent, end), default=0.0)
        allowed = limit * history.bounds.overshoot + history.bounds.tolerance
        yield Overrun(name, first.sent, requests, limit, (requests - limit) / allowed)


def wrong_tenants(history: QuotaHistory) -> list[str]:
    """TENANT: a request ran for another tenant than its key's; KEY: it ran with none, or with one that was dropped."""
    found = []
    for one in history.ran:
        spans = [span for span in history.spans if span.overlaps(one.arrived, one.arrived)]
        holders = {span.holder_of(one.key_digest) for span in spans} - {None}
        about = f"{one.attempt} at {one.arrived:.3f} as {one.told_tenant!r}"
        if not holders:
            why = "without a key" if not one.key_digest else "with a key that nobody held"
            found.append(f"KEY {about} ran {why}")
        elif one.told_tenant not in holders:
            found.append(f"TENANT {about}: its key is held by {sorted(filter(None, holders))}")
    return found


def tries_within_limits(history: QuotaHistory) -> list[agent.Try]:
    """The tries before which their tenant had sent no more in a window than the least of its limits, itself included.

    The window is longer by what the product's steps may round up.
    """
    length = 1.02 * history.bounds.window.total_seconds()
    recent: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
    found = []
    for one in sorted(history.tries, key=lambda each: each.began):
        spans = [span for span in history.spans if span.overlaps(one.began, one.began)]
        holders = {span.holder_of(one.call.key_digest) for span in spans}
        for name in sorted(filter(None, holders)):
            sent = recent[name]
            sent.append(one.began)
            while sent[0] < one.began - length:
                sent.popleft()
        if len(holders) == 1 and (name := next(iter(holders))) is not None:
            if len(recent[name]) <= min(history.limits_within(name, one.began - length, one.ended)):
                found.append(one)
    return found


def unjust_refusals(history: QuotaHistory) -> list[str]:
    """UNJUST: too many of the requests within their tenants' limits were refused as above them."""
    asked = tries_within_limits(history)
    refused = [one for one in asked if is_over_quota(one)]
    if not refused or len(refused) < MAX_UNJUST_SHARE * len(asked):
        return []
    shown = ", ".join(f"{one.call.attempt} at {one.edge} {one.ended:.3f}" for one in refused[:5])
    return [f"UNJUST {len(refused)} of {len(asked)} requests within their tenants' limits were refused: {shown}"]


def is_over_quota(one: agent.Try) -> bool:
    """Whether a try was refused as above its tenant's limit."""
    return one.refusal is not None and one.refusal.result is result.ResultCode.OVER_QUOTA
