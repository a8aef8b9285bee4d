"""Short soak of real entry and agent processes under faults, with a fixed seed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import attrs

from scenarios.platform_soak import FAULTS, soak
from scenarios.soak_callers import SoakPlan
from scenarios.soak_site_faults import SITE_FAULTS

FAULTS_S = 8.0
# Faults that end processes or let them stand still.
ENDING_FAULTS = ("freeze", "kill", "terminate")
SEED = 3


def test_faults_lose_no_job_and_let_no_runs_overlap(tmp_path: Path) -> None:
    """Faults must neither lose accepted jobs nor let two runs of a task overlap."""
    run, lost = asyncio.run(soak(tmp_path, SEED, SoakPlan.small(FAULTS_S)))
    assert run.accepted
    assert run.faults
    assert run.findings(lost) == []


def test_overlapping_faults_let_no_runs_overlap(tmp_path: Path) -> None:
    """Callers sent a job again at once, and a second entry ran it beside the first."""
    plan = attrs.evolve(SoakPlan.dense(FAULTS_S), faults=ENDING_FAULTS)
    run, lost = asyncio.run(soak(tmp_path, SEED, plan))
    assert run.accepted
    assert run.faults
    assert run.findings(lost) == []


def test_every_kind_of_fault_is_registered() -> None:
    """The soak draws from the registry, so a fault missing there is never injected."""
    expected = {"kill", "terminate", "freeze", "reload"}
    expected |= {"cut_store", "silence_store", "cut_worker", "silence_worker"}
    expected |= {"lose_worker", "stall", "throttle", "reset_channels"}
    expected |= {"silence_channels", "silence_links", "slow_links", "slow_worker"}
    expected |= {"hold_links", "starve", "reset_clients", "turn_away"}
    assert set(FAULTS) == expected
    expected = {"reset_all_channels", "silence_all_channels", "silence_all_links"}
    expected |= {"kill_all", "reload_all", "stall_all", "restart_in_turn"}
    expected |= {
        "expire_declarations",
        "replace_entry",
        "replace_agent",
        "starve_entries",
        "slow_entries",
    }
    assert set(SITE_FAULTS) == expected
