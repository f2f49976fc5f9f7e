"""The program of a control-plane node: hosts replicas, votes as a witness, relays, runs for singleton roles."""

import collections.abc

import defopt

from aspencroft.alerts import alerts
from aspencroft.cli import daemon
from aspencroft.node import node
from aspencroft.power import machine_power
from aspencroft.residency import residency
from aspencroft.runtime import clock
from aspencroft.workers import adapter


def build(own: node.Node) -> tuple:
    """HTTP handlers, background tasks and the drain of a control-plane node."""

    async def nothing_to_drain() -> None:
        await clock.sleep(clock.ZERO)

    worker_adapter = adapter.Adapter(own.environment, own.outside)
    return (
        [],
        [
            residency.Residency(own, worker_adapter).run,
            machine_power.MachinePower(own, worker_adapter).run,
            alerts.Alerts(own).run,
        ],
        nothing_to_drain,
    )


def control(
    settings: str = "",
    *,
    address: str = "",
    http: str = "",
    area: str = "",
    seeds: collections.abc.Sequence[str] = (),
    role: str = "",
    data: str = "",
    workers: str = "",
    log: str = "",
) -> None:
    """Run a control-plane node.

    :param settings: settings file (TOML); flags overrule it
    :param address: this node's link address, host:port
    :param http: this node's HTTP address, host:port
    :param area: this node's area
    :param seeds: link addresses of three other processes
    :param role: core or storage
    :param data: data folder, if the machine has a disk
    :param workers: URL of the platform's list of workers
    :param log: file for log lines, written from the first warning on
    """
    flags = {
        "address": address,
        "http": http,
        "area": area,
        "seeds": list(seeds),
        "role": role,
        "data": data,
        "workers": workers,
        "log": log,
    }
    daemon.start(settings, flags, build)


def main() -> None:
    """The command's entry."""
    defopt.run(control)
