"""Real processes of the system on loopback, for tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 60.0
POLL_S = 0.02
JSON = "application/json"


@attrs.define
class Process:
    """A child process that printed the addresses it listens on."""

    name: str
    popen: subprocess.Popen[str]
    addresses: dict[str, str]

    @property
    def url(self) -> str:
        """URL of its HTTP server."""
        return self.addresses["http"]

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        os.kill(self.popen.pid, number)


def wait_until(condition: Callable[[], Any], what: str) -> Any:
    """Return the condition's value once it is true.

    Raises:
        AssertionError: If it is not true within a generous limit.
    """
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"not seen within {LIMIT_S} s: {what}")


def http(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Send a request and return the status and the body.

    Returns:
        Status 0 and None if there was no answer.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    for name, value in {"Content-Type": JSON, **(headers or {})}.items():
        request.add_header(name, value)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=LIMIT_S) as response:
            return response.status, _decoded(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decoded(error.read())
    except (urllib.error.URLError, OSError):
        return 0, None


def _decoded(content: bytes) -> Any:
    try:
        return json.loads(content)
    except ValueError:
        return content.decode()


class Cluster:
    """Entries, agents and stand-ins, each a process of its own.

    Args:
        folder: Where settings and logs are written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.pool = ThreadPoolExecutor(32)
        self.log = self.start("log", "standins.log_service", "--port", "0")

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a process and wait for its addresses."""
        command = [sys.executable, "-m", module, *arguments]
        with (self.folder / f"{name}.log").open("a") as errors:
            popen = subprocess.Popen(
                command, cwd=ROOT, stdout=subprocess.PIPE, stderr=errors, text=True
            )
        assert popen.stdout is not None
        line = popen.stdout.readline()
        assert line.startswith("listening"), (name, line, self.errors(name))
        addresses = dict(part.split("=", 1) for part in line.split()[1:])
        threading.Thread(target=popen.stdout.read, daemon=True).start()
        process = Process(name, popen, addresses)
        self.processes[name] = process
        return process

    def errors(self, name: str) -> str:
        """Return the log lines of a process."""
        return (self.folder / f"{name}.log").read_text()

    def config(self, name: str, sections: dict[str, dict[str, Any]]) -> str:
        """Write an INI file and return its path."""
        path = self.folder / f"{name}.ini"
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def add_entry(self, name: str, **sections: dict[str, Any]) -> Process:
        """Start an entry."""
        base: dict[str, dict[str, Any]] = {
            "entry": {"name": name, "region": "r1", "data_centre": "d1"},
            "logs": {"target": "stderr"},
            "log": {"url": self.log.url},
            "listen": {"unready_ms": 100},
        }
        config = self.config(name, {**base, **sections})
        return self.start(name, "catkincross.entry", "--config", config)

    def add_agent(self, name: str, **sections: dict[str, Any]) -> Process:
        """Start an agent with an upstream, both of which carry the name."""
        upstream = self.start(f"upstream-{name}", "standins.upstream", "--port", "0")
        entries = [p for p in self.processes.values() if "grpc" in p.addresses]
        base: dict[str, dict[str, Any]] = {
            "agent": {
                "name": name,
                "region": "r1",
                "data_centre": "d1",
                "upstream": name,
                "service": "s",
            },
            "logs": {"target": "stderr"},
            "seeds": {"entries": ",".join(p.addresses["grpc"] for p in entries)},
            "upstream": {"url": f"{upstream.url}/tasks"},
        }
        config = self.config(name, {**base, **sections})
        return self.start(name, "catkincross.agent", "--config", config)

    def ready(self, *names: str) -> None:
        """Wait until processes answer that they are ready."""
        for name in names:
            url = f"{self.processes[name].url}/readyz"
            wait_until(lambda url=url: http("GET", url)[0] == 200, f"{name} ready")

    def submit(self, entry: str, key: str, run_ms: list[int], **changes: Any) -> Future:
        """Submit a job in the background; the result is (status, answer)."""
        payloads = [f"run_ms={ms} {key}/{index}" for index, ms in enumerate(run_ms)]
        body = {
            "team": "t",
            "service": "s",
            "deadline_ms": 30_000,
            "tasks": [{"payload": payload} for payload in payloads],
            **changes,
        }
        url = f"{self.processes[entry].url}/v1/jobs?wait=40000"
        headers = {"Idempotency-Key": key}
        return self.pool.submit(http, "POST", url, body, headers)

    def starts(self, *names: str) -> Counter[tuple[str, int]]:
        """Return how often each task was started, over all or some upstreams."""
        total: Counter[tuple[str, int]] = Counter()
        for process in self.processes.values():
            role, _, name = process.name.partition("-")
            if role == "upstream" and name in (names or (name,)):
                _, body = http("GET", f"{process.url}/starts")
                for row in body["starts"]:
                    total[row["key"], row["index"]] += row["count"]
        return total

    def control(self, name: str, **behaviour: Any) -> None:
        """Set the behaviour of a stand-in."""
        status, _ = http("PUT", f"{self.processes[name].url}/control", behaviour)
        assert status == 200

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes[name]
        process.popen.kill()
        process.popen.wait()

    def close(self) -> None:
        """End all processes that this cluster started."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self.pool.shutdown(cancel_futures=True)
