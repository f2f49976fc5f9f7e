"""A replica's data on disk: generations of records, each begun by a snapshot, one of them in force.

A generation that replaces another is written beside it and takes its place by one durable step, so that a crash at any
moment leaves the older or the newer one, whole.
"""

import asyncio
import collections
import collections.abc
import datetime
import itertools
import pathlib
import typing

import logbook

from aspencroft.replication import log_records
from aspencroft.runtime import clock, environment
from aspencroft.storage import data_file, store

LOG = logbook.Logger("replication.storage")

STALLED_AFTER = clock.seconds(1.5)
"""A write that has not returned for so long counts as stalled: a healthy disk syncs in milliseconds."""

DISK_RETRY = clock.seconds(2)
"""Pause before disk work that failed is tried again."""


class LoadedRecords(typing.NamedTuple):
    """What the disk held at the start. The reader empties the queue, so that it never holds all records twice."""

    unread: collections.deque[data_file.Record]
    condition: data_file.Condition


class ReplicaStorage:
    """The generations of one replica.

    ``write_lock`` is held around each write together with the change in memory that it stands for, where the two must
    not be parted by another write.
    """

    def __init__(
        self,
        node_environment: environment.Environment,
        folder: pathlib.Path,
        group_id: int,
        header_records: collections.abc.Callable[[], list[log_records.StoredRecord]],
    ) -> None:
        self.environment = node_environment
        self.folder = folder
        self.group_id = group_id
        self.header_records = header_records
        self.loaded: store.Store | None = None
        self.latest_generation = 0
        self.write_lock = asyncio.Lock()
        self.write_started: datetime.timedelta | None = None
        self.snapshot_tail: list[data_file.Record] | None = None
        """Items written since a snapshot was begun, which belong behind it; None while none is, or once it is void."""

    @property
    def current(self) -> store.Store:
        """The generation in force."""
        assert self.loaded is not None, f"the storage of group {self.group_id} is not loaded"
        return self.loaded

    async def load(self) -> LoadedRecords:
        """Read the generation in force; tried again while the disk fails, as a replica can do nothing without it."""
        while True:
            try:
                self.loaded, items, condition = await self.environment.disk.perform(
                    store.open_store, self.folder, self.environment.disk
                )
                self.latest_generation = self.current.generation
                return LoadedRecords(collections.deque(items), condition)
            except OSError as error:
                LOG.warning(
                    "disk fault on load: group {}, folder {}, retry in {} s: {}",
                    self.group_id,
                    self.folder,
                    DISK_RETRY.total_seconds(),
                    error,
                )
            await clock.sleep(DISK_RETRY)

    async def write_items(self, items: tuple[data_file.Record, ...]) -> None:
        """Append items to the generation in force, and to the snapshot that is being written beside it.

        Raises:
            OSError: The disk failed; none of the items counts as written.

        """
        async with self.write_lock:
            self.write_started = clock.now()
            try:
                await self.environment.disk.perform(self.current.append, items)
            except OSError as error:
                LOG.warning(
                    "disk fault on write: group {}, {} records not written: {}", self.group_id, len(items), error
                )
                raise
            finally:
                self.write_started = None
            if self.snapshot_tail is not None:
                self.snapshot_tail.extend(items)

    def is_stalled(self) -> bool:
        """Whether a write has not returned for so long that another member had better be the primary."""
        return self.write_started is not None and clock.now() - self.write_started > STALLED_AFTER

    async def rewrite(
        self, snapshot: log_records.EncodedSnapshot, entries: collections.abc.Sequence[log_records.Entry]
    ) -> None:
        """Replace the generation in force by a snapshot and entries, while the caller holds ``write_lock``.

        A snapshot that is being written becomes void, as it shows a log that is replaced here.

        Raises:
            OSError: The disk failed; the older generation stays in force.

        """
        self.snapshot_tail = None
        generation = self.create_generation()
        try:
            await self.write_generation(generation, snapshot, entries)
            await self.switch_to(generation)
        except OSError:
            await self.discard(generation)
            raise

    def create_generation(self) -> store.Store:
        """The store of a new generation, under a number that no other has had."""
        self.latest_generation = max(self.latest_generation, self.current.generation) + 1
        return self.current.successor(self.latest_generation)

    async def write_generation(
        self,
        generation: store.Store,
        snapshot: log_records.EncodedSnapshot,
        entries: collections.abc.Sequence[log_records.Entry],
    ) -> None:
        """Write a header, a snapshot and entries into a new generation, a bounded number of bytes at a time.

        Only the last step syncs; nothing points to the generation before that.

        Raises:
            OSError: The disk failed.

        """
        await self.environment.disk.perform(generation.create_empty)
        waiting: list[data_file.Record] = []
        size = 0
        for record in itertools.chain(self.header_records(), snapshot.stored_records(), tuple(entries)):
            waiting.append(log_records.encode_item(record))
            size += len(waiting[-1].payload)
            if size >= log_records.STORED_CHUNK_BYTES:
                await self.environment.disk.perform(generation.write_unsynced, waiting)
                waiting, size = [], 0
        await self.environment.disk.perform(generation.append, waiting)

    async def switch_to(self, generation: store.Store) -> None:
        """Make a complete generation the one in force; the pointer is durable before the older one is removed.

        Raises:
            OSError: The disk failed.

        """
        await self.environment.disk.perform(generation.put_in_force, self.current.generation_folder())
        self.loaded = generation

    async def discard(self, generation: store.Store) -> None:
        """Remove a generation that did not come into force."""
        await self.environment.disk.perform(generation.discard)
