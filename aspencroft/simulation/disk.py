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
from aspencroft.storage import data_file

FOLDER = -1
ALL_GONE = 0.2


def names_in(folder: pathlib.Path) -> dict[str, int]:
    """The names in a folder with the inode of each file, or ``FOLDER``."""
    return {path.name: FOLDER if path.is_dir() else path.stat().st_ino for path in folder.iterdir()}


REAL_OPEN = io.open


class LimitedFile:
    """A file on a disk with so much space left: what does not fit is written in part, then refused."""

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
        """Write what there is space for."""
        fits = data[: self.machine.space]
        self.file.write(fits)
        self.file.flush()
        self.machine.space -= len(fits)
        if len(fits) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return len(data)


class SimDisk:
    """One machine's disk.

    Files last up to the bytes that were synced, names of files and folders once the folder that holds them was synced.
    Hard links beside the folder keep what a lost rename or removal brings back.
    """

    def __init__(self, folder: pathlib.Path, chance: random.Random):
        self.folder = folder
        self.chance = chance
        self.delay = 0.002
        self.synced: dict[int, int] = {}
        self.durable: dict[pathlib.Path, dict[str, int]] = {}
        self.counts = {"performs": 0, "syncs": 0}
        self.failing_sync = False
        self.space: int | None = None
        self.stalled: asyncio.Event | None = None

    async def perform(self, function: typing.Callable, *arguments):
        """Do file work, half of the disk's delay before and half behind it.

        As with a thread of a real disk, work that has begun goes on when the caller is cancelled, who waits for it.
        """
        self.counts["performs"] += 1
        return await uninterrupted.finish(self.work(function, arguments))

    async def work(self, function: typing.Callable, arguments: tuple):
        """What a thread of the disk does."""
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
        """Do file work with the space that is left; no limit where ``space`` is none."""
        if self.space is None:
            return function(*arguments)

        def limited(file, mode="r", *more, **named):
            opened = REAL_OPEN(file, mode, *more, **named)
            return opened if mode in ("r", "rb") else LimitedFile(opened, self)

        with unittest.mock.patch("io.open", limited):
            return function(*arguments)

    def stall(self) -> None:
        """Let no work return until ``resume``."""
        self.stalled = asyncio.Event()

    def resume(self) -> None:
        """Let the work go on that hung."""
        if self.stalled is not None:
            self.stalled.set()
        self.stalled = None

    def synchronise(self, path: pathlib.Path) -> None:
        """Note that a file's bytes, or a folder's names, last from now on."""
        self.counts["syncs"] += 1
        if self.failing_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO), str(path))
        if path.is_dir():
            self.durable[path] = names_in(path)
            for name, inode in self.durable[path].items():
                if inode != FOLDER:
                    self.keep_inode(path / name, inode)
            self.forget_unused()
        else:
            self.keep_inode(path, path.stat().st_ino)
            self.synced[path.stat().st_ino] = path.stat().st_size

    def links(self) -> pathlib.Path:
        """The folder of hard links, outside of the disk's own."""
        return self.folder.parent / f"{self.folder.name}.links"

    def keep_inode(self, path: pathlib.Path, inode: int) -> None:
        """Keep a file's bytes reachable after its name is gone; its number is not used again either."""
        self.links().mkdir(parents=True, exist_ok=True)
        link = self.links() / str(inode)
        if not link.exists():
            os.link(path, link)

    def forget_unused(self) -> None:
        """Let go of files that no name leads to, neither now nor after a loss of power."""
        for folder in list(self.durable):
            named = folder == self.folder or folder.name in self.durable.get(folder.parent, {})
            if not named and not folder.exists():
                del self.durable[folder]
        needed = {inode for names in self.durable.values() for inode in names.values()}
        for link in self.links().glob("*"):
            if int(link.name) not in needed and link.stat().st_nlink == 1:
                link.unlink()
                self.synced.pop(int(link.name), None)

    def power_loss(self) -> None:
        """Lose what was not synced, each name and each block of a file by its own chance.

        A name that was made, renamed or removed without a sync of its folder is kept or goes back; an unsynced block is
        there, missing or torn, and at times all of them are gone.
        """
        if self.folder.exists():
            self.settle_names(self.folder)
        for path in sorted(self.folder.rglob("*")):
            if path.is_file():
                self.lose_blocks(path)
        self.note_all()

    def settle_names(self, folder: pathlib.Path) -> None:
        """Keep each changed name of a folder, or put back what was there at its last sync."""
        present, lasting = names_in(folder), self.durable.get(folder, {})
        for name in sorted({*present, *lasting}):
            if present.get(name) == lasting.get(name) or self.chance.random() < 0.5:
                continue
            path = folder / name
            if path.is_dir():
                shutil.rmtree(path)
            elif name in present:
                path.unlink()
            if lasting.get(name) == FOLDER:
                path.mkdir()
            elif name in lasting:
                os.link(self.links() / str(lasting[name]), path)
        for path in sorted(folder.iterdir()):
            if path.is_dir():
                self.settle_names(path)

    def lose_blocks(self, path: pathlib.Path) -> None:
        """Lose unsynced blocks of a file, each by its own chance."""
        data = path.read_bytes()
        lasting = min(self.synced.get(path.stat().st_ino, 0), len(data))
        tail = bytearray(data[lasting:])
        if not tail:
            return
        if self.chance.random() < ALL_GONE:
            tail = bytearray()
        for place in range(-(lasting % data_file.BLOCK) if tail else 0, len(tail), data_file.BLOCK):
            block = slice(max(place, 0), min(place + data_file.BLOCK, len(tail)))
            size = block.stop - block.start
            fate = self.chance.random()
            if fate < 1 / 3:
                tail[block] = bytes(size)
            elif fate < 2 / 3:
                whole = self.chance.randrange(size)
                tail[block.start + whole : block.stop] = bytes(size - whole)
        path.write_bytes(data[:lasting] + tail)

    def note_all(self) -> None:
        """What is there after a loss of power lasts."""
        self.durable.clear()
        for path in (self.folder, *sorted(self.folder.rglob("*"))):
            if path.exists():
                self.synchronise(path)

    def wipe(self) -> None:
        """The machine was swapped for one with an empty disk."""
        shutil.rmtree(self.folder, ignore_errors=True)
        shutil.rmtree(self.links(), ignore_errors=True)
        self.synced.clear()
        self.durable.clear()

    def lose_last(self) -> int:
        """The disk loses just the last value of each store, though it was synced; how many were lost."""
        lost = 0
        for path in sorted(self.folder.rglob("*.dat")):
            extents = data_file.scan(path.read_bytes()).extents
            if len(extents) > 1:
                path.write_bytes(path.read_bytes()[: extents[-1].offset])
                lost += 1
        return lost

    def damage(self) -> None:
        """Flip bytes in the middle of a data file."""
        files = [path for path in sorted(self.folder.rglob("*.dat")) if path.stat().st_size > 2 * data_file.BLOCK]
        for path in files:
            data = bytearray(path.read_bytes())
            place = self.chance.randrange(len(data) // 2)
            data[place] ^= 0xFF
            path.write_bytes(bytes(data))
