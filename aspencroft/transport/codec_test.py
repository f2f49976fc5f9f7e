"""Records: the compiled codecs against a plain one that walks the shapes, and bytes that are none."""

import dataclasses
import datetime
import importlib
import pkgutil
import random
import types
import typing

import pytest

import aspencroft
from aspencroft.transport import codec


@dataclasses.dataclass(frozen=True)
class Sample:
    """A record for the tests below."""

    number: int
    text: str
    spans: tuple[datetime.timedelta, ...]
    inner: tuple["Sample", ...]
    other: bytes | None


@dataclasses.dataclass(frozen=True)
class Wide:
    """A record in which fields of every field_type stand beside each other."""

    first: bool
    second: float
    third: datetime.timedelta
    fourth: bytes
    fifth: int
    sixth: Sample
    seventh: bool
    eighth: tuple[str, ...]
    ninth: Sample | None
    tenth: tuple[tuple[int, ...], ...]
    last: int | None


@dataclasses.dataclass(frozen=True)
class Checked:
    """A record that looks at itself when it is made."""

    number: int

    def __post_init__(self):
        if self.number < 0:
            raise OverflowError("below zero")


@dataclasses.dataclass(frozen=True, slots=True)
class Slotted:
    """A record without a dictionary."""

    number: int
    text: str


def plainly_written(field_type, value, into: bytearray) -> None:
    """Append one value, field_type by field_type: what the compiled codecs have to agree with."""
    origin = typing.get_origin(field_type)
    if field_type is int:
        into += codec.INTEGER.pack(value)
    elif field_type is str:
        data = value.encode()
        into += codec.LENGTH.pack(len(data)) + data
    elif field_type is bytes:
        into += codec.LENGTH.pack(len(value)) + value
    elif field_type is float:
        into += codec.FLOAT.pack(value)
    elif field_type is bool:
        into += codec.FLAG.pack(value)
    elif field_type is datetime.timedelta:
        into += codec.INTEGER.pack(value // codec.MICROSECOND)
    elif origin is tuple:
        into += codec.LENGTH.pack(len(value))
        for item in value:
            plainly_written(typing.get_args(field_type)[0], item, into)
    elif origin is types.UnionType:
        into += codec.FLAG.pack(value is not None)
        if value is not None:
            plainly_written(typing.get_args(field_type)[0], value, into)
    else:
        for name, inner in codec.field_types(field_type):
            plainly_written(inner, getattr(value, name), into)


def by_chance(field_type, chance: random.Random, depth: int = 0):
    """A value of a field_type."""
    origin = typing.get_origin(field_type)
    if field_type is int:
        return chance.choice([-1, 0, 1, 7, 1 << 40, -(1 << 63), (1 << 63) - 1])
    if field_type is str:
        return chance.choice(["", "x", "é", "edge-0:1", "\U0001f40d" * 3, "a" * 300])
    if field_type is bytes:
        return chance.randbytes(chance.choice([0, 1, 20, 5000]))
    if field_type is float:
        return chance.choice([0.0, -1.5, 1e300])
    if field_type is bool:
        return chance.random() < 0.5
    if field_type is datetime.timedelta:
        return datetime.timedelta(microseconds=chance.choice([-1, 0, 1, 500_000, 86_400_000_000]))
    if origin is tuple:
        inner = typing.get_args(field_type)[0]
        return tuple(by_chance(inner, chance, depth + 1) for _ in range(chance.randrange(3) if depth < 4 else 0))
    if origin is types.UnionType:
        return (
            by_chance(typing.get_args(field_type)[0], chance, depth + 1)
            if chance.random() < 0.5 and depth < 4
            else None
        )
    return field_type(**{name: by_chance(inner, chance, depth + 1) for name, inner in codec.field_types(field_type)})


def all_kinds() -> list[type]:
    """Every record type of the project.

    Example: ``len(all_kinds()) > 60``
    """
    for module in pkgutil.walk_packages(aspencroft.__path__, "aspencroft."):
        if not module.name.endswith("_test"):
            importlib.import_module(module.name)
    return [codec.KINDS[number] for number in sorted(codec.KINDS)]


def test_every_cut_of_a_record_is_refused():
    value = Sample(-5, "é", (datetime.timedelta(seconds=1.5),), (Sample(1, "", (), (), b"x"),), None)
    data = codec.pack(value)
    assert codec.unpack(Sample, data) == value
    for end in range(len(data)):
        with pytest.raises(codec.CodecError):
            codec.unpack(Sample, data[:end])
    with pytest.raises(codec.CodecError):
        codec.unpack(Sample, data + b"\0")


def test_every_cut_of_a_wide_record_is_refused():
    chance = random.Random(3)
    for _ in range(20):
        value = by_chance(Wide, chance)
        data = codec.pack(value)
        for end in sorted(chance.sample(range(len(data)), min(200, len(data)))):
            with pytest.raises(codec.CodecError):
                codec.unpack(Wide, data[:end])


def test_compiled_and_plain_encodings_agree_over_random_records():
    chance = random.Random(1)
    for record_type in [Sample, Wide, Slotted, *all_kinds()]:
        for _ in range(30):
            value, plain = by_chance(record_type, chance), bytearray()
            plainly_written(record_type, value, plain)
            data = codec.pack(value)
            assert data == bytes(plain), record_type
            read = codec.unpack(record_type, data)
            assert read == value and type(read) is record_type
            assert {field.name: getattr(read, field.name) for field in dataclasses.fields(read)} == {
                field.name: getattr(value, field.name) for field in dataclasses.fields(value)
            }
            assert codec.unpack(record_type, bytearray(data)) == value
            if record_type in codec.NUMBERS:
                assert codec.tagged(value) == codec.TAG.pack(codec.NUMBERS[record_type]) + data
                assert codec.untagged(codec.tagged(value)) == value
            into = bytearray(b"before")
            codec.write(record_type, value, into)
            assert into == b"before" + data
            assert codec.read(record_type, bytes(into), 6) == (value, len(into))


def test_values_outside_any_record_are_written_alike():
    chance = random.Random(2)
    for field_type in (
        int,
        str,
        bytes,
        float,
        bool,
        datetime.timedelta,
        tuple[int, ...],
        tuple[Sample, ...],
        bytes | None,
    ):
        for _ in range(30):
            value, plain, into = by_chance(field_type, chance), bytearray(), bytearray()
            plainly_written(field_type, value, plain)
            codec.write(field_type, value, into)
            assert into == plain
            assert codec.read(field_type, bytes(into), 0) == (value, len(into))


def test_a_length_or_count_past_the_end_is_refused_at_once():
    for field_type in (str, bytes, tuple[int, ...]):
        with pytest.raises(codec.CodecError):
            codec.read(field_type, codec.LENGTH.pack(1 << 31) + b"x" * 20, 0)


def test_values_of_a_wrong_type_are_refused_where_they_are_written():
    for wrong in (
        dict(number="1"),
        dict(number=1 << 63),
        dict(text=b"x"),
        dict(text="\udc80"),
        dict(other="x"),
        dict(spans=(5,)),
        dict(inner=(None,)),
        dict(spans=None),
    ):
        value = dataclasses.replace(Sample(1, "", (), (), None), **wrong)
        with pytest.raises((ValueError, TypeError, AttributeError, codec.struct.error)):
            codec.pack(value)


def test_a_record_that_checks_itself_is_made_by_its_constructor():
    assert codec.unpack(Checked, codec.pack(Checked(3))) == Checked(3)
    with pytest.raises(codec.CodecError):
        codec.unpack(Checked, codec.INTEGER.pack(-3))


def test_big_bytes_are_handed_on_not_copied():
    big = bytes(100_000)
    value = Sample(1, "x", (), (Sample(2, "y", (), (), big),), None)
    assert any(piece is big for piece in codec.pieces(value))
    assert b"".join(codec.pieces(value)) == codec.pack(value)
