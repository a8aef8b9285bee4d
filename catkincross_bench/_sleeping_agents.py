"""Real agent daemons in one process, whose upstreams sleep in place of HTTP calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import click

from catkincross.effects import UpstreamAnswered
from catkincross.ids import TaskId
from catkincross.messages import TaskStart, TaskStatus
from catkincross.programs._agent_daemon import AgentDaemon
from catkincross.settings._ini import load_settings_or_exit
from catkincross.settings._settings import AgentSettings


class SleepingUpstream:
    """Answers each task after the same time, without a connection."""

    def __init__(self, run_ms: float, post: Callable[[Any], None]) -> None:
        self.run_s = run_ms / 1_000
        self.post = post
        self.calls: dict[TaskId, asyncio.TimerHandle] = {}

    def call(self, start: TaskStart) -> None:
        """Run a task."""
        loop = asyncio.get_running_loop()
        self.calls[start.task] = loop.call_later(self.run_s, self._answer, start)

    def _answer(self, start: TaskStart) -> None:
        del self.calls[start.task]
        self.post(UpstreamAnswered(start, TaskStatus.OK, start.spec.payload))

    def abort(self, start: TaskStart) -> None:
        """End a task at once."""
        handle = self.calls.pop(start.task, None)
        if handle is not None:
            handle.cancel()
            self.post(UpstreamAnswered(start, TaskStatus.CANCELLED, reason="cancelled"))

    async def close(self) -> None:
        """Stop all tasks."""
        for handle in self.calls.values():
            handle.cancel()


@click.command()
@click.option("--config", "configs", multiple=True, required=True)
@click.option("--run-ms", default=10.0)
def main(configs: tuple[str, ...], run_ms: float) -> None:
    """Run one agent for each settings file."""
    asyncio.run(_run(configs, run_ms))


async def _run(configs: tuple[str, ...], run_ms: float) -> None:
    daemons = []
    for config in configs:
        daemon = AgentDaemon(load_settings_or_exit(config, AgentSettings))
        await daemon.upstream.close()
        daemon.upstream = SleepingUpstream(run_ms, daemon.runner.post)
        await daemon.start()
        daemons.append(daemon)
    click.echo(f"listening http=http://{daemons[0].http.address}")
    await asyncio.gather(*(daemon.run() for daemon in daemons))


if __name__ == "__main__":
    main()
