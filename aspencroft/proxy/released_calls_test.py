"""Calls that were refused are freed at once, without the garbage collector: nothing refers to them in a cycle."""

import asyncio
import contextlib
import dataclasses
import gc
import types
import weakref

import pytest

from aspencroft.errors import result
from aspencroft.node import group_client
from aspencroft.proxy import forwarder_test
from aspencroft.replication import primary
from aspencroft.runtime import clock
from aspencroft.simulation import loop
from aspencroft.transport import connections, peer_connection, peer_connection_test


@contextlib.contextmanager
def no_collector():
    """Keep the collector from running, as it may not run for long while few objects are made."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@dataclasses.dataclass
class Message:
    """Stands for a large message."""


@pytest.mark.parametrize("route", [{"attempts": 1}, {"attempts": 3}, {"attempts": 2, "aim": 0.001}])
@pytest.mark.parametrize("fault", [{"lost": 1.0}, {"cut": 1.0}, {"silent": 1.0}])
def test_a_call_that_failed_is_freed_at_once(route, fault):
    """Guards against bodies that stay in memory after their reservations were given back."""

    async def scenario(edge, workers):
        one = forwarder_test.make_call(within=0.3)
        reference = weakref.ref(one)
        with no_collector():
            with contextlib.suppress(result.RequestError):
                await edge.handle(one)
            del one
            await asyncio.sleep(0.5)
            return reference() is None

    assert forwarder_test.run_scenario(scenario, fault, fault, **route)


def test_a_message_to_a_peer_that_does_not_answer_is_freed_at_once():
    async def scenario():
        network = peer_connection_test.UnreachableNetwork()
        link = connections.Link(types.SimpleNamespace(network=network), "a:1", None)
        running = asyncio.create_task(link.run(asyncio.Event()))
        await asyncio.sleep(0)
        message = peer_connection.Ping()
        try:
            reference = weakref.ref(message)
            with no_collector():
                with contextlib.suppress(result.RequestError):
                    await link.request("b:1", message, clock.seconds(0.02))
                del message
                await asyncio.sleep(0)
                return reference() is None
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    assert asyncio.run(scenario())


def test_a_message_that_a_primary_refused_is_freed_at_once():
    class Refusing:
        """A link whose peer refuses everything."""

        async def request(self, address, message, within):
            await asyncio.sleep(0.01)
            raise result.RequestError(result.ResultCode.NOT_PRIMARY)

    async def scenario():
        detector = types.SimpleNamespace(records={})
        record = types.SimpleNamespace(primary=types.SimpleNamespace(address="a:1"), group_id=1)
        message = Message()
        reference = weakref.ref(message)
        with no_collector():
            with contextlib.suppress(result.RequestError):
                client = group_client.GroupClient(Refusing(), detector)
                await client.request_to_primary(record, message, clock.seconds(1))
            del message
            await asyncio.sleep(0)
            return reference() is None

    assert asyncio.run(scenario())


def test_a_command_that_was_refused_is_freed_at_once():
    async def scenario():
        state = types.SimpleNamespace(
            has_lease=lambda: True, record=types.SimpleNamespace(backups=(1,)), group_id=1, status_reason=""
        )
        leader = primary.Primary(state, None, None)
        command = Message()
        reference = weakref.ref(command)

        async def refuse():
            (submission,) = await leader.take_batch()
            primary.fail(submission.reply, result.RequestError(result.ResultCode.OVERLOADED))

        with no_collector():
            refusing = asyncio.ensure_future(refuse())
            with contextlib.suppress(result.RequestError):
                await leader.submit(command, clock.seconds(1))
            await refusing
            del command, refusing
            await asyncio.sleep(0)
            return reference() is None

    simulated = loop.SimLoop()
    try:
        assert simulated.run_until_complete(scenario())
    finally:
        simulated.bury()
