"""A page whose answers are made wrong: other pages, odd values, cuts, flipped bytes; by seed."""

import json
import random

ODD = (
    None,
    True,
    -1,
    0,
    3,
    1.5,
    1e308,
    10**30,
    "",
    "x" * 5000,
    "\ud800",
    "http://[::1",
    "http://a:99999999",
    [],
    [None],
    [[[]]],
    {},
    {"name": None},
)
RAW = (
    b"",
    b"null",
    b"3",
    b'"x"',
    b"[]",
    b"{",
    b"[" * 100_000,
    b"\xff\xfe\x00",
    b"NaN",
    b'{"workers": null}',
    b'{"workers": 3}',
    b'{"workers": {"a": 1}}',
    b'{"workers": [null, 3, [], "x"]}',
    b'{"memory": 1e999, "kept": []}',
    b'{"memory": NaN, "kept": [{}]}',
    b'{"held": 3}',
    b'{"held": null}',
    b'{"kept": null, "memory": null}',
    b'{"end": true}',
    b'{"put_back": true}\n{"put_back": true}\n',
    b"[" * 900 + b"]" * 900,
    b"1" * 5000,
    b"HTTP/1.1 200 OK\r\n\r\n",
    b" " * 70_000,
)


def mutated(value, chance: random.Random):
    """A JSON value with one place in it made odd."""
    if isinstance(value, dict) and value and chance.random() < 0.8:
        name = chance.choice(sorted(value))
        if chance.random() < 0.15:
            return {key: one for key, one in value.items() if key != name}
        return {**value, name: mutated(value[name], chance)}
    if isinstance(value, list) and value and chance.random() < 0.8:
        place = chance.randrange(len(value))
        return [*value[:place], mutated(value[place], chance), *value[place + 1 :]]
    return chance.choice(ODD)


def odd_bytes(sound: bytes, chance: random.Random) -> bytes:
    """A page's bytes made wrong: another page, a changed value, a cut, a flipped byte."""
    how = chance.randrange(4)
    if how == 0:
        return chance.choice(RAW)
    if how == 1 and sound:
        return sound[: chance.randrange(len(sound))]
    if how == 2 and sound:
        changed = bytearray(sound)
        changed[chance.randrange(len(changed))] ^= 1 << chance.randrange(8)
        return bytes(changed)
    try:
        lines = sound.decode().splitlines() or [""]
        place = chance.randrange(len(lines))
        lines[place] = json.dumps(mutated(json.loads(lines[place]), chance))
        return "\n".join(lines).encode()
    except ValueError:
        return chance.choice(RAW)


class Liar:
    """A page's application whose answers are made wrong for a share of requests."""

    def __init__(self, sound, chance: random.Random, share: float):
        self.sound = sound
        self.chance = chance
        self.share = share
        self.lies = 0

    async def __call__(self, scope, receive, send) -> None:
        """Answer as the sound application would, or wrongly."""
        if self.chance.random() >= self.share:
            await self.sound(scope, receive, send)
            return
        started, parts = [], []

        async def keep(message) -> None:
            if message["type"] == "http.response.start":
                started.append(message)
            else:
                parts.append(bytes(message.get("body", b"")))

        self.lies += 1
        await self.sound(scope, receive, keep)
        status = self.chance.choice([200, 200, 200, 200, 204, 301, 404, 409, 500, 503])
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"application/json")],
            }
        )
        await send({"type": "http.response.body", "body": odd_bytes(b"".join(parts), self.chance)})
