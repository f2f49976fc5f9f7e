"""A replica's data on disk: generations of records, each beginning with a snapshot; one generation is in force.

A new generation is written beside the current one and replaces it in one durable step, so that a crash at any moment
leaves either the older or the newer one, complete.
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
"""A write that takes longer than this counts as stalled: a healthy disk syncs in milliseconds."""

DISK_RETRY_DELAY = clock.seconds(2)
"""Pause before a failed disk operation is retried."""


class LoadedRecords(typing.NamedTuple):
    """The records found on disk. The reader drains the queue, so that memory never holds all records twice."""

    unread: collections.deque[data_file.Record]
    condition: data_file.Condition


class ReplicaStorage:
    """The generations of one replica.

    ``write_lock`` is held during a write and the corresponding change in memory if no other write may come between
    the two.
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
        """Items written since a snapshot was begun, which belong after it in the new generation.

        None if no snapshot is in progress, or it was invalidated.
        """

    @property
    def current(self) -> store.Store:
        """The generation in force."""
        assert self.loaded is not None, f"the storage of group {self.group_id} is not loaded"
        return self.loaded

    async def load(self) -> LoadedRecords:
        """Read the generation in force; retried while the disk fails, as a replica can't work without it."""
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
                    DISK_RETRY_DELAY.total_seconds(),
                    error,
                )
            await clock.sleep(DISK_RETRY_DELAY)

    async def write_items(self, items: tuple[data_file.Record, ...]) -> None:
        """Append items to the generation in force, and to the tail of a snapshot in progress.

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
        """Whether a write has taken so long that another member should be the primary."""
        return self.write_started is not None and clock.now() - self.write_started > STALLED_AFTER

    async def rewrite(
        self, snapshot: log_records.EncodedSnapshot, entries: collections.abc.Sequence[log_records.Entry]
    ) -> None:
        """Replace the generation in force by a snapshot and entries, while the caller holds ``write_lock``.

        A snapshot in progress is invalidated, as it shows the log that is replaced here.

        Raises:
            OSError: The disk failed; the older generation remains in force.

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
        """Create the store of a new generation, with a number that was never used before."""
        self.latest_generation = max(self.latest_generation, self.current.generation) + 1
        return self.current.successor(self.latest_generation)

    async def write_generation(
        self,
        generation: store.Store,
        snapshot: log_records.EncodedSnapshot,
        entries: collections.abc.Sequence[log_records.Entry],
    ) -> None:
        """Write header records, a snapshot and entries to a new generation, a bounded number of bytes at a time.

        Only the last step syncs: until then nothing refers to the generation.

        Raises:
            OSError: The disk failed.

        """
        await self.environment.disk.perform(generation.create_empty)
        pending: list[data_file.Record] = []
        size = 0
        for record in itertools.chain(self.header_records(), snapshot.stored_records(), tuple(entries)):
            pending.append(log_records.encode_item(record))
            size += len(pending[-1].payload)
            if size >= log_records.STORED_CHUNK_BYTES:
                await self.environment.disk.perform(generation.write_unsynced, pending)
                pending, size = [], 0
        await self.environment.disk.perform(generation.append, pending)

    async def switch_to(self, generation: store.Store) -> None:
        """Put a complete generation in force; the pointer is durable before the older generation is removed.

        Raises:
            OSError: The disk failed.

        """
        await self.environment.disk.perform(generation.put_in_force, self.current.generation_folder())
        self.loaded = generation

    async def discard(self, generation: store.Store) -> None:
        """Remove a generation that was never put in force."""
        await self.environment.disk.perform(generation.discard)
