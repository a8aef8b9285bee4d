"""TWICE: a rewritten job record hides ends that became durable meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, now_ms, play

JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(24)]
KEEP_S = 300
# The system writes the record of a job again at this age, or up to 1 s later.
REWRITE_S = 101.4
# A nightly rebuild of many parts: each of these steps waits for the one before it.
STEPS = [
    {
        "count": 20,
        "cpu": 250,
        "mem_mb": 64,
        "estimate_ms": 1_200,
        **({"after": [number - 1]} if number else {}),
    }
    for number in range(60)
]


def work_ms(task: str) -> int:
    """Return the run time of a task: 150 to 2,240 ms, spread evenly over a step."""
    job, _, step, index = task.split(".")
    place = int(index) * 7 + int(job[-2:], 16) * 5 + int(step) * 3
    return 150 + place % 20 * 110


async def scenario(case: Case) -> list[str] | None:
    await case.start(keep_s=KEEP_S, work_ms=work_ms, settle_s=1.6)
    body = {"spec": "nightly rebuild", "steps": STEPS}
    for job in JOBS:
        if not await case.submit(job, body):
            return None
    await asyncio.sleep(REWRITE_S)
    states = [await case.ask("GET", job) for job in JOBS]
    if any(state != (200, {"state": "running"}) for state in states):
        return None
    if TROUBLE:
        owners = [case.owner_of(job) for job in JOBS]
        owner = max(case.entries, key=owners.count)
        case.event(f"SIGKILL of {owner.name}")
        await owner.end()
        await asyncio.sleep(0.3)
        await owner.start()
    end = now_ms() + 6_000
    while now_ms() < end:
        await asyncio.sleep(0.25)
    return case.twice()


play(str(Path(__file__).resolve().parent), scenario)
