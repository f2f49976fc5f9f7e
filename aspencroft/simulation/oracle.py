"""The slow plain model: what callers, workers and operators saw, held against what must never happen."""

import collections
import dataclasses
import json

from aspencroft.emulator import backend, caller


@dataclasses.dataclass(frozen=True)
class History:
    """All that was recorded of a run."""

    noted: tuple[caller.Noted, ...]
    seen: tuple[dict, ...]
    ran: dict[str, int]
    put_out: dict[str, int]
    document: dict
    leaving: dict[str, float]
    told: tuple[str, ...]
    allowed: frozenset[tuple[str, str]]


def faults(history: History) -> list[str]:
    """Everything that must never happen and did."""
    return [
        *history.told,
        *run_twice(history),
        *keys_twice(history),
        *not_run_yet_ran(history),
        *over_budget(history),
        *foreign_turns(history),
        *foreign_services(history),
        *to_leaving(history),
        *unforeseen(history),
    ]


def run_twice(history: History) -> list[str]:
    """Requests that ran more than once; goes of one request whose lane may be repeated bear numbers."""
    lane_of = {one.request: one.lane for one in history.noted}
    found = [f"{go} ran {count} times" for go, count in history.ran.items() if count > 1]
    goes = collections.Counter(go.split(".")[0] for go in history.ran)
    found.extend(
        f"{request} ran in {count} goes"
        for request, count in goes.items()
        if count > 1 and not history.document["lanes"].get(lane_of.get(request, ""), {}).get("repeatable")
    )
    return found


def keys_twice(history: History) -> list[str]:
    """Operation keys under which more than one run began (a run is told by its input's name)."""
    names = collections.Counter(
        body["input"]["name"] for body in history.seen if isinstance(body["input"], dict) and body["input"].get("keyed")
    )
    return [f"key {name} ran {count} times" for name, count in names.items() if count > 1]


def not_run_yet_ran(history: History) -> list[str]:
    """Requests refused as not run that some worker ran, before or after the refusal."""
    requests = {go.split(".")[0] for go in history.ran}
    return [
        f"{one.request} was refused as not run ({one.result}) and ran"
        for one in history.noted
        if one.ran == "not run" and one.request in requests
    ]


def over_budget(history: History) -> list[str]:
    """Programs whose turns together put out more than the budget plus one turn."""
    lanes = history.document["lanes"]
    put_out: collections.Counter = collections.Counter()
    limit: dict[str, int] = {}
    lane_of = {one.program: one.lane for one in history.noted if one.program}
    for body in history.seen:
        if body.get("program") in lane_of:
            put_out[body["program"]] += history.put_out.get(body["request"], 0)
            lane = lanes[lane_of[body["program"]]]
            limit[body["program"]] = lane["budget"] + lane["turn_output"]
    return [
        f"{program} put out {count} of {limit[program]}" for program, count in put_out.items() if count > limit[program]
    ]


def foreign_turns(history: History) -> list[str]:
    """Turns whose history is not the row of answers that workers gave to the chain's earlier turns."""
    found = []
    given: dict[tuple[str, str], dict[str, set[str]]] = collections.defaultdict(lambda: collections.defaultdict(set))
    turns = sorted((body for body in history.seen if "history" in body), key=lambda body: body["at"])
    for body in turns:
        chain = given[body["program"], body["helper"]]
        if len(body["history"]) != body["turn"] - 1:
            found.append(f"{body['request']}: turn {body['turn']} was given {len(body['history'])} turns")
        for before, (said, answer) in enumerate(body["history"]):
            if answer not in chain[json.dumps([before, said])]:
                found.append(f"{body['request']}: {answer!r} is no answer to turn {before + 1} {said!r}")
        whole = "".join(backend.answer_words(body)[: body["max_output"]])
        chain[json.dumps([body["turn"] - 1, body["input"]])].add(whole)
    return found


def foreign_services(history: History) -> list[str]:
    """Runs of services that no plan ever allowed to the lane."""
    lane_of = {one.request: one.lane for one in history.noted if one.request}
    found = []
    for body in history.seen:
        lane, service = lane_of.get(body["request"].split(".")[0]), body.get("model") or body.get("service")
        if lane is not None and (lane, service) not in history.allowed:
            found.append(f"{body['request']} of {lane} went to {service}")
    return found


def to_leaving(history: History) -> list[str]:
    """Runs that began on a worker more than 3 s after it was marked as leaving."""
    return [
        f"{body['request']} went to {body['worker']} {body['at'] - history.leaving[body['worker']]:.2f} s late"
        for body in history.seen
        if body["worker"] in history.leaving and body["at"] > history.leaving[body["worker"]] + 3.0
    ]


def unforeseen(history: History) -> list[str]:
    """Answers that tell of an error nobody foresaw."""
    return [f"{one.request} met an unforeseen error" for one in history.noted if one.result == 1901]


def sample(**changes) -> History:
    """A sound history with some things changed, for the tests."""
    noted = caller.Noted("chat", "r1", "p", "", 0, "", "done", 0, "m turn 1 mark 0000", 3, 200)
    body = {
        "request": "r1",
        "program": "p",
        "helper": "",
        "turn": 1,
        "history": [],
        "input": "hi",
        "model": "m",
        "max_output": 40,
        "worker": "w",
        "at": 1.0,
    }
    lanes = {"chat": {"budget": 10, "turn_output": 5}}
    sound = History((noted,), (body,), {"r1": 1}, {"r1": 3}, {"lanes": lanes}, {}, (), frozenset({("chat", "m")}))
    return dataclasses.replace(sound, **changes)
