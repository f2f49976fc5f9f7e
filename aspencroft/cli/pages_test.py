"""Every command of the README, the operator pages and the page for who is on call is walked, its outcome checked.

A command that joins a page without a walk here fails. Commands for a cluster go to real processes of the smallest
size; long runs are walked with smaller figures, which stand beside them.
"""

import collections.abc
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import time

import httpx
import pytest

from aspencroft.cli import local_cluster

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = ("README.md", "docs/operators.md", "docs/on-call.md")
NODE = "127.0.0.1:7300"
SIZE = local_cluster.SMALLEST
SIZE_FLAGS = ["--edges", str(SIZE.edges), "--storage", str(SIZE.storage), "--cores", str(SIZE.cores)]
OFFSETS = range(12_000, 24_000, 200)
TEST_PROCESSES = 12
START_LIMIT_S = 60.0
EVENT_LIMIT_S = 20.0
WATCH_S = 3.0


def commands_of(text: str) -> list[str]:
    """The commands of a page's indented blocks, continued lines joined, without comments."""
    lines = [line[4:] for line in text.splitlines() if line.startswith("    ") and line.strip()]
    joined = "\n".join(lines).replace("\\\n", " ")
    return [" ".join(shlex.split(line, comments=True)) for line in joined.splitlines()]


COMMANDS = {command: page for page in PAGES for command in commands_of((ROOT / page).read_text())}


class Walker:
    """A cluster of the smallest size that really runs, and ways to run commands against it."""

    def __init__(self, folder: pathlib.Path, offset: int):
        self.folder = folder
        self.offset = offset
        self.http = f"127.0.0.1:{local_cluster.HTTP_PORT + offset}"
        self.request = ""
        command = [sys.executable, "-m", "aspencroft", "cluster", "start", "--offset", str(offset), *SIZE_FLAGS]
        with open(folder / "start.txt", "wb") as output:
            self.process = subprocess.Popen(command, cwd=folder, stdout=output, stderr=output, start_new_session=True)

    def run(self, *arguments: str, code: int = 0, seconds: float = 60.0) -> str:
        """Run a command as an operator does; its output, once its exit code was checked."""
        command = [sys.executable, "-m", "aspencroft", *arguments] if arguments[0] in ("ctl", "trace") else arguments
        done = subprocess.run(command, cwd=self.folder, capture_output=True, text=True, timeout=seconds, check=False)
        assert done.returncode == code, (arguments, done.returncode, done.stdout[-2000:], done.stderr[-2000:])
        assert "Traceback" not in done.stderr, done.stderr
        return done.stdout

    def until(self, seen: collections.abc.Callable[[], bool], limit: float, what: str) -> None:
        """Wait for something to be seen."""
        end = time.monotonic() + limit
        while not seen():
            assert time.monotonic() < end, (what, (self.folder / "start.txt").read_text()[-2000:])
            assert self.process.poll() is None, (self.folder / "start.txt").read_text()[-2000:]
            time.sleep(0.2)

    def status(self) -> dict:
        """The status page of the first node."""
        return httpx.get(f"http://{self.http}/status", timeout=5, trust_env=False).json()

    def log_lines(self) -> list[str]:
        """What all nodes have written to their files."""
        return [
            line for path in sorted(self.folder.glob("run/node-*/ring.log")) for line in path.read_text().splitlines()
        ]

    def has_event(self, event: str) -> bool:
        """Whether any node's file tells of an event."""
        return any(f"event={event} " in f"{line} " for line in self.log_lines())

    def node_pids(self) -> dict[int, str]:
        """The nodes' processes that run, each with the settings file that it was started with."""
        files = {str(path.relative_to(self.folder)) for path in self.folder.glob("run/node-*/node.toml")}
        found = {}
        for home in pathlib.Path("/proc").glob("[0-9]*"):
            with contextlib.suppress(OSError):
                named = files & set((home / "cmdline").read_bytes().decode().split("\0"))
                if named and os.readlink(home / "cwd") == str(self.folder):
                    found[int(home.name)] = named.pop()
        return found

    def pid_at(self, address: str) -> int:
        """The process that has a link address, by the settings file that it was started with."""
        for pid, settings in self.node_pids().items():
            if f'address = "{address}"' in (self.folder / settings).read_text():
                return pid
        raise AssertionError(f"no process at {address}")

    def stop(self) -> None:
        """End the cluster and whatever it started."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGINT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(30)
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait(10)


def free_offset() -> int:
    """An offset at which none of a cluster's ports is taken; test processes that run at once look at others."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    bases = (local_cluster.LINK_PORT, local_cluster.HTTP_PORT, local_cluster.PLATFORM_PORT, local_cluster.WORKER_PORT)
    for offset in OFFSETS[worker % TEST_PROCESSES :: TEST_PROCESSES]:
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in (base + offset + number for base in bases for number in range(12)):
                held = stack.enter_context(socket.socket())
                held.bind(("127.0.0.1", port))
            return offset
    raise AssertionError("no free ports")


# -- walks against the cluster -------------------------------------------------------------------------


def walk_status(walker: Walker) -> None:
    shown = walker.run("ctl", "status", walker.http)
    assert shown.startswith("no problem is known") and "voters: 3 of 3 live, 1 more may be lost" in shown
    assert "control group: epoch" in shown and "session group 4: epoch" in shown and "NONE" not in shown


def walk_get_lane(walker: Walker) -> None:
    assert json.loads(walker.run("ctl", "get", walker.http, "lanes/catalogue"))["spec"]["kind"] == "turns"


def walk_request(walker: Walker) -> None:
    command = next(command for command in COMMANDS if command.startswith("curl -N"))
    found = re.fullmatch(r"curl -N -H (content-type: application/json) -D - \S+/requests -d (.*)", command)
    assert found is not None
    answer = walker.run("curl", "-sN", "-H", found[1], "-D", "-", f"http://{walker.http}/requests", "-d", found[2])
    head = re.search(r"^x-request: (\S+)\s*$", answer, re.IGNORECASE | re.MULTILINE)
    assert head is not None and " 200 " in answer.splitlines()[0] and '"end": true' in answer, answer
    walker.request = head[1]


def walk_trace(walker: Walker) -> None:
    if not walker.request:
        walk_request(walker)
    shown = walker.run("trace", walker.http, walker.request)
    assert walker.request in shown and "taken in" in shown and "answered" in shown


def walk_put_plan(walker: Walker) -> None:
    held = json.loads(walker.run("ctl", "get", walker.http))
    (walker.folder / "plan.json").write_text(json.dumps(held["plan"]))
    assert "revision" in json.loads(walker.run("ctl", "put", walker.http, "plan", "plan.json"))
    (walker.folder / "plan.json").write_text("{")
    refused = json.loads(walker.run("ctl", "put", walker.http, "plan", "plan.json", code=1))
    assert refused["error"]["ran"] == "not run"


def walk_put_lane(walker: Walker) -> None:
    held = json.loads(walker.run("ctl", "get", walker.http))
    (walker.folder / "lane.json").write_text(json.dumps(held["plan"]["lanes"]["catalogue"]))
    stale = json.loads(walker.run("ctl", "put", walker.http, "lanes/chat", "lane.json", "--revision", "0.1", code=1))
    assert stale["error"]["result"] == 1302
    walker.run("ctl", "put", walker.http, "lanes/chat", "lane.json")
    revision = json.loads(walker.run("ctl", "get", walker.http, "lanes/chat"))["revision"]
    walker.run("ctl", "put", walker.http, "lanes/chat", "lane.json", "--revision", revision)
    walker.run("ctl", "delete", walker.http, "lanes/chat")


def walk_patch(walker: Walker) -> None:
    (walker.folder / "change.json").write_text(json.dumps({"workers": {"nobody": {"leaving": True}}}))
    walker.run("ctl", "patch", walker.http, "change.json")
    assert "workers marked as leaving: nobody" in walker.run("ctl", "status", walker.http)
    (walker.folder / "change.json").write_text(json.dumps({"workers": {"nobody": None}}))
    walker.run("ctl", "patch", walker.http, "change.json")


@contextlib.contextmanager
def children_take_interrupts() -> collections.abc.Iterator[None]:
    """Children started meanwhile take SIGINT as under a terminal. A shell's job in the background hands on that
    SIGINT is ignored; a handler of one's own isn't handed on.
    """
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)


def walk_watch(walker: Walker, resource: str) -> None:
    with children_take_interrupts():
        watching = subprocess.Popen(
            [sys.executable, "-m", "aspencroft", "ctl", "watch", walker.http, resource],
            cwd=walker.folder,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
    time.sleep(WATCH_S)
    watching.send_signal(signal.SIGINT)
    output, faults = watching.communicate(timeout=20)
    assert watching.returncode == 130 and "Traceback" not in faults, (watching.returncode, faults)
    assert resource != "plan" or json.loads(output.splitlines()[0])


def walk_metrics(walker: Walker) -> None:
    shown = walker.run("curl", "-s", f"{walker.http}/metrics")
    assert re.search(r"^aspencroft_plan_current\{.*\} 1\.0$", shown, re.MULTILINE), shown[:2000]


def walk_ready(walker: Walker) -> None:
    code = walker.run("curl", "-s", "-o", "/dev/null", "-w", r"%{http_code}\n", f"{walker.http}/ready")
    assert code.strip() == "200"


def walk_get_status(walker: Walker) -> None:
    shown = json.loads(walker.run("ctl", "get", walker.http, "status"))
    assert shown["plan"]["current"] and shown["quorum"]["losses_left"] == 1


def walk_log(walker: Walker) -> None:
    storage = f"127.0.0.1:{local_cluster.HTTP_PORT + walker.offset + SIZE.edges}"
    assert "replica opened at entry" in walker.run("ctl", "log", storage)
    assert any("replica opened at entry" in line for line in walker.log_lines())


CLUSTER_WALKS: dict[str, collections.abc.Callable[[Walker], None]] = {
    f".venv/bin/aspencroft ctl status {NODE}": walk_status,
    f".venv/bin/aspencroft ctl get {NODE} lanes/catalogue": walk_get_lane,
    next((command for command in COMMANDS if command.startswith("curl -N")), "curl -N"): walk_request,
    f".venv/bin/aspencroft trace {NODE} REQUEST": walk_trace,
    f"aspencroft ctl put {NODE} plan plan.json": walk_put_plan,
    f"aspencroft ctl put {NODE} lanes/chat lane.json --revision 3.17": walk_put_lane,
    f"aspencroft ctl patch {NODE} change.json": walk_patch,
    f"aspencroft ctl watch {NODE} plan": lambda walker: walk_watch(walker, "plan"),
    f"aspencroft ctl watch {NODE} observed/keeps": lambda walker: walk_watch(walker, "observed/keeps"),
    f"aspencroft ctl status {NODE}": walk_status,
    "aspencroft ctl status NODE": walk_status,
    "aspencroft ctl get NODE status": walk_get_status,
    "aspencroft ctl log NODE": walk_log,
    "aspencroft trace NODE REQUEST": walk_trace,
    "curl -s NODE/metrics": walk_metrics,
    r"curl -s -o /dev/null -w %{http_code}\n NODE/ready": walk_ready,
}

# -- walks without it ----------------------------------------------------------------------------------

PYTHON = ".venv/bin/python -m aspencroft.simulation"
SMALLER = {
    f"{PYTHON}.campaign --first 1 --seeds 200": ["campaign", "--first", "3", "--seeds", "1"],
    f"{PYTHON}.forwarding --first 1 --seeds 20": ["forwarding", "--first", "3", "--seeds", "1"],
    f"{PYTHON}.measure takeover": ["measure", "takeover", "--seeds", "1"],
    f"{PYTHON}.mutations": ["mutations", "--only", "the condition of an order is not looked at"],
    f"{PYTHON}.cutoff --first 1 --seeds 3": ["cutoff", "--seeds", "1", "--edges", "2", "--cores", "3"],
    f"{PYTHON}.model_check --voters 5 --states 40000": ["model_check", "--voters", "3", "--states", "500"],
    f"{PYTHON}.behaviour_digests --check": ["behaviour_digests", "--check", "--only", "model of copies"],
}
"""Commands that take minutes, and the same ones with smaller figures."""
ELSEWHERE = {
    "python3 -m venv .venv": (".ci/run", "python3 -m venv"),
    ".venv/bin/pip install -e .[test]": (".ci/run", "-e '.[test]'"),
    "python3 -m pip install -q -U --target target/deps -r requirements.txt": (
        "deploy/system.toml",
        "python3 -m pip install -q -U --target target/deps -r requirements.txt",
    ),
    "ASPENCROFT_BOOT=local.yaml PYTHONPATH=target/deps python3 platform/main.py edge": (
        "platform/local_machines.py",
        '"main.py"',
    ),
    "python -m pytest": (".ci/run", "python -m pytest"),
    ".venv/bin/python platform/memory_soak.py --first 1 --seeds 50 --seconds 15": (
        "platform/memory_soak_test.py",
        "memory_soak.run_seed(",
    ),
}
"""Commands that CI, the build or another test runs, with the file and the words that show it."""
DRIVEN = {
    ".venv/bin/aspencroft cluster drive --deployment archive --seconds 20 --rate 10": ["--seconds", "3"],
    ".venv/bin/aspencroft cluster drive --deployment tills --seconds 600 --rate 5 --faults every --seed 12": [
        *["--deployment", "tills", "--seconds", "6", "--rate", "5", "--faults", "edge", "--every", "1", "--seed", "12"]
    ],
}
CHECKED = ".venv/bin/aspencroft cluster check run/history.json"


def test_every_command_of_the_pages_is_walked_and_every_walk_is_on_a_page():
    walked = {*CLUSTER_WALKS, *SMALLER, *ELSEWHERE, *DRIVEN, CHECKED}
    assert set(COMMANDS) - walked == set(), "on a page and not walked"
    assert walked - set(COMMANDS) == set(), "walked and on no page"


def test_continued_lines_and_comments_of_a_page_are_read_as_a_shell_does():
    assert commands_of("text\n\n    one 'a b' \\\n        -d c   # comment\n    two\n") == ["one a b -d c", "two"]


@pytest.fixture
def walker(tmp_path):
    found = Walker(tmp_path, free_offset())
    try:
        found.until(lambda: "operators and callers" in (tmp_path / "start.txt").read_text(), START_LIMIT_S, "started")
        yield found
    finally:
        found.stop()


def test_commands_for_a_cluster_and_what_is_read_from_its_files_after_kills(walker):
    for walk in dict.fromkeys(CLUSTER_WALKS.values()):
        walk(walker)
    read_after_kills(walker)


def read_after_kills(walker: Walker) -> None:
    """A failover and an order are read from the nodes' files though all nodes are killed right after."""
    assert walker.has_event("order_taken") and walker.has_event("order_refused")
    before = walker.status()["holders"]["0"]
    lost = before["primary"]
    before_kill = walker.node_pids()
    known = set(walker.log_lines())

    def failovers() -> list[str]:
        """What the files say of takeovers of the control group since its primary was killed."""
        fresh = [line for line in walker.log_lines() if line not in known]
        return [line for line in fresh if "event=takeover_succeeded group=0" in line]

    os.kill(walker.pid_at(lost), signal.SIGKILL)
    walker.until(lambda: bool(failovers()), EVENT_LIMIT_S, "a failover in a file")
    walker.until(lambda: walker.status()["holders"]["0"]["primary"] != lost, EVENT_LIMIT_S, "another primary known")
    shown = walker.run("ctl", "status", walker.http, code=1)
    assert shown.startswith("! ") and lost in shown
    walker.until(lambda: walker.has_event("member_down"), EVENT_LIMIT_S, "the lost member in a file")
    assert f"member {lost} (" in walker.run("ctl", "status", walker.http, code=1)
    survivors = walker.node_pids()
    assert len(survivors) == len(before_kill) - 1, (before_kill, survivors)
    for pid in survivors:
        os.kill(pid, signal.SIGKILL)
    walker.until(lambda: not walker.node_pids(), EVENT_LIMIT_S, "all nodes gone")
    assert walker.has_event("order_taken") and walker.has_event("order_refused")
    assert any(f"in the place of {lost}" in line for line in failovers()), failovers()
    assert all(re.match(r"\[[\d-]+ [\d:.]+\] [A-Z]+: [\w.]+: ", line) for line in walker.log_lines())


def test_a_driven_cluster_and_its_check(tmp_path):
    for number, arguments in enumerate(DRIVEN.values()):
        folder = tmp_path / str(number)
        folder.mkdir()
        offset = str(free_offset())
        base = [sys.executable, "-m", "aspencroft", "cluster"]
        driven = subprocess.run(
            [*base, "drive", "--offset", offset, *SIZE_FLAGS, *arguments],
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        assert driven.returncode == 0, (driven.stdout[-2000:], driven.stderr[-2000:])
        assert json.loads(driven.stdout)["wrong"] == []
        checked = subprocess.run(
            [*base, "check", "run/history.json"], cwd=folder, capture_output=True, text=True, check=False
        )
        assert (checked.returncode, checked.stdout) == (0, "nothing that must never happen\n")


@pytest.mark.parametrize("command", SMALLER)
def test_long_commands_with_smaller_figures(command):
    module, *arguments = SMALLER[command]
    done = subprocess.run(
        [sys.executable, "-m", f"aspencroft.simulation.{module}", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
        check=False,
    )
    assert done.returncode == 0 and done.stdout.strip(), (done.stdout[-2000:], done.stderr[-2000:])


@pytest.mark.parametrize("command", ELSEWHERE)
def test_commands_that_ci_the_build_or_another_test_runs(command):
    file, words = ELSEWHERE[command]
    assert words in (ROOT / file).read_text()
