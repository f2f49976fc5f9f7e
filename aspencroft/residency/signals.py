"""Signals of reuse: locked intents, smoothed call transitions, popularity, in that order of trust."""

import collections
import dataclasses
import datetime

from aspencroft.residency import tap
from aspencroft.runtime import clock

LOCKED = 0.98
FAN_OUT = 0.9
SMOOTHING = 1.0
INTENT_LIFE = clock.seconds(15)
SESSION_LIFE = clock.seconds(120)
FADE = clock.seconds(60)
MOST_SESSIONS = 20_000


@dataclasses.dataclass(frozen=True)
class Session:
    """What is known of a program: its last call, when, and the intent that its planner locked."""

    service: str
    seen: datetime.timedelta
    intent: tap.Intent | None
    intent_end: datetime.timedelta


class Signals:
    """What the residency duty has heard; it is lost with its holder and grows anew from traffic."""

    def __init__(self):
        self.sessions: dict[str, Session] = {}
        self.transitions: dict[str, collections.Counter] = collections.defaultdict(collections.Counter)
        self.popularity: dict[str, tuple[float, datetime.timedelta]] = {}
        self.calls = 0

    def called(self, program: str, service: str, now: datetime.timedelta) -> None:
        """A call went to a service: the transition is counted, an intent for it is fulfilled."""
        self.calls += 1
        before = self.sessions.pop(program, None)
        if before is not None:
            self.transitions[before.service][service] += 1
        intent = before.intent if before is not None and before.intent is not None else None
        if intent is not None:
            rest = tuple(one for one in intent.models if one != service)
            intent = tap.Intent(rest) if rest and len(intent.models) > 1 else None
        end = before.intent_end if before is not None else now
        self.sessions[program] = Session(service, now, intent, end)
        while len(self.sessions) > MOST_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        self.popularity[service] = (self.popular(service, now) + 1.0, now)

    def intend(self, program: str, intent: tap.Intent, now: datetime.timedelta) -> None:
        """A planner's header named what it calls next; the intent expires if no call comes."""
        before = self.sessions.get(program) or Session("", now, None, now)
        self.sessions[program] = dataclasses.replace(before, seen=now, intent=intent, intent_end=now + INTENT_LIFE)

    def popular(self, service: str, now: datetime.timedelta) -> float:
        """A service's calls, fading by half every minute."""
        count, since = self.popularity.get(service, (0.0, now))
        return count * 0.5 ** ((now - since) / FADE)

    def next_of(self, session: Session, service: str, services: tuple[str, ...], now: datetime.timedelta) -> float:
        """How likely a session's next call goes to a service."""
        if session.intent is not None and now < session.intent_end:
            if service in session.intent.models:
                return LOCKED if len(session.intent.models) == 1 else FAN_OUT
            return 0.0
        counted = self.transitions.get(session.service)
        total = sum(counted.values()) if counted else 0
        share = ((counted[service] if counted else 0) + SMOOTHING) / (total + SMOOTHING * len(services))
        return share * 0.5 ** ((now - session.seen) / FADE)

    def reuse(
        self, service: str, services: tuple[str, ...], window: datetime.timedelta, now: datetime.timedelta
    ) -> float:
        """The chance that any session calls a service within the window; popularity is the floor."""
        missed = 1.0
        for session in self.sessions.values():
            if now - session.seen < SESSION_LIFE:
                missed *= 1.0 - self.next_of(session, service, services, now)
        total = sum(self.popular(one, now) for one in services)
        floor = self.popular(service, now) / total * min(1.0, window / FADE) if total else 0.0
        return max(1.0 - missed, floor)

    def returns(self, program: str, window: datetime.timedelta, now: datetime.timedelta) -> float:
        """The chance that a program's parked KV is used again within the window."""
        session = self.sessions.get(program)
        if session is None:
            return 0.01
        if session.intent is not None and now < session.intent_end:
            return LOCKED
        idle = max(now - session.seen, clock.seconds(0.1))
        return min(0.95, window / (window + idle))
