"""Registration of the worker: its heartbeats, its departure and its next process."""

from __future__ import annotations

from ._state import WorkerState
from ._worker_messages import Candidate, Registration

# Largest number of other processes whose heartbeats are kept.
MAX_CANDIDATES = 4


def record_heartbeat(state: WorkerState, new: Registration) -> bool:
    """Record a heartbeat of the worker.

    A heartbeat never ends runs, and does not replace the registered worker unless the
    worker's own lists are known to be those of the sender. Heartbeats of other
    processes are kept as candidates until a call shows which process is there.

    Returns:
        False for a heartbeat that is not in use: of a worker that has left, one that
        arrived after a later heartbeat, or one of a candidate.
    """
    old = state.registration
    if new.worker_incarnation and state.departed == new.process:
        state.note("heartbeat of a worker that left", worker=new.worker)
        return False
    if old is not None and old.process == new.process:
        if new.sequence < old.sequence:
            return False
    elif not _is_of_listed_process(state, new):
        _keep_candidate(state, new)
        return False
    register_worker(state, new, state.now_ms)
    return True


def _is_of_listed_process(state: WorkerState, new: Registration) -> bool:
    """Whether a heartbeat is of the process whose lists were read last.

    Without lists and a registered worker, any heartbeat is taken for that.
    """
    old = state.registration
    listed = state.worker_incarnation
    if old is None:
        return not (listed and new.worker_incarnation) or (
            listed == new.worker_incarnation
        )
    return (
        listed != 0
        and listed == new.worker_incarnation
        and listed != old.worker_incarnation
    )


def _keep_candidate(state: WorkerState, new: Registration) -> None:
    """Keep the heartbeat of a process that may be the next worker."""
    _expire_candidates(state)
    earlier = state.candidates.pop(new.process, None)
    if earlier is None:
        state.note(
            "heartbeat of another worker",
            worker=new.worker,
            born=new.worker_incarnation,
        )
    elif new.sequence < earlier.registration.sequence:
        new = earlier.registration
    if len(state.candidates) == MAX_CANDIDATES:
        del state.candidates[next(iter(state.candidates))]
    state.candidates[new.process] = Candidate(new, state.now_ms)


def _expire_candidates(state: WorkerState) -> None:
    """Forget candidates whose heartbeats have stopped."""
    state.candidates = {
        process: candidate
        for process, candidate in state.candidates.items()
        if state.now_ms - candidate.heartbeat_ms < state.limits.heartbeat_valid_ms
    }


def next_probe(state: WorkerState) -> str:
    """Return the candidate to call instead of the registered worker; empty for none.

    Candidates are called in turn, and only while the registered worker leaves calls
    unanswered.
    """
    if not state.candidates or not state.registration or not state.unanswered_renewals:
        return ""
    _expire_candidates(state)
    if state.probed or not state.candidates:
        return ""
    process, candidate = next(iter(state.candidates.items()))
    state.candidates[process] = state.candidates.pop(process)
    return candidate.registration.worker


def find_candidate(
    state: WorkerState, called: str, worker_incarnation: int
) -> Candidate | None:
    """Return the candidate that has answered a call; None if it was another process.

    Args:
        state: State of the agent.
        called: Identity of the worker that the call named; empty for any.
        worker_incarnation: Start of the process that answered, in milliseconds since
            1970.
    """
    old = state.registration
    if called == state.worker and old is not None:
        if old.worker_incarnation in (0, worker_incarnation):
            return None
    for candidate in state.candidates.values():
        heartbeat = candidate.registration
        if heartbeat.worker == called:
            if heartbeat.worker_incarnation in (0, worker_incarnation):
                return candidate
    if called not in ("", state.worker):
        return None
    for candidate in state.candidates.values():
        if candidate.registration.worker_incarnation == worker_incarnation:
            return candidate
    return None


def note_replacement(state: WorkerState, candidate: Candidate) -> None:
    """Record until when a draining worker that is replaced may go on with runs."""
    old = state.registration
    if old is not None and old.draining:
        if old.worker != candidate.registration.worker:
            state.drained_lease_end_ms = state.lease_end_ms


def register_worker(state: WorkerState, new: Registration, heartbeat_ms: int) -> None:
    """Use a heartbeat of the worker that is there, which arrived at `heartbeat_ms`."""
    old = state.registration
    if old is None or old.process != new.process:
        state.note(
            "worker registered",
            worker=new.worker,
            born=new.worker_incarnation,
            earlier_worker=old.worker if old is not None else "",
            listed_born=state.worker_incarnation,
            runs=len(state.runs),
        )
        state.candidates.pop(new.process, None)
    if old is None or old.draining != new.draining:
        state.note("worker state", worker=new.worker, draining=new.draining)
    if old is not None and old.capacity != new.capacity:
        state.note(
            "worker capacity",
            worker=new.worker,
            old=list(old.capacity),
            new=list(new.capacity),
            in_use=list(state.capacity_in_use()),
        )
    if not _is_repeated(old, new):
        state.heartbeat_ms = heartbeat_ms
        state.heartbeat_overdue = False
    incarnation = new.worker_incarnation or state.worker_incarnation
    if new.draining:
        state.draining_incarnation = incarnation
    elif state.draining_incarnation == incarnation:
        state.draining_incarnation = 0
    state.registration = new
    state.unexpected_departure_ms = None
    state.mark_states_outdated()


def _is_repeated(old: Registration | None, new: Registration) -> bool:
    """Whether a heartbeat is a copy of the newest one, which tells nothing new."""
    return old is not None and (
        (old.process, old.sequence) == (new.process, new.sequence)
    )


def record_departure(state: WorkerState, worker: str) -> None:
    """Remove a worker that announced its departure, and all its runs.

    The departure does not name the process, and may be a late one of an earlier
    process. Runs are kept until the worker's next lists show which go on, or until its
    lease must have lapsed. A worker that drains and has no runs has left.
    """
    for process in list(state.candidates):
        if process[0] == worker:
            del state.candidates[process]
    registration = state.registration
    if registration is None or registration.worker != worker:
        return
    state.note(
        "worker left",
        worker=worker,
        draining=registration.draining,
        runs=len(state.runs),
    )
    state.departed = worker, registration.worker_incarnation
    state.registration = None
    if not registration.draining or state.runs:
        state.unexpected_departure_ms = state.now_ms
    reset_ends(state, 0)


def reset_ends(state: WorkerState, worker_incarnation: int) -> None:
    """Restart the numbering of ends for another incarnation of the worker.

    Args:
        state: State of the agent.
        worker_incarnation: Start of the worker process, in milliseconds since 1970; 0
            until it has answered.
    """
    state.ends.clear()
    state.ack = state.highest_end = 0
    state.worker_incarnation = worker_incarnation
    state.lists_complete = False
    state.lapsed_ends.clear()
    state.mark_states_outdated()
