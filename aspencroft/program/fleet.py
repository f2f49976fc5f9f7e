"""A tool: starts a local fleet of real processes with stand-ins, drives traffic, reports what came back."""

import asyncio
import collections
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time

import defopt
import httpx
import uvicorn

import aspencroft.program.daemon as daemon
import aspencroft.seam.moment as moment
import aspencroft.stand.caller as caller
import aspencroft.stand.shape as shape
import aspencroft.stand.world as world

HOST = "127.0.0.1"
AREAS = ("north", "middle", "south")
ROLES = ("edge",) * 8 + ("storage",) * 3 + ("core",) * 5
LINK, HTTP, PLATFORM, BACK = 7100, 7300, 7500, 7510
READY = moment.seconds(60)


class Local:
    """Sixteen processes on this machine, in three areas.

    Example: ``fleet = Local(pathlib.Path("run"), 0)``
    """

    def __init__(self, folder: pathlib.Path, offset: int):
        self.folder = folder
        self.offset = offset
        self.processes: dict[int, subprocess.Popen] = {}

    def link(self, number: int) -> str:
        """A node's link address.

        Example: ``fleet.link(0)``
        """
        return f"{HOST}:{LINK + self.offset + number}"

    def http(self, number: int) -> str:
        """A node's HTTP address.

        Example: ``fleet.http(0)``
        """
        return f"{HOST}:{HTTP + self.offset + number}"

    def numbers(self, role: str) -> list[int]:
        """The nodes of a role.

        Example: ``fleet.numbers("edge") == list(range(8))``
        """
        return [number for number, one in enumerate(ROLES) if one == role]

    def write_settings(self) -> None:
        """One settings file a node; storage nodes and two cores have a disk, three cores are seeds.

        Example: ``fleet.write_settings()``
        """
        seeds = [self.link(number) for number in self.numbers("core")[:3]]
        for number, role in enumerate(ROLES):
            folder = self.folder / f"node-{number}"
            folder.mkdir(parents=True, exist_ok=True)
            disk = role == "storage" or number in self.numbers("core")[3:]
            lines = [f'address = "{self.link(number)}"', f'http = "{self.http(number)}"',
                     f'area = "{AREAS[number % 3]}"', f'role = "{role}"', f"seeds = {json.dumps(seeds)}",
                     f'workers = "http://{HOST}:{PLATFORM + self.offset}/api/workers"',
                     f'log = "{folder / "ring.log"}"']
            if disk:
                lines.append(f'data = "{folder / "data"}"')
            (folder / "node.toml").write_text("\n".join(lines) + "\n")

    def start(self, number: int) -> None:
        """Start one node's process.

        Example: ``fleet.start(0)``
        """
        program = "dplane" if ROLES[number] == "edge" else "cplane"
        folder = self.folder / f"node-{number}"
        with open(folder / "output.txt", "ab") as output:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-c", f"import aspencroft.program.{program} as program; program.main()",
                 str(folder / "node.toml")], stdout=output, stderr=output)

    def signal(self, number: int, what: int) -> None:
        """Send a node's process a signal.

        Example: ``fleet.signal(8, signal.SIGKILL)``
        """
        os.kill(self.processes[number].pid, what)

    def stop(self) -> dict[int, int]:
        """Stop all processes gracefully; exit codes by node.

        Example: ``fleet.stop()``
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = {}
        for number, process in self.processes.items():
            try:
                codes[number] = process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[number] = process.wait()
        return codes


async def serve(application, port: int) -> tuple[uvicorn.Server, asyncio.Task]:
    """Serve a stand-in's pages on a port.

    Example: ``server, task = await serve(world.platform(), 7500)``
    """
    server = daemon.Server(uvicorn.Config(application, host=HOST, port=port, log_config=None, access_log=False,
                                          lifespan="off"))
    task = asyncio.ensure_future(server.serve())
    while not server.started:
        await moment.pause(moment.seconds(0.02))
    return server, task


async def until_ready(client: httpx.AsyncClient, fleet: Local, plan_needed: bool) -> float:
    """Wait until every running node answers, and holds a current plan if one is needed; seconds waited.

    Example: ``await until_ready(client, fleet, plan_needed=False)``
    """
    started = time.monotonic()
    waiting = [number for number, process in fleet.processes.items() if process.poll() is None]
    while waiting and time.monotonic() - started < READY.total_seconds():
        for number in list(waiting):
            try:
                shown = (await client.get(f"http://{fleet.http(number)}/status")).json()
                pairs = shown["holders"]
                if pairs and (not plan_needed or shown["plan"]["current"]):
                    waiting.remove(number)
            except (httpx.HTTPError, ValueError):
                pass
        await moment.pause(moment.seconds(0.1))
    if waiting:
        raise RuntimeError(f"nodes that are not ready: {waiting}")
    return time.monotonic() - started


async def primary_of(client: httpx.AsyncClient, fleet: Local, pair: int) -> int:
    """The number of the node that leads a pair.

    Example: ``await primary_of(client, fleet, 0)``
    """
    for number, process in fleet.processes.items():
        if process.poll() is None:
            try:
                shown = (await client.get(f"http://{fleet.http(number)}/status")).json()
                if shown["pairs"].get(str(pair), {}).get("claimed"):
                    return number
            except (httpx.HTTPError, ValueError):
                pass
    return -1


async def drive(fleet: Local, mix: shape.Shape, around: world.World, seconds: float, rate: float, kill: bool,
                chance: random.Random) -> dict:
    """Write the plan, drive the mix, kill the control primary in the middle if asked; what was seen.

    Example: ``await drive(fleet, mix, around, 20, 20, True, random.Random(1))``
    """
    report: dict = {"shape": mix.name, "seconds": seconds, "rate": rate}
    transport = httpx.AsyncHTTPTransport(limits=httpx.Limits(max_connections=None, max_keepalive_connections=64))
    async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
        report["seconds until nodes know the pairs"] = round(await until_ready(client, fleet, False), 2)
        written = await client.put(f"http://{fleet.http(3)}/plan", json=mix.document)
        report["plan"] = written.json()
        report["seconds until all hold the plan"] = round(await until_ready(client, fleet, True), 2)
        addresses = tuple(fleet.http(number) for number in fleet.numbers("edge"))
        asking = caller.Caller(mix, addresses, transport, chance)
        await moment.pause(moment.seconds(1.5))
        end, number = time.monotonic() + seconds, 0
        killed = not kill
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                number += 1
                group.create_task(asking.one(f"{mix.name}-{number}"))
                await moment.pause(moment.seconds(chance.expovariate(rate)))
                if not killed and time.monotonic() > end - seconds / 2:
                    killed = True
                    victim = await primary_of(client, fleet, 0)
                    fleet.signal(victim, signal.SIGKILL)
                    report["killed"] = victim
        report["answers"] = dict(sorted(asking.counts.items()))
        report["faults seen by callers"] = asking.faults
        report["programs and signals"] = number
        ran = around.ran()
        report["runs"] = sum(ran.values())
        report["requests run twice"] = [request for request, count in ran.items() if count > 1]
        refused = {one.request for one in asking.noted if one.ran == "not run" and one.request}
        report["refused as not run, yet run"] = sorted(refused & set(ran))
        keys = collections.Counter(body["input"]["name"] for one in around.plains for body in one.seen)
        keyed = {one.operation for one in asking.noted if one.operation}
        report["keys run twice"] = [key for key, count in keys.items() if count > 1 and key in keyed]
        survivor = next(one for one, process in fleet.processes.items() if process.poll() is None)
        shown = (await client.get(f"http://{fleet.http(survivor)}/status")).json()
        report["plan at the end"] = shown["plan"]["revision"]
        keeps = (await client.get(f"http://{fleet.http(survivor)}/observed/keeps")).json()
        report["keep plans"] = {name: kept["target"][:4] for name, kept in keeps["keeps"].get("workers", {}).items()}
        quiet = (await client.get(f"http://{fleet.http(survivor)}/observed/quiet")).json()
        report["quiet list"] = quiet["quiet"].get("workers")
        report["workers' counts"] = dict(sum((one.counts for one in around.models), collections.Counter()))
    return report


async def whole(fleet: Local, mix: shape.Shape, seconds: float, rate: float, kill: bool, seed: int) -> dict:
    """Start stand-ins and processes, drive, stop.

    Example: ``await whole(fleet, mix, 20, 20, False, 1)``
    """
    chance = random.Random(seed)
    around = world.World(mix, chance)
    servers = []
    for place, one in enumerate(around.workers()):
        port = BACK + fleet.offset + place
        around.addresses[one.name] = f"{HOST}:{port}"
        servers.append(await serve(around.application(one), port))
    servers.append(await serve(around.platform(), PLATFORM + fleet.offset))
    fleet.write_settings()
    for number in range(len(ROLES)):
        fleet.start(number)
    try:
        if seconds <= 0:
            print(f"operators and callers: http://{fleet.http(0)}; interrupt to stop", flush=True)
            async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
                await until_ready(client, fleet, False)
                await client.put(f"http://{fleet.http(0)}/plan", json=mix.document)
            while True:
                await moment.pause(moment.seconds(3600))
        return await drive(fleet, mix, around, seconds, rate, kill, chance)
    finally:
        codes = await asyncio.to_thread(fleet.stop)
        print(json.dumps({"exit codes": codes}), flush=True)
        for server, task in servers:
            server.should_exit = True
            await task


def fleet(*, deployment: str = "archive", seconds: float = 20, rate: float = 10, kill_primary: bool = False,
          folder: str = "run", offset: int = 0, seed: int = 1, keep: bool = False) -> None:
    """Start 16 local processes and stand-ins, drive a deployment's mix, print what was seen as JSON.

    :param deployment: archive or tills
    :param seconds: how long to drive traffic; 0 starts the fleet and waits until interrupted
    :param rate: programs and signals started each second
    :param kill_primary: kill the control pair's primary half way
    :param folder: where settings, data and logs go
    :param offset: added to all ports
    :param seed: seed of the traffic
    :param keep: keep the data of an earlier run instead of starting empty
    """
    logging.disable(logging.INFO)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if deployment not in (shape.ARCHIVE, shape.TILLS):
        sys.exit("deployment: archive or tills")
    place = pathlib.Path(folder)
    if not keep and place.exists():
        shutil.rmtree(place)
    try:
        report = asyncio.run(whole(Local(place, offset), shape.shape_of(deployment), seconds, rate,
                                   kill_primary, seed))
        print(json.dumps(report, indent=1))
    except KeyboardInterrupt:
        pass


def main() -> None:
    """The command's entry.

    Example: ``fleet --deployment tills --seconds 30 --kill-primary``
    """
    defopt.run(fleet)
