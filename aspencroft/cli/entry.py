"""Entries of the daemons' commands: signals are taken before anything large is imported."""

import importlib

from aspencroft.cli import process_signals


def run(program: str) -> None:
    """Take signals, then load a program and be it.

    Example: ``entry.run("dplane")``
    """
    process_signals.RECEIVED.install()
    importlib.import_module(f"aspencroft.cli.{program}").main()


def dplane() -> None:
    """The data plane's command.

    Example: ``dplane node.toml --area north``
    """
    run("dplane")


def cplane() -> None:
    """The control plane's command.

    Example: ``cplane node.toml --role storage --data /var/lib/aspencroft``
    """
    run("cplane")
