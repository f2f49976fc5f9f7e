"""Numbered result codes. Each error states whether the request was executed and when to retry it."""

import datetime
import enum


class Ran(enum.Enum):
    """Whether the request that a result belongs to was executed."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ResultCode(enum.Enum):
    """Number, HTTP status and meaning of each result; the table in docs/result-codes.md is generated from it."""

    DONE = (0, 200, "done")
    MALFORMED = (1001, 400, "the request cannot be read: body, types or fields are wrong")
    TOO_LARGE = (1002, 413, "the request's body is over the limit")
    UNKNOWN_LANE = (1003, 404, "no lane of that name is in the plan in force")
    UNKNOWN_SERVICE = (1004, 404, "the lane does not allow that service")
    UNKNOWN_PROGRAM = (1005, 404, "no kept history for that program")
    STALE_TURN = (
        1006,
        409,
        "the turn named as predecessor is not the program's last one, or the attempt ended before",
    )
    OUT_OF_BUDGET = (1007, 403, "the program's budget is spent or reserved")
    TURN_UNDER_WAY = (1008, 409, "a turn of the program after the same predecessor is under way")
    OPERATION_IN_PROGRESS = (1009, 409, "a request with the same operation key is in progress")
    OPERATION_UNKNOWN = (1010, 409, "a request with the same operation key ran with unknown outcome")
    OPERATION_DIFFERS = (1011, 409, "the operation key was used for another lane")
    OPERATION_MISMATCH = (1012, 409, "the operation key was used for another program, input or setting")
    ANSWER_NOT_KEPT = (1013, 410, "the request with that operation key ran; its answer was too large to keep")
    UNKNOWN_TURN = (1014, 404, "no turn of that name is kept")
    UNKNOWN_ROUTE = (1015, 404, "no route of that host begins the path")
    TURN_NOT_ENDED = (1016, 503, "the turn named as predecessor has not ended, or how it ended is not known")
    UNKNOWN_KEY = (1017, 401, "the route needs an API key, and no tenant holds the one that came, if any")
    OVER_QUOTA = (1018, 429, "the tenant has had as many requests as its limit allows for now")
    OVERLOADED = (1101, 503, "the queue for this urgency is full or the deadline cannot be met")
    NO_PLAN = (1102, 503, "the node holds no current plan")
    LEAVING = (1103, 503, "the node is stopping")
    NO_WORKER = (1104, 503, "no live worker offers an allowed service")
    PUT_BACK = (1105, 503, "workers handed the request back without running it")
    DEADLINE = (1106, 504, "the deadline passed")
    SHED = (1108, 503, "an operator's alert rule sheds lanes of this urgency now")
    LIST_BROKEN = (1107, 503, "the platform's list of workers cannot be read")
    WORKER_LOST = (1201, 502, "the worker was lost after the request was sent")
    WORKER_BROKE = (1202, 502, "the worker's answer was cut off or unclear")
    WORKER_REFUSED = (1203, 502, "the worker refused the request")
    PLAN_INVALID = (1301, 422, "the plan has faults; each is listed with its path")
    REVISION_DIFFERS = (1302, 412, "the resource changed since the revision named in If-Match")
    UNKNOWN_RESOURCE = (1303, 404, "no such resource")
    TOO_FEW_LEFT = (1306, 409, "too few machines with disks would be left to hold every group")
    READ_ONLY = (1304, 405, "the resource is observed, not written")
    WATCH_GONE = (1305, 410, "the revision to watch after is no longer held; read anew")
    NOT_PRIMARY = (1401, 503, "this node is not the pair's primary now")
    NO_BACKUP = (1402, 503, "the pair has one copy; no write is taken until there are two")
    NO_CLAIM = (1403, 503, "the claim is not held now")
    UNREACHABLE = (1404, 503, "the fellow cannot be reached")
    OUTCOME_UNKNOWN = (1405, 504, "the write was begun and its outcome is not known")
    LOWER_EPOCH = (1406, 409, "an order of an epoch that has passed")
    WITNESS_BLANK = (1407, 503, "the witness lost its memory and does not vote yet")
    UNKNOWN_REQUEST = (1501, 404, "no record of that request is held by any reachable node")
    FRAME_BROKEN = (1601, 400, "a link frame has a wrong version, length, kind or checksum")
    INTERNAL = (1901, 500, "a fault of this program; the ring log was written out")

    def __init__(self, number: int, status: int, meaning: str):
        self.number = number
        self.status = status
        self.meaning = meaning


DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)
RETRY_AFTER = {
    ResultCode.TURN_UNDER_WAY.number: DEFAULT_RETRY_AFTER,
    ResultCode.OPERATION_IN_PROGRESS.number: DEFAULT_RETRY_AFTER,
    ResultCode.OPERATION_UNKNOWN.number: datetime.timedelta(minutes=1),
}


class RequestError(Exception):
    """A request failed with a result other than DONE.

    A server-side failure (status 500 and above) always carries a retry delay, by default ``DEFAULT_RETRY_AFTER``. An
    error of the caller carries none, unless ``RETRY_AFTER`` lists it or whoever raises it gives one.
    """

    def __init__(
        self,
        result: ResultCode,
        ran: Ran = Ran.NOT_RUN,
        detail: str = "",
        retry: datetime.timedelta | None = None,
    ):
        super().__init__(f"{result.number} {result.meaning}" + (f": {detail}" if detail else ""))
        self.result = result
        self.ran = ran
        self.detail = detail
        self.retry = (
            RETRY_AFTER.get(result.number, DEFAULT_RETRY_AFTER if result.status >= 500 else None)
            if retry is None
            else retry
        )

    def document(self) -> dict:
        """Return the JSON document of the error that a caller receives."""
        return {
            "result": self.result.number,
            "meaning": self.result.meaning,
            "ran": self.ran.value,
            "detail": self.detail,
            "retry_after": None if self.retry is None else self.retry.total_seconds(),
        }


def by_number(number: int) -> ResultCode:
    """Return the result with the given number, or INTERNAL if there is none."""
    for result in ResultCode:
        if result.number == number:
            return result
    return ResultCode.INTERNAL


def table() -> str:
    """Return the Markdown table of docs/result-codes.md."""
    rows = [f"| {entry.number} | {entry.name} | {entry.status} | {entry.meaning} |" for entry in ResultCode]
    return "\n".join(["| number | name | HTTP | meaning |", "|---|---|---|---|", *rows]) + "\n"
