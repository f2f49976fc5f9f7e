"""The only place that knows a back end's wire form: the list, calls, orders and reports."""

import collections
import collections.abc
import dataclasses
import datetime

import httpx
import voluptuous

from aspencroft.errors import result
from aspencroft.runtime import clock, environment, json_input
from aspencroft.workers import worker

CONNECT = clock.seconds(1)
LIST = clock.seconds(1)
REPORT = clock.seconds(1)
LARGEST_LINE = 1 << 20
LARGEST_PAGE = 8 << 20
MOST_WORKERS = 4096
TROUBLES = (httpx.HTTPError, httpx.InvalidURL, httpx.StreamError, TimeoutError, json_input.Unsound)
BYTES = voluptuous.All(int, voluptuous.Range(min=0, max=1 << 50))
TEXT = voluptuous.All(str, voluptuous.Length(min=1, max=300))
KEPT = voluptuous.Schema(
    {
        voluptuous.Required("name"): TEXT,
        voluptuous.Required("size"): BYTES,
        voluptuous.Optional("tokens", default=0): BYTES,
        voluptuous.Required("place"): TEXT,
        voluptuous.Optional("busy", default=0): BYTES,
    },
    extra=voluptuous.REMOVE_EXTRA,
)
REPORTED = voluptuous.Schema(
    {voluptuous.Required("memory"): BYTES, voluptuous.Required("kept"): list}, extra=voluptuous.REMOVE_EXTRA
)
HELD = voluptuous.Schema({voluptuous.Required("held"): [TEXT]}, extra=voluptuous.REMOVE_EXTRA)
RESTED = voluptuous.Schema(
    {
        voluptuous.Required("asleep"): bool,
        voluptuous.Optional("awake_in", default=0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=3600)
        ),
    },
    extra=voluptuous.REMOVE_EXTRA,
)
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)


@dataclasses.dataclass(frozen=True)
class Work:
    """What a worker is asked to do."""

    go: str
    service: str
    program: str
    helper: str
    turn: int
    past: tuple[tuple[str, str], ...]
    input: object
    most: int
    within: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Piece:
    """A numbered piece of a worker's stream."""

    number: int
    text: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class End:
    """The explicit end of a stream, or a plain worker's whole answer."""

    pieces: int
    used: int
    answer: object


@dataclasses.dataclass(frozen=True)
class Order:
    """What a worker is to release, offload, load and restore, under the duty's epoch and an order number."""

    epoch: int
    number: int
    release: tuple[str, ...]
    offload: tuple[str, ...]
    load: tuple[str, ...]
    restore: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Kept:
    """One thing that a worker's report names: a model, an adapter or a program's parked KV."""

    name: str
    size: int
    tokens: int
    place: str
    busy: int


@dataclasses.dataclass(frozen=True)
class Report:
    """A worker's own word on what it holds; it may be late."""

    memory: int
    kept: tuple[Kept, ...]


class Adapter:
    """HTTP towards back ends and the platform; all that comes back is checked here.

    ``faults`` counts what could not be used, by the page that it came from.
    """

    def __init__(self, around: environment.Environment, faults: collections.Counter):
        timeout = httpx.Timeout(10, connect=CONNECT.total_seconds())
        self.client = httpx.AsyncClient(transport=around.transport(), timeout=timeout, trust_env=False)
        self.faults = faults

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def ask(
        self, page: str, method: str, url: str, within: datetime.timedelta, body: dict | None = None
    ) -> tuple[int, object]:
        """Status and JSON of a page, or a Refusal; an answer that is too large or no sound JSON counts as none."""
        try:
            async with clock.limit(within), self.client.stream(method, url, json=body) as response:
                parts, size = [], 0
                async for part in response.aiter_bytes():
                    parts.append(part)
                    size += len(part)
                    if size > LARGEST_PAGE:
                        raise json_input.Unsound(f"over {LARGEST_PAGE} bytes")
                if not response.is_success and response.status_code != 409:
                    raise json_input.Unsound(f"HTTP {response.status_code}")
                return response.status_code, json_input.parsed(b"".join(parts))
        except TROUBLES as error:
            self.faults[page] += 1
            raise result.RequestError(
                result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, f"{url}: {error!r}"[:500]
            ) from None

    async def workers(self, url: str) -> tuple[worker.Worker, ...]:
        """The platform's list; a row that cannot be read, or bears a name twice, costs just that row."""
        _, shown = await self.ask("list", "GET", url, LIST)
        rows = shown.get("workers") if isinstance(shown, dict) else shown
        if not isinstance(rows, list) or len(rows) > MOST_WORKERS:
            self.faults["list"] += 1
            raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="no list of workers")
        found: dict[str, worker.Worker] = {}
        for row in rows:
            one = worker.of(row)
            if one is None or one.name in found:
                self.faults["rows"] += 1
            else:
                found[one.name] = one
        if rows and not found:
            raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="no row can be read")
        return tuple(found.values())

    async def report(self, target: worker.Worker) -> Report:
        """What a worker says it holds; priced as a probe by whoever calls this."""
        status, shown = await self.ask("report", "GET", f"{target.url}/api/report", REPORT)
        try:
            full = REPORTED(shown)
            rows = tuple(Kept(**KEPT(one)) for one in full["kept"])
            if status == 200 and len({one.name for one in rows}) == len(rows):
                return Report(full["memory"], rows)
            why = "a name twice" if status == 200 else f"HTTP {status}"
        except voluptuous.Invalid as error:
            why = str(error)
        self.faults["report"] += 1
        raise result.RequestError(result.ResultCode.WORKER_BROKE, detail=f"report: {why}"[:500])

    async def order(self, target: worker.Worker, order: Order) -> tuple[str, ...]:
        """Send an order; the names that the worker holds or is loading once it took the order."""
        status, shown = await self.ask("order", "POST", f"{target.url}/api/orders", REPORT, dataclasses.asdict(order))
        if status == 409:
            raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail=str(shown)[:200])
        try:
            return tuple(HELD(shown)["held"])
        except voluptuous.Invalid as error:
            self.faults["order"] += 1
            raise result.RequestError(
                result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"order: {error}"[:500]
            ) from None

    async def rest(self, target: worker.Worker, asleep: bool) -> datetime.timedelta:
        """Put a worker's machine to rest, or wake it; how long it will be until it can serve.

        Saying it again does no harm, and tells how long it is now.
        """
        status, shown = await self.ask("rest", "POST", f"{target.url}/api/rest", REPORT, {"asleep": asleep})
        try:
            full = RESTED(shown)
            if status == 200 and full["asleep"] is asleep:
                return clock.seconds(full["awake_in"])
            why = f"HTTP {status}, {full}"
        except voluptuous.Invalid as error:
            why = str(error)
        self.faults["rest"] += 1
        raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"rest: {why}"[:500])

    async def run(self, target: worker.Worker, work: Work) -> collections.abc.AsyncIterator[Piece | End]:
        """Send work once and hand on what comes back; a Refusal says whether it ran.

        Pieces must be numbered in a row and the end must tell their count; anything else is broken.
        """
        if target.kind == worker.MODEL:
            path = "/api/generate"
            body = {
                "request": work.go,
                "model": work.service,
                "program": work.program,
                "helper": work.helper,
                "turn": work.turn,
                "history": [list(one) for one in work.past],
                "input": work.input,
                "max_output": work.most,
                "within": work.within.total_seconds(),
            }
        else:
            path = "/api/run"
            body = {
                "request": work.go,
                "service": work.service,
                "input": work.input,
                "within": work.within.total_seconds(),
            }
        try:
            request = self.client.build_request("POST", target.url + path, json=body)
        except (httpx.InvalidURL, ValueError) as error:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, repr(error)) from None
        try:
            response = await self.client.send(request, stream=True)
        except NOT_SENT as error:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, repr(error)) from None
        except httpx.HTTPError as error:
            raise result.RequestError(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        try:
            async for one in self.read_answer(response, target, work):
                yield one
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise result.RequestError(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        except result.RequestError as refusal:
            if refusal.result is result.ResultCode.WORKER_BROKE:
                self.faults["answer"] += 1
            raise
        finally:
            await response.aclose()

    async def read_answer(
        self, response: httpx.Response, target: worker.Worker, work: Work
    ) -> collections.abc.AsyncIterator[Piece | End]:
        """Pieces and end of an answer, or a Refusal that says whether the work ran."""
        if response.status_code != 200:
            shown = parsed(await whole(response))
            if shown.get("put_back") is True:
                raise result.RequestError(result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, target.name)
            raise result.RequestError(
                result.ResultCode.WORKER_REFUSED,
                result.Ran.UNKNOWN,
                f"{target.name}: HTTP {response.status_code}",
            )
        if target.kind == worker.PLAIN:
            shown = parsed(await whole(response))
            if shown.get("request") != work.go or shown.get("done") is not True:
                raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, target.name)
            yield End(0, 0, shown.get("answer"))
            return
        count, used, ended = 0, 0, False
        async for line in lines(response):
            shown = parsed(line)
            if shown.get("put_back") is True and count == 0 and not ended:
                raise result.RequestError(result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, target.name)
            if ended or shown.get("request") != work.go:
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "an answer of another request"
                )
            if shown.get("end") is True:
                if shown.get("pieces") != count:
                    raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "pieces are missing")
                ended = True
                yield End(count, used, None)
                continue
            tokens = shown.get("tokens")
            if (
                shown.get("piece") != count
                or not isinstance(shown.get("text"), str)
                or type(tokens) is not int
                or tokens < 0
            ):
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"piece {count} is unclear"
                )
            used += tokens
            if used > work.most:
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "more output than allowed"
                )
            yield Piece(count, shown["text"], tokens)
            count += 1
        if not ended:
            raise result.RequestError(
                result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, "the stream ended without its end"
            )


def parsed(data: bytes) -> dict:
    """A sound JSON object, or an empty one when the bytes are none.

    Example: ``parsed(b"{") == {}``
    """
    try:
        shown = json_input.parsed(data)
    except json_input.Unsound:
        return {}
    return shown if isinstance(shown, dict) else {}


async def whole(response: httpx.Response) -> bytes:
    """A body of bounded size; a larger one is broken."""
    held = b""
    async for part in response.aiter_bytes():
        held += part
        if len(held) > LARGEST_LINE:
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "the answer is too large")
    return held


async def lines(response: httpx.Response) -> collections.abc.AsyncIterator[bytes]:
    """The lines of a stream, each of bounded size; a last one without its end is handed out too."""
    held = b""
    async for part in response.aiter_bytes():
        held += part
        *full, held = held.split(b"\n")
        for line in full:
            yield line
        if len(held) > LARGEST_LINE:
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "a line is too large")
    if held:
        yield held
