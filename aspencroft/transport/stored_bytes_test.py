"""Every kind of record keeps its bytes: samples written at commit f1498d9 are read and written back unchanged.

The samples are in ``stored_bytes.json``: for each kind number, hexadecimal bytes as ``codec.tagged`` writes them (the
kind number, then the record). Nothing in that file names a class, a field or a module, so it stays as it is when these
are renamed; a sample whose test fails shows that disks and nodes of the former version are no longer understood.

A new kind needs samples: ``python -m aspencroft.transport.stored_bytes_test`` adds them for kinds that have none. It
never changes one that is there.
"""

import dataclasses
import datetime
import importlib
import itertools
import json
import pathlib
import pkgutil
import types
import typing

import pytest

import aspencroft
from aspencroft.transport import codec

PATH = pathlib.Path(__file__).with_name("stored_bytes.json")
SAMPLES: dict[str, list[str]] = json.loads(PATH.read_text()) if PATH.exists() else {}
DEEPEST = 4


def registered() -> dict[int, type]:
    """Every kind number of the project with its record type.

    Example: ``len(registered()) > 100``
    """
    for module in pkgutil.walk_packages(aspencroft.__path__, "aspencroft."):
        if not module.name.endswith("_test"):
            importlib.import_module(module.name)
    return dict(sorted(codec.KINDS.items()))


class FullValues:
    """Values in which every field holds something: no two numbers, texts or bytes are the same."""

    items = 2
    present = True

    def __init__(self, number: int):
        self.next = itertools.count(number * 1000 + 1)

    def value(self, field_type, depth: int = 0):
        """A value of a field's type."""
        origin = typing.get_origin(field_type)
        if origin is tuple:
            inner = typing.get_args(field_type)[0]
            return tuple(self.value(inner, depth + 1) for _ in range(self.items if depth < DEEPEST else 0))
        if origin is types.UnionType:
            return self.value(typing.get_args(field_type)[0], depth + 1) if self.present and depth < DEEPEST else None
        if dataclasses.is_dataclass(field_type):
            return field_type(**{name: self.value(inner, depth + 1) for name, inner in codec.field_types(field_type)})
        return self.plain(field_type, next(self.next))

    def plain(self, field_type, number: int):
        """A value of a type without parts.

        Example: ``FullValues(20).plain(str, 5) == "text é 5"``
        """
        return {
            int: number << 24 | 1,
            float: number + 0.25,
            bool: True,
            str: f"text é {number}",
            bytes: b"\x00\xff bytes " + str(number).encode(),
            datetime.timedelta: datetime.timedelta(days=1, microseconds=number),
        }[field_type]


class SpareValues(FullValues):
    """Values with no items, no optional parts, flags that are off, and numbers below zero.

    Example: ``SpareValues(20).value(bool) is False``
    """

    items = 0
    present = False

    def plain(self, field_type, number: int):
        """A value of a type without parts.

        Example: ``SpareValues(20).plain(int, 5) == -5``
        """
        return {
            int: -number,
            float: -number / 8,
            bool: False,
            str: f"spare {number}",
            bytes: b"",
            datetime.timedelta: datetime.timedelta(microseconds=-number),
        }[field_type]


def samples_of(number: int, record_type: type) -> list[str]:
    """The samples of a kind; one where it has no fields."""
    values = (FullValues(number).value(record_type), SpareValues(number).value(record_type))
    return list(dict.fromkeys(codec.tagged(one).hex() for one in values))


def add_missing() -> None:
    """Write samples for kinds that have none, and leave all others as they are."""
    kinds = registered()
    samples = {int(number): row for number, row in SAMPLES.items()}
    for number in kinds.keys() - samples.keys():
        samples[number] = samples_of(number, kinds[number])
    text = json.dumps({str(number): samples[number] for number in sorted(samples)}, indent=1)
    PATH.write_text(text + "\n")


def test_every_registered_kind_has_samples_and_every_sample_has_a_registered_kind():
    assert sorted(map(int, SAMPLES)) == list(registered())
    assert all(SAMPLES.values())


@pytest.mark.parametrize("number", SAMPLES)
def test_samples_of_a_kind_are_read_and_written_back_byte_for_byte(number):
    kinds = registered()
    for text in SAMPLES[number]:
        data = bytes.fromhex(text)
        assert int.from_bytes(data[:2], "big") == int(number)
        value = codec.untagged(data)
        assert type(value) is kinds[int(number)]
        assert codec.tagged(value) == data
        assert codec.pack(value) == data[2:]


if __name__ == "__main__":
    add_missing()
