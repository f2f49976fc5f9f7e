"""A crash-safe store based on dbm.dumb: keys are only added, every record has a checksum, a scan rebuilds the index.

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
MAX_LOST_RECORDS = 1
"""Number of last synced records that a disk may lose without its store counting as damaged."""


class OpenedStore(typing.NamedTuple):
    """An opened store, the records found in it, and its condition."""

    store: "Store"
    records: tuple[data_file.Record, ...]
    condition: data_file.Condition


@dataclasses.dataclass(frozen=True)
class GenerationPointer:
    """The generation in force, and the number of its records that were synced when the pointer was written."""

    generation: int
    record_count: int

    def text(self) -> str:
        """The contents of the pointer file.

        Example: ``GenerationPointer(3, 120).text() == "3 120"``
        """
        return f"{self.generation} {self.record_count}"


def read_pointer(path: pathlib.Path) -> GenerationPointer | None:
    """Read a pointer file; None if it is unreadable. Files of former versions name only the generation."""
    words = path.read_text(errors="replace").split()
    if not words or not all(word.isdigit() for word in words):
        return None
    return GenerationPointer(int(words[0]), int(words[1]) if len(words) > 1 else 0)


class Store:
    """An append-only list of records in generations of dbm.dumb files.

    Either all records of an append are durable or none. After a failed append (no space, I/O error) its bytes are cut
    off before anything else is written: a torn record between intact ones would be taken for damage.
    Methods that write raise OSError when the disk fails.
    """

    def __init__(self, folder: pathlib.Path, disk: environment.Disk, generation: int) -> None:
        self.folder = folder
        self.disk = disk
        self.generation = generation
        self.record_count = 0
        self.synced_count = 0
        self.has_failed_append = False
        self.superseded_folder: pathlib.Path | None = None
        # Any: the class of dbm.dumb is private, and so is its flag `_modified`, which `write_unsynced` resets.
        self.database: typing.Any = None

    def generation_folder(self) -> pathlib.Path:
        """The folder of this store's generation."""
        return self.folder / f"generation-{self.generation}"

    def open_files(self, extents: collections.abc.Sequence[data_file.Extent]) -> None:
        """Make data file and index match the records that were found, then open the files."""
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
            # The new index is durable before it is renamed to replace the old one.
            self.disk.synchronise(fresh)
            os.replace(fresh, index_path)
            self.disk.synchronise(self.generation_folder())
        self.database = dbm.dumb.open(str(self.generation_folder() / "journal"), "c")  # noqa: SIM115 - open as long as the store
        self.record_count = self.synced_count = len(extents)
        self.has_failed_append = False

    def append(self, records: tuple[data_file.Record, ...]) -> None:
        """Write records and sync them, all or none."""
        self.finish_interrupted_work()
        # Until both files are synced, all bytes after the synced records belong to a failed append.
        self.has_failed_append = True
        self.write_unsynced(records)
        for name in ("journal.dat", "journal.dir"):
            self.disk.synchronise(self.generation_folder() / name)
        self.has_failed_append, self.synced_count = False, self.record_count

    def finish_interrupted_work(self) -> None:
        """Complete work that an earlier failure interrupted: sync the pointer, cut off the bytes of a failed append."""
        if self.superseded_folder is not None:
            self.finish_switch()
        if self.has_failed_append:
            self.cut_off_failed_append()

    def cut_off_failed_append(self) -> None:
        """Cut off everything written since the last successful append.

        Raises:
            OSError: Synced records are missing, or the disk fails again.

        """
        with (self.generation_folder() / "journal.dat").open("rb") as file:
            extents = data_file.find_extents(data_file.FileBytes(file), self.synced_count)
        if len(extents) < self.synced_count:
            missing = self.synced_count - len(extents)
            raise OSError(errno.EIO, f"{missing} synced records of {self.generation_folder()} are missing")
        self.open_files(extents)

    def write_unsynced(self, records: collections.abc.Iterable[data_file.Record]) -> None:
        """Write records under new keys; a later ``append`` syncs them."""
        try:
            for record in records:
                encoded = data_file.encode_record(self.record_count, record, self.synced_count)
                self.database[format(self.record_count, "016x")] = encoded
                self.record_count += 1
        finally:
            # Without this, dbm.dumb would rewrite its whole index on close.
            self.database._modified = False

    def replace(self, records: tuple[data_file.Record, ...]) -> None:
        """Write a new generation with only these records, then put it in force.

        Raises:
            OSError: The generation was not written; the former one remains in force.

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
        """Create a store for a later generation in the same folder; it is not used before it is put in force."""
        return Store(self.folder, self.disk, generation)

    def create_empty(self) -> None:
        """Create the generation without records, replacing any remains of one with the same number."""
        remove_generation(self.generation_folder())
        self.generation_folder().mkdir(parents=True, exist_ok=True)
        (self.generation_folder() / "journal.dat").write_bytes(b"")
        self.open_files(())

    def put_in_force(self, superseded_folder: pathlib.Path) -> None:
        """Point to this generation, whose records are synced, and remove an older one.

        If only the last sync fails, either generation may be in force after a power loss: they are equivalent then, and
        ``append`` writes nothing before that sync has succeeded.

        Raises:
            OSError: The older generation is in force.

        """
        # The generation's directory entries are synced before the pointer names it, and the pointer's bytes before its
        # rename: a power loss at any step leaves a pointer to a complete generation.
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
        """Sync the rename of the pointer, and only then remove the superseded generation."""
        self.disk.synchronise(self.folder)
        if self.superseded_folder is not None:
            remove_generation(self.superseded_folder)
        self.superseded_folder = None

    def discard(self) -> None:
        """Remove a generation that was never put in force."""
        remove_generation(self.generation_folder())


def remove_generation(folder: pathlib.Path) -> None:
    """Remove a generation's folder and its files by name, without reading them; what can't be removed stays."""
    try:
        for name in os.listdir(folder):
            os.unlink(folder / name)
        os.rmdir(folder)
    except OSError:
        return


def make_durable_folder(folder: pathlib.Path, disk: environment.Disk) -> None:
    """Create a folder that survives a power loss, also if an earlier run created it without a sync."""
    folder.mkdir(parents=True, exist_ok=True)
    disk.synchronise(folder.parent)


def open_store(folder: pathlib.Path, disk: environment.Disk) -> OpenedStore:
    """Open the store in a folder; a damaged one is opened empty, in a new generation.

    Raises:
        OSError: The disk failed.

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
    # A process killed during a switch may have left the pointer's rename unsynced: sync it before removing generations.
    disk.synchronise(folder)
    for generation in generations:
        if generation != store.generation:
            remove_generation(folder / f"generation-{generation}")
    return OpenedStore(store, found.records, found.condition)


def start_empty(
    folder: pathlib.Path, disk: environment.Disk, generations: list[int], condition: data_file.Condition
) -> OpenedStore:
    """Create a new generation without records, numbered after all existing ones."""
    store = Store(folder, disk, max(generations, default=0))
    store.replace(())
    return OpenedStore(store, (), condition)


def scan_generation(folder: pathlib.Path, pointer: GenerationPointer, disk: environment.Disk) -> data_file.Scan | None:
    """Read the generation in force; None if it is missing or damaged.

    Records that a killed process wrote without a sync are read and acted on like all others, so they are synced first.
    """
    data_path = folder / f"generation-{pointer.generation}" / "journal.dat"
    if not data_path.exists():
        return None
    disk.synchronise(data_path)
    with data_path.open("rb") as file:
        found = data_file.scan(data_file.FileBytes(file))
    missing = pointer.record_count - len(found.records)
    return None if found.condition is data_file.Condition.DAMAGED or missing > MAX_LOST_RECORDS else found


class NoSyncDisk:
    """A disk without syncs, for tests."""

    def synchronise(self, path: pathlib.Path) -> None:
        """Do nothing."""
