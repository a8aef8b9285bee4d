"""TWICE: a restarted agent keeps a run of a lost entry that begins elsewhere."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, Process, now_ms, play

# Times count from the kill of the entry, in milliseconds.
AGENT_KILL_MS = (500, 540, 560, 580, 600, 620, 640)
# The new agent process looks at its worker this long before the worker's lease ends.
BEFORE_LEASE_END_MS = 120
# Time from the start of an agent to its first call; measured again in each cycle.
START_MS = 300
CYCLE_S = 8.0
LONG_JOBS = 20
LONG_MS, SHORT_MS = 3_500, 100
SHORT_INTERVAL_S = 0.03
DEADLINE_S = 5.0
RESEND_S = 1.3
LONG = {"count": 8, "cpu": 250, "mem_mb": 64, "estimate_ms": LONG_MS}
SHORT = {"count": 4, "cpu": 250, "mem_mb": 64, "estimate_ms": SHORT_MS}


def work_ms(task: str) -> int:
    """Return the run time of a task."""
    return SHORT_MS if task.startswith("aaaa") else LONG_MS


async def send(case: Case, job: str, entry: Process, step: dict[str, int]) -> None:
    """Hand in a job, and once more 1,300 ms after its channel has broken."""
    body = {"spec": "record check", "best_effort": True, "steps": [step]}
    answer = await case.ask("POST", job, body, entry=entry, limit_s=DEADLINE_S)
    if answer is None:
        await asyncio.sleep(RESEND_S)
        other = random.choice([e for e in case.entries if e is not entry])
        await case.ask("POST", job, body, entry=other, limit_s=DEADLINE_S)


def spawn(case: Case, job: str, entry: Process, step: dict[str, int]) -> None:
    """Send a job in the background."""
    case.background.append(asyncio.create_task(send(case, job, entry, step)))


async def short_jobs(case: Case) -> None:
    """Send short jobs to the entries in turn until cancelled."""
    number = 0
    while True:
        number += 1
        entry = case.entries[number % len(case.entries)]
        spawn(case, f"aaaa7a21{number:08x}", entry, SHORT)
        await asyncio.sleep(SHORT_INTERVAL_S)


async def sleep_until(at_ms: float) -> None:
    """Sleep until a time on the steady clock."""
    await asyncio.sleep(max(0.0, (at_ms - now_ms()) / 1_000))


async def kill_both(case: Case, cycle: int, start_ms: int) -> int:
    """Kill an entry and then an agent; return how long the agent took to start."""
    entry, agent = case.entries[cycle % len(case.entries)], case.agents[cycle]
    worker = case.workers[cycle]
    case.event(f"SIGKILL of {entry.name}")
    killed_ms = now_ms()
    await entry.end()
    await sleep_until(killed_ms + AGENT_KILL_MS[cycle])
    case.event(f"SIGKILL of {agent.name}, {len(worker.running)} tasks run there")
    await agent.end()
    await entry.start()
    await sleep_until(worker.lease_until - BEFORE_LEASE_END_MS - start_ms)
    calls, started_ms = worker.holds, now_ms()
    await agent.start()
    while worker.holds == calls and now_ms() < started_ms + 3_000:
        await asyncio.sleep(0.002)
    took_ms = now_ms() - started_ms
    at_ms = now_ms() - killed_ms
    case.event(f"{agent.name} calls its worker after {at_ms} ms, {took_ms} to start")
    return took_ms


async def scenario(case: Case) -> list[str] | None:
    await case.start(entries=3, agents=7, slo_ms=500, work_ms=work_ms)
    case.background.append(asyncio.create_task(short_jobs(case)))
    start_ms = START_MS
    for cycle in range(len(AGENT_KILL_MS)):
        begin_ms = now_ms()
        await asyncio.sleep(1.0)
        entry = case.entries[cycle % len(case.entries)]
        for number in range(LONG_JOBS):
            spawn(case, f"5c0e7a21{cycle:04x}{number:04x}", entry, LONG)
        await asyncio.sleep(0.6)
        if TROUBLE:
            start_ms = await kill_both(case, cycle, start_ms)
        await sleep_until(begin_ms + CYCLE_S * 1_000)
    return case.overlapping()


play(str(Path(__file__).resolve().parent), scenario)
