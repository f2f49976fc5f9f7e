"""The configuration and the other topics that a node holds, and the updates that bring another node up to date."""

import asyncio
import json
import typing

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import configuration_transfer, updates
from aspencroft.errors import result

LOG = logbook.Logger("distribution.configuration_state")
PATCHES_KEPT = 64  # a child that is further behind receives the complete configuration
PATCH_BYTES_PER_MESSAGE = 256 << 10

Document = dict[str, typing.Any]


class ConfigurationState:
    """The configuration with its revision, the patches that led to it, and the newest update of every other topic.

    ``counts`` holds the counters "news" (applied updates) and "whole plans" (complete configurations).
    """

    def __init__(self, address: str, counts: dict[str, int]) -> None:
        self.address = address
        self.counts = counts
        self.topics: dict[str, updates.Update] = {}
        self.patches: dict[control_state.Revision, updates.Update] = {}
        self.complete = configuration_transfer.CompleteConfigurations()
        self.document: Document = {}
        self.revisions: dict[str, str] = {}
        self.configuration = resources.of({})
        self.revision = control_state.NEVER
        self.changes: dict[str, asyncio.Event] = {}

    def apply(self, update: updates.Update) -> bool:
        """Apply a newer state of a topic and return whether it was applied.

        A patch is not applied if its base is not the revision held here.
        """
        held = self.topics.get(update.topic)
        known = (
            self.revision
            if update.topic == updates.CONFIGURATION_TOPIC
            else held.revision
            if held
            else control_state.NEVER
        )
        if not known < update.revision:
            return False
        if update.base is not None and update.base != known:
            LOG.info(
                "{} rejected {} revision {}: it is a patch upon {}, but {} is held",
                self.address,
                update.topic,
                update.revision.text(),
                update.base.text(),
                known.text(),
            )
            return False
        if update.topic == updates.CONFIGURATION_TOPIC and not update.body:
            return False
        if update.topic == updates.CONFIGURATION_TOPIC:
            self.apply_configuration(update)
        else:
            self.topics[update.topic] = update
        self.counts["news"] += 1
        self.changes.pop(update.topic, asyncio.Event()).set()
        return True

    def apply_configuration(self, update: updates.Update) -> None:
        """Apply a complete configuration, or a patch to the one held."""
        content = json.loads(update.body)
        if update.base is not None:
            patch = content.get("plan", {})
            content = resources.merge(self.content(), content)
            configuration = resources.with_patch(self.configuration, content["plan"], patch, content["version"])
            self.patches[update.base] = update
        else:
            configuration = resources.of(content["plan"], content["version"])
            self.counts["whole plans"] += 1
        self.document, self.revisions, self.configuration = content["plan"], content["revisions"], configuration
        self.revision = update.revision
        while len(self.patches) > PATCHES_KEPT:
            del self.patches[next(iter(self.patches))]
        LOG.info(
            "{} applied configuration: revision {}, version {}, {}",
            self.address,
            update.revision.text(),
            configuration.version,
            "complete" if update.base is None else f"patch upon {update.base.text()}",
        )

    def update_to(self, read: control_state.ResourcesRead) -> updates.Update | None:
        """Return the update from the configuration held here to the one read from the control group.

        Return None if nothing was read.
        """
        if not read.document:
            return None
        if self.revision == control_state.NEVER:
            return updates.Update(updates.CONFIGURATION_TOPIC, read.revision, None, read.document)
        content = json.loads(read.document)
        patch = {
            "plan": resources.patch_between(self.document, content["plan"]),
            "revisions": resources.patch_between(self.revisions, content["revisions"]),
            "version": content["version"],
        }
        return updates.Update(updates.CONFIGURATION_TOPIC, read.revision, self.revision, json.dumps(patch))

    async def wait_for_change(self, topic: str) -> None:
        """Wait until a topic changes."""
        await self.changes.setdefault(topic, asyncio.Event()).wait()

    def content(self) -> Document:
        """Return the complete configuration as it is sent to other nodes."""
        return {"plan": self.document, "revisions": self.revisions, "version": self.configuration.version}

    def pending_updates(self, known: control_state.Revision) -> tuple[updates.Update, ...]:
        """Return the updates from a known revision to the one held: consecutive patches or the complete configuration.

        At most as many patches as fit into one message are returned. A complete configuration that is too large for one
        message is returned without a body; the node then fetches it in chunks.
        """
        if not known < self.revision:
            return ()
        patches, reached, size = [], known, 0
        while reached != self.revision and reached in self.patches:
            patches.append(self.patches[reached])
            reached = self.patches[reached].revision
        if reached != self.revision:
            complete = self.complete.newest(self.revision, self.content())
            body = complete.body.decode() if len(complete.body) <= configuration_transfer.CHUNK_BYTES else ""
            return (updates.Update(updates.CONFIGURATION_TOPIC, self.revision, None, body),)
        for count, patch in enumerate(patches):
            size += len(patch.body)
            if count and size > PATCH_BYTES_PER_MESSAGE:
                return tuple(patches[:count])
        return tuple(patches)

    def next_chunk(self, message: updates.FetchConfiguration) -> updates.ConfigurationChunk:
        """Return the next chunk of a complete configuration.

        Raises:
            result.RequestError: NO_CLAIM, while no configuration is held.

        """
        if self.revision == control_state.NEVER:
            raise result.RequestError(result.ResultCode.NO_CLAIM, detail="no configuration is held here yet")
        return self.complete.chunk(message, self.revision, self.content())
