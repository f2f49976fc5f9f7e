"""The data plane's program: takes callers' requests and sends them on to workers."""

import defopt

from aspencroft.cli import daemon
from aspencroft.gateway import callers, path
from aspencroft.node import node
from aspencroft.workers import adapter


def build(own: node.Node) -> tuple:
    """Handlers, works and drain of a data-plane node."""
    back = adapter.Adapter(own.environment, own.outside)
    edge = path.Path(own, back)
    own.traces = edge.traces
    return callers.handlers(edge), [edge.run], edge.drain


def dplane(
    settings: str = "",
    *,
    address: str = "",
    http: str = "",
    area: str = "",
    seeds: list[str] = (),
    data: str = "",
    workers: str = "",
    log: str = "",
) -> None:
    """Serve callers on a data-plane node.

    :param settings: settings file (TOML); flags overrule it
    :param address: this node's link address, host:port
    :param http: this node's HTTP address, host:port
    :param area: this node's area
    :param seeds: link addresses of three other processes
    :param data: data folder, if the machine has a disk
    :param workers: URL of the platform's list of workers
    :param log: file that the log ring is written out to
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
    defopt.run(dplane)
