"""The program of an edge node: takes callers' requests and forwards them to workers."""

import collections.abc

import defopt

from aspencroft.cli import daemon
from aspencroft.gateway import callers, path
from aspencroft.node import node
from aspencroft.workers import adapter


def build(own: node.Node) -> tuple:
    """HTTP handlers, background tasks and the drain of an edge node."""
    worker_adapter = adapter.Adapter(own.environment, own.outside)
    request_path = path.RequestPath(own, worker_adapter)
    own.traces = request_path.traces
    return callers.handlers(request_path), [request_path.run], request_path.drain


def edge(
    settings: str = "",
    *,
    address: str = "",
    http: str = "",
    area: str = "",
    seeds: collections.abc.Sequence[str] = (),
    data: str = "",
    workers: str = "",
    log: str = "",
) -> None:
    """Run an edge node, which serves callers.

    :param settings: settings file (TOML); flags overrule it
    :param address: this node's link address, host:port
    :param http: this node's HTTP address, host:port
    :param area: this node's area
    :param seeds: link addresses of three other processes
    :param data: data folder, if the machine has a disk
    :param workers: URL of the platform's list of workers
    :param log: file for log lines, written from the first warning on
    """
    flags = {
        "address": address,
        "http": http,
        "area": area,
        "seeds": list(seeds),
        "data": data,
        "workers": workers,
        "log": log,
        "role": "edge",
    }
    daemon.start(settings, flags, build)


def main() -> None:
    """The command's entry."""
    defopt.run(edge)
