"""Control cost of real processes without any work."""

from __future__ import annotations

import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from scenarios.processes import Cluster

from ._processes import Sample, grown_bytes, sample
from ._target import CONTROL_BYTES_PER_S, CONTROL_US_PER_S, MEMORY_MB

SETTLE_S = 5.0


def idle_cost(*, entries: int, agents: int, seconds: float) -> dict[str, Any]:
    """Return the cost of one entry and one agent of an idle system.

    Args:
        entries: Entry processes.
        agents: Agent processes, each with an upstream.
        seconds: Time of the measurement.
    """
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder))
        try:
            names = [f"e{number}" for number in range(entries)]
            for name in names:
                cluster.add_entry(name)
            cluster.ready(*names)
            upstreams = [f"u{number}" for number in range(agents)]
            for name in upstreams:
                cluster.add_agent(name)
            cluster.ready(*upstreams)
            time.sleep(SETTLE_S)
            return _measure(cluster, names, upstreams, seconds)
        finally:
            cluster.close()


def _measure(
    cluster: Cluster, entries: list[str], agents: list[str], seconds: float
) -> dict[str, Any]:
    watched = [*entries, *agents]
    pids = {name: cluster.processes[name].popen.pid for name in watched}
    before = {name: sample(pid) for name, pid in pids.items()}
    started = time.monotonic()
    time.sleep(seconds)
    after = {name: sample(pid) for name, pid in pids.items()}
    passed_s = time.monotonic() - started
    log_port = int(cluster.log.url.rpartition(":")[2])
    rows = {
        name: _row(before[name], after[name], passed_s, log_port) for name in watched
    }
    return {
        "entries": len(entries),
        "agents": len(agents),
        "seconds": round(passed_s, 1),
        "entry": _worst([rows[name] for name in entries]),
        "agent": _worst([rows[name] for name in agents]),
        "limits": {
            "cpu_percent": CONTROL_US_PER_S / 10_000,
            "resident_mb": MEMORY_MB,
            "bytes_per_s": CONTROL_BYTES_PER_S,
        },
    }


def _row(
    before: Sample, after: Sample, passed_s: float, log_port: int
) -> dict[str, float]:
    total = grown_bytes(before, after) / passed_s
    log = grown_bytes(before, after, port=log_port) / passed_s
    return {
        "cpu_percent": round(100 * (after.cpu_s - before.cpu_s) / passed_s, 2),
        "resident_mb": round(after.resident_mb, 1),
        "bytes_per_s": round(total),
        "log_bytes_per_s": round(log),
    }


def _worst(rows: list[dict[str, float]]) -> dict[str, float]:
    return {name: max(row[name] for row in rows) for name in rows[0]}


def idle_table(result: dict[str, Any]) -> str:
    """Return the result as text with a verdict for each limit."""
    lines = [
        f"{result['entries']} entries, {result['agents']} agents, "
        f"{result['seconds']} s, the highest of each role:"
    ]
    for role in ("entry", "agent"):
        for name, value in result[role].items():
            limit = result["limits"].get(name)
            shown = ""
            if limit is not None:
                shown = f"limit {limit:g}: {'met' if value <= limit else 'NOT MET'}"
            lines.append(f"{role:6} {name:16} {value:10,.2f}  {shown}")
    return "\n".join(lines)
