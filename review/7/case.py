"""Jobs wait for ever behind 24 tasks that fit nowhere, on a service with much room."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.second.rig import Rig, route, run  # noqa: E402

PREFIX = "/lohu930/"
WORKERS, CPU = 8, 32_000
SERVICES, SERVICE_CPU = 80, 100
JOBS = 20
FINISH_S, IDLE_S = 14.0, 3.0


async def body(rig: Rig) -> list[str]:
    """Lose a minion for good, then hand jobs in that the others have room for."""
    await rig.start(entries=2, workers=WORKERS, routes=[route(PREFIX)], cpu=CPU)
    lasting = {
        "spec": json.dumps({"ms": 0, "how": "done"}),
        "long_running": True,
        "steps": [
            {
                "count": WORKERS,
                "cpu": SERVICE_CPU,
                "mem_mb": 64,
                "estimate_ms": 1_000,
                "anti_affinity": 1,
                "long_running": True,
            }
        ],
    }
    for _ in range(SERVICES):
        if not await rig.submit(PREFIX, rig.job_id(), lasting):
            raise RuntimeError("a lasting job was not accepted")
    for _ in range(200):
        if sum(len(worker.runs) for worker in rig.workers) == SERVICES * WORKERS:
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the lasting jobs have not started")
    if rig.trouble:
        rig.workers[-1].crash()
    # The minion counts as lost after 5 s.
    await asyncio.sleep(8.0)
    spec = json.dumps({"ms": 200, "how": "done"})
    steps = [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}]
    accepted = []
    for _ in range(JOBS):
        job = rig.job_id()
        if await rig.submit(PREFIX, job, {"spec": spec, "steps": steps}):
            accepted.append(job)
    rig.note(f"{len(accepted)} of {JOBS} jobs accepted")
    if not accepted:
        raise RuntimeError("no job was accepted")
    await asyncio.sleep(FINISH_S)
    return await judge(rig, accepted)


async def judge(rig: Rig, accepted: list[str]) -> list[str]:
    """Return the jobs of which nothing has run for `IDLE_S`, and that have room."""
    began = time.monotonic()
    await asyncio.sleep(IDLE_S + 1.0)
    up = [worker for worker in rig.workers if worker.up]
    in_use = sum(len(worker.runs) for worker in up) * SERVICE_CPU
    rig.note(f"{in_use} of {len(up) * CPU} millicores are in use")
    if in_use * 2 >= len(up) * CPU:
        raise RuntimeError("half of the capacity is in use")
    touched = {
        task.partition(".")[0]
        for worker in rig.workers
        for at, what, task, _ in worker.events
        if what == "start" or at >= began
    }
    broken = []
    for job in accepted:
        state = await rig.state(PREFIX, job)
        if state not in ("completed", "failed") and job not in touched:
            broken.append(f"LOST: job {job} is {state}, and no task of it has begun")
    rig.note(f"{len(broken)} of {len(accepted)} jobs have not begun")
    return broken


run(CASE, body)
