"""Tests of ``aspencroft.transport.peer_connection``."""

import asyncio
import types

import logbook
import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import connections, peer_connection


class SilentChannel:
    """A connection to a machine that takes every byte and never says anything."""

    async def read(self, count: int) -> bytes:
        """Nothing comes."""
        await asyncio.Event().wait()

    async def write(self, data: bytes) -> None:
        """Bytes are taken after a moment."""
        await asyncio.sleep(0)

    def close(self) -> None:
        """Nothing to do."""


class BufferingChannel(SilentChannel):
    """A silent connection whose buffer takes every byte at once, as a socket's does."""

    async def write(self, data: bytes) -> None:
        """Bytes are taken without a pause."""


class SilentNetwork:
    """A network on which every peer is silent."""

    channel: type[SilentChannel] = SilentChannel

    async def listen(self, address: str) -> asyncio.Queue:
        """Nobody connects."""
        return asyncio.Queue()

    async def connect(self, address: str) -> SilentChannel:
        """Connected at once."""
        return self.channel()


class BufferingNetwork(SilentNetwork):
    """A network on which every peer is silent and every write is taken at once."""

    channel = BufferingChannel


@pytest.mark.parametrize("network", [SilentNetwork, BufferingNetwork])
def test_a_silent_peer_fails_the_first_request_in_flight_and_is_logged_once(monkeypatch, network):
    monkeypatch.setattr(peer_connection, "KEEPALIVE_PERIOD", clock.seconds(0.01))
    monkeypatch.setattr(peer_connection, "SILENCE_TIMEOUT", clock.seconds(0.05))

    async def request_of_a_silent_peer() -> connections.Link:
        link = connections.Link(types.SimpleNamespace(network=network()), "a:1", None)
        ready = asyncio.Event()
        running = asyncio.create_task(link.run(ready))
        await ready.wait()
        with pytest.raises(result.RequestError) as rejected:
            await link.request("b:1", peer_connection.Ping(), clock.seconds(20))
        assert (rejected.value.result, rejected.value.ran) == (result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return link

    with logbook.TestHandler() as logged:
        link = asyncio.run(request_of_a_silent_peer())
        messages = [record.message for record in logged.records]
    assert link.counts["silent connections"] == 1
    assert len(messages) == 1 and messages[0].startswith("peer b:1: connection closed for silence; unanswered for=")
    assert messages[0].endswith("in flight=1")


class UnreachableNetwork(SilentNetwork):
    """A network on which no connection comes about, and none is refused."""

    async def connect(self, address: str) -> SilentChannel:
        """Wait without an end."""
        await asyncio.Event().wait()


@pytest.mark.parametrize("gives_up", ["timeout", "cancellation"])
def test_a_request_that_was_given_up_leaves_no_bytes_in_the_backlog(gives_up, monkeypatch):
    """Guards against large messages that are sent again while their earlier copies wait for a dead peer."""
    monkeypatch.setattr(connections, "MIN_WITHDRAWN_BYTES", 1)

    async def scenario() -> None:
        link = connections.Link(types.SimpleNamespace(network=UnreachableNetwork()), "a:1", None)
        running = asyncio.create_task(link.run(asyncio.Event()))
        await asyncio.sleep(0)
        requests = [
            asyncio.ensure_future(link.request("b:1", peer_connection.Ping(), clock.seconds(0.05))) for _ in range(5)
        ]
        await asyncio.sleep(0.01)
        queued = list(link.peers["b:1"].backlog._queue)
        assert len(queued) == 4 and all(one.data for one in queued)
        if gives_up == "cancellation":
            for one in requests:
                one.cancel()
        await asyncio.wait(requests)
        assert not any(one.data for one in queued)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(scenario())
