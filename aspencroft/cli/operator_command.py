"""The operators' client: reads, writes and watches plan resources and what is observed."""

import asyncio
import json
import os
import pathlib
import sys

import defopt
import httpx
import msgspec

from aspencroft.cli import cluster_status

TIMEOUT_S = 30
MEMBER_TIMEOUT_S = 2


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


def log(node: str) -> int:
    """Have a node write the lines that wait in its memory to its log, and show them.

    :param node: any node's HTTP address, host:port
    """
    response = httpx.post(f"http://{node}/log", timeout=TIMEOUT_S, trust_env=False)
    if not response.is_success:
        return print_response(response)
    print("\n".join(response.json()["lines"]) or "no lines are kept")
    return 0


def decode_status(node: str, body: bytes) -> cluster_status.NodeStatus:
    """A node's status; ends the program where it is none."""
    try:
        return msgspec.json.decode(body, type=cluster_status.NodeStatus)
    except msgspec.DecodeError as error:
        sys.exit(f"{program_name()}: {node} gave no status of a node: {error}")


async def fetch_others(asked: cluster_status.NodeStatus) -> cluster_status.ClusterStatus:
    """Ask all members that are not down, at once; those that fail or are slow count as silent."""
    others: list[cluster_status.NodeStatus] = []
    silent: list[str] = []

    async def fetch(client: httpx.AsyncClient, member: cluster_status.MemberStatus) -> None:
        try:
            response = await client.get(f"http://{member.http}/status")
            others.append(msgspec.json.decode(response.content, type=cluster_status.NodeStatus))
        except (httpx.HTTPError, msgspec.DecodeError):
            silent.append(member.address)

    members = [
        member
        for member in asked.fellows
        if member.address != asked.address
        and member.http
        and member.state in (cluster_status.LIVE, cluster_status.LEAVING)
    ]
    async with httpx.AsyncClient(timeout=MEMBER_TIMEOUT_S, trust_env=False) as client, asyncio.TaskGroup() as group:
        for member in members:
            group.create_task(fetch(client, member))
    others.sort(key=lambda status: status.address)
    return cluster_status.ClusterStatus(asked, tuple(others), tuple(sorted(silent)))


def status_screen(cluster: cluster_status.ClusterStatus, plan: dict, quiet: dict, alerts: dict) -> str:
    """The cluster's state on one screen: what is wrong first, then what there is."""
    asked, newest = cluster.asked, cluster.newest_revision()
    problems = cluster.problems()
    lines = [f"! {problem}" for problem in problems] or ["no problem is known"]
    lines += [
        "",
        f"seen by {asked.address} ({asked.role}, {asked.area}) and {len(cluster.others)} others: "
        f"configuration {newest.revision}, "
        + ", ".join(f"{len(plan.get(kind, {}))} {kind}" for kind in ("lanes", "services", "routes", "rules")),
        f"voters: {len(asked.quorum.live)} of {len(asked.witness.roster)} live, "
        f"{max(0, asked.quorum.losses_left)} more may be lost",
        "",
        *member_lines(asked),
        "",
        *group_lines(cluster),
        "",
        *mark_lines(plan, quiet, alerts),
    ]
    faults = {**asked.faults.outside, **asked.faults.standing_tasks}
    lines.append(f"  faults counted here: {', '.join(f'{name} {count}' for name, count in faults.items()) or 'none'}")
    return "\n".join(lines)


def member_lines(asked: cluster_status.NodeStatus) -> list[str]:
    """The members by area."""
    by_area: dict[str, list[str]] = {}
    for member in asked.fellows:
        mark = "" if member.state == cluster_status.LIVE else f" {member.state.upper()}"
        by_area.setdefault(member.area, []).append(f"{member.role} {member.address}{mark}")
    return [f"  {area}: " + "; ".join(sorted(row)) for area, row in sorted(by_area.items())]


def group_lines(cluster: cluster_status.ClusterStatus) -> list[str]:
    """The replication groups with their members."""
    return [
        f"  {cluster_status.group_name(group_id)}: epoch {record.epoch}, primary {record.primary}, "
        f"backups {', '.join(record.backups) or 'NONE'}"
        for group_id, record in cluster.replica_sets().items()
    ]


def mark_lines(plan: dict, quiet: dict, alerts: dict) -> list[str]:
    """What operators and rules marked."""
    leaving = sorted(name for name, spec in plan.get("workers", {}).items() if spec.get("leaving"))
    drained = sorted(name for name, spec in plan.get("machines", {}).items() if spec.get("emptied"))
    return [
        f"  workers marked as leaving: {', '.join(leaving) or 'none'}",
        f"  drained machines: {', '.join(drained) or 'none'}",
        f"  quiet list: {', '.join(quiet.get('workers', [])) or 'none'} "
        f"(asleep: {', '.join(quiet.get('asleep', [])) or 'none'})",
        f"  alerts: {', '.join(f'{name} {state}' for name, state in alerts.get('rules', {}).items()) or 'none'}",
    ]


def status(node: str) -> int:
    """Show the cluster's state on one screen: what is wrong first, as the node and all that it knows tell it.

    Exits with 1 when anything is wrong: a group without a primary or with too few replicas, voters lost, members down,
    suspected or leaving, nodes behind the newest configuration.

    :param node: any node's HTTP address, host:port
    """
    pages = {}
    for page in ("status", "plan", "observed/quiet", "observed/alerts"):
        response = httpx.get(f"http://{node}/{page}", timeout=TIMEOUT_S, trust_env=False)
        if not response.is_success:
            return print_response(response)
        pages[page] = response
    cluster = asyncio.run(fetch_others(decode_status(node, pages["status"].content)))
    print(
        status_screen(
            cluster,
            pages["plan"].json()["plan"],
            pages["observed/quiet"].json()["quiet"],
            pages["observed/alerts"].json()["alerts"],
        )
    )
    return 1 if cluster.problems() else 0


def main() -> None:
    """Run the subcommand that the arguments name; a failed connection ends it with one line."""
    try:
        sys.exit(defopt.run([status, get, put, patch, delete, watch, log]))
    except httpx.HTTPError as error:
        sys.exit(f"{program_name()}: {error!r}")
    except KeyboardInterrupt:
        sys.exit(130)
