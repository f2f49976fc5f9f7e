"""HTTP for operators, the same on every node: plan resources, what is observed, health and status."""

import collections.abc
import contextlib
import json
import math

import litestar
import litestar.exceptions
import litestar.params
import litestar.response
import logbook
import prometheus_client
import prometheus_client.core

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import node
from aspencroft.runtime import clock, json_input, supervision
from aspencroft.tracing import trace

LOG = logbook.Logger("node.operator")
OBSERVED = ("keeps", "quiet", "alerts")
LONGEST_WATCH = clock.seconds(300)
STORY_ASK = clock.seconds(1)


def refusal_response(refusal: result.RequestError) -> litestar.Response:
    """A refusal as HTTP: number, whether anything ran, and when to come back."""
    headers = {}
    if refusal.retry is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry.total_seconds())))
    shown = refusal.document()
    if refusal.result is result.ResultCode.PLAN_INVALID:
        shown["faults"] = json.loads(refusal.detail)
        shown["detail"] = f"{len(shown['faults'])} faults; nothing was stored"
    return litestar.Response(
        {"error": shown}, status_code=refusal.result.status, headers=headers, media_type="application/json"
    )


def on_refusal(_: litestar.Request, refusal: Exception) -> litestar.Response:
    """What litestar does with a Refusal."""
    return refusal_response(refusal)


def on_http(_: litestar.Request, error: Exception) -> litestar.Response:
    """What litestar does with requests that it refuses itself: too large, no such path, wrong method."""
    known = {
        404: result.ResultCode.UNKNOWN_RESOURCE,
        405: result.ResultCode.READ_ONLY,
        413: result.ResultCode.TOO_LARGE,
    }
    refusal = result.RequestError(known.get(error.status_code, result.ResultCode.MALFORMED), detail=str(error.detail))
    if error.status_code >= 500:
        refusal = result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN, str(error.detail))
    return refusal_response(refusal)


def on_fault(_: litestar.Request, error: Exception) -> litestar.Response:
    """What litestar does with an error that nobody foresaw; whether anything ran is not known."""
    LOG.error("a request met an unforeseen error: {!r}", error)
    return refusal_response(result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN))


def json_body(raw: bytes):
    """The JSON of a body, or a Refusal.

    Example: ``json_body(b"{}") == {}``
    """
    try:
        return json_input.parsed(raw)
    except json_input.Unsound as error:
        raise result.RequestError(result.ResultCode.MALFORMED, detail=str(error)) from None


def condition_of(request: litestar.Request) -> control_state.Revision | None:
    """The revision that If-Match names, if any; If-None-Match: * means that there is none yet."""
    named = request.headers.get("if-match")
    if named is not None:
        return control_state.revision_of(named)
    return control_state.NEVER if request.headers.get("if-none-match") == "*" else None


def metrics_text(own: node.Node) -> bytes:
    """The node's samples in the Prometheus text form."""
    families: dict[str, prometheus_client.core.Metric] = {}
    for one in own.samples():
        name = one.name.removesuffix("_total")
        kind = "counter" if name != one.name else "gauge"
        family = families.setdefault(name, prometheus_client.core.Metric(name, f"see operators.md: {name}", kind))
        family.add_sample(one.name, {label.name: label.value for label in one.labels}, one.value)

    class Held:
        def collect(self):
            return list(families.values())

    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(Held())
    return prometheus_client.generate_latest(registry)


def handlers(own: node.Node) -> list:
    """The handlers that every node serves."""

    async def write(way: str, kind: str, name: str, request: litestar.Request) -> litestar.Response:
        raw = await request.body()
        body = "" if way == "delete" else json.dumps(json_body(raw))
        if way in ("whole", "merge") and not body.startswith("{"):
            raise result.RequestError(result.ResultCode.MALFORMED, detail="expected an object")
        written = await own.write_resources(control_state.WriteResources(way, kind, name, body, condition_of(request)))
        return litestar.Response(
            {
                "revision": written.revision.text(),
                "changed": written.changed,
                "waited": written.waited.total_seconds(),
            },
            status_code=200,
            headers={"ETag": f'"{written.revision.text()}"'},
        )

    def resource(kind: str, name: str) -> dict:
        spec = own.relay.document.get(kind, {}).get(name)
        if spec is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=f"{kind}/{name}")
        return {
            "kind": kind,
            "name": name,
            "spec": spec,
            "revision": own.relay.revisions.get(f"{kind}/{name}", control_state.NEVER.text()),
            "status": {"in_force": own.relay.current(), "plan_revision": own.relay.revision.text()},
        }

    async def watch_plan(after: control_state.Revision) -> collections.abc.AsyncIterator[bytes]:
        end, held, known = clock.now() + LONGEST_WATCH, {}, after
        if after in (control_state.NEVER, own.relay.revision):
            held = {} if after == control_state.NEVER else own.relay.document
        else:
            raise result.RequestError(result.ResultCode.WATCH_GONE, detail=after.text())
        while clock.now() < end and not own.stopping.is_set():
            if known < own.relay.revision:
                changes = [
                    {"kind": kind, "name": name, "spec": json.loads(spec) if spec else None}
                    for kind, name, spec in resources.differences(held, own.relay.document)
                ]
                held, known = own.relay.document, own.relay.revision
                yield json.dumps({"revision": known.text(), "changes": changes}).encode() + b"\n"
            await wait_change(updates.PLAN)

    async def watch_topic(topic: str) -> collections.abc.AsyncIterator[bytes]:
        end, known = clock.now() + LONGEST_WATCH, control_state.NEVER
        while clock.now() < end and not own.stopping.is_set():
            held = own.relay.topics.get(topic)
            if held is not None and known < held.revision:
                known = held.revision
                yield json.dumps({"revision": known.text(), topic: json.loads(held.body)}).encode() + b"\n"
            await wait_change(topic)

    async def wait_change(topic: str) -> None:
        try:
            async with clock.limit(clock.seconds(1)):
                await own.relay.changed(topic)
        except TimeoutError:
            pass

    @litestar.get("/health", sync_to_thread=False)
    def health() -> dict:
        return {"alive": True, "address": own.address}

    @litestar.get("/ready", sync_to_thread=False)
    def ready() -> litestar.Response:
        good = own.relay.current() and not own.stopping.is_set()
        return litestar.Response(
            {"ready": good, "plan": own.relay.revision.text(), "leaving": own.stopping.is_set()},
            status_code=200 if good else 503,
        )

    @litestar.get("/status", sync_to_thread=False)
    def status() -> dict:
        return own.status()

    @litestar.get("/metrics", sync_to_thread=False)
    def metrics() -> litestar.Response:
        return litestar.Response(metrics_text(own), media_type=prometheus_client.CONTENT_TYPE_LATEST)

    @litestar.get("/plan")
    async def read_plan(
        watch: litestar.params.FromQuery[bool] = False, after: litestar.params.FromQuery[str] = "0.0"
    ) -> litestar.Response:
        if watch:
            from_revision = control_state.revision_of(after)
            if from_revision not in (control_state.NEVER, own.relay.revision):
                raise result.RequestError(
                    result.ResultCode.WATCH_GONE, detail=f"here it is {own.relay.revision.text()}"
                )
            return litestar.response.Stream(watch_plan(from_revision), media_type="application/x-ndjson")
        return litestar.Response(
            {
                "plan": own.relay.document,
                "revision": own.relay.revision.text(),
                "revisions": own.relay.revisions,
                "current": own.relay.current(),
            },
            headers={"ETag": f'"{own.relay.revision.text()}"'},
        )

    @litestar.put("/plan")
    async def put_plan(request: litestar.Request) -> litestar.Response:
        return await write("whole", "", "", request)

    @litestar.patch("/plan")
    async def patch_plan(request: litestar.Request) -> litestar.Response:
        return await write("merge", "", "", request)

    @litestar.get("/plan/{kind:str}/{name:str}", sync_to_thread=False)
    def read_resource(kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str]) -> dict:
        return resource(kind, name)

    @litestar.put("/plan/{kind:str}/{name:str}")
    async def put_resource(
        kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str], request: litestar.Request
    ) -> litestar.Response:
        return await write("put", kind, name, request)

    @litestar.delete("/plan/{kind:str}/{name:str}", status_code=200)
    async def delete_resource(
        kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str], request: litestar.Request
    ) -> litestar.Response:
        return await write("delete", kind, name, request)

    @litestar.get("/observed/{topic:str}", sync_to_thread=False)
    def read_topic(
        topic: litestar.params.FromPath[str], watch: litestar.params.FromQuery[bool] = False
    ) -> litestar.Response:
        if topic not in OBSERVED:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=topic)
        if watch:
            return litestar.response.Stream(watch_topic(topic), media_type="application/x-ndjson")
        held = own.relay.topics.get(topic)
        shown = json.loads(held.body) if held is not None else {}
        return litestar.Response({"revision": (held.revision if held else control_state.NEVER).text(), topic: shown})

    @litestar.get("/requests/{identity:str}")
    async def read_story(identity: litestar.params.FromPath[str]) -> dict:
        found = []

        async def ask(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                found.extend((await own.link.request(address, trace.TraceRequest(identity), STORY_ASK)).traces)

        async with supervision.Group() as group:
            for one in own.failure_detector.peers.values():
                if one.state != cluster_member.DOWN and one.role == "edge":
                    group.create_task(ask(one.address))
        if not found:
            raise result.RequestError(result.ResultCode.UNKNOWN_REQUEST, result.Ran.UNKNOWN, identity)
        return {"request": identity, "stories": [trace.document(one) for one in trace.joined(found)]}

    return [
        health,
        ready,
        status,
        metrics,
        read_plan,
        put_plan,
        patch_plan,
        read_resource,
        put_resource,
        delete_resource,
        read_topic,
        read_story,
    ]


def application(own: node.Node, more: list) -> litestar.Litestar:
    """The whole HTTP face of a node."""
    return litestar.Litestar(
        [*handlers(own), *more],
        openapi_config=None,
        logging_config=None,
        request_max_body_size=resources.LARGEST,
        exception_handlers={
            result.RequestError: on_refusal,
            litestar.exceptions.HTTPException: on_http,
            Exception: on_fault,
        },
    )
