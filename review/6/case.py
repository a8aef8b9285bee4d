"""A task starts again after it has ended `done`, and that end is taken note of."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.second.http import call  # noqa: E402
from review.second.rig import DEADLINE, HOST, Rig, route, run  # noqa: E402

PREFIX = "/lohu930/"
WORKERS, ROUNDS = 11, 4
TASKS = 8 * WORKERS
MEAN_MS, SPREAD = 2_650, 0.1
# The entry freezes 0.45 s after the store, and wakes 0.03 s after it is back.
DOWN_S, FROZEN_AT_S, FROZEN_S = 4.4, 0.45, 3.98


async def body(rig: Rig) -> list[str]:
    """Freeze an entry in a short outage of the store, while jobs run."""
    await rig.start(entries=2, workers=WORKERS, routes=[route(PREFIX)])
    for worker in rig.workers:
        # A stop takes at most 50 ms.
        worker.stop_s = 0.045
    others: list[asyncio.Task[None]] = []
    for _ in range(ROUNDS):
        others += [asyncio.create_task(keep_busy(rig, n)) for n in (10, 11)]
        await asyncio.sleep(1.0)
        await play(rig)
    for task in others:
        task.cancel()
    return judge(rig)


async def play(rig: Rig) -> None:
    """Freeze the owner of a job in a short outage of the store."""
    spec = json.dumps({"ms": MEAN_MS, "spread": SPREAD, "how": "done"})
    step = {"count": TASKS, "cpu": 500, "mem_mb": 64, "estimate_ms": MEAN_MS}
    job = rig.job_id()
    if not await rig.submit(PREFIX, job, {"spec": spec, "steps": [step]}):
        raise RuntimeError("the job was not accepted")
    owner = rig.owner_of(job)
    await asyncio.sleep(0.1)
    if rig.trouble:
        began = time.monotonic()
        rig.note("the store is down")
        rig.store.set_busy(True)
        await asyncio.sleep(FROZEN_AT_S)
        rig.entries[owner].signal(signal.SIGSTOP)
        await asyncio.sleep(began + DOWN_S - time.monotonic())
        rig.note("the store is back")
        rig.store.set_busy(False)
        await asyncio.sleep(began + FROZEN_AT_S + FROZEN_S - time.monotonic())
        rig.entries[owner].signal(signal.SIGCONT)
    await asyncio.sleep(9.0)


async def keep_busy(rig: Rig, number: int) -> None:
    """Hand in a job that need not be stored, with a long task on each minion."""
    spec = json.dumps({"ms": 16_000, "how": "done"})
    step = {"count": 2 * WORKERS, "cpu": 2_000, "mem_mb": 64, "estimate_ms": 16_000}
    step["anti_affinity"] = 2
    headers = DEADLINE | {"X-Catkincross-Deadline-Ms": "40000"}
    address = f"{rig.net}.{number}:8161"
    body = {"spec": spec, "steps": [step], "best_effort": True}
    path = PREFIX + rig.job_id()
    status, answer = await call(address, "POST", path, body, headers, 45.0)
    rig.note(f"client: POST {path} (best effort, {HOST}) -> {status} {answer}")


def judge(rig: Rig) -> list[str]:
    """Return the starts after an end `done` that was taken note of."""
    starts: dict[str, list[float]] = {}
    done: dict[str, float] = {}
    for worker in rig.workers:
        open_ends: dict[tuple[str, int], float] = {}
        for at, what, task, number in worker.events:
            if what == "start":
                starts.setdefault(task, []).append(at)
            elif what == "done":
                open_ends[task, number] = at
            elif what in ("lapse", "crash"):
                open_ends.clear()
            elif what == "acked done" and (task, number) in open_ends:
                end = open_ends.pop((task, number))
                done[task] = min(done.get(task, end), end)
    broken = []
    for task, end in sorted(done.items()):
        late = [at for at in starts[task] if at > end]
        if late:
            broken.append(f"TWICE: {task} starts {late[-1] - end:.3f} s after its end")
    rig.note(f"{len(done)} tasks done, {len(broken)} of them started again")
    return broken


run(CASE, body)
