"""A short soak of the platform's daemons under faults, with a fixed seed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from scenarios.platform_soak import FAULTS, soak

SECONDS = 8.0
SEED = 3


def test_promises_hold_under_faults_of_real_processes(tmp_path: Path) -> None:
    """Accepted jobs must end, and no task may run twice at a time, whatever fails."""
    run, lost = asyncio.run(soak(tmp_path, SEED, SECONDS))
    assert run.accepted
    assert run.faults
    assert lost == []
    assert run.overlapping() == []


def test_every_kind_of_fault_is_registered() -> None:
    """A fault that is not registered is never played."""
    expected = {"kill", "terminate", "freeze", "reload"}
    expected |= {"cut_store", "silence_store", "cut_worker", "silence_worker"}
    assert set(FAULTS) == expected
