"""AVAIL: an outage of the store stops all tasks of a step with `may_miss`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, Case, play

JOB = "5c0e7a21d94b36f8"
DOWN_S = 4.5


async def scenario(case: Case) -> list[str] | None:
    await case.start(agents=7, work_ms=lambda task: 10**9)
    step = {"count": 6, "cpu": 1_000, "mem_mb": 64, "long_running": True, "may_miss": 1}
    if not await case.submit(JOB, {"spec": "server", "steps": [step]}):
        return None
    await asyncio.sleep(4)
    if TROUBLE:
        case.event("the store answers 503 to all calls")
        case.store.busy = True
        await asyncio.sleep(DOWN_S)
        case.store.busy = False
    await asyncio.sleep(6)
    ends = [end for worker in case.workers for end in worker.ended]
    stopped = [f"{end['task']} {end['how']} on {end['worker']}" for end in ends]
    return stopped if len(stopped) > 1 else []


play(str(Path(__file__).resolve().parent), scenario)
