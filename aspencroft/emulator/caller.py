"""Stand-ins for callers: programs with turns, tools and helpers; signals and fetches; all is noted down."""

import collections
import dataclasses
import json
import random

import httpx

from aspencroft.emulator import backend, shape
from aspencroft.runtime import clock


@dataclasses.dataclass(frozen=True)
class Noted:
    """What a caller saw of one request."""

    lane: str
    request: str
    program: str
    helper: str
    after: int
    operation: str
    ran: str
    result: int
    text: str
    used: int
    status: int
    address: str = ""
    began: float = 0.0
    ended: float = 0.0


class Caller:
    """Asks nodes for work as the platform's clients do, and notes each answer."""

    def __init__(
        self,
        mix: shape.Shape,
        addresses: tuple[str, ...],
        transport: httpx.AsyncBaseTransport,
        chance: random.Random,
    ):
        self.shape = mix
        self.addresses = addresses
        self.chance = chance
        self.client = httpx.AsyncClient(transport=transport, timeout=30, trust_env=False)
        self.noted: list[Noted] = []
        self.faults: list[str] = []
        self.firsts: list[float] = []
        self.counts: collections.Counter = collections.Counter()

    async def ask(
        self,
        lane: str,
        given,
        program: str = "",
        helper: str = "",
        after: int = 0,
        operation: str = "",
        tool: str = "",
        budget: int = 0,
    ) -> Noted:
        """One request to a node at random; never asked twice by itself."""
        body = {
            "lane": lane,
            "input": given,
            "program": program,
            "helper": helper,
            "after": after,
            "operation": operation,
            "tool": tool,
            "budget": budget,
        }
        address = self.chance.choice(self.addresses)
        self.counts["asked"] += 1
        began = clock.now()
        request, ran, number, parts, used, status = "", "unknown", -1, [], 0, 0
        try:
            async with self.client.stream("POST", f"http://{address}/requests", json=body) as response:
                request, status = response.headers.get("x-request", ""), response.status_code
                if response.headers.get("content-type", "").startswith("application/x-ndjson"):
                    over = False
                    async for line in response.aiter_lines():
                        shown = json.loads(line)
                        if over or shown["request"] != request or not request:
                            self.faults.append(f"{request}: {line!r} does not belong here")
                        if "piece" in shown:
                            if shown["piece"] != len(parts):
                                self.faults.append(f"{request}: piece {shown['piece']} after {len(parts)}")
                            if not parts:
                                self.firsts.append((clock.now() - began).total_seconds())
                            parts.append(shown["text"])
                            used += shown["tokens"]
                        elif shown.get("end"):
                            ran, number, over = "done", 0, True
                            if (shown["pieces"], shown["used"]) != (len(parts), used):
                                self.faults.append(f"{request}: {line!r} after {len(parts)} pieces of {used} tokens")
                        else:
                            ran, number, over = shown["error"]["ran"], shown["error"]["result"], True
                            self.check_refusal(request, shown["error"], None)
                    if not over:
                        self.counts["streams without an end"] += 1
                else:
                    shown = json.loads(await response.aread())
                    if status == 200:
                        ran, number = "done", 0
                        if shown["done"] is not True or shown["request"] != request or not request:
                            self.faults.append(f"{request}: {shown!r} is no answer to it")
                    else:
                        ran, number = shown["error"]["ran"], shown["error"]["result"]
                        self.check_refusal(request, shown["error"], response.headers)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            ran = "not run"
        except (httpx.HTTPError, ValueError):
            pass
        noted = Noted(
            lane,
            request,
            program,
            helper,
            after,
            operation,
            ran,
            number,
            "".join(parts),
            used,
            status,
            address,
            began.total_seconds(),
            clock.now().total_seconds(),
        )
        self.noted.append(noted)
        self.counts[f"{ran} {number}" if number > 0 else ran if number == 0 else f"{ran}, no answer"] += 1
        return noted

    def check_refusal(self, request: str, error: dict, headers) -> None:
        """What was given up names when to come back, in the body and, before a stream began, in the header."""
        given_up = (
            1100 <= error["result"] < 1300
            or 1400 <= error["result"] < 1500
            or error["result"] in (1008, 1009, 1010, 1901)
        )
        if error["ran"] not in ("not run", "unknown", "ran") or (given_up and not error["retry_after"]):
            self.faults.append(f"{request}: {error!r} does not say when to come back")
        if headers is not None and given_up and int(headers.get("retry-after", 0)) < (error["retry_after"] or 0):
            self.faults.append(f"{request}: Retry-After {headers.get('retry-after')!r} of {error!r}")

    async def one(self, name: str) -> None:
        """One program or signal by the mix."""
        kind = shape.draw_kind(self.shape, self.chance)
        if kind.turns:
            await self.program(name, kind)
        else:
            await self.signal(name, kind)

    async def signal(self, name: str, kind: shape.Kind) -> None:
        """A signal or fetch with a key; said again after a loss, as its callers do."""
        operation = name if self.chance.random() < 0.8 else ""
        for _ in range(3):
            noted = await self.ask(kind.lane, {"name": name, "keyed": bool(operation)}, operation=operation)
            if noted.ran == "done" or not operation:
                return
            await clock.sleep(clock.seconds(1 + self.chance.random()))

    async def program(self, name: str, kind: shape.Kind) -> None:
        """Turns that build on each other; a planner's tool call is followed by a helper's turn."""
        after, tries, said = 0, 0, []
        turns = 1 + min(int(self.chance.expovariate(1 / kind.turns)), 12)
        while len(said) < turns and tries < turns + 6:
            tries += 1
            tool = self.chance.choice(kind.tools) if self.chance.random() < 0.5 else ""
            given = f"{name} turn {after + 1}" + (f" calls {tool} now" if tool else "")
            noted = await self.ask(kind.lane, given, program=name, after=after)
            if noted.ran == "done":
                self.check(noted, said, given)
                said.append([given, noted.text])
                after += 1
                if tool:
                    await clock.sleep(clock.seconds(self.chance.random() * 0.3))
                    await self.ask(
                        kind.lane, f"{name} helps {after}", program=name, helper=f"{tool}-{after}", tool=tool
                    )
            elif noted.result in (1007, 1005) or (noted.result == 1006 and tries > 1):
                return
            else:
                await clock.sleep(clock.seconds(0.5 + self.chance.random()))
            await clock.sleep(clock.seconds(self.chance.random() * 0.3))

    async def vanish(self, name: str) -> None:
        """A first turn whose caller goes away after its first piece."""
        kind = next(one for one in self.shape.kinds if one.turns)
        body = {"lane": kind.lane, "input": f"long {name}", "program": name}
        self.counts["vanished"] += 1
        try:
            async with self.client.stream(
                "POST", f"http://{self.chance.choice(self.addresses)}/requests", json=body
            ) as response:
                async for _ in response.aiter_lines():
                    return
        except httpx.HTTPError:
            pass

    async def still_kept(self) -> list[str]:
        """Ask every program whose turns were answered for one more turn, and each kind once more; what is wrong."""
        said: dict[str, list[Noted]] = collections.defaultdict(list)
        unsure: set[str] = set()
        found = []
        for one in self.noted:
            if one.program and not one.helper:
                if one.ran == "done":
                    said[one.program].append(one)
                elif one.ran != "not run":
                    unsure.add(one.program)
        for program, turns in sorted(said.items()):
            if program in unsure:
                continue
            noted = await self.ask(turns[-1].lane, f"{program} last", program=program, after=turns[-1].after + 1)
            if noted.ran != "done" and noted.result != 1007:
                found.append(f"{program}: a turn after {len(turns)} was answered {noted.ran} {noted.result}")
        for kind in self.shape.kinds:
            noted = await self.ask(
                kind.lane,
                {"name": f"last-{kind.lane}", "keyed": False},
                program=f"last-{kind.lane}" if kind.turns else "",
            )
            if noted.ran != "done":
                found.append(f"{kind.lane} is not served at the end: {noted.ran} {noted.result}")
        return found

    def check(self, noted: Noted, said: list, given: str) -> None:
        """A turn must be built from its own earlier turns and the new input, and be whole."""
        mark = backend.answer_words({"model": "m", "history": said, "input": given, "turn": len(said) + 1})[1:3]
        if "".join(mark) not in noted.text:
            self.faults.append(f"{noted.request}: {noted.text!r} is not built from {said!r}")
