"""Tests of ``aspencroft.transport.frame``."""

import asyncio

from aspencroft.transport import frame


def test_any_flipped_byte_is_found():
    sent = frame.Frame(frame.FAULT, 7, 3, frame.Fault(1401, "not run", "detail", 5))
    data = frame.encode(sent)
    assert asyncio.run(frame.receive(frame.BytesChannel(data))) == sent
    for offset in range(len(data)):
        changed = bytearray(data)
        changed[offset] ^= 0x41
        try:
            asyncio.run(frame.receive(frame.BytesChannel(bytes(changed))))
        except (frame.FrameError, EOFError):
            continue
        raise AssertionError(f"byte {offset} changed unseen")
