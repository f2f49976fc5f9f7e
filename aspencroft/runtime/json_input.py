"""JSON from outside: callers, operators, back ends and the platform; only what can be kept and sent on."""

import json

DEEPEST = 64
LARGEST_WHOLE = (1 << 63) - 1


class Unsound(ValueError):
    """Bytes that are no JSON that the system could keep, count with and send on."""


def refuse_constant(text: str):
    """NaN and infinities are no JSON."""
    raise Unsound(f"{text} is no JSON number")


def parsed(raw: bytes):
    """The value that bytes hold; Unsound when they hold none, or one that could not be handled further.

    Refused besides broken JSON: numbers beyond 64 bits or that are not finite, text that is not Unicode (a
    lone surrogate), nesting deeper than 64.

    Example: ``parsed(b"[1]") == [1]``
    """
    try:
        value = json.loads(raw, parse_constant=refuse_constant)
    except (ValueError, RecursionError) as error:
        raise Unsound(str(error)[:300]) from None
    level, depth = [value], 0
    while level:
        depth += 1
        if depth > DEEPEST:
            raise Unsound(f"nested deeper than {DEEPEST}")
        below = []
        for one in level:
            if isinstance(one, dict):
                below.extend(one)
                below.extend(one.values())
            elif isinstance(one, list):
                below.extend(one)
            elif isinstance(one, str):
                check_text(one)
            elif isinstance(one, int) and abs(one) > LARGEST_WHOLE:
                raise Unsound("a number beyond 64 bits")
            elif isinstance(one, float) and one in (float("inf"), float("-inf")):
                raise Unsound("a number that is not finite")
        level = below
    return value


def check_text(text: str) -> None:
    """Refuse text that has no bytes in UTF-8."""
    if not text.isascii():
        try:
            text.encode()
        except UnicodeEncodeError:
            raise Unsound("text with a lone surrogate") from None
