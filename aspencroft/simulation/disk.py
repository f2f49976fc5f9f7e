"""A simulated disk over a real folder: knows what was synced, loses the rest when the power goes."""

import asyncio
import errno
import io
import os
import pathlib
import random
import shutil
import typing
import unittest.mock

from aspencroft.runtime import uninterrupted
from aspencroft.storage import store

REAL_OPEN = io.open


class LimitedFile:
    """A file on a disk with so much space left: what does not fit is written in part, then refused.

    Example: ``LimitedFile(path.open("wb"), disk).write(b"x")``
    """

    def __init__(self, file: typing.IO, machine: "SimDisk"):
        self.file = file
        self.machine = machine

    def __enter__(self) -> "LimitedFile":
        return self

    def __exit__(self, *_) -> None:
        self.file.close()

    def __getattr__(self, name: str):
        return getattr(self.file, name)

    def write(self, data: str | bytes) -> int:
        """Write what there is space for.

        Example: ``file.write(b"x")``
        """
        fits = data[: self.machine.space]
        self.file.write(fits)
        self.file.flush()
        self.machine.space -= len(fits)
        if len(fits) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return len(data)


class SimDisk:
    """One machine's disk.

    Example: ``disk.power_loss()`` drops all unsynced bytes but, by chance, part of the tail.
    """

    def __init__(self, folder: pathlib.Path, chance: random.Random):
        self.folder = folder
        self.chance = chance
        self.delay = 0.002
        self.synced: dict[pathlib.Path, int] = {}
        self.pointers: dict[pathlib.Path, str] = {}
        self.counts = {"performs": 0, "syncs": 0}
        self.failing_sync = False
        self.space: int | None = None
        self.stalled: asyncio.Event | None = None

    async def perform(self, function: typing.Callable, *arguments):
        """Do file work, half of the disk's delay before and half behind it.

        As with a thread of a real disk, work that has begun goes on when the caller is cancelled, who waits for it.

        Example: ``await disk.perform(path.read_bytes)``
        """
        self.counts["performs"] += 1
        return await uninterrupted.finish(self.work(function, arguments))

    async def work(self, function: typing.Callable, arguments: tuple):
        """What a thread of the disk does.

        Example: ``await disk.work(path.read_bytes, ())``
        """
        delay = self.delay * (0.5 + self.chance.random())
        await asyncio.sleep(delay / 2)
        if self.stalled is not None:
            await self.stalled.wait()
        try:
            found = self.within_space(function, arguments)
        finally:
            await asyncio.sleep(delay / 2)
        return found

    def within_space(self, function: typing.Callable, arguments: tuple):
        """Do file work with the space that is left; no limit where ``space`` is none.

        Example: ``disk.within_space(path.write_bytes, (b"x",))``
        """
        if self.space is None:
            return function(*arguments)

        def limited(file, mode="r", *more, **named):
            opened = REAL_OPEN(file, mode, *more, **named)
            return opened if mode in ("r", "rb") else LimitedFile(opened, self)

        with unittest.mock.patch("io.open", limited):
            return function(*arguments)

    def stall(self) -> None:
        """Let no work return until ``resume``.

        Example: ``disk.stall()``
        """
        self.stalled = asyncio.Event()

    def resume(self) -> None:
        """Let the work go on that hung.

        Example: ``disk.resume()``
        """
        if self.stalled is not None:
            self.stalled.set()
        self.stalled = None

    def synchronise(self, path: pathlib.Path) -> None:
        """Note that a file's bytes, or a folder's names, last from now on.

        Example: ``disk.synchronise(path)``
        """
        self.counts["syncs"] += 1
        if self.failing_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO), str(path))
        if path.is_dir():
            pointer = path / store.CURRENT
            if pointer.exists():
                self.pointers[pointer] = pointer.read_text()
        else:
            self.synced[path] = path.stat().st_size

    def power_loss(self) -> None:
        """Cut every file back to what was synced; a torn tail may stay; an unsynced pointer may go back.

        Example: ``disk.power_loss()``
        """
        for path in sorted(self.folder.rglob("*")):
            if path.name == store.CURRENT:
                if self.pointers.get(path) != path.read_text() and self.chance.random() < 0.5:
                    if path in self.pointers and (path.parent / f"generation-{self.pointers[path]}").exists():
                        path.write_text(self.pointers[path])
            elif path.suffix == ".dat" or path.suffix == ".dir":
                data = path.read_bytes()
                lasting = min(self.synced.get(path, 0), len(data))
                tail = data[lasting : lasting + self.chance.randrange(len(data) - lasting + 1)]
                if tail and self.chance.random() < 0.3:
                    tail = bytes(byte ^ 0x55 if self.chance.random() < 0.02 else byte for byte in tail)
                path.write_bytes(data[:lasting] + tail)

    def wipe(self) -> None:
        """The machine was swapped for one with an empty disk.

        Example: ``disk.wipe()``
        """
        shutil.rmtree(self.folder, ignore_errors=True)
        self.synced.clear()
        self.pointers.clear()

    def lose_last(self) -> int:
        """The disk loses just the last value of each store, though it was synced; how many were lost.

        Example: ``disk.lose_last()``
        """
        lost = 0
        for path in sorted(self.folder.rglob("*.dat")):
            places = store.scan(path.read_bytes()).places
            if len(places) > 1:
                path.write_bytes(path.read_bytes()[: places[-1][0]])
                lost += 1
        return lost

    def damage(self) -> None:
        """Flip bytes in the middle of a data file.

        Example: ``disk.damage()``
        """
        files = [path for path in sorted(self.folder.rglob("*.dat")) if path.stat().st_size > 2 * store.BLOCK]
        for path in files:
            data = bytearray(path.read_bytes())
            place = self.chance.randrange(len(data) // 2)
            data[place] ^= 0xFF
            path.write_bytes(bytes(data))
