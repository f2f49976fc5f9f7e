"""What many routes cost: looking one up, taking a configuration, changing one route. Run as a module."""

import json
import random
import time
import tracemalloc
import types

import defopt

from aspencroft.configuration import control_state, operator_configuration, taken_orders
from aspencroft.distribution import relay
from aspencroft.runtime import clock

NOW = clock.seconds(1)
LOOKS = 20_000
CHANGES = 50


def item(number: int, hosts: int, mark: int = 0) -> operator_configuration.Item:
    """A route among many."""
    spec = {
        "host": f"h{number % hosts}.example",
        "prefix": f"/p{number}/x/",
        "targets": [{"service": f"s{number % 7}"}],
        "rank": mark,
        "kind": "stream",
        "timeout": 4.0,
        "aim": 0.2,
        "retained": True,
        "affinity": True,
    }
    text = json.dumps({**spec, "name": f"r{number}"})
    return operator_configuration.Item("routes", f"r{number}", text, "http_routes", f"r{number}", json.dumps(spec))


def whole(count: int, hosts: int) -> operator_configuration.ApplyConfiguration:
    """A first configuration of so many routes."""
    services = [
        operator_configuration.Item("services", f"s{number}", "{}", "services", f"s{number}", '{"kind": "plain"}')
        for number in range(7)
    ]
    return operator_configuration.ApplyConfiguration(
        1, 0, True, (*services, *(item(number, hosts) for number in range(count))), (), bytes(taken_orders.DIGEST_BYTES)
    )


def timed(work) -> tuple[float, object]:
    """Seconds that work takes, and what it gives."""
    began = time.perf_counter()
    value = work()
    return time.perf_counter() - began, value


def taken(view: control_state.ControlState, command) -> None:
    """Decide a command and fold its events."""
    for event in view.decide(command, NOW, 1)[0]:
        view.apply(event)


def run(count: int, hosts: int) -> dict:
    """The figures for so many routes over so many hosts."""
    chance = random.Random(count)
    view = control_state.ControlState()
    first = whole(count, hosts)
    span, _ = timed(lambda: taken(view, first))
    found = {"routes": count, "hosts": hosts, "whole taken ms": span * 1e3}
    node = types.SimpleNamespace(me=types.SimpleNamespace(address="a:1"))
    held = relay.Relay(None, node, clock.seconds(4))
    held.push = lambda: None
    tracemalloc.start()
    span, _ = timed(lambda: held.apply_committed(view.read_plan(control_state.NEVER)))
    found["node's memory MB"] = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    asked = [
        (f"h{number % hosts}.example:80", f"/p{number}/x/y/z" if chance.random() < 0.9 else f"/none/{number}")
        for number in (chance.randrange(count) for _ in range(LOOKS))
    ]
    table = held.configuration.route_table
    found["match us"] = timed(lambda: [table.match(*one) for one in asked])[0] / LOOKS * 1e6
    decided = read = learned = 0.0
    for number in range(CHANGES):
        one = item(chance.randrange(count), hosts, number + 1)
        command = operator_configuration.ApplyConfiguration(
            number + 2, number + 1, False, (one,), (), (number + 1).to_bytes(taken_orders.DIGEST_BYTES, "big")
        )
        decided += timed(lambda: taken(view, command))[0]
        span, shown = timed(lambda: view.read_plan(held.revision))
        read += span
        learned += timed(lambda: held.apply_committed(shown))[0]
        assert held.configuration.version == number + 2 and held.configuration.http_routes[one.name].rank == number + 1
    found.update(
        {
            "one route: decided ms": decided / CHANGES * 1e3,
            "read ms": read / CHANGES * 1e3,
            "learned ms": learned / CHANGES * 1e3,
        }
    )
    found["picture MB"] = len(view.snapshot()) / 1e6
    return found


def measure(*, counts: tuple[int, ...] = (100, 1000, 10_000, 100_000), hosts: int = 10) -> None:
    """Print a row of figures for each number of routes.

    :param counts: numbers of routes
    :param hosts: hosts that they are spread over
    """
    for count in counts:
        row = run(count, hosts)
        print(
            ", ".join(
                f"{name} {value:.4g}" if isinstance(value, float) else f"{name} {value}" for name, value in row.items()
            ),
            flush=True,
        )


if __name__ == "__main__":
    defopt.run(measure)
