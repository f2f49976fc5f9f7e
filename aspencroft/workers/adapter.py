"""HTTP adapter to workers and the list of workers.

No other module knows the wire format of the list, of calls, orders and reports.
"""

import collections
import collections.abc
import dataclasses
import datetime

import httpx
import voluptuous

from aspencroft.errors import result
from aspencroft.runtime import clock, environment, json_input
from aspencroft.workers import worker

CONNECT_TIMEOUT = clock.seconds(1)
LIST_TIMEOUT = clock.seconds(1)
REPORT_TIMEOUT = clock.seconds(1)
MAX_LINE_BYTES = 1 << 20
MAX_PAGE_BYTES = 8 << 20
MAX_WORKERS = 4096
REQUEST_ERRORS = (httpx.HTTPError, httpx.InvalidURL, httpx.StreamError, TimeoutError, json_input.Unsound)
BYTE_COUNT = voluptuous.All(int, voluptuous.Range(min=0, max=1 << 50))
NAME_TEXT = voluptuous.All(str, voluptuous.Length(min=1, max=300))
KEPT_SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("name"): NAME_TEXT,
        voluptuous.Required("size"): BYTE_COUNT,
        voluptuous.Optional("tokens", default=0): BYTE_COUNT,
        voluptuous.Required("place"): NAME_TEXT,
        voluptuous.Optional("busy", default=0): BYTE_COUNT,
    },
    extra=voluptuous.REMOVE_EXTRA,
)
REPORT_SCHEMA = voluptuous.Schema(
    {voluptuous.Required("memory"): BYTE_COUNT, voluptuous.Required("kept"): list}, extra=voluptuous.REMOVE_EXTRA
)
ORDER_SCHEMA = voluptuous.Schema({voluptuous.Required("held"): [NAME_TEXT]}, extra=voluptuous.REMOVE_EXTRA)
REST_SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("asleep"): bool,
        voluptuous.Optional("awake_in", default=0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=3600)
        ),
    },
    extra=voluptuous.REMOVE_EXTRA,
)
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)


@dataclasses.dataclass(frozen=True)
class Work:
    """One piece of work for a worker."""

    attempt_id: str
    service: str
    program: str
    helper: str
    turn: int
    history: tuple[tuple[str, str], ...]
    input: object
    max_output_tokens: int
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Piece:
    """A numbered piece of a worker's stream."""

    number: int
    text: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class End:
    """The explicit end of a stream, or the whole answer of a plain worker."""

    pieces: int
    used: int
    answer: object


@dataclasses.dataclass(frozen=True)
class Order:
    """What a worker must release, offload, load and restore, with the epoch of the ordering role and a number."""

    epoch: int
    number: int
    release: tuple[str, ...]
    offload: tuple[str, ...]
    load: tuple[str, ...]
    restore: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Kept:
    """One entry of a worker's report: a model, an adapter or the parked KV cache of a program."""

    name: str
    size: int
    tokens: int
    place: str
    busy: int


@dataclasses.dataclass(frozen=True)
class Report:
    """What a worker reports that it holds; it may be out of date."""

    memory: int
    kept: tuple[Kept, ...]


class Adapter:
    """HTTP client for workers and the platform; validates every response.

    ``faults`` counts unusable responses by the page that they came from.
    """

    def __init__(self, host_environment: environment.Environment, faults: collections.Counter):
        timeout = httpx.Timeout(10, connect=CONNECT_TIMEOUT.total_seconds())
        self.client = httpx.AsyncClient(transport=host_environment.transport(), timeout=timeout, trust_env=False)
        self.faults = faults

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def request_json(
        self, page: str, method: str, url: str, within: datetime.timedelta, body: dict | None = None
    ) -> tuple[int, object]:
        """Return the status and the JSON of a page.

        :raises result.RequestError: UNREACHABLE if no response came, or if it is too large or not valid JSON, or if its
            status is neither a success nor 409; the outcome is unknown
        """
        try:
            async with clock.limit(within), self.client.stream(method, url, json=body) as response:
                parts, size = [], 0
                async for part in response.aiter_bytes():
                    parts.append(part)
                    size += len(part)
                    if size > MAX_PAGE_BYTES:
                        raise json_input.Unsound(f"more than {MAX_PAGE_BYTES} bytes")
                if not response.is_success and response.status_code != 409:
                    raise json_input.Unsound(f"HTTP {response.status_code}")
                return response.status_code, json_input.parsed(b"".join(parts))
        except REQUEST_ERRORS as error:
            self.faults[page] += 1
            raise result.RequestError(
                result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, f"{url}: {error!r}"[:500]
            ) from None

    async def workers(self, url: str) -> tuple[worker.Worker, ...]:
        """Return the platform's list of workers; invalid rows and repeated names are skipped."""
        _, content = await self.request_json("list", "GET", url, LIST_TIMEOUT)
        entries = content.get("workers") if isinstance(content, dict) else content
        if not isinstance(entries, list) or len(entries) > MAX_WORKERS:
            self.faults["list"] += 1
            raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="the response is not a list of workers")
        found: dict[str, worker.Worker] = {}
        for row in entries:
            one = worker.of(row)
            if one is None or one.name in found:
                self.faults["rows"] += 1
            else:
                found[one.name] = one
        if entries and not found:
            raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="the list of workers has no valid row")
        return tuple(found.values())

    async def report(self, target: worker.Worker) -> Report:
        """Return what a worker reports that it holds; the caller accounts for the cost of the probe."""
        status, content = await self.request_json("report", "GET", f"{target.url}/api/report", REPORT_TIMEOUT)
        try:
            fields = REPORT_SCHEMA(content)
            entries = tuple(Kept(**KEPT_SCHEMA(one)) for one in fields["kept"])
            if status == 200 and len({one.name for one in entries}) == len(entries):
                return Report(fields["memory"], entries)
            reason = "a name occurs twice" if status == 200 else f"HTTP {status}"
        except voluptuous.Invalid as error:
            reason = str(error)
        self.faults["report"] += 1
        raise result.RequestError(result.ResultCode.WORKER_BROKE, detail=f"report: {reason}"[:500])

    async def order(self, target: worker.Worker, order: Order) -> tuple[str, ...]:
        """Send an order; return the names that the worker then holds or is loading."""
        status, content = await self.request_json(
            "order", "POST", f"{target.url}/api/orders", REPORT_TIMEOUT, dataclasses.asdict(order)
        )
        if status == 409:
            raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail=str(content)[:200])
        try:
            return tuple(ORDER_SCHEMA(content)["held"])
        except voluptuous.Invalid as error:
            self.faults["order"] += 1
            raise result.RequestError(
                result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"order: {error}"[:500]
            ) from None

    async def set_asleep(self, target: worker.Worker, asleep: bool) -> datetime.timedelta:
        """Put a worker's machine to sleep, or wake it; return how long it will take until the worker can serve.

        The request is idempotent; a repeated one returns the time that is then left.
        """
        status, content = await self.request_json(
            "rest", "POST", f"{target.url}/api/rest", REPORT_TIMEOUT, {"asleep": asleep}
        )
        try:
            fields = REST_SCHEMA(content)
            if status == 200 and fields["asleep"] is asleep:
                return clock.seconds(fields["awake_in"])
            reason = f"HTTP {status}, {fields}"
        except voluptuous.Invalid as error:
            reason = str(error)
        self.faults["rest"] += 1
        raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"rest: {reason}"[:500])

    async def run(self, target: worker.Worker, work: Work) -> collections.abc.AsyncIterator[Piece | End]:
        """Send work once and yield the pieces and the end of the answer.

        Pieces must be numbered consecutively and the end must state their count; any other stream is rejected.

        :raises result.RequestError: its ``ran`` says whether the work ran
        """
        if target.kind == worker.MODEL:
            path = "/api/generate"
            body = {
                "request": work.attempt_id,
                "model": work.service,
                "program": work.program,
                "helper": work.helper,
                "turn": work.turn,
                "history": [list(one) for one in work.history],
                "input": work.input,
                "max_output": work.max_output_tokens,
                "within": work.timeout.total_seconds(),
            }
        else:
            path = "/api/run"
            body = {
                "request": work.attempt_id,
                "service": work.service,
                "input": work.input,
                "within": work.timeout.total_seconds(),
            }
        try:
            request = self.client.build_request("POST", target.url + path, json=body)
        except (httpx.InvalidURL, ValueError) as error:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, repr(error)) from None
        try:
            response = await self.client.send(request, stream=True)
        except NOT_SENT_ERRORS as error:
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, repr(error)) from None
        except httpx.HTTPError as error:
            raise result.RequestError(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        try:
            async for one in self.read_response(response, target, work):
                yield one
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise result.RequestError(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        except result.RequestError as refusal:
            if refusal.result is result.ResultCode.WORKER_BROKE:
                self.faults["answer"] += 1
            raise
        finally:
            await response.aclose()

    async def read_response(
        self, response: httpx.Response, target: worker.Worker, work: Work
    ) -> collections.abc.AsyncIterator[Piece | End]:
        """Yield the pieces and the end of an answer.

        :raises result.RequestError: its ``ran`` says whether the work ran
        """
        if response.status_code != 200:
            content = parsed(await read_body(response))
            if content.get("put_back") is True:
                raise result.RequestError(result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, target.name)
            raise result.RequestError(
                result.ResultCode.WORKER_REFUSED,
                result.Ran.UNKNOWN,
                f"{target.name}: HTTP {response.status_code}",
            )
        if target.kind == worker.PLAIN:
            content = parsed(await read_body(response))
            if content.get("request") != work.attempt_id or content.get("done") is not True:
                raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, target.name)
            yield End(0, 0, content.get("answer"))
            return
        count, used, ended = 0, 0, False
        async for line in lines(response):
            content = parsed(line)
            if content.get("put_back") is True and count == 0 and not ended:
                raise result.RequestError(result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, target.name)
            if ended or content.get("request") != work.attempt_id:
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "received the answer to another request"
                )
            if content.get("end") is True:
                if content.get("pieces") != count:
                    raise result.RequestError(
                        result.ResultCode.WORKER_BROKE,
                        result.Ran.UNKNOWN,
                        "the end does not state the number of pieces received",
                    )
                ended = True
                yield End(count, used, None)
                continue
            tokens = content.get("tokens")
            if (
                content.get("piece") != count
                or not isinstance(content.get("text"), str)
                or type(tokens) is not int
                or tokens < 0
            ):
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"piece {count} is invalid"
                )
            used += tokens
            if used > work.max_output_tokens:
                raise result.RequestError(
                    result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "more output tokens than allowed"
                )
            yield Piece(count, content["text"], tokens)
            count += 1
        if not ended:
            raise result.RequestError(
                result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, "the stream was cut off before its end"
            )


def parsed(data: bytes) -> dict:
    """Parse a JSON object; return an empty one if the bytes are not a valid object.

    Example: ``parsed(b"{") == {}``
    """
    try:
        content = json_input.parsed(data)
    except json_input.Unsound:
        return {}
    return content if isinstance(content, dict) else {}


async def read_body(response: httpx.Response) -> bytes:
    """Read a body of bounded size.

    :raises result.RequestError: the body is too large
    """
    buffer = b""
    async for part in response.aiter_bytes():
        buffer += part
        if len(buffer) > MAX_LINE_BYTES:
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "answer too large")
    return buffer


async def lines(response: httpx.Response) -> collections.abc.AsyncIterator[bytes]:
    """Yield the lines of a stream, each of bounded size, including a last one without a line break."""
    buffer = b""
    async for part in response.aiter_bytes():
        buffer += part
        *complete_lines, buffer = buffer.split(b"\n")
        for line in complete_lines:
            yield line
        if len(buffer) > MAX_LINE_BYTES:
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "line too long")
    if buffer:
        yield buffer
