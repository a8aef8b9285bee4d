"""Faults of a soak that take many processes at once, and hosts that come and go."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from .soak_faults import FAULTS, Daemon

if TYPE_CHECKING:
    from .platform_soak import Soak

# Fewest entries and agents that stay while others leave.
FEWEST_ENTRIES = 2
FEWEST_AGENTS = 2
# Largest number of processes in a rolling restart; each takes up to the grace period.
ROLLING_RESTARTS = 3
# How long entries have too little processor time, or slow links, in seconds.
STARVING_S = 8.0
# Ranges of the delays on such links, in seconds.
SLOW_LINKS_S = ((0.1, 0.3), (0.15, 0.5), (0.4, 1.0))
# Pause between two restarts of a rolling restart, in seconds.
ROLLING_PAUSE_S = 0.3

SITE_FAULTS: dict[str, Callable[[Soak, random.Random], Awaitable[None]]] = {}


def site_fault(function: Any) -> Any:
    """Register a fault of the whole site under its function's name."""
    SITE_FAULTS[function.__name__] = function
    return function


async def _all(run: Soak, name: str) -> None:
    await asyncio.gather(*(FAULTS[name](daemon, 0.0) for daemon in run.daemons))


@site_fault
async def reset_all_channels(run: Soak, rng: random.Random) -> None:
    """Reset the connections of all processes at once."""
    await _all(run, "reset_channels")


@site_fault
async def silence_all_channels(run: Soak, rng: random.Random) -> None:
    """Let all open connections be silent for good; new ones work."""
    await _all(run, "silence_channels")


@site_fault
async def silence_all_links(run: Soak, rng: random.Random) -> None:
    """Let all open links between processes be silent for good; new ones work."""
    await _all(run, "silence_links")


@site_fault
async def expire_declarations(run: Soak, rng: random.Random) -> None:
    """Let the store delete the records of the declarations, but for the newest ones."""
    run.store.declared_first = len(run.store.declared)


@site_fault
async def kill_all(run: Soak, rng: random.Random) -> None:
    """Kill all processes at once; they are started again."""
    await _all(run, "kill")


@site_fault
async def reload_all(run: Soak, rng: random.Random) -> None:
    """Let all processes read their settings again."""
    await _all(run, "reload")


@site_fault
async def stall_all(run: Soak, rng: random.Random) -> None:
    """Let all processes of one role stand still, each for its own short time."""
    daemons = rng.choice((run.entries, run.agents))
    await asyncio.gather(*(FAULTS["stall"](daemon, 0.0) for daemon in daemons))


@site_fault
async def starve_entries(run: Soak, rng: random.Random) -> None:
    """Give all entries so little processor time that their work waits for seconds.

    The connections of their client accounts are reset meanwhile.
    """
    starving = [FAULTS["starve"](entry, STARVING_S) for entry in run.entries]
    await asyncio.gather(*starving, _reset_clients(run, rng))


@site_fault
async def slow_entries(run: Soak, rng: random.Random) -> None:
    """Delay all links that entries have opened, and reset their client accounts."""
    delay_s = rng.choice(SLOW_LINKS_S)
    for entry in run.entries:
        if entry.gateway is not None:
            entry.gateway.delay_s = delay_s
    await _reset_clients(run, rng)
    for entry in run.entries:
        if entry.gateway is not None:
            entry.gateway.delay_s = (0.0, 0.0)


async def _reset_clients(run: Soak, rng: random.Random) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + STARVING_S
    while loop.time() < end_s:
        await asyncio.sleep(rng.uniform(0.05, 0.5))
        await FAULTS["reset_clients"](rng.choice(run.entries), 0.0)


@site_fault
async def restart_in_turn(run: Soak, rng: random.Random) -> None:
    """Stop processes of one role gracefully, one after the other."""
    daemons = rng.choice((run.entries, run.agents))
    for daemon in rng.sample(daemons, min(ROLLING_RESTARTS, len(daemons))):
        await FAULTS["terminate"](daemon, 0.0)
        await asyncio.sleep(ROLLING_PAUSE_S)


@site_fault
async def replace_entry(run: Soak, rng: random.Random) -> None:
    """Add an entry under a new name and address, and take another away for good."""
    leaving = rng.choice(run.entries)
    await run.add_entry()
    if len(run.entries) > FEWEST_ENTRIES:
        run.entries.remove(leaving)
        await _end(run, leaving, rng)


@site_fault
async def replace_agent(run: Soak, rng: random.Random) -> None:
    """Add an agent with a worker, and take another agent away for good.

    Its worker leaves as well, and all its runs end.
    """
    leaving = rng.choice(run.agents)
    await run.add_agent()
    if len(run.agents) > FEWEST_AGENTS:
        run.agents.remove(leaving)
        await _end(run, leaving, rng)


async def _end(run: Soak, daemon: Daemon, rng: random.Random) -> None:
    await daemon.stop(rng.choice((signal.SIGTERM, signal.SIGKILL)))
    run.remove(daemon)
