"""The operators' client: reads, writes and watches plan resources and what is observed."""

import json
import os
import pathlib
import sys

import defopt
import httpx

TIMEOUT_S = 30


def program_name() -> str:
    """The command as it was called, for messages: ``aspencroft ctl``, or the old ``acctl``."""
    return os.path.basename(sys.argv[0])


def print_response(response: httpx.Response) -> int:
    """Print a response's body; the exit code, 0 for a success."""
    try:
        print(json.dumps(response.json(), indent=1))
    except ValueError:
        print(response.text)
    return 0 if response.is_success else 1


def read_body(file: str) -> bytes:
    """A file's bytes, or standard input's for "-"; ends the program when the file cannot be read."""
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        sys.exit(f"{program_name()}: {error}")


def precondition_headers(revision: str) -> dict[str, str]:
    """The header that makes a write conditional.

    Example: ``precondition_headers("3.17") == {"If-Match": '"3.17"'}``
    """
    return {"If-Match": f'"{revision}"'} if revision else {}


def get(node: str, resource: str = "plan") -> int:
    """Show the plan, one resource, or what is observed.

    :param node: any node's HTTP address, host:port
    :param resource: plan, KIND/NAME, status, or observed/keeps, observed/quiet, observed/alerts
    """
    inner = resource.count("/") == 1 and not resource.startswith("observed/")
    return print_response(
        httpx.get(f"http://{node}/{'plan/' if inner else ''}{resource}", timeout=TIMEOUT_S, trust_env=False)
    )


def put(node: str, resource: str, file: str, *, revision: str = "") -> int:
    """Write the whole plan or one resource.

    :param node: any node's HTTP address, host:port
    :param resource: plan, or KIND/NAME
    :param file: JSON file, or - for standard input
    :param revision: write only if this is still the revision
    """
    path = resource if resource == "plan" else f"plan/{resource}"
    return print_response(
        httpx.put(
            f"http://{node}/{path}",
            content=read_body(file),
            headers=precondition_headers(revision),
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    )


def patch(node: str, file: str, *, revision: str = "") -> int:
    """Change the plan by a JSON merge patch.

    :param node: any node's HTTP address, host:port
    :param file: JSON file, or - for standard input
    :param revision: write only if this is still the plan's revision
    """
    return print_response(
        httpx.patch(
            f"http://{node}/plan",
            content=read_body(file),
            headers=precondition_headers(revision),
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    )


def delete(node: str, resource: str, *, revision: str = "") -> int:
    """Remove one resource.

    :param node: any node's HTTP address, host:port
    :param resource: KIND/NAME
    :param revision: remove only if this is still its revision
    """
    return print_response(
        httpx.delete(
            f"http://{node}/plan/{resource}", headers=precondition_headers(revision), timeout=TIMEOUT_S, trust_env=False
        )
    )


def watch(node: str, resource: str = "plan") -> int:
    """Print changes, a line of JSON each, until interrupted.

    :param node: any node's HTTP address, host:port
    :param resource: plan, observed/keeps, observed/quiet or observed/alerts
    """
    with httpx.stream("GET", f"http://{node}/{resource}?watch=true", timeout=None, trust_env=False) as response:
        for line in response.iter_lines():
            print(line, flush=True)
        return 0 if response.is_success else 1


def status_screen(shown: dict, plan: dict, topics: dict) -> str:
    """The fleet's state as one node sees it, on one screen."""
    lines = [
        f"seen by {shown['address']} ({shown['role']}, {shown['area']}): plan {shown['plan']['revision']}"
        f"{' in force' if shown['plan']['current'] else ' NOT CURRENT'}, "
        + ", ".join(f"{len(plan.get(kind, {}))} {kind}" for kind in ("lanes", "services", "routes", "rules")),
        "",
    ]
    by_area: dict[str, list[str]] = {}
    for one in shown["fellows"]:
        mark = "" if one["state"] == "live" else f" {one['state'].upper()}"
        by_area.setdefault(one["area"], []).append(f"{one['role']} {one['address']}{mark}")
    for area, row in sorted(by_area.items()):
        lines.append(f"  {area}: " + "; ".join(sorted(row)))
    lines.append("")
    for group_id, held in shown["holders"].items():
        name = "control" if group_id == "0" else f"talk {group_id}"
        lines.append(
            f"  {name}: epoch {held['epoch']}, primary {held['primary']}, backup {held['backup'] or 'NONE: no writes'}"
        )
    witness = shown["witness"]
    lines.append(f"  witnesses: {', '.join(witness['roster'])} (here: {witness['why']})")
    leaving = sorted(name for name, spec in plan.get("workers", {}).items() if spec.get("leaving"))
    emptied = sorted(name for name, spec in plan.get("machines", {}).items() if spec.get("emptied"))
    quiet, alerts = topics.get("quiet", {}), topics.get("alerts", {})
    lines += [
        "",
        f"  workers marked as leaving: {', '.join(leaving) or 'none'}; "
        f"machines emptied: {', '.join(emptied) or 'none'}",
        f"  quiet list: {', '.join(quiet.get('workers', [])) or 'none'} "
        f"(asleep: {', '.join(quiet.get('asleep', [])) or 'none'})",
        f"  alerts: {', '.join(f'{name} {state}' for name, state in alerts.get('rules', {}).items()) or 'none'}",
    ]
    faults = {**shown["faults"]["outside"], **shown["faults"]["standing tasks"]}
    lines.append(f"  faults counted here: {', '.join(f'{name} {count}' for name, count in faults.items()) or 'none'}")
    return "\n".join(lines)


def status(node: str) -> int:
    """Show the fleet's state on one screen, as a node sees it.

    Exits with 1 when the node's plan is not current or a replication group has no backup.

    :param node: any node's HTTP address, host:port
    """
    pages = {}
    for page in ("status", "plan", "observed/quiet", "observed/alerts"):
        response = httpx.get(f"http://{node}/{page}", timeout=TIMEOUT_S, trust_env=False)
        if not response.is_success:
            return print_response(response)
        pages[page] = response.json()
    shown = pages["status"]
    print(
        status_screen(
            shown,
            pages["plan"]["plan"],
            {"quiet": pages["observed/quiet"]["quiet"], "alerts": pages["observed/alerts"]["alerts"]},
        )
    )
    return 0 if shown["plan"]["current"] and all(held["backups"] for held in shown["holders"].values()) else 1


def main() -> None:
    """Run the subcommand that the arguments name; a failed connection ends it with one line."""
    try:
        sys.exit(defopt.run([status, get, put, patch, delete, watch]))
    except httpx.HTTPError as error:
        sys.exit(f"{program_name()}: {error!r}")
    except KeyboardInterrupt:
        sys.exit(130)
