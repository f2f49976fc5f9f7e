"""Tests of ``aspencroft.sessions.call_sessions`` against a simple reference model over many seeds.

The helpers at the top are shared by the other tests of this package.
"""

import dataclasses
import datetime
import random

import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import (
    call_sessions,
    entry,
    lane_sessions,
    messages,
)
from aspencroft.transport import codec

MINUTE, MARGIN = clock.seconds(60), clock.seconds(10)
START = clock.seconds(1000)
TIME_LIMIT = clock.seconds(3)
KEEP = clock.seconds(60)
INPUT = bytes(17_000)


def begin(attempt: str, previous: str = "", **changes) -> entry.BeginTurn:
    """Build the start of a turn of program p at edge e, without a budget, retained for a minute."""
    return dataclasses.replace(
        entry.BeginTurn("p", "s", attempt, previous, 10, 0, True, KEEP, TIME_LIMIT, "e", "", ()), **changes
    )


def end(attempt: str, outcome: str = messages.DONE, **changes) -> entry.EndTurn:
    """Build the end of a turn of program p."""
    command = entry.EndTurn(
        "p", "s", attempt, outcome, f"in {attempt}\n".encode(), f"out {attempt}\n".encode(), 7, "i-1"
    )
    return dataclasses.replace(command, **changes)


def claim(attempt: str, **changes) -> entry.ClaimKey:
    """Build the reservation of key k at edge e."""
    return dataclasses.replace(entry.ClaimKey("k", attempt, b"d", TIME_LIMIT, MINUTE, "e"), **changes)


def close(attempt: str, outcome: str = messages.DONE, **changes) -> entry.CloseKey:
    """Build the end of the attempt that holds key k."""
    command = entry.CloseKey("k", attempt, outcome, 200, (entry.Header(b"Seal", b"1"),), b"body")
    return dataclasses.replace(command, **changes)


def execute(calls: call_sessions.CallSessions, command, now: datetime.timedelta):
    """Decide a command and apply its events, both through the codec; return its reply."""
    events, reply = calls.decide(command, now)
    for event in events:
        calls.apply(codec.untagged(codec.tagged(event)))
    return codec.untagged(codec.tagged(reply))


def rejection_of(calls: call_sessions.CallSessions, command, now: datetime.timedelta) -> result.RequestError:
    """Return the error with which a command is rejected."""
    with pytest.raises(result.RequestError) as caught:
        calls.decide(command, now)
    return caught.value


def due_commands(calls: call_sessions.CallSessions, now: datetime.timedelta, is_gone=lambda edge: False) -> list:
    """Return the timer commands that are due; ticks of the group's time are executed and left out."""
    commands = calls.due(now, is_gone)
    for command in commands:
        if isinstance(command, entry.Tick):
            execute(calls, command, now)
    return [command for command in commands if not isinstance(command, entry.Tick)]


def run_due_commands(calls: call_sessions.CallSessions, now: datetime.timedelta, is_gone=lambda edge: False) -> list:
    """Execute the timer commands until none are due; return them, without ticks."""
    executed = []
    for _ in range(2 * (calls.size() + 10)):
        calls.scan.next_scan_at = clock.ZERO
        commands = due_commands(calls, now, is_gone)
        for command in commands:
            execute(calls, command, now)
        executed.extend(commands)
        if not commands and not calls.scan.remaining:
            break
    return executed


def successor_of(calls: call_sessions.CallSessions) -> call_sessions.CallSessions:
    """Return the state of a backup that takes over, restored from a snapshot."""
    other = call_sessions.CallSessions()
    body = b"".join(calls.snapshot_parts())
    assert other.restore(body, 0) == len(body)
    assert b"".join(other.snapshot_parts()) == body
    assert (other.payload_bytes(), other.history.successors, set(other.keys.in_flight)) == (
        calls.payload_bytes(),
        calls.history.successors,
        set(calls.keys.in_flight),
    )
    return other


# -- reference model ---------------------------------------------------------------------------------


class ReferenceModel:
    """Expected behaviour of the state machine, found by scanning lists of rows for attempts, programs and keys."""

    def __init__(self):
        self.rows: list[dict] = []
        self.programs: list[dict] = []
        self.keys: list[dict] = []
        self.released_attempts: list[dict] = []

    def find_row(self, rows: list[dict], **fields) -> dict | None:
        """Return the first row with the given values."""
        for row in rows:
            if all(row[name] == value for name, value in fields.items()):
                return row
        return None

    def chain(self, attempt: str) -> list[dict]:
        """Return the retained rows of the chain that ends with an attempt, oldest first."""
        chain = []
        while attempt:
            row = self.find_row(self.rows, attempt=attempt, state="kept")
            chain.insert(0, row)
            attempt = row["previous"]
        return chain

    def turns(self, rows: list[dict]) -> tuple[entry.Turn, ...]:
        """Convert rows to the turns of a reply."""
        return tuple(
            entry.Turn(row["attempt"], row["previous"], row["input"], row["output"], row["worker"]) for row in rows
        )

    def begin(self, command: entry.BeginTurn, now) -> object:
        """Return the expected reply or error of a turn's start."""
        row = self.find_row(self.rows, attempt=command.attempt)
        if row is not None and row["state"] == "running":
            if any(row[name] != getattr(command, name) for name in ("program", "session", "previous", "edge")):
                return result.ResultCode.TURN_UNDER_WAY
            return self.begun(command, row["hint"])
        if row is not None:
            return result.ResultCode.STALE_TURN
        program = self.find_row(self.programs, name=command.program)
        budgets = [budget for budget in (program["budget"] if program else 0, command.budget) if budget]
        budget = min(budgets, default=0)
        if program is not None and budget:
            reserved = sum(
                other["max_tokens"]
                for other in self.rows
                if other["state"] == "running" and other["program"] == command.program and other["counted"]
            )
            if program["used"] + reserved >= budget:
                program["since"] = now
                return result.ResultCode.OUT_OF_BUDGET
        before = self.find_row(self.rows, attempt=command.previous) if command.previous else None
        if command.previous and (before is None or before["state"] != "kept"):
            if before is not None and (
                before["state"] == "running" or (before["retained"] and before["outcome"] == messages.UNKNOWN)
            ):
                return result.ResultCode.TURN_NOT_ENDED
            if not command.base:
                return result.ResultCode.UNKNOWN_TURN
            for turn in command.base:
                known = self.find_row(self.rows, attempt=turn.attempt)
                if known is None or known["state"] != "kept":
                    self.rows = [row for row in self.rows if row is not known]
                    self.rows.append(
                        dict(
                            dataclasses.asdict(turn),
                            program="",
                            state="kept",
                            retention_period=command.retention_period,
                            since=now,
                            outcome=messages.DONE,
                            retained=True,
                            counted=False,
                            charged=0,
                        )
                    )
            before = self.find_row(self.rows, attempt=command.previous)
        if program is None:
            program = dict(
                name=command.program, budget=0, used=0, retention_period=command.retention_period, worker="", since=now
            )
            self.programs.append(program)
        hint = before["worker"] if before and before["worker"] else program["worker"]
        program.update(
            budget=budget, retention_period=max(program["retention_period"], command.retention_period), since=now
        )
        self.rows.append(
            dict(
                attempt=command.attempt,
                program=command.program,
                session=command.session,
                previous=command.previous,
                max_tokens=command.max_tokens,
                counted=budget > 0,
                retained=command.retained,
                retention_period=command.retention_period,
                time_limit=command.time_limit,
                edge=command.edge,
                state="running",
                outcome="",
                hint=hint,
                charged=0,
                since=now,
            )
        )
        return self.begun(command, hint)

    def begun(self, command: entry.BeginTurn, hint: str) -> entry.TurnBegun:
        """Return the expected reply to the start of a turn that is granted."""
        chain = self.chain(command.previous)
        names = [row["attempt"] for row in chain]
        if command.held_turn in names:
            return entry.TurnBegun(self.turns(chain[names.index(command.held_turn) + 1 :]), hint, False)
        return entry.TurnBegun(self.turns(chain), hint, True)

    def end(self, command: entry.EndTurn, now) -> object:
        """Return the expected reply or error of a turn's end."""
        row = self.find_row(self.rows, attempt=command.attempt)
        if row is None:
            if command.outcome != messages.NOT_RUN:
                return result.ResultCode.UNKNOWN_TURN
            self.rows.append(
                dict(
                    attempt=command.attempt,
                    program="",
                    previous="",
                    state="ended",
                    outcome=messages.NOT_RUN,
                    retained=False,
                    counted=False,
                    charged=0,
                    since=now,
                    retention_period=clock.ZERO,
                )
            )
            return messages.Closed(messages.NOT_RUN)
        if row["state"] != "running":
            if row["outcome"] != messages.UNKNOWN or command.outcome == messages.UNKNOWN:
                if (row["outcome"], command.outcome) == (messages.NOT_RUN, messages.DONE):
                    return result.ResultCode.STALE_TURN
                return messages.Closed(row["outcome"])
            if (
                command.outcome == messages.DONE
                and row["retained"]
                and row["previous"]
                and self.find_row(self.rows, attempt=row["previous"], state="kept") is None
            ):
                return result.ResultCode.STALE_TURN
        program = self.find_row(self.programs, name=row["program"])
        charge = {messages.DONE: command.used, messages.NOT_RUN: 0, messages.UNKNOWN: row["max_tokens"]}[
            command.outcome
        ]
        charge = charge if row["counted"] else 0
        if program is not None:
            program["used"] += charge - row["charged"]
            program["worker"] = command.worker or program["worker"]
            program["since"] = now
        kept = command.outcome == messages.DONE and row["retained"]
        row.update(state="kept" if kept else "ended", outcome=command.outcome, charged=charge, since=now)
        if kept:
            row.update(input=command.input, output=command.output, worker=command.worker)
        return messages.Closed(command.outcome)

    def find(self, command: entry.FindTurn, now) -> object:
        """Return the expected reply or error of a turn's look-up."""
        row = self.find_row(self.rows, attempt=command.attempt)
        if row is None or (row["state"] == "ended" and not (row["retained"] and row["outcome"] == messages.UNKNOWN)):
            return entry.TurnFound(False, ())
        if row["state"] != "kept":
            return result.ResultCode.TURN_NOT_ENDED
        return entry.TurnFound(True, self.turns(self.chain(command.attempt)))

    def claim(self, command: entry.ClaimKey, now) -> object:
        """Return the expected reply or error of a key's reservation."""
        row = self.find_row(self.keys, key=command.key)
        if row is not None:
            return entry.KeyHeld(
                not row["outcome"] and row["attempt"] == command.attempt,
                row["outcome"],
                row["status"],
                row["headers"],
                row["body"],
            )
        if self.find_row(self.released_attempts, attempt=command.attempt):
            return result.ResultCode.STALE_TURN
        self.keys.append(
            dict(
                key=command.key,
                attempt=command.attempt,
                time_limit=command.time_limit,
                window=command.window,
                edge=command.edge,
                outcome="",
                status=0,
                headers=(),
                body=b"",
                since=now,
                closed=now,
            )
        )
        return entry.KeyHeld(True, "", 0, (), b"")

    def close(self, command: entry.CloseKey, now) -> object:
        """Return the expected reply or error of a key's end."""
        row = self.find_row(self.keys, key=command.key, attempt=command.attempt)
        if command.outcome == messages.NOT_RUN and (row is None or not row["outcome"]):
            if row is not None:
                self.keys.remove(row)
            if self.find_row(self.released_attempts, attempt=command.attempt) is None:
                self.released_attempts.append(dict(attempt=command.attempt, since=now))
            return messages.Closed(messages.NOT_RUN)
        if row is None:
            return messages.Closed("")
        if row["outcome"] and (row["outcome"], command.outcome) != (messages.UNKNOWN, messages.DONE):
            return messages.Closed(row["outcome"])
        row.update(outcome=command.outcome, closed=now)
        if command.outcome == messages.DONE:
            row.update(status=command.status, headers=command.headers, body=command.body)
        return messages.Closed(command.outcome)

    def expect(self, command, now) -> object:
        """Return the expected reply to a command, or the result code of its rejection."""
        handlers = {
            entry.BeginTurn: self.begin,
            entry.EndTurn: self.end,
            entry.FindTurn: self.find,
            entry.ClaimKey: self.claim,
            entry.CloseKey: self.close,
        }
        return handlers[type(command)](command, now)

    def forget(self, event: entry.Forget, now) -> None:
        """Check that the forgotten items were retained long enough, and drop them."""
        for attempt in event.turns:
            row = self.find_row(self.rows, attempt=attempt, state="kept")
            assert now - row["since"] > row["retention_period"] + MARGIN, row
            assert not any(
                other["previous"] == attempt and other["state"] in ("kept", "running") for other in self.rows
            )
            if row["retention_period"] < MINUTE:
                row.update(state="ended", retained=False, since=now)
            else:
                self.rows.remove(row)
        for attempt in event.finished_attempts:
            row = self.find_row(self.rows, attempt=attempt, state="ended")
            assert now - row["since"] > MINUTE
            self.rows.remove(row)
        for name in event.programs:
            row = self.find_row(self.programs, name=name)
            assert now - row["since"] > max(MINUTE, row["retention_period"]) + MARGIN
            assert not any(other["program"] == name and other["state"] in ("kept", "running") for other in self.rows)
            self.programs.remove(row)
        for key in event.keys:
            row = self.find_row(self.keys, key=key)
            assert row["outcome"] and now - row["since"] > row["time_limit"] + row["window"]
            assert now - row["closed"] > row["window"]
            self.keys.remove(row)
        for attempt in event.released_attempts:
            row = self.find_row(self.released_attempts, attempt=attempt)
            assert now - row["since"] > MINUTE
            self.released_attempts.remove(row)

    def overdue(self, now, is_gone) -> set[str]:
        """Return the work in flight whose edge is gone or whose time limit has passed."""
        running = [("attempt", row) for row in self.rows if row["state"] == "running"]
        running += [("key", row) for row in self.keys if not row["outcome"]]
        return {
            row[name]
            for name, row in running
            if is_gone(row["edge"]) or now - row["since"] > row["time_limit"] + MARGIN
        }

    def restart_timers(self, now) -> None:
        """Restart all timers, as a new primary does, except for retained turns, whose age the group knows."""
        for row in (*self.rows, *self.programs, *self.keys, *self.released_attempts):
            if row.get("state") == "kept":
                continue
            row["since"] = now
            if "closed" in row:
                row["closed"] = now


def random_command(rng: random.Random, issued: list, foreign: dict[str, tuple], number: int):
    """Return a random command, often about earlier attempts, sometimes a repetition of an earlier command."""
    if issued and rng.random() < 0.2:
        return rng.choice(issued[-30:])
    begun = [command for command in issued[-60:] if isinstance(command, entry.BeginTurn)]
    claimed = [command for command in issued[-60:] if isinstance(command, entry.ClaimKey)]
    draw = rng.random()
    names = [command.attempt for command in begun] + list(foreign)
    outcome = rng.choice([messages.DONE, messages.DONE, messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
    if draw < 0.35 or not begun:
        previous = rng.choice(["", *names[-12:], "nobody"] if names else [""])
        base = foreign[previous] if previous in foreign and rng.random() < 0.7 else ()
        return entry.BeginTurn(
            rng.choice(["p", "q", "r"]),
            rng.choice(["", "h"]),
            f"t{number}",
            previous,
            10,
            rng.choice([0, 80, 80, 60, 300]),
            rng.random() < 0.85,
            clock.seconds(rng.choice([20, 60, 90])),
            clock.seconds(rng.choice([1, 30])),
            rng.choice(["e1", "e2", "e3"]),
            rng.choice(["", *names[-5:]]),
            base,
        )
    if draw < 0.7:
        start = rng.choice(begun[-12:])
        attempt = start.attempt if rng.random() < 0.95 else f"n{number}"
        return entry.EndTurn(
            start.program,
            start.session,
            attempt,
            outcome,
            f"in {attempt}".encode() * rng.choice([1, 100]),
            f"out {attempt}".encode(),
            rng.randrange(11),
            rng.choice(["", "w1", "w2"]),
        )
    if draw < 0.78:
        return entry.FindTurn(rng.choice([*names[-20:], "nobody"]))
    if draw < 0.9 or not claimed:
        return entry.ClaimKey(
            f"k{rng.randrange(number // 20 + 2)}",
            f"c{number}",
            rng.randbytes(1),
            clock.seconds(rng.choice([1, 20])),
            clock.seconds(rng.choice([30, 60])),
            rng.choice(["e1", "e2", "e3"]),
        )
    reservation = rng.choice(claimed[-8:])
    return entry.CloseKey(
        reservation.key, reservation.attempt, outcome, 200, (entry.Header(b"a", b"b"),), rng.randbytes(3)
    )


@pytest.mark.parametrize("first", range(0, 120, 20))
def test_call_sessions_agree_with_a_plain_model(first):
    """Replies and forgotten items agree under duplicates, reordering, takeovers, branches, imports and elapsed time."""
    counts = {"grants": 0, "refusals": 0, "imports": 0, "forgotten": 0, "takeovers": 0, "overdue": 0, "ticks": 0}
    for seed in range(first, first + 20):
        rng, calls, follower, model, now = (
            random.Random(seed),
            call_sessions.CallSessions(),
            call_sessions.CallSessions(),
            ReferenceModel(),
            START,
        )
        issued: list = []
        foreign: dict[str, tuple] = {}
        for name in ("f", "g"):
            chain = tuple(
                entry.Turn(f"{name}{place}", f"{name}{place - 1}" if place else "", b"in" * place, b"out", "w9")
                for place in range(4)
            )
            foreign.update({turn.attempt: chain[: place + 1] for place, turn in enumerate(chain)})
        gone_edges: set[str] = set()

        def apply(command):
            try:
                events, reply = calls.decide(command, now)
            except result.RequestError as refusal:
                return refusal.result
            for event in events:
                if isinstance(event, entry.Forget):
                    model.forget(event, now)
                    counts["forgotten"] += 1
                calls.apply(event)
                follower.apply(codec.untagged(codec.tagged(event)))
            return reply

        for step in range(400):
            now += clock.seconds(rng.choice([0, 0.1, 0.5, 0.5, 2, 2, 30 if rng.random() < 0.1 else 1]))
            if rng.random() < 0.15:
                gone_edges = {edge for edge in ("e1", "e2", "e3") if rng.random() < 0.1}
                commands = calls.due(now, gone_edges.__contains__)
                for command in commands:
                    if isinstance(command, entry.Tick):
                        apply(command)
                        counts["ticks"] += 1
                commands = [command for command in commands if not isinstance(command, entry.Tick)]
                ends = [command for command in commands if not isinstance(command, entry.Forget)]
                assert {getattr(command, "key", command.attempt) for command in ends} == model.overdue(
                    now, gone_edges.__contains__
                )
                for command in commands:
                    answer = apply(command)
                    if not isinstance(command, entry.Forget):
                        assert answer == model.expect(command, now)
                        counts["overdue"] += 1
            elif rng.random() < 0.03:
                assert b"".join(calls.snapshot_parts()) == b"".join(follower.snapshot_parts())
                if rng.random() < 0.5:
                    calls = successor_of(calls)
                else:
                    calls.reset_clocks()
                calls.due(now, lambda edge: False)
                model.restart_timers(now)
                counts["takeovers"] += 1
            else:
                command = random_command(rng, issued, foreign, step)
                issued.append(command)
                answer, expected = apply(command), model.expect(command, now)
                assert answer == expected, (seed, step, command)
                counts["grants" if not isinstance(answer, result.ResultCode) else "refusals"] += 1
                counts["imports"] += bool(isinstance(answer, entry.TurnBegun) and getattr(command, "base", ()))
            assert len(calls.history.retained) == sum(row["state"] == "kept" for row in model.rows)
            for program in model.programs:
                known = calls.budgets.accounts[program["name"]]
                assert (known.used, known.budget) == (program["used"], program["budget"])
        for _ in range(40):
            now += clock.seconds(50)
            for command in due_commands(calls, now, lambda edge: True):
                answer = apply(command)
                assert isinstance(command, entry.Forget) or answer == model.expect(command, now)
        assert calls.size() == follower.size() == 0 and calls.payload_bytes() == follower.payload_bytes() == 0
        assert not calls.history.successors and not calls.keys.in_flight
        assert not any(
            (
                calls.budgets.last_active_at,
                calls.history.answered_at,
                calls.history.began_at,
                calls.history.finished_at,
                calls.keys.reserved_at,
                calls.keys.released_at,
            )
        )
    assert all(counts.values()), counts


# -- within a session group --------------------------------------------------------------------------


def test_a_session_group_passes_commands_events_and_timers_on_to_its_call_sessions():
    state = lane_sessions.SessionState()
    for command in (begin("a", edge="lost"), claim("c")):
        events, _ = state.decide(command, START, 1)
        for event in events:
            state.apply(event)
    assert state.size() == 3
    assert [type(command) for command in state.due(START, lambda edge: edge == "lost")] == [entry.EndTurn]
    state.reset_clocks()
    assert not state.calls.history.began_at and not state.calls.keys.reserved_at
