"""Tests of ``aspencroft.transport.frame``."""

import asyncio

from aspencroft.transport import frame


def test_any_flipped_byte_is_found():
    one = frame.Frame(frame.FAULT, 7, 3, frame.Fault(1401, "not run", "detail", 5))
    data = frame.encode(one)
    assert asyncio.run(frame.receive(frame.Buffer(data))) == one
    for place in range(len(data)):
        changed = bytearray(data)
        changed[place] ^= 0x41
        try:
            asyncio.run(frame.receive(frame.Buffer(bytes(changed))))
        except (frame.BrokenFrame, EOFError):
            continue
        raise AssertionError(f"byte {place} changed unseen")
