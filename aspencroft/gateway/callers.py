"""HTTP API for callers: one URL for requests of every lane; turns are streamed back as lines of JSON."""

import collections.abc
import json

import litestar
import litestar.response
import voluptuous

from aspencroft.configuration import lane
from aspencroft.errors import result
from aspencroft.gateway import call, path
from aspencroft.node import operator_api
from aspencroft.runtime import clock

ANSWER_GRACE = clock.seconds(0.3)
ID_TEXT = voluptuous.All(str, voluptuous.Length(min=1, max=200))
COUNT_VALUE = voluptuous.All(int, voluptuous.Range(min=0, max=1 << 40))
SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("lane"): lane.NAME,
        voluptuous.Required("input"): object,
        voluptuous.Optional("program", default=""): voluptuous.Any("", ID_TEXT),
        voluptuous.Optional("helper", default=""): voluptuous.Any("", ID_TEXT),
        voluptuous.Optional("after", default=0): COUNT_VALUE,
        voluptuous.Optional("operation", default=""): voluptuous.Any("", ID_TEXT),
        voluptuous.Optional("most", default=0): COUNT_VALUE,
        voluptuous.Optional("budget", default=0): COUNT_VALUE,
        voluptuous.Optional("tool", default=""): voluptuous.Any("", lane.NAME),
    }
)


def request_of(body, lanes: dict[str, lane.Lane], identity: str) -> call.Request:
    """Validate a request; its output and budget never exceed the limits of the lane."""
    try:
        fields = SCHEMA(body)
    except voluptuous.MultipleInvalid as error:
        detail = "; ".join(f"{'/'.join(str(part) for part in one.path)}: {one.msg}" for one in error.errors)
        raise result.RequestError(result.ResultCode.MALFORMED, detail=detail) from None
    known = lanes.get(fields["lane"])
    if known is None:
        raise result.RequestError(result.ResultCode.UNKNOWN_LANE, detail=fields["lane"])
    most = min(fields["most"] or known.turn_output, known.turn_output)
    budget = min(fields["budget"] or known.budget, known.budget)
    return call.Request(
        identity,
        fields["lane"],
        fields["program"],
        fields["helper"],
        fields["after"],
        fields["input"],
        fields["operation"],
        most,
        budget,
        fields["tool"],
    )


async def next_event(one: call.Call):
    """Return the call's next event; at the deadline the call is abandoned at once."""
    try:
        async with clock.limit(one.end + (ANSWER_GRACE if one.sent else clock.ZERO) - clock.now()):
            return await one.take()
    except TimeoutError:
        if one.sent and clock.now() < one.end + ANSWER_GRACE:
            return await next_event(one)
        one.abandoned = one.caller_gone = True
        return call.Ended(0, 0, 0, None, result.RequestError(result.ResultCode.DEADLINE, one.ran()))


def final_line(one: call.Call, end: call.Ended) -> bytes:
    """Return the last line of a stream: an end with the number of pieces, or an error."""
    if end.refusal is not None:
        content = {"error": end.refusal.document(), "request": one.request.identity}
    else:
        content = {
            "end": True,
            "request": one.request.identity,
            "turn": end.turn,
            "pieces": end.pieces,
            "used": end.used,
        }
    return json.dumps(content).encode() + b"\n"


async def lines(one: call.Call, first) -> collections.abc.AsyncIterator[bytes]:
    """Yield the lines of a streamed turn: numbered pieces, then the end."""
    event = first
    try:
        while not isinstance(event, call.Ended):
            yield (
                json.dumps(
                    {
                        "request": one.request.identity,
                        "piece": event.number,
                        "text": event.text,
                        "tokens": event.tokens,
                    }
                ).encode()
                + b"\n"
            )
            event = await next_event(one)
        yield final_line(one, event)
    finally:
        one.caller_gone = True


def handlers(edge: path.RequestPath) -> list:
    """Return the handlers that edges serve in addition to those for operators."""

    @litestar.post("/requests", status_code=200)
    async def take(request: litestar.Request) -> litestar.Response:
        identity = path.new_identity(edge.node.environment.randomness)
        headers = {"X-Request": identity}
        try:
            body = operator_api.json_body(await request.body())
            edge.check_open()
            one = edge.admit(request_of(body, edge.node.relay.configuration.lanes, identity))
        except result.RequestError as refusal:
            edge.traces.add(identity, "", clock.ZERO, "refused at the door", str(refusal))
            response = operator_api.refusal_response(refusal)
            response.headers.update(headers)
            return response
        event = await next_event(one)
        if isinstance(event, call.Ended) and event.refusal is not None:
            response = operator_api.refusal_response(event.refusal)
            response.headers.update(headers)
            return response
        if one.lane.kind == lane.TURNS:
            return litestar.response.Stream(lines(one, event), media_type="application/x-ndjson", headers=headers)
        return litestar.Response(
            {"request": one.request.identity, "done": True, "answer": event.answer}, headers=headers
        )

    @litestar.get("/path", sync_to_thread=False)
    def show_path() -> dict:
        return edge.shown()

    return [take, show_path]
