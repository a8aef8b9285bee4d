"""Ejection of workers on which runs fail.

Load pattern: a few workers fail every task while their heartbeats are good, and at
other times jobs that can never succeed fail on every worker.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

# A worker is ejected after failed runs of this many different jobs with no successful
# run in between. A single bad job ejects no worker.
FAILED_JOBS_TO_EJECT = 2
# Duration of the first ejection, in milliseconds. Each further one lasts twice as long,
# up to the maximum.
FIRST_EJECTION_MS = 1_500
MAX_EJECTION_MS = 6_000
# Largest share of the workers that may be ejected or on probation at once.
MAX_EJECTED_SHARE = 0.5

# Name of a task and number of its run.
RunKey = tuple[str, int]


@attrs.define
class _FailureHistory:
    """Failures of a worker since its last successful run.

    Attributes:
        failed_jobs: IDs of the jobs of which a run failed.
        ejected_until_ms: End of the newest ejection, on the owner's clock in
            milliseconds; 0 if there was none.
        ejections: Number of ejections.
        probing: Whether the worker was ejected, and gets one task at a time after it.
        probe: Newest run that was sent as such a task; None before the first, and once
            it has failed.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_ms: int = 0
    ejections: int = 0
    probing: bool = False
    probe: RunKey | None = None


@attrs.define
class AgentHealth:
    """Decides which agents' workers may get tasks, by the results of their runs.

    Attributes:
        histories: Failures since the last successful run, by agent; agents without
            failures have no entry.
    """

    histories: dict[str, _FailureHistory] = attrs.field(factory=dict)

    def record_success(self, agent: str) -> None:
        """Record a run that ended `done`; it clears the agent's failures."""
        self.histories.pop(agent, None)

    def record_failure(
        self, agent: str, job_id: str, now_ms: int, agent_count: int
    ) -> bool:
        """Record a run that failed or made no progress.

        Args:
            agent: Name of the agent.
            job_id: Job of the run.
            now_ms: Current time on the process's clock, in milliseconds.
            agent_count: Number of known agents.

        Returns:
            Whether this failure ejects the worker.
        """
        history = self.histories.setdefault(agent, _FailureHistory())
        history.failed_jobs.add(job_id)
        history.probe = None
        if (
            len(history.failed_jobs) < FAILED_JOBS_TO_EJECT
            or history.ejected_until_ms > now_ms
        ):
            return False
        ejected = sum(1 for other in self.histories.values() if other.probing)
        if not history.probing and ejected + 1 > agent_count * MAX_EJECTED_SHARE:
            return False
        duration_ms = min(FIRST_EJECTION_MS << history.ejections, MAX_EJECTION_MS)
        history.ejected_until_ms = now_ms + duration_ms
        history.ejections += 1
        history.probing = True
        return True

    def accepts_tasks(
        self, agent: str, now_ms: int, has_run: Callable[[RunKey], bool]
    ) -> bool:
        """Whether a task may be sent to an agent's worker now.

        After an ejection one task at a time is sent, until a run succeeds.

        Args:
            agent: Name of the agent.
            now_ms: Current time on the process's clock, in milliseconds.
            has_run: Whether the agent has, or may have, a run. The probe is over with
                its run, however that ends.
        """
        history = self.histories.get(agent)
        if history is None or not history.probing:
            return True
        if now_ms < history.ejected_until_ms:
            return False
        return history.probe is None or not has_run(history.probe)

    def record_send(self, agent: str, run: RunKey) -> None:
        """Record that a run was sent."""
        history = self.histories.get(agent)
        if history is not None and history.probing:
            history.probe = run
