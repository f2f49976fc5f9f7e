"""Stores of former versions are read and written alike: folders written at commit f1498d9, kept in a data file.

``stored_group.json`` holds the files of three folders in base64: a replica of the control group, a replica of a talk
group (each with an identity, a replica set, a snapshot and entries behind it) and a witness. The tests open them, and
write the same again from the same commands; keys and values of the records must be the same bytes.

``python -m aspencroft.replication.stored_group_test`` writes the data file where there is none; it never changes one
that is there.
"""

import asyncio
import base64
import dbm.dumb
import hashlib
import json
import pathlib
import random
import tempfile

import pytest

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set, witness
from aspencroft.replication import log_records, replica, snapshotting
from aspencroft.runtime import clock, environment
from aspencroft.sessions import entry, lane_sessions, messages
from aspencroft.storage import data_file, store
from aspencroft.transport import codec

PATH = pathlib.Path(__file__).with_name("stored_group.json")
NOW, KEEP, WITHIN = clock.seconds(9), clock.seconds(60), clock.seconds(3)
EPOCH = 3
CONTROL_GROUP, TALK_GROUP = 0, 1
VIEWS = {CONTROL_GROUP: control_state.ControlState, TALK_GROUP: lane_sessions.SessionState}
HOLDERS = (replica_set.ReplicaId("a:1", "identity a"), replica_set.ReplicaId("b:2", "identity b"))
FIRST_VOTERS = replica_set.VoterSet(1, ("w:1", "w:2", "w:3"), ())
NEXT_VOTERS = replica_set.VoterSet(2, ("w:1", "w:2", "w:3"), ("w:1", "w:4"))
GOAL = log_records.RepairGoal(9000, b"goal 009")


class Disk(store.NoSyncDisk):
    """A disk whose work is done at once."""

    async def perform(self, function, *arguments):
        """Do the work."""
        return function(*arguments)


def around() -> environment.Environment:
    """An environment whose random numbers are the same each time."""
    return environment.Environment(None, Disk(), None, random.Random(7), None)


def group_replica(folder: pathlib.Path, group: int) -> replica.Replica:
    """A replica of a group, not opened yet."""
    return replica.Replica(around(), folder, group, VIEWS[group])


def new_witness(folder: pathlib.Path) -> witness.Witness:
    """A witness, not started yet."""
    return witness.Witness(around(), folder, "w:1", 5, FIRST_VOTERS)


async def take(one: replica.Replica, *commands) -> None:
    """Have commands decided and their events appended, as a primary would."""
    for command in commands:
        events, _ = one.state_machine.decide(command, NOW, EPOCH)
        last = one.last().sequence
        await one.append(
            tuple(log_records.Entry(EPOCH, last + place, codec.tagged(event)) for place, event in enumerate(events, 1))
        )


def plan_commands(first: int) -> tuple:
    """Commands of the control group."""
    service = json.dumps({"kind": "plain"})
    return (
        control_state.WriteResources("merge", "", "", json.dumps({"services": {f"s{first}": {"kind": "plain"}}}), None),
        control_state.WriteResources("put", "services", f"s{first + 1}", service, None),
        control_state.AcquireRole(f"duty {first}", f"holder {first}", 5),
        control_state.WriteResources("put", "services", f"s{first + 2}", service, None),
    )


def turn_commands(first: int) -> tuple:
    """Commands of a session group: turns, keys and operations that are open, closed, and given up."""
    program, session = f"program {first}", f"session {first}"
    turns = (f"turn {first}", f"turn {first + 1}", f"turn {first + 2}")
    headers = (entry.Header(b"content-type", b"text/plain"),)

    def begun(turn: str, previous: str) -> entry.BeginTurn:
        return entry.BeginTurn(program, session, turn, previous, 10, 1000, True, KEEP, WITHIN, "edge", "", ())

    def ended(turn: str) -> entry.EndTurn:
        return entry.EndTurn(program, session, turn, messages.DONE, b"in " + turn.encode(), b"out", 7, "worker")

    return (
        begun(turns[0], ""),
        ended(turns[0]),
        begun(turns[1], turns[0]),
        ended(turns[1]),
        begun(turns[2], turns[1]),
        entry.ClaimKey(f"key {first}", "attempt 1", b"digest", WITHIN, KEEP, "edge"),
        entry.CloseKey(f"key {first}", "attempt 1", messages.DONE, 200, headers, b"answer"),
        entry.ClaimKey(f"open key {first}", "attempt 2", b"digest", WITHIN, KEEP, "edge"),
        entry.CloseKey(f"freed key {first}", f"freed attempt {first}", messages.NOT_RUN, 0, (), b""),
        entry.EndTurn(program, session, f"turn {first + 3}", messages.NOT_RUN, b"", b"", 0, ""),
        messages.OpenTurn(program, "helper", 0, "lane", f"go {first}", 10, 1000, KEEP, WITHIN, "edge"),
        messages.CloseTurn(program, "helper", f"go {first}", messages.DONE, "in", "out", 7),
        messages.OpenTurn(program, "helper", 1, "lane", f"go {first + 1}", 10, 1000, KEEP, WITHIN, "edge"),
        messages.ClaimOperation(f"operation {first}", "lane", f"go {first}", b"digest", WITHIN, KEEP),
        messages.CloseOperation(f"operation {first}", f"go {first}", messages.DONE, b"answer"),
    )


COMMANDS = {CONTROL_GROUP: plan_commands, TALK_GROUP: turn_commands}


async def write_group(folder: pathlib.Path, group: int) -> None:
    """A replica that lives through commands, a snapshot, more commands and the beginning of a repair."""
    one = group_replica(folder, group)
    await one.open()
    await one.persist_record(replica_set.ReplicaSet(group, EPOCH, HOLDERS[0], HOLDERS[1:]))
    await take(one, *COMMANDS[group](1))
    await one.compact()
    await take(one, *COMMANDS[group](11))
    await one.begin_repair(GOAL)


async def write_witness(folder: pathlib.Path) -> None:
    """A founding witness that takes part in a ballot, a change of the voter set, and remembers the cluster."""
    one = new_witness(folder)
    await one.start(is_first_start=True)
    value = codec.tagged(replica_set.ReplicaSet(TALK_GROUP, EPOCH, HOLDERS[0], HOLDERS[1:]))
    assert (await one.prepare(replica_set.Prepare(TALK_GROUP, 17, "a:1", 1))).granted
    assert (await one.accept(replica_set.Accept(TALK_GROUP, 17, value, 5, 1))).granted
    assert (await one.prepare(replica_set.Prepare(TALK_GROUP, 23, "b:2", 1))).granted
    await one.adopt(NEXT_VOTERS)
    await one.remember(replica_set.RememberedCluster(NEXT_VOTERS, ("a:1", "b:2")))


def records(folder: pathlib.Path) -> dict[bytes, bytes]:
    """Keys and values of the generation in force, read without the project's code."""
    generation = (folder / "current").read_text().split()[0]
    with dbm.dumb.open(str(folder / f"generation-{generation}" / "journal"), "r") as database:
        return {key: database[key] for key in sorted(database.keys())}


def lay_out(name: str, folder: pathlib.Path) -> pathlib.Path:
    """The folder of the data file with a name, as files."""
    for path, data in json.loads(PATH.read_text())[name].items():
        (folder / path).parent.mkdir(parents=True, exist_ok=True)
        (folder / path).write_bytes(base64.b64decode(data))
    return folder


async def write_all(folder: pathlib.Path) -> None:
    """The three folders, by the present code."""
    await write_group(folder / "control", CONTROL_GROUP)
    await write_group(folder / "talk", TALK_GROUP)
    await write_witness(folder / "witness")


def make_data_file() -> None:
    """Write the data file, unless there is one."""
    snapshotting.COMPACT_ENTRIES = 4
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        asyncio.run(write_all(folder))
        files = {
            home.name: {
                str(path.relative_to(home)): base64.b64encode(path.read_bytes()).decode()
                for path in sorted(home.rglob("*"))
                if path.is_file()
            }
            for home in sorted(folder.iterdir())
        }
    with PATH.open("x") as file:
        file.write(json.dumps(files, indent=1) + "\n")


@pytest.mark.parametrize("name", ["control", "talk", "witness"])
def test_the_same_commands_write_the_same_records_byte_for_byte(name, tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_ENTRIES", 4)
    asyncio.run(write_all(tmp_path / "fresh"))
    former = records(lay_out(name, tmp_path / "former"))
    assert len(former) == {"control": 9, "talk": 20, "witness": 10}[name]
    assert records(tmp_path / "fresh" / name) == former


@pytest.mark.parametrize(
    ("name", "group", "snapshot", "last", "kinds", "state"),
    [
        (
            "control",
            CONTROL_GROUP,
            (3, 4, "533ed0bc3e91104f"),
            (8, "d6f29cf55900c9e2"),
            [72, 72, 78, 72],
            "0bd16c813c66827f6a2b7e0c50f7172caf2116eb62d50d462dd5345c86a0b5fc",
        ),
        (
            "talk",
            TALK_GROUP,
            (3, 15, "d68d366510b2c884"),
            (30, "cc7751cd2d2aa9b5"),
            [149, 154, 149, 154, 149, 155, 156, 155, 156, 154, 102, 105, 102, 111, 113],
            "3d3eb8c8cf3a63a14484704ce2c8a80bb3e4d709823e93efd9c13d03cf92125b",
        ),
    ],
)
def test_a_former_replica_is_opened_as_it_was(name, group, snapshot, last, kinds, state, tmp_path):
    folder = lay_out(name, tmp_path)
    before = records(folder)
    one = group_replica(folder, group)
    asyncio.run(one.open())
    assert one.condition is data_file.Condition.SOUND
    assert one.identity == "f2a74de452e6b438"
    assert one.record == replica_set.ReplicaSet(group, 3, HOLDERS[0], (HOLDERS[1],))
    assert (one.goal.sequence, one.goal.digest) == (9000, b"goal 009")
    assert (one.log.snapshot.epoch, one.log.snapshot.sequence, one.log.snapshot.digest.hex()) == snapshot
    assert (one.last().sequence, one.last().digest.hex()) == last
    assert [kept.epoch for kept in one.log.entries] == [3] * len(kinds)
    assert [kept.sequence for kept in one.log.entries] == list(range(snapshot[1] + 1, last[0] + 1))
    assert [int.from_bytes(kept.body[:2], "big") for kept in one.log.entries] == kinds
    assert hashlib.sha256(one.state_machine.snapshot()).hexdigest() == state
    assert records(folder) == before


def test_a_former_replica_is_written_anew_with_the_same_values(tmp_path):
    """Records of a generation that is written whole: what is written differs from what was appended in no value."""

    async def scenario(name, group):
        folder = lay_out(name, tmp_path / name)
        one = group_replica(folder, group)
        await one.open()
        before = [item.payload for item in store.open_store(folder, Disk())[1]]
        await one.storage.rewrite(one.log.snapshot, one.log.entries)
        after = [item.payload for item in store.open_store(folder, Disk())[1]]
        assert sorted(after) == sorted(before)

    for name, group in (("control", CONTROL_GROUP), ("talk", TALK_GROUP)):
        asyncio.run(scenario(name, group))


def test_a_former_witness_starts_as_it_was(tmp_path):
    async def scenario():
        one = new_witness(lay_out("witness", tmp_path))
        await one.start()
        return one

    one = asyncio.run(scenario())
    value = bytes.fromhex(
        "0015"
        "0000000000000001"
        "0000000000000003"
        f"00000003{b'a:1'.hex()}0000000a{b'identity a'.hex()}"
        f"0000000100000003{b'b:2'.hex()}0000000a{b'identity b'.hex()}"
    )
    assert one.voting
    assert one.voter_set == NEXT_VOTERS
    assert one.ballots == {1: replica_set.Ballot(1, 23, 17, value)}
    assert one.known == replica_set.RememberedCluster(NEXT_VOTERS, ("a:1", "b:2"))


if __name__ == "__main__":
    make_data_file()
