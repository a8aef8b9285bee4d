"""TWICE: a job that its entry had not announced begins again beside its first run."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import TROUBLE, Case, Process, play

INTERVAL_S = 0.03
BURST = 20
KILL_AFTER_S = 0.012
CYCLES = 5
CYCLE_S = 7.0
RESEND_S = 1.3
DEADLINE_S = 4.0
# When the agent stands still, after the kill, and for how long.
FREEZE_AFTER_S = 0.45
FREEZE_S = 3.0
STEP = {"count": 8, "cpu": 250, "mem_mb": 64, "estimate_ms": 1_800}
SHORT = {"count": 4, "cpu": 250, "mem_mb": 64, "estimate_ms": 100}


async def send(case: Case, job: str, entry: Process, step: dict[str, object]) -> None:
    """Hand in a job, and once more 1,300 ms after the channel has broken."""
    body = {"spec": "record check", "best_effort": True, "steps": [step]}
    answer = await case.ask("POST", job, body, entry=entry, limit_s=DEADLINE_S)
    if answer is None:
        await asyncio.sleep(RESEND_S)
        other = random.choice([e for e in case.entries if e is not entry])
        await case.ask("POST", job, body, entry=other, limit_s=DEADLINE_S)


async def traffic(case: Case) -> None:
    """Send short jobs to the entries in turn until cancelled."""
    number = 0
    while True:
        number += 1
        entry = case.entries[number % len(case.entries)]
        spawn(case, f"aaaa7a21{number:08x}", entry, SHORT)
        await asyncio.sleep(INTERVAL_S)


def spawn(case: Case, job: str, entry: Process, step: dict[str, object]) -> None:
    """Send a job in the background."""
    case.background.append(asyncio.create_task(send(case, job, entry, step)))


def work_ms(task: str) -> int:
    return 100 if task.startswith("aaaa") else 1_800


async def scenario(case: Case) -> list[str] | None:
    await case.start(entries=3, agents=7, slo_ms=500, work_ms=work_ms)
    case.background.append(asyncio.create_task(traffic(case)))
    for cycle in range(CYCLES):
        await asyncio.sleep(CYCLE_S - FREEZE_S)
        if TROUBLE:
            entry = case.entries[cycle % len(case.entries)]
            agent = case.agents[cycle % len(case.agents)]
            for number in range(BURST):
                job = f"5c0e7a21{cycle * 1_000 + number:08x}"
                spawn(case, job, entry, STEP)
            await asyncio.sleep(0.02 + KILL_AFTER_S)
            case.event(f"SIGKILL of {entry.name}")
            await entry.end()
            await asyncio.sleep(FREEZE_AFTER_S)
            await entry.start()
            case.event(f"{agent.name} stands still for {FREEZE_S} s")
            agent.send(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            agent.send(signal.SIGCONT)
        else:
            await asyncio.sleep(FREEZE_S)
    return case.overlapping()


play(str(Path(__file__).resolve().parent), scenario)
