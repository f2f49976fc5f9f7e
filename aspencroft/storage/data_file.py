"""The data file of one generation: block-aligned records with checksums, recovered by a scan."""

import dataclasses
import enum
import os
import struct
import typing
import zlib

HEADER = struct.Struct(">4sQIQQ")
CHECKSUM = struct.Struct(">I")
MAGIC = b"acv2"
FORMER_HEADER = struct.Struct(">4sQIQ")
FORMER_MAGIC = b"acv1"
BLOCK = 512
"""Block size in bytes: ``dbm.dumb`` aligns each value to a multiple of it."""


class Condition(enum.Enum):
    """The condition of a store when it was opened."""

    EMPTY = "empty"
    SOUND = "sound"
    DAMAGED = "damaged"


@dataclasses.dataclass(frozen=True)
class Record:
    """A stored payload with its epoch."""

    epoch: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Extent:
    """The position of a record in the data file."""

    offset: int
    length: int

    @property
    def end(self) -> int:
        """The offset after the last byte."""
        return self.offset + self.length


@dataclasses.dataclass(frozen=True)
class Scan:
    """The contents of a data file: records with their extents, and the condition of the file."""

    records: tuple[Record, ...]
    extents: tuple[Extent, ...]
    condition: Condition


@dataclasses.dataclass(frozen=True)
class DecodedRecord:
    """A complete record in a data file; ``synced_count`` is the number of records synced before it was written."""

    index: int
    record: Record
    synced_count: int
    extent: Extent


class FileBytes:
    """A file's bytes, read on access, so that a large file is never completely in memory."""

    def __init__(self, file: typing.BinaryIO) -> None:
        self.descriptor = file.fileno()
        self.size = os.fstat(self.descriptor).st_size

    def __len__(self) -> int:
        return self.size

    def __getitem__(self, span: slice) -> bytes:
        start, stop, _ = span.indices(self.size)
        return os.pread(self.descriptor, max(0, stop - start), start)


def encode_record(index: int, record: Record, synced_count: int) -> bytes:
    """Encode a record with its index."""
    header = HEADER.pack(MAGIC, index, len(record.payload), record.epoch, synced_count)
    return header + CHECKSUM.pack(zlib.crc32(record.payload, zlib.crc32(header))) + record.payload


def decode_record_at(data: bytes | FileBytes, offset: int) -> DecodedRecord | None:
    """Decode the record at an offset; None if it is incomplete or its checksum differs.

    Records of the former format are treated as written one by one, each after all earlier ones were synced.
    """
    magic = data[offset : offset + len(MAGIC)]
    layout = {MAGIC: HEADER, FORMER_MAGIC: FORMER_HEADER}.get(magic)
    if layout is None or offset + layout.size + CHECKSUM.size > len(data):
        return None
    payload_offset = offset + layout.size + CHECKSUM.size
    header, checksum = data[offset : offset + layout.size], data[offset + layout.size : payload_offset]
    _, index, length, epoch, *rest = layout.unpack(header)
    end = payload_offset + length
    if end > len(data):
        return None
    payload = data[payload_offset:end]
    if zlib.crc32(payload, zlib.crc32(header)) != CHECKSUM.unpack(checksum)[0]:
        return None
    return DecodedRecord(index, Record(epoch, payload), rest[0] if rest else index, Extent(offset, end - offset))


def next_block(offset: int) -> int:
    """The first offset at or after ``offset`` at which a record may begin.

    Example: ``(next_block(0), next_block(1), next_block(512)) == (0, 512, 512)``
    """
    return (offset + BLOCK - 1) // BLOCK * BLOCK


def find_extents(data: bytes | FileBytes, limit: int) -> list[Extent]:
    """Find the extents of the first records, at most ``limit`` of them, without collecting their payloads.

    Example: ``find_extents(b"", 3) == []``
    """
    extents: list[Extent] = []
    offset = 0
    while (
        len(extents) < limit and (found := decode_record_at(data, offset)) is not None and found.index == len(extents)
    ):
        extents.append(found.extent)
        offset = next_block(found.extent.end)
    return extents


def scan(data: bytes | FileBytes) -> Scan:
    """Read a data file from start to end.

    The records end at the first incomplete one. If a later record was written after that one had been synced, the file
    is damaged. Otherwise the later records belong to the same batch, which was not synced at the power loss: any of its
    records may be present or missing, and everything after the first missing one is a torn tail.

    Example: ``scan(b"").condition is Condition.EMPTY``
    """
    records: list[Record] = []
    extents: list[Extent] = []
    offset = 0
    while (found := decode_record_at(data, offset)) is not None and found.index == len(records):
        records.append(found.record)
        extents.append(found.extent)
        offset = next_block(found.extent.end)
    condition = Condition.SOUND if records else Condition.EMPTY
    for later_offset in range(offset, len(data), BLOCK):
        later = decode_record_at(data, later_offset)
        if later is not None and later.synced_count > len(records):
            condition = Condition.DAMAGED
            break
    return Scan(tuple(records), tuple(extents), condition)
