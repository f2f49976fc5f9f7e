"""Tests of the application that is loaded with the first request."""

import asyncio

from aspencroft.cli import lazy_application


def ask_at_once(application: lazy_application.LazyApplication, count: int) -> list[str]:
    """What so many requests get that come at once."""
    sent: list[str] = []

    async def send(message: str) -> None:
        sent.append(message)

    async def whole() -> None:
        await asyncio.gather(*(application({"number": number}, None, send) for number in range(count)))

    asyncio.run(whole())
    return sent


def test_nothing_is_built_before_the_first_request_and_only_once_for_many_at_once():
    built = []

    async def answer(scope, receive, send) -> None:
        await send(f"answer {scope['number']}")

    def build():
        built.append(True)
        return answer

    application = lazy_application.LazyApplication(build)
    assert built == []
    assert sorted(ask_at_once(application, 3)) == ["answer 0", "answer 1", "answer 2"]
    assert built == [True]


def test_a_build_that_failed_is_tried_again_by_the_next_request():
    outcomes = [OSError("not now"), None]

    async def answer(scope, receive, send) -> None:
        await send("answer")

    def build():
        outcome = outcomes.pop(0)
        if outcome is not None:
            raise outcome
        return answer

    application = lazy_application.LazyApplication(build)
    try:
        ask_at_once(application, 1)
        raise AssertionError("the failure was hidden")
    except OSError:
        pass
    assert ask_at_once(application, 1) == ["answer"]
