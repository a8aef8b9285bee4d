"""Scheduling decisions: queue order, placement, admission and deferral of jobs."""

from __future__ import annotations

from ._admission import Rejection, admit, expected_wait_ms
from ._capacity import capacity_share, expected_capacity
from ._estimates import Estimates
from ._forwarding import PeerLoad, choose_forwarding
from ._gangs import choose_gang, gang_fits_when_idle
from ._health import AgentHealth
from ._offering import offered_entries
from ._overload import WaitingJob, jobs_to_defer
from ._peer_jobs import LiveHolder, LostHolder, NoHolder, PeerVolatileJobs
from ._placement import AgentResources, choose_agent
from ._waiting import (
    WaitingQueue,
    cannot_meet_deadline,
    critical_path_ms,
    latest_start_ms,
    objective_ms,
)

__all__ = [
    "AgentHealth",
    "AgentResources",
    "Estimates",
    "LiveHolder",
    "LostHolder",
    "NoHolder",
    "PeerLoad",
    "PeerVolatileJobs",
    "Rejection",
    "WaitingJob",
    "WaitingQueue",
    "admit",
    "cannot_meet_deadline",
    "capacity_share",
    "choose_agent",
    "choose_forwarding",
    "choose_gang",
    "critical_path_ms",
    "expected_capacity",
    "expected_wait_ms",
    "gang_fits_when_idle",
    "jobs_to_defer",
    "latest_start_ms",
    "objective_ms",
    "offered_entries",
]
