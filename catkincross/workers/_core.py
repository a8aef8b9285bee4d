"""Core of the agent: takes events, returns effects, and uses no clock or socket."""

from __future__ import annotations

from typing import Any

from ..peers import STORE_SOURCE, Ends
from ._crashes import agent_was_paused, crashes_by_owner
from ._effects import Effect, StartRun
from ._entry_info import EntryInfo
from ._limits import WorkerLimits
from ._links import (
    LinkChanges,
    link_changes,
    reconnect_pause_ms,
    suspect_entry,
    update_offered,
)
from ._observing import (
    apply_renewal_reply,
    apply_start_outcome,
    run_of_order,
    watch_silence,
)
from ._orders import ENTRY_HANDLERS, order_stop
from ._registration import (
    find_candidate,
    next_probe,
    note_replacement,
    record_departure,
    record_heartbeat,
    register_worker,
)
from ._reporting import next_state_ms, send_states
from ._state import WorkerState
from ._worker_messages import (
    LeaseRenewal,
    LeaseRenewalReply,
    Registration,
    StartOutcome,
)

# Interval at which a stop is sent again while the run is in progress; a stop takes at
# most 50 ms.
STOP_RETRY_MS = 150
# Interval at which unacknowledged ends are sent again; an append takes a few
# milliseconds.
ENDS_RETRY_MS = 500
# Amount added to a fencing token that the worker rejected as too low. Tokens start at
# the time of day in milliseconds, and the clock may have been set back by seconds.
FENCING_TOKEN_STEP = 60_000
# How long a silent worker may wait for a run to end before it answers a renewal. The
# agent waits that much longer for the answer, which may be late.
SILENT_WAIT_MS = 100
# Longest time between two steps while no event arrives.
IDLE_STEP_MS = 100
# A longer time between two steps means that the process or its host was paused.
MAX_STEP_GAP_MS = 250
# After a pause, runs whose time has expired are kept for this long: the agent sends its
# state at once, and an entry that is there answers within a few milliseconds. The
# worker's lease is not renewed for such a run, so it ends no later than it would have
# if the pause had lasted.
RESUME_GRACE_MS = 100


class WorkerCore:
    """State machine of the agent of one worker.

    Events are passed in by method calls; `step` runs what is due and returns the
    effects. Times passed in are on the agent's clock, in milliseconds.

    Args:
        limits: Durations and sizes that bound the agent.
        fence: First fencing token: the time of day in milliseconds, so that it is
            above all tokens of earlier agent processes.
        host: Name of the host.
        data_centre: Data centre of the host.
    """

    def __init__(
        self, limits: WorkerLimits, fence: int, *, host: str = "", data_centre: str = ""
    ) -> None:
        self.state = WorkerState(limits, fence, host, data_centre)

    def update_limits(self, limits: WorkerLimits) -> None:
        """Replace the limits after a reload; the caller keeps the number of shards."""
        self.state.limits = limits
        update_offered(self.state)

    def step(self, now_ms: int) -> list[Effect]:
        """Run what is due and return the effects to carry out."""
        state = self.state
        state.begin(now_ms)
        if agent_was_paused(state):
            for run in state.runs.values():
                run.may_have_lapsed = True
        if state.stepped_ms is not None and now_ms - state.stepped_ms > MAX_STEP_GAP_MS:
            state.resumed_ms = now_ms
            state.note("resumed", paused_ms=now_ms - state.stepped_ms)
        state.stepped_ms = now_ms
        self._note_overdue_heartbeat()
        watch_silence(state)
        self._expire_shard_leases()
        self._watch_ends_without_owner()
        self._resend_stops()
        self._resend_ends()
        send_states(state)
        effects, state.effects = state.effects, []
        return effects

    def next_step_ms(self) -> int:
        """Return the time at which the next step is due if no event comes."""
        due_ms = self.state.now_ms + IDLE_STEP_MS
        resumed_ms = self.state.resumed_ms + RESUME_GRACE_MS
        for run in self.state.runs.values():
            if run.expires_ms and run.stop_deadline_ms is None:
                due_ms = min(due_ms, max(run.expires_ms, resumed_ms))
        state_ms = next_state_ms(self.state)
        return due_ms if state_ms is None else min(due_ms, state_ms)

    def handle_heartbeat(self, now_ms: int, new_registration: Registration) -> bool:
        """Record a heartbeat of the worker; return False if it was ignored."""
        self.state.now_ms = now_ms
        return record_heartbeat(self.state, new_registration)

    def handle_worker_left(self, now_ms: int, worker: str) -> None:
        """Remove the worker that announced its departure."""
        self.state.now_ms = now_ms
        record_departure(self.state, worker)

    def handle_entry_connected(self, now_ms: int, name: str) -> None:
        """Add an entry whose link was opened."""
        self.state.now_ms = now_ms
        self.state.entries[name] = EntryInfo(name, lease_received_ms=now_ms)

    def handle_entry_lost(self, now_ms: int, name: str) -> None:
        """Remove an entry whose link has closed, and what it announced."""
        self.state.now_ms = now_ms
        entry_info = self.state.entries.pop(name, None)
        if entry_info is None:
            return
        self.state.directory.forget(name)
        if entry_info.unwanted_since_ms is None:
            pause_ms = reconnect_pause_ms(self.state, entry_info)
            suspect_entry(self.state, name, pause_ms=pause_ms)
        else:
            update_offered(self.state)

    def handle_connect_failed(self, now_ms: int, name: str) -> None:
        """Record that no link to an entry could be opened."""
        self.state.now_ms = now_ms
        suspect_entry(self.state, name)

    def update_store_entries(
        self, now_ms: int, entries: dict[str, str], owners: dict[int, str]
    ) -> None:
        """Replace the entries that the store names.

        Args:
            now_ms: Current time on the agent's clock, in milliseconds.
            entries: Data centre by address.
            owners: Address of the owner by shard.
        """
        self.state.now_ms = now_ms
        self.state.store_owners = owners
        if self.state.directory.replace(STORE_SOURCE, entries):
            update_offered(self.state)

    def link_changes(self, now_ms: int) -> LinkChanges:
        """Return which links to entries to open and to close now."""
        self.state.now_ms = now_ms
        return link_changes(self.state)

    def handle_entry_message(self, now_ms: int, name: str, message: Any) -> None:
        """Handle a message from an entry; ignore it if no link to the entry is open."""
        self.state.now_ms = now_ms
        entry_info = self.state.entries.get(name)
        if entry_info is not None:
            ENTRY_HANDLERS[type(message)](self.state, entry_info, message)

    def leave(self, now_ms: int) -> None:
        """Accept no more runs; runs in progress continue."""
        self.state.now_ms = now_ms
        self.state.leaving = True
        self.state.mark_states_outdated()

    @property
    def busy(self) -> bool:
        """Whether runs are in progress, or ends or crashes are unacknowledged."""
        state = self.state
        return bool(state.runs or state.ends or state.crash_reports)

    def next_renewal(self, now_ms: int) -> LeaseRenewal:
        """Return the next lease renewal to send.

        The worker registers with a new agent process only at its next heartbeat, but
        runs of the earlier process may still be there. Renewals until then name no
        worker, so any worker on the host answers them. While the worker gives no
        answer, every other renewal names another process that has sent a heartbeat.
        """
        state = self.state
        state.begin(now_ms)
        candidate = next_probe(state)
        state.probed = bool(candidate)
        if candidate:
            # The call only shows which process is there; its lists may be of another
            # process than those before, so it acknowledges no ends.
            return LeaseRenewal(candidate, state.fence, 0, None, 0)
        ack = self._ends_to_acknowledge()
        state.unanswered_renewals += 1
        until_ms = state.request_lease() if self._may_renew_lease() else None
        start_pending = any(run.start_unanswered for run in state.runs.values())
        wait_ms = state.limits.renewal_wait_ms
        if start_pending or not state.worker_incarnation or state.has_orphaned_runs:
            wait_ms = 0
        elif state.worker_silent:
            wait_ms = SILENT_WAIT_MS
        return LeaseRenewal(state.worker, state.fence, ack, until_ms, wait_ms)

    def handle_renewal_reply(
        self, now_ms: int, sent_ms: int, renewal: LeaseRenewal, reply: LeaseRenewalReply
    ) -> None:
        """Apply the answer to a lease renewal.

        It is ignored if the worker has changed, or if a later answer was applied while
        this one was under way: its lists are out of date.

        Args:
            now_ms: When the answer arrived.
            sent_ms: When the renewal was sent.
            renewal: The renewal.
            reply: The answer.
        """
        state = self.state
        state.now_ms = now_ms
        # A wall clock may have been set back, so incarnations have no order.
        outdated = sent_ms < state.reply_received_ms and (
            reply.worker_incarnation != state.worker_incarnation
            or reply.clock_ms <= state.reply_clock_ms
        )
        if outdated:
            return
        candidate = find_candidate(state, renewal.worker, reply.worker_incarnation)
        if candidate is None and renewal.worker not in ("", state.worker):
            return
        state.reply_received_ms = now_ms
        state.reply_clock_ms = reply.clock_ms
        state.unanswered_renewals = 0
        if candidate is not None:
            note_replacement(state, candidate)
        apply_renewal_reply(state, sent_ms, renewal.fence, reply)
        if candidate is not None:
            register_worker(state, candidate.registration, candidate.heartbeat_ms)

    def handle_renewal_unanswered(self, renewal: LeaseRenewal) -> None:
        """Raise the fencing token after a renewal without an answer.

        The worker may carry it out seconds later, and count the lease from then on. It
        rejects the renewal once it has got a call with the higher token.
        """
        if renewal.until_ms is not None and self.state.fence == renewal.fence:
            self.state.fence += 1

    def handle_renewal_fenced(self, now_ms: int, renewal: LeaseRenewal) -> None:
        """Raise the fencing token after the worker rejected it as too low."""
        self.state.now_ms = now_ms
        if self.state.fence <= renewal.fence:
            self.state.fence = renewal.fence + FENCING_TOKEN_STEP
            self.state.note("token raised", fence=self.state.fence)

    def is_wanted(self, order: StartRun) -> bool:
        """Whether the run for which a start order was made has not ended yet."""
        return run_of_order(self.state, order) is not None

    def handle_start_outcome(
        self, now_ms: int, order: StartRun, outcome: StartOutcome
    ) -> None:
        """Apply the outcome of an order to start a run."""
        self.state.now_ms = now_ms
        apply_start_outcome(self.state, order, outcome)

    def _ends_to_acknowledge(self) -> int:
        """Return the number up to which the worker may forget the ends that it listed.

        It is 0 if the newest answer listed none, or if a renewal since has got no
        answer: the next process of the worker may have begun, and it must not forget
        ends of its own by the numbers of the earlier one.
        """
        state = self.state
        if not state.listed_ends or state.unanswered_renewals:
            return 0
        return state.ack

    def _may_renew_lease(self) -> bool:
        state = self.state
        if not state.runs or not state.worker_incarnation:
            return False
        return not state.worker_silent and not state.awaits_lapse

    def _note_overdue_heartbeat(self) -> None:
        """Log once that the newest heartbeat is too old to start runs by it."""
        state = self.state
        if state.registration is None or state.heartbeat_overdue:
            return
        age_ms = state.now_ms - state.heartbeat_ms
        if age_ms >= state.limits.heartbeat_valid_ms:
            state.heartbeat_overdue = True
            state.note("heartbeat overdue", worker=state.worker, age_ms=age_ms)
            state.mark_states_outdated()

    def _expire_shard_leases(self) -> None:
        """Stop the runs of shards whose owner's lease has expired."""
        state = self.state
        self._stop_expired_runs()
        for shard, lease in state.shard_leases.items():
            if lease.expiry_handled or state.now_ms < lease.valid_until_ms:
                continue
            lease.expiry_handled = True
            runs = [run for run in state.runs.values() if run.shard == shard]
            ends = [
                ended_run
                for ended_run in state.ends.values()
                if state.shard_of_task(ended_run.task) == shard
            ]
            if not runs and not ends and state.ends_complete:
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
                run.stop_deadline_ms = lease.valid_until_ms + state.limits.stop_grace_ms
                order_stop(state, run, "lease of owner ended")

    def _watch_ends_without_owner(self) -> None:
        """Tell the entries, and log, when ends begin or cease to block renewals."""
        state = self.state
        blocks = state.end_awaits_lapse
        if blocks == state.ends_block_renewal:
            return
        state.ends_block_renewal = blocks
        state.mark_states_outdated()
        state.note(
            "lease not renewed for ends" if blocks else "ends no longer block lease",
            ends=len(state.ends),
            complete=state.ends_complete,
            lapsed=state.now_ms >= state.lease_end_ms,
        )

    def _stop_expired_runs(self) -> None:
        """Stop runs of volatile jobs and orphaned runs whose time has expired.

        A volatile job's run expires if its entry is silent or has restarted. After a
        pause of this process the silence may have been its own.
        """
        state = self.state
        if state.now_ms < state.resumed_ms + RESUME_GRACE_MS:
            return
        for run in list(state.runs.values()):
            if not run.expires_ms or run.stop_deadline_ms is not None:
                continue
            if state.now_ms >= run.expires_ms:
                run.stop_deadline_ms = run.expires_ms + state.limits.stop_grace_ms
                order_stop(state, run, "entry silent")
                state.mark_states_outdated()

    def _resend_stops(self) -> None:
        state = self.state
        for run in state.runs.values():
            if run.stop_sent_ms is None:
                continue
            if state.now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                order_stop(state, run, "repeated")

    def _resend_ends(self) -> None:
        """Send unacknowledged ends and crashes to the owners again."""
        state = self.state
        unacknowledged = state.ends or state.crash_reports
        if not unacknowledged or state.now_ms < state.resend_ends_ms:
            return
        state.resend_ends_ms = state.now_ms + ENDS_RETRY_MS
        by_owner = crashes_by_owner(state)
        for ended in state.ends.values():
            owner = state.owner_of_shard(state.shard_of_task(ended.task))
            by_owner.setdefault((owner, 0), []).append(ended)
        for (owner, incarnation), ended_runs in by_owner.items():
            ends = Ends(ended_runs, state.worker_incarnation, incarnation)
            state.send(owner, ends)
