"""Breaks the code on purpose, guard by guard, and tells whether the tests see it: who guards the guards."""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import defopt

ROOT = pathlib.Path(__file__).parents[2]
LONGEST = 240


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A place in the code, what it is made into, and the tests that should see it; with a second place, in the
    same file or the one named third, where another guard would hold alone.

    Example: ``Break("name", "gateway/selection.py", "old text", "new text", ("simulation/calls_test.py::test_x",))``
    """

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]
    besides: tuple[tuple[str, ...], ...] = ()

    def places(self) -> tuple[tuple[str, str, str], ...]:
        """All that is changed: file, old text and new text.

        Example: ``one.places()[0] == (one.file, one.old, one.new)``
        """
        return (
            (self.file, self.old, self.new),
            *((more[2] if len(more) > 2 else self.file, *more[:2]) for more in self.besides),
        )


MUTATIONS = (
    Mutation(
        "a worker's error is taken for not run",
        "workers/adapter.py",
        "                result.ResultCode.WORKER_REFUSED,\n                result.Ran.UNKNOWN,\n",
        "                result.ResultCode.WORKER_REFUSED,\n                result.Ran.NOT_RUN,\n",
        ("simulation/guarantees_test.py::test_a_lost_answer_is_unknown_and_the_work_is_not_done_again",),
    ),
    Mutation(
        "a key is granted to every asker",
        "sessions/lane_sessions.py",
        "        if known is not None:\n",
        "        if known is not None and known.outcome:\n",
        (
            "simulation/guarantees_test.py::test_a_key_at_many_edges_runs_once_though_the_primary_dies_and_answers_are_lost",
        ),
    ),
    Mutation(
        "a key answers any request",
        "sessions/lane_sessions.py",
        "            if known.digest != command.digest:\n",
        "            if False:\n",
        ("simulation/calls_test.py::test_an_answer_from_a_keys_record_adds_up_and_is_nobody_elses",),
    ),
    Mutation(
        "the record tells the first run's count of pieces",
        "gateway/path.py",
        '            self.last(one, call.Ended(kept["turn"], pieces, kept["used"], kept["answer"], None))\n',
        '            self.last(one, call.Ended(kept["turn"], 7, kept["used"], kept["answer"], None))\n',
        ("simulation/calls_test.py::test_an_answer_from_a_keys_record_adds_up_and_is_nobody_elses",),
    ),
    Mutation(
        "a cut record is handed out as an answer",
        "gateway/path.py",
        "        if state.outcome == sessions_messages.DONE and state.answer:\n",
        "        if state.outcome == sessions_messages.DONE:\n",
        ("simulation/calls_test.py::test_an_answer_too_large_for_its_record_is_told_as_such_not_as_an_empty_one",),
    ),
    Mutation(
        "nothing is checked at the moment of sending",
        "gateway/path.py",
        "        if self.over(one):\n            raise result.RequestError(result.ResultCode.DEADLINE)\n        why = self.sendable(one)\n",
        '        why = ""\n',
        ("simulation/guarantees_test.py::test_an_edge_frozen_between_claim_and_send_sends_nothing_late",),
    ),
    Mutation(
        "reservations are not counted",
        "sessions/lane_sessions.py",
        "        if known.used + known.reserved() >= known.budget:\n",
        "        if known.used >= known.budget:\n",
        ("simulation/guarantees_test.py::test_parallel_helpers_over_edges_and_a_takeover_stay_in_budget",),
    ),
    Mutation(
        "repeated work is not charged",
        "gateway/path.py",
        '            await self.close_turn(one, sessions_messages.UNKNOWN, "", 0)\n',
        '            await self.close_turn(one, sessions_messages.NOT_RUN, "", 0)\n',
        ("simulation/calls_test.py::test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",),
    ),
    Mutation(
        "any lane's work is repeated",
        "gateway/path.py",
        "            one.lane.repeatable\n            and not one.request.operation\n",
        "            not one.request.operation\n",
        ("simulation/calls_test.py::test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",),
    ),
    Mutation(
        "work is repeated behind pieces",
        "gateway/path.py",
        "            and not one.handed\n",
        "",
        ("simulation/calls_test.py::test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",),
    ),
    Mutation(
        "one copy is enough",
        "replication/log_shipping.py",
        "        return tuple(one for one, task in sent.items() if task.result() != self.own.copy.last())\n",
        "        return tuple(one for one, task in sent.items() if False)\n",
        (
            "simulation/guarantees_test.py::test_nothing_is_answered_with_one_copy_when_primary_and_backup_are_cut_apart",
            "simulation/guarantees_test.py::test_acknowledged_plans_outlive_a_primary_killed_or_frozen_at_any_step_of_a_write",
        ),
    ),
    Mutation(
        "nothing is synced",
        "storage/store.py",
        '        for name in ("journal.dat", "journal.dir"):\n            self.disk.synchronise(self.home() / name)\n',
        "        pass\n",
        ("simulation/guarantees_test.py::test_a_plan_outlives_power_lost_everywhere_just_after_its_answer",),
    ),
    Mutation(
        "a started member does not ask the other one",
        "replication/log_shipping.py",
        "        if not own.unsure:\n            return True\n",
        "        return True\n",
        (
            "simulation/guarantees_test.py::test_a_disk_that_lost_just_its_last_synced_value_loses_nothing_that_was_acknowledged",
        ),
    ),
    Mutation(
        "claims are granted below a raised ballot",
        "consensus/witness.py",
        "            or current.raised != message.ballot\n",
        "",
        ("consensus/witness_test.py::test_no_claim_is_granted_below_a_raised_ballot",),
    ),
    Mutation(
        "a blank witness votes at once",
        "consensus/witness.py",
        "            raise result.RequestError(result.ResultCode.WITNESS_BLANK)\n",
        "            self.voting = True\n",
        (
            "simulation/guarantees_test.py::test_all_witnesses_losing_their_memory_at_once_neither_stops_nor_splits_the_fleet",
        ),
    ),
    Mutation(
        "a woken primary looks neither at its claim nor for its backup",
        "replication/group_state.py",
        "        return (\n            self.leading and clock.now() < self.lease_end and self.known is not None and self.known.primary == self.me()\n        )\n",
        "        return self.leading and self.known is not None and self.known.primary == self.me()\n",
        ("simulation/guarantees_test.py::test_a_primary_that_wakes_up_answers_nothing_before_it_claimed_anew",),
        (
            (
                "        if not entries and clock.now() - self.touched < BEAT:\n",
                "        if not entries:\n",
                "replication/primary.py",
            ),
        ),
    ),
    Mutation(
        "operators are answered before the plan is in force",
        "distribution/relay.py",
        "            if not behind and wait <= clock.ZERO:\n                return\n",
        "            return\n",
        ("simulation/campaign_test.py",),
    ),
    Mutation(
        "a plan is trusted without a claim",
        "distribution/relay.py",
        "        return clock.now() < self.currency_end and self.revision != control_state.NEVER\n",
        "        return self.revision != control_state.NEVER\n",
        ("simulation/campaign_test.py", "simulation/plans_test.py"),
    ),
    Mutation(
        "leaving workers are drawn and sent to",
        "workers/adapter.py",
        "            one = worker.of(row)\n",
        '            one = worker.of({**row, "leaving": False} if isinstance(row, dict) else row)\n',
        ("simulation/guarantees_test.py::test_a_worker_marked_as_leaving_gets_nothing_new_after_three_seconds",),
    ),
    Mutation(
        "the lane's services are not looked at",
        "configuration/resources.py",
        "        whole = self.lanes[lane_name].services\n",
        "        whole = tuple(self.services)\n",
        ("simulation/plans_test.py", "configuration/resources_test.py"),
    ),
    Mutation(
        "a turn may follow any other",
        "sessions/lane_sessions.py",
        "        if command.after != last:\n",
        "        if False:\n",
        ("sessions/lane_sessions_test.py::test_budget_and_history_agree_with_a_plain_model",),
    ),
    Mutation(
        "a cut stream looks complete",
        "workers/adapter.py",
        '            raise result.RequestError(\n                result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, "the stream ended without its end"\n            )\n',
        "            yield End(count, used, None)\n",
        ("workers/adapter_test.py",),
    ),
    Mutation(
        "signals share the senders of streams",
        "gateway/path.py",
        "        if self.sending[one.turns()].offer(one.lane.urgency, one):\n",
        "        if self.sending[True].offer(one.lane.urgency, one):\n",
        (
            "simulation/calls_test.py::test_signals_have_places_of_their_own_beside_long_streams",
            "simulation/guarantees_test.py::test_signals_are_served_under_a_flood_and_refusals_come_at_once",
        ),
    ),
    Mutation(
        "a call that must not be sent is drawn again at once",
        "gateway/path.py",
        '            self.tell(one, "not sent", why)\n            self.undraw(one)\n',
        '            self.tell(one, "not sent", why)\n            self.release(one)\n',
        ("simulation/calls_test.py::test_an_edge_cut_off_with_calls_waiting_does_not_go_round_and_round",),
        (("        if not self.node.relay.current():\n            return\n", ""),),
    ),
    Mutation(
        "a question that comes twice is answered twice",
        "transport/connections.py",
        "                    if one.number and one.number <= newest:\n",
        "                    if False:\n",
        ("simulation/plans_test.py::test_a_conditional_write_whose_frames_come_twice_is_not_refused_for_itself",),
    ),
    Mutation(
        "all pairs share acceptors",
        "gateway/path.py",
        "        key = (pair, one.turns())\n",
        "        key = (1, True)\n",
        ("simulation/calls_test.py::test_a_pair_without_a_primary_holds_up_none_but_its_own",),
    ),
    Mutation(
        "a key is forgotten early",
        "sessions/lane_sessions.py",
        "        span = max(MINUTE, operation.keep) + BEYOND\n",
        "        span = BEYOND\n",
        (
            "simulation/keeping_test.py::test_a_key_holds_a_minute_over_edges_takeovers_a_full_stop_and_jumping_clocks_then_is_free",
        ),
    ),
    Mutation(
        "a takeover does not start keep times anew",
        "sessions/lane_sessions.py",
        "        return now - self.touched.setdefault(program.name, now) > program.keep\n",
        "        return now - self.touched.setdefault(program.name, now - program.keep * 0.9) > program.keep\n",
        (
            "simulation/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",
        ),
    ),
    Mutation(
        "history is never forgotten",
        "sessions/lane_sessions.py",
        '            if kind == "program" and program is not None and not program.under_way and self.kept_out(program, now):\n',
        '            if kind == "program" and program is not None and False:\n',
        (
            "simulation/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",
        ),
    ),
    Mutation(
        "missing samples fire rules",
        "alerts/expression.py",
        "        return False\n",
        "        return True\n",
        ("alerts/expression_test.py",),
    ),
    Mutation(
        "a flapping rule flaps the fleet",
        "alerts/alerts.py",
        "    if before.state == FIRING and now - before.last < keep:\n",
        "    if False:\n",
        ("alerts/alerts_test.py",),
    ),
    Mutation(
        "all parked calls are looked at each time",
        "gateway/path.py",
        "                if not self.draw_one(one):\n",
        '                if not self.draw_one(one):\n                    for other in list(self.parked.rows[key].calls)[1:]:\n                        self.counts["draws"] += 1\n',
        (
            "simulation/calls_test.py::test_a_flood_costs_linear_work_and_what_cannot_be_served_is_refused_when_that_is_known",
        ),
    ),
    Mutation(
        "refusals name no time",
        "errors/result.py",
        "        self.retry = COME_BACK.get(result.number, SOON if result.status >= 500 else None) if retry is None else retry\n",
        "        self.retry = None if retry is None else retry\n",
        ("simulation/calls_test.py::test_every_refusal_names_when_to_come_back",),
    ),
    Mutation(
        "standing tasks end at the first odd thing",
        "runtime/supervision.py",
        "            heed()\n            counts[name] += 1\n",
        "            raise\n",
        ("runtime/supervision_test.py",),
    ),
    Mutation(
        "a forgotten cancellation is not heeded",
        "runtime/supervision.py",
        "    if task is not None and task.cancelling():\n",
        "    if False:\n",
        ("runtime/supervision_test.py",),
    ),
    Mutation(
        "lone surrogates pass",
        "runtime/json_input.py",
        "    if not text.isascii():\n",
        "    if False:\n",
        (
            "runtime/json_input.py",
            "simulation/surfaces_test.py::test_nothing_that_a_caller_or_operator_sends_ends_a_process",
        ),
    ),
    Mutation(
        "one odd row costs the list",
        "workers/adapter.py",
        '                self.faults["rows"] += 1\n',
        "                raise result.RequestError(result.ResultCode.LIST_BROKEN)\n",
        ("simulation/surfaces_test.py::test_no_page_of_the_platform_or_a_back_end_ends_a_process_or_a_standing_task",),
    ),
    Mutation(
        "a failed wake order is forgotten",
        "power/machine_power.py",
        "            self.waking[target.name] += 1\n",
        "            del self.waking[target.name]\n",
        ("simulation/resting_test.py::test_a_machine_that_fails_to_wake_is_asked_again_and_another_is_woken",),
    ),
    Mutation(
        "a machine is drawn while it wakes",
        "power/machine_power.py",
        "        if left <= clock.ZERO:\n",
        "        if True:\n",
        ("simulation/resting_test.py::test_a_machine_is_not_drawn_before_it_is_awake_and_wakes_with_nothing_held",),
    ),
    Mutation(
        "a machine sleeps without a look at what is in flight",
        "power/machine_power.py",
        '        return self.marks.setdefault(name, mark) != mark and seen["busy"] == 0\n',
        "        return self.marks.setdefault(name, mark) != mark or True\n",
        ("simulation/resting_test.py",),
    ),
    Mutation(
        "the control group has no more members than others",
        "node/node.py",
        "            return max(self.settings.copies, len(self.proposer.voter_set.present) // 2 + 1)\n",
        "            return self.settings.copies\n",
        (
            "replication/group_replica_test.py::test_the_majority_side_of_a_core_cut_serves_and_keeps_what_was_acknowledged",
        ),
    ),
    Mutation(
        "a lost disk votes as if new",
        "node/node.py",
        "            await self.witness.start(self.settings.witnesses == settings.CORE and self.settings.first_start)\n",
        "            await self.witness.start(self.settings.witnesses == settings.CORE)\n",
        ("consensus/witness_bootstrap_test.py::test_lost_disks_are_never_taken_for_a_new_fleet",),
    ),
    Mutation(
        "lost disks found holders",
        "consensus/witness_bootstrap.py",
        "            if lost:\n",
        "            if False:\n",
        ("consensus/witness_bootstrap_test.py::test_lost_disks_are_never_taken_for_a_new_fleet",),
    ),
    Mutation(
        "a primary that hears nothing goes on claiming",
        "replication/primary.py",
        "            end, newest, answered = await own.proposer.claim(\n                used, own.pair, str(own.me()), clock.ZERO if failed else witness.LEASE\n            )\n",
        "            end, newest, answered = await own.proposer.claim(used, own.pair, str(own.me()), witness.LEASE)\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "a tenure goes on without word of a new member",
        "replication/replica_changes.py",
        "            if refusal.result is result.ResultCode.OUTCOME_UNKNOWN:\n",
        "            if False:\n",
        ("replication/replica_changes_test.py",),
    ),
    Mutation(
        "too few members answer without a look at other disks",
        "replication/primary.py",
        "        return count >= self.own.around.copies or (count >= group_state.LEAST and self.short == standing)\n",
        "        return count >= self.own.around.copies or count >= group_state.LEAST\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "a node is taken in as it was prepared",
        "replication/replica_changes.py",
        "                same = await self.log_shipping.repair_member(peer)\n",
        "                same = True\n",
        ("replication/replica_changes_test.py",),
    ),
    Mutation(
        "members that failed are answered for",
        "replication/primary.py",
        "        failed = await self.log_shipping.agree(standing)\n        if failed:\n",
        "        failed = await self.log_shipping.agree(standing)\n        if False:\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "emptied members go before others hold the copy",
        "replication/replica_changes.py",
        "        elif len(staying) >= own.around.copies and len(staying) < len(own.known.members()):\n",
        "        elif len(staying) < len(own.known.members()):\n",
        ("replication/replica_changes_test.py",),
    ),
    Mutation(
        "whoever is primary is taken over from",
        "replication/backup.py",
        "                if own.me() in newest.backups and newest.primary == standing.primary\n",
        "                if own.me() in newest.backups\n",
        ("replication/backup_test.py",),
    ),
    Mutation(
        "a machine counts as emptied at once",
        "node/node.py",
        "        return reply.emptied and len(members) >= self.settings.copies and all(one.address != address for one in members)\n",
        "        return reply.emptied\n",
        ("node/node_test.py::test_emptying_a_machine_completes_and_nothing_is_lost",),
    ),
    Mutation(
        "the checksum of a frame is not looked at",
        "transport/frame.py",
        "    if checksum(header[:-4], body) != expected:\n",
        "    if False:\n",
        ("simulation/guarantees_test.py::test_broken_frames_close_the_connection_and_are_counted",),
    ),
    Mutation(
        "a stale relay parent is kept",
        "distribution/relay.py",
        "        return age > min(STALE + PULL * self.parent_depth, self.currency / 2)\n",
        "        return False\n",
        ("distribution/parent_test.py",),
    ),
    Mutation(
        "the root is not asked while the usual parent is left out",
        "distribution/relay.py",
        "        candidates = (usual, root, *(",
        "        candidates = (usual, *(",
        ("distribution/parent_test.py",),
        (("for address in order[:SPARE_PARENTS] if", "for address in order[1:SPARE_PARENTS] if"),),
    ),
    Mutation(
        "a relay says that it just heard of the root",
        "distribution/relay.py",
        "            tuple(fresh), self.revision, currency, () if same else counted, same, False, now - self.root_heard\n",
        "            tuple(fresh), self.revision, currency, () if same else counted, same, False, clock.ZERO\n",
        ("distribution/parent_test.py", "simulation/cutoff_test.py"),
    ),
    Mutation(
        "a child of a stale parent pulls without a pause",
        "distribution/relay.py",
        "        if before != self.revision or (self.address not in self.counted and not stale):\n",
        "        if before != self.revision or self.address not in self.counted:\n",
        ("distribution/parent_test.py",),
    ),
    Mutation(
        "a new primary is the root before its first read",
        "node/node.py",
        "            except result.RequestError:\n                await clock.sleep(STEP / 5)\n            else:\n                if not self.relay.root and held.claimed():\n                    self.relay.become_root()\n",
        "            except result.RequestError:\n                await clock.sleep(STEP / 5)\n            if not self.relay.root and held.claimed():\n                self.relay.become_root()\n",
        ("node/root_test.py",),
    ),
    Mutation(
        "any core judges orders to drain a machine",
        "node/node.py",
        "        await self.ask_root(lambda left: updates.DrainMachine(name, left), within)\n",
        "        await self.empty_here(name, within)\n",
        ("node/root_test.py",),
        (
            (
                '        if not self.rooted():\n            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="not the root", retry=clock.seconds(1))\n',
                "        return\n",
            ),
        ),
    ),
    Mutation(
        "time bounds that cannot be met are not said",
        "node/timing_check.py",
        "    return tuple(one.text() for one in checked if not one.holds())\n",
        "    return ()\n",
        ("node/timing_check_test.py",),
    ),
)


def seen(one: Mutation) -> tuple[Mutation, str]:
    """Apply a break to a copy of the code and run its tests there; what came of it.

    Example: ``seen(BREAKS[0])[1] == "seen"``
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-break-"))
    try:
        shutil.copytree(ROOT / "aspencroft", folder / "aspencroft", ignore=shutil.ignore_patterns("__pycache__"))
        for name in ("pyproject.toml", "README.md"):
            shutil.copy(ROOT / name, folder / name)
        shutil.copytree(ROOT / "docs", folder / "docs")
        for file, old, new in one.places():
            path = folder / "aspencroft" / file
            text = path.read_text()
            if text.count(old) != 1:
                return one, f"does not apply: its place is there {text.count(old)} times"
            path.write_text(text.replace(old, new))
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-n", "0", *(f"aspencroft/{test}" for test in one.tests)],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(folder)},
            capture_output=True,
            text=True,
            timeout=LONGEST,
        )
        return one, {0: "NOT SEEN", 1: "seen"}.get(run.returncode, f"no verdict: {run.stdout[-300:]}")
    except subprocess.TimeoutExpired:
        return one, "seen (the run did not end)"
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def mutations(*, only: str = "", processes: int = 6) -> None:
    """Apply each break to a copy of the code, run its tests, and report which were not seen.

    :param only: just breaks whose name holds this text
    :param processes: how many at once
    """
    chosen = [one for one in MUTATIONS if only in one.name]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(processes) as pool:
        for one, verdict in pool.map(seen, chosen):
            missed += not verdict.startswith("seen")
            print(f"{verdict}: {one.name} ({one.file})", flush=True)
    print(f"{len(chosen)} breaks, {missed} not seen")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    defopt.run(mutations)
