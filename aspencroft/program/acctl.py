"""The operators' client: reads, writes and watches plan resources and what is observed."""

import json
import pathlib
import sys

import defopt
import httpx

TIMEOUT = 30


def say(response: httpx.Response) -> int:
    """Print an answer; zero for a good one.

    Example: ``sys.exit(say(response))``
    """
    try:
        print(json.dumps(response.json(), indent=1))
    except ValueError:
        print(response.text)
    return 0 if response.is_success else 1


def body_of(file: str) -> bytes:
    """A file's bytes, or standard input's for "-".

    Example: ``body_of("plan.json")``
    """
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        sys.exit(f"acctl: {error}")


def conditions(revision: str) -> dict[str, str]:
    """The header that makes a write conditional.

    Example: ``conditions("3.17") == {"If-Match": '"3.17"'}``
    """
    return {"If-Match": f'"{revision}"'} if revision else {}


def get(node: str, resource: str = "plan") -> int:
    """Show the plan, one resource, or what is observed.

    :param node: any node's HTTP address, host:port
    :param resource: plan, KIND/NAME, status, or observed/keeps, observed/quiet
    """
    inner = resource.count("/") == 1 and not resource.startswith("observed/")
    return say(httpx.get(f"http://{node}/{'plan/' if inner else ''}{resource}", timeout=TIMEOUT, trust_env=False))


def put(node: str, resource: str, file: str, *, revision: str = "") -> int:
    """Write the whole plan or one resource.

    :param node: any node's HTTP address, host:port
    :param resource: plan, or KIND/NAME
    :param file: JSON file, or - for standard input
    :param revision: write only if this is still the revision
    """
    path = resource if resource == "plan" else f"plan/{resource}"
    return say(httpx.put(f"http://{node}/{path}", content=body_of(file), headers=conditions(revision),
                         timeout=TIMEOUT, trust_env=False))


def patch(node: str, file: str, *, revision: str = "") -> int:
    """Change the plan by a JSON merge patch.

    :param node: any node's HTTP address, host:port
    :param file: JSON file, or - for standard input
    :param revision: write only if this is still the plan's revision
    """
    return say(httpx.patch(f"http://{node}/plan", content=body_of(file), headers=conditions(revision),
                           timeout=TIMEOUT, trust_env=False))


def delete(node: str, resource: str, *, revision: str = "") -> int:
    """Remove one resource.

    :param node: any node's HTTP address, host:port
    :param resource: KIND/NAME
    :param revision: remove only if this is still its revision
    """
    return say(httpx.delete(f"http://{node}/plan/{resource}", headers=conditions(revision), timeout=TIMEOUT,
                            trust_env=False))


def watch(node: str, resource: str = "plan") -> int:
    """Print changes, a line of JSON each, until interrupted.

    :param node: any node's HTTP address, host:port
    :param resource: plan, observed/keeps or observed/quiet
    """
    with httpx.stream("GET", f"http://{node}/{resource}?watch=true", timeout=None, trust_env=False) as response:
        for line in response.iter_lines():
            print(line, flush=True)
        return 0 if response.is_success else 1


def main() -> None:
    """The command's entry.

    Example: ``acctl get 127.0.0.1:7300 lanes/catalogue``
    """
    try:
        sys.exit(defopt.run([get, put, patch, delete, watch]))
    except httpx.HTTPError as error:
        sys.exit(f"acctl: {error!r}")
    except KeyboardInterrupt:
        sys.exit(130)
