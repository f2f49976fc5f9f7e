"""A worker as described in the platform's list."""

import dataclasses

import httpx
import voluptuous

from aspencroft.configuration import lane

MODEL, PLAIN = "model", "plain"


def check_url(url: str) -> str:
    """Return the URL if the HTTP client can use it.

    :raises voluptuous.Invalid: it cannot
    """
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL as error:
        raise voluptuous.Invalid(str(error)) from None
    if not parsed.host or (parsed.port is not None and not 0 < parsed.port < 65536):
        raise voluptuous.Invalid("expected a URL with a host and a valid port")
    return url


SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("name"): lane.NAME,
        voluptuous.Required("url"): voluptuous.All(voluptuous.Match(r"^https?://[^/\s]+\Z"), check_url),
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
    """A model worker or a plain worker."""

    name: str
    url: str
    kind: str
    services: tuple[str, ...]
    leaving: bool
    memory: int
    places: int


def of(row) -> Worker | None:
    """Return the worker that a row of the list describes, or None for an invalid row."""
    try:
        fields = SCHEMA(row)
    except voluptuous.Invalid:
        return None
    return Worker(
        fields["name"],
        fields["url"],
        fields["kind"],
        tuple(fields["services"]),
        fields["leaving"],
        fields["memory"],
        fields["places"],
    )
