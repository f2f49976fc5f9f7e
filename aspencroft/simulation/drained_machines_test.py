"""Drained machines that were removed for good, and others that come at their addresses or bear their names."""

import asyncio
import datetime

import pytest

from aspencroft.errors import result
from aspencroft.node import disk_arrival, drain_order
from aspencroft.runtime import clock
from aspencroft.simulation import groups, simulated_cluster

WITHIN = clock.seconds(8)
DRAINED_WITHIN_S = 15.0
WHOLE_WITHIN_S = 15.0
WRITTEN_WITHIN_S = 10.0
HELD_AGAIN_WITHIN_S = 25.0
"""A replica moves to a better place once that was there for a while, groups one after the other."""
SIZE = simulated_cluster.Size(2, 3, 5, apart=True)
SPARE = simulated_cluster.Size(2, 4, 5, apart=True)
IN_SERVICE, DRAINED = drain_order.DrainState.IN_SERVICE, drain_order.DrainState.DRAINED


class Operator:
    """Orders machines to be drained by their names, takes them away and adds others."""

    def __init__(self, harness: groups.ClusterHarness):
        self.harness = harness
        self.cluster = harness.cluster

    def asked(self) -> str:
        """A core that is up and not the root."""
        cores = [name for name in self.cluster.cores if self.cluster.alive(name)]
        return next(name for name in cores if name != self.cluster.leader(0))

    async def order(self, machine: str) -> result.RequestError | None:
        """Order a machine to be drained; the refusal, if it is refused."""
        asked = self.asked()
        return await self.harness.ask_node(asked, self.cluster.nodes[asked].drain_orders.order(machine, WITHIN))

    async def state(self, machine: str) -> drain_order.DrainState | Exception:
        """How far a machine is."""
        asked = self.asked()
        return await self.harness.ask_node(asked, self.cluster.nodes[asked].drain_orders.state(machine, WITHIN))

    async def drain(self, machine: str) -> None:
        """Order a machine to be drained, and wait until it is."""
        assert await self.order(machine) is None, machine
        await self.until_drained(machine)

    async def until_drained(self, machine: str) -> None:
        """Wait until a machine is called drained; meanwhile nothing is answered but that it is in service."""
        end = self.cluster.loop.time() + DRAINED_WITHIN_S
        while (found := await self.state(machine)) is not DRAINED:
            assert found is IN_SERVICE, (machine, found)
            assert self.cluster.loop.time() < end, (machine, found)
            await asyncio.sleep(0.1)

    async def write(self, name: str) -> None:
        """Have a service written; an answer without a clear outcome is asked for again, as operators do."""
        end = self.cluster.loop.time() + WRITTEN_WITHIN_S
        while not await self.harness.write(name):
            assert self.cluster.loop.time() < end, name

    def remove(self, host: str) -> None:
        """Take a machine away together with its disk."""
        self.cluster.power_off(host)
        self.cluster.disks[host].wipe()
        self.cluster.lost.add(host)

    async def replace(self, host: str, machine: str) -> None:
        """Start a machine with an empty disk at a host's address, under a name."""
        self.cluster.machine_names[host] = machine
        self.cluster.start(host)
        await self.cluster.until(lambda: host in self.cluster.nodes, 5, f"{host} started")

    def holds(self, host: str) -> bool:
        """Whether a machine is a member of any group."""
        return any(host in self.harness.members(group_id) for group_id in range(3))

    async def until_it_holds(self, host: str) -> None:
        """Wait until a machine holds replicas."""
        await self.cluster.until(lambda: self.holds(host), HELD_AGAIN_WITHIN_S, f"{host} holds replicas")


def play(seed: int, scenario, size: simulated_cluster.Size = SIZE) -> None:
    """Form a fleet and have an operator act on it."""

    async def whole(harness: groups.ClusterHarness) -> None:
        await scenario(Operator(harness))

    groups.play(seed, whole, size)


@pytest.mark.parametrize("seed", [1, 2])
def test_each_storage_machine_in_turn_is_drained_and_replaced_at_its_address_under_another_name(seed):
    async def scenario(operator: Operator) -> None:
        cluster, harness = operator.cluster, operator.harness
        assert (await harness.ask("edge-0", "supervisor", "p first", program="p")).ran == "done"
        for host in cluster.storages:
            await operator.drain(host)
            operator.remove(host)
            await operator.replace(host, f"{host}-second")
            await operator.until_it_holds(host)
            assert await operator.state(f"{host}-second") is IN_SERVICE
            # The first order is answered as it was.
            assert await operator.order(host) is None
            await operator.until_drained(host)
            assert operator.holds(host)
        for host in cluster.storages:
            await cluster.until(harness.whole, WHOLE_WITHIN_S, "whole")
            await operator.drain(f"{host}-second")
            assert not operator.holds(host)
            operator.remove(host)
            await operator.replace(host, f"{host}-third")
            await operator.until_it_holds(host)
        assert (await harness.ask("edge-1", "supervisor", "second", program="p", after=1)).ran == "done"

    play(seed, scenario)


@pytest.mark.parametrize("seed", [3, 4])
def test_a_drained_machine_is_replaced_at_its_address_under_its_own_name(seed):
    async def scenario(operator: Operator) -> None:
        for _ in range(2):
            for host in operator.cluster.storages:
                await operator.cluster.until(operator.harness.whole, WHOLE_WITHIN_S, "whole")
                await operator.drain(host)
                operator.remove(host)
                await operator.replace(host, host)
                await operator.until_it_holds(host)
                assert await operator.state(host) is IN_SERVICE

    play(seed, scenario)


@pytest.mark.parametrize("seed", [5, 6])
def test_a_machine_at_another_address_that_bears_a_drained_ones_name_takes_its_own_order(seed):
    """Its clock is behind the one of the machine that was drained, which is not known to be down yet."""

    async def scenario(operator: Operator) -> None:
        cluster, (old, fresh) = operator.cluster, ("storage-0", "storage-3")
        await operator.drain(old)
        operator.remove(old)
        cluster.clock_jump = datetime.timedelta(hours=-1)
        cluster.storages[0] = fresh
        await operator.replace(fresh, old)
        known = cluster.nodes[operator.asked()].failure_detector.peers
        await cluster.until(lambda: f"{fresh}:1" in known, 5, f"{fresh} known")
        assert await operator.state(old) is IN_SERVICE
        await operator.until_it_holds(fresh)
        assert await operator.state(old) is IN_SERVICE
        cluster.start("storage-4")
        cluster.storages.append("storage-4")
        await asyncio.sleep(2)
        await operator.drain(old)
        assert not operator.holds(fresh)

    play(seed, scenario)


@pytest.mark.parametrize("seed", [7, 8])
def test_a_machine_that_is_down_is_not_called_drained_by_an_order_to_one_that_bore_its_name(seed):
    async def scenario(operator: Operator) -> None:
        cluster, (old, fresh) = operator.cluster, ("storage-0", "storage-4")
        await operator.drain(old)
        operator.remove(old)
        cluster.clock_jump = datetime.timedelta(hours=-1)
        cluster.storages[0] = fresh
        await operator.replace(fresh, old)
        await operator.until_it_holds(fresh)
        cluster.power_off(fresh)
        cluster.storages.remove(fresh)
        await asyncio.sleep(5)
        assert await operator.state(old) is IN_SERVICE

    play(seed, scenario, SPARE)


@pytest.mark.parametrize("same_name", [False, True])
def test_each_core_machine_in_turn_is_drained_and_replaced_and_two_are_lost_after_that(same_name):
    async def scenario(operator: Operator) -> None:
        cluster, harness = operator.cluster, operator.harness
        for host in cluster.cores:
            await cluster.until(harness.whole, WHOLE_WITHIN_S, "whole")
            await operator.write(f"before-{host}")
            await operator.drain(host)
            operator.remove(host)
            await asyncio.sleep(1)
            await operator.replace(host, host if same_name else f"{host}-second")
            await cluster.until(lambda host=host: cluster.nodes[host].witness.voting, 10, f"{host} votes")
        await cluster.until(harness.whole, WHOLE_WITHIN_S, "whole")
        assert all(f"{host}:1" in cluster.nodes[operator.asked()].proposer.voter_set.present for host in cluster.cores)
        lost = harness.members(0)[:2]
        for host in lost:
            operator.remove(host)
        await cluster.until(harness.whole, WHOLE_WITHIN_S, "control replicas follow")
        assert not set(lost) & set(harness.members(0))
        await operator.write("after")
        assert {"after", *(f"before-{host}" for host in cluster.cores)} <= await harness.written()

    play(9, scenario)


@pytest.mark.parametrize("seed", [11, 12])
def test_a_restart_of_the_ordered_machine_undoes_nothing(seed):
    """On the way, and with its disk after it was called drained and before it is taken away."""

    async def scenario(operator: Operator) -> None:
        cluster, host = operator.cluster, operator.cluster.leader(1)
        assert await operator.order(host) is None
        cluster.kill(host)
        await asyncio.sleep(0.5)
        cluster.start(host)
        await operator.drain(host)
        for end in (cluster.kill, cluster.power_off):
            end(host)
            await asyncio.sleep(1)
            cluster.start(host)
            await asyncio.sleep(HELD_AGAIN_WITHIN_S)
            assert not operator.holds(host)
            assert await operator.order(host) is None
            assert await operator.state(host) is DRAINED

    play(seed, scenario)


@pytest.mark.parametrize("seed", [13, 14])
def test_an_order_holds_for_a_machine_that_lost_its_disk_before_it_was_called_drained(seed):
    async def scenario(operator: Operator) -> None:
        cluster, host = operator.cluster, operator.cluster.leader(1)
        assert await operator.order(host) is None
        operator.remove(host)
        await asyncio.sleep(0.5)
        cluster.start(host)
        await operator.drain(host)
        await asyncio.sleep(HELD_AGAIN_WITHIN_S)
        assert not operator.holds(host)
        # A restart of it is that of a machine whose disk was there before the answer.
        cluster.kill(host)
        await asyncio.sleep(0.5)
        cluster.start(host)
        await asyncio.sleep(HELD_AGAIN_WITHIN_S)
        assert not operator.holds(host)
        assert await operator.state(host) is DRAINED

    play(seed, scenario)


@pytest.mark.parametrize("seed", [15, 16])
def test_a_machine_that_is_killed_before_it_withdrew_a_former_machines_order_withdraws_it_after_its_restart(seed):
    async def scenario(operator: Operator) -> None:
        cluster, host = operator.cluster, "storage-1"
        await operator.drain(host)
        operator.remove(host)
        for pause in (0.02, 0.1, 0.2, 0.3):
            await operator.replace(host, "storage-1-second")
            await asyncio.sleep(pause)
            cluster.power_off(host)
        await operator.replace(host, "storage-1-second")
        await operator.until_it_holds(host)
        await operator.until_drained(host)

    play(seed, scenario)


@pytest.mark.parametrize(("same_name", "called_drained"), [(False, True), (True, True), (False, False)])
def test_an_order_to_a_replacement_is_not_lost_to_the_withdrawal_of_the_former_machines_order(
    same_name, called_drained
):
    """Ordered as soon as its name is known, at many moments of its arrival."""

    async def scenario(operator: Operator) -> None:
        cluster, host = operator.cluster, "storage-1"
        former = host
        for number in range(8):
            machine = host if same_name else f"{host}-{number}"
            assert await operator.order(former) is None
            if called_drained:
                await operator.until_drained(former)
            operator.remove(host)
            await asyncio.sleep(2)
            await operator.replace(host, machine)
            known = cluster.nodes[operator.asked()].failure_detector.peers
            await cluster.until(lambda machine=machine: known[f"{host}:1"].name == machine, 5, "known")
            await asyncio.sleep(0.05 * number)
            assert await operator.order(machine) is None
            await asyncio.sleep(2)
            assert cluster.nodes[host].is_drained(f"{host}:1")
            assert not (cluster.folder / host / disk_arrival.MARKER).exists()
            former = machine

    play(17, scenario, SPARE)


def test_orders_that_a_former_version_took_hold():
    """They bear no word on their end: a new disk keeps the order, unless its machine has another name."""

    async def scenario(operator: Operator) -> None:
        cluster, host = operator.cluster, "storage-2"
        path = f"http://edge-0/plan/machines/{host}:1"
        response = await operator.harness.client.put(path, json={"emptied": True, "name": host})
        assert response.status_code == 200
        await cluster.until(lambda: not operator.holds(host), DRAINED_WITHIN_S, "drained")
        operator.remove(host)
        await operator.replace(host, host)
        await asyncio.sleep(HELD_AGAIN_WITHIN_S)
        assert not operator.holds(host)
        operator.remove(host)
        await operator.replace(host, f"{host}-second")
        await operator.until_it_holds(host)

    play(18, scenario)
