"""A crash-safe store over dbm.dumb: only new keys, every value checked, the index rebuilt by scan."""

import collections.abc
import contextlib
import dataclasses
import dbm.dumb
import enum
import errno
import os
import pathlib
import struct
import typing
import zlib

from aspencroft.runtime import environment

HEADER = struct.Struct(">4sQIQQ")
CHECK = struct.Struct(">I")
OVERHEAD = HEADER.size + CHECK.size
MAGIC = b"acv2"
FORMER_HEADER = struct.Struct(">4sQIQ")
FORMER_MAGIC = b"acv1"
BLOCK = 512
CURRENT = "current"
LOST_BY_DISK = 1


class Condition(enum.Enum):
    """What opening a store found."""

    EMPTY = "empty"
    SOUND = "sound"
    DAMAGED = "damaged"


@dataclasses.dataclass(frozen=True)
class Item:
    """One stored value under its epoch."""

    epoch: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Scan:
    """What a data file holds: items with their places, the end of the last, and its soundness."""

    items: tuple[Item, ...]
    places: tuple[tuple[int, int], ...]
    end: int
    condition: Condition


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """A whole value found in a data file; ``synced`` is how many values lasted on the disk before it was written."""

    index: int
    item: Item
    synced: int
    end: int


def value(index: int, item: Item, synced: int) -> bytes:
    """The bytes stored under the key of an index."""
    header = HEADER.pack(MAGIC, index, len(item.payload), item.epoch, synced)
    return header + CHECK.pack(zlib.crc32(item.payload, zlib.crc32(header))) + item.payload


class FileBytes:
    """A file's bytes, read where they are looked at, so that a large file is never in memory as a whole."""

    def __init__(self, file: typing.BinaryIO):
        self.descriptor = file.fileno()
        self.size = os.fstat(self.descriptor).st_size

    def __len__(self) -> int:
        return self.size

    def __getitem__(self, span: slice) -> bytes:
        start, stop, _ = span.indices(self.size)
        return os.pread(self.descriptor, max(0, stop - start), start)


def value_at(data: bytes | FileBytes, place: int) -> StoredValue | None:
    """The value at a place, or nothing when it is not whole.

    Values of the former format count as written one by one, each after all before it lasted.
    """
    magic = data[place : place + len(MAGIC)]
    layout = {MAGIC: HEADER, FORMER_MAGIC: FORMER_HEADER}.get(magic)
    if layout is None or place + layout.size + CHECK.size > len(data):
        return None
    begin = place + layout.size + CHECK.size
    header, check = data[place : place + layout.size], data[place + layout.size : begin]
    _, index, length, epoch, *rest = layout.unpack(header)
    end = begin + length
    if end > len(data):
        return None
    payload = data[begin:end]
    if zlib.crc32(payload, zlib.crc32(header)) != CHECK.unpack(check)[0]:
        return None
    return StoredValue(index, Item(epoch, payload), rest[0] if rest else index, end)


def first_places(data: bytes | FileBytes, count: int) -> list[tuple[int, int]]:
    """Where the first values are, at most so many.

    Example: ``first_places(b"", 3) == []``
    """
    places, place = [], 0
    while len(places) < count and (found := value_at(data, place)) is not None and found.index == len(places):
        places.append((place, found.end - place))
        place = (found.end + BLOCK - 1) // BLOCK * BLOCK
    return places


def scan(data: bytes | FileBytes) -> Scan:
    """Read a data file front to back.

    A value that is not whole ends the items. Where a later one was written after that value lasted,
    the file is damaged;
    else the later ones are of the same batch, which was not synced when the power went: each of its values may be there
    or missing.

    Example: ``scan(b"").condition is Condition.EMPTY``
    """
    items, places, end, place = [], [], 0, 0
    while (found := value_at(data, place)) is not None and found.index == len(items):
        items.append(found.item)
        places.append((place, found.end - place))
        end = found.end
        place = (end + BLOCK - 1) // BLOCK * BLOCK
    for later in range(place, len(data), BLOCK):
        beyond = value_at(data, later)
        if beyond is not None and beyond.synced > len(items):
            return Scan(tuple(items), tuple(places), end, Condition.DAMAGED)
    return Scan(tuple(items), tuple(places), end, Condition.SOUND if items else Condition.EMPTY)


@dataclasses.dataclass(frozen=True)
class Pointer:
    """The generation in force, and how many values lasted in it when it was pointed to.

    Example: ``Pointer(3, 120).text() == "3 120"``
    """

    generation: int
    count: int

    def text(self) -> str:
        """The pointer as its file holds it.

        Example: ``Pointer(3, 120).text() == "3 120"``
        """
        return f"{self.generation} {self.count}"


def read_pointer(path: pathlib.Path) -> Pointer | None:
    """What a pointer file says; none when it says nothing of the kind. Former files name the generation alone."""
    words = path.read_text(errors="replace").split()
    if not words or not all(word.isdigit() for word in words):
        return None
    return Pointer(int(words[0]), int(words[1]) if len(words) > 1 else 0)


class Store:
    """An append-only list of items in generations of dbm.dumb files.

    Either all items of an append last or none: after a failed one (no space, an input or output error) its bytes are
    cut off before anything is written behind them, since a torn value amid sound ones would read as damage.
    """

    def __init__(self, folder: pathlib.Path, disk: environment.Disk, generation: int):
        self.folder = folder
        self.disk = disk
        self.generation = generation
        self.count = 0
        self.synced = 0
        self.torn = False
        self.replaced: pathlib.Path | None = None
        self.database = None

    def home(self) -> pathlib.Path:
        """The folder of the generation in force."""
        return self.folder / f"generation-{self.generation}"

    def open(self, found: Scan) -> None:
        """Make index and data agree with the scan, then open the files."""
        data_file, index_file = self.home() / "journal.dat", self.home() / "journal.dir"
        if data_file.stat().st_size != found.end:
            os.truncate(data_file, found.end)
            self.disk.synchronise(data_file)
        index = "".join(f"{format(number, '016x')!r}, {place!r}\n" for number, place in enumerate(found.places))
        if not index_file.exists() or index_file.read_text("latin-1", errors="replace") != index:
            fresh = self.home() / "journal.fresh"
            fresh.write_text(index, "latin-1")
            self.disk.synchronise(fresh)
            os.replace(fresh, index_file)
            self.disk.synchronise(self.home())
        self.database = dbm.dumb.open(str(self.home() / "journal"), "c")  # noqa: SIM115 - open as long as the store
        self.count = self.synced = len(found.places)
        self.torn = False

    def append(self, items: tuple[Item, ...]) -> None:
        """Add items and make them last, all or none."""
        self.prepare()
        self.torn = True
        self.add(items)
        for name in ("journal.dat", "journal.dir"):
            self.disk.synchronise(self.home() / name)
        self.torn, self.synced = False, self.count

    def prepare(self) -> None:
        """Finish what an earlier failure left: a pointer that was not made to last, the bytes of a failed append."""
        if self.replaced is not None:
            self.finish_point()
        if self.torn:
            self.undo()

    def undo(self) -> None:
        """Cut off all that was added since the last append that succeeded."""
        with (self.home() / "journal.dat").open("rb") as file:
            places = first_places(FileBytes(file), self.synced)
        if len(places) < self.synced:
            raise OSError(errno.EIO, f"{self.synced - len(places)} lasting values of {self.home()} are gone")
        end = places[-1][0] + places[-1][1] if places else 0
        self.open(Scan((), tuple(places), end, Condition.SOUND))

    def add(self, items: collections.abc.Iterable[Item]) -> None:
        """Write items under new keys; the index that dbm.dumb would rewrite at its end stays unused."""
        try:
            for item in items:
                self.database[format(self.count, "016x")] = value(self.count, item, self.synced)
                self.count += 1
        finally:
            self.database._modified = False

    def replace(self, items: tuple[Item, ...]) -> None:
        """Write a new generation that holds just these items, then point to it; this one stays in force if that
        fails.
        """
        fresh = self.successor(self.generation + 1)
        try:
            fresh.blank()
            fresh.append(items)
            fresh.point(self.home())
        except OSError:
            fresh.discard()
            raise
        self.generation, self.database, self.replaced = fresh.generation, fresh.database, fresh.replaced
        self.count, self.synced, self.torn = fresh.count, fresh.synced, fresh.torn

    def successor(self, generation: int) -> "Store":
        """A store for a later generation of the same folder; it counts only once it is pointed to."""
        return Store(self.folder, self.disk, generation)

    def blank(self) -> None:
        """Begin the generation with no items, whatever was left of one with its number."""
        remove(self.home())
        self.home().mkdir(parents=True, exist_ok=True)
        (self.home() / "journal.dat").write_bytes(b"")
        self.open(Scan((), (), 0, Condition.EMPTY))

    def point(self, old: pathlib.Path) -> None:
        """Point to this generation, whose items were synced, and remove an older one.

        An error means that the older one is in force. Where just the last sync fails, either may be after a loss of
        power: they hold the same then, and ``append`` adds nothing before that sync succeeded.
        """
        self.disk.synchronise(self.home())
        self.disk.synchronise(self.folder)
        fresh = self.folder / "current.fresh"
        fresh.write_text(Pointer(self.generation, self.synced).text())
        self.disk.synchronise(fresh)
        os.replace(fresh, self.folder / CURRENT)
        self.replaced = old
        with contextlib.suppress(OSError):
            self.finish_point()

    def finish_point(self) -> None:
        """Make the pointer last, then remove the generation that it replaced."""
        self.disk.synchronise(self.folder)
        remove(self.replaced)
        self.replaced = None

    def discard(self) -> None:
        """Remove a generation that was never pointed to."""
        remove(self.home())


def remove(home: pathlib.Path) -> None:
    """Remove a generation's folder and the files in it, by their names alone; what cannot be removed stays."""
    try:
        for name in os.listdir(home):
            os.unlink(home / name)
        os.rmdir(home)
    except OSError:
        return


def make_durable_folder(folder: pathlib.Path, disk: environment.Disk) -> None:
    """Make a folder whose name outlives a loss of power, also where an earlier run made it and did not sync that."""
    folder.mkdir(parents=True, exist_ok=True)
    disk.synchronise(folder.parent)


def load(folder: pathlib.Path, disk: environment.Disk) -> tuple[Store, tuple[Item, ...], Condition]:
    """Open the store in a folder; a damaged one is handed back with no items and starts anew."""
    pointer = folder / CURRENT
    generations = [int(path.name.rsplit("-", 1)[1]) for path in folder.glob("generation-*")]
    if not pointer.exists():
        make_durable_folder(folder, disk)
        kept = Store(folder, disk, max(generations, default=0))
        kept.replace(())
        return kept, (), Condition.EMPTY
    pointed = read_pointer(pointer)
    found = scan_generation(folder, pointed, disk) if pointed is not None else None
    if found is None:
        kept = Store(folder, disk, max(generations, default=0))
        kept.replace(())
        return kept, (), Condition.DAMAGED
    kept = Store(folder, disk, pointed.generation)
    kept.open(found)
    disk.synchronise(folder)
    for number in generations:
        if number != kept.generation:
            remove(folder / f"generation-{number}")
    return kept, found.items, found.condition


def scan_generation(folder: pathlib.Path, pointed: Pointer, disk: environment.Disk) -> Scan | None:
    """Read the generation that is pointed to; none when it is missing or damaged.

    What a killed process wrote and did not sync is read like all else, and is acted on: it is synced first.
    """
    data_file = folder / f"generation-{pointed.generation}" / "journal.dat"
    if not data_file.exists():
        return None
    disk.synchronise(data_file)
    with data_file.open("rb") as file:
        found = scan(FileBytes(file))
    missing = pointed.count - len(found.items)
    return None if found.condition is Condition.DAMAGED or missing > LOST_BY_DISK else found


class Inline:
    """A disk that syncs nothing, for tests."""

    def synchronise(self, path: pathlib.Path) -> None:
        """Nothing to do."""
