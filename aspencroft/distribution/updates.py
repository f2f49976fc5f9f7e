"""Messages of the dissemination tree: updates on their way down, confirmations on their way up."""

import dataclasses
import datetime

from aspencroft.configuration import control_state, operator_configuration
from aspencroft.transport import codec

PLAN = "plan"


@codec.kind(130)
@dataclasses.dataclass(frozen=True)
class Update:
    """A topic's state under a revision; with a base it is a merge patch upon that revision.

    A configuration with neither base nor body is too large for one message: it is to be fetched in chunks.
    """

    topic: str
    revision: control_state.Revision
    base: control_state.Revision | None
    body: str


@codec.kind(131)
@dataclasses.dataclass(frozen=True)
class HeldRevision:
    """A revision of a topic that a node holds."""

    topic: str
    revision: control_state.Revision


@codec.kind(132)
@dataclasses.dataclass(frozen=True)
class Confirmation:
    """The plan revision that a node of the subtree has in force."""

    address: str
    revision: control_state.Revision


@codec.kind(133)
@dataclasses.dataclass(frozen=True)
class Pull:
    """A child asks its parent for updates and for a lease on the configuration, naming its complete subtree.

    With a ``base``, the digest of the subtree that the parent stored last, only what differs from it is named: changed
    entries and those that are ``gone``. ``digest`` is that of the complete subtree, ``counted`` that of the counted
    nodes that the child knows.
    """

    address: str
    have: tuple[HeldRevision, ...]
    subtree: tuple[Confirmation, ...]
    base: bytes
    gone: tuple[str, ...]
    digest: bytes
    counted: bytes


@codec.kind(134)
@dataclasses.dataclass(frozen=True)
class Pulled:
    """Updates that the child lacks, and the length of its lease, counted from when the child asked.

    ``counted_unchanged``: the counted nodes are those that the child knows. ``subtree_unknown``: the parent does not
    hold the subtree that the child's differences are upon, and took nothing from the pull. ``root_age``: how long ago
    the root was last heard of, over all relays up to it; zero from the root itself.
    """

    updates: tuple[Update, ...]
    revision: control_state.Revision
    currency: datetime.timedelta
    counted: tuple[str, ...]
    counted_unchanged: bool
    subtree_unknown: bool
    root_age: datetime.timedelta


@codec.kind(185)
@dataclasses.dataclass(frozen=True)
class FetchConfiguration:
    """A child asks for a configuration too large for one message, from an offset on; no digest asks for the newest."""

    digest: bytes
    offset: int


@codec.kind(186)
@dataclasses.dataclass(frozen=True)
class ConfigurationChunk:
    """Bytes of a complete configuration; all chunks of one bear its digest, ``size`` is that of all in bytes."""

    revision: control_state.Revision
    digest: bytes
    offset: int
    size: int
    body: bytes


@codec.kind(135)
@dataclasses.dataclass(frozen=True)
class Push:
    """There is an update: pull at once."""


@codec.kind(136)
@dataclasses.dataclass(frozen=True)
class Publish:
    """The holder of a singleton role gives the root a topic's new state."""

    news: Update


@codec.kind(137)
@dataclasses.dataclass(frozen=True)
class WriteEverywhere:
    """An operator's write; answered once it is in force on every node that may act on a plan."""

    write: control_state.WriteResources
    within: datetime.timedelta


@codec.kind(138)
@dataclasses.dataclass(frozen=True)
class Written:
    """The write is stored on both copies and in force everywhere."""

    revision: control_state.Revision
    changed: int
    waited: datetime.timedelta


@codec.kind(139)
@dataclasses.dataclass(frozen=True)
class ReadEverywhere:
    """Ask the root's node for the newest plan."""

    after: control_state.Revision


@codec.kind(140)
@dataclasses.dataclass(frozen=True)
class ApplyEverywhere:
    """An operator's configuration; answered once it is durable and delivered, at the latest after ``within``."""

    command: operator_configuration.ApplyConfiguration
    within: datetime.timedelta
