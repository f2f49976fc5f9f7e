"""Frames of the link between nodes: length, kind, version, way, number, epoch, checksum."""

import dataclasses
import struct
import zlib

from aspencroft.runtime import environment
from aspencroft.transport import codec

HEADER = struct.Struct(">IHBBQQI")
CHECK = struct.Struct(">I")
VERSION = 2
LARGEST = 64 << 20
TELL, ASK, ANSWER, FAULT = range(4)


class BrokenFrame(ValueError):
    """Bytes that are no frame of this version."""


@dataclasses.dataclass(frozen=True)
class Frame:
    """One message on a link."""

    way: int
    number: int
    epoch: int
    message: object


def encode(frame: Frame) -> bytes:
    """The frame's bytes."""
    body = codec.pack(frame.message)
    if len(body) > LARGEST:
        raise BrokenFrame(f"a body of {len(body)} bytes is over the limit")
    start = HEADER.pack(
        len(body), codec.NUMBERS[type(frame.message)], VERSION, frame.way, frame.number, frame.epoch, 0
    )[:-4]
    return start + CHECK.pack(checksum(start, body)) + body


def checksum(start: bytes, body: bytes) -> int:
    """The checksum of a header without its last field, and a body."""
    return zlib.crc32(body, zlib.crc32(start))


async def receive(channel: environment.Channel) -> Frame:
    """The next frame of a channel; BrokenFrame when the bytes are none."""
    header = await channel.read(HEADER.size)
    length, kind, version, way, number, epoch, expected = HEADER.unpack(header)
    if version != VERSION:
        raise BrokenFrame(f"version {version}")
    if length > LARGEST or way > FAULT:
        raise BrokenFrame("length or way out of range")
    body = await channel.read(length)
    if checksum(header[:-4], body) != expected:
        raise BrokenFrame("checksum")
    record_type = codec.KINDS.get(kind)
    if record_type is None:
        raise BrokenFrame(f"kind {kind}")
    try:
        return Frame(way, number, epoch, codec.unpack(record_type, body))
    except codec.Broken as error:
        raise BrokenFrame(str(error)) from error


class Buffer:
    """A channel over bytes, for the test below."""

    def __init__(self, data: bytes):
        self.data = data

    async def read(self, count: int) -> bytes:
        """Bytes from the front."""
        piece, self.data = self.data[:count], self.data[count:]
        if len(piece) < count:
            raise EOFError
        return piece


@codec.kind(1)
@dataclasses.dataclass(frozen=True)
class Fault:
    """A refusal on the link: result number, whether anything ran, detail, microseconds to wait."""

    result: int
    ran: str
    detail: str
    retry: int
