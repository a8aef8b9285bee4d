"""LOST: replicas that fit nowhere keep all other tasks of their entry from starting."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, Case, now_ms, play

SERVING = [f"aaaa7a21d94b36{number:02x}" for number in range(64)]
JOBS = [f"bbbb7a21d94b36{number:02x}" for number in range(16)]
MINIONS = 7
FINISH_S = 14
NOTHING_RUNS_MS = 3_000


def work_ms(task: str) -> int:
    """Return the run time of a task; those that serve last until they are cancelled."""
    return 10**9 if task[:16] in SERVING else 300


async def scenario(case: Case) -> list[str] | None:
    await case.start(entries=2, agents=MINIONS, work_ms=work_ms)
    # One replica on each minion, on a fifth of a core.
    replicas = {
        "count": MINIONS,
        "cpu": 200,
        "mem_mb": 64,
        "estimate_ms": 1_000,
        "long_running": True,
        "anti_affinity": 1,
    }
    for job in SERVING:
        if not await case.submit(job, {"spec": "server", "steps": [replicas]}):
            return None
    await asyncio.sleep(3)
    if any(len(worker.running) != len(SERVING) for worker in case.workers):
        return None
    if TROUBLE:
        case.event("side-0 is lost for good, with its minion")
        case.agents[0].send(signal.SIGKILL)
        case.workers[0].lose()
    await asyncio.sleep(6)
    step = {"count": 2, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 300}
    for number, job in enumerate(JOBS):
        entry = case.entries[number % len(case.entries)]
        body = {"spec": "turn check", "steps": [step]}
        if not await case.submit(job, body, entry=entry):
            return None
    submitted_ms = now_ms()
    await asyncio.sleep(FINISH_S)
    broken = []
    for job in JOBS:
        answer = await case.ask("GET", job)
        idle_ms = min(case.idle_for(job), now_ms() - submitted_ms)
        if answer != (200, {"state": "completed"}) and idle_ms >= NOTHING_RUNS_MS:
            broken.append(f"{job}: {answer}, no task of it has run for {idle_ms} ms")
    up = [worker for worker in case.workers if worker.alive]
    used = sum(len(worker.running) * 200 for worker in up)
    room = sum(worker.capacity["cpu"] for worker in up)
    case.event(f"in use on {len(up)} minions: {used} of {room} thousandths of a core")
    return broken


play(str(Path(__file__).resolve().parent), scenario)
