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
POWER_LOSS_TEST = (
    "storage/store_test.py::test_power_lost_at_any_sync_with_names_and_blocks_kept_singly_loses_nothing_acknowledged"
)
MEMORY_BUDGET_TEST = (
    "proxy/memory_budget_test.py::"
    "test_a_budget_is_never_exceeded_and_all_bytes_come_back_after_refusals_cancellations_and_timeouts"
)


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A place in the code, what it is made into, and the tests that should see it; with a second place, in the
    same file or the one named third, where another guard would hold alone.
    """

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]
    besides: tuple[tuple[str, ...], ...] = ()

    def places(self) -> tuple[tuple[str, str, str], ...]:
        """All that is changed: file, old text and new text."""
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
        '            self.deliver_end(one, call.Ended(kept["turn"], pieces, kept["used"], kept["answer"], None))\n',
        '            self.deliver_end(one, call.Ended(kept["turn"], 7, kept["used"], kept["answer"], None))\n',
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
        "        if self.is_over(one):\n            raise result.RequestError(result.ResultCode.DEADLINE)\n        reason = self.send_obstacle(one)\n",
        '        reason = ""\n',
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
        "            and not one.pieces_delivered\n",
        "",
        ("simulation/calls_test.py::test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time",),
    ),
    Mutation(
        "one copy is enough",
        "replication/log_shipping.py",
        "        return tuple(backup for backup, task in sent.items() if task.cancelled() or task.result() != last_here)\n",
        "        return tuple(backup for backup, task in sent.items() if False)\n",
        (
            "simulation/guarantees_test.py::test_nothing_is_answered_with_one_copy_when_primary_and_backup_are_cut_apart",
            "simulation/guarantees_test.py::test_acknowledged_plans_outlive_a_primary_killed_or_frozen_at_any_step_of_a_write",
        ),
    ),
    Mutation(
        "nothing is synced",
        "storage/store.py",
        '        for name in ("journal.dat", "journal.dir"):\n            self.disk.synchronise(self.generation_folder() / name)\n',
        "        pass\n",
        ("simulation/guarantees_test.py::test_a_plan_outlives_power_lost_everywhere_just_after_its_answer",),
    ),
    Mutation(
        "a started member does not ask the other one",
        "replication/log_shipping.py",
        "        if not state.recovery.is_unconfirmed and not state.replica.is_incomplete():\n            return True\n",
        "        return True\n",
        (
            "simulation/guarantees_test.py::test_a_disk_that_lost_just_its_last_synced_value_loses_nothing_that_was_acknowledged",
        ),
    ),
    Mutation(
        "claims are granted below a raised ballot",
        "consensus/witness_state.py",
        "            or current.promised != message.ballot\n",
        "",
        ("consensus/witness_test.py::test_no_claim_is_granted_below_a_raised_ballot",),
    ),
    Mutation(
        "a blank witness votes at once",
        "consensus/witness_state.py",
        "            raise result.RequestError(result.ResultCode.WITNESS_BLANK)\n",
        "            pass\n",
        (
            "simulation/guarantees_test.py::test_all_witnesses_losing_their_memory_at_once_neither_stops_nor_splits_the_fleet",
        ),
    ),
    Mutation(
        "a woken primary looks neither at its claim nor for its backup",
        "replication/group_state.py",
        "        return record_changes.may_serve(tenure, self.known, self.me(), clock.now())\n",
        "        return self.role_state.is_leading and self.known is not None and self.known.primary == self.me()\n",
        ("simulation/guarantees_test.py::test_a_primary_that_wakes_up_answers_nothing_before_it_claimed_anew",),
        (
            (
                "        if not entries and clock.now() - self.last_append_at < HEARTBEAT_PERIOD:\n",
                "        if not entries:\n",
                "replication/primary.py",
            ),
        ),
    ),
    Mutation(
        "operators are answered before the plan is in force",
        "distribution/configuration_lease.py",
        "            if not behind and wait <= clock.ZERO:\n                return\n",
        "            return\n",
        ("simulation/campaign_test.py",),
    ),
    Mutation(
        "a plan is trusted without a claim",
        "distribution/relay.py",
        "        return clock.now() < self.lease.end and self.state.revision != control_state.NEVER\n",
        "        return self.state.revision != control_state.NEVER\n",
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
        "        lane_services = self.lanes[lane_name].services\n",
        "        lane_services = tuple(self.services)\n",
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
        '            raise result.RequestError(\n                result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, "the stream was cut off before its end"\n            )\n',
        "            yield End(count, used, None)\n",
        ("workers/adapter_test.py",),
    ),
    Mutation(
        "signals share the senders of streams",
        "gateway/path.py",
        "        if self.send_queues[one.is_turn()].offer(one.lane.urgency, one):\n",
        "        if self.send_queues[True].offer(one.lane.urgency, one):\n",
        (
            "simulation/calls_test.py::test_signals_have_places_of_their_own_beside_long_streams",
            "simulation/guarantees_test.py::test_signals_are_served_under_a_flood_and_refusals_come_at_once",
        ),
    ),
    Mutation(
        "a call that must not be sent is drawn again at once",
        "gateway/path.py",
        '            self.record_event(one, "not sent", reason)\n            self.free_worker(one)\n',
        '            self.record_event(one, "not sent", reason)\n            self.release(one)\n',
        ("simulation/calls_test.py::test_an_edge_cut_off_with_calls_waiting_does_not_go_round_and_round",),
        (("        if not self.node.relay.current():\n            return\n", ""),),
    ),
    Mutation(
        "a question that comes twice is answered twice",
        "transport/connections.py",
        "                    if received.request_number and received.request_number <= newest_request:\n",
        "                    if False:\n",
        ("simulation/plans_test.py::test_a_conditional_write_whose_frames_come_twice_is_not_refused_for_itself",),
    ),
    Mutation(
        "all group_ids share acceptors",
        "gateway/path.py",
        "        key = (group_id, one.is_turn())\n",
        "        key = (1, True)\n",
        ("simulation/calls_test.py::test_a_pair_without_a_primary_holds_up_none_but_its_own",),
    ),
    Mutation(
        "a key is forgotten early",
        "sessions/lane_sessions.py",
        "        span = max(MIN_KEY_RETENTION, operation.retention_period) + RETENTION_MARGIN\n",
        "        span = RETENTION_MARGIN\n",
        (
            "simulation/keeping_test.py::test_a_key_holds_a_minute_over_edges_takeovers_a_full_stop_and_jumping_clocks_then_is_free",
        ),
    ),
    Mutation(
        "a takeover does not start keep times anew",
        "sessions/lane_sessions.py",
        "        return now - self.program_active_at.setdefault(program.name, now) > program.retention_period\n",
        "        return now - self.program_active_at.setdefault(program.name, now - program.retention_period * 0.9) > program.retention_period\n",
        (
            "simulation/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",
        ),
    ),
    Mutation(
        "history is never forgotten",
        "sessions/lane_sessions.py",
        '            if kind == "program" and program is not None and self.is_program_expired(program, now):\n',
        '            if kind == "program" and program is not None and False:\n',
        (
            "simulation/keeping_test.py::test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back",
        ),
    ),
    Mutation(
        "missing samples fire rules",
        "configuration/alert_expression.py",
        "        return False\n",
        "        return True\n",
        ("configuration/alert_expression_test.py",),
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
        "                if not self.select_worker(one):\n",
        '                if not self.select_worker(one):\n                    for other in list(self.wait_queue.rows[key].calls)[1:]:\n                        self.counts["draws"] += 1\n',
        (
            "simulation/calls_test.py::test_a_flood_costs_linear_work_and_what_cannot_be_served_is_refused_when_that_is_known",
        ),
    ),
    Mutation(
        "refusals name no time",
        "errors/result.py",
        "        self.retry = (\n            RETRY_AFTER.get(result.number, DEFAULT_RETRY_AFTER if result.status >= 500 else None)\n            if retry is None\n            else retry\n        )\n",
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
        "        if time_left <= clock.ZERO:\n",
        "        if True:\n",
        ("simulation/resting_test.py::test_a_machine_is_not_drawn_before_it_is_awake_and_wakes_with_nothing_held",),
    ),
    Mutation(
        "a machine sleeps without a look at what is in flight",
        "power/machine_power.py",
        '        return self.marks.setdefault(name, mark) != mark and report["busy"] == 0\n',
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
        "        if lost:\n",
        "        if False:\n",
        ("consensus/witness_bootstrap_test.py::test_lost_disks_are_never_taken_for_a_new_fleet",),
    ),
    Mutation(
        "a primary that hears nothing goes on claiming",
        "replication/primary.py",
        "            end, newest, answered = await state.proposer.request_lease(\n                used, state.group_id, str(state.me()), clock.ZERO if failed else witness.LEASE\n            )\n",
        "            end, newest, answered = await state.proposer.request_lease(used, state.group_id, str(state.me()), witness.LEASE)\n",
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
        "replication/record_changes.py",
        "    return count >= copies or (count >= min_members and exhausted_record == record)\n",
        "    return count >= copies or count >= min_members\n",
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
        "a copy that was let go of counts as a lost disk",
        "replication/log_shipping.py",
        "                if not compared.identity.startswith(log_records.RELEASED_PREFIX):\n",
        "                if True:\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "a lost disk counts under every record",
        "replication/record_changes.py",
        "        return record == self.record and now < self.end and count >= min_members and count + self.count >= copies\n",
        "        return now < self.end and count >= min_members and count + self.count >= copies\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "members that failed are answered for",
        "replication/primary.py",
        "        if failed:\n            await self.remove_failed_backups(failed)\n            end = clock.now() + LOST_DISK_GRACE\n",
        "        if False:\n            await self.remove_failed_backups(failed)\n            end = clock.now() + LOST_DISK_GRACE\n",
        ("replication/primary_test.py",),
    ),
    Mutation(
        "drained members go before others hold the copy",
        "replication/record_changes.py",
        "    return copies <= staying < members\n",
        "    return staying < members\n",
        ("replication/replica_changes_test.py",),
    ),
    Mutation(
        "whoever is primary is taken over from",
        "replication/record_changes.py",
        "    if me not in record.backups or record.primary != unresponsive:\n",
        "    if me not in record.backups:\n",
        ("replication/backup_test.py",),
    ),
    Mutation(
        "a machine counts as drained at once",
        "node/group_client.py",
        "reply.drained and len(members) >= replica_count and all(member.address != address for member in members)\n",
        "reply.drained\n",
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
        "an answer with another id is taken",
        "workers/pool.py",
        "            if accepts is not None and not accepts(head.status, head.headers):\n",
        "            if False:\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a connection with bytes in excess is used again",
        "workers/pool.py",
        "        if reuse and not connection.deadline_passed and not connection.buffer and now < connection.idle_until:\n",
        "        if reuse and not connection.deadline_passed and now < connection.idle_until:\n",
        ("workers/pool_test.py",),
    ),
    Mutation(
        "a refusal without an id is trusted on a connection used before",
        "proxy/forwarder.py",
        "        if declined and (head.attempt or not response.reused or state.is_idempotent()):\n",
        "        if declined:\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a worker's 503 without its word passes as a promise",
        "proxy/forwarder.py",
        "        elif head.status in NOT_RUN_STATUSES and not state.is_idempotent():\n",
        "        elif False:\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a lost request counts as not run",
        "workers/pool.py",
        "        super().__init__(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, detail)\n",
        "        super().__init__(result.ResultCode.WORKER_LOST, result.Ran.NOT_RUN, detail)\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a cut answer counts as not run",
        "workers/pool.py",
        '            result.ResultCode.WORKER_BROKE,\n            result.Ran.UNKNOWN,\n            f"{connection.address}',
        '            result.ResultCode.WORKER_BROKE,\n            result.Ran.NOT_RUN,\n            f"{connection.address}',
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a key whose edge is gone is free",
        "sessions/operation_keys.py",
        '                overdue.append(entry.CloseKey(key, record.attempt, messages.UNKNOWN, 0, (), b""))\n',
        '                overdue.append(entry.CloseKey(key, record.attempt, messages.NOT_RUN, 0, (), b""))\n',
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a snapshot leaves the keys out",
        "sessions/operation_keys.py",
        "        self.records = {record.key: record for record in records}\n",
        "        self.records = {}\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "a hedge counts its attempts by itself",
        "proxy/forwarder.py",
        "        other = dataclasses.replace(state, tried_workers=state.tried_workers | {state.current_worker}, hedged=False)\n",
        "        other = dataclasses.replace(\n            state, tried_workers=state.tried_workers | {state.current_worker}, hedged=False, attempts=Attempts(1, 1)\n        )\n",
        ("proxy/forwarder_test.py",),
    ),
    Mutation(
        "an edge without a current configuration says that there is no route",
        "proxy/forwarder.py",
        "            if not self.access.knows_newest_configuration():\n",
        "            if False:\n",
        ("proxy/forwarder_test.py",),
    ),
    Mutation(
        "a call is sent under a route that changed its kind",
        "proxy/forwarder.py",
        "        if (route.kind, route.retained) != (state.route.kind, state.route.retained):\n",
        "        if False:\n",
        ("proxy/forwarder_test.py",),
    ),
    Mutation(
        "a request is sent after the end of its time",
        "workers/pool.py",
        "        if clock.now() >= end:\n            channel.abort()\n",
        "        if False:\n            channel.abort()\n",
        ("workers/pool_test.py",),
    ),
    Mutation(
        "a turn that cannot be kept is held beyond its route's time",
        "proxy/forwarder.py",
        "        time_limit = max(state.deadline - began, TURN_END_GRACE)\n",
        "        time_limit = max(state.deadline - clock.now(), RETRY_LATER)\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "the window of keys is not that of the settings",
        "proxy/forwarder.py",
        "        window = self.node.settings.key_window\n",
        "        window = WINDOW\n",
        ("simulation/call_troubles_test.py",),
    ),
    Mutation(
        "an operation key at work is granted again",
        "sessions/operation_keys.py",
        "        if known is not None:\n            is_holder = not known.outcome",
        "        if known is not None and known.outcome:\n            is_holder = not known.outcome",
        ("simulation/call_troubles_test.py::test_repeats_of_a_key_at_work_never_run_whatever_takeovers_come_between",),
    ),
    Mutation(
        "only the last 256 taken orders are known again",
        "configuration/taken_orders.py",
        "MAX_RECORDS = 1 << 16\n",
        "MAX_RECORDS = 256\n",
        (
            "configuration/taken_orders_test.py::test_every_order_of_a_long_day_is_known_again_also_after_a_restart_and_never_taken_twice",
        ),
    ),
    Mutation(
        "an order below the horizon of the record is called refused",
        "configuration/operator_configuration.py",
        "        if self.taken.may_be_discarded(command.version) and command.condition < command.version:\n",
        "        if False:\n",
        ("configuration/orders_stateful_test.py",),
    ),
    Mutation(
        "an order is known again by its number alone",
        "configuration/operator_configuration.py",
        "        if record is not None and record.digest == command.digest:\n",
        "        if record is not None:\n",
        ("configuration/orders_stateful_test.py",),
    ),
    Mutation(
        "the condition of an order is not looked at",
        "configuration/operator_configuration.py",
        "        if command.condition != self.version:\n",
        "        if False:\n",
        ("configuration/orders_stateful_test.py",),
    ),
    Mutation(
        "a number at or below the current one is taken",
        "configuration/operator_configuration.py",
        "        if command.version <= self.version:\n",
        "        if False:\n",
        ("configuration/orders_stateful_test.py",),
    ),
    Mutation(
        "taken orders are not in the snapshot",
        "configuration/operator_configuration.py",
        '            "taken": self.taken.snapshot(),\n',
        '            "taken": taken_orders.TakenOrders().snapshot(),\n',
        ("configuration/orders_stateful_test.py",),
    ),
    Mutation(
        "the horizon of the record is not in the snapshot",
        "configuration/taken_orders.py",
        '        return {"horizon": self.horizon, ',
        '        return {"horizon": 0, ',
        ("configuration/taken_orders_test.py", "configuration/orders_stateful_test.py"),
    ),
    Mutation(
        "a drain order is checked against whatever plan the node has",
        "node/drain_order.py",
        "            await self.wait_for_newest_configuration(end)\n            address = self.ordered_address",
        "            address = self.ordered_address",
        ("node/drain_order_test.py",),
    ),
    Mutation(
        "a drain order does not name the plan that it was checked against",
        "node/drain_order.py",
        '"", "", body, self.node.relay.revision)',
        '"", "", body, None)',
        (
            "node/node_test.py::test_of_two_drain_orders_at_once_that_leave_too_few_together_one_is_taken_wherever_they_are_sent",
        ),
    ),
    Mutation(
        "a drain order is forgotten with its machine",
        "node/drain_order.py",
        "        return next((address for address, order in orders.items() if name in (address, order.name)), None)\n",
        "        return None\n",
        ("node/node_test.py::test_a_drain_order_sent_again_after_the_machine_is_gone_and_forgotten_is_done",),
    ),
    Mutation(
        "a new disk keeps a former machine's drain order",
        "node/disk_arrival.py",
        "        if order is not None and not order.holds_for_new_disk(self.name()):\n",
        "        if False:\n",
        (
            "simulation/drained_machines_test.py::test_each_storage_machine_in_turn_is_drained_and_replaced_at_its_address_under_another_name",
        ),
    ),
    Mutation(
        "a machine that lost its disk is free of its drain order",
        "configuration/resources.py",
        "        return self.is_for(name) and not self.is_completed\n",
        "        return False\n",
        (
            "simulation/drained_machines_test.py::test_an_order_holds_for_a_machine_that_lost_its_disk_before_it_was_called_drained",
        ),
    ),
    Mutation(
        "a machine is called drained and nobody records it",
        "node/drain_order.py",
        "        if state is DrainState.DRAINED and not await self.record_completion(address, end):\n",
        "        if False:\n",
        (
            "simulation/drained_machines_test.py::test_a_drained_machine_is_replaced_at_its_address_under_its_own_name",
            "node/drain_order_test.py",
        ),
    ),
    Mutation(
        "a disk that held something counts as new",
        "node/disk_arrival.py",
        "        if (data / FIRST_STORE).exists():\n            return False\n",
        "",
        ("simulation/drained_machines_test.py::test_a_restart_of_the_ordered_machine_undoes_nothing",),
    ),
    Mutation(
        "a new disk is none any more after a restart",
        "node/disk_arrival.py",
        "        marker.touch()\n",
        "        return True\n",
        (
            "simulation/drained_machines_test.py::test_a_machine_that_is_killed_before_it_withdrew_a_former_machines_order_withdraws_it_after_its_restart",
        ),
    ),
    Mutation(
        "the marker of a new disk is not synced",
        "node/disk_arrival.py",
        "    # Also where an earlier run made it: that may have been killed before its sync.\n    disk.synchronise(data)\n",
        "",
        ("node/disk_arrival_test.py",),
    ),
    Mutation(
        "an order to a replacement is taken for its predecessor's",
        "node/drain_order.py",
        "            if address is not None and not self.may_be_replaced(address):\n",
        "            if address is not None:\n",
        (
            "simulation/drained_machines_test.py::test_an_order_to_a_replacement_is_not_lost_to_the_withdrawal_of_the_former_machines_order",
        ),
    ),
    Mutation(
        "a drain order counts for whoever is at its address",
        "node/drain_order.py",
        "        return order if order is not None and order.is_for(member.name) else None\n",
        "        return order\n",
        (
            "simulation/drained_machines_test.py::test_an_order_to_a_replacement_is_not_lost_to_the_withdrawal_of_the_former_machines_order",
        ),
    ),
    Mutation(
        "a name means whichever machine has the latest clock",
        "node/drain_order.py",
        "member.state != cluster_member.DOWN, self.order_for(member) is None, member.incarnation",
        "member.state != cluster_member.DOWN, True, member.incarnation",
        (
            "simulation/drained_machines_test.py::test_a_machine_at_another_address_that_bears_a_drained_ones_name_takes_its_own_order",
            "simulation/drained_machines_test.py::test_a_machine_that_is_down_is_not_called_drained_by_an_order_to_one_that_bore_its_name",
        ),
    ),
    Mutation(
        "a node that just started calls machines unknown",
        "node/drain_order.py",
        '        if not self.members_known():\n            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"{name}',
        '        if False:\n            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"{name}',
        ("node/node_test.py::test_a_node_calls_a_machine_unknown_only_once_it_had_time_to_hear_of_all",),
    ),
    Mutation(
        "a disk that is away for a moment counts as lost",
        "node/drain_order.py",
        "            if not self.members_known() or len(left) + len(returning)",
        "            if not self.members_known() or len(left) + 0 * len(returning)",
        ("node/node_test.py::test_while_a_disk_is_away_for_a_moment_it_is_not_said_that_too_few_are_left",),
    ),
    Mutation(
        "replies are given before all members hold the order",
        "replication/primary.py",
        "        if not entries:\n            self.send_replies(undelivered)\n        if not entries and",
        "        self.send_replies(undelivered)\n        if not entries and",
        ("replication/primary_test.py::test_what_a_member_lacks_is_not_answered_while_the_record_names_it",),
    ),
    Mutation(
        "a store's folder is made without a sync of the one above",
        "storage/store.py",
        "    disk.synchronise(folder.parent)\n",
        "",
        (POWER_LOSS_TEST,),
    ),
    Mutation(
        "unsynced values that a killed process wrote are acted on",
        "storage/store.py",
        "    disk.synchronise(data_path)\n    with",
        "    with",
        (POWER_LOSS_TEST,),
    ),
    Mutation(
        "older generations go before the pointer's rename lasts",
        "storage/store.py",
        "    disk.synchronise(folder)\n    for generation in generations:\n",
        "    for generation in generations:\n",
        (POWER_LOSS_TEST,),
    ),
    Mutation(
        "a hole in an unsynced batch counts as damage",
        "storage/data_file.py",
        "later is not None and later.synced_count > len(records)",
        "later is not None",
        (POWER_LOSS_TEST,),
    ),
    Mutation(
        "a newcomer learns from witnesses that still vote under the former voter set",
        "consensus/witness_state.py",
        "{source for source, survey in voting.items() if survey.voter_set.number == voter_set.number}",
        "set(voting)",
        ("consensus/witness_changes_test.py::test_a_newcomer_learns_only_from_witnesses_that_hold_its_voter_set",),
    ),
    Mutation(
        "witnesses that missed a voter set are not told of it",
        "consensus/proposer.py",
        "if reply.voter_set.number < self.voter_set.number:",
        "if False:",
        (
            "consensus/witness_changes_test.py::test_witnesses_that_were_not_told_of_a_voter_set_hear_of_it_before_the_next_loss",
        ),
    ),
    Mutation(
        "a voter set is in force where it was accepted, chosen or not",
        "consensus/witness_state.py",
        "        if message.register == replica_set.VOTER_SET:\n            return step\n",
        "        if message.register == replica_set.VOTER_SET:\n"
        "            return dataclasses.replace(step, state=step.state.adopt(codec.untagged(message.value)).state)\n",
        ("consensus/witness_changes_test.py::test_a_set_that_a_single_witness_accepted_stops_nobody",),
    ),
    Mutation(
        "a primary serves under a record that was told of and never chosen",
        "replication/record_changes.py",
        "        and tenure.knows_chosen\n",
        "",
        ("replication/primary_test.py::test_nothing_is_answered_under_a_record_that_was_told_of_and_never_chosen",),
    ),
    Mutation(
        "records whose proposer died are settled by nobody",
        "node/node.py",
        '            "records": self.record_recovery.run,\n',
        "",
        (
            "replication/group_replica_test.py"
            "::test_a_new_member_leads_though_the_primary_lost_its_disk_before_it_told_of_the_record",
        ),
    ),
    Mutation(
        "a member is recorded that lacks what was answered",
        "replication/replica_changes.py",
        "            return same and await self.record_backup(peer)",
        "            return await self.record_backup(peer)",
        ("replication/second_loss_test.py", "replication/replica_changes_test.py"),
    ),
    Mutation(
        "a member that is drained leaves before another one holds the copy",
        "replication/record_changes.py",
        "    return copies <= staying < members\n",
        "    return staying < members\n",
        ("replication/second_loss_test.py", "replication/replica_changes_test.py"),
    ),
    Mutation(
        "seeds of newer settings are not used to join",
        "cli/settings_reload.py",
        "        self.node.failure_detector.seeds = merged.seeds\n",
        "",
        ("cli/settings_reload_test.py",),
    ),
    Mutation(
        "settings that need a restart are taken while running",
        "node/settings.py",
        "for name in changed if name in CHANGEABLE}",
        "for name in changed}",
        ("node/settings_test.py",),
    ),
    Mutation(
        "a reader of the list waits long after the platform was out of reach",
        "workers/list_reader.py",
        "MAX_BACKOFF_UNREACHABLE = clock.seconds(1.2)\n",
        "MAX_BACKOFF_UNREACHABLE = MAX_BACKOFF\n",
        ("workers/list_reader_test.py",),
    ),
    Mutation(
        "a list of many pages is read as often as one of a single page",
        "workers/list_reader.py",
        "return max(pause, self.cost() / RATE_SHARE)",
        "return pause",
        ("workers/list_reader_test.py",),
    ),
    Mutation(
        "a torn append is left in the journal",
        "storage/store.py",
        "        if self.has_failed_append:\n            self.cut_off_failed_append()\n",
        "",
        (
            "storage/failing_disk_test.py::test_an_append_cut_off_at_any_byte_by_a_full_disk_leaves_nothing_behind",
            "storage/failing_disk_test.py::test_a_failed_sync_is_no_append",
        ),
    ),
    Mutation(
        "an append goes on behind a pointer that was not made to last",
        "storage/store.py",
        "        if self.superseded_folder is not None:\n            self.finish_switch()\n",
        "",
        ("storage/failing_disk_test.py::test_a_pointer_that_was_not_made_to_last_holds_appends_back",),
    ),
    Mutation(
        "a cancelled append is written but not remembered",
        "replication/replica.py",
        "        await uninterrupted.finish(self.write_and_apply(entries))\n",
        "        await self.write_and_apply(entries)\n",
        (
            "replication/interrupted_write_test.py::test_an_append_that_is_cancelled_at_any_moment_is_whole_in_memory_or_not_on_the_disk",
            "replication/interrupted_write_test.py::test_a_backup_whose_handler_is_cancelled_mid_write_never_holds_an_entry_twice",
        ),
    ),
    Mutation(
        "a tenure that ends confirms what is undecided",
        "replication/primary.py",
        "            self.fail_as_unknown(undelivered)\n",
        "            self.send_replies(undelivered)\n",
        (
            "replication/interrupted_write_test.py::test_a_primary_whose_disk_fails_steps_aside_and_comes_back_as_a_backup",
            "replication/primary_test.py::test_an_order_that_the_primary_could_not_write_is_not_answered_though_its_lease_stands",
        ),
    ),
    Mutation(
        "a primary with a hanging disk goes on renewing its lease",
        "replication/primary.py",
        "            state.check_disk()\n",
        "",
        ("replication/interrupted_write_test.py::test_a_primary_with_a_hanging_disk_stops_renewing_its_lease",),
    ),
    Mutation(
        "half a snapshot is installed",
        "replication/snapshot_transfer.py",
        "        if end.transfer_id != self.transfer_id or end.size != self.size:\n",
        "        if end.transfer_id != self.transfer_id:\n",
        ("replication/snapshot_transfer_test.py::test_half_a_snapshot_is_not_installed_and_two_are_not_mixed",),
    ),
    Mutation(
        "a broken transfer begins anew",
        "replication/snapshot_transfer.py",
        "        if self.current is None or self.current.snapshot is not snapshot:\n",
        "        if True:\n",
        (
            "replication/snapshot_transfer_test.py::test_a_transfer_that_breaks_goes_on_where_it_was_and_is_not_used_before",
        ),
    ),
    Mutation(
        "a copy whose repair broke off may lead",
        "replication/log_shipping.py",
        "        if not state.recovery.is_unconfirmed and not state.replica.is_incomplete():\n            return True\n",
        "        if not state.recovery.is_unconfirmed:\n            return True\n",
        (
            "replication/snapshot_transfer_test.py::test_a_backup_whose_repair_broke_off_never_leads_without_what_was_acknowledged",
        ),
    ),
    Mutation(
        "patience ends also for a copy whose repair broke off",
        "replication/log_shipping.py",
        "        if state.replica.is_incomplete():\n            state.status_reason",
        "        if False:\n            state.status_reason",
        (
            "replication/snapshot_transfer_test.py::test_a_backup_whose_repair_broke_off_never_leads_without_what_was_acknowledged",
        ),
    ),
    Mutation(
        "a repair's goal does not last",
        "replication/replica.py",
        "            await self.write_records(goal)\n",
        "",
        (
            "replication/snapshot_transfer_test.py::test_a_transfer_that_breaks_goes_on_where_it_was_and_is_not_used_before",
        ),
    ),
    Mutation(
        "snapshots wait for the changes of a whole day",
        "replication/snapshotting.py",
        "        return is_early and self.is_longer_than(log, state_size, EARLY_COMPACT_ENTRIES, EARLY_COMPACT_BYTES)\n",
        "        return False\n",
        ("replication/interrupted_write_test.py::test_disk_and_start_follow_the_state_and_not_the_number_of_changes",),
    ),
    Mutation(
        "a repair that cuts a copy back leaves no mark",
        "replication/replica.py",
        "            await self.write_records(goal)\n            self.goal = goal\n",
        "            self.goal = None\n",
        (
            "replication/interrupted_write_test.py::test_an_end_at_any_sync_of_appends_snapshots_and_repairs_keeps_what_was_acknowledged",
        ),
    ),
    Mutation(
        "an append is confirmed before its sync",
        "storage/store.py",
        '        for name in ("journal.dat", "journal.dir"):\n            self.disk.synchronise(self.generation_folder() / name)\n',
        "",
        (
            "replication/interrupted_write_test.py::test_an_end_at_any_sync_of_appends_snapshots_and_repairs_keeps_what_was_acknowledged",
        ),
    ),
    Mutation(
        "a rewritten generation forgets that a repair is under way",
        "replication/replica.py",
        "            *([self.goal] if self.goal is not None and self.is_incomplete() else []),\n",
        "",
        (
            "replication/interrupted_write_test.py::test_an_end_at_any_sync_of_appends_snapshots_and_repairs_keeps_what_was_acknowledged",
        ),
    ),
    Mutation(
        "copies are compared by ranges alone",
        "replication/replica_log.py",
        "DENSE_DIGEST_ENTRIES = 1024\n",
        "DENSE_DIGEST_ENTRIES = 0\n",
        ("replication/snapshot_transfer_test.py::test_a_repair_never_cuts_a_backup_back_below_what_was_acknowledged",),
    ),
    Mutation(
        "of two entries with one number both count",
        "replication/replica.py",
        "            self.log.truncate_to(max(0, record.sequence - self.log.snapshot.sequence - 1))\n",
        "",
        ("replication/interrupted_write_test.py::test_of_two_entries_with_one_number_the_later_one_counts",),
    ),
    Mutation(
        "a large plan goes to a child as one message",
        "distribution/configuration_state.py",
        ' if len(complete.body) <= configuration_transfer.CHUNK_BYTES else ""\n',
        "\n",
        (
            "distribution/configuration_transfer_test.py::test_a_child_that_was_away_for_any_number_of_changes_catches_up",
        ),
    ),
    Mutation(
        "a step is taken upon whatever plan is held",
        "distribution/configuration_state.py",
        "        if update.base is not None and update.base != known:\n",
        "        if False:\n",
        (
            "distribution/configuration_transfer_test.py::test_a_relay_with_a_gap_in_its_steps_gives_the_whole_and_no_step_is_taken_twice",
        ),
    ),
    Mutation(
        "parts of two plans are mixed",
        "distribution/configuration_transfer.py",
        "        if chunk.digest != self.digest:\n",
        "        if self.digest == NO_DIGEST:\n",
        ("distribution/configuration_transfer_test.py::test_parts_of_two_plans_are_not_mixed",),
    ),
    Mutation(
        "a repeat under another condition is known again",
        "../platform/configuration.py",
        'f"{method} {condition} {content}"',
        'f"{method} {content}"',
        ("platform_check/operator_api_test.py", "platform_check/configuration_test.py"),
    ),
    Mutation(
        "PUT and PATCH of one content are one order",
        "../platform/configuration.py",
        'f"{method} {condition} {content}"',
        'f"{condition} {content}"',
        ("platform_check/operator_api_test.py",),
    ),
    Mutation(
        "an order is told apart by how it is spaced",
        "../platform/configuration.py",
        "    content = json.dumps(document, sort_keys=True, ",
        "    content = json.dumps(document, sort_keys=False, ",
        ("platform_check/operator_api_test.py",),
    ),
    Mutation(
        "the bound on a body follows the plan",
        "../platform/operator_api.py",
        "        condition = condition_of(request)\n        return await apply_configuration(configuration.parse_replacement(condition, await body_of(request)))",
        "        condition, body = condition_of(request), await body_of(request)\n"
        "        if len(body) > own.relay.configuration.limits.body_bytes:\n"
        "            raise result.RequestError(result.ResultCode.TOO_LARGE)\n"
        "        return await apply_configuration(configuration.parse_replacement(condition, body))",
        ("platform_check/operator_api_test.py",),
    ),
    Mutation(
        "a refusal whose outcome is unknown is called clear",
        "../platform/operator_api.py",
        "    clear = refusal.ran is result.Ran.NOT_RUN\n",
        "    clear = True\n",
        ("platform_check/operator_api_test.py::test_only_what_surely_was_not_taken_is_called_refused",),
    ),
    Mutation(
        "a version beyond 64 bits is taken for a number",
        "../platform/configuration.py",
        " or abs(version) > json_input.LARGEST_WHOLE:",
        ":",
        (
            "platform_check/operator_api_test.py::test_a_version_that_no_record_can_hold_is_invalid_on_every_node_also_the_primary",
        ),
    ),
    Mutation(
        "nodes do not knock at seeds that they do not know to be live",
        "membership/table_exchange.py",
        "for address in (*self.seeds, *view.proposer.voter_set.all_voters())\n",
        "for address in ()\n",
        ("membership/seeds_test.py",),
    ),
    Mutation(
        "model: voters wait no longer than the lease",
        "consensus/witness_state.py",
        "LEASE_MARGIN = clock.seconds(0.15)\n",
        "LEASE_MARGIN = clock.seconds(0)\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: takeover]",
        ),
    ),
    Mutation(
        "model: a ballot is promised while a lease stands",
        "consensus/witness_state.py",
        "        if wait > clock.ZERO or message.ballot <= current.promised:\n",
        "        if message.ballot <= current.promised:\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: takeover]",
        ),
    ),
    Mutation(
        "model: a value is accepted below a promised ballot",
        "consensus/witness_state.py",
        "        if message.incarnation != self.incarnation or current.promised != message.ballot:\n",
        "        if message.incarnation != self.incarnation:\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: two ballots]",
        ),
    ),
    Mutation(
        "model: not the newest accepted value is taken",
        "consensus/ballot.py",
        "    return max((reply.ballot for reply in promises.values()), key=lambda ballot: ballot.accepted)\n",
        "    return min((reply.ballot for reply in promises.values()), key=lambda ballot: ballot.accepted)\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: two ballots]",
        ),
    ),
    Mutation(
        "model: a wiped voter is taught by one other",
        "consensus/witness_state.py",
        "    return 2 * len([voter for voter in others if voter in voting]) > len(others)\n",
        "    return bool([voter for voter in others if voter in voting])\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: lost disk and ballots]",
        ),
    ),
    Mutation(
        "model: a blank voter votes",
        "consensus/witness_state.py",
        "            raise result.RequestError(result.ResultCode.WITNESS_BLANK)\n",
        "            pass\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: lost disk and ballots]",
        ),
        (("        return voter_set == self.voter_set.number\n", "        return True\n"),),
    ),
    Mutation(
        "model: a restarted voter waits out no lease",
        "consensus/witness_state.py",
        "            voting=recorded and self.address in voter_set.all_voters(),\n            leases_expired_at=now + LEASE + LEASE_MARGIN,\n",
        "            voting=recorded and self.address in voter_set.all_voters(),\n            leases_expired_at=clock.ZERO,\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: restart and lease]",
        ),
    ),
    Mutation(
        "model: a taught voter writes its voter set before its ballots",
        "consensus/witness_state.py",
        "        return Step(state, None, (*newest.values(), *written_twice(state.voter_set)))\n",
        "        return Step(state, None, (state.voter_set, *newest.values()))\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: power lost in a write]",
        ),
    ),
    Mutation(
        "model: ballots are written once",
        "consensus/witness_state.py",
        "    return value, value\n",
        "    return (value,)\n",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: lost value]",
        ),
    ),
    Mutation(
        "model: a primary serves while it hands over",
        "replication/record_changes.py",
        "        and not tenure.transferring_leadership\n",
        "",
        (
            "simulation/model_check_test.py::test_three_voters_keep_every_invariant_to_the_small_bound[3 voters: hand-over]",
        ),
    ),
    Mutation(
        "model: a joint voter set needs one majority",
        "consensus/replica_set.py",
        "for voters in (self.present, self.coming) if voters\n",
        "for voters in (self.coming or self.present,) if voters\n",
        ("consensus/replica_set_test.py",),
    ),
    Mutation(
        "model: a backup that compared is sure for good",
        "replication/log_shipping.py",
        "    return leading\n",
        "    return True\n",
        ("simulation/model_check_test.py::test_copies_keep_every_invariant_to_the_small_bound[copies: lost value]",),
    ),
    Mutation(
        "model: drained members go before others hold the copy",
        "replication/record_changes.py",
        "    return copies <= staying < members\n",
        "    return staying < members\n",
        (
            "simulation/model_check_test.py::test_copies_keep_every_invariant_to_the_small_bound[copies: drained and then a lost disk]",
        ),
    ),
    Mutation(
        "what a start finds is not synced",
        "storage/store.py",
        "    disk.synchronise(data_path)\n    with data_path",
        "    with data_path",
        ("storage/failing_disk_test.py::test_what_a_killed_process_wrote_and_never_synced_lasts_once_it_was_found",),
    ),
    Mutation(
        "a torn tail is cut off without a sync",
        "storage/store.py",
        "            self.disk.synchronise(data_path)\n        rows =",
        "        rows =",
        (
            "storage/failing_disk_test.py::test_a_torn_tail_that_a_start_cuts_off_is_gone_for_good_before_the_start_is_over",
        ),
    ),
    Mutation(
        "a pointer is not synced before the older generation goes",
        "storage/store.py",
        "    disk.synchronise(folder)\n    for generation",
        "    for generation",
        (
            "storage/failing_disk_test.py::test_a_pointer_renamed_by_a_killed_process_lasts_before_the_older_generation_goes",
        ),
    ),
    Mutation(
        "a row of steps is sent though a step is missing",
        "distribution/configuration_state.py",
        "        if reached != self.revision:\n            complete",
        "        if not patches:\n            complete",
        (
            "distribution/configuration_transfer_test.py::test_a_child_that_was_away_for_any_number_of_changes_catches_up",
        ),
    ),
    Mutation(
        "a primary that fails acknowledges what it could not write",
        "replication/primary.py",
        "        finally:\n            self.fail_as_unknown(undelivered)\n",
        "        finally:\n            self.send_replies(undelivered)\n",
        (
            "replication/primary_test.py::test_an_order_that_the_primary_could_not_write_is_not_answered_though_its_lease_stands",
        ),
    ),
    Mutation(
        "a stale relay parent is kept",
        "distribution/parent_selection.py",
        "        return root_age > min(timing.STALE_PARENT_AFTER + timing.PULL_INTERVAL * self.parent_depth, lease_duration / 2)\n",
        "        return False\n",
        ("distribution/parent_test.py",),
    ),
    Mutation(
        "the root is not asked while the usual parent is left out",
        "distribution/parent_selection.py",
        "        candidates = (usual, root, *(",
        "        candidates = (usual, *(",
        ("distribution/parent_test.py",),
        (("for address in order[:SPARE_PARENTS] if", "for address in order[1:SPARE_PARENTS] if"),),
    ),
    Mutation(
        "a relay says that it just heard of the root",
        "distribution/relay.py",
        " lease, addresses, same, False, self.root_age())\n",
        " lease, addresses, same, False, clock.ZERO)\n",
        ("distribution/parent_test.py", "simulation/cutoff_test.py"),
    ),
    Mutation(
        "a root that answers is left out as long as a silent parent",
        "distribution/parent_selection.py",
        "        is_answering_root = is_reachable and parent == self.followed_root\n",
        "        is_answering_root = False\n",
        ("distribution/parent_test.py",),
    ),
    Mutation(
        "a suspicion that nobody answers counts as confirmed",
        "membership/suspicion.py",
        "return Outcome(Verdict.UNCONFIRMED, ",
        "return Outcome(Verdict.CONFIRMED, ",
        ("membership/suspicion_test.py",),
    ),
    Mutation(
        "a process that stood still counts the silence of others",
        "membership/suspicion.py",
        "if now - slept_at > PAUSE_THRESHOLD:\n",
        "if False:\n",
        ("membership/standstill_test.py",),
    ),
    Mutation(
        "the rest of a broken event is joined with what another worker sends",
        "proxy/event_buffer.py",
        '        self.pending, self.is_resumed = b"", True\n',
        "        self.is_resumed = True\n",
        ("proxy/event_buffer_test.py", "simulation/call_troubles_test.py"),
    ),
    Mutation(
        "a stream is continued beyond the attempts of its route",
        "proxy/forwarder.py",
        '        if state.exhausted():\n            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route',
        '        if False:\n            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route',
        ("simulation/call_troubles_test.py", "proxy/forwarder_test.py"),
    ),
    Mutation(
        "an accept counts for a promise of an earlier incarnation",
        "consensus/witness_state.py",
        "        if message.incarnation != self.incarnation or current.promised != message.ballot:\n",
        "        if current.promised != message.ballot:\n",
        ("consensus/witness_test.py",),
    ),
    Mutation(
        "a ballot counts as chosen however long it took",
        "consensus/ballot.py",
        "    return now - started <= witness_state.LEASE and voter_set",
        "    return voter_set",
        ("consensus/witness_test.py",),
    ),
    Mutation(
        "a voter replies while its disk lacks what its memory holds",
        "consensus/witness.py",
        "        if step.writes or self.unfinished_writes or self.has_failed_write:\n",
        "        if step.writes:\n",
        ("consensus/witness_test.py",),
    ),
    Mutation(
        "founding: a first record is proposed over one that may have been chosen",
        "simulation/consensus_model.py",
        "            return newest or codec.tagged(first_record(",
        "            return codec.tagged(first_record(",
        ("simulation/model_check_test.py",),
    ),
    Mutation(
        "relay model: a new root does not wait for the leases of the one before",
        "distribution/configuration_lease.py",
        "        self.unknown_grants_end = clock.now() + lease_duration\n",
        "        self.unknown_grants_end = clock.now()\n",
        ("simulation/relay_model_test.py",),
    ),
    Mutation(
        "relay model: a lease counts from when its answer came",
        "distribution/relay.py",
        "            self.lease.extend(requested_at + reply.lease_duration)\n",
        "            self.lease.extend(clock.now() + reply.lease_duration)\n",
        ("simulation/relay_model_test.py",),
    ),
    Mutation(
        "relay model: a relay gives a lease to a child that the root has not counted",
        "distribution/relay.py",
        "            is_counted = message.address in self.lease.counted\n",
        "            is_counted = True\n",
        ("simulation/relay_model_test.py",),
    ),
    Mutation(
        "relay model: a lease counts whatever revision it was granted for",
        "distribution/relay.py",
        "        if reply.revision == self.state.revision and reply.lease_duration > clock.ZERO:\n",
        "        if reply.lease_duration > clock.ZERO:\n",
        ("simulation/relay_model_test.py",),
    ),
    Mutation(
        "relay model: an older configuration is taken",
        "distribution/configuration_state.py",
        "        if not known < update.revision:\n",
        "        if known == update.revision:\n",
        ("simulation/relay_model_test.py",),
    ),
    Mutation(
        "an order that was refused is decided anew",
        "configuration/control_state.py",
        "        self.configuration.check_refused_before(command)\n",
        "",
        ("configuration/refused_orders_test.py",),
    ),
    Mutation(
        "refused orders are not in the snapshot",
        "configuration/operator_configuration.py",
        '            fields["refused"] = self.refused.snapshot()\n',
        '            fields["refused"] = []\n',
        ("configuration/refused_orders_test.py",),
    ),
    Mutation(
        "a child of a stale parent pulls without a pause",
        "distribution/relay.py",
        "        if before != self.state.revision or (self.address not in self.lease.counted and not stale):\n",
        "        if before != self.state.revision or self.address not in self.lease.counted:\n",
        ("distribution/parent_test.py",),
    ),
    Mutation(
        "a new primary is the root before its first read",
        "node/configuration_service.py",
        "            except result.RequestError:\n                await clock.sleep(COMMIT_WAIT / 5)\n            else:\n                if not relay.root and held.has_lease():\n                    relay.become_root()\n                    self.report_root()\n",
        "            except result.RequestError:\n                await clock.sleep(COMMIT_WAIT / 5)\n            if not relay.root and held.has_lease():\n                relay.become_root()\n                self.report_root()\n",
        ("node/root_test.py",),
    ),
    Mutation(
        "a core says from its own view that a machine is in service",
        "node/drain_order.py",
        "        if self.ordered_address(name) is None:\n            await self.wait_for_newest_configuration(end)\n",
        "",
        ("node/root_test.py",),
    ),
    Mutation(
        "time bounds that cannot be met are not said",
        "node/timing_check.py",
        "    return tuple(inequality.text() for inequality in checked if not inequality.holds())\n",
        "    return ()\n",
        ("node/timing_check_test.py",),
    ),
    Mutation(
        "quota: a successor forgets the records",
        "sessions/request_quota.py",
        "        if record is None:\n            return restored\n",
        "        if True:\n            return restored\n",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "quota: a successor does not presume what the primary before it may have granted",
        "sessions/request_quota.py",
        "            window.presume(self.first_asked_at, command.run_ahead)\n",
        "",
        ("sessions/request_quota_test.py::test_takeovers_one_after_the_other_forget_no_more_together_than_one_alone",),
    ),
    Mutation(
        "quota: what is presumed is on no record",
        "sessions/request_quota.py",
        "    for step in (*window.steps, window.presumed):\n",
        "    for step in window.steps:\n",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: an edge that gets no answer lets requests run",
        "proxy/quota_client.py",
        '            self.counts["not told"] += 1\n            raise result.RequestError(',
        '            self.counts["not told"] += 1\n            return None\n            raise result.RequestError(',
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "quota: an edge that reaches no group lets requests run",
        "proxy/quota_client.py",
        '            self.counts["not told"] += 1\n            raise result.RequestError(',
        '            self.counts["not told"] += 1\n            return None\n            raise result.RequestError(',
        (
            "proxy/quota_client_test.py::test_an_edge_that_reaches_no_group_refuses_in_time_and_promises_that_nothing_ran",
        ),
    ),
    Mutation(
        "quota: a primary that restarts from its snapshot grants anew",
        "sessions/call_sessions.py",
        "        quotas = entry.QuotaRecords(self.quotas.snapshot())\n",
        "        quotas = entry.QuotaRecords(())\n",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: a primary that restarts from its log grants anew",
        "sessions/call_sessions.py",
        "        self.quotas.apply_counted(event, seen_at)\n",
        "",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "quota: a record is written however many grants are on none",
        "sessions/request_quota.py",
        " or self.unrecorded_count() + granted > self.run_ahead\n",
        "\n",
        ("sessions/request_quota_test.py::test_a_successor_forgets_no_more_than_the_primary_may_run_ahead",),
    ),
    Mutation(
        "quota: a record shows grants as older than they are",
        "sessions/request_quota.py",
        "        counts[(now - step.at) // step_length] += step.requests\n",
        "        counts[(now - step.at) // step_length + 1] += step.requests\n",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: a request that is given back is counted down twice",
        "sessions/request_quota.py",
        "            self.total -= taken\n",
        "            self.total -= 2 * taken\n",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: a request that is given back is counted down in any epoch",
        "sessions/request_quota.py",
        "        if window is not None and command.epoch == epoch and ",
        "        if window is not None and ",
        ("sessions/request_quota_test.py::test_what_an_earlier_primary_granted_is_not_taken_back_from_the_next",),
    ),
    Mutation(
        "quota: a given-back request frees the newest grant",
        "sessions/request_quota.py",
        "            oldest = self.steps.popleft()\n            taken =",
        "            oldest = self.steps.pop()\n            taken =",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: a step never expires",
        "sessions/request_quota.py",
        "        while self.steps and now - self.steps[0].at > window:\n",
        "        while False:\n",
        ("sessions/request_quota_test.py::test_a_step_that_grants_all_the_time_still_expires",),
    ),
    Mutation(
        "quota: a step expires early",
        "sessions/request_quota.py",
        "        while self.steps and now - self.steps[0].at > window:\n",
        "        while self.steps and now - self.steps[0].at > 0.8 * window:\n",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "quota: a step counts as granted with its first request",
        "sessions/request_quota.py",
        "            steps.append(GrantedStep(now, earlier + count))\n",
        "            steps.append(GrantedStep(now // step_length * step_length, earlier + count))\n",
        ("sessions/request_quota_test.py",),
    ),
    Mutation(
        "quota: the reserve is as large as the limit",
        "proxy/quota_client.py",
        "self.grant_from_reserve(queue, error // RESERVE_DIVISOR, waiters)",
        "self.grant_from_reserve(queue, limit, waiters)",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "quota: what is in a record counts as recorded before the members have it",
        "sessions/request_quota.py",
        "sum(step.requests for step in self.in_record) + granted",
        "granted",
        ("sessions/request_quota_test.py::test_a_primary_that_answers_at_once_runs_no_further_ahead_of_its_backups",),
    ),
    Mutation(
        "tenants: an edge believes the caller's word for its tenant",
        "proxy/caller_access.py",
        "            return dataclasses.replace(request, tenant=holder.name)\n",
        "            return dataclasses.replace(request, tenant=request.tenant or holder.name)\n",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "tenants: a request whose key nobody holds runs",
        "proxy/caller_access.py",
        "        raise result.RequestError(result.ResultCode.UNKNOWN_KEY)\n",
        "        return request\n",
        ("simulation/quota_campaign_test.py::test_days_of_failures_break_none_of_the_rules",),
    ),
    Mutation(
        "tenants: a key that was taken away is not looked at again before sending",
        "proxy/forwarder.py",
        "        self.access.check_unchanged(state.call, route)\n",
        "",
        ("proxy/forwarder_test.py::test_a_key_taken_away_while_its_call_waits_for_a_worker_does_not_run",),
    ),
    Mutation(
        "memory: a grant to a call that was given up in that moment is not given back",
        "proxy/memory_budget.py",
        "            if waiter.is_granted:\n                self.give_back(reservation, share, purpose, size)\n",
        "            if waiter.is_granted:\n                pass\n",
        (
            "proxy/memory_budget_test.py::"
            "test_bytes_granted_in_the_moment_in_which_the_wait_is_cancelled_go_to_the_next",
        ),
    ),
    Mutation(
        "memory: a wait that was refused still counts as waiting",
        "proxy/memory_budget.py",
        "            self.waiting_bytes -= arrived\n",
        "            pass\n",
        (MEMORY_BUDGET_TEST,),
    ),
    Mutation(
        "memory: bytes that a call gives back stay with its holder",
        "proxy/memory_budget.py",
        "        self.by_holder[reservation.holder] -= size\n        if not",
        "        if not",
        (MEMORY_BUDGET_TEST,),
    ),
    Mutation(
        "memory: the share of large requests is not looked at",
        "proxy/memory_budget.py",
        "(share.held + size <= share.limit and self.held + size <= self.limit)",
        "self.held + size <= self.limit",
        (MEMORY_BUDGET_TEST,),
    ),
    Mutation(
        "room: what a turn was expected to add stays reserved after its end",
        "sessions/turn_history.py",
        "            self.add_bytes(started.program, -self.expected.pop(attempt, 0))\n",
        "            self.expected.pop(attempt, 0)\n",
        (
            "sessions/payload_room_test.py::test_a_turn_takes_its_room_when_it_begins_and_gives_back_what_it_did_not_use",
        ),
    ),
    Mutation(
        "room: a program may hold all that there is",
        "sessions/call_sessions.py",
        "        return max(math.ceil(used / share), used + left)\n",
        "        return math.ceil(used / share)\n",
        (
            "sessions/payload_room_test.py::test_the_program_that_holds_most_is_refused_first_and_one_that_holds_little_goes_on",
        ),
    ),
    Mutation(
        "room: a machine grants what others were granted already",
        "node/payload_ledger.py",
        "max(plan.base_bytes, held.get(group, 0), grant.size if grant is not None else 0)",
        "max(plan.base_bytes, held.get(group, 0))",
        (
            "node/payload_ledger_test.py::test_the_largest_groups_that_a_machine_may_hold_together_never_exceed_its_memory",
        ),
    ),
)


def seen(one: Mutation) -> tuple[Mutation, str]:
    """Apply a break to a copy of the code and run its tests there; what came of it."""
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
            check=False,
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
