"""Transfer of a complete configuration in bounded chunks, for a node too far behind for its parent's patches."""

import dataclasses
import datetime
import hashlib
import json
import typing

import logbook

from aspencroft.configuration import control_state
from aspencroft.distribution import updates
from aspencroft.runtime import clock

LOG = logbook.Logger("distribution.configuration_transfer")
CHUNK_BYTES = 128 << 10
KEEP_UNUSED_FOR = clock.seconds(5)  # a child whose fetch failed resumes it within this time
NO_DIGEST = b""

Document = dict[str, typing.Any]


@dataclasses.dataclass
class EncodedConfiguration:
    """An encoded configuration, and the time of the last request for one of its chunks."""

    revision: control_state.Revision
    digest: bytes
    body: bytes
    last_used: datetime.timedelta


def body_digest(body: bytes) -> bytes:
    """Return the digest that identifies an encoded configuration."""
    return hashlib.blake2b(body, digest_size=16).digest()


class CompleteConfigurations:
    """The parent's side: encoded configurations, each kept while a child fetches it."""

    def __init__(self) -> None:
        self.encoded: dict[bytes, EncodedConfiguration] = {}

    def newest(self, revision: control_state.Revision, content: Document) -> EncodedConfiguration:
        """Return the encoded configuration of a revision; it is encoded only once."""
        now = clock.now()
        for configuration in self.encoded.values():
            if configuration.revision == revision:
                configuration.last_used = now
                return configuration
        self.encoded = {
            digest: configuration
            for digest, configuration in self.encoded.items()
            if now - configuration.last_used < KEEP_UNUSED_FOR
        }
        body = json.dumps(content).encode()
        encoded = EncodedConfiguration(revision, body_digest(body), body, now)
        self.encoded[encoded.digest] = encoded
        return encoded

    def chunk(
        self, message: updates.FetchConfiguration, revision: control_state.Revision, content: Document
    ) -> updates.ConfigurationChunk:
        """Return the next chunk for a child; if its configuration is not kept any more, the first of the newest one."""
        encoded, offset = self.encoded.get(message.digest), message.offset
        if encoded is None or offset > len(encoded.body):
            encoded, offset = self.newest(revision, content), 0
        encoded.last_used = clock.now()
        body = encoded.body[offset : offset + CHUNK_BYTES]
        return updates.ConfigurationChunk(encoded.revision, encoded.digest, offset, len(encoded.body), body)


class PartialConfiguration:
    """The child's side: the chunks received so far; they are kept for the next attempt if the parent fails."""

    def __init__(self) -> None:
        self.digest = NO_DIGEST
        self.body = bytearray()

    def next_request(self) -> updates.FetchConfiguration:
        """Return the request for the next chunk."""
        return updates.FetchConfiguration(self.digest, len(self.body))

    def add(self, chunk: updates.ConfigurationChunk) -> updates.Update | None:
        """Add a chunk; return the configuration if it is complete now, or None."""
        if chunk.digest != self.digest:
            self.digest, self.body = chunk.digest, bytearray()
        if chunk.offset == len(self.body):
            self.body += chunk.body
        if len(self.body) < chunk.size:
            return None
        body, digest = bytes(self.body), self.digest
        self.digest, self.body = NO_DIGEST, bytearray()
        if body_digest(body) != digest:
            LOG.info("rejected configuration: revision {}, its digest does not match", chunk.revision.text())
            return None
        return updates.Update(updates.CONFIGURATION_TOPIC, chunk.revision, None, body.decode())
