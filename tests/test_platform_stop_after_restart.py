"""Stop orders of an agent that has started again."""

from __future__ import annotations

import asyncio
import os

from catkincross.clock import SystemClock
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.workers import StopRun
from tests.test_platform_daemons import free_port, settings_for


class Worker:
    """Worker client that records stop orders."""

    def __init__(self) -> None:
        self.stopped: list[tuple[str, StopRun]] = []

    async def stop(self, worker: str, order: StopRun) -> bool:
        """Record an order."""
        self.stopped.append((worker, order))
        return True


def test_a_run_is_stopped_before_the_worker_has_registered() -> None:
    """The worker's next heartbeat comes up to 1,500 ms after the agent's start.

    Orders to stop a run that was found on the worker were dropped until then.
    """

    async def run() -> list[tuple[str, StopRun]]:
        clock = SystemClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        settings = settings_for("u1", store=f"127.0.0.1:{free_port()}")
        agent = AgentDaemon(settings, clock, log)
        worker = Worker()
        agent.worker = worker
        await agent._stop_run(order)
        return worker.stopped

    order = StopRun("5c0e7a21d94b36f8.0.0.0", 1, 7)
    assert asyncio.run(run()) == [("", order)]
