"""Known failures: tests listed in KNOWN-RED.txt run, are expected to fail, and are printed at the end of each run."""

import pathlib

import pytest

LIST = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
SEPARATOR = "|"
MOST_KNOWN_FAILURES = 3


def known_failures(text: str) -> dict[str, str]:
    """Test and reason of each line ``test | cause | issue``; blank lines and those that begin with # are
    passed over.
    """
    found = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            test, cause, issue = (part.strip() for part in line.split(SEPARATOR))
            found[test] = f"{cause}; {issue}"
    if len(found) > MOST_KNOWN_FAILURES:
        raise pytest.UsageError(f"{LIST.name} lists {len(found)} tests; at most {MOST_KNOWN_FAILURES} may be known red")
    return found


def listed() -> dict[str, str]:
    """The known failures of this checkout."""
    return known_failures(LIST.read_text()) if LIST.exists() else {}


def pytest_collection_modifyitems(items) -> None:
    """Expect the listed tests to fail; one that passes fails the run, so that it is taken off the list."""
    reasons = listed()
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list."""
    for test, reason in listed().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
