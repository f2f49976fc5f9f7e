"""Sessions of opaque calls against a slow plain model over many seeds, and each of its rules by itself."""

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

MINUTE, BEYOND = clock.seconds(60), clock.seconds(10)
START = clock.seconds(1000)
WITHIN = clock.seconds(3)
KEEP = clock.seconds(60)
INPUT = bytes(17_000)


def begin(attempt: str, previous: str = "", **changes) -> entry.BeginTurn:
    """A turn of program p at edge e, without a budget, kept for a minute."""
    return dataclasses.replace(
        entry.BeginTurn("p", "s", attempt, previous, 10, 0, True, KEEP, WITHIN, "e", "", ()), **changes
    )


def end(attempt: str, outcome: str = messages.DONE, **changes) -> entry.EndTurn:
    """The end of a turn of program p."""
    given = entry.EndTurn("p", "s", attempt, outcome, f"in {attempt}\n".encode(), f"out {attempt}\n".encode(), 7, "i-1")
    return dataclasses.replace(given, **changes)


def claim(attempt: str, **changes) -> entry.ClaimKey:
    """A claim of key k at edge e."""
    return dataclasses.replace(entry.ClaimKey("k", attempt, b"d", WITHIN, MINUTE, "e"), **changes)


def close(attempt: str, outcome: str = messages.DONE, **changes) -> entry.CloseKey:
    """The end of the attempt under key k."""
    given = entry.CloseKey("k", attempt, outcome, 200, (entry.Header(b"Seal", b"1"),), b"body")
    return dataclasses.replace(given, **changes)


def take(book: call_sessions.CallSessions, command, now: datetime.timedelta):
    """Decide and fold a command; its reply."""
    events, reply = book.decide(command, now)
    for event in events:
        book.apply(codec.untagged(codec.tagged(event)))
    return codec.untagged(codec.tagged(reply))


def refused(book: call_sessions.CallSessions, command, now: datetime.timedelta) -> result.RequestError:
    """The refusal of a command."""
    with pytest.raises(result.RequestError) as caught:
        book.decide(command, now)
    return caught.value


def due(book: call_sessions.CallSessions, now: datetime.timedelta, gone=lambda edge: False) -> list:
    """What the clock calls for; ticks of the group's own time among it are recorded and left out."""
    commands = book.due(now, gone)
    for command in commands:
        if isinstance(command, entry.Tick):
            take(book, command, now)
    return [command for command in commands if not isinstance(command, entry.Tick)]


def settle(book: call_sessions.CallSessions, now: datetime.timedelta, gone=lambda edge: False) -> list:
    """Have the clock's commands decided until there are no more; what they were, but for ticks."""
    found = []
    for _ in range(2 * (book.size() + 10)):
        book.scan.next_scan_at = clock.ZERO
        commands = due(book, now, gone)
        for command in commands:
            take(book, command, now)
        found.extend(commands)
        if not commands and not book.scan.remaining:
            break
    return found


def taken_over(book: call_sessions.CallSessions) -> call_sessions.CallSessions:
    """What a backup holds that becomes the primary."""
    other = call_sessions.CallSessions()
    body = b"".join(book.snapshot_parts())
    assert other.restore(body, 0) == len(body)
    assert b"".join(other.snapshot_parts()) == body
    assert (other.payload_bytes(), other.history.successors, set(other.keys.in_flight)) == (
        book.payload_bytes(),
        book.history.successors,
        set(book.keys.in_flight),
    )
    return other


# -- the model ---------------------------------------------------------------------------------------


class Plain:
    """What the state machine should do, by scanning lists: one row an attempt, one a program, one a key."""

    def __init__(self):
        self.rows: list[dict] = []
        self.programs: list[dict] = []
        self.keys: list[dict] = []
        self.freed: list[dict] = []

    def one(self, rows: list[dict], **wanted) -> dict | None:
        """The row in which these fields stand."""
        for row in rows:
            if all(row[name] == value for name, value in wanted.items()):
                return row
        return None

    def chain(self, attempt: str) -> list[dict]:
        """Kept rows up to one, oldest first."""
        found = []
        while attempt:
            row = self.one(self.rows, attempt=attempt, state="kept")
            found.insert(0, row)
            attempt = row["previous"]
        return found

    def turns(self, rows: list[dict]) -> tuple[entry.Turn, ...]:
        """Rows as replies show them."""
        return tuple(
            entry.Turn(one["attempt"], one["previous"], one["input"], one["output"], one["worker"]) for one in rows
        )

    def begin(self, command: entry.BeginTurn, now) -> object:
        """The outcome of a turn's start."""
        row = self.one(self.rows, attempt=command.attempt)
        if row is not None and row["state"] == "running":
            if any(row[name] != getattr(command, name) for name in ("program", "session", "previous", "edge")):
                return result.ResultCode.TURN_UNDER_WAY
            return self.begun(command, row["hint"])
        if row is not None:
            return result.ResultCode.STALE_TURN
        program = self.one(self.programs, name=command.program)
        said = [budget for budget in (program["budget"] if program else 0, command.budget) if budget]
        budget = min(said, default=0)
        if program is not None and budget:
            reserved = sum(
                one["most"]
                for one in self.rows
                if one["state"] == "running" and one["program"] == command.program and one["counted"]
            )
            if program["used"] + reserved >= budget:
                program["since"] = now
                return result.ResultCode.OUT_OF_BUDGET
        before = self.one(self.rows, attempt=command.previous) if command.previous else None
        if command.previous and (before is None or before["state"] != "kept"):
            if before is not None and (
                before["state"] == "running" or (before["retained"] and before["outcome"] == messages.UNKNOWN)
            ):
                return result.ResultCode.TURN_NOT_ENDED
            if not command.base:
                return result.ResultCode.UNKNOWN_TURN
            for turn in command.base:
                known = self.one(self.rows, attempt=turn.attempt)
                if known is None or known["state"] != "kept":
                    self.rows = [row for row in self.rows if row is not known]
                    self.rows.append(
                        dict(
                            dataclasses.asdict(turn),
                            program="",
                            state="kept",
                            keep=command.keep,
                            since=now,
                            outcome=messages.DONE,
                            retained=True,
                            counted=False,
                            charged=0,
                        )
                    )
            before = self.one(self.rows, attempt=command.previous)
        if program is None:
            program = dict(name=command.program, budget=0, used=0, keep=command.keep, worker="", since=now)
            self.programs.append(program)
        hint = before["worker"] if before and before["worker"] else program["worker"]
        program.update(budget=budget, keep=max(program["keep"], command.keep), since=now)
        self.rows.append(
            dict(
                attempt=command.attempt,
                program=command.program,
                session=command.session,
                previous=command.previous,
                most=command.most,
                counted=budget > 0,
                retained=command.retained,
                keep=command.keep,
                within=command.within,
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
        """The reply to a turn's start."""
        chain = self.chain(command.previous)
        names = [row["attempt"] for row in chain]
        if command.have in names:
            return entry.TurnBegun(self.turns(chain[names.index(command.have) + 1 :]), hint, False)
        return entry.TurnBegun(self.turns(chain), hint, True)

    def end(self, command: entry.EndTurn, now) -> object:
        """The outcome of a turn's end."""
        row = self.one(self.rows, attempt=command.attempt)
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
                    keep=clock.ZERO,
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
                and self.one(self.rows, attempt=row["previous"], state="kept") is None
            ):
                return result.ResultCode.STALE_TURN
        program = self.one(self.programs, name=row["program"])
        charge = {messages.DONE: command.used, messages.NOT_RUN: 0, messages.UNKNOWN: row["most"]}[command.outcome]
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
        """The outcome of looking a turn up."""
        row = self.one(self.rows, attempt=command.attempt)
        if row is None or (row["state"] == "ended" and not (row["retained"] and row["outcome"] == messages.UNKNOWN)):
            return entry.TurnFound(False, ())
        if row["state"] != "kept":
            return result.ResultCode.TURN_NOT_ENDED
        return entry.TurnFound(True, self.turns(self.chain(command.attempt)))

    def claim(self, command: entry.ClaimKey, now) -> object:
        """The outcome of a claim."""
        row = self.one(self.keys, key=command.key)
        if row is not None:
            return entry.KeyHeld(
                not row["outcome"] and row["attempt"] == command.attempt,
                row["outcome"],
                row["status"],
                row["headers"],
                row["body"],
            )
        if self.one(self.freed, attempt=command.attempt):
            return result.ResultCode.STALE_TURN
        self.keys.append(
            dict(
                key=command.key,
                attempt=command.attempt,
                within=command.within,
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
        """The outcome of a key's end."""
        row = self.one(self.keys, key=command.key, attempt=command.attempt)
        if command.outcome == messages.NOT_RUN and (row is None or not row["outcome"]):
            if row is not None:
                self.keys.remove(row)
            if self.one(self.freed, attempt=command.attempt) is None:
                self.freed.append(dict(attempt=command.attempt, since=now))
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
        """The reply to a command, or the result of its refusal."""
        ways = {
            entry.BeginTurn: self.begin,
            entry.EndTurn: self.end,
            entry.FindTurn: self.find,
            entry.ClaimKey: self.claim,
            entry.CloseKey: self.close,
        }
        return ways[type(command)](command, now)

    def forget(self, event: entry.Forget, now) -> None:
        """Check that what is forgotten was kept long enough, then drop it."""
        for attempt in event.turns:
            row = self.one(self.rows, attempt=attempt, state="kept")
            assert now - row["since"] > row["keep"] + BEYOND, row
            assert not any(one["previous"] == attempt and one["state"] in ("kept", "running") for one in self.rows)
            if row["keep"] < MINUTE:
                row.update(state="ended", retained=False, since=now)
            else:
                self.rows.remove(row)
        for attempt in event.ended:
            row = self.one(self.rows, attempt=attempt, state="ended")
            assert now - row["since"] > MINUTE
            self.rows.remove(row)
        for name in event.programs:
            row = self.one(self.programs, name=name)
            assert now - row["since"] > max(MINUTE, row["keep"]) + BEYOND
            assert not any(one["program"] == name and one["state"] in ("kept", "running") for one in self.rows)
            self.programs.remove(row)
        for key in event.keys:
            row = self.one(self.keys, key=key)
            assert row["outcome"] and now - row["since"] > row["within"] + row["window"]
            assert now - row["closed"] > row["window"]
            self.keys.remove(row)
        for attempt in event.freed:
            row = self.one(self.freed, attempt=attempt)
            assert now - row["since"] > MINUTE
            self.freed.remove(row)

    def overdue(self, now, gone) -> set[str]:
        """What is under way though its edge is gone or its time over."""
        running = [("attempt", row) for row in self.rows if row["state"] == "running"]
        running += [("key", row) for row in self.keys if not row["outcome"]]
        return {row[name] for name, row in running if gone(row["edge"]) or now - row["since"] > row["within"] + BEYOND}

    def start_clocks(self, now) -> None:
        """A new primary: all times count from here on, but for kept turns, whose age the group knows."""
        for row in (*self.rows, *self.programs, *self.keys, *self.freed):
            if row.get("state") == "kept":
                continue
            row["since"] = now
            if "closed" in row:
                row["closed"] = now


def random_command(chance: random.Random, issued: list, foreign: dict[str, tuple], number: int):
    """A command, often one about attempts of before, sometimes an old one once more."""
    if issued and chance.random() < 0.2:
        return chance.choice(issued[-30:])
    begun = [one for one in issued[-60:] if isinstance(one, entry.BeginTurn)]
    claimed = [one for one in issued[-60:] if isinstance(one, entry.ClaimKey)]
    turn = chance.random()
    names = [one.attempt for one in begun] + list(foreign)
    outcome = chance.choice([messages.DONE, messages.DONE, messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
    if turn < 0.35 or not begun:
        previous = chance.choice(["", *names[-12:], "nobody"] if names else [""])
        base = foreign[previous] if previous in foreign and chance.random() < 0.7 else ()
        return entry.BeginTurn(
            chance.choice(["p", "q", "r"]),
            chance.choice(["", "h"]),
            f"t{number}",
            previous,
            10,
            chance.choice([0, 80, 80, 60, 300]),
            chance.random() < 0.85,
            clock.seconds(chance.choice([20, 60, 90])),
            clock.seconds(chance.choice([1, 30])),
            chance.choice(["e1", "e2", "e3"]),
            chance.choice(["", *names[-5:]]),
            base,
        )
    if turn < 0.7:
        one = chance.choice(begun[-12:])
        attempt = one.attempt if chance.random() < 0.95 else f"n{number}"
        return entry.EndTurn(
            one.program,
            one.session,
            attempt,
            outcome,
            f"in {attempt}".encode() * chance.choice([1, 100]),
            f"out {attempt}".encode(),
            chance.randrange(11),
            chance.choice(["", "w1", "w2"]),
        )
    if turn < 0.78:
        return entry.FindTurn(chance.choice([*names[-20:], "nobody"]))
    if turn < 0.9 or not claimed:
        return entry.ClaimKey(
            f"k{chance.randrange(number // 20 + 2)}",
            f"c{number}",
            chance.randbytes(1),
            clock.seconds(chance.choice([1, 20])),
            clock.seconds(chance.choice([30, 60])),
            chance.choice(["e1", "e2", "e3"]),
        )
    one = chance.choice(claimed[-8:])
    return entry.CloseKey(one.key, one.attempt, outcome, 200, (entry.Header(b"a", b"b"),), chance.randbytes(3))


@pytest.mark.parametrize("first", range(0, 120, 20))
def test_call_sessions_agree_with_a_plain_model(first):
    """Duplicates, reordering, takeovers, branches, imports, an advancing clock: replies and what is forgotten agree."""
    seen = {"grants": 0, "refusals": 0, "imports": 0, "forgotten": 0, "takeovers": 0, "overdue": 0, "ticks": 0}
    for seed in range(first, first + 20):
        chance, book, follower, plain, now = (
            random.Random(seed),
            call_sessions.CallSessions(),
            call_sessions.CallSessions(),
            Plain(),
            START,
        )
        issued: list = []
        foreign: dict[str, tuple] = {}
        for name in ("f", "g"):
            line = tuple(
                entry.Turn(f"{name}{place}", f"{name}{place - 1}" if place else "", b"in" * place, b"out", "w9")
                for place in range(4)
            )
            foreign.update({turn.attempt: line[: place + 1] for place, turn in enumerate(line)})
        gone_edges: set[str] = set()

        def apply(command):
            try:
                events, reply = book.decide(command, now)
            except result.RequestError as refusal:
                return refusal.result
            for event in events:
                if isinstance(event, entry.Forget):
                    plain.forget(event, now)
                    seen["forgotten"] += 1
                book.apply(event)
                follower.apply(codec.untagged(codec.tagged(event)))
            return reply

        for step in range(400):
            now += clock.seconds(chance.choice([0, 0.1, 0.5, 0.5, 2, 2, 30 if chance.random() < 0.1 else 1]))
            if chance.random() < 0.15:
                gone_edges = {edge for edge in ("e1", "e2", "e3") if chance.random() < 0.1}
                commands = book.due(now, gone_edges.__contains__)
                for command in commands:
                    if isinstance(command, entry.Tick):
                        apply(command)
                        seen["ticks"] += 1
                commands = [one for one in commands if not isinstance(one, entry.Tick)]
                ends = [one for one in commands if not isinstance(one, entry.Forget)]
                assert {getattr(one, "key", one.attempt) for one in ends} == plain.overdue(now, gone_edges.__contains__)
                for command in commands:
                    answer = apply(command)
                    if not isinstance(command, entry.Forget):
                        assert answer == plain.expect(command, now)
                        seen["overdue"] += 1
            elif chance.random() < 0.03:
                assert b"".join(book.snapshot_parts()) == b"".join(follower.snapshot_parts())
                if chance.random() < 0.5:
                    book = taken_over(book)
                else:
                    book.reset_clocks()
                book.due(now, lambda edge: False)
                plain.start_clocks(now)
                seen["takeovers"] += 1
            else:
                command = random_command(chance, issued, foreign, step)
                issued.append(command)
                answer, expected = apply(command), plain.expect(command, now)
                assert answer == expected, (seed, step, command)
                seen["grants" if not isinstance(answer, result.ResultCode) else "refusals"] += 1
                seen["imports"] += bool(isinstance(answer, entry.TurnBegun) and getattr(command, "base", ()))
            assert len(book.history.retained) == sum(row["state"] == "kept" for row in plain.rows)
            for program in plain.programs:
                known = book.budgets.accounts[program["name"]]
                assert (known.used, known.budget) == (program["used"], program["budget"])
        for _ in range(40):
            now += clock.seconds(50)
            for command in due(book, now, lambda edge: True):
                answer = apply(command)
                assert isinstance(command, entry.Forget) or answer == plain.expect(command, now)
        assert book.size() == follower.size() == 0 and book.payload_bytes() == follower.payload_bytes() == 0
        assert not book.history.successors and not book.keys.in_flight
        assert not any(
            (
                book.budgets.last_active_at,
                book.history.answered_at,
                book.history.began_at,
                book.history.finished_at,
                book.keys.reserved_at,
                book.keys.released_at,
            )
        )
    assert all(seen.values()), seen


# -- budgets -----------------------------------------------------------------------------------------


def test_a_talk_group_hands_the_ledger_its_commands_events_and_clocks():
    view = lane_sessions.SessionState()
    for command in (begin("a", edge="lost"), claim("c")):
        events, _ = view.decide(command, START, 1)
        for event in events:
            view.apply(event)
    assert view.size() == 3
    assert [type(one) for one in view.due(START, lambda edge: edge == "lost")] == [entry.EndTurn]
    view.reset_clocks()
    assert not view.calls.history.began_at and not view.calls.keys.reserved_at
