"""Settings read again while a node runs: on SIGHUP, and when the file changed without one."""

import collections.abc
import dataclasses
import os

import logbook

from aspencroft.node import node, settings
from aspencroft.runtime import clock

LOG = logbook.Logger("cli.settings_reload")
LOOK = clock.seconds(2)


@dataclasses.dataclass(frozen=True)
class SettingsSource:
    """Where a program's settings come from: the file's path, empty without one, and how they are read and checked."""

    path: str
    read: collections.abc.Callable[[], settings.Settings]


class SettingsReload:
    """Keeps a running node's settings as new as their file, as far as they may change while it runs."""

    def __init__(self, own: node.Node, source: SettingsSource):
        self.node = own
        self.source = source
        self.seen = self.fingerprint()
        self.counts = {"reloads": 0, "refused reloads": 0}

    def fingerprint(self) -> tuple[int, int, int] | None:
        """What changes when the file is written anew or replaced; none without a file."""
        try:
            found = os.stat(self.source.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def reload(self) -> None:
        """Read the settings again and take what may change; settings that cannot be used change nothing."""
        self.seen = self.fingerprint()
        try:
            fresh = self.source.read()
        except settings.BadSettings as error:
            self.counts["refused reloads"] += 1
            LOG.warning("new settings cannot be used, the old ones stay: {}", error)
            return
        self.counts["reloads"] += 1
        merged, fixed = self.node.settings.reloaded(fresh)
        if fixed:
            LOG.warning("changed settings that need a restart: {}", ", ".join(fixed))
        if merged != self.node.settings:
            LOG.info("settings taken while running: {}", merged)
        self.node.settings = merged
        self.node.failure_detector.seeds = merged.seeds

    async def watch(self) -> None:
        """Read the settings again whenever their file changed, also without a signal."""
        while True:
            await clock.sleep(LOOK)
            if self.fingerprint() not in (self.seen, None):
                self.reload()
