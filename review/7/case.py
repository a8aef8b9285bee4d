"""Jobs wait for ever beside idle minions, after others were cancelled there."""

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
USUAL, USUAL_GAP_S = 110, 0.2
HOPELESS, CANCELLED, JOBS = 5, 12, 16
CANCEL_AFTER_S = 8.0
FINISH_S, IDLE_S = 14.0, 3.0


def job(ms: int, how: str = "done", *, kind: str = "b") -> dict[str, object]:
    """Return a job with a task on each of three minions of a kind."""
    step = {
        "count": 3,
        "cpu": 1_000,
        "mem_mb": 64,
        "estimate_ms": ms,
        "anti_affinity": 1,
        "requires": kind,
    }
    return {"spec": json.dumps({"ms": ms, "how": how}), "steps": [step]}


async def usual(rig: Rig) -> None:
    """Hand in sound jobs for the other kind of minions."""
    for _ in range(USUAL):
        await hand_in(rig, 1, job(200, kind="a"))
        await asyncio.sleep(USUAL_GAP_S)


async def hand_in(rig: Rig, count: int, body: dict[str, object]) -> list[str]:
    """Hand jobs in; return those that are accepted."""
    ids = [rig.job_id() for _ in range(count)]
    return [job_id for job_id in ids if await rig.submit(PREFIX, job_id, body)]


async def body(rig: Rig) -> list[str]:
    """Hand in hopeless jobs, then jobs that are cancelled, then ordinary ones."""
    await rig.start(entries=2, workers=WORKERS, routes=[route(PREFIX, stretch=10.0)])
    others = asyncio.create_task(usual(rig))
    if rig.trouble:
        await hand_in(rig, HOPELESS, job(300, "failed"))
        await asyncio.sleep(12.0)
        cancelled = await hand_in(rig, CANCELLED, job(20_000))
        await asyncio.sleep(CANCEL_AFTER_S)
        for job_id in cancelled:
            await rig.ask("DELETE", PREFIX + job_id)
    await others
    accepted = await hand_in(rig, JOBS, job(300))
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
