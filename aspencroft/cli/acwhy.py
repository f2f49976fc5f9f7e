"""The first tool: explains why a request went where it went."""

import sys

import defopt
import httpx

TIMEOUT = 10


def told(shown: dict) -> str:
    """The stories of a request as text, a line for each thing that happened."""
    lines = [f"request {shown['request']}"]
    for story in shown["stories"]:
        lines.append(f"  on {story['node']}, lane {story['lane']}")
        for one in story["lines"]:
            lines.append(f"    {one['after']:9.3f} s  {one['what']}: {one['detail']}".rstrip(": "))
    return "\n".join(lines)


def acwhy(node: str, request: str) -> int:
    """Tell what happened to a request: plan, key, turn, draws and why others were left out, goes, result.

    :param node: any node's HTTP address, host:port
    :param request: the request's id, as its answer told
    """
    try:
        response = httpx.get(f"http://{node}/requests/{request}", timeout=TIMEOUT, trust_env=False)
    except httpx.HTTPError as error:
        print(f"acwhy: {error!r}", file=sys.stderr)
        return 2
    if not response.is_success:
        print(f"acwhy: {response.text}", file=sys.stderr)
        return 1
    print(told(response.json()))
    return 0


def main() -> None:
    """The command's entry."""
    sys.exit(defopt.run(acwhy))
