"""Tests of ``aspencroft.cli.settings_reload``."""

import dataclasses
import os

from aspencroft.cli import settings_reload
from aspencroft.membership import cluster_member
from aspencroft.node import settings
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster

GONE = ("gone-0:1", "gone-1:1", "gone-2:1")


class Source:
    """Settings that a test changes; none stands for a file that cannot be used."""

    def __init__(self, given: settings.Settings | None):
        self.given = given
        self.reads = 0

    def read(self) -> settings.Settings:
        self.reads += 1
        if self.given is None:
            raise settings.BadSettings("seeds: missing")
        return self.given


def test_a_node_that_knows_nobody_joins_by_the_newest_seeds_and_keeps_them_when_newer_ones_are_bad():
    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 20, "formed")
        cluster.seeds = GONE
        cluster.start("edge-7")
        await clock.sleep(clock.seconds(5))
        own = cluster.nodes["edge-7"]
        assert own.failure_detector.live() == (own.address,)
        source = Source(dataclasses.replace(own.settings, seeds=("core-1:1", *GONE[1:])))
        reload = settings_reload.SettingsReload(own, settings_reload.SettingsSource("", source.read))
        reload.reload()
        source.given = None
        reload.reload()
        assert reload.counts == {"reloads": 1, "refused reloads": 1}
        await cluster.until(lambda: own.failure_detector.state("core-1:1") == cluster_member.LIVE, 3, "joined")

    simulated_cluster.play(5, scenario)


def test_a_changed_file_is_read_again_without_a_signal(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("one")

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(lambda: "edge-0" in cluster.nodes, 5, "started")
        own = cluster.nodes["edge-0"]
        source = Source(own.settings)
        reload = settings_reload.SettingsReload(own, settings_reload.SettingsSource(str(path), source.read))
        cluster.loop.create_task(reload.watch(), context=cluster.loop.context_of("edge-0"))
        await clock.sleep(clock.seconds(10))
        assert source.reads == 0
        fresh = tmp_path / "fresh"
        fresh.write_text("two")
        os.replace(fresh, path)
        await clock.sleep(2 * settings_reload.LOOK)
        assert source.reads == 1
        path.unlink()
        await clock.sleep(2 * settings_reload.LOOK)
        assert source.reads == 1

    simulated_cluster.play(5, scenario)
