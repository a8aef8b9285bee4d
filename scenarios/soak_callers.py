"""Callers of a soak, which send stored and volatile jobs to the entries."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
import orjson

from standins.platform_http import now_ms
from standins.platform_worker import PlatformWorker

from .soak_faults import FAULTS, Daemon
from .soak_findings import Send

TASKS = 3
# Time after which a caller of a stored job leaves, in seconds.
PATIENCE_S = 8.0
# Body of an answer that shows a job as completed.
COMPLETED = {"state": "completed"}
# Answer that leaves open whether a job has run.
UNKNOWN = 504


@attrs.frozen
class JobKind:
    """A kind of job.

    Attributes:
        share: Its share of the jobs, as a multiple of that of other kinds.
        tasks: Number of tasks.
        run_ms: Run time of each task.
    """

    share: float
    tasks: int
    run_ms: int


@attrs.frozen(kw_only=True)
class SoakPlan:
    """Size and load of a soak.

    Attributes:
        seconds: How long faults go on.
        run_ms: Shortest and longest run time of a task.
        jobs_per_s: Rate of jobs.
        volatile_of_three: How many of three jobs are volatile.
        leave_s: Time after which a caller of a volatile job leaves.
        resend_s: Time from there to the same request to another entry.
        max_sends: Largest number of requests for a volatile job.
        series: Number of series of faults that go on side by side.
        at_once: Numbers of processes that a fault may take.
        faults: Names of the faults to draw from.
        site_faults: Names of the faults that take the whole site; none by default.
        throttled: Whether all processes have little processor time throughout.
        longest_fault_s: Longest time that a fault lasts.
        kinds: Kinds of jobs; if there are none, all jobs have three tasks.
        deadline_ms: How long the callers say that they wait.
        worker_cpu: Capacity of a worker in millicores.
        task_cpu: What each task takes of it.
        gateways: Whether the links between processes pass through gateways.
    """

    entries: int = 2
    agents: int = 3
    seconds: float = 60.0
    run_ms: tuple[int, int] = (120, 120)
    jobs_per_s: float = 1 / 0.15
    volatile_of_three: int = 1
    leave_s: float = PATIENCE_S
    resend_s: float = 1.3
    max_sends: int = 1
    series: int = 1
    at_once: tuple[int, ...] = (1,)
    faults: tuple[str, ...] = tuple(sorted(FAULTS))
    site_faults: tuple[str, ...] = ()
    throttled: bool = False
    # Shorter than the limits after which the platform takes hosts out.
    longest_fault_s: float = 2.0
    kinds: tuple[JobKind, ...] = ()
    deadline_ms: int = 4_000
    worker_cpu: int = 8_000
    task_cpu: int = 1_000
    gateways: bool = True

    @classmethod
    def small(cls, seconds: float = 60.0) -> SoakPlan:
        """Return few processes with short tasks and one fault at a time."""
        return cls(seconds=seconds)

    @classmethod
    def dense(cls, seconds: float = 60.0) -> SoakPlan:
        """Return overlapping faults under callers that send jobs again at once."""
        return cls(
            entries=4,
            agents=6,
            seconds=seconds,
            run_ms=(40, 1_500),
            jobs_per_s=10.0,
            volatile_of_three=2,
            leave_s=1.3,
            resend_s=0.05,
            max_sends=3,
            series=2,
            at_once=(1, 2, 4),
        )

    @classmethod
    def ops(cls, seconds: float = 60.0) -> SoakPlan:
        """Return the load of strathbeag-ops on workers of less than half the size."""
        return cls(
            entries=3,
            agents=11,
            seconds=seconds,
            jobs_per_s=28.0,
            volatile_of_three=3,
            leave_s=1.6,
            max_sends=4,
            series=2,
            at_once=(1, 2, 4, 14),
            kinds=(JobKind(17.2, 8, 120), JobKind(3.12, 4, 1_800), JobKind(50, 2, 400)),
            deadline_ms=1_500,
            worker_cpu=25_600,
            task_cpu=6_200,
        )


@attrs.define(kw_only=True)
class SoakWorker(PlatformWorker):
    """Worker whose run times are drawn for each task from the seed of the soak."""

    seed: int
    run_range_ms: tuple[int, int]

    def start(self, now_ms: int, order: Any) -> Any:
        """Carry out an order to start a run.

        The payload of a job of a certain kind is its run time.
        """
        if order.payload.isdecimal():
            self.run_ms = int(order.payload)
            return super().start(now_ms, order)
        rng = random.Random(f"{self.seed} {order.task}")
        self.run_ms = rng.randint(*self.run_range_ms)
        return super().start(now_ms, order)


@attrs.define(eq=False)
class Callers:
    """Callers of all jobs.

    Attributes:
        accepted: Stored jobs that were answered with 200.
        sends: All requests for jobs.
        sizes: Number of tasks of each job, by its ID.
        completed: Jobs that were shown as completed.
    """

    entries: Sequence[Daemon]
    plan: SoakPlan
    session: aiohttp.ClientSession
    accepted: list[str] = attrs.field(factory=list)
    sends: list[Send] = attrs.field(factory=list)
    sizes: dict[str, int] = attrs.field(factory=dict)
    completed: set[str] = attrs.field(factory=set)

    @property
    def outcomes(self) -> dict[str, int]:
        """Number of requests by their outcome."""
        counts = Counter(send.outcome.partition(" {")[0] for send in self.sends)
        return dict(counts.most_common())

    async def submit(self, rng: random.Random) -> None:
        """Hand in jobs for the time of the plan, and wait for the last answers."""
        end_ms = now_ms() + self.plan.seconds * 1_000
        number = 0
        async with asyncio.TaskGroup() as group:
            while now_ms() < end_ms:
                number += 1
                volatile = number % 3 < self.plan.volatile_of_three
                order = rng.sample(self.entries, len(self.entries))
                call = self._call_volatile if volatile else self._call_stored
                group.create_task(call(f"{number:016x}", order))
                await asyncio.sleep(1 / self.plan.jobs_per_s)

    async def _call_stored(self, job_id: str, order: list[Daemon]) -> None:
        if await self._send(order[0], job_id, False, PATIENCE_S) == 200:
            self.accepted.append(job_id)

    async def _call_volatile(self, job_id: str, order: list[Daemon]) -> None:
        for number in range(self.plan.max_sends):
            if number:
                await asyncio.sleep(self.plan.resend_s)
            entry = order[number % len(order)]
            status = await self._send(entry, job_id, True, self.plan.leave_s)
            if status not in (None, UNKNOWN):
                return

    async def _send(
        self, entry: Daemon, job_id: str, volatile: bool, timeout_s: float
    ) -> int | None:
        body = {
            "spec": "x",
            "steps": [self._step(TASKS, sum(self.plan.run_ms) // 2)],
            "best_effort": volatile,
        }
        if self.plan.kinds:
            shares = [kind.share for kind in self.plan.kinds]
            kind = random.Random(job_id).choices(self.plan.kinds, shares)[0]
            body["spec"] = str(kind.run_ms)
            body["steps"] = [self._step(kind.tasks, kind.run_ms)]
        self.sizes[job_id] = body["steps"][0]["count"]
        at_ms = now_ms()
        status, found = await self.ask(entry, "POST", f"/r/{job_id}", body, timeout_s)
        if found == COMPLETED:
            self.completed.add(job_id)
        outcome = f"{status} {found}" if status else str(found)
        self.sends.append(Send(job_id, entry.name, at_ms, now_ms(), outcome))
        return status

    def _step(self, count: int, estimate_ms: int) -> dict[str, int]:
        return {
            "count": count,
            "cpu": self.plan.task_cpu,
            "mem_mb": 64,
            "estimate_ms": estimate_ms,
        }

    async def ask(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        body: Any,
        timeout_s: float = PATIENCE_S,
        session: aiohttp.ClientSession | None = None,
    ) -> tuple[int | None, Any]:
        """Return status and body of an answer; without one, None and the reason.

        A session of its own keeps connections open between two requests.
        """
        session = session or self.session
        address = daemon.front.address if daemon.front else daemon.address
        url = f"http://{address}{path}"
        headers = {
            "Host": "soak.example",
            "X-Catkincross-Deadline-Ms": str(self.plan.deadline_ms),
        }
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.request(
                    method, url, data=orjson.dumps(body), headers=headers
                ) as response,
            ):
                return response.status, orjson.loads(await response.read() or b"null")
        except TimeoutError:
            return None, "caller left"
        except (aiohttp.ClientError, OSError) as error:
            # The process is down or cut; the caller goes on with another.
            return None, type(error).__name__
