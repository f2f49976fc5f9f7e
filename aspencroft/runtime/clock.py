"""Time on the loop's clock, as standard library time types."""

import asyncio
import datetime

ZERO = datetime.timedelta()


def now() -> datetime.timedelta:
    """Time of the running loop's clock; it never steps back and counts suspension."""
    return datetime.timedelta(seconds=asyncio.get_running_loop().time())


async def sleep(span: datetime.timedelta) -> None:
    """Wait for a span on the loop's clock."""
    await asyncio.sleep(max(0.0, span.total_seconds()))


def limit(span: datetime.timedelta) -> asyncio.Timeout:
    """An asynchronous context that raises TimeoutError after the span."""
    return asyncio.timeout(max(0.0, span.total_seconds()))


def seconds(count: float) -> datetime.timedelta:
    """A span of so many seconds."""
    return datetime.timedelta(seconds=count)
