"""A crash-safe store over dbm.dumb: only new keys, every record checked, the index rebuilt by scan.

A store is a folder with one subfolder for each generation and the file ``current``, which names the one in force.
"""

import collections.abc
import contextlib
import dataclasses
import dbm.dumb
import errno
import os
import pathlib
import typing

import logbook

from aspencroft.runtime import environment
from aspencroft.storage import data_file

LOG = logbook.Logger("storage.store")
CURRENT = "current"
LOST_BY_DISK = 1
"""Records: a disk that loses so many of its last synced ones is not yet taken for damaged."""


class OpenedStore(typing.NamedTuple):
    """A store, the records it was opened with, and what the opening found."""

    store: "Store"
    records: tuple[data_file.Record, ...]
    condition: data_file.Condition


@dataclasses.dataclass(frozen=True)
class GenerationPointer:
    """The generation in force, and how many records were synced in it when it was pointed to."""

    generation: int
    record_count: int

    def text(self) -> str:
        """The pointer as its file holds it.

        Example: ``GenerationPointer(3, 120).text() == "3 120"``
        """
        return f"{self.generation} {self.record_count}"


def read_pointer(path: pathlib.Path) -> GenerationPointer | None:
    """What a pointer file says; none when it is unreadable. Former files name the generation alone."""
    words = path.read_text(errors="replace").split()
    if not words or not all(word.isdigit() for word in words):
        return None
    return GenerationPointer(int(words[0]), int(words[1]) if len(words) > 1 else 0)


class Store:
    """An append-only list of records in generations of dbm.dumb files.

    Either all records of an append last or none: after a failed one (no space, an input or output error) its bytes are
    cut off before anything is written behind them, since a torn record amid sound ones would read as damage.
    Methods that write raise OSError where the disk does.
    """

    def __init__(self, folder: pathlib.Path, disk: environment.Disk, generation: int) -> None:
        self.folder = folder
        self.disk = disk
        self.generation = generation
        self.record_count = 0
        self.synced_count = 0
        self.has_failed_append = False
        self.superseded_folder: pathlib.Path | None = None
        # Any: the class of dbm.dumb is private, and so is its flag `_modified` that is reset below.
        self.database: typing.Any = None

    def generation_folder(self) -> pathlib.Path:
        """The folder of this store's generation."""
        return self.folder / f"generation-{self.generation}"

    def open_files(self, extents: collections.abc.Sequence[data_file.Extent]) -> None:
        """Make data and index agree with the records that were found, then open the files."""
        data_path, index_path = self.generation_folder() / "journal.dat", self.generation_folder() / "journal.dir"
        end = extents[-1].end if extents else 0
        size = data_path.stat().st_size
        if size != end:
            LOG.warning(
                "store {}: cut off a torn tail; generation={} records kept={} bytes dropped={}",
                self.folder,
                self.generation,
                len(extents),
                size - end,
            )
            os.truncate(data_path, end)
            self.disk.synchronise(data_path)
        rows = ((extent.offset, extent.length) for extent in extents)
        index = "".join(f"{format(number, '016x')!r}, {row!r}\n" for number, row in enumerate(rows))
        if not index_path.exists() or index_path.read_text("latin-1", errors="replace") != index:
            fresh = self.generation_folder() / "journal.fresh"
            fresh.write_text(index, "latin-1")
            # The new index is complete on the disk before it takes the old one's name.
            self.disk.synchronise(fresh)
            os.replace(fresh, index_path)
            self.disk.synchronise(self.generation_folder())
        self.database = dbm.dumb.open(str(self.generation_folder() / "journal"), "c")  # noqa: SIM115 - open as long as the store
        self.record_count = self.synced_count = len(extents)
        self.has_failed_append = False

    def append(self, records: tuple[data_file.Record, ...]) -> None:
        """Write records and sync them, all or none."""
        self.finish_interrupted_work()
        # Until both files are synced, whatever stands behind the synced records is a failed append's.
        self.has_failed_append = True
        self.write_unsynced(records)
        for name in ("journal.dat", "journal.dir"):
            self.disk.synchronise(self.generation_folder() / name)
        self.has_failed_append, self.synced_count = False, self.record_count

    def finish_interrupted_work(self) -> None:
        """Finish what an earlier failure left: a pointer that was not synced, the bytes of a failed append."""
        if self.superseded_folder is not None:
            self.finish_switch()
        if self.has_failed_append:
            self.cut_off_failed_append()

    def cut_off_failed_append(self) -> None:
        """Cut off all that was written since the last append that succeeded.

        Raises:
            OSError: synced records are gone, or the disk fails again.

        """
        with (self.generation_folder() / "journal.dat").open("rb") as file:
            extents = data_file.find_extents(data_file.FileBytes(file), self.synced_count)
        if len(extents) < self.synced_count:
            missing = self.synced_count - len(extents)
            raise OSError(errno.EIO, f"{missing} lasting values of {self.generation_folder()} are gone")
        self.open_files(extents)

    def write_unsynced(self, records: collections.abc.Iterable[data_file.Record]) -> None:
        """Write records under new keys; a later ``append`` syncs them."""
        try:
            for record in records:
                encoded = data_file.encode_record(self.record_count, record, self.synced_count)
                self.database[format(self.record_count, "016x")] = encoded
                self.record_count += 1
        finally:
            # dbm.dumb would rewrite its whole index when it is closed.
            self.database._modified = False

    def replace(self, records: tuple[data_file.Record, ...]) -> None:
        """Write a new generation that holds just these records, then point to it.

        Raises:
            OSError: the generation was not written; the former one stays in force.

        """
        fresh = self.successor(self.generation + 1)
        try:
            fresh.create_empty()
            fresh.append(records)
            fresh.put_in_force(self.generation_folder())
        except OSError:
            fresh.discard()
            raise
        self.generation, self.database = fresh.generation, fresh.database
        self.superseded_folder = fresh.superseded_folder
        self.record_count, self.synced_count = fresh.record_count, fresh.synced_count
        self.has_failed_append = fresh.has_failed_append

    def successor(self, generation: int) -> "Store":
        """A store for a later generation of the same folder; it counts only once it is put in force."""
        return Store(self.folder, self.disk, generation)

    def create_empty(self) -> None:
        """Begin the generation with no records, whatever was left of one with its number."""
        remove_generation(self.generation_folder())
        self.generation_folder().mkdir(parents=True, exist_ok=True)
        (self.generation_folder() / "journal.dat").write_bytes(b"")
        self.open_files(())

    def put_in_force(self, superseded_folder: pathlib.Path) -> None:
        """Point to this generation, whose records were synced, and remove an older one.

        Where just the last sync fails, either may be in force after a loss of power: they hold the same then, and
        ``append`` adds nothing before that sync succeeded.

        Raises:
            OSError: the older generation is in force.

        """
        # The generation's names are synced before the pointer names it, and the pointer's bytes before its rename:
        # a loss of power at any step leaves a pointer to a complete generation.
        self.disk.synchronise(self.generation_folder())
        self.disk.synchronise(self.folder)
        fresh = self.folder / "current.fresh"
        fresh.write_text(GenerationPointer(self.generation, self.synced_count).text())
        self.disk.synchronise(fresh)
        os.replace(fresh, self.folder / CURRENT)
        self.superseded_folder = superseded_folder
        with contextlib.suppress(OSError):
            self.finish_switch()

    def finish_switch(self) -> None:
        """Sync the pointer's rename, and only then remove the generation that it superseded."""
        self.disk.synchronise(self.folder)
        if self.superseded_folder is not None:
            remove_generation(self.superseded_folder)
        self.superseded_folder = None

    def discard(self) -> None:
        """Remove a generation that was never pointed to."""
        remove_generation(self.generation_folder())


def remove_generation(folder: pathlib.Path) -> None:
    """Remove a generation's folder and the files in it, by their names alone; what cannot be removed stays."""
    try:
        for name in os.listdir(folder):
            os.unlink(folder / name)
        os.rmdir(folder)
    except OSError:
        return


def make_durable_folder(folder: pathlib.Path, disk: environment.Disk) -> None:
    """Make a folder whose name outlives a loss of power, also where an earlier run made it and did not sync that."""
    folder.mkdir(parents=True, exist_ok=True)
    disk.synchronise(folder.parent)


def open_store(folder: pathlib.Path, disk: environment.Disk) -> OpenedStore:
    """Open the store in a folder; a damaged one is opened empty, in a new generation.

    Raises:
        OSError: the disk failed.

    """
    pointer_path = folder / CURRENT
    generations = [int(path.name.rsplit("-", 1)[1]) for path in folder.glob("generation-*")]
    if not pointer_path.exists():
        make_durable_folder(folder, disk)
        return start_empty(folder, disk, generations, data_file.Condition.EMPTY)
    pointer = read_pointer(pointer_path)
    found = scan_generation(folder, pointer, disk) if pointer is not None else None
    if pointer is None or found is None:
        LOG.error("store {}: damaged, starts empty; pointer={} generations={}", folder, pointer, sorted(generations))
        return start_empty(folder, disk, generations, data_file.Condition.DAMAGED)
    store = Store(folder, disk, pointer.generation)
    store.open_files(found.extents)
    # A process killed amid a switch may have left the pointer's rename unsynced: it lasts before the others go.
    disk.synchronise(folder)
    for generation in generations:
        if generation != store.generation:
            remove_generation(folder / f"generation-{generation}")
    return OpenedStore(store, found.records, found.condition)


def start_empty(
    folder: pathlib.Path, disk: environment.Disk, generations: list[int], condition: data_file.Condition
) -> OpenedStore:
    """Begin a new generation without records, behind all that are there."""
    store = Store(folder, disk, max(generations, default=0))
    store.replace(())
    return OpenedStore(store, (), condition)


def scan_generation(folder: pathlib.Path, pointer: GenerationPointer, disk: environment.Disk) -> data_file.Scan | None:
    """Read the generation that is pointed to; none when it is missing or damaged.

    What a killed process wrote and did not sync is read like all else, and is acted on: it is synced first.
    """
    data_path = folder / f"generation-{pointer.generation}" / "journal.dat"
    if not data_path.exists():
        return None
    disk.synchronise(data_path)
    with data_path.open("rb") as file:
        found = data_file.scan(data_file.FileBytes(file))
    missing = pointer.record_count - len(found.records)
    return None if found.condition is data_file.Condition.DAMAGED or missing > LOST_BY_DISK else found


class NoSyncDisk:
    """A disk that syncs nothing, for tests."""

    def synchronise(self, path: pathlib.Path) -> None:
        """Nothing to do."""
