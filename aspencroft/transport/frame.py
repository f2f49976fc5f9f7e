"""Frames of the link between nodes: length, record kind, version, frame kind, request number, epoch, checksum."""

import dataclasses
import struct
import zlib

from aspencroft.runtime import environment
from aspencroft.transport import codec

HEADER = struct.Struct(">IHBBQQI")
CHECKSUM = struct.Struct(">I")
VERSION = 2
MAX_BODY_BYTES = 64 << 20
NOTIFICATION, REQUEST, RESPONSE, FAULT = range(4)


class FrameError(ValueError):
    """Bytes that are no frame of this version."""


@dataclasses.dataclass(frozen=True)
class Frame:
    """One message on a connection; only requests and what answers them are numbered."""

    frame_kind: int
    request_number: int
    epoch: int
    message: object


def encode(frame: Frame) -> bytes:
    """The frame's bytes.

    Raises:
        FrameError: the message is too large.
        ValueError, TypeError, AttributeError, struct.error: a field holds what its type does not allow.

    """
    body = codec.pack(frame.message)
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"a body of {len(body)} bytes is over the limit")
    start = HEADER.pack(
        len(body), codec.NUMBERS[type(frame.message)], VERSION, frame.frame_kind, frame.request_number, frame.epoch, 0
    )[:-4]
    return start + CHECKSUM.pack(checksum(start, body)) + body


def checksum(start: bytes, body: bytes) -> int:
    """The checksum of a header without its last field, and a body."""
    return zlib.crc32(body, zlib.crc32(start))


async def receive(channel: environment.Channel) -> Frame:
    """Read the next frame of a channel.

    Raises:
        FrameError: the bytes are no frame of this version.
        EOFError, OSError: the channel broke.

    """
    header = await channel.read(HEADER.size)
    length, record_kind, version, frame_kind, request_number, epoch, expected = HEADER.unpack(header)
    if version != VERSION:
        raise FrameError(f"version {version}")
    if length > MAX_BODY_BYTES or frame_kind > FAULT:
        raise FrameError("length or frame kind out of range")
    body = await channel.read(length)
    if checksum(header[:-4], body) != expected:
        raise FrameError("checksum")
    record_type = codec.KINDS.get(record_kind)
    if record_type is None:
        raise FrameError(f"kind {record_kind}")
    try:
        return Frame(frame_kind, request_number, epoch, codec.unpack(record_type, body))
    except codec.CodecError as error:
        raise FrameError(str(error)) from error


class BytesChannel:
    """The reading half of a channel, over bytes, for tests."""

    def __init__(self, data: bytes) -> None:
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
    """A rejection as it is sent back: result number, whether anything ran, detail, microseconds to wait."""

    result: int
    ran: str
    detail: str
    retry: int
