"""The state machine of a replication group: what it decides, and what its log means."""

import collections.abc
import datetime
import typing

Command: typing.TypeAlias = typing.Any
"""What a caller asks of a group; each state machine has its own types of commands."""

Event: typing.TypeAlias = typing.Any
"""What a command changes, as an entry's body holds it; each state machine has its own types of events."""

Reply: typing.TypeAlias = typing.Any
"""What the caller of a command gets once its events are acknowledged."""


class StateMachine(typing.Protocol):
    """Decides commands, applies events and encodes its state as snapshots.

    Applying the same events in the same order gives the same state on every replica.
    """

    def decide(self, command: Command, now: datetime.timedelta, epoch: int) -> tuple[tuple[Event, ...], Reply]:
        """The events and the reply of a command; nothing is changed before they are applied.

        Raises:
            RequestError: The command is rejected.

        """
        ...

    def decide_at_once(self, command: Command, now: datetime.timedelta, epoch: int) -> Reply | None:
        """The reply of a command that needs no event and waits for none, or none where it has to be decided in turn.

        Only clocks and counts of this primary may change.

        Raises:
            RequestError: The command is rejected.

        """
        ...

    def note_committed(self) -> None:
        """All events so far are on all members of the record."""
        ...

    def apply(self, event: Event) -> None:
        """Change the state by an event."""
        ...

    def due(
        self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]
    ) -> collections.abc.Sequence[Command]:
        """The commands that the clock calls for; ``gone`` tells whether the node at an address is lost."""
        ...

    def snapshot(self) -> bytes:
        """The whole state, in one piece."""
        ...

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """The whole state in pieces, as it was when this was called."""
        ...

    def size(self) -> int:
        """How many entries a snapshot holds."""
        ...

    def payload_bytes(self) -> int:
        """Bytes of callers' inputs and outputs in the state."""
        ...

    def limit_payload(self, most: int) -> None:
        """Bound the bytes of callers' inputs and outputs."""
        ...

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's."""
        ...

    def reset_clocks(self) -> None:
        """Forget the times that were counted as primary."""
        ...
