"""Compatibility tests of stored data, with folders written at commit f1498d9 and kept in a data file.

``stored_group.json`` holds the files of three folders in base64: a replica of the control group, a replica of a session
group (each with an identity, a replica set, a snapshot and entries after it) and a witness. The tests open them, and
write them again from the same commands; keys and values of the records must be identical bytes.

``python -m aspencroft.replication.stored_group_test`` writes the data file if there is none; it never overwrites one.
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
NOW, KEEP_TIME, TIMEOUT = clock.seconds(9), clock.seconds(60), clock.seconds(3)
EPOCH = 3
CONTROL_GROUP, SESSION_GROUP = 0, 1
STATE_MACHINES = {CONTROL_GROUP: control_state.ControlState, SESSION_GROUP: lane_sessions.SessionState}
HOLDERS = (replica_set.ReplicaId("a:1", "identity a"), replica_set.ReplicaId("b:2", "identity b"))
FIRST_VOTERS = replica_set.VoterSet(1, ("w:1", "w:2", "w:3"), ())
NEXT_VOTERS = replica_set.VoterSet(2, ("w:1", "w:2", "w:3"), ("w:1", "w:4"))
GOAL = log_records.RepairGoal(9000, b"goal 009")


class Disk(store.NoSyncDisk):
    """A disk that performs its work synchronously."""

    async def perform(self, function, *arguments):
        """Call the function at once."""
        return function(*arguments)


def make_environment() -> environment.Environment:
    """Make an environment with a fixed random seed."""
    return environment.Environment(None, Disk(), None, random.Random(7), None)


def make_replica(folder: pathlib.Path, group: int) -> replica.Replica:
    """Make a replica of a group, not opened yet."""
    return replica.Replica(make_environment(), folder, group, STATE_MACHINES[group])


def make_witness(folder: pathlib.Path) -> witness.Witness:
    """Make a witness, not started yet."""
    return witness.Witness(make_environment(), folder, "w:1", 5, FIRST_VOTERS)


async def append_commands(local: replica.Replica, *commands) -> None:
    """Have a replica's state machine decide commands and append the events, as a primary would."""
    for command in commands:
        events, _ = local.state_machine.decide(command, NOW, EPOCH)
        last = local.last().sequence
        await local.append(
            tuple(
                log_records.Entry(EPOCH, last + offset, codec.tagged(event)) for offset, event in enumerate(events, 1)
            )
        )


def control_commands(first: int) -> tuple:
    """Commands of the control group."""
    service = json.dumps({"kind": "plain"})
    return (
        control_state.WriteResources("merge", "", "", json.dumps({"services": {f"s{first}": {"kind": "plain"}}}), None),
        control_state.WriteResources("put", "services", f"s{first + 1}", service, None),
        control_state.AcquireRole(f"duty {first}", f"holder {first}", 5),
        control_state.WriteResources("put", "services", f"s{first + 2}", service, None),
    )


def session_commands(first: int) -> tuple:
    """Commands of a session group: turns, keys and operations that are open, closed and abandoned."""
    program, session = f"program {first}", f"session {first}"
    turns = (f"turn {first}", f"turn {first + 1}", f"turn {first + 2}")
    headers = (entry.Header(b"content-type", b"text/plain"),)

    def begun(turn: str, previous: str) -> entry.BeginTurn:
        return entry.BeginTurn(program, session, turn, previous, 10, 1000, True, KEEP_TIME, TIMEOUT, "edge", "", ())

    def ended(turn: str) -> entry.EndTurn:
        return entry.EndTurn(program, session, turn, messages.DONE, b"in " + turn.encode(), b"out", 7, "worker")

    return (
        begun(turns[0], ""),
        ended(turns[0]),
        begun(turns[1], turns[0]),
        ended(turns[1]),
        begun(turns[2], turns[1]),
        entry.ClaimKey(f"key {first}", "attempt 1", b"digest", TIMEOUT, KEEP_TIME, "edge"),
        entry.CloseKey(f"key {first}", "attempt 1", messages.DONE, 200, headers, b"answer"),
        entry.ClaimKey(f"open key {first}", "attempt 2", b"digest", TIMEOUT, KEEP_TIME, "edge"),
        entry.CloseKey(f"freed key {first}", f"freed attempt {first}", messages.NOT_RUN, 0, (), b""),
        entry.EndTurn(program, session, f"turn {first + 3}", messages.NOT_RUN, b"", b"", 0, ""),
        messages.OpenTurn(program, "helper", 0, "lane", f"go {first}", 10, 1000, KEEP_TIME, TIMEOUT, "edge"),
        messages.CloseTurn(program, "helper", f"go {first}", messages.DONE, "in", "out", 7),
        messages.OpenTurn(program, "helper", 1, "lane", f"go {first + 1}", 10, 1000, KEEP_TIME, TIMEOUT, "edge"),
        messages.ClaimOperation(f"operation {first}", "lane", f"go {first}", b"digest", TIMEOUT, KEEP_TIME),
        messages.CloseOperation(f"operation {first}", f"go {first}", messages.DONE, b"answer"),
    )


COMMANDS = {CONTROL_GROUP: control_commands, SESSION_GROUP: session_commands}


async def write_group(folder: pathlib.Path, group: int) -> None:
    """Write a replica with commands, a snapshot, more commands and the beginning of a repair."""
    local = make_replica(folder, group)
    await local.open()
    await local.persist_record(replica_set.ReplicaSet(group, EPOCH, HOLDERS[0], HOLDERS[1:]))
    await append_commands(local, *COMMANDS[group](1))
    await local.compact()
    await append_commands(local, *COMMANDS[group](11))
    await local.begin_repair(GOAL)


async def write_witness(folder: pathlib.Path) -> None:
    """Write a witness of the first start that takes part in ballots and a voter set change, and stores the cluster."""
    stored_witness = make_witness(folder)
    await stored_witness.start(is_first_start=True)
    value = codec.tagged(replica_set.ReplicaSet(SESSION_GROUP, EPOCH, HOLDERS[0], HOLDERS[1:]))
    assert (await stored_witness.prepare(replica_set.Prepare(SESSION_GROUP, 17, "a:1", 1))).granted
    assert (await stored_witness.accept(replica_set.Accept(SESSION_GROUP, 17, value, 5, 1))).granted
    assert (await stored_witness.prepare(replica_set.Prepare(SESSION_GROUP, 23, "b:2", 1))).granted
    await stored_witness.adopt(NEXT_VOTERS)
    await stored_witness.remember(replica_set.RememberedCluster(NEXT_VOTERS, ("a:1", "b:2")))


def records(folder: pathlib.Path) -> dict[bytes, bytes]:
    """Read keys and values of the generation in force without the project's code."""
    generation = (folder / "current").read_text().split()[0]
    with dbm.dumb.open(str(folder / f"generation-{generation}" / "journal"), "r") as database:
        return {key: database[key] for key in sorted(database.keys())}


def unpack_folder(name: str, folder: pathlib.Path) -> pathlib.Path:
    """Unpack a folder of the data file."""
    for path, data in json.loads(PATH.read_text())[name].items():
        (folder / path).parent.mkdir(parents=True, exist_ok=True)
        (folder / path).write_bytes(base64.b64decode(data))
    return folder


async def write_all(folder: pathlib.Path) -> None:
    """Write the three folders with the present code."""
    await write_group(folder / "control", CONTROL_GROUP)
    await write_group(folder / "talk", SESSION_GROUP)
    await write_witness(folder / "witness")


def make_data_file() -> None:
    """Write the data file; fails if there is one."""
    snapshotting.COMPACT_ENTRIES = 4
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        asyncio.run(write_all(folder))
        files = {
            stored.name: {
                str(path.relative_to(stored)): base64.b64encode(path.read_bytes()).decode()
                for path in sorted(stored.rglob("*"))
                if path.is_file()
            }
            for stored in sorted(folder.iterdir())
        }
    with PATH.open("x") as file:
        file.write(json.dumps(files, indent=1) + "\n")


@pytest.mark.parametrize("name", ["control", "talk", "witness"])
def test_the_same_commands_write_the_same_records_byte_for_byte(name, tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_ENTRIES", 4)
    asyncio.run(write_all(tmp_path / "fresh"))
    former = records(unpack_folder(name, tmp_path / "former"))
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
            SESSION_GROUP,
            (3, 15, "d68d366510b2c884"),
            (30, "cc7751cd2d2aa9b5"),
            [149, 154, 149, 154, 149, 155, 156, 155, 156, 154, 102, 105, 102, 111, 113],
            "3d3eb8c8cf3a63a14484704ce2c8a80bb3e4d709823e93efd9c13d03cf92125b",
        ),
    ],
)
def test_a_former_replica_is_opened_as_it_was(name, group, snapshot, last, kinds, state, tmp_path):
    folder = unpack_folder(name, tmp_path)
    before = records(folder)
    local = make_replica(folder, group)
    asyncio.run(local.open())
    assert local.condition is data_file.Condition.SOUND
    assert local.identity == "f2a74de452e6b438"
    assert local.record == replica_set.ReplicaSet(group, 3, HOLDERS[0], (HOLDERS[1],))
    assert (local.goal.sequence, local.goal.digest) == (9000, b"goal 009")
    assert (local.log.snapshot.epoch, local.log.snapshot.sequence, local.log.snapshot.digest.hex()) == snapshot
    assert (local.last().sequence, local.last().digest.hex()) == last
    assert [stored_entry.epoch for stored_entry in local.log.entries] == [3] * len(kinds)
    assert [stored_entry.sequence for stored_entry in local.log.entries] == list(range(snapshot[1] + 1, last[0] + 1))
    assert [int.from_bytes(stored_entry.body[:2], "big") for stored_entry in local.log.entries] == kinds
    assert hashlib.sha256(local.state_machine.snapshot()).hexdigest() == state
    assert records(folder) == before


def test_a_former_replica_is_written_anew_with_the_same_values(tmp_path):
    """A rewritten generation holds the same values as the one that was appended to record by record."""

    async def scenario(name, group):
        folder = unpack_folder(name, tmp_path / name)
        local = make_replica(folder, group)
        await local.open()
        before = [item.payload for item in store.open_store(folder, Disk())[1]]
        await local.storage.rewrite(local.log.snapshot, local.log.entries)
        after = [item.payload for item in store.open_store(folder, Disk())[1]]
        assert sorted(after) == sorted(before)

    for name, group in (("control", CONTROL_GROUP), ("talk", SESSION_GROUP)):
        asyncio.run(scenario(name, group))


def test_a_former_witness_starts_as_it_was(tmp_path):
    async def scenario():
        stored_witness = make_witness(unpack_folder("witness", tmp_path))
        await stored_witness.start()
        return stored_witness

    stored_witness = asyncio.run(scenario())
    value = bytes.fromhex(
        "0015"
        "0000000000000001"
        "0000000000000003"
        f"00000003{b'a:1'.hex()}0000000a{b'identity a'.hex()}"
        f"0000000100000003{b'b:2'.hex()}0000000a{b'identity b'.hex()}"
    )
    assert stored_witness.voting
    assert stored_witness.voter_set == NEXT_VOTERS
    assert stored_witness.ballots == {1: replica_set.Ballot(1, 23, 17, value)}
    assert stored_witness.known == replica_set.RememberedCluster(NEXT_VOTERS, ("a:1", "b:2"))


if __name__ == "__main__":
    make_data_file()
