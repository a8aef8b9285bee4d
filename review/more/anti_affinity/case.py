"""LOST: tasks that are done keep their place under `anti_affinity`."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, Case, play

JOB = "5c0e7a21d94b36f8"
FINISH_S = 14
NOTHING_RUNS_MS = 3_000


async def scenario(case: Case) -> list[str] | None:
    await case.start(agents=7, work_ms=lambda task: 1_000)
    step = {
        "count": 7,
        "cpu": 3_100,
        "mem_mb": 64,
        "estimate_ms": 1_000,
        "anti_affinity": 1,
    }
    if not await case.submit(JOB, {"spec": "rebuild", "steps": [step]}):
        return None
    await asyncio.sleep(0.4)
    if TROUBLE:
        busy = [n for n, worker in enumerate(case.workers) if worker.running]
        if len(busy) != len(case.workers):
            return None
        case.event("side-0 is lost for good, with its minion")
        case.agents[0].send(signal.SIGKILL)
        case.workers[0].lose()
    state, idle_ms = await case.watch_job(JOB, FINISH_S + 20)
    if state == "completed":
        return []
    if idle_ms < NOTHING_RUNS_MS:
        return None
    idle = sum(not worker.running for worker in case.workers if worker.alive)
    return [
        f"{FINISH_S + 20} s after the end of the traffic the job is shown as {state};"
        f" nothing of it has run for {idle_ms} ms while {idle} minions are idle"
    ]


play(str(Path(__file__).resolve().parent), scenario)
