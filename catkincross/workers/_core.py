"""The agent's core: events in, effects out, without clocks or sockets."""

from __future__ import annotations

from typing import Any

from ..dispatch import offered_entries
from ..peers import (
    AgentState,
    EndedRun,
    Ends,
    Greeting,
    Progress,
    RunningTask,
    WorkerProfile,
)
from ._effects import Effect
from ._observing import (
    apply_hold_reply,
    apply_start_outcome,
    record_departure,
    record_heartbeat,
)
from ._orders import ENTRY_HANDLERS, order_stop
from ._state import (
    EntryRow,
    HoldCall,
    HoldView,
    Registration,
    StartOutcome,
    WorkerLimits,
    WorkerState,
)

# A stop that has shown no effect is sent again after this long, in milliseconds;
# stops take at most 50 ms.
STOP_RETRY_MS = 150
# Ends that are not logged yet are told again after this long, in milliseconds; an
# append takes a few milliseconds.
ENDS_RETRY_MS = 500
# The worker's clock may be this much slower than the agent's; its leases last longer.
CLOCK_ERROR = 0.02
# Step of the fencing token after the worker has refused it as too low. Tokens start
# from the time of day, which may have been set back by seconds.
FENCING_TOKEN_STEP = 60_000
# How often the systems run if no event comes, in milliseconds.
IDLE_STEP_MS = 100


class WorkerCore:
    """Decisions on one worker.

    Args:
        limits: Times.
        fence: First fencing token: the time of day in milliseconds, so that it is
            above all tokens of earlier processes.
        host: Name of the host.
        data_centre: Data centre of the host.
    """

    def __init__(
        self, limits: WorkerLimits, fence: int, *, host: str = "", data_centre: str = ""
    ) -> None:
        self.state = WorkerState(limits, fence, host, data_centre)

    def use_limits(self, limits: WorkerLimits) -> None:
        """Take other times; the number of shards stays."""
        self.state.limits = limits
        self._update_offered()

    def step(self, now_ms: int) -> list[Effect]:
        """Run what is due; return what is to be done."""
        state = self.state
        state.now_ms = now_ms
        self._expire_shard_leases()
        self._resend_stops()
        self._resend_ends()
        for row in state.entries.values():
            self._send_state(row)
        effects, state.effects = state.effects, []
        return effects

    def next_due_ms(self) -> int:
        """Return when the next step is due without an event."""
        state = self.state
        due = state.now_ms + IDLE_STEP_MS
        for row in state.entries.values():
            if row.state_outdated:
                due = min(due, row.state_sent_ms + self._min_state_interval_ms(row))
        return due

    def registered(self, now_ms: int, content: Registration) -> bool:
        """Take a heartbeat of the worker; return whether it counts."""
        self.state.now_ms = now_ms
        return record_heartbeat(self.state, content)

    def left(self, now_ms: int, worker: str) -> None:
        """Note that the worker has left."""
        self.state.now_ms = now_ms
        record_departure(self.state, worker)

    def entry_connected(self, now_ms: int, name: str) -> None:
        """Note a new link to an entry."""
        self.state.now_ms = now_ms
        self.state.entries[name] = EntryRow(name, lease_ms=now_ms)
        self._update_offered()

    def entry_lost(self, now_ms: int, name: str) -> None:
        """Note that the link to an entry has ended."""
        self.state.now_ms = now_ms
        if self.state.entries.pop(name, None) is not None:
            self._update_offered()

    def entry_said(self, now_ms: int, name: str, content: Any) -> None:
        """Take a message of an entry."""
        self.state.now_ms = now_ms
        row = self.state.entries.get(name)
        if row is None:
            return
        if isinstance(content, Greeting):
            row.data_centre = content.data_centre
            self._update_offered()
        else:
            ENTRY_HANDLERS[type(content)](self.state, row, content)

    def leave(self, now_ms: int) -> None:
        """Take no more work."""
        self.state.now_ms = now_ms
        self.state.leaving = True
        self.state.mark_states_outdated()

    @property
    def busy(self) -> bool:
        """Whether runs go on, or ends are not in the log."""
        return bool(self.state.runs or self.state.ends)

    def hold_call(self, now_ms: int) -> HoldCall:
        """Return the next hold to send.

        Runs may have outlived an earlier agent, and the worker registers only at its
        next heartbeat; so the first holds go to whichever worker is there.
        """
        state = self.state
        state.now_ms = now_ms
        until_ms = state.lease_until_ms() if self._may_renew_lease() else None
        settling = any(run.start_unanswered for run in state.runs.values())
        wait_ms = 0 if settling or not state.born else state.limits.hold_wait_ms
        return HoldCall(state.worker, state.fence, state.ack, until_ms, wait_ms)

    def held(self, now_ms: int, sent_ms: int, call: HoldCall, view: HoldView) -> None:
        """Take the answer to a hold."""
        state = self.state
        state.now_ms = now_ms
        if call.worker in ("", state.worker):
            apply_hold_reply(state, sent_ms, call.fence, view)

    def hold_fenced(self, now_ms: int, call: HoldCall) -> None:
        """Raise the token after the worker has refused it as too low."""
        self.state.now_ms = now_ms
        if self.state.fence <= call.fence:
            self.state.fence = call.fence + FENCING_TOKEN_STEP
            self.state.note("token raised", fence=self.state.fence)

    def start_answered(
        self, now_ms: int, task: str, run: int, outcome: StartOutcome
    ) -> None:
        """Take the outcome of an order to start."""
        self.state.now_ms = now_ms
        apply_start_outcome(self.state, task, run, outcome)

    def _may_renew_lease(self) -> bool:
        state = self.state
        if not state.runs or not state.born:
            return False
        if state.now_ms < state.renewal_blocked_until_ms:
            return False
        ends = (run.stop_deadline_ms for run in state.runs.values())
        return not any(end is not None and state.now_ms >= end for end in ends)

    def _expire_shard_leases(self) -> None:
        """Stop the runs of shards whose owner's lease has ended.

        The worker's lease then lapses once if it has ended tasks of the shard `done`
        that nobody has taken note of: after the lapse the next owner is free to run
        them again.
        """
        state = self.state
        self._stop_expired_runs()
        for shard, lease in state.shard_leases.items():
            if lease.expiry_handled or state.now_ms < lease.valid_until_ms:
                continue
            lease.expiry_handled = True
            runs = [run for run in state.runs.values() if run.shard == shard]
            ends = [
                e for e in state.ends.values() if state.shard_of_task(e.task) == shard
            ]
            if not runs and not ends:
                continue
            state.note(
                "lease of owner ended",
                shard=shard,
                epoch=lease.epoch,
                entry=lease.entry,
                runs=len(runs),
                ends=len(ends),
            )
            for run in runs:
                run.stop_deadline_ms = state.now_ms + state.limits.stop_grace_ms
                order_stop(state, run, "lease of owner ended")
            if any(end.how == "done" for end in ends):
                pause = state.limits.lease_ms * (1 + CLOCK_ERROR)
                state.renewal_blocked_until_ms = state.now_ms + int(pause) + 1
                state.mark_states_outdated()

    def _stop_expired_runs(self) -> None:
        """Stop runs of volatile jobs whose entry is silent or has started anew."""
        state = self.state
        for run in list(state.runs.values()):
            if not run.expires_ms or run.stop_deadline_ms is not None:
                continue
            if state.now_ms >= run.expires_ms:
                run.stop_deadline_ms = state.now_ms + state.limits.stop_grace_ms
                order_stop(state, run, "entry silent")

    def _resend_stops(self) -> None:
        state = self.state
        for run in state.runs.values():
            if run.stop_sent_ms is None:
                continue
            if state.now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                order_stop(state, run, "repeated")

    def _resend_ends(self) -> None:
        """Tell the owners again of ends that they have not logged."""
        state = self.state
        if not state.ends or state.now_ms < state.resend_ends_ms:
            return
        state.resend_ends_ms = state.now_ms + ENDS_RETRY_MS
        by_owner: dict[str, list[EndedRun]] = {}
        for ended in state.ends.values():
            owner = state.owner_of_shard(state.shard_of_task(ended.task))
            by_owner.setdefault(owner, []).append(ended)
        for owner, ended_runs in by_owner.items():
            state.send(owner, Ends(ended_runs, state.born))

    def _update_offered(self) -> None:
        """Decide anew which entries may send tasks."""
        state = self.state
        places = {row.name: row.data_centre for row in state.entries.values()}
        offered = offered_entries(
            state.host, state.data_centre, places, state.limits.offered_entries
        )
        if offered != state.offered:
            state.offered = offered
            state.mark_states_outdated()
            state.note("offered to entries", entries=sorted(offered))

    def _min_state_interval_ms(self, row: EntryRow) -> int:
        limits = self.state.limits
        if row.run_ended:
            return limits.min_interval_run_ended_ms
        if row.name not in self.state.offered:
            return limits.far_interval_ms
        return (
            limits.min_interval_waiting_ms
            if row.wants_room
            else limits.min_interval_idle_ms
        )

    def _send_state(self, row: EntryRow) -> None:
        state = self.state
        age = state.now_ms - row.state_sent_ms
        limits = state.limits
        offered = row.name in state.offered
        near = offered or any(run.entry == row.name for run in state.runs.values())
        rest_ms = limits.state_interval_ms if near else limits.far_interval_ms
        change_due = row.state_outdated and age >= self._min_state_interval_ms(row)
        if not change_due and age < rest_ms:
            return
        row.state_outdated = row.run_ended = False
        row.state_sent_ms = state.now_ms
        profile = self._profile()
        if profile != row.profile:
            row.profile = profile
            state.send(row.name, profile)
        cpu, memory_mb, gpu = state.free_capacity()
        ready = state.ready and offered
        content = AgentState(state.now_ms, cpu, memory_mb, gpu, ready, row.done_order)
        state.send(row.name, content)
        if near and state.now_ms - row.progress_sent_ms >= limits.progress_interval_ms:
            row.progress_sent_ms = state.now_ms
            self._send_progress(row)

    def _profile(self) -> WorkerProfile:
        state = self.state
        known = state.registration
        offered_to = max(len(state.offered), 1)
        if known is None:
            return WorkerProfile("", state.born, "", "", [], 0, 0, 0, offered_to)
        return WorkerProfile(
            known.worker,
            state.born,
            known.service,
            known.data_centre,
            list(known.labels),
            known.cpu,
            known.memory_mb,
            known.gpu,
            offered_to,
        )

    def _send_progress(self, row: EntryRow) -> None:
        state = self.state
        running = [
            RunningTask(run.task, run.number, run.checkpoint, run.percent)
            for run in state.runs.values()
            if run.confirmed_ms is not None and state.owner_of_run(run) == row.name
        ]
        if running:
            state.send(row.name, Progress(running))
