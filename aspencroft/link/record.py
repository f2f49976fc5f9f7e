"""Frozen dataclasses as struct records: the form of all that processes say and disks hold."""

import dataclasses
import datetime
import struct
import types
import typing

import pytest

KINDS: dict[int, type] = {}
NUMBERS: dict[type, int] = {}
LENGTH = struct.Struct(">I")
WHOLE = struct.Struct(">q")
REAL = struct.Struct(">d")
FLAG = struct.Struct(">?")
MICROSECOND = datetime.timedelta(microseconds=1)


class Broken(ValueError):
    """Bytes that are no record of the type they claim to be."""


def kind(number: int) -> typing.Callable[[type], type]:
    """Give a frozen dataclass its kind number on the wire.

    Example: ``@record.kind(7)`` above ``@dataclasses.dataclass(frozen=True)``
    """
    def register(record_type: type) -> type:
        if number in KINDS:
            raise ValueError(f"kind {number} is taken by {KINDS[number].__name__}")
        KINDS[number] = record_type
        NUMBERS[record_type] = number
        return record_type
    return register


def write(shape, value, into: bytearray) -> None:
    """Append one value of a declared shape.

    Example: ``write(tuple[int, ...], (1, 2), into)``
    """
    origin = typing.get_origin(shape)
    if shape is int:
        into += WHOLE.pack(value)
    elif shape is str:
        data = value.encode()
        into += LENGTH.pack(len(data)) + data
    elif shape is bytes:
        into += LENGTH.pack(len(value)) + value
    elif shape is float:
        into += REAL.pack(value)
    elif shape is bool:
        into += FLAG.pack(value)
    elif shape is datetime.timedelta:
        into += WHOLE.pack(value // MICROSECOND)
    elif origin is tuple:
        into += LENGTH.pack(len(value))
        for item in value:
            write(typing.get_args(shape)[0], item, into)
    elif origin is types.UnionType:
        into += FLAG.pack(value is not None)
        if value is not None:
            write(typing.get_args(shape)[0], value, into)
    elif dataclasses.is_dataclass(shape):
        for name, inner in shapes(shape):
            write(inner, getattr(value, name), into)
    else:
        raise TypeError(f"no struct form for {shape}")


SHAPES: dict[type, tuple] = {}


def shapes(record_type: type) -> tuple:
    """Names and shapes of a dataclass's fields, looked up once.

    Example: ``shapes(Frame)``
    """
    if record_type not in SHAPES:
        hints = typing.get_type_hints(record_type)
        SHAPES[record_type] = tuple((field.name, hints[field.name])
                                    for field in dataclasses.fields(record_type))
    return SHAPES[record_type]


def read(shape, data: bytes, place: int):
    """One value of a declared shape and the place behind it.

    Example: ``value, place = read(int, data, 0)``
    """
    origin = typing.get_origin(shape)
    if shape is int:
        return WHOLE.unpack_from(data, place)[0], place + 8
    if shape is str or shape is bytes:
        length = LENGTH.unpack_from(data, place)[0]
        end = place + 4 + length
        if end > len(data):
            raise Broken("a length points past the end")
        piece = bytes(data[place + 4:end])
        return (piece.decode() if shape is str else piece), end
    if shape is float:
        return REAL.unpack_from(data, place)[0], place + 8
    if shape is bool:
        return FLAG.unpack_from(data, place)[0], place + 1
    if shape is datetime.timedelta:
        return WHOLE.unpack_from(data, place)[0] * MICROSECOND, place + 8
    if origin is tuple:
        count = LENGTH.unpack_from(data, place)[0]
        place += 4
        if count > len(data):
            raise Broken("a count points past the end")
        items = []
        for _ in range(count):
            item, place = read(typing.get_args(shape)[0], data, place)
            items.append(item)
        return tuple(items), place
    if origin is types.UnionType:
        present = FLAG.unpack_from(data, place)[0]
        return read(typing.get_args(shape)[0], data, place + 1) if present else (None, place + 1)
    values = []
    for _, inner in shapes(shape):
        value, place = read(inner, data, place)
        values.append(value)
    return shape(*values), place


def pack(value) -> bytes:
    """A record's bytes, without its kind.

    Example: ``unpack(type(value), pack(value)) == value``
    """
    into = bytearray()
    write(type(value), value, into)
    return bytes(into)


def unpack(record_type: type, data: bytes):
    """The record that the bytes hold; Broken when they hold none or more.

    Example: ``unpack(Beat, body)``
    """
    try:
        value, place = read(record_type, data, 0)
    except (struct.error, UnicodeDecodeError, OverflowError) as error:
        raise Broken(str(error)) from error
    if place != len(data):
        raise Broken("bytes are left over")
    return value


def tagged(value) -> bytes:
    """A record's bytes behind its kind number.

    Example: ``untagged(tagged(value)) == value``
    """
    return struct.pack(">H", NUMBERS[type(value)]) + pack(value)


def untagged(data: bytes):
    """The record behind a kind number.

    Example: ``untagged(entry.payload)``
    """
    if len(data) < 2:
        raise Broken("no kind")
    record_type = KINDS.get(struct.unpack_from(">H", data)[0])
    if record_type is None:
        raise Broken("unknown kind")
    return unpack(record_type, data[2:])


@dataclasses.dataclass(frozen=True)
class Sample:
    """A record for the tests below."""

    number: int
    text: str
    spans: tuple[datetime.timedelta, ...]
    inner: tuple["Sample", ...]
    other: bytes | None


def test_every_cut_of_a_record_is_refused():
    value = Sample(-5, "é", (datetime.timedelta(seconds=1.5),), (Sample(1, "", (), (), b"x"),), None)
    data = pack(value)
    assert unpack(Sample, data) == value
    for end in range(len(data)):
        with pytest.raises(Broken):
            unpack(Sample, data[:end])
    with pytest.raises(Broken):
        unpack(Sample, data + b"\0")
