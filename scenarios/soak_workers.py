"""Soak of the platform's daemons with workers that follow the protocol strictly.

Entries and agents run as processes. Each worker has lives, clocks and numbers of its
own, answers only calls that name its process, leaves calls unanswered and carries them
out seconds later, and sends heartbeats that may arrive after its end. The load is that
of three kinds of volatile jobs, which callers send again.

    python -m scenarios.soak_workers --seconds 20 --seed 1 --keep FOLDER
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import click
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.platform_http import json_response, now_ms
from standins.strict_worker import Answer

from .loopback_proxy import Mode
from .platform_soak import HEARTBEAT_S, SERVICE, Soak
from .soak_callers import Callers, SoakPlan
from .soak_declarations import declarations
from .soak_faults import FAULTS as DAEMON_FAULTS, Daemon
from .soak_findings import Fault, Send, describe, overlapping_runs, runs_of
from .strict_fuzz import INFERRED_ENDS, KINDS, LATE_MS, TimedWorker

# Jobs per second of each kind, at the full load of 11 workers.
RATES = (17.2, 3.12, 50.0)
TASK_CPU = 6_200
CAPACITY = (64_000, 131_072, 0)
DEADLINE_MS = 1_500
RESEND_S = 1.3
MAX_SENDS = 4
HEARTBEAT_LIMIT_S = 1.0
# Time after which an unanswered call's channel is closed, in seconds.
UNANSWERED_S = 15.0
# How long renewals are carried out late, in seconds.
GRANTS_S = 5.5
# Time in which late calls arrive and all runs end, in seconds.
QUIET_S = 14.0
# Longest time between the reading of a list and the log line on it, in milliseconds.
LOG_DELAY_MS = 10
# Faults of daemons that are played beside those of workers.
DAEMON_KINDS = ("kill", "terminate", "freeze")
NO_FAULT = "none"


@attrs.define(eq=False)
class WorkerHost:
    """A worker behind HTTP, and its heartbeats.

    Attributes:
        worker: The worker.
        agent: Its agent.
        rng: Source of its faults.
        late: Share of the calls that are carried out late, without an answer.
        late_grants: The same for renewals, whose lease counts from their arrival.
        silent: Share of the calls that are carried out, without an answer.
        slow_ms: Longest delay of calls, and of answers.
        beat_delay_ms: Longest delay of heartbeats.
        calls: Number of calls by path and status.
    """

    worker: TimedWorker
    rng: random.Random
    session: aiohttp.ClientSession
    agent: Daemon | None = None
    late: float = 0.0
    late_grants: float = 0.0
    silent: float = 0.0
    slow_ms: int = 0
    beat_delay_ms: int = 0
    calls: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        paths = ("/run-start", "/run-stop", "/hold")
        return Starlette(
            routes=[Route(path, self.serve, methods=["POST"]) for path in paths]
        )

    async def serve(self, request: Request) -> Response:
        """Answer a call, or let it go unanswered."""
        path = request.url.path
        target = request.headers.get("x-catkincross-target-instance", "")
        body = await request.json()
        moves_grant = path == "/hold" and self.rng.random() < self.late_grants
        if moves_grant or self.rng.random() < self.late:
            delay_ms = self.rng.randint(*LATE_MS)
            if moves_grant and "until_ms" in body:
                body["until_ms"] += delay_ms
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1_000, self._call, target, path, body)
            await asyncio.sleep(UNANSWERED_S)
        is_silent = self.rng.random() < self.silent
        await self._delay()
        status, fields = self._call(target, path, body)
        if is_silent:
            await asyncio.sleep(UNANSWERED_S)
        if path == "/hold" and status == 200:
            fields = await self._wait(body.get("wait_ms", 0), fields)
        await self._delay()
        return json_response(fields, status)

    async def _delay(self) -> None:
        if self.slow_ms:
            await asyncio.sleep(self.rng.uniform(0, self.slow_ms) / 1_000)

    def _call(self, target: str, path: str, body: dict[str, Any]) -> Answer:
        if self.worker.is_down(now_ms()):
            # A late call that arrives while there is no process.
            return 503, {}
        status, fields = self.worker.call(now_ms(), target, path, body)
        self.calls[path, status] += 1
        return status, fields

    async def _wait(self, wait_ms: int, fields: dict[str, Any]) -> dict[str, Any]:
        """Wait until a run ends; return the lists from before or after the wait."""
        worker, born = self.worker, self.worker.worker_incarnation
        lists_first = self.rng.random() < 0.2
        end_ms = now_ms() + wait_ms
        worker.advance(now_ms())
        while not worker.finished and now_ms() < end_ms:
            await asyncio.sleep(0.005)
            worker.advance(now_ms())
        if lists_first or worker.worker_incarnation != born:
            return fields
        clock_ms = worker.clock_ms(now_ms())
        return {**fields, "clock_ms": clock_ms, **worker.lists(now_ms())}

    # Processes.

    async def replace(self, back_ms: int, instance: str = "") -> None:
        """End the process, and start another one after `back_ms`."""
        assert self.agent is not None and self.agent.worker is not None
        self.worker.end_life(now_ms(), back_ms + 1_000)
        self.agent.worker.set_mode(Mode.CUT)
        await asyncio.sleep(back_ms / 1_000)
        self.worker.begin_life(now_ms(), instance)
        self.agent.worker.set_mode(Mode.PASS)
        self.send_heartbeat()

    # Heartbeats.

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def send_heartbeat(self) -> None:
        """Send a heartbeat, which may be late."""
        if self.worker.is_down(now_ms()):
            return
        body = self.worker.heartbeat(now_ms(), SERVICE)
        self.spawn(self.put(self.worker.instance, body, self._beat_delay_s()))

    def _beat_delay_s(self) -> float:
        return self.rng.uniform(0, self.beat_delay_ms) / 1_000

    async def put(self, instance: str, body: Any, delay_s: float) -> None:
        """Send a heartbeat after a delay."""
        await asyncio.sleep(delay_s)
        await self._ask("PUT", instance, body)

    async def delete(self, instance: str, delay_s: float) -> None:
        """Announce a departure after a delay."""
        await asyncio.sleep(delay_s)
        await self._ask("DELETE", instance, None)

    async def _ask(self, method: str, instance: str, body: Any) -> None:
        assert self.agent is not None
        url = f"http://{self.agent.address}/instances/{instance}"
        timeout = aiohttp.ClientTimeout(total=HEARTBEAT_LIMIT_S)
        try:
            async with self.session.request(
                method, url, data=orjson.dumps(body), timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The agent is down or stands still; the next heartbeat follows.
            return

    def spawn(self, work: Any) -> None:
        """Run something beside the other work of the host."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


FAULTS: dict[str, Callable[[WorkerHost, float], Any]] = {}


def fault(function: Any) -> Any:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


async def _for_a_while(owner: Any, name: str, value: Any, length_s: float) -> None:
    before = getattr(owner, name)
    setattr(owner, name, value)
    await asyncio.sleep(length_s)
    setattr(owner, name, type(before)())


@fault
async def late_calls(host: WorkerHost, length_s: float) -> None:
    """Carry out calls seconds later, without an answer."""
    await _for_a_while(host, "late", host.rng.choice((0.2, 0.7, 1.0)), length_s)


@fault
async def late_grants(host: WorkerHost, length_s: float) -> None:
    """Carry out renewals seconds later; their leases count from the arrival."""
    share = host.rng.choice((0.05, 0.2, 0.5))
    await _for_a_while(host, "late_grants", share, GRANTS_S)


@fault
async def lost_answers(host: WorkerHost, length_s: float) -> None:
    """Carry out calls at once, and lose their answers."""
    await _for_a_while(host, "silent", host.rng.choice((0.2, 0.7, 1.0)), length_s)


@fault
async def slow_calls(host: WorkerHost, length_s: float) -> None:
    """Let calls and answers overtake each other."""
    await _for_a_while(host, "slow_ms", host.rng.choice((10, 60, 150, 400)), length_s)


@fault
async def late_heartbeats(host: WorkerHost, length_s: float) -> None:
    """Delay heartbeats, also beyond the end of the worker's process."""
    await _for_a_while(host, "beat_delay_ms", 6_000, length_s)


@fault
async def crash(host: WorkerHost, length_s: float) -> None:
    """End the worker; it comes back under the same or another identity."""
    if not host.worker.is_down(now_ms()):
        await host.replace(host.rng.randint(300, 3_000), _next_instance(host, 0.5))


@fault
async def release(host: WorkerHost, length_s: float) -> None:
    """Drain a worker and let another one follow; notices of it may be late."""
    worker, instance = host.worker, host.worker.instance
    if worker.is_down(now_ms()):
        return
    worker.draining = True
    host.send_heartbeat()
    await asyncio.sleep(host.rng.uniform(0.5, 4.0))
    if worker.instance == instance and not worker.is_down(now_ms()):
        host.spawn(host.delete(instance, host.rng.choice((0.0, 0.2, 3.0))))
        await host.replace(host.rng.randint(100, 1_000), _next_instance(host, 0.7))


@fault
async def unhealthy(host: WorkerHost, length_s: float) -> None:
    """Let a worker refuse orders, fail all it starts, stand still or lose stops."""
    kinds = ("unhealthy", "fail_all", "stalled", "loses_stops")
    await _for_a_while(host.worker, host.rng.choice(kinds), True, length_s)


@fault
async def shrink(host: WorkerHost, length_s: float) -> None:
    """Let the capacity shrink for a while."""
    cpu, memory_mb, gpu = CAPACITY
    host.worker.resize(now_ms(), (cpu // 3, memory_mb, gpu))
    await asyncio.sleep(length_s)
    host.worker.resize(now_ms(), CAPACITY)


@fault
async def foreign_heartbeat(host: WorkerHost, length_s: float) -> None:
    """Send a heartbeat of a writer that is no worker of the host."""
    other = TimedWorker(instance=f"foreign{now_ms()}")
    other.begin_life(now_ms())
    body = other.heartbeat(now_ms(), host.rng.choice((SERVICE, "unknown")))
    await host.put(other.instance, body, 0.0)


@fault
async def cut_worker(host: WorkerHost, length_s: float) -> None:
    """Cut a worker from its agent; it runs on, and its heartbeats go on."""
    assert host.agent is not None and host.agent.worker is not None
    proxy = host.agent.worker
    proxy.set_mode(host.rng.choice((Mode.CUT, Mode.SILENT)))
    await asyncio.sleep(length_s * 2)
    proxy.set_mode(Mode.CUT)
    if not host.worker.is_down(now_ms()):
        proxy.set_mode(Mode.PASS)


def _next_instance(host: WorkerHost, share: float) -> str:
    """Return a new identity, or an empty string to keep the present one."""
    base = host.worker.instance.partition("-")[0]
    return f"{base}-{now_ms()}" if host.rng.random() < share else ""


@attrs.define(eq=False)
class WorkerSoak(Soak):
    """Soak with strict workers; see `Soak`.

    Attributes:
        kinds: Names of the faults to draw from.
        load: Share of the full load.
        hosts: Workers behind HTTP.
        outcomes: Number of requests by outcome.
    """

    kinds: tuple[str, ...] = ()
    load: float = 1.0
    hosts: list[WorkerHost] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    times: dict[str, int] = attrs.field(factory=dict)
    _jobs: int = 0

    async def start(self) -> None:
        """Start the stand-ins and all processes."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        self.callers = Callers(self.entries, self.plan, self.session)
        self.store.declared.append(("config", orjson.dumps(declarations(1))))
        self.store_address = self._serve(self.store.app())
        for number in range(self.plan.entries):
            name = f"e{number}"
            self.entries.append(await self._daemon(name, "entry", ""))
        for number in range(self.plan.agents):
            rng = random.Random(f"{self.seed} {number}")
            worker = TimedWorker(
                instance=f"w{number}",
                capacity=CAPACITY,
                clock_rate=rng.choice((1.0, 0.98)),
                stop_takes_ms=rng.choice((0, 50)),
                times=self.times,
            )
            worker.begin_life(now_ms())
            host = WorkerHost(worker, rng, self.session)
            address = self._serve(host.app())
            name = f"u{number}"
            host.agent = await self._daemon(name, "agent", address)
            self.workers.append(worker)
            self.agents.append(host.agent)
            self.hosts.append(host)
        for daemon in self.daemons:
            await daemon.start()

    # Callers.

    async def submit_kind(self, kind: int, rng: random.Random) -> None:
        """Send jobs of one kind for the time of the plan, and wait for their ends."""
        end_ms = now_ms() + self.plan.seconds * 1_000
        count, run_ms, _ = KINDS[kind]
        async with asyncio.TaskGroup() as group:
            while now_ms() < end_ms:
                self._jobs += 1
                job_id = f"{self._jobs:016x}"
                self.times[job_id] = run_ms
                group.create_task(self._call(job_id, count, run_ms, rng))
                await asyncio.sleep(rng.expovariate(RATES[kind] * self.load))

    async def _call(
        self, job_id: str, count: int, run_ms: int, rng: random.Random
    ) -> None:
        """Send a job, and send it again while its end is open."""
        step = {
            "count": count,
            "cpu": TASK_CPU,
            "mem_mb": 64,
            "estimate_ms": run_ms,
        }
        body = orjson.dumps({"spec": "x", "steps": [step], "best_effort": True})
        for number in range(MAX_SENDS):
            if number:
                await asyncio.sleep(RESEND_S)
            entry = rng.choice(self.entries)
            at_ms = now_ms()
            outcome = await self._post(entry, job_id, body)
            self.outcomes[outcome] += 1
            self.callers.sends.append(
                Send(job_id, entry.name, at_ms, now_ms(), outcome)
            )
            if outcome not in ("left", "broken", "502", "504"):
                return

    async def _post(self, entry: Daemon, job_id: str, body: bytes) -> str:
        headers = {
            "Host": "soak.example",
            "X-Catkincross-Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{entry.address}/r/{job_id}"
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1_000),
                self.session.post(url, data=body, headers=headers) as response,
            ):
                await response.read()
                return str(response.status)
        except TimeoutError:
            return "left"
        except (aiohttp.ClientError, OSError):
            # The entry is down; the caller sends the job again.
            return "broken"

    # Faults.

    async def disturb(self, rng: random.Random) -> None:
        """Do faults at random times."""
        end_ms = now_ms() + self.plan.seconds * 1_000
        async with asyncio.TaskGroup() as group:
            while now_ms() < end_ms and self.kinds != (NO_FAULT,):
                name = rng.choice(self.kinds or (*sorted(FAULTS), *DAEMON_KINDS))
                length_s = rng.choice((0.1, 0.4, 1.0, 2.5))
                group.create_task(self._disturb_once(name, length_s, rng))
                await asyncio.sleep(rng.uniform(0.05, 0.8))

    async def _disturb_once(
        self, name: str, length_s: float, rng: random.Random
    ) -> None:
        host = rng.choice(self.hosts)
        daemon = rng.choice(self.daemons)
        of_worker = name in FAULTS
        target = host.worker.instance if of_worker else daemon.name
        entry = Fault(f"{name} {target}", now_ms())
        self.faults.append(entry)
        if of_worker:
            await FAULTS[name](host, length_s)
        else:
            await DAEMON_FAULTS[name](daemon, length_s)
        entry.end_ms = now_ms()

    # Findings.

    def false_ends(self) -> Iterator[str]:
        """Yield the log lines of agents on the end of a run that went on."""
        for host in self.hosts:
            assert host.agent is not None
            runs = runs_of(host.worker)
            log = host.agent.settings.with_suffix(".log")
            for line in log.read_text(encoding="utf-8").splitlines():
                fields = json.loads(line) if line.startswith("{") else {}
                event = fields.get("message_type", "").partition(": ")[2]
                inferred = event == "run not started" or (
                    event == "run ended" and fields["how"] in INFERRED_ENDS
                )
                if not inferred:
                    continue
                at_ms = fields["clock_ms"]
                key = fields["task"], fields["run"]
                for run in runs:
                    if (run.task, run.number) == key and (
                        run.start_ms <= at_ms < run.end_ms - LOG_DELAY_MS
                    ):
                        yield f"{host.agent.name} {line}"


async def soak(run: WorkerSoak) -> None:
    """Run a soak until all its runs have ended."""
    this_task = asyncio.current_task()
    assert this_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    beats: list[asyncio.Task[None]] = []
    try:
        await run.start()
        beats += [asyncio.create_task(host.beat()) for host in run.hosts]
        await asyncio.sleep(2 * HEARTBEAT_S)
        run.began_ms = now_ms()
        async with asyncio.TaskGroup() as group:
            for kind in range(len(KINDS)):
                rng = random.Random(f"{run.seed} {kind}")
                group.create_task(run.submit_kind(kind, rng))
            group.create_task(run.disturb(random.Random(run.seed)))
        await asyncio.sleep(QUIET_S)
    finally:
        for task in beats:
            task.cancel()
        await run.stop()


def find_problems(run: WorkerSoak) -> list[str]:
    """Return what was wrong: tasks that ran twice at a time, and false ends."""
    for worker in run.workers:
        worker.advance(now_ms())
    overlaps = [
        describe(pair, run.callers.sends, run.faults, run.began_ms)
        for pair in overlapping_runs(run.workers)
    ]
    return [*overlaps, *run.false_ends()]


def run_soak(run: WorkerSoak) -> bool:
    """Run a soak, print what was found, and return whether all promises held."""
    run.folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(soak(run))
    findings = find_problems(run)
    calls = sum((host.calls for host in run.hosts), Counter[tuple[str, int]]())
    lines = [
        f"seed {run.seed}: {len(run.faults)} faults, {len(findings)} findings, "
        f"requests {dict(run.outcomes)}, exits {run.exits}",
        "calls " + ", ".join(f"{p} {s}: {n}" for (p, s), n in sorted(calls.items())),
        *findings,
    ]
    click.echo("\n".join(lines))
    faults = [f"{(f.at_ms - run.began_ms) / 1e3:.1f} s {f.what}" for f in run.faults]
    began = f"traffic began at clock_ms {run.began_ms} of the logs"
    text = "\n".join([*lines, began, *faults])
    (run.folder / "report.txt").write_text(text + "\n", encoding="utf-8")
    return not findings


@click.command()
@click.option("--seconds", default=20.0, help="How long faults go on, in seconds.")
@click.option("--seed", default=1, help="Seed of faults and requests.")
@click.option("--load", default=1.0, help="Share of the full load.")
@click.option("--entries", default=3, help="Number of entries.")
@click.option("--agents", default=11, help="Number of agents.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the logs.")
@click.option(
    "--fault",
    "kinds",
    multiple=True,
    type=click.Choice([NO_FAULT, *sorted(FAULTS), *DAEMON_KINDS]),
    help="Fault to draw from; all kinds if none is given.",
)
def main(
    seconds: float,
    seed: int,
    load: float,
    entries: int,
    agents: int,
    keep: Path | None,
    kinds: tuple[str, ...],
) -> None:
    """Run a soak and print what was found."""
    plan = SoakPlan(entries=entries, agents=agents, seconds=seconds)
    with tempfile.TemporaryDirectory() as temporary:
        folder = (keep or Path(temporary)) / f"seed-{seed}"
        held = run_soak(WorkerSoak(folder, seed, plan, kinds=kinds, load=load))
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
