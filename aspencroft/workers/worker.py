"""A back end as the platform's list shows it."""

import dataclasses

import httpx
import voluptuous

from aspencroft.configuration import lane

MODEL, PLAIN = "model", "plain"


def usable(url: str) -> str:
    """The URL, if the HTTP client can use it."""
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL as error:
        raise voluptuous.Invalid(str(error)) from None
    if not parsed.host or (parsed.port is not None and not 0 < parsed.port < 65536):
        raise voluptuous.Invalid("no usable address")
    return url


SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("name"): lane.NAME,
        voluptuous.Required("url"): voluptuous.All(voluptuous.Match(r"^https?://[^/\s]+\Z"), usable),
        voluptuous.Required("kind"): voluptuous.Any(MODEL, PLAIN),
        voluptuous.Required("services"): lane.NAMES,
        voluptuous.Optional("leaving", default=False): bool,
        voluptuous.Optional("memory", default=72_000_000_000): voluptuous.All(int, voluptuous.Range(min=1)),
        voluptuous.Optional("places", default=8): voluptuous.All(int, voluptuous.Range(min=1, max=4096)),
    },
    extra=voluptuous.REMOVE_EXTRA,
)


@dataclasses.dataclass(frozen=True)
class Worker:
    """One model worker or plain worker."""

    name: str
    url: str
    kind: str
    services: tuple[str, ...]
    leaving: bool
    memory: int
    places: int


def of(raw) -> Worker | None:
    """The worker that one row of the list shows; a row that cannot be read is none."""
    try:
        full = SCHEMA(raw)
    except voluptuous.Invalid:
        return None
    return Worker(
        full["name"],
        full["url"],
        full["kind"],
        tuple(full["services"]),
        full["leaving"],
        full["memory"],
        full["places"],
    )
