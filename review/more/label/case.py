"""LOST: after entries are added, jobs that need a rare label are never run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, ZONES, Case, Process, play

JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(32)]
LABEL = "b"
FINISH_S = 14
NOTHING_RUNS_MS = 3_000


async def scenario(case: Case) -> list[str] | None:
    await case.start(
        entries=3,
        agents=7,
        labels=lambda number: [LABEL if number == 0 else "a"],
        slo_ms=10_000,
        work_ms=lambda task: 1_500,
    )
    step = {"count": 1, "cpu": 3_100, "mem_mb": 64, "estimate_ms": 1_500}
    steps = [{**step, "requires": LABEL}, {**step, "requires": LABEL, "after": [0]}]
    for number, job in enumerate(JOBS):
        entry = case.entries[number % len(case.entries)]
        body = {"spec": "rebuild", "steps": steps}
        if not await case.submit(job, body, entry=entry):
            return None
    if TROUBLE:
        case.event("three entries are added")
        for number, zone in enumerate(ZONES, start=3):
            ip = f"127.0.1.{number + 1}"
            entry = Process(case, f"edge-{number}", "entry", ip, zone)
            entry.write_settings(300)
            case.entries.append(entry)
            await entry.start()
    left = list(JOBS)
    for _ in range(int((FINISH_S + 26) / 0.5)):
        await asyncio.sleep(0.5)
        for job in list(left)[:6]:
            answer = await case.ask("GET", job, quiet=True)
            if answer == (200, {"state": "completed"}):
                left.remove(job)
            else:
                left.append(left.pop(left.index(job)))
    if not left:
        return []
    idle = {job: case.idle_for(job) for job in left}
    states = {job: await case.ask("GET", job) for job in left}
    if case.workers[0].running or min(idle.values()) < NOTHING_RUNS_MS:
        return None
    return [
        f"{job}: {states[job]}, nothing of it has run for {idle_ms} ms"
        for job, idle_ms in idle.items()
    ]


play(str(Path(__file__).resolve().parent), scenario)
