"""What a home can take, as it tells the owners."""

from __future__ import annotations

from collections import defaultdict

from ._entry_rows import AgentRow
from ._entry_state import EntryState
from ._messages import CapacitySummary


def takes_work(state: EntryState, agent: AgentRow) -> bool:
    """Whether an agent may get new work at all."""
    hello = agent.hello
    return (
        agent.connected
        and not agent.leaving
        and state.control.home_of(hello.agent) == state.me
        and not state.is_draining(hello.data_centre, hello.upstream)
    )


def capacity_summaries(state: EntryState) -> list[CapacitySummary]:
    """Return one summary for each service and data centre with an agent."""
    groups: dict[tuple[str, str], list[AgentRow]] = defaultdict(list)
    for agent in state.agents:
        if takes_work(state, agent):
            groups[agent.hello.service, agent.hello.data_centre].append(agent)
    return [
        CapacitySummary(
            service=service,
            data_centre=data_centre,
            upstreams=len(agents),
            slots=sum(agent.hello.slots for agent in agents),
            free=sum(agent.free for agent in agents),
            queued=len(state.home_queue),
        )
        for (service, data_centre), agents in groups.items()
    ]
