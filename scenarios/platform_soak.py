"""Soak of the platform's daemons: real processes, a fault proxy, and signals.

Entries and agents run as processes against the stand-ins of store and workers, which
run here. Faults come at random times from a fixed seed. At the end everything heals,
and the promises are checked on what the workers have seen: no task ran twice at a time,
and each accepted job is completed.

    python -m scenarios.platform_soak --seconds 60 --seed 1
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import click
import orjson

from catkincross.transport._http_server import HttpServer
from standins.platform_http import StoreHttp, WorkerHttp, now_ms
from standins.platform_worker import PlatformWorker

from .loopback_proxy import Proxy
from .soak_faults import FAULTS, Daemon
from .soak_ports import HOST, free_address

ENTRIES = 2
AGENTS = 3
SERVICE = "checks"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "soak.example",
            "path_prefix": "/r/",
            "timeout_ms": 1_500,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 60,
        }
    ],
    "services": [{"name": SERVICE}],
    "limits": {"max_body_bytes": 262_144},
}
NODE = """
node_id = "{name}"
ip = "127.0.0.1"
zone = "perth"
port_range = [{port}, {port}]
app = "{worker}"
[listen_addrs]
front = "{front}"
ready = "{ready}"
control = "{control}"
[platform]
address = "{store}"
parts = 16
keep_s = 300
ttl_min_ms = 1000
[bounds]
hold_max_ms = 1000
stop_ms = 50
status_s = 120
grace_s = 6
"""
HEARTBEAT_S = 1.5
SUBMIT_S = 0.15
# Faults last shorter than the limits after which the platform takes hosts out.
LONGEST_FAULT_S = 2.0
# Time in which everything has to end after the last fault, in seconds; far above the
# 6 s that a new owner needs at the most.
SETTLE_LIMIT_S = 90.0


@attrs.define(eq=False)
class Soak:
    """Processes, stand-ins and what the client accounts were told.

    Attributes:
        accepted: Stored jobs that were answered with 200.
        faults: What was done, with the time.
        exits: Daemons that ended by themselves, with their exit codes.
    """

    folder: Path
    seed: int
    store: StoreHttp = attrs.field(factory=StoreHttp)
    workers: list[PlatformWorker] = attrs.field(factory=list)
    daemons: list[Daemon] = attrs.field(factory=list)
    accepted: list[str] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    servers: list[HttpServer] = attrs.field(factory=list)
    session: Any = None

    async def start(self) -> None:
        """Start the stand-ins and all processes."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=8))
        self.store.declared.append(("config", orjson.dumps(CONFIG)))
        store_address = self._serve(self.store.app())
        for number in range(ENTRIES):
            await self._add(f"e{number}", "entry", store_address, "")
        for number in range(AGENTS):
            worker = PlatformWorker(f"w{number}", run_ms=120)
            self.workers.append(worker)
            address = self._serve(WorkerHttp(worker).app())
            await self._add(f"u{number}", "agent", store_address, address)
        for daemon in self.daemons:
            await daemon.start()

    def _serve(self, app: Any) -> str:
        server = HttpServer(app, f"{HOST}:0")
        server.start()
        self.servers.append(server)
        return server.address

    async def _add(self, name: str, role: str, store: str, worker: str) -> None:
        store_proxy = Proxy(store)
        worker_proxy = Proxy(worker) if worker else None
        await store_proxy.start()
        if worker_proxy is not None:
            await worker_proxy.start()
        front = free_address()
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
        metrics_port = int(free_address().partition(":")[2])
        self.daemons.append(
            Daemon(
                role,
                path,
                store_proxy,
                worker_proxy,
                front,
                metrics_port,
                self._on_exit,
            )
        )

    def _on_exit(self, daemon: Daemon, code: int) -> None:
        self.exits.append((daemon.name, code))

    async def ask(self, daemon: Daemon, method: str, path: str, body: Any) -> Any:
        """Return status and body of a request; None without an answer."""
        url = f"http://{daemon.address}{path}"
        headers = {"Host": "soak.example", "X-Catkincross-Deadline-Ms": "4000"}
        try:
            async with self.session.request(
                method, url, data=orjson.dumps(body), headers=headers
            ) as response:
                return response.status, orjson.loads(await response.read() or b"null")
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The process is down or cut; the caller goes on with another.
            return None

    async def beat(self) -> None:
        """Send the heartbeats of all workers until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            agents = [daemon for daemon in self.daemons if daemon.role == "agent"]
            for worker, agent in zip(self.workers, agents, strict=True):
                body = {
                    "service": SERVICE,
                    "zone": "perth",
                    "state": "ready",
                    "capacity": {"cpu": 8_000, "mem_mb": 8_192},
                    "labels": ["a", "r1"],
                    "seq": sequence,
                    "born": worker.worker_incarnation,
                }
                await self.ask(agent, "PUT", f"/instances/{worker.instance}", body)
            await asyncio.sleep(HEARTBEAT_S)

    async def submit(self, rng: random.Random) -> None:
        """Hand in stored and volatile jobs until cancelled."""
        entries = [daemon for daemon in self.daemons if daemon.role == "entry"]
        number = 0
        waiting: set[asyncio.Task[None]] = set()
        while True:
            number += 1
            job_id = f"{number:016x}"
            steps = [{"count": 3, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 120}]
            body = {"spec": "x", "steps": steps, "best_effort": number % 3 == 0}
            task = asyncio.create_task(
                self._submit_one(rng.choice(entries), job_id, body)
            )
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(SUBMIT_S)

    async def _submit_one(
        self, entry: Daemon, job_id: str, body: dict[str, Any]
    ) -> None:
        found = await self.ask(entry, "POST", f"/r/{job_id}", body)
        if found is not None and found[0] == 200 and not body["best_effort"]:
            self.accepted.append(job_id)

    async def disturb(self, rng: random.Random, seconds: float) -> None:
        """Do faults at random times, and heal them."""
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            name = rng.choice(sorted(FAULTS))
            daemon = rng.choice(self.daemons)
            length_s = rng.uniform(0.3, LONGEST_FAULT_S)
            at = time.monotonic() - began
            self.faults.append(f"{at:.1f} s {name} {daemon.name} {length_s:.1f}")
            await FAULTS[name](daemon, length_s)
            await asyncio.sleep(rng.uniform(0.2, 1.0))

    async def settled(self) -> list[str]:
        """Return the accepted jobs that are not completed within the limit."""
        entries = [daemon for daemon in self.daemons if daemon.role == "entry"]
        left = list(self.accepted)
        end = time.monotonic() + SETTLE_LIMIT_S
        while left and time.monotonic() < end:
            job_id = left[0]
            found = await self.ask(entries[len(left) % 2], "GET", f"/r/{job_id}", None)
            if found is not None and found[1] == {"state": "completed"}:
                left.pop(0)
            else:
                await asyncio.sleep(0.05)
        return left

    def overlapping(self) -> list[str]:
        """Return the tasks of which two runs went on at the same time.

        Workers learn of the end of their lease at the next call only, and their agent
        may make no call any more.
        """
        for worker in self.workers:
            worker.advance(now_ms())
        rows = sorted(
            (at, what == "start", task)
            for worker in self.workers
            for at, what, task, _ in worker.run_events
        )
        active: dict[str, int] = {}
        found = []
        for _, starts, task in rows:
            active[task] = active.get(task, 0) + (1 if starts else -1)
            if active[task] > 1:
                found.append(task)
        return found

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            await server.stop(0.1)
        await self.session.close()


async def soak(folder: Path, seed: int, seconds: float) -> tuple[Soak, list[str]]:
    """Run a soak; return it and the accepted jobs that were lost."""
    run = Soak(folder, seed)
    await run.start()
    tasks = [asyncio.create_task(run.beat())]
    try:
        await asyncio.sleep(HEARTBEAT_S)
        tasks.append(asyncio.create_task(run.submit(random.Random(seed))))
        await run.disturb(random.Random(seed + 1), seconds)
        tasks.pop().cancel()
        lost = await run.settled()
    finally:
        for task in tasks:
            task.cancel()
        await run.stop()
    return run, lost


@click.command()
@click.option("--seconds", default=60.0, help="How long faults go on, in seconds.")
@click.option("--seed", default=1, help="Seed of faults and requests.")
def main(seconds: float, seed: int) -> None:
    """Run a soak and print what was found."""
    with tempfile.TemporaryDirectory() as folder:
        run, lost = asyncio.run(soak(Path(folder), seed, seconds))
    for line in run.faults:
        click.echo(line)
    overlapping = run.overlapping()
    click.echo(f"{len(run.accepted)} stored jobs accepted, {len(lost)} not completed")
    click.echo(f"{len(run.exits)} daemons ended by themselves {run.exits or ''}")
    click.echo(f"{len(overlapping)} tasks ran twice at a time: {overlapping[:5]}")
    sys.exit(1 if lost or overlapping else 0)


if __name__ == "__main__":
    main()
