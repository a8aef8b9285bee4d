"""LOST: the record of a large job, when it is written again, blocks its shard."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, Case, now_ms, play

LARGE = "aaaa7a21d94b3600"
JOBS = [f"bbbb7a21d94b36{number:02x}" for number in range(48)]
# The record of the large job is written again after 100 s.
SUBMIT_AFTER_S = 97.5
FINISH_S = 14


def work_ms(task: str) -> int:
    """Return the run time of a task."""
    return 300 if task.startswith(LARGE) else 1_500


async def scenario(case: Case) -> list[str] | None:
    await case.start(agents=4, settle_s=1.6, slo_ms=3_000, work_ms=work_ms)
    began_ms = now_ms()
    step = {"count": 45, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}
    large = {
        "spec": "rebuild each second",
        "steps": [step],
        "repeat_count": 200,
        "first_run_ms": int(time.time() * 1_000),
        "interval_ms": 1_000,
    }
    if TROUBLE and not await case.submit(LARGE, large):
        return None
    await asyncio.sleep(began_ms / 1_000 + SUBMIT_AFTER_S - now_ms() / 1_000)
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 1_500}
    steps = [{**step, **({"after": [n - 1]} if n else {})} for n in range(4)]
    for number, job in enumerate(JOBS):
        entry = case.entries[number % len(case.entries)]
        if not await case.submit(job, {"spec": "check", "steps": steps}, entry=entry):
            return None
    await asyncio.sleep(FINISH_S + 0.3)
    broken = []
    for job in JOBS:
        answer = await case.ask("GET", job, quiet=True)
        if answer != (200, {"state": "completed"}):
            broken.append(
                f"{job}: {answer}, nothing has run for {case.idle_for(job)} ms"
            )
    return broken


play(str(Path(__file__).resolve().parent), scenario)
