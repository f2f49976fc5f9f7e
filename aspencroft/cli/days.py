"""Plays days of a deployment on the bench, one after another, and sums up each of them in a line."""

import collections.abc
import dataclasses
import pathlib
import subprocess
import sys
import tempfile

import defopt
import msgspec

MOST_DETAIL = 200
EXIT_PASSED = 0
EXIT_BROKEN = 1


class DayReport(msgspec.Struct, rename={"worth": "G", "shortfalls": "short", "exits": "exits_n"}):
    """What the bench writes of a day it played, as far as the summary needs it.

    ``breaks`` counts each broken rule, ``shortfalls`` lists what kept the day from passing the gate, and
    ``exits`` counts the processes that ended by themselves.
    """

    worth: float | None
    breaks: dict[str, int]
    fault: str | None
    shortfalls: list[str]
    exits: int


@dataclasses.dataclass(frozen=True)
class DayOutcome:
    """A day and its report; ``detail`` says why there is no report when the bench gave none."""

    name: str
    report: DayReport | None
    detail: str = ""

    def broken(self) -> bool:
        """Whether a rule was broken, the gate failed, a process ended by itself, or nothing was reported."""
        if self.report is None:
            return True
        return bool(self.report.breaks or self.report.fault or self.report.shortfalls or self.report.exits)

    def line(self) -> str:
        """The day's line of the summary."""
        report = self.report
        if report is None:
            return f"{self.name}: NOT PLAYED; {self.detail}"
        gate = "failed" if report.shortfalls or report.breaks or report.fault else "passed"
        rules = ", ".join(f"{rule} {count}" for rule, count in sorted(report.breaks.items())) or "none"
        worth = "none" if report.worth is None else f"{report.worth:.3f}"
        return (
            f"{self.name}: gate {gate}; rules broken: {rules}; fault: {report.fault or 'none'}; "
            f"exits: {report.exits}; worth {worth}"
        )


def read_report(name: str, written: bytes) -> DayOutcome:
    """The outcome that a written report tells; a report that cannot be read is an outcome without one."""
    try:
        return DayOutcome(name, msgspec.json.decode(written, type=DayReport))
    except msgspec.DecodeError as error:
        return DayOutcome(name, None, f"unreadable report: {error}")


def command(
    bench: pathlib.Path,
    site: pathlib.Path,
    day: pathlib.Path,
    report: pathlib.Path,
    jobs: int,
    why: str,
    seed: int | None = None,
) -> list[str]:
    """The bench's command line for one day."""
    words = [
        str(bench),
        "run",
        str(site),
        str(day),
        "--jobs",
        str(jobs),
        "--report",
        str(report),
        "--why",
        why,
    ]
    if seed is not None:
        words += ["--seed", str(seed)]
    return words


def play_day(
    bench: pathlib.Path, site: pathlib.Path, day: pathlib.Path, jobs: int, why: str, seed: int | None
) -> DayOutcome:
    """Play one day to its end and read its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        words = command(bench, site, day, report, jobs, why, seed)
        try:
            run = subprocess.run(words, capture_output=True, text=True, check=False)
        except OSError as error:
            return DayOutcome(day.stem, None, str(error))
        if report.exists():
            return read_report(day.stem, report.read_bytes())
    lines = (run.stderr.strip() or run.stdout.strip()).splitlines()
    last = lines[-1][:MOST_DETAIL] if lines else "no output"
    return DayOutcome(day.stem, None, f"the bench ended with {run.returncode}: {last}")


def sum_up(outcomes: collections.abc.Iterable[DayOutcome]) -> int:
    """Print a line for each day as it comes, then a total; the exit code tells whether one broke."""
    played = 0
    broken = []
    for outcome in outcomes:
        played += 1
        print(outcome.line(), flush=True)
        if outcome.broken():
            broken.append(outcome.name)
    print(f"{played} days, {len(broken)} broken" + (f": {', '.join(broken)}" if broken else ""))
    return EXIT_BROKEN if broken else EXIT_PASSED


def play(
    bench: pathlib.Path,
    site: pathlib.Path,
    days: list[pathlib.Path],
    *,
    jobs: int = 1,
    why: str = "days of the project",
    seed: int | None = None,
) -> int:
    """Play days of a deployment one after another, from the root of the repository.

    Exits with 1 when a rule was broken, the gate failed, a process ended by itself, or a day was not played.

    :param bench: the bench's program
    :param site: the deployment's site file
    :param days: files of days, as in deploy/days
    :param jobs: cores that the bench may use
    :param why: the reason that the journal's entries give
    :param seed: the seed of each day; left out, the bench's own
    """
    return sum_up(play_day(bench, site, day, jobs, why, seed) for day in days)


def main() -> None:
    """The command's entry."""
    sys.exit(defopt.run(play))


if __name__ == "__main__":
    main()
