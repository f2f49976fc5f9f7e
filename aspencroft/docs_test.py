"""The pages name files, tests and members of classes that exist.

A living page may name only what is in the tree. A page that tells what was may use the names of its day: those pages
are listed one by one in HISTORY.
"""

import ast
import functools
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = (ROOT / "aspencroft", ROOT / "platform")
PAGES = {str(page.relative_to(ROOT)): page for page in sorted([*(ROOT / "docs").rglob("*.md"), ROOT / "README.md"])}
HISTORY = frozenset(
    {
        "docs/incidents/group-not-back.md",
        "docs/incidents/inc-cd65.md",
        "docs/incidents/inc-fc88.md",
        "docs/incidents/recover-grown.md",
        "docs/incidents/sighup.md",
        "docs/measurements.md",
    }
)
LIVING = sorted(set(PAGES) - HISTORY)
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
FILE = re.compile(r"(?<![\w/.*-])((?:[\w.-]+/)*[\w-]+\.py)\b(?:::(\w+))?")
"""`consensus/ballot.py`, `platform/front.py`, `ballot.py` where the page says before which package it means, and
`consensus/witness_test.py::test_name`."""
TEST = re.compile(r"(?:(?<![\w:/.])(test_\w+)|(?<=`\.\.\.)(_\w+))(\.\.\.)?")
"""A test without its file; three dots before or after stand for the rest of its name."""
MEMBER = re.compile(r"`([A-Z][a-z]\w*)\.([a-z_]\w*)(?:\([^`]*\))?`")
"""`Class.method`, `Class.method(arguments)`, `Class.field`."""
CLASS = re.compile(r"`([A-Z][a-z]\w*)`")
FORMER_NAMES = "## Former names in code"
"""The section of the glossary that names what is no more; it is the page's last."""


def files_of(path):
    """The files that a page may mean: from the root or the package; a name without a folder may be in any of them."""
    if "/" in path:
        return [file for file in (ROOT / path, ROOT / "aspencroft" / path) if file.is_file()]
    return [*ROOT.glob(path), *(file for folder in FOLDERS for file in folder.rglob(path))]


@functools.cache
def functions_of(file):
    """The names of the functions of a file."""
    return frozenset(node.name for node in ast.parse(file.read_text()).body if isinstance(node, FUNCTIONS))


@functools.cache
def all_tests():
    """The names of all tests."""
    files = [file for folder in FOLDERS for file in folder.rglob("*_test.py")]
    return frozenset(name for file in files for name in functions_of(file) if name.startswith("test_"))


def members_of(definition):
    """The methods and fields of a class: what its body defines, and what its methods set on ``self``."""
    found = {node.name for node in definition.body if isinstance(node, FUNCTIONS)}
    found |= {node.target.id for node in definition.body if isinstance(node, ast.AnnAssign)}
    for node in ast.walk(definition):
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store) and ast.unparse(node.value) == "self":
            found.add(node.attr)
    return found


@functools.cache
def classes():
    """The members of all classes that are no tests', by the class's name."""
    found = {}
    for folder in FOLDERS:
        for file in folder.rglob("*.py"):
            if not file.name.endswith("_test.py"):
                for node in ast.walk(ast.parse(file.read_text())):
                    if isinstance(node, ast.ClassDef):
                        found.setdefault(node.name, set()).update(members_of(node))
    return found


def stale_files(text):
    """The files, and tests in them, that a page names and the tree does not have."""
    stale = set()
    for path, test in FILE.findall(text):
        files = files_of(path)
        if not files or (test and not any(test in functions_of(file) for file in files)):
            stale.add(f"{path}::{test}" if test else path)
    return sorted(stale)


def stale_tests(text):
    """The tests that a page names without their file and the tree does not have."""
    stale = set()
    for start, later, dots in TEST.findall(text):
        end = r"\w*" if dots else ""
        pattern = re.compile(f"{start}{end}" if start else rf"\w+{later}{end}")
        if not any(pattern.fullmatch(test) for test in all_tests()):
            stale.add(start or later)
    return sorted(stale)


def stale_members(text):
    """The members of classes that a page names and the tree does not have."""
    return sorted(
        {f"{name}.{member}" for name, member in MEMBER.findall(text) if member not in classes().get(name, ())}
    )


def test_former_names_are_the_last_section_of_the_glossary():
    assert PAGES["docs/glossary.md"].read_text().partition(FORMER_NAMES)[2].count("\n## ") == 0


@pytest.mark.parametrize("page", LIVING)
def test_a_living_page_names_only_files_tests_and_members_of_classes_that_exist(page):
    text = PAGES[page].read_text()
    if page == "docs/glossary.md":
        text = text.partition(FORMER_NAMES)[0]
    assert (stale_files(text), stale_tests(text), stale_members(text)) == ([], [], [])


def test_the_page_of_the_architecture_names_only_classes_that_exist():
    named = set(CLASS.findall(PAGES["docs/architecture.md"].read_text()))
    assert len(named) > 20
    assert named - set(classes()) == set()


LOG_LINE = re.compile(r"`(NOTICE|INFO|WARNING|ERROR) ([a-z_.]+): ([^`]+)`")
"""A line of the log as the page for who is on call quotes it: level, logger, format."""
PLACE_OF_A_VALUE = re.compile(r"\{[^}]*\}")


def stale_log_lines(text):
    """The quoted log lines whose fixed words no module with that logger has."""
    sources = [file.read_text() for folder in FOLDERS for file in folder.rglob("*.py")]
    stale = set()
    for _, logger, form in LOG_LINE.findall(" ".join(text.split())):
        fixed = [words.strip() for words in PLACE_OF_A_VALUE.split(form)]
        if not any(f'Logger("{logger}")' in source and all(words in source for words in fixed) for source in sources):
            stale.add(f"{logger}: {form}")
    return sorted(stale)


def test_the_page_for_who_is_on_call_quotes_lines_that_the_code_has():
    text = PAGES["docs/on-call.md"].read_text()
    assert len(LOG_LINE.findall(" ".join(text.split()))) > 40 and stale_log_lines(text) == []
    assert stale_log_lines("`INFO node.status: no such line`") == ["node.status: no such line"]


def test_each_page_of_history_is_there():
    assert set(PAGES) >= HISTORY


def test_stale_names_are_seen():
    assert stale_files("`consensus/no_such.py`, `no_such.py` and `platform/no_such.py`") == [
        "consensus/no_such.py",
        "no_such.py",
        "platform/no_such.py",
    ]
    assert stale_files("`consensus/witness_test.py::test_no_such`") == ["consensus/witness_test.py::test_no_such"]
    assert stale_files("`consensus/ballot.py`, `aspencroft/consensus/ballot.py`, `platform/front.py`, `front.py`") == []
    assert stale_tests("`test_no_such...`, `test_stale_names`") == ["test_no_such", "test_stale_names"]
    assert stale_tests("`..._no_such_end`, `..._names_are`") == ["_names_are", "_no_such_end"]
    assert (
        stale_tests("`test_stale_names...`, `test_stale_names_are_seen`, `..._names_are_seen`, `..._names_are...`")
        == []
    )
    assert stale_members("`Ballot.no_such`, `NoSuch.run(now)`") == ["Ballot.no_such", "NoSuch.run"]
    assert stale_members("`Ballot.promised`, `Primary.submit(command, within)`, `Primary.submissions`") == []
