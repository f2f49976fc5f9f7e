"""Tests of takeovers by backups."""

import dataclasses

from aspencroft.runtime import clock
from aspencroft.simulation import members


def test_a_backup_takes_over_with_the_other_backups_and_without_the_silent_primary(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("a")
        cluster.tasks[0].cancel()
        cluster.silent.add("n0:1")
        cluster.gone.add("n0:1")
        assert await cluster.until(lambda: cluster.group_replicas["n1:1"].status_reason == "serving") < 2.5
        standing = cluster.register.standing()
        assert (standing.primary.address, [member.address for member in standing.backups]) == ("n1:1", ["n2:1"])
        await cluster.write("b", "n1:1")
        assert cluster.same("n1:1", "n2:1")

    members.play(tmp_path, 3, scenario, members=3)


def test_nobody_takes_over_from_a_primary_that_was_not_the_silent_one(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        backup, standing = cluster.group_replicas["n2:1"], cluster.register.standing()
        newer = dataclasses.replace(standing, epoch=2, primary=standing.backups[0], backups=(standing.backups[1],))
        cluster.register.value = members.codec.tagged(newer)
        backup.recovery.confirm()
        await backup.backup.take_over(standing)
        assert cluster.register.standing() == newer and backup.known == newer

    members.play(tmp_path, 3, scenario, members=3)


def test_a_backup_waits_for_a_primary_that_shows_signs_of_life(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await clock.sleep(clock.seconds(10))
        assert cluster.register.standing().epoch == 1

    members.play(tmp_path, 2, scenario)
