"""TWICE: ends beyond the first 500 that a worker lists count as runs that are gone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, play

JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(12)]
DOWN_S = 2.5


async def scenario(case: Case) -> list[str] | None:
    await case.start(agents=2, slo_ms=2_000, work_ms=lambda task: 60)
    step = {"count": 360, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 60}
    body = {"spec": "turn checks", "steps": [step]}
    accepted = [await case.submit(job, body) for job in JOBS]
    if not all(accepted):
        return None
    await asyncio.sleep(0.3)
    if TROUBLE:
        case.event("the store answers 503 to all calls")
        case.store.busy = True
        await asyncio.sleep(DOWN_S)
        case.store.busy = False
        case.event("the store is back")
    for _ in range(40):
        await asyncio.sleep(0.25)
        listed = [len(worker.finished) for worker in case.workers]
        case.event(f"ends not taken note of: {listed}, starts: {len(case.starts)}")
    return case.twice()


play(str(Path(__file__).resolve().parent), scenario)
