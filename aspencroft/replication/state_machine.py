"""The interface of a replication group's state machine."""

import collections.abc
import datetime
import typing

Command: typing.TypeAlias = typing.Any
"""A request to a group; each state machine defines its own command types."""

Event: typing.TypeAlias = typing.Any
"""A state change caused by a command, stored as the body of an entry; each state machine defines its own types."""

Reply: typing.TypeAlias = typing.Any
"""The reply to a command, sent once its events are acknowledged."""


class StateMachine(typing.Protocol):
    """Decides commands, applies events and encodes its state as snapshots.

    Applying the same events in the same order gives the same state on every replica.
    """

    def decide(self, command: Command, now: datetime.timedelta, epoch: int) -> tuple[tuple[Event, ...], Reply]:
        """Return the events and the reply of a command; the state changes only when the events are applied.

        Raises:
            RequestError: The command is rejected.

        """
        ...

    def decide_at_once(self, command: Command, now: datetime.timedelta, epoch: int) -> Reply | None:
        """Return the reply of a command that neither causes nor awaits events; None if it must be queued.

        Only clocks and counters of this primary may change.

        Raises:
            RequestError: The command is rejected.

        """
        ...

    def note_committed(self) -> None:
        """Note that all members of the replica set hold all events so far."""
        ...

    def apply(self, event: Event) -> None:
        """Apply an event to the state."""
        ...

    def due(
        self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]
    ) -> collections.abc.Sequence[Command]:
        """Return the commands whose time has come.

        ``gone`` tells whether a run of a node, given by address and incarnation, has ended.
        """
        ...

    def snapshot(self) -> bytes:
        """Encode the whole state in one piece."""
        ...

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """Encode the whole state in pieces, as of the time of the call."""
        ...

    def size(self) -> int:
        """Return the number of entries in a snapshot."""
        ...

    def payload_bytes(self) -> int:
        """Return the bytes of callers' inputs and outputs in the state."""
        ...

    def limit_payload(self, most: int) -> None:
        """Limit the bytes of callers' inputs and outputs."""
        ...

    def restore(self, body: bytes) -> None:
        """Replace the state by that of a snapshot."""
        ...

    def reset_clocks(self) -> None:
        """Reset the timers that run only on a primary."""
        ...
