"""Stand-ins and processes for the cases of the review; standard library only.

One process holds the store, the workers and the client accounts. The entries and agents
are started as on the platform, with the commands of the deploy file, each on a loopback
address of its own. The stand-ins follow PROTOCOL.md; where it is silent they are sound.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ZONES = ("perth", "stirling", "dundee")
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
RECORD_BYTES = 262_144
HELD, BROKEN, UNUSABLE = 0, 1, 2

Answer = tuple[int, bytes] | None
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


def now_ms() -> int:
    """Return the steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def free_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def body_of(content: Any) -> bytes:
    """Return JSON."""
    return json.dumps(content).encode()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(size)


class Server:
    """HTTP/1.1 server on loopback.

    `silent` holds back all answers; `close` resets what is open and listens no more.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.silent = False
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, ip: str, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if self.silent:
                    continue
                answer = await self.handler(method, target, headers, body)
                if answer is None or self.silent:
                    continue
                status, content = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store, in the form of a log."""

    def __init__(self, config: dict[str, Any], keep_s: float) -> None:
        self.server = Server(self.handle)
        self.busy = False
        self.keep_ms = keep_s * 1_000
        self.declared = [("config", body_of(config))]
        # Records of a partition with the time of the append, first offset, producer.
        self.parts: dict[int, list[tuple[int, bytes]]] = {}
        self.first: dict[int, int] = {}
        self.producers: dict[int, dict[str, Any]] = {}
        self.joined: dict[str, int] = {}
        self.known: dict[str, int] = {}
        self.ttl: dict[str, int] = {}
        self.generation = 0
        self.target: dict[int, str] = {}
        self.holder: dict[int, str] = {}
        self.changed: dict[int, int] = {}

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "wait_ms" not in query:
            await asyncio.sleep(STORE_ANSWER_S)
        if self.server.silent:
            return None
        if self.busy:
            # While the store is down, the times of its members pause.
            self.joined = dict.fromkeys(self.joined, now_ms())
            return 503, b"{}"
        call = getattr(self, parts.path.strip("/").replace("-", "_"), None)
        if call is None:
            return 404, b"{}"
        return await call(query, body)

    def _expire(self, part: int) -> list[tuple[int, bytes]]:
        records = self.parts.setdefault(part, [])
        dropped = 0
        while dropped < len(records) and now_ms() - records[dropped][0] > self.keep_ms:
            dropped += 1
        del records[:dropped]
        self.first[part] = self.first.get(part, 0) + dropped
        return records

    async def log_append(self, query: dict[str, str], body: bytes) -> Answer:
        part, epoch, seq = (int(query[name]) for name in ("part", "epoch", "seq"))
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        if any(len(record) > RECORD_BYTES for record in records):
            return 400, body_of({"error": "record too large"})
        kept = self._expire(part)
        producer = self.producers.setdefault(part, {"epoch": -1, "seq": -1, "last": {}})
        if epoch < producer["epoch"]:
            return 409, body_of({"reason": "fenced"})
        if epoch > producer["epoch"]:
            producer.update(epoch=epoch, seq=seq - 1, last={})
        if seq in producer["last"]:
            return 200, producer["last"][seq]
        if seq != producer["seq"] + 1:
            return 409, body_of({"reason": "seq", "seq": producer["seq"] + 1})
        offset = self.first[part] + len(kept)
        kept.extend((now_ms(), record) for record in records)
        answer = body_of({"offset": offset, "end": offset + len(records)})
        producer["seq"] = seq
        producer["last"][seq] = answer
        for old in sorted(producer["last"])[:-5]:
            del producer["last"][old]
        return 200, answer

    async def log_read(self, query: dict[str, str], body: bytes) -> Answer:
        offset = int(query["from"])
        until = now_ms() + int(query.get("wait_ms", 0))
        while True:
            if query["topic"] == "keyed.op":
                first = 0
                records = [
                    bytes([len(key)]) + key.encode() + value
                    for key, value in self.declared
                ]
            else:
                kept = self._expire(int(query["part"]))
                records = [record for _, record in kept]
                first = self.first[int(query["part"])]
            end = first + len(records)
            if offset < end or now_ms() >= until:
                break
            await asyncio.sleep(0.02)
        if offset < first:
            return 410, body_of({"first": first})
        content = end.to_bytes(8, "big") + first.to_bytes(8, "big")
        limit = int(query.get("max_kb", 1_024)) * 1_024
        for record in records[offset - first :]:
            if len(content) + len(record) > limit and len(content) > 16:
                break
            content += len(record).to_bytes(4, "big") + record
        return 200, content

    async def log_newest(self, query: dict[str, str], body: bytes) -> Answer:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for offset, (key, value) in enumerate(self.declared)
        ]
        return 200, body_of(
            {"items": items, "truncated": False, "end": len(self.declared)}
        )

    def _settle(self) -> None:
        """Drop silent members, deal the partitions, and move those that are free."""
        for member in [
            m for m in self.joined if now_ms() - self.joined[m] > self.ttl[m]
        ]:
            self._remove(member)
        for part, member in self.target.items():
            holder = self.holder.get(part, "")
            if holder == member:
                continue
            if holder not in self.joined or self.known[holder] >= self.changed[part]:
                self.holder[part] = member

    def _remove(self, member: str) -> None:
        if self.joined.pop(member, None) is not None:
            self._deal()

    def _deal(self) -> None:
        self.generation += 1
        members = list(self.joined)
        if not members:
            self.target.clear()
            return
        # Partitions stay with their member as long as the shares are even.
        most = -(-PARTS // len(members))
        held = {member: 0 for member in members}
        free = []
        for part in range(PARTS):
            member = self.target.get(part, "")
            if member in held and held[member] < most:
                held[member] += 1
            else:
                free.append(part)
        for part in free:
            member = min(members, key=lambda name: held[name])
            held[member] += 1
            self.target[part] = member
            self.changed[part] = self.generation

    async def log_join(self, query: dict[str, str], body: bytes) -> Answer:
        fields = json.loads(body)
        member = fields["member"]
        self._settle()
        new = member not in self.joined
        self.joined[member] = now_ms()
        self.ttl[member] = fields["ttl_ms"]
        self.known[member] = fields["generation"]
        if new:
            self._deal()
        self._settle()
        rows = [
            ["jobs", part, 0]
            for part in range(PARTS)
            if self.holder.get(part) == member and self.target.get(part) == member
        ]
        return 200, body_of({"generation": self.generation, "parts": rows})

    async def log_leave(self, query: dict[str, str], body: bytes) -> Answer:
        self._remove(json.loads(body)["member"])
        self._settle()
        return 200, b"{}"

    async def log_owners(self, query: dict[str, str], body: bytes) -> Answer:
        self._settle()
        rows = [["jobs", part, self.holder[part], 0] for part in sorted(self.holder)]
        return 200, body_of({"owners": rows})


PARTS = 16


class Worker:
    """A minion: runs tasks under a lease, and lists their ends."""

    def __init__(
        self,
        case: Case,
        name: str,
        zone: str,
        capacity: dict[str, int],
        work_ms: Callable[[str], int],
    ) -> None:
        self.case = case
        self.name, self.zone, self.capacity = name, zone, capacity
        self.work_ms = work_ms
        self.server = Server(self.handle)
        self.born = time.time_ns() // 1_000_000
        self.alive = True
        self.fence = 0
        self.lease_until = 0
        self.running: dict[str, dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.ended: list[dict[str, Any]] = []
        # Ends of earlier lives.
        self.past: list[dict[str, Any]] = []
        self.highest: dict[str, int] = {}
        self.last_end = self.cursor = self.sequence = 0
        self.end_listed = asyncio.Event()
        self.control = ""
        self.labels = ["a"]

    async def beat(self) -> None:
        """Send status reports to the agent until the worker is lost."""
        while self.alive:
            self.sequence += 1
            fields = {
                "service": SERVICE,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": [*self.labels, f"r-{self.zone}"],
                "clock_ms": now_ms(),
                "seq": self.sequence,
                "born": self.born,
            }
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await call(self.control, "PUT", f"/instances/{self.name}", fields, 1.0)
            await asyncio.sleep(HEARTBEAT_S if self.sequence > 3 else 0.5)

    async def tick(self) -> None:
        """End the runs whose work is done, and all when the lease lapses."""
        while self.alive:
            await asyncio.sleep(0.005)
            at = now_ms()
            if self.lease_until and at >= self.lease_until:
                self.lease_until = 0
                for end in self.ended:
                    # An end that is acknowledged after a lapse is never taken note of.
                    end["lapsed"] = end["lapsed"] or not end["noted"]
                for run in list(self.running.values()):
                    if self.running.get(run["task"]) is run:
                        self._end(run, "lapsed")
            for run in list(self.running.values()):
                if at >= run["ends"] and self.running.get(run["task"]) is run:
                    self._end(run, "done")

    def _end(self, run: dict[str, Any], how: str) -> None:
        self.last_end += 1
        del self.running[run["task"]]
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["run"])
        self.finished.append([self.last_end, run["task"], run["run"], how, ""])
        self.ended.append(
            {
                "n": self.last_end,
                "task": run["task"],
                "run": run["run"],
                "how": how,
                "at": now_ms(),
                "noted": 0,
                "lapsed": False,
                "worker": self.name,
            }
        )
        self.case.event(f"{self.name} {how} {run['task']} run {run['run']}")
        self.end_listed.set()

    def lose(self) -> None:
        """Be lost for good: nothing is said, nothing runs any more."""
        self.alive = False
        self.server.close()
        for run in list(self.running.values()):
            self.case.event(f"{self.name} lost {run['task']} run {run['run']}")
            self.case.lost.append((now_ms(), run["task"], run["run"], self.name))
        self.running.clear()

    async def crash(self, down_s: float) -> None:
        """Crash, and start again at the same address with nothing known of before."""
        self.lose()
        await asyncio.sleep(down_s)
        self.running, self.finished, self.highest = {}, [], {}
        self.past += self.ended
        self.ended = []
        self.fence = self.lease_until = 0
        self.last_end = self.cursor = self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.alive = True
        host, _, port = self.server.address.rpartition(":")
        await self.server.start(host, int(port))
        self.case.event(f"{self.name} is back")
        self.case.background.append(asyncio.create_task(self.beat()))
        self.case.background.append(asyncio.create_task(self.tick()))

    def _extend(self, until: int | None) -> None:
        if until is not None:
            limit = now_ms() + 1_000
            self.lease_until = max(self.lease_until, min(until, limit))

    def _fields(self, **more: Any) -> bytes:
        return body_of({"clock_ms": now_ms(), "born": self.born, **more})

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if headers.get("x-catkincross-target-instance", self.name) != self.name:
            return 421, b""
        fields = json.loads(body)
        if fields.get("fencing_token", 0) < self.fence:
            return 409, self._fields(reason="fence")
        self.fence = fields.get("fencing_token", 0)
        match target:
            case "/run-start":
                return self._start(fields)
            case "/run-stop":
                return self._stop(fields)
            case "/hold":
                return await self._hold(fields)
        return 404, b""

    def _start(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run_id"]
        self._extend(fields["until_ms"])
        active = self.running.get(task)
        if active is not None and active["run"] == number:
            return 200, self._fields()
        if fields["until_ms"] <= now_ms():
            return 409, self._fields(reason="late")
        if active is not None or number <= self.highest.get(task, 0):
            return 409, self._fields(reason="old")
        at = now_ms()
        self.running[task] = {
            "task": task,
            "run": number,
            "at": at,
            "ends": at + self.work_ms(task),
        }
        self.case.starts.append((at, task, number, self.name))
        self.case.event(f"{self.name} start {task} run {number}")
        return 200, self._fields()

    def _stop(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run_id"]
        active = self.running.get(task)
        if active is not None and active["run"] == number:
            self._end(active, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, self._fields()

    async def _hold(self, fields: dict[str, Any]) -> Answer:
        self._extend(fields.get("until_ms"))
        self._acknowledge(fields["ack_cursor"])
        wait_s = fields.get("wait_ms", 0) / 1_000
        if wait_s and not self.finished:
            self.end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.end_listed.wait(), wait_s)
        if not self.alive:
            return None
        at = now_ms()
        running = [
            [r["task"], r["run"], "", self._percent(r, at)]
            for r in self.running.values()
        ]
        # The others are returned again, 500 at a time.
        return 200, self._fields(running=running, finished=self.finished[:500])

    @staticmethod
    def _percent(run: dict[str, Any], at: int) -> int:
        total = max(run["ends"] - run["at"], 1)
        return min(99, (at - run["at"]) * 100 // total)

    def _acknowledge(self, cursor: int) -> None:
        if cursor <= self.cursor:
            return
        for end in self.ended[self.cursor : cursor]:
            end["noted"] = now_ms()
        self.cursor = cursor
        self.finished = [end for end in self.finished if end[0] > cursor]


async def call(
    address: str, method: str, path: str, body: Any, limit_s: float
) -> tuple[int, Any]:
    """Send one request on a channel of its own; return status and content.

    Raises:
        OSError: If the channel breaks, or there is no answer in time.
    """

    async def exchange() -> tuple[int, Any]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else body_of(body)
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            head += "Content-Type: application/json\r\nConnection: close\r\n"
            head += f"X-Catkincross-Deadline-Ms: {int(limit_s * 1_000)}\r\n"
            head += f"Content-Length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)
            line, _, answer = await read_message(reader)
            text = answer.decode("utf-8", "replace")
            try:
                parsed = json.loads(text) if text else None
            except ValueError:
                parsed = text
            return int(line.split()[1]), parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit_s + 0.2)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("channel ended") from error


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
        found = []
        ends = [end for worker in self.workers for end in worker.past + worker.ended]
        ended_at = {(e["worker"], e["task"], e["run"]): e["at"] for e in ends}
        ended_at |= {(name, task, run): at for at, task, run, name in self.lost}
        by_task: dict[str, list[tuple[int, int, str]]] = {}
        for at, task, run, name in self.starts:
            by_task.setdefault(task, []).append((at, run, name))
        done: dict[str, list[dict[str, Any]]] = {}
        for end in ends:
            if end["how"] == "done" and end["noted"] and not end["lapsed"]:
                done.setdefault(end["task"], []).append(end)
        for task, starts in by_task.items():
            for at, run, name in starts:
                for end in done.get(task, []):
                    if at > end["at"]:
                        found.append(
                            f"{task}: run {run} began on {name} {at - end['at']} ms"
                            f" after run {end['run']} had ended done on"
                            f" {end['worker']}; that end was taken note of"
                            f" {end['noted'] - end['at']} ms after it"
                        )
                for other_at, other_run, other in starts:
                    if (other_at, other_run, other) >= (at, run, name):
                        continue
                    until = ended_at.get((other, task, other_run))
                    if until is None or until > at:
                        found.append(
                            f"{task}: run {run} began on {name} while run {other_run}"
                            f" was in progress on {other}"
                        )
        return found

    def idle_since(self, job: str) -> int:
        """Return since when no minion that is up runs a task of a job."""
        if any(t.startswith(job) for w in self.workers for t in w.running):
            return now_ms()
        ends = [e for w in self.workers for e in w.past + w.ended]
        times = [e["at"] for e in ends if e["task"].startswith(job)]
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
