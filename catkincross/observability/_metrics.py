"""Metrics in statsd form over UDP."""

from __future__ import annotations

import re
from typing import Any

import statsd

from ..agent_core._agent_state import AgentState
from ..entry_core._entry_state import EntryState
from ..foundation._ids import split_process
from ..protocol._effects import Emit
from ..settings._settings import MetricsSettings

# Fields of events that are durations.
TIMED_FIELDS = ("run_ms", "duration_ms")


class Metrics:
    """Counters, gauges and timings of one process.

    Args:
        client: statsd client, or None to send nothing.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client

    @classmethod
    def from_settings(cls, settings: MetricsSettings, process: str) -> Metrics:
        """Return the metrics of a process.

        Args:
            settings: Server and prefix; without a host nothing is sent.
            process: Process name, which becomes part of each metric's name.
        """
        if not settings.host:
            return cls(None)
        role, name = split_process(process)
        prefix = ".".join((settings.prefix, metric_name(role), metric_name(name)))
        ipv6 = ":" in settings.host
        return cls(statsd.StatsClient(settings.host, settings.port, prefix, ipv6=ipv6))

    def event(self, event: Emit) -> None:
        """Count an event, and time it if it says how long something took."""
        if self.client is None:
            return
        name = f"{metric_name(event.part)}.{metric_name(event.name)}"
        self.client.incr(name)
        for field in TIMED_FIELDS:
            if field in event.fields:
                self.client.timing(f"{name}.{field}", event.fields[field])

    def http(self, route: str, status: int, duration_ms: float) -> None:
        """Count and time an HTTP request."""
        if self.client is not None:
            self.client.incr(f"http.{metric_name(route)}.{status}")
            self.client.timing(f"http.{metric_name(route)}", duration_ms)

    def entry_gauges(self, state: EntryState) -> None:
        """Send the sizes of an entry's tables and the age of its evidence."""
        self._gauges(
            {
                "requests": len(state.requests),
                "jobs": len(state.jobs),
                "tasks_waiting": len(state.unqueued_tasks),
                "home_queue": len(state.home_queue),
                "agents": len(state.agents),
                "slots_free": sum(agent.free for agent in state.agents),
                "version": state.control.version,
                "evidence_age_ms": state.freshness.age_ms(state.now_ms),
                "log_reachable": int(state.log_reachable),
            }
        )

    def agent_gauges(self, state: AgentState) -> None:
        """Send the load of an agent and the age of its evidence."""
        self._gauges(
            {
                "running": len(state.running),
                "slots": state.slots,
                "memory_used_mb": state.memory_used_mb,
                "evidence_age_ms": state.freshness.age_ms(state.now_ms),
            }
        )

    def _gauges(self, values: dict[str, Any]) -> None:
        if self.client is None:
            return
        with self.client.pipeline() as batch:
            for name, value in values.items():
                # statsd reads a signed gauge as a change; -1 means no evidence.
                batch.gauge(name, max(0, value))


def metric_name(text: str) -> str:
    """Return a text as one part of a metric's name."""
    return re.sub(r"[^A-Za-z0-9]+", "_", text).strip("_").lower()
