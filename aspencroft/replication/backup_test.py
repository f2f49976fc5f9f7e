"""Tests of taking over."""

import dataclasses

from aspencroft.runtime import clock
from aspencroft.simulation import members


def test_a_backup_takes_over_with_the_other_backups_and_without_the_silent_primary(tmp_path):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await those.write("a")
        those.tasks[0].cancel()
        those.silent.add("n0:1")
        those.gone.add("n0:1")
        assert await those.until(lambda: those.group_replicas["n1:1"].status_reason == "serving") < 2.5
        standing = those.register.standing()
        assert (standing.primary.address, [one.address for one in standing.backups]) == ("n1:1", ["n2:1"])
        await those.write("b", "n1:1")
        assert those.same("n1:1", "n2:1")

    members.play(tmp_path, 3, acts, members=3)


def test_nobody_takes_over_from_a_primary_that_was_not_the_silent_one(tmp_path):
    async def acts(those: members.Members) -> None:
        own, standing = those.group_replicas["n2:1"], those.register.standing()
        newer = dataclasses.replace(standing, epoch=2, primary=standing.backups[0], backups=(standing.backups[1],))
        those.register.value = members.codec.tagged(newer)
        own.unsure = False
        await own.following.take_over(standing)
        assert those.register.standing() == newer and own.known == newer

    members.play(tmp_path, 3, acts, members=3)


def test_a_backup_waits_for_a_primary_that_shows_signs_of_life(tmp_path):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await clock.sleep(clock.seconds(10))
        assert those.register.standing().epoch == 1

    members.play(tmp_path, 2, acts)
