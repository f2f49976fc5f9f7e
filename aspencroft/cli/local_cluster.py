"""Real processes on this machine, sixteen unless told otherwise: their folders, settings, signals and resource use."""

import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import httpx

HOST = "127.0.0.1"
AREAS = ("north", "middle", "south")
CORES_WITH_DISKS = 2
LINK_PORT, HTTP_PORT, PLATFORM_PORT, WORKER_PORT = 7100, 7300, 7500, 7520
STOP_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True)
class ClusterSize:
    """How many processes of each role a cluster starts with."""

    edges: int = 8
    storage: int = 3
    cores: int = 5

    def roles(self) -> dict[int, str]:
        """The role of each process by its number, edges first."""
        return dict(enumerate(("edge",) * self.edges + ("storage",) * self.storage + ("core",) * self.cores))


SMALLEST = ClusterSize(1, 2, 3)
"""One edge, as many disks as a group needs, as many cores as there are seeds."""


@dataclasses.dataclass(frozen=True)
class ResourceUse:
    """Resource use of a process at one moment; memory and disk in bytes."""

    number: int
    role: str
    memory: int
    files: int
    threads: int
    disk: int


class LocalCluster:
    """Processes by number; a machine that is swapped gets a new number and new addresses."""

    def __init__(self, folder: pathlib.Path, offset: int, size: ClusterSize = ClusterSize()):
        self.folder = folder
        self.offset = offset
        self.roles = size.roles()
        self.disks = {*self.numbers("storage"), *self.numbers("core")[-CORES_WITH_DISKS:]}
        self.areas = {number: AREAS[number % 3] for number in self.roles}
        self.seeds = [number for number, role in self.roles.items() if role == "core"][:3]
        self.processes: dict[int, subprocess.Popen] = {}

    def link(self, number: int) -> str:
        """A node's link address."""
        return f"{HOST}:{LINK_PORT + self.offset + number}"

    def http(self, number: int) -> str:
        """A node's HTTP address."""
        return f"{HOST}:{HTTP_PORT + self.offset + number}"

    def numbers(self, role: str) -> list[int]:
        """The nodes of a role."""
        return [number for number, one in self.roles.items() if one == role]

    def running(self) -> list[int]:
        """The nodes whose process runs."""
        return [number for number, process in self.processes.items() if process.poll() is None]

    def folder_of(self, number: int) -> pathlib.Path:
        """A node's folder."""
        return self.folder / f"node-{number}"

    def write_settings(self, number: int) -> None:
        """A node's settings file; storage nodes and two cores have a disk."""
        folder, role = self.folder_of(number), self.roles[number]
        folder.mkdir(parents=True, exist_ok=True)
        lines = [
            f'address = "{self.link(number)}"',
            f'http = "{self.http(number)}"',
            f'area = "{self.areas[number]}"',
            f'role = "{role}"',
            f"seeds = {json.dumps([self.link(one) for one in self.seeds])}",
            f'workers = "http://{HOST}:{PLATFORM_PORT + self.offset}/api/workers"',
            f'log = "{folder / "ring.log"}"',
        ]
        if number in self.disks:
            lines.append(f'data = "{folder / "data"}"')
        (folder / "node.toml").write_text("\n".join(lines) + "\n")

    def start(self, number: int) -> None:
        """Start one node's process."""
        self.write_settings(number)
        command = "edge" if self.roles[number] == "edge" else "control"
        with open(self.folder_of(number) / "output.txt", "ab") as output:
            self.processes[number] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "aspencroft",
                    command,
                    str(self.folder_of(number) / "node.toml"),
                ],
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int, what: int) -> None:
        """Send a node's process a signal."""
        if self.processes[number].poll() is None:
            os.kill(self.processes[number].pid, what)

    def kill(self, number: int) -> None:
        """Kill a node's process by SIGKILL."""
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait()

    def swap(self, number: int) -> int:
        """Replace a machine by an empty one at a new address; returns its number."""
        fresh = max(self.roles) + 1
        self.roles[fresh], self.areas[fresh] = self.roles.pop(number), self.areas[number]
        if self.roles[fresh] == "storage" or number in self.disks:
            self.disks.add(fresh)
        self.processes.pop(number, None)
        shutil.rmtree(self.folder_of(number) / "data", ignore_errors=True)
        return fresh

    def stop(self) -> dict[int, int]:
        """Stop all processes gracefully; exit codes by node, -9 for one that did not end."""
        for number in self.running():
            self.signal(number, signal.SIGCONT)
            self.signal(number, signal.SIGTERM)
        codes, end = {}, time.monotonic() + STOP_TIMEOUT_S
        for number, process in self.processes.items():
            try:
                codes[number] = process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                codes[number] = process.wait()
        return codes

    def resource_use(self) -> list[ResourceUse]:
        """Resource use of each running process."""
        found = []
        for number in self.running():
            home = pathlib.Path("/proc") / str(self.processes[number].pid)
            try:
                status = dict(line.split(":", 1) for line in (home / "status").read_text().splitlines() if ":" in line)
                data = self.folder_of(number) / "data"
                found.append(
                    ResourceUse(
                        number,
                        self.roles[number],
                        int(status["VmRSS"].split()[0]) * 1024,
                        len(list((home / "fd").iterdir())),
                        int(status["Threads"]),
                        sum(path.stat().st_size for path in data.rglob("*") if path.is_file()),
                    )
                )
            except (OSError, KeyError, ValueError):
                continue
        return found


async def fetch_statuses(client: httpx.AsyncClient, cluster: LocalCluster) -> dict[int, dict]:
    """The status page of each running node that answers."""
    found = {}
    for number in cluster.running():
        with contextlib.suppress(httpx.HTTPError, ValueError):
            found[number] = (await client.get(f"http://{cluster.http(number)}/status")).json()
    return found


def is_serving(cluster: LocalCluster, shown: dict[int, dict], plan_needed: bool) -> bool:
    """Whether every running node answers and reports each replication group with a backup and a primary that serves."""
    if len(shown) < len(cluster.running()) or not shown:
        return False
    if plan_needed and not all(one["plan"]["current"] for one in shown.values()):
        return False
    newest: dict[str, dict] = {}
    for one in shown.values():
        for group_id, held in one["holders"].items():
            if group_id not in newest or held["epoch"] > newest[group_id]["epoch"]:
                newest[group_id] = held
    serving = {
        group_id
        for one in shown.values()
        for group_id, own in one["pairs"].items()
        if own["claimed"] and own["why"] == "serving"
    }
    return bool(newest) and all(held["backups"] for held in newest.values()) and set(newest) <= serving
