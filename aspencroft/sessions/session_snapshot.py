"""Snapshots of the opaque calls of a session group: encoding in bounded chunks, and decoding."""

import collections.abc
import typing

from aspencroft.runtime import clock
from aspencroft.sessions import entry
from aspencroft.transport import codec

SHARED_PIECE_BYTES = 512
"""A piece of at least this size becomes its own chunk, so that history is shared with the snapshot, not copied."""
CHUNK_BYTES = 64 << 10
"""Smaller pieces are collected into chunks of about this size."""


NO_QUOTAS = entry.QuotaRecords(())
NOTHING_EXPECTED = entry.ExpectedBytes(())


class Restored(typing.NamedTuple):
    """A decoded snapshot, and the offset of the first byte after it."""

    snapshot: entry.CallSessionsSnapshot
    ages: entry.TurnAges
    quotas: entry.QuotaRecords
    end: int
    expected: entry.ExpectedBytes = NOTHING_EXPECTED


def empty() -> Restored:
    """Return the snapshot of an empty group."""
    return Restored(entry.CallSessionsSnapshot((), (), (), (), (), ()), entry.TurnAges(clock.ZERO, ()), NO_QUOTAS, 0)


def encode_chunks(
    tables: collections.abc.Iterable[collections.abc.Sequence[object]],
    released: collections.abc.Sequence[str],
    ages: entry.TurnAges,
    quotas: entry.QuotaRecords = NO_QUOTAS,
    expected: entry.ExpectedBytes = NOTHING_EXPECTED,
) -> collections.abc.Iterator[bytes]:
    """Encode an ``entry.CallSessionsSnapshot`` and the ages of turns; then quota records and expected bytes, if any.

    :param tables: the records of all fields of the snapshot but the last, in the order of the fields
    :param released: the last field
    """
    pending: list[bytes] = []
    size = 0
    for table in (*tables, released):
        pending.append(codec.LENGTH.pack(len(table)))
        for record in table:
            if table is released:
                buffer = bytearray()
                codec.write(str, record, buffer)
                pieces = [bytes(buffer)]
            else:
                pieces = codec.pieces(record)
            for piece in pieces:
                if len(piece) >= SHARED_PIECE_BYTES:
                    if pending:
                        yield b"".join(pending)
                    yield piece
                    pending, size = [], 0
                else:
                    pending.append(piece)
                    size += len(piece)
            if size >= CHUNK_BYTES:
                yield b"".join(pending)
                pending, size = [], 0
    yield b"".join(pending)
    yield codec.pack(ages)
    if quotas.counted or any(expected.sizes):
        yield codec.pack(quotas)
    if any(expected.sizes):
        yield codec.pack(expected)


def decode(body: bytes, start: int) -> Restored:
    """Decode the snapshot that starts at an offset.

    Snapshots of earlier versions lack the ages of turns; their turns count as new. Without expected bytes the turns
    in flight have no room reserved.

    :raises codec.CodecError: if the bytes are not a valid snapshot
    """
    snapshot, end = codec.unpack_from(entry.CallSessionsSnapshot, body, start)
    ages = entry.TurnAges(clock.ZERO, (clock.ZERO,) * len(snapshot.turns))
    if end < len(body):
        ages, end = codec.unpack_from(entry.TurnAges, body, end)
    if len(ages.ended) != len(snapshot.turns):
        raise codec.CodecError(f"snapshot has {len(snapshot.turns)} retained turns but {len(ages.ended)} ages")
    quotas = NO_QUOTAS
    if end < len(body):
        quotas, end = codec.unpack_from(entry.QuotaRecords, body, end)
    expected = NOTHING_EXPECTED
    if end < len(body):
        expected, end = codec.unpack_from(entry.ExpectedBytes, body, end)
        if len(expected.sizes) != len(snapshot.in_flight):
            raise codec.CodecError(
                f"snapshot has {len(snapshot.in_flight)} turns in flight but {len(expected.sizes)} expected sizes"
            )
    return Restored(snapshot, ages, quotas, end, expected)
