"""Sessions of opaque calls against a slow plain model over many seeds, and each of its rules by itself."""

import dataclasses
import datetime
import itertools
import random
import tracemalloc

import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import (
    call_sessions,
    entry,
    lane_sessions,
    messages,
    operation_keys,
    retention,
    session_snapshot,
    token_budget,
    turn_history,
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


def test_concurrent_turns_over_many_edges_stay_under_the_budget_plus_one_turn():
    for seed in range(50):
        chance, book, now = random.Random(seed), call_sessions.CallSessions(), START
        given, running, most, budget = 0, {}, 10, 200
        for number in range(300):
            now += clock.seconds(0.05)
            if running and chance.random() < 0.5:
                attempt = chance.choice(list(running))
                edge = running.pop(attempt)
                outcome = chance.choice([messages.DONE, messages.NOT_RUN, messages.UNKNOWN, "edge lost"])
                used = chance.randrange(most + 1)
                if outcome == "edge lost":
                    for command in due(book, now, lambda life: life == edge):
                        take(book, command, now)
                        running.pop(command.attempt, None)
                        given += used
                    continue
                given += 0 if outcome == messages.NOT_RUN else used
                command = end(attempt, outcome, used=used if outcome == messages.DONE else 0)
                for _ in range(chance.choice([1, 2])):
                    take(book, command, now)
            else:
                edge = f"e{chance.randrange(8)} {number}"
                command = begin(f"t{number}", budget=budget, most=most, edge=edge)
                try:
                    for _ in range(chance.choice([1, 2])):
                        take(book, command, now)
                    running[command.attempt] = edge
                except result.RequestError as refusal:
                    assert refusal.result is result.ResultCode.OUT_OF_BUDGET and refusal.ran is result.Ran.NOT_RUN
            if chance.random() < 0.05:
                book = taken_over(book)
            assert given + most * len(running) <= budget + most - 1
        assert given > budget / 4


def test_the_budget_said_first_stands_and_is_only_lowered():
    book = call_sessions.CallSessions()
    take(book, begin("a", budget=25), START)
    take(book, begin("b", budget=1000), START)
    take(book, begin("c", budget=0), START)
    assert refused(book, begin("d", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, end("a", messages.NOT_RUN), START)
    assert refused(book, begin("e", budget=15), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, begin("e", budget=21), START)
    assert refused(book, begin("f", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, end("b", messages.NOT_RUN), START)
    take(book, end("c", messages.NOT_RUN), START)
    take(book, begin("f"), START)
    take(book, begin("g"), START)
    assert refused(book, begin("h", budget=25), START).result is result.ResultCode.OUT_OF_BUDGET
    assert book.budgets.accounts["p"].budget == 21


def test_without_a_budget_nothing_is_counted():
    book = call_sessions.CallSessions()
    for number in range(50):
        take(book, begin(f"t{number}", most=10**9), START)
        take(book, end(f"t{number}", used=10**9), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (0, 0)
    take(book, begin("counted", budget=10), START)
    assert refused(book, begin("more", budget=10), START).result is result.ResultCode.OUT_OF_BUDGET


def test_a_broken_stream_is_charged_in_full_and_a_turn_not_run_not_at_all():
    book = call_sessions.CallSessions()
    take(book, begin("a", budget=100), START)
    take(book, end("a", messages.UNKNOWN, used=3), START)
    assert book.budgets.accounts["p"].used == 10
    take(book, begin("b", budget=100), START)
    take(book, end("b", messages.NOT_RUN), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (10, 0)
    take(book, begin("c", budget=100), START)
    take(book, end("c", used=4), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (14, 0)


def test_a_program_that_goes_on_asking_is_not_forgotten_with_its_budget():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a", budget=10, retained=False), now)
    take(book, end("a", messages.UNKNOWN), now)
    for number in range(12):
        now += clock.seconds(65)
        settle(book, now)
        assert refused(book, begin(f"b{number}", budget=10), now).result is result.ResultCode.OUT_OF_BUDGET
    settle(book, now + clock.seconds(69))
    assert "p" in book.budgets.accounts
    settle(book, now + clock.seconds(71))
    assert "p" not in book.budgets.accounts and book.size() == 0


def test_a_budget_outlives_takeovers_and_every_kept_turn_of_its_program():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a", budget=100, keep=clock.seconds(300)), now)
    take(book, end("a"), now)
    for _ in range(4):
        now += clock.seconds(71)
        settle(book, now)
        assert book.budgets.accounts["p"].used == 7
        book = taken_over(book)
        assert book.budgets.accounts["p"].used == 7
    settle(book, now)
    settle(book, now + clock.seconds(309))
    assert book.budgets.accounts["p"].used == 7 and "a" in book.history.retained
    settle(book, now + clock.seconds(311))
    assert book.size() == 0


def test_a_budget_outlives_a_long_turn_and_another_program_that_goes_on_from_its_turns():
    book, late = call_sessions.CallSessions(), START + clock.seconds(200)
    take(book, begin("a", budget=10), START)
    take(book, end("a"), START)
    take(book, begin("b", "a", program="q", within=clock.seconds(500)), START)
    take(book, begin("c", program="r", budget=10, within=clock.seconds(500)), START)
    settle(book, late)
    assert {name: (one.used, one.reserved) for name, one in book.budgets.accounts.items()} == {
        "p": (7, 0),
        "q": (0, 0),
        "r": (0, 10),
    }


def test_a_program_that_was_forgotten_before_a_late_end_counts_none_of_its_turns():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", messages.UNKNOWN), START)
    book.apply(entry.Forget(("p",), (), (), (), ()))
    take(book, end("a"), START)
    take(book, begin("b", "a"), START)
    take(book, end("b"), START)
    assert book.budgets.accounts["p"].retained == 1
    settle(book, START + clock.seconds(80))
    settle(book, START + clock.seconds(160))
    assert book.size() == 0


# -- turns -------------------------------------------------------------------------------------------


def line(book: call_sessions.CallSessions, names: str, now: datetime.timedelta, **changes) -> None:
    """A chain of kept turns, one a letter."""
    for previous, attempt in itertools.pairwise(["", *names]):
        take(book, begin(attempt, previous, **changes), now)
        take(book, end(attempt), now)


def test_a_turn_gets_the_whole_chain_or_what_is_behind_the_one_that_the_edge_holds():
    book = call_sessions.CallSessions()
    line(book, "abcd", START)
    take(book, begin("x", "b"), START)
    take(book, end("x", worker="i-7"), START)
    whole = take(book, begin("e", "d"), START)
    assert [one.attempt for one in whole.chain] == list("abcd") and whole.complete and whole.worker == "i-1"
    assert b"".join(one.input + one.output for one in whole.chain).decode() == "".join(
        f"in {name}\nout {name}\n" for name in "abcd"
    )
    for have, names, complete in (
        ("d", "", False),
        ("b", "cd", False),
        ("x", "abcd", True),
        ("nobody", "abcd", True),
    ):
        reply = take(book, begin("e", "d", have=have), START)
        assert ("".join(one.attempt for one in reply.chain), reply.complete) == (names, complete)
    branch = take(book, begin("y", "x"), START)
    assert ("".join(one.attempt for one in branch.chain), branch.worker) == ("abx", "i-7")
    assert take(book, begin("z"), START) == entry.TurnBegun((), "i-7", True)


def test_the_same_start_gives_the_same_reply_and_reserves_once():
    book = call_sessions.CallSessions()
    line(book, "ab", START)
    first = take(book, begin("c", "b", budget=50), START)
    take(book, begin("other", budget=50, edge="e2"), START)
    take(book, end("other", worker="i-9"), START)
    assert take(book, begin("c", "b", budget=50), START) == first
    assert book.budgets.accounts["p"].reserved == 10
    for change in (dict(previous="a"), dict(edge="e2"), dict(program="q"), dict(session="t")):
        assert (
            refused(book, begin("c", **{"previous": "b", **change}), START).result is result.ResultCode.TURN_UNDER_WAY
        )


@pytest.mark.parametrize("outcome", [messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
@pytest.mark.parametrize("retained", [True, False])
def test_an_ended_attempt_never_begins_again(outcome, retained):
    book = call_sessions.CallSessions()
    take(book, begin("a", retained=retained, keep=clock.seconds(5)), START)
    take(book, end("a", outcome), START)
    for late in (0, 9, 20, 59):
        now = START + clock.seconds(late)
        settle(book, now)
        refusal = refused(book, begin("a", retained=retained, keep=clock.seconds(5)), now)
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, turn_history.RAN_BY_OUTCOME[outcome])
        assert refused(taken_over(book), begin("a"), now).result is result.ResultCode.STALE_TURN
    settle(book, START + clock.seconds(80))
    settle(book, START + clock.seconds(160))
    assert book.size() == 0


def test_a_turn_that_did_not_run_leaves_word_before_its_start_arrives():
    book = call_sessions.CallSessions()
    assert take(book, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    refusal = refused(book, begin("a"), START + clock.seconds(59))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert refused(book, end("a"), START).result is result.ResultCode.STALE_TURN
    settle(book, START + clock.seconds(71))
    assert book.size() == 0
    for outcome in (messages.DONE, messages.UNKNOWN):
        refusal = refused(book, end("b", outcome), START)
        assert (refusal.result, refusal.ran) == (result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN)


def test_words_about_attempts_that_did_not_run_are_bounded(monkeypatch):
    monkeypatch.setattr(turn_history, "MAX_TURNS", 5)
    monkeypatch.setattr(operation_keys, "MAX_KEYS", 5)
    book = call_sessions.CallSessions()
    for number in range(5):
        take(book, end(f"t{number}", messages.NOT_RUN), START)
        take(book, close(f"t{number}", messages.NOT_RUN), START)
    for command in (end("t9", messages.NOT_RUN), begin("t9"), close("t9", messages.NOT_RUN), claim("t9")):
        refusal = refused(book, command, START)
        assert refusal.result is result.ResultCode.OVERLOADED and refusal.retry is not None


def test_history_of_a_full_ledger_is_refused_not_dropped(monkeypatch):
    monkeypatch.setattr(call_sessions, "MAX_PAYLOAD_BYTES", 1000)
    monkeypatch.setattr(token_budget, "MAX_PROGRAMS", 2)
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", input=bytes(1000)), START)
    assert refused(book, begin("b", "a"), START).result is result.ResultCode.OVERLOADED
    assert refused(book, claim("c"), START).result is result.ResultCode.OVERLOADED
    assert take(book, begin("b", "a", retained=False), START).complete
    take(book, begin("q", program="q", retained=False), START)
    assert refused(book, begin("r", program="r", retained=False), START).result is result.ResultCode.OVERLOADED
    monkeypatch.setattr(turn_history, "MAX_CHAIN_BYTES", 999)
    assert refused(book, begin("d", "a", retained=False), START).result is result.ResultCode.TOO_LARGE


def test_a_turn_answered_less_than_its_keep_time_ago_is_there_also_after_takeovers():
    book, now = call_sessions.CallSessions(), START
    line(book, "ab", now)
    settle(book, now + KEEP - clock.seconds(0.1))
    assert take(book, entry.FindTurn("b"), now).found
    book = taken_over(book)
    now += KEEP - clock.seconds(1)
    settle(book, now)
    settle(book, now + KEEP)
    assert [one.attempt for one in take(book, begin("c", "b"), now + KEEP).chain] == ["a", "b"]


def test_a_chain_is_kept_as_long_as_a_turn_that_goes_on_from_it_is_kept_or_under_way():
    book, now = call_sessions.CallSessions(), START
    line(book, "abc", now)
    take(book, begin("d", "b", within=clock.seconds(500)), now)
    settle(book, now + clock.seconds(200))
    assert set(book.history.retained) == {"a", "b"}
    take(book, end("d"), now + clock.seconds(200))
    settle(book, now + clock.seconds(265))
    assert set(book.history.retained) == {"a", "b", "d"}
    settle(book, now + clock.seconds(271))
    assert not book.history.retained and book.payload_bytes() == 0 and not book.history.successors


def test_a_whole_chain_goes_at_once_when_its_youngest_turn_goes():
    book = call_sessions.CallSessions()
    line(book, "abcdefghijkl", START)
    commands = book.due(START + clock.seconds(71), lambda edge: False)
    assert commands[-1].turns == tuple("lkjihgfedcba")
    other = taken_over(book)
    assert other.due(START + clock.seconds(71), lambda edge: False) == ()
    assert len(other.due(START + clock.seconds(142), lambda edge: False)[-1].turns) == 12


def test_a_turn_whose_end_is_not_known_is_not_called_unknown():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    for command in (begin("b", "a"), entry.FindTurn("a")):
        refusal = refused(book, command, START)
        assert (refusal.result, refusal.result.status, refusal.ran) == (
            result.ResultCode.TURN_NOT_ENDED,
            503,
            result.Ran.NOT_RUN,
        )
    take(book, end("a", messages.UNKNOWN), START)
    assert refused(book, begin("b", "a"), START).result is result.ResultCode.TURN_NOT_ENDED
    take(book, end("a"), START)
    assert take(book, begin("b", "a"), START).chain[0].attempt == "a"
    take(book, begin("c"), START)
    take(book, end("c", messages.NOT_RUN), START)
    refusal = refused(book, begin("d", "c"), START)
    assert (refusal.result, refusal.result.status) == (result.ResultCode.UNKNOWN_TURN, 404)
    assert not take(book, entry.FindTurn("c"), START).found


def test_a_chain_of_another_group_is_kept_here_too():
    there, here = call_sessions.CallSessions(), call_sessions.CallSessions()
    line(there, "abc", START)
    base = take(there, entry.FindTurn("c"), START).chain
    assert refused(here, begin("d", "c"), START).result is result.ResultCode.UNKNOWN_TURN
    for wrong in (
        base[:2],
        base[1:],
        base[::-1],
        base + base,
        (dataclasses.replace(base[0], attempt="d"), *base[1:]),
    ):
        assert refused(here, begin("d", "c", base=wrong), START).result is result.ResultCode.MALFORMED
    reply = take(here, begin("d", "c", base=base), START)
    assert reply.chain == base and reply.complete and reply.worker == "i-1"
    take(here, end("d"), START)
    assert [one.attempt for one in take(here, begin("e", "d"), START).chain] == list("abcd")
    assert "".join(one.attempt for one in take(here, begin("f", "a"), START).chain) == "a"
    line(there, "xyz", START)
    shared = take(there, begin("g", "b"), START)
    take(there, end("g"), START)
    base = take(there, entry.FindTurn("g"), START).chain
    assert [one.attempt for one in shared.chain] == ["a", "b"]
    events, _ = here.decide(begin("h", "g", base=base), START)
    assert [one.attempt for one in events[0].base] == ["g"]
    reply = take(here, begin("h", "g", base=base), START)
    assert [one.attempt for one in reply.chain] == ["a", "b", "g"] and len(here.history.retained) == 5
    for attempt in "efh":
        take(here, end(attempt, messages.NOT_RUN), START)
    settle(here, START + clock.seconds(75))
    settle(here, START + clock.seconds(150))
    assert here.size() == 0 and here.payload_bytes() == 0


def test_turns_of_a_lost_edge_or_over_their_time_are_charged_and_a_late_end_puts_it_right():
    book = call_sessions.CallSessions()
    line(book, "a", START)
    for attempt, edge in (("b", "lost 1"), ("c", "e"), ("d", "lost 1")):
        take(book, begin(attempt, "a", budget=100, edge=edge), START)
    assert [one.attempt for one in settle(book, START, lambda edge: edge == "lost 1")] == ["b", "d"]
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (20, 10)
    assert not settle(book, START + WITHIN + BEYOND)
    assert [one.attempt for one in settle(book, START + WITHIN + BEYOND + clock.seconds(0.1))] == ["c"]
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (30, 0)
    for _ in range(2):
        assert take(book, end("b", used=4), START) == messages.Closed(messages.DONE)
        assert take(book, end("b", messages.UNKNOWN), START) == messages.Closed(messages.DONE)
        assert take(book, end("d", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (14, 0)
    assert [one.attempt for one in take(book, begin("f", "b"), START).chain] == ["a", "b"]


def test_a_late_end_whose_chain_is_gone_is_refused():
    book = call_sessions.CallSessions()
    line(book, "a", START, keep=clock.seconds(1))
    take(book, begin("b", "a", keep=clock.seconds(1)), START)
    settle(book, START + clock.seconds(14))
    settle(book, START + clock.seconds(15))
    assert "a" not in book.history.retained and book.history.finished["b"].outcome == messages.UNKNOWN
    refusal = refused(book, end("b"), START + clock.seconds(15))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.UNKNOWN)


# -- keys --------------------------------------------------------------------------------------------


def test_a_key_runs_once_at_many_edges_through_losses_and_takeovers():
    for seed in range(60):
        chance, book, now, runs = random.Random(seed), call_sessions.CallSessions(), START, []
        for number in range(60):
            now += clock.seconds(chance.choice([0, 0.2, 1]))
            command = claim(f"a{number % 20}", edge=f"e{number % 20 % 5}", digest=chance.randbytes(2))
            try:
                reply = take(book, command, now)
            except result.RequestError as refusal:
                assert refusal.result is result.ResultCode.STALE_TURN
                continue
            if reply.mine:
                runs += [command.attempt] if command.attempt not in runs else []
            if reply.outcome == messages.DONE:
                assert (reply.status, reply.body) == (200, f"run {runs[-1]}".encode())
            if reply.mine and chance.random() < 0.3:
                outcome = chance.choice([messages.DONE, messages.UNKNOWN, messages.NOT_RUN])
                if outcome == messages.NOT_RUN:
                    runs.remove(command.attempt)
                take(book, close(command.attempt, outcome, body=f"run {command.attempt}".encode()), now)
            if chance.random() < 0.1:
                book = taken_over(book)
            for command in due(book, now, lambda edge: chance.random() < 0.02):
                take(book, command, now)
            assert len(runs) <= 1


def test_a_key_is_held_its_window_beyond_the_last_moment_in_which_its_work_could_run():
    for outcome in (messages.DONE, messages.UNKNOWN, ""):
        book, now = call_sessions.CallSessions(), START
        assert take(book, claim("a"), now).mine
        if outcome:
            take(book, close("a", outcome), now + WITHIN)
        book = taken_over(book)
        now += clock.seconds(50)
        settle(book, now)
        settle(book, now + WITHIN + MINUTE + BEYOND)
        reply = take(book, claim("b"), now + WITHIN + MINUTE + BEYOND)
        assert not reply.mine and reply.outcome == (outcome or messages.UNKNOWN)
        settle(book, now + 2 * (WITHIN + MINUTE + BEYOND + clock.seconds(1)))
        assert take(book, claim("b"), now + clock.seconds(200)).mine


def test_an_answer_that_comes_late_is_held_a_window_from_then_on():
    book, now = call_sessions.CallSessions(), START
    take(book, claim("a"), now)
    settle(book, now + clock.seconds(14))
    assert take(book, claim("b"), now).outcome == messages.UNKNOWN
    assert take(book, close("a", messages.NOT_RUN), now + clock.seconds(50)) == messages.Closed(messages.UNKNOWN)
    assert take(book, close("a"), now + clock.seconds(60)) == messages.Closed(messages.DONE)
    settle(book, now + clock.seconds(60) + MINUTE)
    reply = take(book, claim("b"), now + clock.seconds(120))
    assert (reply.mine, reply.outcome, reply.status, reply.headers, reply.body) == (
        False,
        messages.DONE,
        200,
        (entry.Header(b"Seal", b"1"),),
        b"body",
    )
    settle(book, now + clock.seconds(60) + MINUTE + BEYOND + clock.seconds(1))
    assert book.size() == 0 and book.payload_bytes() == 0


def test_a_key_is_not_forgotten_before_it_is_closed():
    book, late = call_sessions.CallSessions(), START + clock.seconds(500)
    for number in range(2 * retention.DUE_LIMIT):
        take(book, begin(f"t{number}", retained=False), START)
    take(book, claim("a"), START)
    for _ in range(4):
        for command in due(book, late):
            take(book, command, late)
    assert not book.history.in_flight and list(book.keys.records) == ["k"] and not book.keys.in_flight
    settle(book, late + clock.seconds(80))
    assert book.size() == 0


def test_a_key_of_a_lost_edge_is_unknown_at_once():
    book = call_sessions.CallSessions()
    take(book, claim("a", edge="lost 1"), START)
    assert take(book, claim("b"), START).outcome == ""
    settle(book, START, lambda edge: edge == "lost 1")
    reply = take(book, claim("b"), START)
    assert not reply.mine and reply.outcome == messages.UNKNOWN


def test_a_key_not_run_is_free_at_once_but_not_for_the_same_attempt():
    book = call_sessions.CallSessions()
    take(book, claim("a"), START)
    assert take(book, close("b", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, claim("a"), START).mine
    assert not take(book, claim("a", edge="e2"), START).mine
    assert take(book, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    for attempt in "ab":
        refusal = refused(taken_over(book), claim(attempt), START + clock.seconds(59))
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert take(book, claim("c"), START).mine
    assert take(book, close("a"), START) == messages.Closed("")
    assert take(book, claim("c"), START).mine
    settle(book, START + clock.seconds(71))
    assert not book.keys.released


def test_an_answer_too_large_to_keep_is_told_as_such():
    book = call_sessions.CallSessions()
    for key, body, outcome in (
        ("k", bytes(operation_keys.MAX_ANSWER_BYTES - 5), messages.DONE),
        ("l", bytes(operation_keys.MAX_ANSWER_BYTES), entry.NOT_KEPT),
    ):
        take(book, claim("a", key=key), START)
        for _ in range(2):
            assert take(book, close("a", key=key, body=body), START) == messages.Closed(messages.DONE)
        reply = take(book, claim("b", key=key), START)
        assert (reply.mine, reply.outcome, reply.body) == (
            False,
            outcome,
            body if outcome == messages.DONE else b"",
        )


# -- clocks, snapshots, memory ------------------------------------------------------------------------


def test_the_looks_at_a_large_ledger_are_bounded_and_reach_everything():
    book, now, many = call_sessions.CallSessions(), START, 3 * retention.SCAN_LIMIT
    for number in range(many):
        book.apply(entry.KeyClaimed(f"k{number}", f"a{number}", WITHIN, MINUTE, "e"))
        book.apply(entry.KeyClosed(f"k{number}", f"a{number}", messages.DONE, 200, (), b""))
    for number in range(2 * retention.DUE_LIMIT):
        book.apply(entry.KeyClaimed(f"o{number}", f"o{number}", WITHIN, MINUTE, "lost"))
    assert len(book.due(now, lambda edge: edge == "lost")) == retention.DUE_LIMIT
    assert len(book.keys.reserved_at) <= retention.SCAN_LIMIT + 2 * retention.DUE_LIMIT
    for _ in range(9):
        assert book.due(now, lambda edge: False) == ()
    assert len(book.keys.reserved_at) == book.size()
    late, calls = now + clock.seconds(300), 0
    while book.size() and calls < 1000:
        late += clock.seconds(0.4)
        for command in due(book, late):
            if isinstance(command, entry.Forget):
                assert len(command.keys) <= 2 * retention.DUE_LIMIT
            take(book, command, late)
        calls += 1
    assert book.size() == 0
    assert calls < 2 * many // retention.DUE_LIMIT + 100


def test_a_round_of_looks_starts_some_seconds_after_the_one_before():
    book, now = call_sessions.CallSessions(), START
    for attempt, wait in (("a", 0), ("b", 0.5), ("c", 1), ("d", 1.5)):
        book.apply(entry.TurnEnded(attempt, messages.NOT_RUN, b"", b"", 0, ""))
        assert book.due(now + retention.SCAN_INTERVAL * wait, lambda edge: False) == ()
    assert book.history.finished_at == {
        "a": now,
        "b": now + retention.SCAN_INTERVAL,
        "c": now + retention.SCAN_INTERVAL,
    }


def test_a_picture_shares_its_history_and_shows_one_moment():
    view = lane_sessions.SessionState()
    book = view.calls
    for number in range(20):
        take(book, begin(f"t{number}", f"t{number - 1}" if number else ""), START)
        take(book, end(f"t{number}", input=INPUT), START)
    parts, before = view.snapshot_parts(), view.snapshot()
    take(book, begin("later"), START)
    pieces = list(parts)
    assert b"".join(pieces) == before and all(pieces)
    assert max(map(len, pieces)) <= session_snapshot.CHUNK_BYTES + len(INPUT)
    assert all(any(piece is kept.turn.input for piece in pieces) for kept in book.history.retained.values())
    again = lane_sessions.SessionState()
    again.restore(before)
    assert again.snapshot() == before and again.size() == view.size() - 1


def test_a_picture_from_before_there_was_a_ledger_is_read_and_a_cut_one_refused():
    view = lane_sessions.SessionState()
    view.restore(codec.pack(messages.SessionSnapshot((), ())))
    assert view.size() == 0
    take(view.calls, begin("a"), START)
    body = view.snapshot()
    before_ages = len(body) - len(codec.pack(entry.TurnAges(clock.ZERO, ())))
    for end_at in range(9, len(body)):
        if end_at != before_ages:
            with pytest.raises(codec.CodecError):
                lane_sessions.SessionState().restore(body[:end_at])


def test_a_snapshot_with_bytes_left_over_changes_nothing():
    newer = lane_sessions.SessionState()
    take(newer.calls, begin("a"), START)
    view = lane_sessions.SessionState()
    before = view.snapshot()
    with pytest.raises(codec.CodecError):
        view.restore(newer.snapshot() + b"more")
    assert view.snapshot() == before


def test_a_picture_from_before_turns_had_ages_is_read_and_its_turns_count_as_new():
    view = lane_sessions.SessionState()
    take(view.calls, begin("a"), START)
    take(view.calls, end("a"), START)
    ages = entry.TurnAges(view.calls.group_clock.time, tuple(view.calls.history.ended_at.values()))
    former = view.snapshot().removesuffix(codec.pack(ages))
    again = lane_sessions.SessionState()
    again.restore(former)
    assert again.calls.history.retained == view.calls.history.retained
    assert again.calls.history.age("a") == clock.ZERO
    assert len(again.snapshot()) == len(view.snapshot())


def handed_over(book: call_sessions.CallSessions) -> call_sessions.CallSessions:
    """What the next primary holds: the snapshot of the one before, as it comes from a disk or another member."""
    view = lane_sessions.SessionState()
    view.calls = book
    other = lane_sessions.SessionState()
    other.restore(view.snapshot())
    return other.calls


def test_takeovers_do_not_make_history_begin_its_keep_time_anew():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a"), now)
    take(book, end("a"), now)
    for _ in range(4):
        for _ in range(200):
            now += clock.seconds(0.1)
            settle(book, now)
        book = handed_over(book)
    assert "a" not in book.history.retained, "kept for 80 s, of which it is to be kept for 70"


def test_no_turn_is_forgotten_early_however_often_the_primary_changes_or_its_clock_is_late():
    for seed in range(40):
        chance, book, now, ended = random.Random(seed), call_sessions.CallSessions(), START, {}
        for number in range(60):
            name = f"t{number}"
            take(book, begin(name), now)
            take(book, end(name), now)
            ended[name] = now
            now += clock.seconds(chance.choice([0.05, 0.4, 1.9, 2.0, 2.1, 7.0]))
            if chance.random() < 0.8:
                settle(book, now)
            for other, then in ended.items():
                assert other in book.history.retained or now - then > KEEP, (seed, other)
            if chance.random() < 0.3:
                book = handed_over(book)


def test_a_tick_said_twice_or_too_early_counts_once():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a"), START)
    assert book.due(START, lambda edge: False) == ()
    late = START + retention.TICK_SPAN * 3
    for _ in range(3):
        take(book, entry.Tick(retention.TICK_SPAN), late)
    assert book.group_clock.time == retention.TICK_SPAN
    take(book, entry.Tick(retention.TICK_SPAN), late + retention.TICK_SPAN / 2)
    assert book.group_clock.time == retention.TICK_SPAN


def test_no_tick_is_written_while_no_turn_is_kept():
    book = call_sessions.CallSessions()
    take(book, claim("a"), START)
    for second in range(20):
        assert not any(
            isinstance(one, entry.Tick) for one in book.due(START + clock.seconds(second), lambda edge: False)
        )


def test_near_its_bound_a_group_begins_no_chain_and_goes_on_with_those_begun():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", input=bytes(9_500)), START)
    lane = lane_sessions.SessionState()
    lane.calls = book
    lane.limit_payload(10_000)
    assert refused(book, begin("b"), START).result is result.ResultCode.OVERLOADED
    take(book, begin("c", previous="a"), START)
    take(book, end("c", input=bytes(600)), START)
    assert refused(book, begin("d", previous="c"), START).result is result.ResultCode.OVERLOADED
    assert handed_over(book).max_payload_bytes == call_sessions.MAX_PAYLOAD_BYTES
    lane.limit_payload(call_sessions.MAX_PAYLOAD_BYTES)
    take(book, begin("b"), START)


def test_forgotten_history_frees_its_memory():
    book, now, turns = call_sessions.CallSessions(), START, 600

    def fill(start: int) -> None:
        for number in range(start, start + turns):
            take(
                book,
                begin(f"t{number}", f"t{number - 1}" if number % 20 else "", program=f"p{number // 20}"),
                now,
            )
            take(book, end(f"t{number}", input=INPUT), now)

    fill(0)
    settle(book, now + clock.seconds(80))
    assert book.size() == 0
    now += clock.seconds(1000)
    tracemalloc.start()
    try:
        fill(turns)
        held = tracemalloc.get_traced_memory()[0]
        settle(book, now + clock.seconds(80))
        assert held > turns * len(INPUT) and held < 1.2 * turns * len(INPUT)
        assert tracemalloc.get_traced_memory()[0] < 0.02 * held
    finally:
        tracemalloc.stop()


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
