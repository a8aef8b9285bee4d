"""A small deployment on loopback: the programs of the deploy file, and stand-ins.

Each host has a loopback address of its own, so that ports are the same on all hosts as
on the users' platform.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .http import call
from .store import PARTS, Store
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
SERVICE, HOST = "huvo11a", "nony24.example"
DEADLINE = {"Host": HOST, "X-Catkincross-Deadline-Ms": "1500"}
ZONES = ("gyeongbuk-a", "gyeongbuk-b", "gyeongbuk-c", "gyeongbuk-d")
# Settings of DEPLOY.md's example; `keep_s` and the limits of the store are its own.
NODE = """
node_id = "{name}"
role = "{role}"
machine_class = "{machine_class}"
ip = "{ip}"
zone = "{zone}"
region = "gyeongbuk"
port_range = [7720, 7735]
bootstrap = true
heartbeat_ms = 1500
orders = "invocation"
{app}
[listen_addrs]
{listen}
[limits]
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
stop_ms = 50
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
lease_ms = 3000
retransmit_ms = 1300
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 16
append_ms = 3.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


def route(prefix: str, *, max_attempts: int = 2, stretch: float = 1.6) -> Any:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "route_type": "unsafe",
        "timeout_ms": 1500,
        "slo_ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": max_attempts,
        "stretch": stretch,
    }


class Daemon:
    """A program of the deploy file, as a process."""

    def __init__(self, role: str, node_file: Path, note: Any) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        fields = deploy["roles"][role]
        self.name, self.note = node_file.stem, note
        self.command = fields["run"].split()
        self.env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        self.env |= fields["env"]
        self.env["PYTHONPATH"] = str(ROOT / "target/deps")
        self.env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.env["CATKINCROSS_NODE_FILE"] = str(node_file)
        self.log = node_file.with_suffix(".log")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.env, stdout=out, stderr=out
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.note(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it is there."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Rig:
    """A deployment with entries, agents with their workers, and the store."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.net = self._free_net()
        self.folder = Path(tempfile.mkdtemp(prefix="catkincross-case-"))
        self.store = Store(self.note)
        self.entries: list[Daemon] = []
        self.agents: list[Daemon] = []
        self.workers: list[Worker] = []
        self.random = random.Random(7)

    @staticmethod
    def _free_net() -> str:
        """Return the first three numbers of loopback addresses that nobody uses."""
        for number in range(200):
            at = os.getpid() * 7 + number * 131
            net = f"127.{1 + at // 250 % 250}.{1 + at % 250}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", 8169))
                return net
            except OSError:
                continue
        raise OSError("no free loopback address")

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now:9.3f} {text}")

    async def start(
        self, entries: int, workers: int, routes: list[Any], cpu: int = 32_000
    ) -> None:
        """Start everything, and wait until the entries are ready."""
        self._declare(routes)
        await self.store.server.start(f"{self.net}.1:8169")
        self._make_entries(entries)
        for number in range(workers):
            ip, name = f"{self.net}.{100 + number}", f"side-{number}"
            app, listen = f'app = "{ip}:8165"', f'control = "{ip}:8166"'
            path = self._write_node(name, "agent", "side", ip, number, app, listen)
            self.agents.append(Daemon("agent", path, self.note))
            worker = Worker(
                f"i-{number:08x}",
                f"{ip}:8165",
                f"{ip}:8166",
                self.note,
                service=SERVICE,
                zone=ZONES[number % len(ZONES)],
                cpu=cpu,
                kind="b" if number % 3 == 2 else "a",
                rack=f"r1-{number // 3}",
            )
            self.workers.append(worker)
        for daemon in [*self.entries, *self.agents]:
            daemon.start()
        for worker in self.workers:
            await worker.start()
        await self.wait(self._ready, 20.0)
        # Each minion's next status report has arrived by then.
        await asyncio.sleep(2.0)
        self.note("ready")

    def _declare(self, routes: list[Any]) -> None:
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        services = [{"name": SERVICE, "rejects_overload": False, "standby": False}]
        config = {
            "version": 7,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.declare("config", config)

    def _make_entries(self, count: int) -> list[Daemon]:
        first = len(self.entries)
        for number in range(first, first + count):
            ip, name = f"{self.net}.{10 + number}", f"edge-{number}"
            listen = f'front = "{ip}:8161"\nready = "{ip}:8167"'
            path = self._write_node(name, "entry", "edge", ip, number, "", listen)
            self.entries.append(Daemon("entry", path, self.note))
        return self.entries[first:]

    async def add_entries(self, count: int) -> None:
        """Add entries, and wait until they are ready."""
        self.note(f"{count} entries are added")
        for daemon in self._make_entries(count):
            daemon.start()
        await self.wait(self._ready, 20.0)

    def _write_node(
        self,
        name: str,
        role: str,
        machine_class: str,
        ip: str,
        number: int,
        app: str,
        listen: str,
    ) -> Path:
        path = self.folder / f"{name}.toml"
        path.write_text(
            NODE.format(
                name=name,
                role=role,
                machine_class=machine_class,
                ip=ip,
                zone=ZONES[number % len(ZONES)],
                app=app,
                listen=listen,
                store=f"{self.net}.1:8169",
            )
        )
        return path

    async def _ready(self) -> bool:
        for number in range(len(self.entries)):
            address = f"{self.net}.{10 + number}:8167"
            status, _ = await call(address, "GET", "/readiness", None, {}, 0.5)
            if status != 200:
                return False
        return len(self.store.owner) == PARTS

    async def wait(self, done: Callable[[], Awaitable[bool]], limit_s: float) -> None:
        """Wait until `done` returns True.

        Raises:
            TimeoutError: If it does not within the limit.
        """
        until = time.monotonic() + limit_s
        while not await done():
            if time.monotonic() > until:
                raise TimeoutError("the deployment is not ready")
            await asyncio.sleep(0.1)

    # Clients.

    def job_id(self) -> str:
        """Return a new ID, as a client draws it."""
        return f"{self.random.getrandbits(64):016x}"

    async def ask(
        self, method: str, path: str, body: Any = None, *, entry: int = -1
    ) -> tuple[int, Any]:
        """Send a request to an entry; a random one if none is given."""
        if entry < 0:
            entry = self.random.randrange(len(self.entries))
        address = f"{self.net}.{10 + entry}:8161"
        status, answer = await call(address, method, path, body, DEADLINE, 2.0)
        if method != "GET":
            self.note(f"client: {method} {path} -> {status} {answer}")
        return status, answer

    async def submit(self, prefix: str, job_id: str, body: Any) -> bool:
        """Hand a job in until it is accepted or rejected; return whether it was."""
        for _ in range(8):
            status, _ = await self.ask("POST", prefix + job_id, body)
            if status in (200, 201, 202):
                return True
            if status in (429, 503, 404, 400, 413):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, prefix: str, job_id: str) -> str:
        """Return the state of a job as the client sees it; a status without one."""
        status, answer = await self.ask("GET", prefix + job_id)
        found = answer.get("state", "") if isinstance(answer, dict) else ""
        return found if status == 200 else f"status {status}"

    def owner_of(self, job_id: str) -> int:
        """Return the entry that has recorded a job, as the store can tell."""
        for number, part in enumerate(self.store.parts):
            if any(job_id.encode() in record for record in part.records):
                name = self.store.owner[number].partition("|")[0]
                return int(name.removeprefix("edge-"))
        raise RuntimeError("the job is not recorded")

    # The end.

    async def stop(self) -> None:
        """End all processes and stand-ins, and write the record."""
        for daemon in [*self.entries, *self.agents]:
            daemon.end()
        for worker in self.workers:
            if worker.up:
                worker.up = False
                worker.server.stop()
                for task in worker.tasks:
                    task.cancel()
        self.store.server.stop()
        # Handlers of the aborted connections end.
        await asyncio.sleep(0.1)
        # `net` differs from run to run.
        text = "\n".join(self.lines).replace(self.net, "127.x.y")
        (self.case / "record.txt").write_text(text + "\n", encoding="utf-8")
        if os.environ.get("KEEP") != "1":
            for path in self.folder.iterdir():
                path.unlink()
            self.folder.rmdir()


def run(case: Path, body: Callable[[Rig], Awaitable[list[str]]]) -> None:
    """Run a case: exit 0 if the rule held, 1 if it was broken, 2 if it did not run."""
    rig = Rig(case)

    async def main() -> int:
        code = 2
        try:
            broken = await body(rig)
            for line in broken:
                rig.note(f"broken: {line}")
            rig.note("the rule was broken" if broken else "the rule held")
            code = 1 if broken else 0
        except Exception as error:
            rig.note(f"the case could not run: {error!r}")
        try:
            await rig.stop()
        except OSError as error:
            print(f"the case did not end cleanly: {error!r}", file=sys.stderr)
            code = 2
        return code

    code = asyncio.run(main())
    print("\n".join(rig.lines[-8:]), file=sys.stderr)
    sys.exit(code)
