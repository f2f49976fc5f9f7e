"""The ledger of a talk group: programs' budgets, kept turns with their history, and operation keys of opaque calls."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages
from aspencroft.transport import codec

MINUTE = clock.seconds(60)
BEYOND = clock.seconds(10)
ROUND = clock.seconds(2)
SOON = clock.seconds(0.3)
LATER = clock.seconds(5)
TICK = clock.seconds(2)
FIRST_TURN_SHARE = 0.9
"""Of the bound of history, for turns that begin a chain: what has begun may still go on when nothing new may begin."""
LARGEST_ANSWER = 256 << 10
LARGEST_CHAIN = 16 << 20
MOST_BYTES = 24 << 20
MOST_PROGRAMS = 100_000
MOST_TURNS = 100_000
MOST_KEYS = 200_000
LOOKS, MOST_DUE = 4000, 256
SHARED, GATHERED = 512, 64 << 10
OUTCOMES = (messages.DONE, messages.NOT_RUN, messages.UNKNOWN)
RAN = {
    messages.DONE: result.Ran.RAN,
    messages.NOT_RUN: result.Ran.NOT_RUN,
    messages.UNKNOWN: result.Ran.UNKNOWN,
}


class Ledger:
    """Accounts, turns and keys, folded from events; ``decide`` changes nothing but the clocks.

    Clocks count from when this primary first saw a thing, so that neither a takeover nor a restart shortens a keep
    time. How old kept turns were then is known by the group's own time, which goes on in ticks that are events like
    all others: a takeover does not make history begin its keep time anew. Time without a primary, and what a late tick
    is late, is not counted, so that no turn is taken for older than it is.
    A turn is kept as long as a turn that goes on from it is kept or under way.
    History is held once and shared by all chains through it.
    """

    def __init__(self):
        self.accounts: dict[str, entry.Account] = {}
        self.turns: dict[str, entry.Kept] = {}
        self.under_way: dict[str, entry.TurnBegan] = {}
        self.ended: dict[str, entry.Ended] = {}
        self.keys: dict[str, entry.Key] = {}
        self.freed: dict[str, None] = {}
        self.followers: dict[str, int] = {}
        self.at_work: dict[str, None] = {}
        self.bytes = 0
        self.most_bytes = MOST_BYTES
        self.time = clock.ZERO
        self.ended_at: dict[str, datetime.timedelta] = {}
        self.reset_clocks()

    def reset_clocks(self) -> None:
        """This node is the primary no more: what it saw when counts for nothing if it is one again."""
        self.active: dict[str, datetime.timedelta] = {}
        self.answered: dict[str, datetime.timedelta] = {}
        self.begun: dict[str, datetime.timedelta] = {}
        self.stopped: dict[str, datetime.timedelta] = {}
        self.noted: dict[str, datetime.timedelta] = {}
        self.freed_at: dict[str, datetime.timedelta] = {}
        self.looked: collections.deque[tuple[int, collections.abc.Iterator[str]]] = collections.deque()
        self.next_round = clock.ZERO
        self.ticked: datetime.timedelta | None = None

    # -- commands ------------------------------------------------------------------------------

    def decide(self, command, now: datetime.timedelta) -> tuple[tuple, object]:
        """Events and reply for a command of COMMANDS, or a Refusal."""
        return COMMANDS[type(command)](self, command, now)

    def begin_turn(self, command: entry.BeginTurn, now: datetime.timedelta) -> tuple[tuple, object]:
        """A turn starts while used and reserved tokens are under the program's budget; once for each attempt."""
        known = self.under_way.get(command.attempt)
        if known is not None:
            if (known.program, known.session, known.previous, known.edge) != (
                command.program,
                command.session,
                command.previous,
                command.edge,
            ):
                raise result.RequestError(
                    result.ResultCode.TURN_UNDER_WAY, detail="the attempt is under way as another turn"
                )
            return (), self.begun_turn(known.previous, command.have, known.worker, ())
        if command.attempt in self.turns:
            raise result.RequestError(result.ResultCode.STALE_TURN, result.Ran.RAN, "the attempt ended before")
        if command.attempt in self.ended:
            outcome = self.ended[command.attempt].outcome
            raise result.RequestError(
                result.ResultCode.STALE_TURN, RAN[outcome], f"the attempt ended before: {outcome}"
            )
        if not command.attempt or command.most < 0 or command.budget < 0:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="no attempt, or tokens below zero")
        budget = self.allowed(command, now)
        base, size, worker = self.predecessor(command)
        if (command.program and command.program not in self.accounts and len(self.accounts) >= MOST_PROGRAMS) or len(
            self.turns
        ) + len(self.under_way) + len(self.ended) + len(base) >= MOST_TURNS:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many programs or turns", retry=LATER)
        if command.retained and not self.has_room(command, base):
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="no room for more history", retry=LATER)
        if size > LARGEST_CHAIN:
            raise result.RequestError(result.ResultCode.TOO_LARGE, detail="the history is at its limit")
        account = self.accounts.get(command.program)
        if not worker and account is not None:
            worker = account.worker
        self.begun[command.attempt] = now
        if command.program:
            self.active[command.program] = now
        event = entry.TurnBegan(
            command.program,
            command.session,
            command.attempt,
            command.previous,
            command.most,
            budget,
            command.retained,
            command.keep,
            command.within,
            command.edge,
            worker,
            base,
        )
        return (event,), self.begun_turn(command.previous, command.have, worker, base)

    def has_room(self, command: entry.BeginTurn, base: tuple[entry.Turn, ...]) -> bool:
        """Whether there is room for a turn's history; less of it for the first one of a chain."""
        added = sum(len(one.input) + len(one.output) for one in base)
        share = 1.0 if command.previous else FIRST_TURN_SHARE
        return self.bytes + added < share * self.most_bytes

    def allowed(self, command: entry.BeginTurn, now: datetime.timedelta) -> int:
        """The budget that stands for a turn, zero when none was said; refused when it is spent or reserved.

        A refusal counts as the program's activity: the record of one that goes on asking is not forgotten.
        """
        account = self.accounts.get(command.program)
        if account is None:
            return command.budget if command.program else 0
        budget = (
            min(account.budget, command.budget)
            if account.budget and command.budget
            else (account.budget or command.budget)
        )
        if budget and account.used + account.reserved >= budget:
            self.active[command.program] = now
            raise result.RequestError(
                result.ResultCode.OUT_OF_BUDGET,
                detail=f"{account.used} used, {account.reserved} reserved of {budget}",
            )
        return budget

    def predecessor(self, command: entry.BeginTurn) -> tuple[tuple[entry.Turn, ...], int, str]:
        """What of the given chain is to be kept here, the bytes of the whole chain.

        And the worker that ran its last turn.
        """
        if not command.previous:
            return (), 0, ""
        known = self.turns.get(command.previous)
        if known is not None:
            return (), known.size, known.turn.worker
        self.sure(command.previous)
        if not command.base:
            raise result.RequestError(result.ResultCode.UNKNOWN_TURN, detail=command.previous)
        before, names = "", {command.attempt, ""}
        for one in command.base:
            if one.previous != before or one.attempt in names or one.attempt in self.under_way:
                raise result.RequestError(result.ResultCode.MALFORMED, detail="the base is no chain")
            names.add(one.attempt)
            before = one.attempt
        if before != command.previous:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="the base does not end with the turn before")
        return (
            tuple(one for one in command.base if one.attempt not in self.turns),
            sum(len(one.input) + len(one.output) for one in command.base),
            command.base[-1].worker,
        )

    def sure(self, attempt: str) -> None:
        """Refuse to say that there is no such turn while its end is not known."""
        ended = self.ended.get(attempt)
        if attempt in self.under_way or (ended is not None and ended.retained and ended.outcome == messages.UNKNOWN):
            raise result.RequestError(result.ResultCode.TURN_NOT_ENDED, detail=attempt, retry=SOON)

    def begun_turn(self, previous: str, have: str, worker: str, base: tuple[entry.Turn, ...]) -> entry.TurnBegun:
        """The reply to a turn's start: the chain up to ``previous``, or what of it lies behind ``have``."""
        new = {one.attempt: one for one in base}
        chain, last = [], previous
        while last and last != have:
            one = new[last] if last in new else self.turns[last].turn
            chain.append(one)
            last = one.previous
        chain.reverse()
        return entry.TurnBegun(tuple(chain), worker, not last)

    def find_turn(self, command: entry.FindTurn, now: datetime.timedelta) -> tuple[tuple, object]:
        """Whether a turn is kept, and its chain."""
        if command.attempt not in self.turns:
            self.sure(command.attempt)
            return (), entry.TurnFound(False, ())
        return (), entry.TurnFound(True, self.begun_turn(command.attempt, "", "", ()).chain)

    def end_turn(self, command: entry.EndTurn, now: datetime.timedelta) -> tuple[tuple, object]:
        """A turn ends once; only an unknown outcome may become known later.

        An attempt that did not run never begins any more.
        """
        if command.outcome not in OUTCOMES or not command.attempt:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="no attempt or outcome")
        done = command.outcome == messages.DONE
        known = self.under_way.get(command.attempt)
        if known is None:
            if command.attempt in self.turns:
                return (), messages.Closed(messages.DONE)
            known = self.ended.get(command.attempt)
            if known is None:
                return self.never_begun(command, now)
            if known.outcome != messages.UNKNOWN or command.outcome == messages.UNKNOWN:
                if known.outcome == messages.NOT_RUN and done:
                    raise result.RequestError(
                        result.ResultCode.STALE_TURN,
                        result.Ran.UNKNOWN,
                        "the attempt was told not to have run",
                    )
                return (), messages.Closed(known.outcome)
            if done and known.retained and known.previous and known.previous not in self.turns:
                raise result.RequestError(
                    result.ResultCode.STALE_TURN, result.Ran.UNKNOWN, "the turn before is kept no more"
                )
        kept = done and known.retained
        (self.answered if kept else self.stopped)[command.attempt] = now
        if known.program:
            self.active[known.program] = now
        event = entry.TurnEnded(
            command.attempt,
            command.outcome,
            command.input if kept else b"",
            command.output if kept else b"",
            max(0, command.used),
            command.worker,
        )
        return (event,), messages.Closed(command.outcome)

    def never_begun(self, command: entry.EndTurn, now: datetime.timedelta) -> tuple[tuple, object]:
        """The end of an attempt that this group does not know: if it did not run, its start may still be on the way."""
        if command.outcome != messages.NOT_RUN:
            raise result.RequestError(result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN, command.attempt)
        if len(self.turns) + len(self.under_way) + len(self.ended) >= MOST_TURNS:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many turns", retry=LATER)
        self.stopped[command.attempt] = now
        return (entry.TurnEnded(command.attempt, messages.NOT_RUN, b"", b"", 0, ""),), messages.Closed(messages.NOT_RUN)

    def claim_key(self, command: entry.ClaimKey, now: datetime.timedelta) -> tuple[tuple, object]:
        """The first attempt takes the key; others get its state and never run."""
        known = self.keys.get(command.key)
        if known is not None:
            mine = not known.outcome and (known.attempt, known.edge) == (command.attempt, command.edge)
            return (), entry.KeyHeld(mine, known.outcome, known.status, known.headers, known.body)
        if command.attempt in self.freed:
            raise result.RequestError(result.ResultCode.STALE_TURN, detail="the attempt gave the key back before")
        if len(self.keys) + len(self.freed) >= MOST_KEYS or self.bytes >= self.most_bytes:
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many operations", retry=LATER)
        self.noted[command.key] = now
        event = entry.KeyClaimed(command.key, command.attempt, command.within, command.window, command.edge)
        return (event,), entry.KeyHeld(True, "", 0, (), b"")

    def close_key(self, command: entry.CloseKey, now: datetime.timedelta) -> tuple[tuple, object]:
        """The attempt that holds the key tells how it ended; an unknown outcome may only become a done one."""
        if command.outcome not in OUTCOMES:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="no outcome")
        known = self.keys.get(command.key)
        if known is None or known.attempt != command.attempt:
            if command.outcome != messages.NOT_RUN:
                return (), messages.Closed("")
            if command.attempt in self.freed:
                return (), messages.Closed(messages.NOT_RUN)
            if len(self.keys) + len(self.freed) >= MOST_KEYS:
                raise result.RequestError(result.ResultCode.OVERLOADED, detail="too many operations", retry=LATER)
        elif known.outcome and not (known.outcome == messages.UNKNOWN and command.outcome == messages.DONE):
            return (), messages.Closed(messages.DONE if known.outcome == entry.NOT_KEPT else known.outcome)
        if command.outcome == messages.NOT_RUN:
            self.freed_at[command.attempt] = now
            event = entry.KeyClosed(command.key, command.attempt, messages.NOT_RUN, 0, (), b"")
        else:
            self.noted[command.key] = max(self.noted.get(command.key, now), now - known.within)
            event = closing(command)
        return (event,), messages.Closed(command.outcome)

    # -- events --------------------------------------------------------------------------------

    def apply(self, event) -> None:
        """Take an event of EVENTS in."""
        EVENTS[type(event)](self, event)

    def turn_began(self, event: entry.TurnBegan) -> None:
        """A turn is under way, and its program's tokens are reserved."""
        for one in event.base:
            self.keep(one, "", event.keep)
        self.under_way[event.attempt] = dataclasses.replace(event, base=()) if event.base else event
        self.pin(event.previous)
        if event.program:
            known = self.accounts.get(event.program) or entry.Account(event.program, 0, 0, 0, event.keep, 0, 0, "")
            self.accounts[event.program] = entry.Account(
                event.program,
                event.budget,
                known.used,
                known.reserved + event.reserved(),
                max(known.keep, event.keep),
                known.under_way + 1,
                known.kept,
                known.worker,
            )

    def turn_ended(self, event: entry.TurnEnded) -> None:
        """A turn is over: charged, and kept or only remembered as ended."""
        running, late = self.under_way.pop(event.attempt, None), self.ended.pop(event.attempt, None)
        known = running or late or entry.Ended(event.attempt, "", "", "", 0, 0, False, clock.ZERO)
        self.begun.pop(event.attempt, None)
        charged, reserved = 0, running.reserved() if running else 0
        if known.budget and event.outcome != messages.NOT_RUN:
            charged = event.used if event.outcome == messages.DONE else max(reserved, event.used)
        account = self.accounts.get(known.program)
        kept = event.outcome == messages.DONE and known.retained
        if account is not None:
            self.accounts[known.program] = entry.Account(
                account.program,
                account.budget,
                account.used + charged - (late.charged if late else 0),
                account.reserved - reserved,
                account.keep,
                account.under_way - (running is not None),
                account.kept + kept,
                event.worker or account.worker,
            )
        if kept:
            self.keep(
                entry.Turn(event.attempt, known.previous, event.input, event.output, event.worker),
                known.program if account is not None else "",
                known.keep,
            )
        else:
            self.ended[event.attempt] = entry.Ended(
                event.attempt,
                event.outcome,
                known.program,
                known.previous,
                charged,
                known.budget,
                known.retained,
                known.keep,
            )
        if running:
            self.unpin(running.previous)

    def keep(self, turn: entry.Turn, program: str, keep: datetime.timedelta) -> None:
        """Hold a turn's history."""
        if turn.attempt in self.turns:
            return
        self.ended.pop(turn.attempt, None)
        self.stopped.pop(turn.attempt, None)
        self.ended_at[turn.attempt] = self.time + TICK
        own = len(turn.input) + len(turn.output)
        before = self.turns.get(turn.previous)
        self.turns[turn.attempt] = entry.Kept(turn, program, keep, own + (before.size if before else 0))
        self.bytes += own
        self.pin(turn.previous)

    def drop(self, attempt: str) -> None:
        """Let a turn's history go; a turn with a short keep time is still remembered as ended, lest it begin again."""
        one = self.turns.pop(attempt, None)
        self.ended_at.pop(attempt, None)
        self.answered.pop(attempt, None)
        if one is None:
            return
        self.bytes -= len(one.turn.input) + len(one.turn.output)
        self.unpin(one.turn.previous)
        known = self.accounts.get(one.program)
        if known is not None:
            self.accounts[one.program] = entry.Account(
                known.program,
                known.budget,
                known.used,
                known.reserved,
                known.keep,
                known.under_way,
                known.kept - 1,
                known.worker,
            )
        if one.keep < MINUTE:
            self.ended[attempt] = entry.Ended(
                attempt, messages.DONE, one.program, one.turn.previous, 0, 0, False, one.keep
            )

    def pin(self, attempt: str) -> None:
        """A turn that goes on from this one is kept or under way."""
        if attempt:
            self.followers[attempt] = self.followers.get(attempt, 0) + 1

    def unpin(self, attempt: str) -> None:
        """A turn that went on from this one is no more."""
        if attempt:
            left = self.followers.pop(attempt, 0) - 1
            if left > 0:
                self.followers[attempt] = left

    def key_claimed(self, event: entry.KeyClaimed) -> None:
        """A key is held."""
        self.keys[event.key] = entry.Key(
            event.key, event.attempt, event.within, event.window, event.edge, "", 0, (), b""
        )
        self.at_work[event.key] = None

    def key_closed(self, event: entry.KeyClosed) -> None:
        """A key has an outcome, or is free."""
        known = self.keys.get(event.key)
        if event.outcome == messages.NOT_RUN:
            self.freed[event.attempt] = None
        if known is None or known.attempt != event.attempt:
            return
        self.at_work.pop(event.key, None)
        if event.outcome == messages.NOT_RUN:
            self.drop_key(event.key)
            return
        self.keys[event.key] = entry.Key(
            event.key,
            event.attempt,
            known.within,
            known.window,
            known.edge,
            event.outcome,
            event.status,
            event.headers,
            event.body,
        )
        self.bytes += weight(event.headers, event.body)

    def drop_key(self, key: str) -> None:
        """Let a key go."""
        known = self.keys.pop(key, None)
        self.noted.pop(key, None)
        if known is not None:
            self.bytes -= weight(known.headers, known.body)

    def forgotten(self, event: entry.Forget) -> None:
        """Things were kept long enough."""
        for name in event.turns:
            self.drop(name)
        for name in event.ended:
            self.ended.pop(name, None)
            self.stopped.pop(name, None)
        for name in event.programs:
            self.accounts.pop(name, None)
            self.active.pop(name, None)
        for name in event.keys:
            self.drop_key(name)
        for name in event.freed:
            self.freed.pop(name, None)
            self.freed_at.pop(name, None)

    # -- clocks --------------------------------------------------------------------------------

    def programs_out(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Those programs of which nothing is under way or kept, and that were quiet for long."""
        found = []
        for name in names:
            one = self.accounts.get(name)
            if one is not None and now - self.active.setdefault(name, now) > max(one.keep, MINUTE) + BEYOND:
                if not one.under_way and not one.kept:
                    found.append(name)
        return tuple(found)

    def age(self, attempt: str) -> datetime.timedelta:
        """For how long a turn has been kept at least, by the group's own time."""
        return max(clock.ZERO, self.time - self.ended_at.get(attempt, self.time))

    def tick_due(self, now: datetime.timedelta) -> tuple[entry.Tick, ...]:
        """The tick that is to be recorded, if any; none is while no turn is kept."""
        if not self.turns:
            self.ticked = None
        elif self.ticked is None:
            self.ticked = now
        elif now - self.ticked >= TICK:
            return (entry.Tick(TICK),)
        return ()

    def tick(self, command: entry.Tick, now: datetime.timedelta) -> tuple[tuple, object]:
        """The group's own time goes on by one tick, if that has gone by; a late one counts no more."""
        if self.ticked is None or now - self.ticked < command.span:
            return (), messages.Closed("")
        self.ticked = now
        return (command,), messages.Closed("")

    def time_passed(self, event: entry.Tick) -> None:
        """A tick was recorded."""
        self.time += event.span

    def turns_out(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Those turns, and turns before them, that were kept long enough and that no kept or running turn goes on
        from.
        """
        found: dict[str, None] = {}
        gone: collections.Counter[str] = collections.Counter()
        for name in names:
            one = self.turns.get(name)
            while (
                one is not None
                and name not in found
                and now - self.answered.setdefault(name, now - self.age(name)) > one.keep + BEYOND
                and self.followers.get(name, 0) == gone[name]
            ):
                found[name] = None
                name = one.turn.previous  # noqa: PLW2901 - walks up the chain of this turn
                gone[name] += 1
                one = self.turns.get(name)
        return tuple(found)

    def ended_out(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Those ended attempts that can be late no more."""
        return tuple(
            name for name in names if name in self.ended and now - self.stopped.setdefault(name, now) > MINUTE + BEYOND
        )

    def keys_out(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Those keys that were held for their window beyond the last moment in which their work could run."""
        found = []
        for name in names:
            one = self.keys.get(name)
            if one is not None and now - self.noted.setdefault(name, now) > one.within + one.window + BEYOND:
                if one.outcome:
                    found.append(name)
        return tuple(found)

    def freed_out(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Those attempts whose claim of a key can be late no more."""
        return tuple(
            name for name in names if name in self.freed and now - self.freed_at.setdefault(name, now) > MINUTE + BEYOND
        )

    def forget(self, command: entry.Forget, now: datetime.timedelta) -> tuple[tuple, object]:
        """Keep times ran out; looked at once more, as things may have changed since."""
        event = entry.Forget(
            self.programs_out(command.programs, now),
            self.turns_out(command.turns, now),
            self.ended_out(command.ended, now),
            self.keys_out(command.keys, now),
            self.freed_out(command.freed, now),
        )
        some = event.programs or event.turns or event.ended or event.keys or event.freed
        return ((event,) if some else ()), messages.Closed("")

    def due(self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]) -> tuple:
        """Clock events: what is under way though its edge is gone or its time over, and what was kept long enough.

        All that is under way is looked at each time; of the rest a bounded number, in rounds some seconds apart.
        The first look
        at a thing starts its clock here.
        """
        found: list[object] = []
        lives: dict[str, bool] = {}
        for attempt, one in self.under_way.items():
            if one.edge not in lives:
                lives[one.edge] = gone(one.edge)
            if now - self.begun.setdefault(attempt, now) > one.within + BEYOND or lives[one.edge]:
                found.append(entry.EndTurn(one.program, one.session, attempt, messages.UNKNOWN, b"", b"", 0, ""))
        for key in self.at_work:
            held = self.keys[key]
            if held.edge not in lives:
                lives[held.edge] = gone(held.edge)
            if now - self.noted.setdefault(key, now) > held.within + BEYOND or lives[held.edge]:
                found.append(entry.CloseKey(key, held.attempt, messages.UNKNOWN, 0, (), b""))
        del found[MOST_DUE:]
        if not self.looked and now >= self.next_round:
            self.next_round = now + ROUND
            tables = (self.accounts, self.turns, self.ended, self.keys, self.freed)
            self.looked.extend((place, iter(list(table))) for place, table in enumerate(tables) if table)
        return (*found, *self.tick_due(now), *self.look(now))

    def look(self, now: datetime.timedelta) -> tuple[entry.Forget, ...]:
        """What a bounded number of looks finds to be kept long enough."""
        out: list[tuple[str, ...]] = [(), (), (), (), ()]
        ways = (self.programs_out, self.turns_out, self.ended_out, self.keys_out, self.freed_out)
        left = LOOKS
        while self.looked and left > 0 and sum(map(len, out)) < MOST_DUE:
            place, names = self.looked[0]
            some = tuple(itertools.islice(names, min(left, MOST_DUE)))
            left -= len(some)
            if some:
                out[place] += ways[place](some, now)
            else:
                self.looked.popleft()
        return (entry.Forget(*out),) if any(out) else ()

    # -- snapshots ------------------------------------------------------------------------------

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """The snapshot of this moment in bounded parts; history is shared, not copied.

        What changes meanwhile is not in it.
        """
        held = [list(table.values()) for table in (self.accounts, self.turns, self.under_way, self.ended, self.keys)]
        freed = list(self.freed)
        ages = entry.TurnAges(self.time, tuple(self.ended_at[attempt] for attempt in self.turns))

        def parts() -> collections.abc.Iterator[bytes]:
            waiting: list[bytes] = []
            size = 0
            for row in (*held, freed):
                waiting.append(codec.LENGTH.pack(len(row)))
                for one in row:
                    if row is freed:
                        written = bytearray()
                        codec.write(str, one, written)
                        pieces = [bytes(written)]
                    else:
                        pieces = codec.pieces(one)
                    for piece in pieces:
                        if len(piece) >= SHARED:
                            if waiting:
                                yield b"".join(waiting)
                            yield piece
                            waiting, size = [], 0
                        else:
                            waiting.append(piece)
                            size += len(piece)
                    if size >= GATHERED:
                        yield b"".join(waiting)
                        waiting, size = [], 0
            yield b"".join(waiting)
            yield codec.pack(ages)

        return parts()

    def size(self) -> int:
        """How much a snapshot holds, in entries."""
        return (
            len(self.accounts)
            + len(self.turns)
            + len(self.under_way)
            + len(self.ended)
            + len(self.keys)
            + len(self.freed)
        )

    def restore(self, body: bytes, place: int) -> int:
        """Become what a snapshot shows that stands at a place of the bytes; the place behind it.

        In one of an earlier version the ages of turns are missing: they count as new.
        """
        shown, end = codec.unpack_from(entry.LedgerSnapshot, body, place)
        ages = entry.TurnAges(clock.ZERO, (clock.ZERO,) * len(shown.turns))
        if end < len(body):
            ages, end = codec.unpack_from(entry.TurnAges, body, end)
        if len(ages.ended) != len(shown.turns):
            raise codec.CodecError("as many ages as turns were expected")
        most_bytes = self.most_bytes
        self.__init__()
        self.most_bytes, self.time = most_bytes, ages.time
        self.accounts = {one.program: one for one in shown.accounts}
        self.turns = {one.turn.attempt: one for one in shown.turns}
        self.ended_at = dict(zip(self.turns, ages.ended, strict=True))
        self.under_way = {one.attempt: one for one in shown.under_way}
        self.ended = {one.attempt: one for one in shown.ended}
        self.keys = {one.key: one for one in shown.keys}
        self.freed = dict.fromkeys(shown.freed)
        for kept in shown.turns:
            self.pin(kept.turn.previous)
            self.bytes += len(kept.turn.input) + len(kept.turn.output)
        for running in shown.under_way:
            self.pin(running.previous)
        for held in shown.keys:
            self.bytes += weight(held.headers, held.body)
            if not held.outcome:
                self.at_work[held.key] = None
        return end


def weight(headers: tuple[entry.Pair, ...], body: bytes) -> int:
    """Bytes of a kept answer.

    Example: ``weight((), b"body") == 4``
    """
    return len(body) + sum(len(one.name) + len(one.value) for one in headers)


def closing(command: entry.CloseKey) -> entry.KeyClosed:
    """The event of a key's end; an answer that is too large leaves only word that it was given."""
    if command.outcome != messages.DONE:
        return entry.KeyClosed(command.key, command.attempt, command.outcome, 0, (), b"")
    if weight(command.headers, command.body) > LARGEST_ANSWER:
        return entry.KeyClosed(command.key, command.attempt, entry.NOT_KEPT, command.status, (), b"")
    return entry.KeyClosed(command.key, command.attempt, messages.DONE, command.status, command.headers, command.body)


COMMANDS = {
    entry.BeginTurn: Ledger.begin_turn,
    entry.EndTurn: Ledger.end_turn,
    entry.FindTurn: Ledger.find_turn,
    entry.ClaimKey: Ledger.claim_key,
    entry.CloseKey: Ledger.close_key,
    entry.Forget: Ledger.forget,
    entry.Tick: Ledger.tick,
}
EVENTS = {
    entry.TurnBegan: Ledger.turn_began,
    entry.TurnEnded: Ledger.turn_ended,
    entry.KeyClaimed: Ledger.key_claimed,
    entry.KeyClosed: Ledger.key_closed,
    entry.Forget: Ledger.forgotten,
    entry.Tick: Ledger.time_passed,
}
