"""Entries of the daemons' commands: signals are taken before anything large is imported."""

import importlib

from aspencroft.cli import process_signals


def run(program: str) -> None:
    """Take signals, then load a program and be it."""
    process_signals.RECEIVED.install()
    importlib.import_module(f"aspencroft.cli.{program}").main()


def dplane() -> None:
    """The data plane's command."""
    run("dplane")


def cplane() -> None:
    """The control plane's command."""
    run("cplane")
