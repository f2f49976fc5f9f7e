"""What real processes cost: a local fleet of 16, idle and under calls, by the kernel's account of each process."""

import asyncio
import json
import logging
import os
import pathlib
import random
import statistics
import sys
import tempfile

import defopt

from aspencroft.cli import local_cluster_command

TICK = os.sysconf("SC_CLK_TCK")
OFFSET = 4000


def used(process: int) -> float:
    """Processor seconds that a process used so far.

    Example: ``used(os.getpid()) >= 0``
    """
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def measured(drive: local_cluster_command.ClusterRun, seconds: float) -> dict:
    """Processor share of each role's processes over so many seconds, and their memory."""
    place = drive.cluster
    before = {number: used(one.pid) for number, one in place.processes.items()}
    began = drive.loop.time()
    await asyncio.sleep(seconds)
    span = drive.loop.time() - began
    found: dict = {"seconds": round(span, 1)}
    for role in ("edge", "storage", "core"):
        numbers = place.numbers(role)
        shares = [100 * (used(place.processes[number].pid) - before[number]) / span for number in numbers]
        sizes = [one.memory / 1e6 for one in place.resource_use() if one.role == role]
        found[role] = {
            "processes": len(numbers),
            "processor, % of a core": [round(one, 2) for one in (min(shares), statistics.mean(shares), max(shares))],
            "memory, MB": round(statistics.mean(sizes), 1),
        }
    return found


def calls(
    *,
    rates: list[float] = (0, 5, 10, 20),
    seconds: float = 20,
    deployment: str = "archive",
    seed: int = 1,
    offset: int = OFFSET,
) -> None:
    """Start 16 real processes, measure them idle (rate 0) and at rates of programs and signals a second; prints JSON.

    :param rates: programs and signals started a second, one run after another on the same fleet
    :param seconds: how long each is measured
    :param deployment: archive or tills
    :param seed: of the traffic
    :param offset: added to all ports
    """
    if not all(0 <= one <= 200 for one in rates) or not 1 <= seconds <= 3600:
        sys.exit("rates: from 0 to 200; seconds: from 1 to 3600")
    logging.disable(logging.CRITICAL)

    async def whole() -> list[dict]:
        rows = []
        with tempfile.TemporaryDirectory(prefix="aspencroft-real-") as folder:
            drive = local_cluster_command.ClusterRun(
                local_cluster_command.prepare_cluster(folder, offset, False),
                local_cluster_command.workload_of(deployment),
                random.Random(seed),
            )
            try:
                await drive.begin()
                await asyncio.sleep(10)
                for rate in rates:
                    before = len(drive.load_generator.noted)
                    ran = sum(drive.world.ran().values())
                    drive.over = False
                    task = asyncio.ensure_future(drive.traffic(rate)) if rate else None
                    await asyncio.sleep(3)
                    row = {"rate": rate, **await measured(drive, seconds)}
                    drive.over = True
                    if task is not None:
                        await task
                    row["calls a second"] = round((len(drive.load_generator.noted) - before) / (seconds + 3), 2)
                    row["worker runs a second"] = round((sum(drive.world.ran().values()) - ran) / (seconds + 3), 2)
                    rows.append(row)
            finally:
                await drive.end()
        return rows

    print(
        json.dumps(
            {
                "measured": "real processes",
                "seed": seed,
                "load": os.getloadavg()[0],
                "rows": asyncio.run(whole()),
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    defopt.run(calls)
