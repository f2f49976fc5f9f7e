"""HTTP for operators, the same on every node: plan resources, what is observed, health and status."""

import collections.abc
import contextlib
import datetime
import json
import math
import typing

import litestar
import litestar.exceptions
import litestar.handlers
import litestar.params
import litestar.response
import logbook
import prometheus_client
import prometheus_client.core

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import node, settings
from aspencroft.runtime import clock, json_input, supervision
from aspencroft.tracing import trace

LOG = logbook.Logger("node.operator_api")
OBSERVED = ("keeps", "quiet", "alerts")
WATCH_LIMIT = clock.seconds(300)
"""A watch ends after this time and is to be begun anew, so that none is left by a caller who is gone."""
WATCH_CHECK_PERIOD = clock.seconds(1)
TRACE_REQUEST_TIMEOUT = clock.seconds(1)


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


def on_refusal(_: litestar.Request, refusal: result.RequestError) -> litestar.Response:
    """What litestar does with a refused request."""
    return refusal_response(refusal)


def on_http_error(_: litestar.Request, error: litestar.exceptions.HTTPException) -> litestar.Response:
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


def json_body(raw: bytes) -> typing.Any:
    """The JSON of a body.

    Raises:
        RequestError: MALFORMED where it is no JSON.

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


class MetricFamilies:
    """A node's samples as the Prometheus library collects them."""

    def __init__(self, families: collections.abc.Iterable[prometheus_client.core.Metric]):
        self.families = list(families)

    def collect(self) -> list[prometheus_client.core.Metric]:
        """All families."""
        return self.families


def metrics_text(served: node.Node) -> bytes:
    """The node's samples in the Prometheus text form."""
    families: dict[str, prometheus_client.core.Metric] = {}
    for found in served.samples():
        name = found.name.removesuffix("_total")
        kind = "counter" if name != found.name else "gauge"
        family = families.setdefault(name, prometheus_client.core.Metric(name, f"see operators.md: {name}", kind))
        family.add_sample(found.name, {label.name: label.value for label in found.labels}, found.value)
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(MetricFamilies(families.values()))
    return prometheus_client.generate_latest(registry)


class ConfigurationWatch:
    """Streams of lines, one for each change of the configuration or of a topic here."""

    def __init__(self, served: node.Node):
        self.node = served

    def is_over(self, end: datetime.timedelta) -> bool:
        """Whether a watch ends: its time is over, or the node stops."""
        return clock.now() >= end or self.node.stopping.is_set()

    async def configuration(self, after: control_state.Revision) -> collections.abc.AsyncIterator[bytes]:
        """The changes since a revision, which is the one here or none.

        Raises:
            RequestError: WATCH_GONE for any other revision; the caller has to read anew.

        """
        relay = self.node.relay
        end, known = clock.now() + WATCH_LIMIT, after
        if after not in (control_state.NEVER, relay.revision):
            raise result.RequestError(result.ResultCode.WATCH_GONE, detail=after.text())
        sent = {} if after == control_state.NEVER else relay.document
        while not self.is_over(end):
            if known < relay.revision:
                changes = [
                    {"kind": kind, "name": name, "spec": json.loads(spec) if spec else None}
                    for kind, name, spec in resources.differences(sent, relay.document)
                ]
                sent, known = relay.document, relay.revision
                yield json.dumps({"revision": known.text(), "changes": changes}).encode() + b"\n"
            await self.wait_for_change(updates.CONFIGURATION_TOPIC)

    async def topic(self, topic: str) -> collections.abc.AsyncIterator[bytes]:
        """The newest state of an observed topic, and each one after it."""
        end, known = clock.now() + WATCH_LIMIT, control_state.NEVER
        while not self.is_over(end):
            newest = self.node.relay.topics.get(topic)
            if newest is not None and known < newest.revision:
                known = newest.revision
                yield json.dumps({"revision": known.text(), topic: json.loads(newest.body)}).encode() + b"\n"
            await self.wait_for_change(topic)

    async def wait_for_change(self, topic: str) -> None:
        """Wait until a topic changed here, or for WATCH_CHECK_PERIOD."""
        try:
            async with clock.limit(WATCH_CHECK_PERIOD):
                await self.node.relay.wait_for_change(topic)
        except TimeoutError:
            pass


class OperatorApi:
    """The handlers that every node serves; ``routes`` has their paths."""

    def __init__(self, served: node.Node):
        self.node = served
        self.watch = ConfigurationWatch(served)

    def routes(self) -> list[litestar.handlers.HTTPRouteHandler]:
        """The handlers by method and path."""
        resource_path = "/plan/{kind:str}/{name:str}"
        return [
            litestar.get("/health", sync_to_thread=False)(self.health),
            litestar.get("/ready", sync_to_thread=False)(self.ready),
            litestar.get("/status", sync_to_thread=False)(self.status),
            litestar.get("/metrics", sync_to_thread=False)(self.metrics),
            litestar.get("/plan")(self.read_plan),
            litestar.put("/plan")(self.put_plan),
            litestar.patch("/plan")(self.patch_plan),
            litestar.get(resource_path, sync_to_thread=False)(self.read_resource),
            litestar.put(resource_path)(self.put_resource),
            litestar.delete(resource_path, status_code=200)(self.delete_resource),
            litestar.get("/observed/{topic:str}", sync_to_thread=False)(self.read_topic),
            litestar.get("/requests/{identity:str}")(self.read_traces),
            litestar.post("/log", sync_to_thread=False, status_code=200)(self.write_log),
        ]

    def health(self) -> dict:
        """Whether the process answers."""
        return {"alive": True, "address": self.node.address}

    def ready(self) -> litestar.Response:
        """Whether this node may admit requests: 503 while its configuration is not current or it stops."""
        is_stopping = self.node.stopping.is_set()
        is_ready = self.node.relay.current() and not is_stopping
        return litestar.Response(
            {"ready": is_ready, "plan": self.node.relay.revision.text(), "leaving": is_stopping},
            status_code=200 if is_ready else 503,
        )

    def status(self) -> dict:
        """The status document."""
        return self.node.status()

    def write_log(self) -> dict:
        """Write the lines that wait in memory to the log, and answer with them."""
        return {"lines": [] if self.node.log is None else self.node.log.write_kept()}

    def metrics(self) -> litestar.Response:
        """The samples for Prometheus."""
        return litestar.Response(metrics_text(self.node), media_type=prometheus_client.CONTENT_TYPE_LATEST)

    async def read_plan(
        self, watch: litestar.params.FromQuery[bool] = False, after: litestar.params.FromQuery[str] = "0.0"
    ) -> litestar.Response:
        """The configuration, or a stream of its changes.

        Raises:
            RequestError: WATCH_GONE where a watch is to begin after a revision that is not the one here.

        """
        relay = self.node.relay
        if watch:
            from_revision = control_state.revision_of(after)
            if from_revision not in (control_state.NEVER, relay.revision):
                raise result.RequestError(result.ResultCode.WATCH_GONE, detail=f"here it is {relay.revision.text()}")
            return litestar.response.Stream(self.watch.configuration(from_revision), media_type="application/x-ndjson")
        return litestar.Response(
            {
                "plan": relay.document,
                "revision": relay.revision.text(),
                "revisions": relay.revisions,
                "current": relay.current(),
            },
            headers={"ETag": f'"{relay.revision.text()}"'},
        )

    async def put_plan(self, request: litestar.Request) -> litestar.Response:
        """Replace the whole configuration."""
        return await self.write("whole", "", "", request)

    async def patch_plan(self, request: litestar.Request) -> litestar.Response:
        """Merge a part into the configuration."""
        return await self.write("merge", "", "", request)

    def read_resource(self, kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str]) -> dict:
        """One resource of the configuration.

        Raises:
            RequestError: UNKNOWN_RESOURCE where there is none.

        """
        relay = self.node.relay
        spec = relay.document.get(kind, {}).get(name)
        if spec is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=f"{kind}/{name}")
        return {
            "kind": kind,
            "name": name,
            "spec": spec,
            "revision": relay.revisions.get(f"{kind}/{name}", control_state.NEVER.text()),
            "status": {"in_force": relay.current(), "plan_revision": relay.revision.text()},
        }

    async def put_resource(
        self, kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str], request: litestar.Request
    ) -> litestar.Response:
        """Write one resource."""
        return await self.write("put", kind, name, request)

    async def delete_resource(
        self, kind: litestar.params.FromPath[str], name: litestar.params.FromPath[str], request: litestar.Request
    ) -> litestar.Response:
        """Delete one resource."""
        return await self.write("delete", kind, name, request)

    async def write(self, way: str, kind: str, name: str, request: litestar.Request) -> litestar.Response:
        """Have a write taken at the root; answered once it is in force.

        Raises:
            RequestError: MALFORMED for a body that is not as it must be; else the root's refusal.

        """
        raw = await request.body()
        body = "" if way == "delete" else json.dumps(json_body(raw))
        if way in ("whole", "merge") and not body.startswith("{"):
            raise result.RequestError(result.ResultCode.MALFORMED, detail="expected an object")
        written = await self.node.write_resources(
            control_state.WriteResources(way, kind, name, body, condition_of(request))
        )
        return litestar.Response(
            {
                "revision": written.revision.text(),
                "changed": written.changed,
                "waited": written.waited.total_seconds(),
            },
            status_code=200,
            headers={"ETag": f'"{written.revision.text()}"'},
        )

    def read_topic(
        self, topic: litestar.params.FromPath[str], watch: litestar.params.FromQuery[bool] = False
    ) -> litestar.Response:
        """What singleton roles observed, or a stream of it.

        Raises:
            RequestError: UNKNOWN_RESOURCE for a topic that is not shown.

        """
        if topic not in OBSERVED:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=topic)
        if watch:
            return litestar.response.Stream(self.watch.topic(topic), media_type="application/x-ndjson")
        newest = self.node.relay.topics.get(topic)
        revision = newest.revision if newest is not None else control_state.NEVER
        shown = json.loads(newest.body) if newest is not None else {}
        return litestar.Response({"revision": revision.text(), topic: shown})

    async def read_traces(self, identity: litestar.params.FromPath[str]) -> dict:
        """The traces of a request, from all edges that are not down.

        Raises:
            RequestError: UNKNOWN_REQUEST where no edge that answers in time has one.

        """
        traces: list[trace.Trace] = []

        async def request_traces(address: str) -> None:
            with contextlib.suppress(result.RequestError):
                reply = await self.node.link.request(address, trace.TraceRequest(identity), TRACE_REQUEST_TIMEOUT)
                traces.extend(reply.traces)

        async with supervision.Group() as group:
            for member in self.node.failure_detector.peers.values():
                if member.state != cluster_member.DOWN and member.role == settings.EDGE:
                    group.create_task(request_traces(member.address))
        if not traces:
            raise result.RequestError(result.ResultCode.UNKNOWN_REQUEST, result.Ran.UNKNOWN, identity)
        return {"request": identity, "stories": [trace.document(joined) for joined in trace.longest_by_node(traces)]}


def application(served: node.Node, more: list) -> litestar.Litestar:
    """The whole HTTP application of a node: what every node serves, and ``more`` handlers of its role."""
    return litestar.Litestar(
        [*OperatorApi(served).routes(), *more],
        openapi_config=None,
        logging_config=None,
        request_max_body_size=resources.MAX_PLAN_BYTES,
        exception_handlers={
            result.RequestError: on_refusal,
            litestar.exceptions.HTTPException: on_http_error,
            Exception: on_fault,
        },
    )
