"""Ejection of workers on which runs fail.

Load pattern: a few workers fail every task while their heartbeats are good, and at
other times jobs that can never succeed fail on every worker.
"""

from __future__ import annotations

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


@attrs.define
class _FailureHistory:
    """Failures of a worker since its last successful run.

    Attributes:
        failed_jobs: IDs of the jobs of which a run failed.
        ejected_until_ms: End of the newest ejection, on the owner's clock in
            milliseconds; 0 if there was none.
        ejections: Number of ejections.
        probing: Whether the worker was ejected, and gets one task at a time after it.
        probe_sent: Whether that task is in flight.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_ms: int = 0
    ejections: int = 0
    probing: bool = False
    probe_sent: bool = False


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
        history.probe_sent = False
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

    def accepts_tasks(self, agent: str, now_ms: int) -> bool:
        """Whether a task may be sent to an agent's worker now.

        After an ejection one task at a time is sent, until a run succeeds.
        """
        history = self.histories.get(agent)
        if history is None or not history.probing:
            return True
        return now_ms >= history.ejected_until_ms and not history.probe_sent

    def record_send(self, agent: str) -> None:
        """Record that a task was sent."""
        history = self.histories.get(agent)
        if history is not None and history.probing:
            history.probe_sent = True

    def record_no_start(self, agent: str) -> None:
        """Record that a task did not start, or that its agent or worker was lost.

        The next task may then be sent as a probe.
        """
        history = self.histories.get(agent)
        if history is not None:
            history.probe_sent = False
