"""Soak of the platform's daemons: real processes, a fault proxy, and signals.

Entries and agents run as processes against the stand-ins of store and workers, which
run here. Faults come at random times from a fixed seed. At the end everything heals,
and the platform's rules are judged on what workers and callers have seen.

    python -m scenarios.platform_soak --seconds 60 --seed 1
    python -m scenarios.platform_soak --plan dense --seeds 1-8 --keep FOLDER
    python -m scenarios.platform_soak --plan ops --site-fault reset_all_channels
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from itertools import count
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import click

from catkincross.transport._http_server import HttpServer
from standins.platform_http import StoreHttp, WorkerHttp, now_ms

from .judge import Finding, Record, judge
from .loopback_proxy import Gateway, Proxy
from .soak_callers import COMPLETED, Callers, SoakPlan, SoakWorker
from .soak_declarations import MAX_ATTEMPTS, SERVICE, DeclarationChanges
from .soak_faults import FAULTS, Daemon
from .soak_findings import Fault
from .soak_node import NODE
from .soak_ports import HOST, free_address
from .soak_site_faults import SITE_FAULTS

HEARTBEAT_S = 1.5
HEARTBEAT_LIMIT_S = 1.0
# Time that a stop of a run takes; a run may end by itself meanwhile.
STOP_MS = 45
PLANS = {"small": SoakPlan.small, "dense": SoakPlan.dense, "ops": SoakPlan.ops}
# Time in which everything has to end after the last fault, in seconds; far above the
# 6 s that a new owner needs at the most.
SETTLE_LIMIT_S = 90.0


@attrs.define(eq=False)
class Soak:
    """Processes, stand-ins and what the client accounts were told.

    Attributes:
        began_ms: When traffic began, on the stand-ins' clock.
        faults: What was done, and which daemons ended by themselves.
        exits: Daemons that ended by themselves, with their exit codes.
        store_address: Address of the store.
        worker_of: Worker of each agent, by its name.
        tasks: Background tasks of each process, by its name.
        settle_s: Time from the last fault until all accepted jobs were completed.
    """

    folder: Path
    seed: int
    plan: SoakPlan
    began_ms: int = attrs.field(factory=now_ms)
    store: StoreHttp = attrs.field(factory=StoreHttp)
    workers: list[SoakWorker] = attrs.field(factory=list)
    entries: list[Daemon] = attrs.field(factory=list)
    agents: list[Daemon] = attrs.field(factory=list)
    faults: list[Fault] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    settle_s: float = 0.0
    servers: list[HttpServer] = attrs.field(factory=list)
    store_address: str = ""
    worker_of: dict[str, SoakWorker] = attrs.field(factory=dict)
    tasks: dict[str, list[asyncio.Task[None]]] = attrs.field(factory=dict)
    _entry_numbers: Iterator[int] = attrs.field(factory=count)
    session: Any = None
    callers: Any = None
    changes: Any = None

    @property
    def daemons(self) -> list[Daemon]:
        """All processes."""
        return self.entries + self.agents

    @property
    def accepted(self) -> list[str]:
        """Stored jobs that were answered with 200."""
        return self.callers.accepted

    async def start(self) -> None:
        """Start the stand-ins and all processes."""
        # A connection that is used again may be closed by the other end meanwhile.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        self.callers = Callers(self.entries, self.plan, self.session)
        self.changes = DeclarationChanges(self)
        self.changes.declare_next()
        self.store_address = self._serve(self.store.app())
        async with asyncio.TaskGroup() as group:
            for _ in range(self.plan.entries):
                group.create_task(self.add_entry())
            for _ in range(self.plan.agents):
                group.create_task(self.add_agent())

    async def add_entry(self) -> None:
        """Start an entry under a new name and address."""
        daemon = await self._daemon(f"e{next(self._entry_numbers)}", "entry", "")
        self.entries.append(daemon)
        await daemon.start()
        self.tasks[daemon.name] = self._throttled(daemon)

    async def add_agent(self) -> None:
        """Start a worker, and its agent under a new name and address."""
        number = len(self.workers)
        worker = SoakWorker(
            f"w{number}",
            seed=self.seed,
            run_range_ms=self.plan.run_ms,
            stop_takes_ms=STOP_MS,
        )
        self.workers.append(worker)
        address = self._serve(WorkerHttp(worker).app())
        daemon = await self._daemon(f"u{number}", "agent", address)
        self.worker_of[daemon.name] = worker
        self.agents.append(daemon)
        await daemon.start()
        beat = asyncio.create_task(self.beat(worker, daemon))
        self.tasks[daemon.name] = [beat, *self._throttled(daemon)]

    def _throttled(self, daemon: Daemon) -> list[asyncio.Task[None]]:
        """Begin to give a process little processor time, if the plan says so."""
        if not self.plan.throttled:
            return []
        return [asyncio.create_task(FAULTS["throttle"](daemon, math.inf))]

    def remove(self, daemon: Daemon) -> None:
        """End what goes on for a process that has left, and the runs of its worker."""
        for task in self.tasks.pop(daemon.name, []):
            task.cancel()
        worker = self.worker_of.pop(daemon.name, None)
        if worker is not None:
            worker.crash(now_ms())

    def _serve(self, app: Any) -> str:
        server = HttpServer(app, f"{HOST}:0")
        server.start()
        self.servers.append(server)
        return server.address

    async def _daemon(self, name: str, role: str, worker: str) -> Daemon:
        store_proxy = Proxy(self.store_address)
        worker_proxy = Proxy(worker) if worker else None
        front = free_address()
        front_proxy = Proxy(front) if role == "entry" else None
        gateway = Gateway() if self.plan.gateways else None
        for proxy in (store_proxy, worker_proxy, front_proxy, gateway):
            if proxy is not None:
                await proxy.start()
        path = self.folder / f"{name}.toml"
        fields = {
            "name": name,
            "port": free_address().partition(":")[2],
            "worker": worker_proxy.address if worker_proxy else "",
            "front": front if role == "entry" else "",
            "ready": free_address() if role == "entry" else "",
            "control": front if role == "agent" else "",
            "store": store_proxy.address,
        }
        path.write_text(NODE.format(**fields), encoding="utf-8")
        path.with_suffix(".log").unlink(missing_ok=True)
        metrics_port = int(free_address().partition(":")[2])
        return Daemon(
            role,
            path,
            store_proxy,
            worker_proxy,
            front,
            metrics_port,
            self._on_exit,
            gateway,
            front_proxy,
        )

    def _on_exit(self, daemon: Daemon, code: int) -> None:
        self.exits.append((daemon.name, code))
        what = f"{daemon.name} ended by itself with code {code}"
        self.faults.append(Fault(what, now_ms(), now_ms()))

    async def beat(self, worker: SoakWorker, agent: Daemon) -> None:
        """Send the heartbeats of a worker until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": SERVICE,
                "address": agent.worker.address if agent.worker else "",
                "zone": "perth",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.plan.worker_cpu, "mem_mb": 8_192},
                "labels": ["a", "r1"],
                "seq": sequence,
                "born": worker.worker_incarnation,
            }
            path = f"/instances/{worker.instance}"
            await self.callers.ask(agent, "PUT", path, body, HEARTBEAT_LIMIT_S)
            await asyncio.sleep(HEARTBEAT_S)

    async def disturb(self, rng: random.Random) -> None:
        """Do faults at random times, and heal them."""
        end_ms = now_ms() + self.plan.seconds * 1_000
        while now_ms() < end_ms:
            name = rng.choice(self.plan.faults)
            number = min(rng.choice(self.plan.at_once), len(self.daemons))
            daemons = rng.sample(self.daemons, number)
            length_s = rng.uniform(0.3, self.plan.longest_fault_s)
            names = " ".join(daemon.name for daemon in daemons)
            fault = Fault(f"{name} {names}", now_ms())
            self.faults.append(fault)
            await asyncio.gather(
                *(FAULTS[name](daemon, length_s) for daemon in daemons)
            )
            fault.end_ms = now_ms()
            await asyncio.sleep(rng.uniform(0.2, 1.0))

    async def disturb_site(self, rng: random.Random) -> None:
        """Do faults of the whole site at random times."""
        end_ms = now_ms() + self.plan.seconds * 1_000
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            if now_ms() > end_ms:
                return
            name = rng.choice(self.plan.site_faults)
            fault = Fault(name, now_ms())
            self.faults.append(fault)
            await SITE_FAULTS[name](self, rng)
            fault.end_ms = now_ms()

    async def settled(self) -> list[str]:
        """Return the accepted jobs that are not completed within the limit."""
        left = list(self.accepted)
        began = time.monotonic()
        while left and self.settle_s < SETTLE_LIMIT_S:
            entry = self.entries[len(left) % len(self.entries)]
            _, found = await self.callers.ask(entry, "GET", f"/r/{left[0]}", None)
            if found == COMPLETED:
                self.callers.completed.add(left.pop(0))
            else:
                await asyncio.sleep(0.05)
            self.settle_s = time.monotonic() - began
        return left

    def findings(self, unfinished: list[str]) -> list[Finding]:
        """Return the broken rules.

        Workers learn of the end of their lease at the next call only, and their agent
        may make no call any more.

        Args:
            unfinished: Accepted jobs that are not completed within the limit.
        """
        for worker in self.workers:
            worker.advance(now_ms())
        record = Record(
            began_ms=self.began_ms,
            workers=self.workers,
            sends=self.callers.sends,
            sizes=self.callers.sizes,
            faults=self.faults,
            worker_cpu=self.plan.worker_cpu,
            task_cpu=self.plan.task_cpu,
            max_attempts=MAX_ATTEMPTS,
            stored=self.callers.accepted,
            completed=self.callers.completed,
            unfinished=unfinished,
            acked_ms=self.changes.acked_ms,
            probes=self.changes.probes,
        )
        return judge(record)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            self.remove(daemon)
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        for server in self.servers:
            await server.stop(0.1)
        await self.session.close()


async def soak(folder: Path, seed: int, plan: SoakPlan) -> tuple[Soak, list[str]]:
    """Run a soak; return it and the accepted jobs that were lost."""
    run = Soak(folder, seed, plan)
    this_task = asyncio.current_task()
    assert this_task is not None
    # A soak that is terminated ends its processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    watching: list[asyncio.Task[None]] = []
    try:
        await run.start()
        await asyncio.sleep(HEARTBEAT_S)
        run.began_ms = now_ms()
        watches = (run.changes.ask_entries, run.changes.watch_store)
        watching = [asyncio.create_task(watch()) for watch in watches]
        async with asyncio.TaskGroup() as group:
            group.create_task(run.callers.submit(random.Random(seed)))
            group.create_task(run.changes.change(random.Random(-seed - 1)))
            for number in range(1, plan.series + 1):
                group.create_task(run.disturb(random.Random(seed + number)))
            if plan.site_faults:
                group.create_task(run.disturb_site(random.Random(-seed)))
        lost = await run.settled()
    finally:
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        await run.stop()
    return run, lost


def run_seed(folder: Path, seed: int, plan: SoakPlan, verbose: bool) -> bool:
    """Run a soak, print what was found, and return whether all promises held."""
    folder.mkdir(parents=True, exist_ok=True)
    run, lost = asyncio.run(soak(folder, seed, plan))
    found = run.findings(lost)
    broken = dict(Counter(finding.rule for finding in found))
    findings = [f"{finding.rule}: {finding.text}" for finding in found]
    faults = [f"{(f.at_ms - run.began_ms) / 1e3:.1f} s {f.what}" for f in run.faults]
    lines = faults if verbose else []
    lines.append(
        f"seed {seed}: {len(run.accepted)} stored jobs accepted, {len(lost)} not "
        f"completed after {run.settle_s:.1f} s, rules broken: {broken or 'none'}, "
        f"{len(run.changes.acked_ms)} versions, {len(run.callers.sends)} requests "
        f"({run.callers.outcomes}), {len(run.exits)} daemons ended by themselves "
        f"{run.exits or ''}"
    )
    click.echo("\n".join(lines + findings))
    report = "\n".join(
        [
            lines[-1],
            f"not completed: {lost}",
            f"traffic began at clock_ms {run.began_ms} of the logs",
            *findings,
            *faults,
        ]
    )
    (folder / "report.txt").write_text(report + "\n", encoding="utf-8")
    return not findings


@click.command()
@click.option("--plan", "name", type=click.Choice(list(PLANS)), default="small")
@click.option("--seconds", default=60.0, help="How long faults go on, in seconds.")
@click.option("--seed", default=1, help="Seed of faults and requests.")
@click.option("--seeds", help="Range of seeds `A-B`, run one after the other.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the logs.")
@click.option("--entries", type=int, help="Number of entries.")
@click.option("--agents", type=int, help="Number of agents.")
@click.option("--run-ms", type=(int, int), help="Range of the tasks' run times.")
@click.option("--jobs-per-s", type=float, help="Rate of jobs.")
@click.option("--series", type=int, help="Number of series of faults side by side.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(sorted(FAULTS)),
    help="Fault to draw from; all kinds if none is given.",
)
@click.option(
    "--site-fault",
    "site_faults",
    multiple=True,
    type=click.Choice(sorted(SITE_FAULTS)),
    help="Fault of the whole site to draw from; none by default.",
)
@click.option("--throttled", is_flag=True, help="Little processor time throughout.")
@click.option("--longest-fault-s", type=float, help="Longest time of a fault.")
@click.option("--leave-s", type=float, help="Time after which a caller leaves.")
@click.option("--resend-s", type=float, help="Delay before a job is sent again.")
def main(
    name: str,
    seconds: float,
    seed: int,
    seeds: str | None,
    keep: Path | None,
    **changes: Any,
) -> None:
    """Run one or more soaks and print what was found."""
    plan = PLANS[name](seconds)
    given = {
        field: value
        for field, value in changes.items()
        if value is not None and value != () and value is not False
    }
    plan = attrs.evolve(plan, **given)
    first, _, last = (seeds or str(seed)).partition("-")
    with tempfile.TemporaryDirectory() as folder:
        results = [
            run_seed((keep or Path(folder)) / f"seed-{number}", number, plan, not seeds)
            for number in range(int(first), int(last or first) + 1)
        ]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
