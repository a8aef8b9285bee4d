"""Short soak of real processes with workers that follow the protocol strictly."""

from __future__ import annotations

import asyncio
from pathlib import Path

from scenarios.soak_callers import SoakPlan
from scenarios.soak_workers import DAEMON_KINDS, FAULTS, WorkerSoak, find_problems, soak

FAULTS_S = 5.0
SEED = 5
KINDS = (*sorted(set(FAULTS) - {"foreign_heartbeat", "late_grants"}), *DAEMON_KINDS)


def test_faults_of_workers_let_no_runs_overlap(tmp_path: Path) -> None:
    """Workers that leave calls unanswered or are replaced must run no task twice."""
    plan = SoakPlan(entries=2, agents=3, seconds=FAULTS_S)
    run = WorkerSoak(tmp_path, SEED, plan, kinds=KINDS, load=0.2)
    asyncio.run(soak(run))
    assert run.outcomes["200"]
    assert run.faults
    assert find_problems(run) == []
