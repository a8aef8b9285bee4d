"""Ejection of workers that fail what they start.

Load pattern: a few workers fail every task while their heartbeats are good, and at
other times jobs that can never be done fail on every worker.
"""

from __future__ import annotations

import attrs

# Failed runs of this many different jobs in a row, with no run done between them,
# eject a worker; a single bad job does not.
JOBS_TO_EJECT = 2
# Time without work after an ejection, in milliseconds, doubled with each further one.
EJECTION_MS = 1_500
MAX_EJECTION_MS = 6_000
# Largest share of the workers that may be ejected at once.
MAX_EJECTED_SHARE = 0.5


@attrs.define
class _Record:
    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_ms: int = 0
    ejections: int = 0
    probing: bool = False
    probe_sent: bool = False


@attrs.define
class AgentHealth:
    """What the ends of runs say of each agent's worker."""

    records: dict[str, _Record] = attrs.field(factory=dict)

    def done(self, agent: str) -> None:
        """A run ended `done`."""
        self.records.pop(agent, None)

    def failed(self, agent: str, job_id: str, now_ms: int, agents: int) -> bool:
        """A run failed or stood still.

        Args:
            agent: The agent.
            job_id: Job of the run.
            now_ms: Time.
            agents: Number of agents known.

        Returns:
            Whether the worker is ejected by it.
        """
        found = self.records.setdefault(agent, _Record())
        found.failed_jobs.add(job_id)
        found.probe_sent = False
        if len(found.failed_jobs) < JOBS_TO_EJECT or found.ejected_until_ms > now_ms:
            return False
        out = sum(1 for other in self.records.values() if other.probing)
        if not found.probing and out + 1 > agents * MAX_EJECTED_SHARE:
            return False
        length = min(EJECTION_MS << found.ejections, MAX_EJECTION_MS)
        found.ejected_until_ms = now_ms + length
        found.ejections += 1
        found.probing = True
        return True

    def usable(self, agent: str, now_ms: int) -> bool:
        """Whether a task may be sent; after an ejection one at a time."""
        found = self.records.get(agent)
        if found is None or not found.probing:
            return True
        return now_ms >= found.ejected_until_ms and not found.probe_sent

    def sent(self, agent: str) -> None:
        """A task was sent."""
        found = self.records.get(agent)
        if found is not None and found.probing:
            found.probe_sent = True

    def unanswered(self, agent: str) -> None:
        """A task that was sent did not start, or its agent was lost."""
        found = self.records.get(agent)
        if found is not None:
            found.probe_sent = False
