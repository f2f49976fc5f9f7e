"""The bytes of a group's call sessions in bounded chunks, and back."""

import collections.abc
import typing

from aspencroft.runtime import clock
from aspencroft.sessions import entry
from aspencroft.transport import codec

SHARED_PIECE_BYTES = 512
"""A piece of a record so large is a chunk of its own: history is shared with the snapshot, not copied into it."""
CHUNK_BYTES = 64 << 10
"""Smaller pieces are gathered until they take so much."""


NO_QUOTAS = entry.QuotaRecords(())


class Restored(typing.NamedTuple):
    """A snapshot that was read, and the offset of the first byte behind it."""

    snapshot: entry.LedgerSnapshot
    ages: entry.TurnAges
    quotas: entry.QuotaRecords
    end: int


def empty() -> Restored:
    """A snapshot of a group that holds nothing."""
    return Restored(entry.LedgerSnapshot((), (), (), (), (), ()), entry.TurnAges(clock.ZERO, ()), NO_QUOTAS, 0)


def encode_chunks(
    tables: collections.abc.Iterable[collections.abc.Sequence[object]],
    released: collections.abc.Sequence[str],
    ages: entry.TurnAges,
    quotas: entry.QuotaRecords = NO_QUOTAS,
) -> collections.abc.Iterator[bytes]:
    """An ``entry.LedgerSnapshot`` as bytes, behind it the ages of turns, and the records of quotas if there are any.

    :param tables: records of the fields of the snapshot but the last, in their order
    :param released: the last field
    """
    waiting: list[bytes] = []
    size = 0
    for row in (*tables, released):
        waiting.append(codec.LENGTH.pack(len(row)))
        for record in row:
            if row is released:
                written = bytearray()
                codec.write(str, record, written)
                pieces = [bytes(written)]
            else:
                pieces = codec.pieces(record)
            for piece in pieces:
                if len(piece) >= SHARED_PIECE_BYTES:
                    if waiting:
                        yield b"".join(waiting)
                    yield piece
                    waiting, size = [], 0
                else:
                    waiting.append(piece)
                    size += len(piece)
            if size >= CHUNK_BYTES:
                yield b"".join(waiting)
                waiting, size = [], 0
    yield b"".join(waiting)
    yield codec.pack(ages)
    if quotas.counted:
        yield codec.pack(quotas)


def decode(body: bytes, start: int) -> Restored:
    """Read the snapshot that begins at an offset.

    In one of an earlier version the ages of turns are missing: they count as new.

    :raises codec.Broken: when the bytes are no snapshot
    """
    snapshot, end = codec.unpack_from(entry.LedgerSnapshot, body, start)
    ages = entry.TurnAges(clock.ZERO, (clock.ZERO,) * len(snapshot.turns))
    if end < len(body):
        ages, end = codec.unpack_from(entry.TurnAges, body, end)
    if len(ages.ended) != len(snapshot.turns):
        raise codec.CodecError("as many ages as turns were expected")
    quotas = NO_QUOTAS
    if end < len(body):
        quotas, end = codec.unpack_from(entry.QuotaRecords, body, end)
    return Restored(snapshot, ages, quotas, end)
