"""A long-lived job outgrows the store's record, and its shard takes no append more."""

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
# The owner records a job again after a third of `keep_s`, 100 s.
OCCURRENCES, INTERVAL_MS = 128, 800
# The widest jobs of the site have 32 tasks.
WIDTH = 32
SMALL_WIDTH = 8
JOBS = 48
JOBS_AT_S, JUDGED_AT_S = 96.0, 105.0
IDLE_S = 3.0


async def body(rig: Rig) -> list[str]:
    """Hand in a job with times, and more jobs shortly before its record is renewed."""
    await rig.start(entries=2, workers=3, routes=[route(PREFIX)])
    width = WIDTH if rig.trouble else SMALL_WIDTH
    step = {"cpu": 100, "mem_mb": 16, "estimate_ms": 50}
    timed = rig.job_id()
    began = time.monotonic()
    request = {
        "spec": json.dumps({"ms": 50, "how": "done"}),
        "steps": [{"count": width} | step, {"count": 1, "after": [0]} | step],
        "repeat_count": OCCURRENCES,
        "first_run_ms": time.time_ns() // 1_000_000 + 500,
        "interval_ms": INTERVAL_MS,
    }
    if not await rig.submit(PREFIX, timed, request):
        raise RuntimeError("the job with times was not accepted")
    await asyncio.sleep(began + JOBS_AT_S - time.monotonic())
    step = {"cpu": 100, "mem_mb": 16, "estimate_ms": 6_000}
    request = {
        "spec": json.dumps({"ms": 6_000, "how": "done"}),
        "steps": [{"count": 1} | step, {"count": 1, "after": [0]} | step],
    }
    accepted = []
    for _ in range(JOBS):
        job = rig.job_id()
        if await rig.submit(PREFIX, job, request):
            accepted.append(job)
    rig.note(f"{len(accepted)} of {JOBS} two-step jobs accepted")
    await asyncio.sleep(began + JUDGED_AT_S - time.monotonic())
    return await judge(rig, [timed, *accepted])


async def judge(rig: Rig, accepted: list[str]) -> list[str]:
    """Return the jobs that have had nothing running for `IDLE_S`, and are not over."""
    since = time.monotonic()
    await asyncio.sleep(IDLE_S + 0.3)
    active = set()
    for worker in rig.workers:
        active |= {task.partition(".")[0] for task in worker.runs}
        active |= {
            task.partition(".")[0] for at, _, task, _ in worker.events if at >= since
        }
    in_use = sum(len(worker.runs) for worker in rig.workers) * 100
    rig.note(f"{in_use} of {3 * 32_000} millicores are in use")
    broken = []
    for job in accepted:
        state = await rig.state(PREFIX, job)
        if state in ("completed", "failed") or job in active:
            continue
        done = {
            task
            for worker in rig.workers
            for _, what, task, _ in worker.events
            if what == "done" and task.startswith(job)
        }
        broken.append(
            f"LOST: job {job} is {state}; {len(done)} tasks have ended done, and "
            f"nothing of it has run for {IDLE_S} s"
        )
    return broken


run(CASE, body)
