"""Users send requests with bodies as large as the limits allow; then 2.1 times as many users come at once for 4 s, three times.

The platform is played as DEPLOY.md says: a process over its `memory-mb` is killed and started again after a short delay.
"""

import asyncio
import collections
import os
import re
import time

import fleet

USERS, TIMES, BURST_S = 14, 2.1, 4.0  # users of an edge; how many times as many in a burst, and for how long
BODY = os.urandom(fleet.LIMITS["max-body-bytes"])
WORK_S = 0.4  # the longest work of the kind `thumb-fetch` in the site file


def resident(machine):
    """Resident bytes of a machine's process."""
    try:
        with open(f"/proc/{machine.process.pid}/status") as status:
            found = re.search(r"VmRSS:\s+(\d+)", status.read())
    except OSError:
        return 0
    return int(found[1]) * 1024 if found else 0


async def case(machines, record):
    async def work(method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        record(f"worker runs {attempt}, {len(body)} bytes")
        running.add(attempt)
        await asyncio.sleep(WORK_S)
        running.discard(attempt)
        fleet.reply(writer, 200, b"done " + attempt.encode(), [("Attempt-Id", attempt), ("Server-Seal", f"seal-{attempt}")])

    running, ends, most, answers = set(), collections.Counter(), collections.Counter(), collections.Counter()
    for number in range(6):
        worker = fleet.Server(machines.host(), work)
        await worker.start()
        machines.listed.append(fleet.row(f"i-{number}", "gateway", worker.address, fleet.ZONES[number % 3]))
    configuration = {
        "config-revision": 1, "limits": fleet.LIMITS, "service-list": [fleet.service("gateway")],
        "route-list": [fleet.route("fetch", "/fetch/", "non_idempotent", "gateway", **{"target-latency-ms": 283})],
    }
    await machines.start()
    if not await machines.configure(configuration, 0) or not await machines.wait_ready():
        return 2
    record("ready")
    await asyncio.sleep(3)
    over = asyncio.Event()

    async def platform():
        while not over.is_set():
            for one in machines.machines:
                used = resident(one)
                most[one.name] = max(most[one.name], used)
                if used > fleet.MEMORY[one.kind] * 1048576:  # MiB, the more lenient reading
                    ends[one.name] += 1
                    record(f"platform: {one.name} holds {used} bytes of memory-mb {fleet.MEMORY[one.kind]}: killed; workers run {len(running)}")
                    one.kill()
                    asyncio.get_running_loop().call_later(0.5, one.start)
            await asyncio.sleep(0.03)

    async def user(edge, until):
        while time.monotonic() < until:
            attempt, began = fleet.attempt_id(), time.monotonic()
            record(f"user sends {attempt} to {edge.name}")
            got = await fleet.client_try(edge, "POST", "/fetch/x", 2.0, BODY, attempt=attempt)
            ending = "no answer" if not got.status else f"{got.status}{'' if got.whole else ', cut'}"
            answers[ending] += 1
            record(f"user gets {attempt} from {edge.name}: {ending}")
            await asyncio.sleep(max(0.1, 1.0 - (time.monotonic() - began)))

    watching = asyncio.ensure_future(platform())
    began = time.monotonic()
    users = [asyncio.ensure_future(user(edge, began + 48)) for edge in machines.of("edge") for _ in range(USERS)]
    for number in range(3):
        await asyncio.sleep(7)
        if fleet.trouble():
            record(f"burst {number + 1}")
            until = time.monotonic() + BURST_S
            users += [asyncio.ensure_future(user(edge, until)) for edge in machines.of("edge") for _ in range(round(USERS * (TIMES - 1)))]
        await asyncio.sleep(8)
    await asyncio.gather(*users)
    over.set()
    await watching
    record("most resident bytes: " + ", ".join(f"{name} {used}" for name, used in most.items()))
    record(f"answers: {dict(answers)}; ends by memory: {dict(ends)}; machines in use: {len(machines.machines)}")
    return int(sum(count >= 3 for count in ends.values()) >= max(2, len(machines.machines) / 10))


fleet.main(case)
