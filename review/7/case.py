"""Jobs wait for ever beside idle minions, after others have failed and were cancelled."""

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
WORKERS = 11
KIND = "b"
HOPELESS, CANCELLED, JOBS = 12, 12, 16
CANCEL_AFTER_S = 8.0
FINISH_S, IDLE_S = 14.0, 3.0


def job(ms: int, how: str, count: int) -> dict[str, object]:
    """Return a job for minions of one kind."""
    step = {"count": count, "cpu": 1_000, "mem_mb": 64, "estimate_ms": ms}
    return {
        "spec": json.dumps({"ms": ms, "how": how}),
        "steps": [step | {"requires": KIND}],
    }


async def hand_in(rig: Rig, count: int, body: dict[str, object]) -> list[str]:
    """Hand jobs in; return those that are accepted."""
    ids = [rig.job_id() for _ in range(count)]
    return [job_id for job_id in ids if await rig.submit(PREFIX, job_id, body)]


async def body(rig: Rig) -> list[str]:
    """Hand in hopeless jobs, then jobs that are cancelled, then ordinary ones."""
    await rig.start(entries=2, workers=WORKERS, routes=[route(PREFIX, stretch=10.0)])
    if rig.trouble:
        await hand_in(rig, HOPELESS, job(300, "failed", 2))
        await asyncio.sleep(12.0)
        cancelled = await hand_in(rig, CANCELLED, job(20_000, "done", 2))
        await asyncio.sleep(CANCEL_AFTER_S)
        for job_id in cancelled:
            await rig.ask("DELETE", PREFIX + job_id)
    await asyncio.sleep(3.0)
    accepted = await hand_in(rig, JOBS, job(300, "done", 2))
    rig.note(f"{len(accepted)} of {JOBS} jobs accepted")
    if not accepted:
        raise RuntimeError("no job was accepted")
    await asyncio.sleep(FINISH_S)
    since = time.monotonic()
    await asyncio.sleep(IDLE_S)
    rig.note(f"{sum(len(worker.runs) for worker in rig.workers)} runs go on")
    touched = {
        task.partition(".")[0]
        for worker in rig.workers
        for at, what, task, _ in worker.events
        if what == "start" or at >= since
    }
    broken = []
    for job_id in accepted:
        state = await rig.state(PREFIX, job_id)
        if state not in ("completed", "failed") and job_id not in touched:
            broken.append(f"LOST: job {job_id} is {state}, and no task of it has begun")
    rig.note(f"{len(broken)} of {len(accepted)} jobs have not begun")
    return broken


run(CASE, body)
