"""Explains why a request went where it went."""

import os
import sys

import defopt
import httpx

TIMEOUT_S = 10


def trace_text(traces: dict) -> str:
    """The traces of a request as text, one line an event."""
    lines = [f"request {traces['request']}"]
    for trace in traces["stories"]:
        lines.append(f"  on {trace['node']}, lane {trace['lane']}")
        for event in trace["lines"]:
            lines.append(f"    {event['after']:9.3f} s  {event['what']}: {event['detail']}".rstrip(": "))
    return "\n".join(lines)


def trace_request(node: str, request: str) -> int:
    """Print the trace of a request: plan, key, turn, choice of workers and why others were excluded, attempts, result.

    :param node: any node's HTTP address, host:port
    :param request: the request's id, from the response header X-Request
    """
    try:
        response = httpx.get(f"http://{node}/requests/{request}", timeout=TIMEOUT_S, trust_env=False)
    except httpx.HTTPError as error:
        print(f"{os.path.basename(sys.argv[0])}: {error!r}", file=sys.stderr)
        return 2
    if not response.is_success:
        print(f"{os.path.basename(sys.argv[0])}: {response.text}", file=sys.stderr)
        return 1
    print(trace_text(response.json()))
    return 0


def main() -> None:
    """Run the command; exits with 1 for a refusal, 2 for a failed connection."""
    sys.exit(defopt.run(trace_request))
