"""Demo: entries, agents, upstreams and the log in one process."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import eliot

from standins.upstream import Behaviour, Upstream

from ..observability._timeline import TimelineEvent, TimelineFilter, events_of, merge
from ..settings._settings import (
    AgentSettings,
    EntrySettings,
    ListenSettings,
    SeedSettings,
    UpstreamSettings,
)
from ..transport._embedded_log import EmbeddedLog
from ..transport._http_server import HttpServer
from ._agent_daemon import AgentDaemon
from ._entry_daemon import EntryDaemon

DATA_CENTRES = ("perth", "stirling", "dundee")
AGENT_COUNT = 4
REGION, SERVICE, TEAM = "scot-central", "checks", "demo"
UPSTREAM_SPEEDS = (1.0, 1.0, 1.5, 0.7)
READY_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_LIMIT_MS = 5_000


class DemoSystem:
    """Entries, agents and stand-in upstreams that run in the current event loop.

    Attributes:
        log: In-memory log that all entries share.
        entries: Entry daemons by name.
        agents: Agent daemons by name.
        upstreams: HTTP servers of the stand-in upstreams.
        tasks: Running tasks of the daemons.
        log_lines: Event log lines of all daemons.
    """

    def __init__(self) -> None:
        self.log = EmbeddedLog()
        self.entries: dict[str, EntryDaemon] = {}
        self.agents: dict[str, AgentDaemon] = {}
        self.upstreams: list[HttpServer] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.log_lines: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Start all daemons and wait until the system is ready for jobs.

        Raises:
            TimeoutError: If it is not ready within `READY_LIMIT_S`.
        """
        for number, data_centre in enumerate(DATA_CENTRES, 1):
            await self._start_entry(f"e{number}", data_centre)
        seeds = ",".join(entry.state.address for entry in self.entries.values())
        for number in range(AGENT_COUNT):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self._start_agent(f"u{number + 1}", data_centre, seeds, number)
        async with asyncio.timeout(READY_LIMIT_S):
            while not self._is_ready():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _start_entry(self, name: str, data_centre: str) -> None:
        settings = EntrySettings(
            name=name,
            region=REGION,
            data_centre=data_centre,
            listen=ListenSettings(unready_ms=0, stop_limit_ms=STOP_LIMIT_MS),
        )
        entry = EntryDaemon(settings, log_client=self.log)
        await entry.start()
        self.entries[name] = entry
        self._start_daemon_task(entry.run())

    async def _start_agent(
        self, name: str, data_centre: str, seeds: str, number: int
    ) -> None:
        upstream = Upstream(
            Behaviour(speed=UPSTREAM_SPEEDS[number % len(UPSTREAM_SPEEDS)])
        )
        server = HttpServer(upstream.app(), "127.0.0.1:0")
        server.start()
        self.upstreams.append(server)
        settings = AgentSettings(
            name=name,
            region=REGION,
            data_centre=data_centre,
            upstream=name,
            service=SERVICE,
            listen=ListenSettings(unready_ms=0, stop_limit_ms=STOP_LIMIT_MS),
            seeds=SeedSettings(entries=seeds),
            upstream_http=UpstreamSettings(url=f"http://{server.address}/tasks"),
        )
        agent = AgentDaemon(settings)
        await agent.start()
        self.agents[name] = agent
        self._start_daemon_task(agent.run())

    def _start_daemon_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _is_ready(self) -> bool:
        for task in self.tasks:
            if task.done():
                # A daemon that failed raises its exception here.
                task.result()
        all_may_dispatch = all(
            entry.state.may_dispatch() for entry in self.entries.values()
        )
        all_have_homes = all(self._has_home(name) for name in self.agents)
        return all_may_dispatch and all_have_homes and self._entries_connected()

    def _has_home(self, name: str) -> bool:
        entry = self.entries.get(self.agents[name].state.home)
        agent_row = None if entry is None else entry.state.agents.get(name)
        if entry is None or agent_row is None:
            return False
        return agent_row.connected and entry.state.control.is_registered(
            agent_row.hello.agent
        )

    def _entries_connected(self) -> bool:
        peer_count = len(self.entries) - 1
        return all(
            sum(peer.connected for peer in entry.state.peers) == peer_count
            for entry in self.entries.values()
        )

    async def stop(self) -> None:
        """Stop all daemons gracefully, agents first, then the upstreams."""
        await asyncio.gather(*(agent.leave() for agent in self.agents.values()))
        await asyncio.gather(*(entry.leave() for entry in self.entries.values()))
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(server.stop(1) for server in self.upstreams))

    def url(self, entry: str) -> str:
        """Return the HTTP URL of an entry."""
        return f"http://{self.entries[entry].http.address}"

    def events(self, job: str) -> list[TimelineEvent]:
        """Return the timeline of a job; `job` is its key, `team/idempotency_key`."""
        return merge([events_of(self.log_lines)], TimelineFilter(job=job))


@asynccontextmanager
async def demo_system() -> AsyncIterator[DemoSystem]:
    """Yield a system that is ready, and stop it at the end."""
    system = DemoSystem()
    destination = system.log_lines.append
    eliot.add_destinations(destination)
    try:
        await system.start()
        yield system
    finally:
        await system.stop()
        eliot.remove_destination(destination)


async def submit(url: str, key: str, tasks: int) -> dict[str, Any]:
    """Submit a job of short tasks over HTTP and return the response body."""
    body = {
        "service": SERVICE,
        "team": TEAM,
        "tasks": [
            {"payload": f"run_ms={20 + 5 * (number % 5)} task {number}"}
            for number in range(tasks)
        ],
        "deadline_ms": 20_000,
    }
    headers = {"Idempotency-Key": key}
    return await _call("POST", f"{url}/v1/jobs", body, headers)


async def drain(url: str, data_centre: str) -> dict[str, Any]:
    """Drain a data centre and return its resource once nothing runs there.

    Raises:
        TimeoutError: If it is not drained within `READY_LIMIT_S`.
    """
    target = f"{url}/v1/datacentres/{data_centre}"
    await _call("PUT", target, {"spec": {"drain": True}}, {})
    async with asyncio.timeout(READY_LIMIT_S):
        while True:
            document = await _call("GET", target, None, {})
            if document.get("status", {}).get("drained"):
                return document
            await asyncio.sleep(POLL_INTERVAL_S)


async def _call(method: str, url: str, body: Any, headers: dict[str, str]) -> Any:
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=body, headers=headers) as response,
    ):
        return await response.json()


async def run_demo(
    show: Callable[[str, dict[str, Any]], None],
    show_events: Callable[[list[TimelineEvent]], None],
    *,
    tasks: int,
) -> bool:
    """Run a job, submit it again, and run another job while a data centre is drained.

    Args:
        show: Called with a title and a job's answer or a resource.
        show_events: Called with the timeline of the first job.
        tasks: Number of tasks of each job.

    Returns:
        Whether all answers are complete, every task started once, and no task of the
        second job started in the drained data centre.
    """
    drained = DATA_CENTRES[0]
    async with demo_system() as system:
        answers = [await submit(system.url("e1"), "first-job", tasks)]
        show("Job submitted at e1", answers[-1])
        answers.append(await submit(system.url("e2"), "first-job", tasks))
        show("The same job submitted again at e2", answers[-1])
        show_events(system.events(f"{TEAM}/first-job"))
        show(f"Drain of {drained} at e3", await drain(system.url("e3"), drained))
        answers.append(await submit(system.url("e1"), "second-job", tasks))
        show("Another job at e1", answers[-1])
        first_starts, second_starts = (
            [event for event in system.events(f"{TEAM}/{key}") if _is_start(event)]
            for key in ("first-job", "second-job")
        )
    return (
        all(answer["state"] == "complete" for answer in answers)
        and len({event.task for event in first_starts}) == len(first_starts) == tasks
        and len({event.task for event in second_starts}) == len(second_starts) == tasks
        and drained not in {event.data_centre for event in second_starts}
    )


def _is_start(event: TimelineEvent) -> bool:
    return event.event == "task started"
