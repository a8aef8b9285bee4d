"""Scheduling decisions: queue order, placement, admission and deferral of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..foundation._lazy_exports import lazy_exports

if TYPE_CHECKING:
    from ._admission import Rejection, admit, expected_wait_ms
    from ._capacity import capacity_share, expected_capacity
    from ._crashed_tasks import candidates_after_crash, choose_exclusive
    from ._estimates import Estimates
    from ._forwarding import PeerLoad, choose_forwarding
    from ._gangs import (
        GangReservations,
        choose_gang,
        fits_idle_workers,
        gang_fits_when_idle,
    )
    from ._health import AgentHealth
    from ._job_claims import HELD, Claim, Contested, JobClaims, holder_in
    from ._offering import offered_entries
    from ._overload import WaitingJob, jobs_to_defer
    from ._peer_jobs import (
        GIVEN_UP_MEMORY_MS,
        LiveHolder,
        LostHolder,
        NoHolder,
        PeerVolatileJobs,
    )
    from ._placement import AgentResources, choose_agent
    from ._waiting import (
        SizeKey,
        WaitingQueue,
        cannot_meet_deadline,
        critical_path_ms,
        latest_start_ms,
        objective_ms,
        size_key,
    )

__all__ = [
    "GIVEN_UP_MEMORY_MS",
    "HELD",
    "AgentHealth",
    "AgentResources",
    "Claim",
    "Contested",
    "Estimates",
    "GangReservations",
    "JobClaims",
    "LiveHolder",
    "LostHolder",
    "NoHolder",
    "PeerLoad",
    "PeerVolatileJobs",
    "Rejection",
    "SizeKey",
    "WaitingJob",
    "WaitingQueue",
    "admit",
    "candidates_after_crash",
    "cannot_meet_deadline",
    "capacity_share",
    "choose_agent",
    "choose_exclusive",
    "choose_forwarding",
    "choose_gang",
    "critical_path_ms",
    "expected_capacity",
    "expected_wait_ms",
    "fits_idle_workers",
    "gang_fits_when_idle",
    "holder_in",
    "jobs_to_defer",
    "latest_start_ms",
    "objective_ms",
    "offered_entries",
    "size_key",
]

# Module of each public name.
MODULES = {
    "GIVEN_UP_MEMORY_MS": "_peer_jobs",
    "HELD": "_job_claims",
    "AgentHealth": "_health",
    "AgentResources": "_placement",
    "Claim": "_job_claims",
    "Contested": "_job_claims",
    "Estimates": "_estimates",
    "GangReservations": "_gangs",
    "JobClaims": "_job_claims",
    "LiveHolder": "_peer_jobs",
    "LostHolder": "_peer_jobs",
    "NoHolder": "_peer_jobs",
    "PeerLoad": "_forwarding",
    "PeerVolatileJobs": "_peer_jobs",
    "Rejection": "_admission",
    "SizeKey": "_waiting",
    "WaitingJob": "_overload",
    "WaitingQueue": "_waiting",
    "admit": "_admission",
    "candidates_after_crash": "_crashed_tasks",
    "cannot_meet_deadline": "_waiting",
    "capacity_share": "_capacity",
    "choose_agent": "_placement",
    "choose_exclusive": "_crashed_tasks",
    "choose_forwarding": "_forwarding",
    "choose_gang": "_gangs",
    "critical_path_ms": "_waiting",
    "expected_capacity": "_capacity",
    "expected_wait_ms": "_admission",
    "fits_idle_workers": "_gangs",
    "gang_fits_when_idle": "_gangs",
    "holder_in": "_job_claims",
    "jobs_to_defer": "_overload",
    "latest_start_ms": "_waiting",
    "objective_ms": "_waiting",
    "offered_entries": "_offering",
    "size_key": "_waiting",
}

__getattr__ = lazy_exports(__name__, MODULES)
