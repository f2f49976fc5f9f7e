"""Token budgets of programs: tokens used and reserved, and which programs may be forgotten."""

import collections.abc
import dataclasses
import datetime

from aspencroft.errors import result
from aspencroft.sessions import entry, retention

MAX_PROGRAMS = 100_000


class TokenBudgets:
    """One account for each program. A turn begins only while ``used + reserved < budget``."""

    def __init__(self, accounts: collections.abc.Iterable[entry.Account] = ()):
        self.accounts: dict[str, entry.Account] = {account.program: account for account in accounts}
        self.reset_clocks()

    def reset_clocks(self) -> None:
        """Reset the activity timers of all programs."""
        self.last_active_at: dict[str, datetime.timedelta] = {}

    def note_activity(self, program: str, now: datetime.timedelta) -> None:
        """Restart a program's activity timer; calls without a program have no account."""
        if program:
            self.last_active_at[program] = now

    def is_full_for(self, program: str) -> bool:
        """Return whether a program is new and the limit of programs is reached."""
        return bool(program) and program not in self.accounts and len(self.accounts) >= MAX_PROGRAMS

    def last_worker(self, program: str) -> str:
        """Return the worker that last ran a turn of the program, empty if none is known."""
        account = self.accounts.get(program)
        return "" if account is None else account.worker

    def budget_in_force(self, command: entry.BeginTurn, now: datetime.timedelta) -> int:
        """Return the token budget that applies to a turn, zero if the program has none.

        The first budget given stays in force and can only be lowered. A rejection counts as activity of the program:
        otherwise a program that keeps retrying would have its account forgotten, and its budget with it.

        :raises result.RequestError: OUT_OF_BUDGET if the budget is used up or reserved
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
            self.last_active_at[command.program] = now
            raise result.RequestError(
                result.ResultCode.OUT_OF_BUDGET,
                detail=f"{account.used} tokens used and {account.reserved} reserved of a budget of {budget}",
            )
        return budget

    def reserve(self, event: entry.TurnBegan) -> None:
        """Reserve the maximum number of tokens that a turn may generate."""
        if not event.program:
            return
        known = self.accounts.get(event.program) or entry.Account(
            event.program, 0, 0, 0, event.retention_period, 0, 0, ""
        )
        # Built field by field, as ``dataclasses.replace`` is several times slower and this runs for each turn.
        self.accounts[event.program] = entry.Account(
            event.program,
            event.budget,
            known.used,
            known.reserved + event.reserved(),
            max(known.retention_period, event.retention_period),
            known.in_flight + 1,
            known.retained,
            known.worker,
        )

    def settle(self, program: str, settlement: "Settlement", worker: str) -> bool:
        """Release the reservation of an ended turn and charge it; return whether the program has an account."""
        account = self.accounts.get(program)
        if account is None:
            return False
        self.accounts[program] = entry.Account(
            account.program,
            account.budget,
            account.used + settlement.charged,
            account.reserved - settlement.released,
            account.retention_period,
            account.in_flight - settlement.was_in_flight,
            account.retained + settlement.is_retained,
            worker or account.worker,
        )
        return True

    def release_retained_turn(self, program: str) -> None:
        """Count one retained turn of the program less."""
        account = self.accounts.get(program)
        if account is not None:
            self.accounts[program] = entry.Account(
                account.program,
                account.budget,
                account.used,
                account.reserved,
                account.retention_period,
                account.in_flight,
                account.retained - 1,
                account.worker,
            )

    def find_expired(self, names: collections.abc.Iterable[str], now: datetime.timedelta) -> tuple[str, ...]:
        """Return those of the given programs whose retention period has passed and that have no turns left."""
        expired = []
        for name in names:
            account = self.accounts.get(name)
            if account is None:
                continue
            span = max(account.retention_period, retention.MIN_RETENTION) + retention.RETENTION_MARGIN
            if now - self.last_active_at.setdefault(name, now) > span:
                if not account.in_flight and not account.retained:
                    expired.append(name)
        return tuple(expired)

    def forget(self, program: str) -> None:
        """Drop a program's account."""
        self.accounts.pop(program, None)
        self.last_active_at.pop(program, None)


@dataclasses.dataclass(frozen=True)
class Settlement:
    """The effect of a turn's end on its program's account; ``charged`` and ``released`` are numbers of tokens.

    ``charged`` is negative if a late outcome costs less than what was charged while the outcome was unknown.
    """

    charged: int
    released: int
    was_in_flight: bool
    is_retained: bool
