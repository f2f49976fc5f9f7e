"""Messages of the dissemination tree: updates flow down, confirmations flow up."""

import dataclasses
import datetime

from aspencroft.configuration import control_state, operator_configuration
from aspencroft.transport import codec

CONFIGURATION_TOPIC = "plan"


@codec.kind(130)
@dataclasses.dataclass(frozen=True)
class Update:
    """The state of a topic at a revision; with a ``base`` it is a merge patch that applies to that revision.

    A configuration with neither base nor body is too large for one message and has to be fetched in chunks.
    """

    topic: str
    revision: control_state.Revision
    base: control_state.Revision | None
    body: str


@codec.kind(131)
@dataclasses.dataclass(frozen=True)
class HeldRevision:
    """The revision of a topic that a node holds."""

    topic: str
    revision: control_state.Revision


@codec.kind(132)
@dataclasses.dataclass(frozen=True)
class Confirmation:
    """The configuration revision that a node of the subtree has in force."""

    address: str
    revision: control_state.Revision


@codec.kind(133)
@dataclasses.dataclass(frozen=True)
class Pull:
    """A child's request to its parent for updates and for a lease on the configuration; it lists the child's subtree.

    ``base`` is the digest of the subtree that the parent stored last. If it is set, the message lists only the
    differences: changed entries in ``subtree`` and former ones in ``removed``. ``digest`` is the digest of the whole
    subtree, ``counted`` the digest of the counted nodes that the child knows.
    """

    address: str
    have: tuple[HeldRevision, ...]
    subtree: tuple[Confirmation, ...]
    base: bytes
    removed: tuple[str, ...]
    digest: bytes
    counted: bytes


@codec.kind(134)
@dataclasses.dataclass(frozen=True)
class Pulled:
    """The reply to a pull: the updates that the child lacks, and the length of its lease, which runs from the request.

    ``counted`` are the nodes of the child's subtree that the root has counted, that is, knows to hold a lease;
    ``counted_unchanged`` means that the child knows them already. ``subtree_unknown`` means that the parent does not
    hold the base subtree of the child's differences and ignored the pull. ``root_age`` is how long ago the root was
    last heard of through all relays above; it is zero from the root itself.
    """

    updates: tuple[Update, ...]
    revision: control_state.Revision
    lease_duration: datetime.timedelta
    counted: tuple[str, ...]
    counted_unchanged: bool
    subtree_unknown: bool
    root_age: datetime.timedelta


@codec.kind(185)
@dataclasses.dataclass(frozen=True)
class FetchConfiguration:
    """A child's request for a chunk, at an offset, of a configuration too large for one message.

    An empty digest asks for the newest configuration.
    """

    digest: bytes
    offset: int


@codec.kind(186)
@dataclasses.dataclass(frozen=True)
class ConfigurationChunk:
    """A chunk of a complete configuration; ``digest`` and ``size`` (in bytes) are those of the complete body."""

    revision: control_state.Revision
    digest: bytes
    offset: int
    size: int
    body: bytes


@codec.kind(135)
@dataclasses.dataclass(frozen=True)
class Push:
    """Tells a child that there is an update, so that it pulls at once."""


@codec.kind(136)
@dataclasses.dataclass(frozen=True)
class Publish:
    """Sends a topic's new state from the holder of a singleton role to the root."""

    update: Update


@codec.kind(137)
@dataclasses.dataclass(frozen=True)
class WriteEverywhere:
    """An operator's write; answered once it is in force on every node that may act on a configuration."""

    write: control_state.WriteResources
    within: datetime.timedelta


@codec.kind(138)
@dataclasses.dataclass(frozen=True)
class Written:
    """The write is durable and in force on every node that may act on a configuration."""

    revision: control_state.Revision
    changed: int
    waited: datetime.timedelta


@codec.kind(139)
@dataclasses.dataclass(frozen=True)
class ReadEverywhere:
    """Asks the root's node for the newest configuration."""

    after: control_state.Revision


@codec.kind(140)
@dataclasses.dataclass(frozen=True)
class ApplyEverywhere:
    """An operator's configuration; answered once it is durable and delivered, or after ``within`` at the latest."""

    command: operator_configuration.ApplyConfiguration
    within: datetime.timedelta
