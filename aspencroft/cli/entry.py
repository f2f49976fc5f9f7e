"""The command ``aspencroft``: names a program, which is loaded only then.

A process of an edge or of the control plane takes signals before anything large is imported, so that a stop or a reload
that comes while it starts is not lost; and it loads only what it serves with, as starts are timed and memory counted.
"""

import importlib
import sys

from aspencroft.cli import process_signals

NODES = {"edge": "edge_program", "control": "control_program"}
TOOLS = {"ctl": "operator_command", "trace": "trace_command", "cluster": "local_cluster_command"}
HELP = """usage: aspencroft COMMAND ...

  edge      run an edge node: takes callers' requests and forwards them to workers
  control   run a node of the control plane, on a core or storage machine
  ctl       read, write and watch the plan and the cluster's state
  trace     explain why a request went where it went
  cluster   start, drive or check a local cluster of real processes

"aspencroft COMMAND --help" tells more."""


def run_node(module: str) -> None:
    """Take signals, then load the program of a node and run it until it is stopped."""
    process_signals.RECEIVED.install()
    importlib.import_module(f"aspencroft.cli.{module}").main()


def edge() -> None:
    """The old command ``dplane``."""
    run_node(NODES["edge"])


def control() -> None:
    """The old command ``cplane``."""
    run_node(NODES["control"])


def main() -> None:
    """Run the program that the first argument names, with the arguments after it."""
    command, *arguments = sys.argv[1:] or [""]
    if command in ("-h", "--help"):
        print(HELP)
        return
    if command not in (*NODES, *TOOLS):
        sys.exit(HELP)
    sys.argv = [f"aspencroft {command}", *arguments]
    if command in NODES:
        run_node(NODES[command])
    else:
        importlib.import_module(f"aspencroft.cli.{TOOLS[command]}").main()
