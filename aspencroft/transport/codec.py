"""Frozen dataclasses as struct records: the form of all that processes say and disks hold."""

import dataclasses
import datetime
import struct
import types
import typing

KINDS: dict[int, type] = {}
NUMBERS: dict[type, int] = {}
TAG = struct.Struct(">H")
LENGTH = struct.Struct(">I")
INTEGER = struct.Struct(">q")
FLOAT = struct.Struct(">d")
FLAG = struct.Struct(">?")
MICROSECOND = datetime.timedelta(microseconds=1)
FIXED: dict[typing.Any, str] = {int: "q", float: "d", bool: "?", datetime.timedelta: "q"}
MOST_FIELDS_SET_SINGLY = 4
"""Fields: setting more of them at once is faster, and costs 140 bytes more a record."""


class CodecError(ValueError):
    """Bytes that are no record of the type they claim to be."""


def kind(number: int) -> typing.Callable[[type], type]:
    """Give a frozen dataclass its kind number on the wire."""

    def register(record_type: type) -> type:
        if number in KINDS:
            raise ValueError(f"kind {number} is taken by {KINDS[number].__name__}")
        KINDS[number] = record_type
        NUMBERS[record_type] = number
        return record_type

    return register


FIELD_TYPES: dict[type, tuple] = {}


def field_types(record_type: typing.Any) -> tuple:
    """Names and types of a dataclass's fields, looked up once."""
    if record_type not in FIELD_TYPES:
        hints = typing.get_type_hints(record_type)
        FIELD_TYPES[record_type] = tuple((field.name, hints[field.name]) for field in dataclasses.fields(record_type))
    return FIELD_TYPES[record_type]


class FunctionSource:
    """A function being written for one type: its lines, and the names they use."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.names: dict[str, typing.Any] = {"MICROSECOND": MICROSECOND, "CodecError": CodecError}
        self.count = 0

    def fresh(self, start: str) -> str:
        """A name that is not used yet."""
        self.count += 1
        return f"{start}{self.count}"

    def bind(self, start: str, value: object) -> str:
        """A fresh name for a value from outside."""
        name = self.fresh(start)
        self.names[name] = value
        return name

    def function(self, signature: str) -> typing.Callable:
        """The function, compiled."""
        text = "\n    ".join([f"def {signature}:", *self.lines])
        exec(compile(text, f"<record {signature}>", "exec"), self.names)
        return self.names[signature.split("(", maxsplit=1)[0]]


class WriterSource:
    """Writes the source that turns a value into pieces of bytes."""

    def __init__(self) -> None:
        self.source = FunctionSource()
        self.formats = ""
        self.values: list[str] = []
        self.pieces: list[str] = []

    def fixed(self, struct_format: str, expression: str) -> None:
        """A field of fixed length; neighbours go into one struct."""
        self.formats += struct_format
        self.values.append(expression)

    def piece(self, expression: str) -> None:
        """Bytes that go out as they are, behind the fixed fields before them."""
        if self.formats:
            pack = self.source.bind("pack", struct.Struct(">" + self.formats).pack)
            self.pieces.append(f"{pack}({', '.join(self.values)})")
            self.formats, self.values = "", []
        if expression:
            self.pieces.append(expression)

    def flush(self) -> None:
        """Hand out what waits, in order."""
        self.piece("")
        if self.pieces:
            self.source.lines.append(f"extend(({', '.join(self.pieces)},))")
            self.pieces = []

    def value(self, field_type: typing.Any, expression: str) -> None:
        """The steps for one value of a type."""
        origin, lines = typing.get_origin(field_type), self.source.lines
        if field_type in FIXED:
            self.fixed(FIXED[field_type], expression + (" // MICROSECOND" if field_type is datetime.timedelta else ""))
        elif field_type is str or field_type is bytes:
            name = self.source.fresh("bytes")
            lines.append(f"{name} = {expression}" + (".encode()" if field_type is str else ""))
            self.fixed("I", f"len({name})")
            self.piece(name)
        elif origin is tuple:
            name, item = self.source.fresh("items"), self.source.fresh("item")
            inner = self.source.bind("write", writer(typing.get_args(field_type)[0]))
            lines.append(f"{name} = {expression}")
            self.fixed("I", f"len({name})")
            self.flush()
            lines.append(f"for {item} in {name}: {inner}({item}, extend)")
        elif origin is types.UnionType:
            name = self.source.fresh("maybe")
            inner = self.source.bind("write", writer(typing.get_args(field_type)[0]))
            lines.append(f"{name} = {expression}")
            self.fixed("?", f"{name} is not None")
            self.flush()
            lines.append(f"if {name} is not None: {inner}({name}, extend)")
        elif dataclasses.is_dataclass(field_type):
            self.flush()
            lines.append(f"{self.source.bind('write', writer(field_type))}({expression}, extend)")
        else:
            raise TypeError(f"no struct form for {field_type}")


class ReaderSource:
    """Writes the source that takes a value out of bytes."""

    def __init__(self) -> None:
        self.source = FunctionSource()
        self.formats = ""
        self.targets: list[str] = []
        self.conversions: list[str] = []

    def fixed(self, struct_format: str, target: str) -> None:
        """A field of fixed length; neighbours come out of one struct."""
        self.formats += struct_format
        self.targets.append(target)

    def flush(self) -> None:
        """Take out the fixed fields that wait."""
        if self.formats:
            layout = struct.Struct(">" + self.formats)
            unpack_from = self.source.bind("unpack", layout.unpack_from)
            self.source.lines.append(f"{', '.join(self.targets)}, = {unpack_from}(data, offset)")
            self.source.lines.append(f"offset += {layout.size}")
            self.source.lines += self.conversions
            self.formats, self.targets, self.conversions = "", [], []

    def value(self, field_type: typing.Any) -> str:
        """The steps for one value of a type; the name that will hold it."""
        origin, lines, name = typing.get_origin(field_type), self.source.lines, self.source.fresh("value")
        if field_type in FIXED:
            self.fixed(FIXED[field_type], name)
            if field_type is datetime.timedelta:
                self.conversions.append(f"{name} *= MICROSECOND")
        elif field_type is str or field_type is bytes:
            self.fixed("I", name)
            self.flush()
            lines.append(f"end = offset + {name}")
            lines.append("if end > size: raise CodecError('a length points past the end')")
            lines.append(f"{name} = data[offset:end]" + (".decode()" if field_type is str else ""))
            lines.append("offset = end")
        elif origin is tuple:
            inner = self.source.bind("read", reader(typing.get_args(field_type)[0]))
            self.fixed("I", "count")
            self.flush()
            lines.append("if count > size: raise CodecError('a count points past the end')")
            lines.append(f"{name} = []")
            lines.append("for _ in range(count):")
            lines.append(f"    item, offset = {inner}(data, offset, size)")
            lines.append(f"    {name}.append(item)")
            lines.append(f"{name} = tuple({name})")
        elif origin is types.UnionType:
            inner = self.source.bind("read", reader(typing.get_args(field_type)[0]))
            self.fixed("?", name)
            self.flush()
            lines.append(f"{name}, offset = {inner}(data, offset, size) if {name} else (None, offset)")
        elif dataclasses.is_dataclass(field_type):
            inner = self.source.bind("read", reader(field_type))
            self.flush()
            lines.append(f"{name}, offset = {inner}(data, offset, size)")
        else:
            raise TypeError(f"no struct form for {field_type}")
        return name


def is_plainly_made(record_type: typing.Any) -> bool:
    """Whether making a record is no more than setting its many fields, so that they may be set all at once.

    That is faster, but such a record takes 140 bytes more.
    """
    return (
        len(dataclasses.fields(record_type)) > MOST_FIELDS_SET_SINGLY
        and all(field.init for field in dataclasses.fields(record_type))
        and not hasattr(record_type, "__post_init__")
        and all("__slots__" not in vars(base) for base in record_type.__mro__[:-1])
    )


WRITERS: dict[object, typing.Callable] = {}
READERS: dict[object, typing.Callable] = {}


def writer(field_type: typing.Any) -> typing.Callable:
    """The function ``write(value, extend)`` of a type, made at first use; a type that holds itself calls itself."""
    if field_type not in WRITERS:
        WRITERS[field_type] = lambda value, extend: WRITERS[field_type](value, extend)  # noqa: PLW0108 - looked up when called
        try:
            writing = WriterSource()
            if dataclasses.is_dataclass(field_type):
                for name, inner in field_types(field_type):
                    writing.value(inner, f"value.{name}")
            else:
                writing.value(field_type, "value")
            writing.flush()
            writing.source.lines.append("return")
            WRITERS[field_type] = writing.source.function("write(value, extend)")
        except BaseException:
            del WRITERS[field_type]
            raise
    return WRITERS[field_type]


def reader(field_type: typing.Any) -> typing.Callable:
    """The function ``read(data, offset, size)`` of a type, made at first use: the value and the offset behind it."""
    if field_type not in READERS:
        READERS[field_type] = lambda data, offset, size: READERS[field_type](data, offset, size)  # noqa: PLW0108 - as above
        try:
            reading = ReaderSource()
            lines = reading.source.lines
            if dataclasses.is_dataclass(field_type):
                names = [name for name, _ in field_types(field_type)]
                values = [reading.value(inner) for _, inner in field_types(field_type)]
                reading.flush()
                made = reading.source.bind("made", field_type)
                if is_plainly_made(field_type):
                    new = reading.source.bind("new", object.__new__)
                    fields = ", ".join(f"{name}={value}" for name, value in zip(names, values, strict=False))
                    lines.append(f"made = {new}({made})")
                    lines.append(f"made.__dict__.update({fields})")
                    lines.append("return made, offset")
                else:
                    lines.append(f"return {made}({', '.join(values)}), offset")
            else:
                value = reading.value(field_type)
                reading.flush()
                lines.append(f"return {value}, offset")
            READERS[field_type] = reading.source.function("read(data, offset, size)")
        except BaseException:
            del READERS[field_type]
            raise
    return READERS[field_type]


def write(field_type: typing.Any, value: object, into: bytearray) -> None:
    """Append one value of a declared type."""
    pieces: list[bytes] = []
    writer(field_type)(value, pieces.extend)
    into += b"".join(pieces)


def read(field_type: typing.Any, data: bytes, offset: int) -> tuple[typing.Any, int]:
    """One value of a declared type and the offset behind it; struct.error or CodecError when there is none."""
    return reader(field_type)(bytes(data), offset, len(data))


def pieces(value: object) -> list[bytes]:
    """A record's bytes, without its kind, in pieces: the bytes it holds are not copied."""
    found: list[bytes] = []
    writer(type(value))(value, found.extend)
    return found


def pack(value: object) -> bytes:
    """A record's bytes, without its kind."""
    return b"".join(pieces(value))


def unpack_from(record_type: type, data: bytes, offset: int) -> tuple[typing.Any, int]:
    """The record that stands at an offset and the offset behind it; CodecError when there is none."""
    if type(data) is not bytes:
        data = bytes(data)
    try:
        return reader(record_type)(data, offset, len(data))
    except (struct.error, UnicodeDecodeError, OverflowError) as error:
        raise CodecError(str(error)) from error


def unpack(record_type: type, data: bytes) -> typing.Any:
    """The record that the bytes hold; CodecError when they hold none or more."""
    value, offset = unpack_from(record_type, data, 0)
    if offset != len(data):
        raise CodecError("bytes are left over")
    return value


def tagged(value: object) -> bytes:
    """A record's bytes behind its kind number."""
    return b"".join([TAG.pack(NUMBERS[type(value)]), *pieces(value)])


def untagged(data: bytes) -> typing.Any:
    """The record behind a kind number."""
    if len(data) < 2:
        raise CodecError("no kind")
    record_type = KINDS.get(TAG.unpack_from(data)[0])
    if record_type is None:
        raise CodecError("unknown kind")
    value, offset = unpack_from(record_type, data, TAG.size)
    if offset != len(data):
        raise CodecError("bytes are left over")
    return value
