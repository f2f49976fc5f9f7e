"""A whole plan in bounded parts, for a node that is further behind than the steps that its parent keeps."""

import dataclasses
import datetime
import hashlib
import json

from aspencroft.configuration import control_state
from aspencroft.distribution import updates
from aspencroft.runtime import clock

PART_BYTES = 128 << 10
KEPT_UNUSED = clock.seconds(5)
NO_DIGEST = b""


@dataclasses.dataclass
class WholePlan:
    """An encoded plan and when it was last asked for."""

    revision: control_state.Revision
    digest: bytes
    body: bytes
    used: datetime.timedelta


class CompleteConfigurations:
    """The parent's side: encoded plans, each kept for as long as somebody fetches it."""

    def __init__(self):
        self.plans: dict[bytes, WholePlan] = {}

    def newest(self, revision: control_state.Revision, shown: dict) -> WholePlan:
        """The plan of a revision, encoded once."""
        now = clock.now()
        for one in self.plans.values():
            if one.revision == revision:
                one.used = now
                return one
        self.plans = {digest: one for digest, one in self.plans.items() if now - one.used < KEPT_UNUSED}
        body = json.dumps(shown).encode()
        fresh = WholePlan(revision, hashlib.blake2b(body, digest_size=16).digest(), body, now)
        self.plans[fresh.digest] = fresh
        return fresh

    def part(
        self, message: updates.FetchConfiguration, revision: control_state.Revision, shown: dict
    ) -> updates.ConfigurationChunk:
        """The next part of the plan that a child fetches; of the newest from its start where that one is not kept."""
        whole, offset = self.plans.get(message.digest), message.offset
        if whole is None or offset > len(whole.body):
            whole, offset = self.newest(revision, shown), 0
        whole.used = clock.now()
        body = whole.body[offset : offset + PART_BYTES]
        return updates.ConfigurationChunk(whole.revision, whole.digest, offset, len(whole.body), body)


class PartialConfiguration:
    """The child's side: what came of a plan so far; kept when the parent fails, for the next try."""

    def __init__(self):
        self.digest = NO_DIGEST
        self.body = bytearray()

    def next_part(self) -> updates.FetchConfiguration:
        """What to ask for."""
        return updates.FetchConfiguration(self.digest, len(self.body))

    def take(self, part: updates.ConfigurationChunk) -> updates.Update | None:
        """Add a part; the plan once it is whole, none before."""
        if part.digest != self.digest:
            self.digest, self.body = part.digest, bytearray()
        if part.offset == len(self.body):
            self.body += part.body
        if len(self.body) < part.size:
            return None
        body, digest = bytes(self.body), self.digest
        self.digest, self.body = NO_DIGEST, bytearray()
        if hashlib.blake2b(body, digest_size=16).digest() != digest:
            return None
        return updates.Update(updates.PLAN, part.revision, None, body.decode())
