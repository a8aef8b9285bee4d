"""Processes, client accounts and checks of the cases; standard library only.

One process holds the store, the workers and the client accounts. The entries and agents
are started as on the platform, with the commands of the deploy file, each on a loopback
address of its own. The stand-ins follow PROTOCOL.md; where it is silent they are sound.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common import (
    BROKEN,
    HELD,
    HOST_NAME,
    PARTS,
    PREFIX,
    RECORD_BYTES,
    ROOT,
    SERVICE,
    TROUBLE,
    UNUSABLE,
    ZONES,
    call,
    free_port,
    now_ms,
)
from store import Store
from worker import Worker

__all__ = ["TROUBLE", "ZONES", "Case", "Process", "now_ms", "play"]


class Process:
    """A program of the deploy file."""

    def __init__(self, case: Case, name: str, role: str, ip: str, zone: str) -> None:
        self.case, self.name, self.role, self.ip, self.zone = case, name, role, ip, zone
        self.child: asyncio.subprocess.Process | None = None
        self.front = self.ready = self.control = ""
        self.worker = ""

    def write_settings(self, keep_s: int) -> None:
        """Write the settings file as DEPLOY.md describes it."""
        listen = {}
        if self.role == "entry":
            self.front = f"{self.ip}:{free_port(self.ip)}"
            self.ready = f"{self.ip}:{free_port(self.ip)}"
            listen = {"front": self.front, "ready": self.ready}
        else:
            self.control = f"{self.ip}:{free_port(self.ip)}"
            listen = {"control": self.control}
        first = free_port(self.ip)
        lines = [
            f'node_id = "{self.name}"',
            f'role = "{self.role}"',
            f'machine_class = "{"edge" if self.role == "entry" else "side"}"',
            f'serves = ["{"edge" if self.role == "entry" else "side"}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "scot-central"',
            f"port_range = [{first},{first}]",
            "seeds = []",
            "bootstrap = true",
            "heartbeat_ms = 1500",
            'orders = "invocation"',
            f'app = "{self.worker}"' if self.worker else "",
            "[zones]",
            *[f'{zone} = "scot-central"' for zone in ZONES],
            "[listen_addrs]",
            *[f'{key} = "{value}"' for key, value in listen.items()],
            "[bounds]",
            "contact_ms = 3000",
            "ack_ms = 4000",
            "drain_ms = 2000",
            "grace_s = 6",
            "config_apply_ms = 2000",
            "hold_max_ms = 1000",
            "stop_ms = 50",
            "cancel_ms = 3000",
            "visible_ms = 3000",
            "finish_s = 14",
            "status_s = 120",
            "remote_factor = 1.5",
            "retransmit_ms = 1300",
            "[platform]",
            f'address = "{self.case.store.server.address}"',
            'form = "log"',
            f"parts = {PARTS}",
            "append_ms = 3.0",
            f"record_bytes = {RECORD_BYTES}",
            "call_bytes = 2097152",
            f"keep_s = {keep_s}",
            "part_mb = 200",
            "ttl_min_ms = 1000",
        ]
        path = self.case.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.settings = path

    async def start(self) -> None:
        """Start the program as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"][self.role]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= role.get("env", {})
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CATKINCROSS_NODE_FILE"] = str(self.settings)
        log = (self.case.folder / f"{self.name}.log").open("ab")
        self.child = await asyncio.create_subprocess_exec(
            *role["run"].split(), env=env, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.child is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.child.wait()


class Case:
    """One play: a small deployment, what was seen, and the record."""

    def __init__(self, folder: str) -> None:
        self.record = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.began = now_ms()
        self.starts: list[tuple[int, str, int, str]] = []
        self.lost: list[tuple[int, str, int, str]] = []
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.workers: list[Worker] = []
        self.background: list[asyncio.Task[None]] = []

    def event(self, text: str) -> None:
        """Write a line of the record, with seconds since the begin."""
        self.record.write(f"{(now_ms() - self.began) / 1_000:8.3f} {text}\n")

    async def start(
        self,
        *,
        entries: int = 2,
        agents: int = 4,
        keep_s: int = 300,
        max_attempts: int = 3,
        slo_ms: int = 60,
        capacity: dict[str, int] | None = None,
        work_ms: Callable[[str], int],
        settle_s: float = 3.5,
        labels: Callable[[int], list[str]] = lambda number: ["a"],
    ) -> None:
        """Start the stand-ins and all processes, and wait until they serve."""
        config = {
            "version": 1,
            "routes": [
                {
                    "name": "lohu930",
                    "host": HOST_NAME,
                    "path_prefix": PREFIX,
                    "timeout_ms": 4_000,
                    "service": SERVICE,
                    "max_attempts": max_attempts,
                    "stretch": 1.6,
                    "slo_ms": slo_ms,
                }
            ],
            "services": [{"name": SERVICE}],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store = Store(config, keep_s)
        await self.store.server.start("127.0.0.1")
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            entry = Process(
                self, f"edge-{number}", "entry", f"127.0.1.{number + 1}", zone
            )
            self.entries.append(entry)
        room = capacity or {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
        for number in range(agents):
            zone = ZONES[number % len(ZONES)]
            agent = Process(
                self, f"side-{number}", "agent", f"127.0.2.{number + 1}", zone
            )
            worker = Worker(self, f"i-{number:08x}", zone, room, work_ms)
            worker.labels = labels(number)
            agent.worker = await worker.server.start(agent.ip)
            self.agents.append(agent)
            self.workers.append(worker)
        for process in (*self.entries, *self.agents):
            process.write_settings(keep_s)
            await process.start()
        for worker, agent in zip(self.workers, self.agents, strict=True):
            worker.control = agent.control
            self.background.append(asyncio.create_task(worker.beat()))
            self.background.append(asyncio.create_task(worker.tick()))
        end = now_ms() + 15_000
        for entry in self.entries:
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    if (await call(entry.ready, "GET", "/readiness", None, 1.0))[
                        0
                    ] == 200:
                        break
                if now_ms() > end:
                    raise RuntimeError(f"{entry.name} does not get ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)
        self.event("all processes serve")

    async def ask(
        self,
        method: str,
        job: str,
        body: Any = None,
        *,
        entry: Process | None = None,
        limit_s: float = 2.0,
        quiet: bool = False,
    ) -> tuple[int, Any] | None:
        """Send a client's request; None if there was no answer."""
        at = entry or self.entries[0]
        try:
            answer = await call(at.front, method, PREFIX + job, body, limit_s)
        except (OSError, TimeoutError) as error:
            self.event(f"client {method} {job} at {at.name}: no answer ({error!r})")
            return None
        if not quiet:
            self.event(f"client {method} {job} at {at.name}: {answer}")
        return answer

    async def submit(self, job: str, body: dict[str, Any], **more: Any) -> bool:
        """Hand in a job until it is accepted, as a client does; at most 5 times."""
        for _ in range(5):
            answer = await self.ask("POST", job, body, **more)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def owner_of(self, job: str) -> Process:
        """Return the entry that owns the partition of a job, as the store lists it.

        The partition is taken from the records, which name the job.
        """
        for part, records in self.store.parts.items():
            if any(job.encode() in record for _, record in records):
                member = self.store.holder[part]
                return next(e for e in self.entries if member.startswith(e.name + "|"))
        raise RuntimeError(f"no record of job {job}")

    def twice(self) -> list[str]:
        """Return what breaks the rule TWICE, of all tasks.

        Two runs of a task at the same time on minions that are up; or a start after an
        end `done` that is taken note of, then or later.
        """
        found = self.overlapping()
        done: dict[str, list[dict[str, Any]]] = {}
        for end in self._ends():
            if end["how"] == "done" and end["noted"] and not end["lapsed"]:
                done.setdefault(end["task"], []).append(end)
        for at, task, run, name in self.starts:
            for end in done.get(task, []):
                if at > end["at"]:
                    found.append(
                        f"{task}: run {run} began on {name} {at - end['at']} ms"
                        f" after run {end['run']} had ended done on"
                        f" {end['worker']}; that end was taken note of"
                        f" {end['noted'] - end['at']} ms after it"
                    )
        return found

    def overlapping(self) -> list[str]:
        """Return the tasks of which two runs went on at once on minions that are up."""
        found = []
        ended_at = {(e["worker"], e["task"], e["run"]): e["at"] for e in self._ends()}
        ended_at |= {(name, task, run): at for at, task, run, name in self.lost}
        by_task: dict[str, list[tuple[int, int, str]]] = {}
        for at, task, run, name in self.starts:
            by_task.setdefault(task, []).append((at, run, name))
        for task, starts in by_task.items():
            starts.sort()
            for number, (at, run, name) in enumerate(starts):
                for other_at, other_run, other in starts[:number]:
                    until = ended_at.get((other, task, other_run), now_ms())
                    if until > at:
                        found.append(
                            f"{task}: run {run} began on {name} while run {other_run}"
                            f" was in progress on {other}, {at - other_at} ms after its"
                            f" start and {until - at} ms before its end"
                        )
        return found

    def _ends(self) -> list[dict[str, Any]]:
        return [end for worker in self.workers for end in worker.past + worker.ended]

    def idle_since(self, job: str) -> int:
        """Return since when no minion that is up runs a task of a job."""
        if any(t.startswith(job) for w in self.workers for t in w.running):
            return now_ms()
        times = [e["at"] for e in self._ends() if e["task"].startswith(job)]
        times += [at for at, task, _, _ in self.lost if task.startswith(job)]
        return max(times, default=self.began)

    def idle_for(self, job: str) -> int:
        """Return for how long no minion that is up has run a task of a job."""
        return now_ms() - self.idle_since(job)

    async def watch_job(self, job: str, limit_s: float) -> tuple[str, int]:
        """Ask for a job until it has ended; return its state and how long it idles."""
        end = now_ms() + int(limit_s * 1_000)
        state = ""
        while now_ms() < end and state not in ("completed", "failed", "cancelled"):
            await asyncio.sleep(0.25)
            at = self.entries[now_ms() % len(self.entries)]
            answer = await self.ask("GET", job, entry=at, quiet=True)
            if answer is not None and answer[0] == 200 and answer[1]["state"] != state:
                state = answer[1]["state"]
                self.event(f"client GET {job} at {at.name}: {answer}")
        return state, self.idle_for(job)

    async def stop(self) -> None:
        """End all processes and stand-ins; KEEP_LOGS names a folder for their logs."""
        for task in self.background:
            task.cancel()
        for process in (*self.entries, *self.agents):
            await process.end()
        for server in (self.store.server, *(w.server for w in self.workers)):
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def play(folder: str, scenario: Callable[[Case], Awaitable[list[str] | None]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    The scenario returns what breaks the rule, or None if the case could not run.
    """

    async def run() -> int:
        case = Case(folder)
        try:
            async with asyncio.timeout(116):
                broken = await scenario(case)
        except Exception as error:
            case.event(f"could not run: {error!r}")
            broken = None
        finally:
            await case.stop()
        if broken is None:
            code = UNUSABLE
        else:
            for line in broken[:40]:
                case.event(f"BROKEN {line}")
            code = BROKEN if broken else HELD
        case.event(f"exit {code}, TROUBLE={'1' if TROUBLE else '0'}")
        case.record.close()
        print(f"exit {code}, {len(broken or [])} findings")
        return code

    sys.exit(asyncio.run(run()))
