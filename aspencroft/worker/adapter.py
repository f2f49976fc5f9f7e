"""The only place that knows a back end's wire form: the list, calls, orders and reports."""

import collections.abc
import dataclasses
import datetime
import json

import httpx

import aspencroft.code.result as result
import aspencroft.seam.moment as moment
import aspencroft.seam.surroundings as surroundings
import aspencroft.worker.worker as worker

CONNECT = moment.seconds(1)
LIST = moment.seconds(1)
REPORT = moment.seconds(1)
LARGEST_LINE = 1 << 20
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)


@dataclasses.dataclass(frozen=True)
class Work:
    """What a worker is asked to do.

    Example: ``Work("id", "planner", "program", "", 3, past, "input", 512, deadline)``
    """

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
    """What a worker is to release, offload, load and restore, under the duty's epoch and an order number.

    Example: ``Order(3, 17, (), ("kv:p1",), ("model:coder",), ())``
    """

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
    """HTTP towards back ends and the platform.

    Example: ``Adapter(around).workers("http://127.0.0.1:9000/api/workers")``
    """

    def __init__(self, around: surroundings.Surroundings):
        timeout = httpx.Timeout(10, connect=CONNECT.total_seconds())
        self.client = httpx.AsyncClient(transport=around.transport(), timeout=timeout, trust_env=False)

    async def close(self) -> None:
        """Close all connections.

        Example: ``await adapter.close()``
        """
        await self.client.aclose()

    async def workers(self, url: str) -> tuple[worker.Worker, ...]:
        """The platform's list.

        Example: ``await adapter.workers(url)``
        """
        shown = await self.read(url, LIST)
        rows = shown.get("workers", []) if isinstance(shown, dict) else shown
        found = [worker.of(row) for row in rows if isinstance(rows, list)]
        return tuple(one for one in found if one is not None)

    async def read(self, url: str, within: datetime.timedelta):
        """A JSON document, or a Refusal.

        Example: ``await adapter.read("http://127.0.0.1:9001/api/report", REPORT)``
        """
        try:
            async with moment.limit(within):
                response = await self.client.get(url)
            response.raise_for_status()
            return response.json()
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            raise result.Refusal(result.Result.UNREACHABLE, detail=f"{url}: {error!r}") from None

    async def report(self, target: worker.Worker) -> Report:
        """What a worker says it holds; priced as a probe by whoever calls this.

        Example: ``(await adapter.report(target)).kept``
        """
        shown = await self.read(f"{target.url}/api/report", REPORT)
        try:
            rows = tuple(Kept(str(one["name"]), int(one["size"]), int(one.get("tokens", 0)),
                              str(one["place"]), int(one.get("busy", 0))) for one in shown["kept"])
            return Report(int(shown["memory"]), rows)
        except (KeyError, TypeError, ValueError) as error:
            raise result.Refusal(result.Result.WORKER_BROKE, detail=f"report: {error!r}") from None

    async def order(self, target: worker.Worker, order: Order) -> tuple[str, ...]:
        """Send an order; the names that the worker holds or is loading once it took the order.

        Example: ``await adapter.order(target, Order(1, 1, (), (), ("model:a",), ()))``
        """
        try:
            async with moment.limit(REPORT):
                response = await self.client.post(f"{target.url}/api/orders", json=dataclasses.asdict(order))
            if response.status_code == 409:
                raise result.Refusal(result.Result.LOWER_EPOCH, detail=response.text[:200])
            response.raise_for_status()
            return tuple(str(name) for name in response.json()["held"])
        except (httpx.HTTPError, TimeoutError, ValueError, KeyError, TypeError) as error:
            raise result.Refusal(result.Result.UNREACHABLE, result.Ran.UNKNOWN, f"order: {error!r}") from None

    async def rest(self, target: worker.Worker, asleep: bool) -> None:
        """Put a worker's machine to rest, or wake it.

        Example: ``await adapter.rest(target, True)``
        """
        try:
            async with moment.limit(REPORT):
                response = await self.client.post(f"{target.url}/api/rest", json={"asleep": asleep})
            response.raise_for_status()
        except (httpx.HTTPError, TimeoutError) as error:
            raise result.Refusal(result.Result.UNREACHABLE, result.Ran.UNKNOWN, f"rest: {error!r}") from None

    async def run(self, target: worker.Worker, work: Work) -> collections.abc.AsyncIterator[Piece | End]:
        """Send work once and hand on what comes back; a Refusal says whether it ran.

        Pieces must be numbered in a row and the end must tell their count; anything else is broken.

        Example: ``async for piece in adapter.run(target, work): ...``
        """
        if target.kind == worker.MODEL:
            path = "/api/generate"
            body = {"request": work.go, "model": work.service, "program": work.program, "helper": work.helper,
                    "turn": work.turn, "history": [list(one) for one in work.past], "input": work.input,
                    "max_output": work.most, "within": work.within.total_seconds()}
        else:
            path = "/api/run"
            body = {"request": work.go, "service": work.service, "input": work.input,
                    "within": work.within.total_seconds()}
        try:
            request = self.client.build_request("POST", target.url + path, json=body)
            response = await self.client.send(request, stream=True)
        except NOT_SENT as error:
            raise result.Refusal(result.Result.UNREACHABLE, result.Ran.NOT_RUN, repr(error)) from None
        except httpx.HTTPError as error:
            raise result.Refusal(result.Result.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        try:
            async for one in self.read_answer(response, target, work):
                yield one
        except httpx.HTTPError as error:
            raise result.Refusal(result.Result.WORKER_LOST, result.Ran.UNKNOWN, repr(error)) from None
        finally:
            await response.aclose()

    async def read_answer(self, response: httpx.Response, target: worker.Worker,
                          work: Work) -> collections.abc.AsyncIterator[Piece | End]:
        """Pieces and end of an answer, or a Refusal that says whether the work ran.

        Example: ``async for one in adapter.read_answer(response, target, work): ...``
        """
        if response.status_code != 200:
            shown = parsed((await response.aread())[:LARGEST_LINE])
            if shown.get("put_back") is True:
                raise result.Refusal(result.Result.PUT_BACK, result.Ran.NOT_RUN, target.name)
            raise result.Refusal(result.Result.WORKER_REFUSED, result.Ran.UNKNOWN,
                                 f"{target.name}: HTTP {response.status_code}")
        if target.kind == worker.PLAIN:
            shown = parsed(await response.aread())
            if shown.get("request") != work.go or shown.get("done") is not True:
                raise result.Refusal(result.Result.WORKER_BROKE, result.Ran.UNKNOWN, target.name)
            yield End(0, 0, shown.get("answer"))
            return
        count, used, ended = 0, 0, False
        async for line in response.aiter_lines():
            shown = parsed(line.encode())
            if shown.get("put_back") is True and count == 0 and not ended:
                raise result.Refusal(result.Result.PUT_BACK, result.Ran.NOT_RUN, target.name)
            if ended or shown.get("request") != work.go:
                raise result.Refusal(result.Result.WORKER_BROKE, result.Ran.UNKNOWN, "an answer of another request")
            if shown.get("end") is True:
                if shown.get("pieces") != count:
                    raise result.Refusal(result.Result.WORKER_BROKE, result.Ran.UNKNOWN, "pieces are missing")
                ended = True
                yield End(count, used, None)
                continue
            tokens = shown.get("tokens")
            if (shown.get("piece") != count or not isinstance(shown.get("text"), str)
                    or not isinstance(tokens, int) or tokens < 0):
                raise result.Refusal(result.Result.WORKER_BROKE, result.Ran.UNKNOWN, f"piece {count} is unclear")
            used += tokens
            if used > work.most:
                raise result.Refusal(result.Result.WORKER_BROKE, result.Ran.UNKNOWN, "more output than allowed")
            yield Piece(count, shown["text"], tokens)
            count += 1
        if not ended:
            raise result.Refusal(result.Result.WORKER_LOST, result.Ran.UNKNOWN, "the stream ended without its end")


def parsed(data: bytes) -> dict:
    """A JSON object, or an empty one when the bytes are none.

    Example: ``parsed(b"{") == {}``
    """
    try:
        shown = json.loads(data)
    except (ValueError, UnicodeDecodeError):
        return {}
    return shown if isinstance(shown, dict) else {}
