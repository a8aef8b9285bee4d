"""Scheduling decisions: queue order, placement, admission and deferral of jobs."""

from __future__ import annotations

from ._admission import Rejected, admit, expected_wait_ms
from ._capacity import capacity_share, expected_capacity
from ._elsewhere import AtEntry, AtLostEntry, Here, JobsElsewhere
from ._estimates import Estimates
from ._gangs import choose_gang, gang_could_fit
from ._health import AgentHealth
from ._offering import offered_entries
from ._overload import WaitingJob, jobs_to_defer
from ._placement import AgentRoom, choose_agent
from ._waiting import (
    WaitingQueue,
    chain_ms,
    hopeless,
    latest_start_ms,
    objective_ms,
)

__all__ = [
    "AgentHealth",
    "AgentRoom",
    "AtEntry",
    "AtLostEntry",
    "Estimates",
    "Here",
    "JobsElsewhere",
    "Rejected",
    "WaitingJob",
    "WaitingQueue",
    "admit",
    "capacity_share",
    "chain_ms",
    "choose_agent",
    "choose_gang",
    "expected_capacity",
    "expected_wait_ms",
    "gang_could_fit",
    "hopeless",
    "jobs_to_defer",
    "latest_start_ms",
    "objective_ms",
    "offered_entries",
]
