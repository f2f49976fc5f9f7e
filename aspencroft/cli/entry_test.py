"""Tests of ``aspencroft.cli.entry``."""

import importlib
import pathlib
import subprocess
import sys
import tomllib

import pytest

from aspencroft.cli import entry

ROOT = pathlib.Path(__file__).resolve().parents[2]
OLD_COMMANDS = {"dplane", "cplane", "fleet", "acwhy", "acctl"}


def run_command(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "aspencroft", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


@pytest.mark.parametrize("command", [*entry.NODES, *entry.TOOLS])
def test_each_command_is_listed_and_tells_its_usage(command):
    shown = run_command(command, "--help")
    assert shown.returncode == 0 and f"usage: aspencroft {command}" in shown.stdout
    assert f"\n  {command} " in entry.HELP


@pytest.mark.parametrize("arguments", [(), ("dplane",)])
def test_a_call_without_a_known_command_fails_and_lists_the_commands(arguments):
    shown = run_command(*arguments)
    assert shown.returncode == 1 and entry.HELP in shown.stderr


def test_new_and_old_commands_are_installed_and_can_be_loaded():
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    assert set(scripts) == {"aspencroft", *OLD_COMMANDS}
    for target in scripts.values():
        module, function = target.split(":")
        assert callable(getattr(importlib.import_module(module), function))
