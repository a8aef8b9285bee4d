"""Task starts a second through one entry process."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import aiohttp
import attrs

from scenarios.processes import Cluster

from ._processes import sample

TARGET_PER_S = 5_000
SLOTS = 250


@attrs.define
class Load:
    """A closed loop of callers, each with one job at a time.

    Attributes:
        ended: Time and number of tasks of each complete job.
        other: Answers that were not complete, by status.
    """

    url: str
    job_tasks: int
    callers: int
    ended: list[tuple[float, int]] = attrs.field(factory=list)
    other: dict[int, int] = attrs.field(factory=dict)

    async def run(self, seconds: float) -> None:
        """Submit jobs for a time."""
        end = time.monotonic() + seconds
        connector = aiohttp.TCPConnector(limit=self.callers)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(self._caller(session, number, end) for number in range(self.callers))
            )

    async def _caller(
        self, session: aiohttp.ClientSession, number: int, end: float
    ) -> None:
        tasks = [{"payload": f"{index}"} for index in range(self.job_tasks)]
        body = {
            "team": "t",
            "service": "s",
            "deadline_ms": 60_000,
            "tasks": tasks,
        }
        submitted = 0
        while time.monotonic() < end:
            submitted += 1
            headers = {"Idempotency-Key": f"caller-{number}-{submitted}"}
            async with session.post(
                f"{self.url}/v1/jobs", json=body, headers=headers
            ) as response:
                answer = await response.json()
            if response.status == 200 and answer["state"] == "complete":
                self.ended.append((time.monotonic(), self.job_tasks))
            else:
                self.other[response.status] = self.other.get(response.status, 0) + 1


def throughput(
    *,
    hosts: int,
    agents_per_host: int,
    job_tasks: int,
    callers: int,
    seconds: float,
    run_ms: float,
) -> dict[str, Any]:
    """Return the task starts a second of one entry with real agent daemons.

    Args:
        hosts: Processes that run the agents.
        agents_per_host: Agent daemons in each.
        job_tasks: Tasks in a job.
        callers: Jobs under way at a time.
        seconds: Time of the measurement, after as much as a third of it to warm up.
        run_ms: Time of a task on its upstream, which sleeps.
    """
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            quiet = {"logs": {"target": "none"}}
            entry = cluster.add_entry("e0", **quiet)
            cluster.ready("e0")
            for host in range(hosts):
                _start_host(cluster, host, agents_per_host, run_ms)
            _wait_until_registered(cluster, hosts * agents_per_host)
            load = Load(entry.url, job_tasks, callers)
            return _measure(entry.popen.pid, load, seconds)
        finally:
            cluster.close()


def _start_host(cluster: Cluster, host: int, agents: int, run_ms: float) -> None:
    arguments = ["--run-ms", str(run_ms)]
    for number in range(agents):
        name = f"u{host}-{number}"
        sections = {
            "agent": {
                "name": name,
                "region": "r1",
                "data_centre": "d1",
                "upstream": name,
                "service": "s",
                "slots": SLOTS,
                "connections": SLOTS,
            },
            "seeds": {"entries": cluster.processes["e0"].addresses["grpc"]},
            "upstream": {"url": "http://127.0.0.1:9/tasks"},
            "logs": {"target": "none"},
        }
        arguments += ["--config", cluster.config(name, sections)]
    cluster.start(f"host{host}", "catkincross_bench._sleeping_agents", *arguments)


def _wait_until_registered(cluster: Cluster, agents: int) -> None:
    # Readiness of a host is that of its first agent; a job that uses all slots
    # shows that all are registered.
    time.sleep(3.0)
    for number in range(20):
        future = cluster.submit("e0", f"warm-{number}", [1] * (agents * 10))
        status, _ = future.result()
        if status == 200:
            return
    raise RuntimeError("no job was answered")


def _measure(pid: int, load: Load, seconds: float) -> dict[str, Any]:
    warm_up_s = seconds / 3
    samples = []

    async def run() -> None:
        task = asyncio.create_task(load.run(warm_up_s + seconds))
        await asyncio.sleep(warm_up_s)
        samples.append((time.monotonic(), sample(pid)))
        await asyncio.sleep(seconds)
        samples.append((time.monotonic(), sample(pid)))
        await task

    asyncio.run(run())
    (begin, before), (end, after) = samples
    tasks = sum(count for at, count in load.ended if begin <= at < end)
    per_s = tasks / (end - begin)
    return {
        "starts_per_s": round(per_s),
        "target_per_s": TARGET_PER_S,
        "met": per_s >= TARGET_PER_S,
        "entry_cpu_percent": round(100 * (after.cpu_s - before.cpu_s) / (end - begin)),
        "entry_resident_mb": round(after.resident_mb),
        "job_tasks": load.job_tasks,
        "callers": load.callers,
        "not_complete": load.other,
    }
