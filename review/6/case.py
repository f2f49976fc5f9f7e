"""Small programs of several turns run beside one program that has ten turns with inputs of a megabyte.

Without the disruption that program sends inputs as small as the others. Nothing is killed, cut or slowed.
"""

import asyncio
import collections
import time

import fleet

SMALL, PROGRAMS, TURNS, NEW_A_SECOND, AIM_S = b"a short question " * 20, 36, 11, 12, 10.0
LARGE, HELPERS = b"p" * 1_000_000, 9


async def case(machines, record):
    async def work(method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        reached.add(attempt)
        record(f"worker runs {attempt} of {headers.get('program-id')} after {headers.get('previous-turn', 'none')}: {len(body)} bytes with the chain")
        active[0] += 1
        most_active[0] = max(most_active[0], active[0])
        await asyncio.sleep(0.1)
        event = f"id: 1\ndata: output of {attempt}\n\n".encode()
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}", f"Server-Seal: seal-{attempt}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
        active[0] -= 1

    reached, active, most_active = set(), [0], [0]
    for number in range(6):
        worker = fleet.Server(machines.host(), work)
        await worker.start()
        machines.listed.append(fleet.row(f"i-{number}", "agents", worker.address, fleet.ZONES[number % 3]))
    await machines.start()
    configuration = {
        "config-revision": 1, "limits": fleet.LIMITS,
        "service-list": [fleet.service("agents", engine={"capacity-slots": 16, "event-stride": 20})],
        "route-list": [fleet.route("chat", "/chat/", "streaming", "agents", retained=True, **{"retention-s": 60.0})],
    }
    if not await machines.configure(configuration, 0) or not await machines.wait_ready():
        return 2
    record("ready")
    await asyncio.sleep(4)
    edges, broken, first, ended = machines.of("edge"), [], [], collections.Counter()

    async def turn(program, number, previous, body, tries=6):
        """Send a turn as PROTOCOL.md says, two tries each time, three times at most; its id once it was answered whole."""
        statuses, ids, began = [], [], time.monotonic()
        for sent in range(tries):
            attempt = fleet.attempt_id()
            ids.append(attempt)
            more = {"Previous_Turn": previous} if previous else {}
            got = await fleet.client_try(
                edges[sent % 3], "POST", "/chat/x", 3.0, body, attempt=attempt, Program_Id=program, Session_Id=f"line of {program}",
                Program_Deadline="20000", Token_Count="100,20", **more,
            )
            statuses.append(got.status)
            record(f"client sent {attempt}, program {program}, turn {number}, after {previous or 'none'}, {len(body)} bytes, to {edges[sent % 3].name}: {got.status}{'' if got.whole else ', cut'}")
            if got.status == 200 and got.whole:
                return attempt, statuses
            if got.status not in (429, 503):
                break
            wait = min(float(got.headers.get("retry-after", 0)), 1.0) if sent % 2 == 0 else 0.3
            await asyncio.sleep(wait)
        if previous and len(statuses) >= 5 and not reached.intersection(ids) and time.monotonic() - began < AIM_S:
            broken.append((program, number))
            record(f"program {program}, turn {number}, goes on from {previous}: no worker reached in {len(statuses)} tries of {time.monotonic() - began:.1f} s: {statuses}")
        return "", statuses

    async def program(name, body, turns, pause):
        previous = ""
        for number in range(1, turns + 1):
            previous, statuses = await turn(name, number, previous, body)
            if not previous:
                ended["stuck"] += 1
                return
            await asyncio.sleep(pause)
        ended["whole"] += 1

    async def program_with_helpers(name, body):
        """One turn, then helpers one after the other, each with one turn that goes on from it."""
        parent, _ = await turn(name, 1, "", body)
        for number in range(HELPERS if parent else 0):
            await asyncio.sleep(0.2)
            reply, statuses = await turn(name, number + 2, parent, body)
            ended["helper served" if reply else f"helper not served {statuses}"] += 1

    async def first_turn(number):
        attempt = fleet.attempt_id()
        got = await fleet.client_try(edges[number % 3], "POST", "/chat/x", 3.0, SMALL, attempt=attempt, Program_Id=f"new-{number}", Token_Count="100,20")
        record(f"client sent {attempt}, program new-{number}, first turn, to {edges[number % 3].name}: {got.status}")
        first.append(attempt in reached)

    tasks = [asyncio.ensure_future(program(f"small-{number}", SMALL, TURNS, 1.0)) for number in range(PROGRAMS)]
    await asyncio.sleep(3)
    tasks.append(asyncio.ensure_future(program_with_helpers("provenance", LARGE if fleet.trouble() else SMALL)))
    await asyncio.sleep(5)
    for number in range(NEW_A_SECOND * 15):
        tasks.append(asyncio.ensure_future(first_turn(number)))
        await asyncio.sleep(1 / NEW_A_SECOND)
    await asyncio.gather(*tasks)
    share = sum(first) / len(first)
    record(f"programs: {dict(ended)}; first turns that reached a worker: {share:.3f}; most turns at work at once: {most_active[0]} of 96 places")
    record(f"turns that reached no worker in five tries or more: {len(broken)}")
    return int(bool(broken) and share >= 0.9 and most_active[0] < 48)


fleet.main(case)
