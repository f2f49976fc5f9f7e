"""A second loss at every message of a voter's replacement: machines that stop, are cut off, or come back empty.

One of the voters is gone for good and another machine takes its place. At one message of that change further voters
are lost, as many as are still to be borne. Writes have to go on, nothing that was chosen may be lost, and the wished
voter set has to come into force.
"""

import collections.abc
import concurrent.futures
import dataclasses
import enum
import functools
import sys

import defopt

from aspencroft.runtime import clock
from aspencroft.simulation import voters as simulated_voters

LOST, NEXT_LEADER = "e:1", "b:1"
CUT_FOR = clock.seconds(6)
MOST_WRITES = 60
WRITTEN_WITHIN_S = 3.5
SETTLED_WITHIN_S = 20.0


class Loss(enum.Enum):
    """How a machine is lost."""

    STOP = "stop"
    CUT = "cut"
    WIPE = "wipe"


@dataclasses.dataclass(frozen=True)
class Walk:
    """So many voters; which are lost together; the number of messages that a change takes at most."""

    voters: int
    losses: tuple[tuple[str, ...], ...]
    messages: int


WALKS = {
    5: Walk(5, (("a:1",), ("b:1",), ("d:1",), ("f:1",)), 260),
    7: Walk(7, (("a:1", "h:1"), ("a:1", "d:1"), ("f:1", "g:1")), 400),
}


@dataclasses.dataclass(frozen=True)
class Scene:
    """One loss at one message."""

    voters: int
    lost: tuple[str, ...]
    message: int
    loss: Loss


def replace_lost(voters: simulated_voters.Voters) -> None:
    """A machine is gone for good, and the wished set names another one in its place."""
    voters.network.down.add(LOST)
    voters.wished = (*(address for address in voters.present if address != LOST), voters.addresses[-1])


def lose(voters: simulated_voters.Voters, lost: tuple[str, ...], loss: Loss) -> None:
    """Lose machines in one of the ways; another one leads where the leader is among them."""
    if voters.leader in lost:
        voters.leader = next(one for one in (NEXT_LEADER, "c:1", "d:1") if one not in lost)
    if loss is Loss.STOP:
        voters.network.down.update(lost)
    elif loss is Loss.CUT:
        voters.network.cut.update(lost)
    else:
        for address in lost:
            voters.start(address)


async def play_scene(voters: simulated_voters.Voters, scene: Scene) -> None:
    """Replace a voter, lose others at one message, and go on writing until the wished set is in force."""
    await voters.written(1, 4)
    replace_lost(voters)
    first_message = voters.network.steps
    lost_at: list[float] = []

    def on_message(number: int) -> None:
        if number == first_message + scene.message:
            lose(voters, scene.lost, scene.loss)
            lost_at.append(clock.now().total_seconds())

    voters.network.before = on_message
    number = 2
    while not (lost_at and voters.settled() and not voters.network.cut) and number < MOST_WRITES:
        await voters.written(number, WRITTEN_WITHIN_S)
        await clock.sleep(clock.seconds(0.2))
        voters.exchange_voter_sets()
        if lost_at and clock.now().total_seconds() - lost_at[0] >= CUT_FOR.total_seconds():
            voters.network.cut.clear()
        number += 1
    assert lost_at, "the message of the loss did not come"
    voters.exchange_voter_sets()
    await voters.until(voters.settled, SETTLED_WITHIN_S)
    await voters.written(number, WRITTEN_WITHIN_S)


def play(scene: Scene) -> str:
    """Play a scene; what was wrong, or nothing."""

    async def scenario(voters: simulated_voters.Voters) -> None:
        await play_scene(voters, scene)

    try:
        simulated_voters.play(scenario, scene.voters)
    except AssertionError as error:
        return f"{scene}: {error}"
    return ""


def scenes(voters: int, every: int = 1, losses: collections.abc.Iterable[Loss] = Loss) -> list[Scene]:
    """All scenes of a walk, at each message or at each so many."""
    walk = WALKS[voters]
    return [
        Scene(voters, lost, message, loss)
        for loss in losses
        for lost in walk.losses
        for message in range(1, walk.messages, every)
    ]


def voter_walk(*, voters: int = 5, every: int = 1, processes: int = 4) -> None:
    """Walk over a voter's replacement with further losses at every message; print what was wrong.

    :param voters: five (one more is lost) or seven (two more are)
    :param every: at each so many messages
    :param processes: how many scenes at once
    """
    if voters not in WALKS:
        sys.exit(f"voters: one of {', '.join(map(str, WALKS))}")
    walked = scenes(voters, every)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        wrong = [text for text in pool.map(functools.partial(play), walked, chunksize=20) if text]
    print(*wrong, f"{len(walked)} scenes, {len(wrong)} wrong", sep="\n")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    defopt.run(voter_walk)
