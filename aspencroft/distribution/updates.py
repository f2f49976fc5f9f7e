"""What goes down the relay tree and what comes up: one family of records."""

import dataclasses
import datetime

from aspencroft.configuration import control_state, operator_configuration
from aspencroft.transport import codec

PLAN = "plan"


@codec.kind(130)
@dataclasses.dataclass(frozen=True)
class Update:
    """A topic's state under a revision; with a base it is a merge patch upon that revision.

    A plan with neither base nor body is too large for one message: it is to be fetched in parts.
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
    """A child asks its parent for news and for plan currency, naming its whole subtree.

    With a ``base``, the digest of the subtree that the parent took last, only what differs from it is named: changed
    entries and those that are ``gone``. ``digest`` is that of the whole subtree, ``counted`` that of the counted nodes
    that the child knows.
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
    """News that the child lacks, and how long the plan may be trusted from when the child asked.

    ``same``: the counted nodes are those that the child knows. ``lost``: the parent does not hold the subtree that the
    child's differences are upon, and took nothing from the pull. ``age``: how long ago the root was last heard of, over
    all relays up to it; zero from the root itself.
    """

    news: tuple[Update, ...]
    revision: control_state.Revision
    currency: datetime.timedelta
    counted: tuple[str, ...]
    same: bool
    lost: bool
    age: datetime.timedelta


@codec.kind(185)
@dataclasses.dataclass(frozen=True)
class FetchConfiguration:
    """A child asks for a plan that is too large for one message, from an offset on; no digest asks for the newest."""

    digest: bytes
    offset: int


@codec.kind(186)
@dataclasses.dataclass(frozen=True)
class ConfigurationChunk:
    """Bytes of a whole plan; all parts of one plan bear its digest."""

    revision: control_state.Revision
    digest: bytes
    offset: int
    size: int
    body: bytes


@codec.kind(135)
@dataclasses.dataclass(frozen=True)
class Push:
    """There is something new: pull at once."""


@codec.kind(136)
@dataclasses.dataclass(frozen=True)
class Publish:
    """A duty's holder gives the root a topic's new state."""

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
