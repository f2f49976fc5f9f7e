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
WHOLE = struct.Struct(">q")
REAL = struct.Struct(">d")
FLAG = struct.Struct(">?")
MICROSECOND = datetime.timedelta(microseconds=1)
FIXED = {int: "q", float: "d", bool: "?", datetime.timedelta: "q"}
FEW = 4


class Broken(ValueError):
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


SHAPES: dict[type, tuple] = {}


def shapes(record_type: type) -> tuple:
    """Names and shapes of a dataclass's fields, looked up once."""
    if record_type not in SHAPES:
        hints = typing.get_type_hints(record_type)
        SHAPES[record_type] = tuple((field.name, hints[field.name]) for field in dataclasses.fields(record_type))
    return SHAPES[record_type]


class Source:
    """A function being written for one shape: its lines, the names they use, fixed fields that wait for one struct."""

    def __init__(self):
        self.lines: list[str] = []
        self.names: dict[str, object] = {"MICROSECOND": MICROSECOND, "Broken": Broken}
        self.count = 0

    def fresh(self, start: str) -> str:
        """A name that is not used yet."""
        self.count += 1
        return f"{start}{self.count}"

    def bind(self, start: str, value) -> str:
        """A fresh name for a value from outside."""
        name = self.fresh(start)
        self.names[name] = value
        return name

    def function(self, signature: str) -> typing.Callable:
        """The function, compiled."""
        text = "\n    ".join([f"def {signature}:", *self.lines])
        exec(compile(text, f"<record {signature}>", "exec"), self.names)
        return self.names[signature.split("(", maxsplit=1)[0]]


class Writing:
    """Writes the source that turns a value into pieces of bytes."""

    def __init__(self):
        self.source = Source()
        self.formats, self.values, self.pieces = "", [], []

    def fixed(self, one: str, expression: str) -> None:
        """A field of fixed length; neighbours go into one struct."""
        self.formats += one
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

    def value(self, shape, expression: str) -> None:
        """The steps for one value of a shape."""
        origin, lines = typing.get_origin(shape), self.source.lines
        if shape in FIXED:
            self.fixed(FIXED[shape], expression + (" // MICROSECOND" if shape is datetime.timedelta else ""))
        elif shape is str or shape is bytes:
            name = self.source.fresh("bytes")
            lines.append(f"{name} = {expression}" + (".encode()" if shape is str else ""))
            self.fixed("I", f"len({name})")
            self.piece(name)
        elif origin is tuple:
            name, item = self.source.fresh("items"), self.source.fresh("item")
            inner = self.source.bind("write", writer(typing.get_args(shape)[0]))
            lines.append(f"{name} = {expression}")
            self.fixed("I", f"len({name})")
            self.flush()
            lines.append(f"for {item} in {name}: {inner}({item}, extend)")
        elif origin is types.UnionType:
            name = self.source.fresh("maybe")
            inner = self.source.bind("write", writer(typing.get_args(shape)[0]))
            lines.append(f"{name} = {expression}")
            self.fixed("?", f"{name} is not None")
            self.flush()
            lines.append(f"if {name} is not None: {inner}({name}, extend)")
        elif dataclasses.is_dataclass(shape):
            self.flush()
            lines.append(f"{self.source.bind('write', writer(shape))}({expression}, extend)")
        else:
            raise TypeError(f"no struct form for {shape}")


class Reading:
    """Writes the source that takes a value out of bytes."""

    def __init__(self):
        self.source = Source()
        self.formats, self.targets, self.after = "", [], []

    def fixed(self, one: str, target: str) -> None:
        """A field of fixed length; neighbours come out of one struct."""
        self.formats += one
        self.targets.append(target)

    def flush(self) -> None:
        """Take out the fixed fields that wait."""
        if self.formats:
            layout = struct.Struct(">" + self.formats)
            unpack_from = self.source.bind("unpack", layout.unpack_from)
            self.source.lines.append(f"{', '.join(self.targets)}, = {unpack_from}(data, place)")
            self.source.lines.append(f"place += {layout.size}")
            self.source.lines += self.after
            self.formats, self.targets, self.after = "", [], []

    def value(self, shape) -> str:
        """The steps for one value of a shape; the name that will hold it."""
        origin, lines, name = typing.get_origin(shape), self.source.lines, self.source.fresh("value")
        if shape in FIXED:
            self.fixed(FIXED[shape], name)
            if shape is datetime.timedelta:
                self.after.append(f"{name} *= MICROSECOND")
        elif shape is str or shape is bytes:
            self.fixed("I", name)
            self.flush()
            lines.append(f"end = place + {name}")
            lines.append("if end > size: raise Broken('a length points past the end')")
            lines.append(f"{name} = data[place:end]" + (".decode()" if shape is str else ""))
            lines.append("place = end")
        elif origin is tuple:
            inner = self.source.bind("read", reader(typing.get_args(shape)[0]))
            self.fixed("I", "count")
            self.flush()
            lines.append("if count > size: raise Broken('a count points past the end')")
            lines.append(f"{name} = []")
            lines.append("for _ in range(count):")
            lines.append(f"    item, place = {inner}(data, place, size)")
            lines.append(f"    {name}.append(item)")
            lines.append(f"{name} = tuple({name})")
        elif origin is types.UnionType:
            inner = self.source.bind("read", reader(typing.get_args(shape)[0]))
            self.fixed("?", name)
            self.flush()
            lines.append(f"{name}, place = {inner}(data, place, size) if {name} else (None, place)")
        elif dataclasses.is_dataclass(shape):
            inner = self.source.bind("read", reader(shape))
            self.flush()
            lines.append(f"{name}, place = {inner}(data, place, size)")
        else:
            raise TypeError(f"no struct form for {shape}")
        return name


def plainly_made(record_type: type) -> bool:
    """Whether making a record is no more than setting its many fields, so that they may be set all at once.

    That is faster, but such a record takes 140 bytes more.
    """
    return (
        len(dataclasses.fields(record_type)) > FEW
        and all(field.init for field in dataclasses.fields(record_type))
        and not hasattr(record_type, "__post_init__")
        and all("__slots__" not in vars(one) for one in record_type.__mro__[:-1])
    )


WRITERS: dict[object, typing.Callable] = {}
READERS: dict[object, typing.Callable] = {}


def writer(shape) -> typing.Callable:
    """The function ``write(value, extend)`` of a shape, made at first use; a shape that holds itself calls itself."""
    if shape not in WRITERS:
        WRITERS[shape] = lambda value, extend: WRITERS[shape](value, extend)  # noqa: PLW0108 - looked up when called
        try:
            writing = Writing()
            if dataclasses.is_dataclass(shape):
                for name, inner in shapes(shape):
                    writing.value(inner, f"value.{name}")
            else:
                writing.value(shape, "value")
            writing.flush()
            writing.source.lines.append("return")
            WRITERS[shape] = writing.source.function("write(value, extend)")
        except BaseException:
            del WRITERS[shape]
            raise
    return WRITERS[shape]


def reader(shape) -> typing.Callable:
    """The function ``read(data, place, size)`` of a shape, made at first use: the value and the place behind it."""
    if shape not in READERS:
        READERS[shape] = lambda data, place, size: READERS[shape](data, place, size)  # noqa: PLW0108 - as above
        try:
            reading = Reading()
            lines = reading.source.lines
            if dataclasses.is_dataclass(shape):
                names = [name for name, _ in shapes(shape)]
                values = [reading.value(inner) for _, inner in shapes(shape)]
                reading.flush()
                made = reading.source.bind("made", shape)
                if plainly_made(shape):
                    new = reading.source.bind("new", object.__new__)
                    fields = ", ".join(f"{name}={value}" for name, value in zip(names, values, strict=False))
                    lines.append(f"one = {new}({made})")
                    lines.append(f"one.__dict__.update({fields})")
                    lines.append("return one, place")
                else:
                    lines.append(f"return {made}({', '.join(values)}), place")
            else:
                value = reading.value(shape)
                reading.flush()
                lines.append(f"return {value}, place")
            READERS[shape] = reading.source.function("read(data, place, size)")
        except BaseException:
            del READERS[shape]
            raise
    return READERS[shape]


def write(shape, value, into: bytearray) -> None:
    """Append one value of a declared shape."""
    pieces: list[bytes] = []
    writer(shape)(value, pieces.extend)
    into += b"".join(pieces)


def read(shape, data: bytes, place: int):
    """One value of a declared shape and the place behind it; struct.error or Broken when there is none."""
    return reader(shape)(bytes(data), place, len(data))


def pieces(value) -> list[bytes]:
    """A record's bytes, without its kind, in pieces: the bytes it holds are not copied."""
    found: list[bytes] = []
    writer(type(value))(value, found.extend)
    return found


def pack(value) -> bytes:
    """A record's bytes, without its kind."""
    return b"".join(pieces(value))


def unpack_from(record_type: type, data: bytes, place: int):
    """The record that stands at a place and the place behind it; Broken when there is none."""
    if type(data) is not bytes:
        data = bytes(data)
    try:
        return reader(record_type)(data, place, len(data))
    except (struct.error, UnicodeDecodeError, OverflowError) as error:
        raise Broken(str(error)) from error


def unpack(record_type: type, data: bytes):
    """The record that the bytes hold; Broken when they hold none or more."""
    value, place = unpack_from(record_type, data, 0)
    if place != len(data):
        raise Broken("bytes are left over")
    return value


def tagged(value) -> bytes:
    """A record's bytes behind its kind number."""
    return b"".join([TAG.pack(NUMBERS[type(value)]), *pieces(value)])


def untagged(data: bytes):
    """The record behind a kind number."""
    if len(data) < 2:
        raise Broken("no kind")
    record_type = KINDS.get(TAG.unpack_from(data)[0])
    if record_type is None:
        raise Broken("unknown kind")
    value, place = unpack_from(record_type, data, TAG.size)
    if place != len(data):
        raise Broken("bytes are left over")
    return value
