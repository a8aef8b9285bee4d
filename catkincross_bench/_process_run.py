"""Runs a workload on real daemons over loopback with stand-in upstreams.

Delays between data centres are not injected, so these figures show the cost of the
processes, and those of the cores driver the cost of the distances.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import aiohttp
import attrs

from scenarios.processes import Cluster, http

from ._drain_shares import TaskRun, last_start_ms, work_shares
from ._times import percentiles_ms, response_measures
from ._workload import JobPlan, Workload, plan_arrivals

SERVICE = "s"
LEARN_S = 2.0
# A short gap after which late answers of the previous phase have arrived.
PAUSE_S = 1.0
IDLE_REQUESTS = 60
IDLE_INTERVAL_MS = 150.0


@attrs.define
class ProcessRun:
    """Entries, agents and upstreams of a workload as processes.

    Attributes:
        times_ms: Response times of complete jobs of the current phase.
        ends: How the jobs of the current phase ended.
        began_s: Monotonic time at which the current phase began.
    """

    workload: Workload
    cluster: Cluster
    urls: list[str] = attrs.field(factory=list)
    times_ms: dict[int, float] = attrs.field(factory=dict)
    ends: Counter = attrs.field(factory=Counter)
    began_s: float = 0.0

    def start(self, policy: str) -> None:
        """Start all processes and wait until they are ready."""
        quiet = {"logs": {"target": "none"}}
        entries = []
        for number, data_centre in enumerate(self.workload.data_centres):
            name = f"e{number}"
            place = {"name": name, "region": "r1", "data_centre": data_centre}
            entry = self.cluster.add_entry(
                name, entry=place, placement={"policy": policy, "seed": 1}, **quiet
            )
            self.urls.append(entry.url)
            entries.append(name)
        self.cluster.ready(*entries)
        for spec in self.workload.upstreams:
            upstream = self.cluster.start(
                f"upstream-{spec.name}",
                "catkincross_bench._timed_upstream",
                *("--speed", str(spec.speed)),
            )
            seeds = [self.cluster.processes[name].addresses["grpc"] for name in entries]
            agent = {
                "name": spec.name,
                "region": "r1",
                "data_centre": spec.data_centre,
                "rack": spec.rack,
                "upstream": spec.name,
                "service": SERVICE,
                "slots": self.workload.slots,
                "connections": self.workload.connections,
            }
            config = self.cluster.config(
                spec.name,
                {
                    "agent": agent,
                    "seeds": {"entries": ",".join(seeds)},
                    "upstream": {"url": f"{upstream.url}/tasks"},
                    **quiet,
                },
            )
            self.cluster.start(spec.name, "catkincross.agent", "--config", config)
        self.cluster.ready(*(spec.name for spec in self.workload.upstreams))
        time.sleep(LEARN_S)

    async def offer(self, plans: list[JobPlan], *, phase: str) -> None:
        """Submit jobs at their intended times and wait for all answers."""
        self.times_ms.clear()
        self.ends.clear()
        timeout = aiohttp.ClientTimeout(total=180)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self.began_s = time.monotonic()
            tasks = []
            for plan in plans:
                due_s = self.began_s + plan.at_ms / 1_000
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.append(asyncio.create_task(self._submit(session, plan, phase)))
            await asyncio.gather(*tasks)

    async def _submit(
        self, session: aiohttp.ClientSession, plan: JobPlan, phase: str
    ) -> None:
        tasks = [
            {"payload": f"run_ms={work:.3f} {plan.number}/{index}", "run_ms": declared}
            for index, (work, declared) in enumerate(
                zip(plan.works, plan.declared, strict=True)
            )
        ]
        body: dict[str, Any] = {
            "team": "t",
            "service": SERVICE,
            "deadline_ms": plan.deadline_ms,
            "interactive": plan.interactive,
        }
        path, headers = "/v1/requests", {}
        if len(tasks) == 1:
            body.update(tasks[0])
        else:
            path, body["tasks"] = "/v1/jobs", tasks
            headers["Idempotency-Key"] = f"{phase}-{plan.number}"
        url = self.urls[plan.entry] + path
        try:
            async with session.post(url, json=body, headers=headers) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            self.ends["lost"] += 1
            return
        arrived_s = self.began_s + plan.at_ms / 1_000
        if response.status == 200 and answer["state"] == "complete":
            self.times_ms[plan.number] = (time.monotonic() - arrived_s) * 1_000
            self.ends["complete"] += 1
        else:
            self.ends[f"{response.status}:{answer.get('reason')}"] += 1

    def runs(self) -> list[TaskRun]:
        """Return the tasks that ran, with times from the start of the phase."""
        found = []
        for spec in self.workload.upstreams:
            url = self.cluster.processes[f"upstream-{spec.name}"].url
            for begin, end in http("GET", f"{url}/runs")[1]["runs"]:
                begin_ms = (begin - self.began_s) * 1_000
                found.append(TaskRun(spec.name, begin_ms, (end - self.began_s) * 1_000))
        return [run for run in found if run.begin_ms >= 0]

    def started_twice(self) -> int:
        """Return the tasks that started more than once since the processes began."""
        return sum(1 for count in self.cluster.starts().values() if count > 1)

    def set_drain(self, *, drain: bool) -> float:
        """Drain or restore the data centre; return when that was accepted, in ms."""
        url = f"{self.urls[0]}/v1/datacentres/{self.workload.drain.data_centre}"
        status, answer = http("PUT", url, {"spec": {"drain": drain}})
        if status not in (200, 201):
            raise RuntimeError(f"the change was answered {status}: {answer}")
        return (time.monotonic() - self.began_s) * 1_000


def processes_round(workload: Workload, policy: str, seed: int) -> dict[str, Any]:
    """Return the measures of one round on real processes."""
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            run = ProcessRun(workload, cluster)
            run.start(policy)
            result = {"idle": _idle(run)}
            time.sleep(PAUSE_S)
            result["steady"] = _steady(run, seed)
            time.sleep(PAUSE_S)
            result["drain"] = _drain(run, seed)
            return result
        finally:
            cluster.close()


def _idle(run: ProcessRun) -> dict[str, Any]:
    run_ms = run.workload.idle.run_ms
    plans = [
        JobPlan(
            number=number,
            at_ms=number * IDLE_INTERVAL_MS,
            works=[run_ms],
            declared=[round(run_ms)],
            entry=number % len(run.urls),
            interactive=True,
            deadline_ms=10_000,
        )
        for number in range(IDLE_REQUESTS)
    ]
    asyncio.run(run.offer(plans, phase="idle"))
    # The requests do not overlap, so they ran in the order in which they arrived.
    ran = sorted(run.runs(), key=lambda item: item.begin_ms)
    added = [
        run.times_ms[number] - (item.end_ms - item.begin_ms)
        for number, item in enumerate(ran)
        if number in run.times_ms
    ]
    return {"added_ms": percentiles_ms(added), "answered": len(run.times_ms)}


def _steady(run: ProcessRun, seed: int) -> dict[str, Any]:
    workload = run.workload
    duration_ms = workload.warm_up_ms + workload.duration_ms
    plans = plan_arrivals(
        workload, load=workload.load, duration_ms=duration_ms, seed=seed
    )
    asyncio.run(run.offer(plans, phase="steady"))
    measured = [plan for plan in plans if plan.at_ms >= workload.warm_up_ms]
    return {
        "ends": {"lost": 0, **run.ends},
        "started_twice": run.started_twice(),
        **response_measures(workload, plans, measured, run.times_ms),
    }


def _drain(run: ProcessRun, seed: int) -> dict[str, Any]:
    workload, phase = run.workload, run.workload.drain
    plans = plan_arrivals(
        workload, load=phase.load, duration_ms=phase.duration_ms, seed=seed
    )
    accepted: list[float] = []

    async def change(at_ms: float, *, drain: bool) -> None:
        await asyncio.sleep(at_ms / 1_000)
        accepted.append(await asyncio.to_thread(run.set_drain, drain=drain))

    async def offer() -> None:
        await asyncio.gather(
            run.offer(plans, phase="drain"),
            change(phase.at_ms, drain=True),
            change(phase.restore_ms, drain=False),
        )

    asyncio.run(offer())
    runs, ends = run.runs(), {"lost": 0, **run.ends}
    refused = sum(n for name, n in ends.items() if name not in ("complete", "lost"))
    return {
        "ends": ends,
        "lost": ends["lost"],
        "refused": refused,
        "started_twice": run.started_twice(),
        "last_start_after_drain_ms": last_start_ms(workload, runs, *accepted),
        "work_share": work_shares(workload, plans, runs),
    }
