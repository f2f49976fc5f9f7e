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
class Break:
    """A place in the code, what it is made into, and the tests that should see it; with a second place, in the
    same file or the one named third, where another guard would hold alone.

    Example: ``Break("name", "edge/draw.py", "old text", "new text", ("sim/calls_test.py::test_x",))``
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
        return ((self.file, self.old, self.new), *((more[2] if len(more) > 2 else self.file, *more[:2]) for more in self.besides))


PROMISES, CALLS, SURFACES, RESTING = "sim/promises_test.py::", "sim/calls_test.py::", "sim/surfaces_test.py::", "sim/resting_test.py::"
HOST = "pair/host_test.py::"
BREAKS = (
    Break("a worker's error is taken for not run", "worker/adapter.py",
          "raise result.Refusal(result.Result.WORKER_REFUSED, result.Ran.UNKNOWN,",
          "raise result.Refusal(result.Result.WORKER_REFUSED, result.Ran.NOT_RUN,",
          (PROMISES + "test_a_lost_answer_is_unknown_and_the_work_is_not_done_again",)),
    Break("a key is granted to every asker", "talk/talk.py",
          "known = self.operations.get(command.key)\n        if known is not None:\n            if known.lane",
          "known = self.operations.get(command.key)\n        if known is not None and known.outcome:\n            if known.lane",
          (PROMISES + "test_a_key_at_many_edges_runs_once_though_the_primary_dies_and_answers_are_lost",)),
    Break("a key answers any request", "talk/talk.py", "if known.digest != command.digest:", "if False:",
          (CALLS + "test_an_answer_from_a_keys_record_adds_up_and_is_nobody_elses",)),
    Break("the record tells the first run's count of pieces", "edge/path.py",
          "self.last(one, call.Ended(kept[\"turn\"], pieces, kept[\"used\"]", "self.last(one, call.Ended(kept[\"turn\"], 7, kept[\"used\"]",
          (CALLS + "test_an_answer_from_a_keys_record_adds_up_and_is_nobody_elses",)),
    Break("a cut record is handed out as an answer", "edge/path.py", "if state.outcome == speech.DONE and state.answer:",
          "if state.outcome == speech.DONE:", (CALLS + "test_an_answer_too_large_for_its_record_is_told_as_such_not_as_an_empty_one",)),
    Break("nothing is checked at the moment of sending", "edge/path.py",
          "        if self.over(one):\n            raise result.Refusal(result.Result.DEADLINE)\n        why = self.sendable(one)",
          "        why = \"\"", (PROMISES + "test_an_edge_frozen_between_claim_and_send_sends_nothing_late",)),
    Break("reservations are not counted", "talk/talk.py", "known.used + known.reserved() >= known.budget",
          "known.used >= known.budget", (PROMISES + "test_parallel_helpers_over_edges_and_a_takeover_stay_in_budget",)),
    Break("repeated work is not charged", "edge/path.py", "await self.close_turn(one, speech.UNKNOWN, \"\", 0)",
          "await self.close_turn(one, speech.NOT_RUN, \"\", 0)",
          (CALLS + "test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",)),
    Break("any lane's work is repeated", "edge/path.py", "return (one.lane.repeatable and not",
          "return (not", (CALLS + "test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",)),
    Break("work is repeated behind pieces", "edge/path.py", "not one.request.operation and not one.handed",
          "not one.request.operation", (CALLS + "test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",)),
    Break("one copy is enough", "pair/copying.py", "if task.result() != self.own.copy.last())", "if False)",
          (PROMISES + "test_nothing_is_answered_with_one_copy_when_primary_and_backup_are_cut_apart",
           PROMISES + "test_acknowledged_plans_outlive_a_primary_killed_or_frozen_at_any_step_of_a_write")),
    Break("nothing is synced", "disk/store.py",
          "        for name in (\"journal.dat\", \"journal.dir\"):\n            self.disk.synchronise(self.home() / name)",
          "        pass", (PROMISES + "test_a_plan_outlives_power_lost_everywhere_just_after_its_answer",)),
    Break("a started member does not ask the other one", "pair/copying.py", "        if not own.unsure:\n            return True",
          "        return True", (PROMISES + "test_a_disk_that_lost_just_its_last_synced_value_loses_nothing_that_was_acknowledged",)),
    Break("claims are granted below a raised ballot", "pair/witness.py",
          "or current.accepted != message.ballot or current.raised != message.ballot", "or current.accepted != message.ballot",
          ("pair/witness_test.py::test_no_claim_is_granted_below_a_raised_ballot",)),
    Break("a blank witness votes at once", "pair/witness.py", "            raise result.Refusal(result.Result.WITNESS_BLANK)",
          "            self.voting = True", (PROMISES + "test_all_witnesses_losing_their_memory_at_once_neither_stops_nor_splits_the_fleet",)),
    Break("a woken primary looks neither at its claim nor for its backup", "pair/part.py",
          "return (self.leading and moment.now() < self.claim_end and", "return (self.leading and",
          (PROMISES + "test_a_primary_that_wakes_up_answers_nothing_before_it_claimed_anew",),
          (("if not entries and moment.now() - self.touched < BEAT:", "if not entries:", "pair/serving.py"),)),
    Break("operators are answered before the plan is in force", "relay/relay.py",
          "            if not behind and wait <= moment.ZERO:\n                return", "            return", ("sim/campaign_test.py",)),
    Break("a plan is trusted without a claim", "relay/relay.py",
          "return moment.now() < self.currency_end and self.revision != control.NEVER", "return self.revision != control.NEVER",
          ("sim/campaign_test.py", "sim/plans_test.py")),
    Break("leaving workers are drawn and sent to", "worker/adapter.py", "            one = worker.of(row)\n",
          "            one = worker.of({**row, \"leaving\": False} if isinstance(row, dict) else row)\n",
          (PROMISES + "test_a_worker_marked_as_leaving_gets_nothing_new_after_three_seconds",)),
    Break("the lane's services are not looked at", "plan/plan.py", "        whole = self.lanes[lane_name].services\n",
          "        whole = tuple(self.services)\n", ("sim/plans_test.py", "plan/plan_test.py")),
    Break("a turn may follow any other", "talk/talk.py", "if command.after != last:", "if False:",
          ("talk/talk_test.py::test_budget_and_history_agree_with_a_plain_model",)),
    Break("a cut stream looks complete", "worker/adapter.py", "        if not ended:\n            raise result.Refusal(result.Result.WORKER_LOST, result.Ran.UNKNOWN, \"the stream ended without its end\")",
          "        if not ended:\n            yield End(count, used, None)",
          ("worker/adapter_test.py",)),
    Break("signals share the senders of streams", "edge/path.py", "if self.sending[one.turns()].offer(", "if self.sending[True].offer(",
          (CALLS + "test_signals_have_places_of_their_own_beside_long_streams",
           PROMISES + "test_signals_are_served_under_a_flood_and_refusals_come_at_once")),
    Break("a call that must not be sent is drawn again at once", "edge/path.py", "            self.undraw(one)\n            self.park(one, front=True)",
          "            self.release(one)\n            self.park(one, front=True)", (CALLS + "test_an_edge_cut_off_with_calls_waiting_does_not_go_round_and_round",),
          (("        if not self.node.relay.current():\n            return\n        for key", "        for key"),)),
    Break("a question that comes twice is answered twice", "link/link.py", "if one.number and one.number <= newest:", "if False:",
          ("sim/plans_test.py::test_a_conditional_write_whose_frames_come_twice_is_not_refused_for_itself",)),
    Break("all pairs share acceptors", "edge/path.py", "        key = (pair, one.turns())\n        expected", "        key = (1, True)\n        expected",
          (CALLS + "test_a_pair_without_a_primary_holds_up_none_but_its_own",)),
    Break("a key is forgotten early", "talk/talk.py", "span = max(MINUTE, operation.keep) + BEYOND", "span = BEYOND",
          ("sim/keeping_test.py::test_a_key_holds_a_minute_over_edges_takeovers_a_full_stop_and_jumping_clocks_then_is_free",)),
    Break("a takeover does not start keep times anew", "talk/talk.py", "return now - self.touched.setdefault(program.name, now) > program.keep",
          "return now - self.touched.setdefault(program.name, now - program.keep * 0.9) > program.keep",
          ("sim/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",)),
    Break("history is never forgotten", "talk/talk.py", "not program.under_way and self.kept_out(program, now)", "False",
          ("sim/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",)),
    Break("missing samples fire rules", "alert/expression.py", "    if not found:\n        return False", "    if not found:\n        return True",
          ("alert/expression_test.py",)),
    Break("a flapping rule flaps the fleet", "alert/alerts.py", "if before.state == FIRING and now - before.last < keep:", "if False:",
          ("alert/alerts_test.py",)),
    Break("all parked calls are looked at each time", "edge/path.py", "                if not self.draw_one(one):\n                    break",
          "                if not self.draw_one(one):\n                    for other in list(self.parked.rows[key].calls)[1:]:\n                        self.counts[\"draws\"] += 1\n                    break",
          (CALLS + "test_a_flood_costs_linear_work_and_what_cannot_be_served_is_refused_when_that_is_known",)),
    Break("refusals name no time", "code/result.py", "COME_BACK.get(result.number, SOON if result.status >= 500 else None)", "None",
          (CALLS + "test_every_refusal_names_when_to_come_back",)),
    Break("standing tasks end at the first odd thing", "seam/steady.py", "            heed()\n            counts[name] += 1", "            raise",
          ("seam/steady_test.py",)),
    Break("a forgotten cancellation is not heeded", "seam/steady.py",
          "    if task is not None and task.cancelling():", "    if False:", ("seam/steady_test.py",)),
    Break("lone surrogates pass", "seam/outside.py", "    if not text.isascii():", "    if False:",
          ("seam/outside.py", SURFACES + "test_nothing_that_a_caller_or_operator_sends_ends_a_process")),
    Break("one odd row costs the list", "worker/adapter.py", "            if one is None or one.name in found:\n                self.faults[\"rows\"] += 1",
          "            if one is None or one.name in found:\n                raise result.Refusal(result.Result.LIST_BROKEN)",
          (SURFACES + "test_no_page_of_the_platform_or_a_back_end_ends_a_process_or_a_standing_task",)),
    Break("a failed wake order is forgotten", "rest/rest.py", "            self.waking[target.name] += 1\n", "            del self.waking[target.name]\n",
          (RESTING + "test_a_machine_that_fails_to_wake_is_asked_again_and_another_is_woken",)),
    Break("a machine is drawn while it wakes", "rest/rest.py", "        if left <= moment.ZERO:", "        if True:",
          (RESTING + "test_a_machine_is_not_drawn_before_it_is_awake_and_wakes_with_nothing_held",)),
    Break("a machine sleeps without a look at what is in flight", "rest/rest.py", "!= mark and seen[\"busy\"] == 0", "!= mark or True",
          ("sim/resting_test.py",)),
    Break("the control group has no more members than others", "node/node.py",
          "            return max(self.settings.copies, len(self.electorate.roster.present) // 2 + 1)",
          "            return self.settings.copies",
          (HOST + "test_the_majority_side_of_a_core_cut_serves_and_keeps_what_was_acknowledged",)),
    Break("a lost disk votes as if new", "node/node.py", "self.settings.witnesses == settings.CORE and self.settings.first_start",
          "self.settings.witnesses == settings.CORE", ("pair/seat_test.py::test_lost_disks_are_never_taken_for_a_new_fleet",)),
    Break("lost disks found holders", "pair/seat.py", "            if lost:\n", "            if False:\n",
          ("pair/seat_test.py::test_lost_disks_are_never_taken_for_a_new_fleet",)),
    Break("a primary that hears nothing goes on claiming", "pair/serving.py", "moment.ZERO if failed else witness.CLAIM",
          "witness.CLAIM", ("pair/serving_test.py",)),
    Break("a tenure goes on without word of a new member", "pair/recruiting.py",
          "if refusal.result is result.Result.OUTCOME_UNKNOWN:", "if False:", ("pair/recruiting_test.py",)),
    Break("too few members answer without a look at other disks", "pair/serving.py",
          "(count >= part.LEAST and self.short == standing)", "count >= part.LEAST", ("pair/serving_test.py",)),
    Break("a node is taken in as it was prepared", "pair/recruiting.py", "                same = await self.copying.mend_fellow(fellow)",
          "                same = True", ("pair/recruiting_test.py",)),
    Break("members that failed are answered for", "pair/serving.py",
          "        if failed:\n            await self.drop(failed)\n        elif self.own.known == standing:",
          "        if False:\n            await self.drop(failed)\n        elif self.own.known == standing:", ("pair/serving_test.py",)),
    Break("emptied members go before others hold the copy", "pair/recruiting.py",
          "elif len(staying) >= own.around.copies and len(staying) < len(own.known.members()):",
          "elif len(staying) < len(own.known.members()):", ("pair/recruiting_test.py",)),
    Break("whoever is primary is taken over from", "pair/following.py", " and newest.primary == standing.primary else", " else",
          ("pair/following_test.py",)),
    Break("a machine counts as emptied at once", "node/node.py",
          "return reply.emptied and len(members) >= self.settings.copies and all(one.address != address for one in members)",
          "return reply.emptied", ("node/node_test.py::test_emptying_a_machine_completes_and_nothing_is_lost",)),
    Break("the checksum of a frame is not looked at", "link/frame.py", "if checksum(header[:-4], body) != expected:", "if False:",
          (PROMISES + "test_broken_frames_close_the_connection_and_are_counted",)),
)


def seen(one: Break) -> tuple[Break, str]:
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
        run = subprocess.run([sys.executable, "-m", "pytest", "-x", "-n", "0", *(f"aspencroft/{test}" for test in one.tests)],
                             cwd=folder, env={**os.environ, "PYTHONPATH": str(folder)}, capture_output=True, text=True,
                             timeout=LONGEST)
        return one, {0: "NOT SEEN", 1: "seen"}.get(run.returncode, f"no verdict: {run.stdout[-300:]}")
    except subprocess.TimeoutExpired:
        return one, "seen (the run did not end)"
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def breaks(*, only: str = "", processes: int = 6) -> None:
    """Apply each break to a copy of the code, run its tests, and report which were not seen.

    :param only: just breaks whose name holds this text
    :param processes: how many at once
    """
    chosen = [one for one in BREAKS if only in one.name]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(processes) as pool:
        for one, verdict in pool.map(seen, chosen):
            missed += not verdict.startswith("seen")
            print(f"{verdict}: {one.name} ({one.file})", flush=True)
    print(f"{len(chosen)} breaks, {missed} not seen")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    defopt.run(breaks)
