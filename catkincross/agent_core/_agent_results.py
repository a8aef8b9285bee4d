"""Task results and census replies of the agent."""

from __future__ import annotations

from ..protocol._messages import CensusReply, CensusRequest, TaskResults
from ._agent_registry import AGENT
from ._agent_state import AgentState


@AGENT.handler(CensusRequest)
def _census_requested(state: AgentState, sender: str, request: CensusRequest) -> None:
    # Fence first, so that no start of the ended incarnation can follow this reply.
    state.fenced_owners.add(request.ended)
    keys = {
        row.task.key_hash
        for row in state.starts
        if row.start is not None and row.owner == request.ended
    }
    state.send(
        sender,
        CensusReply(
            ended=request.ended,
            replier=state.incarnation,
            keys=sorted(keys),
            agents=[state.incarnation],
        ),
    )


@AGENT.system(order=600)
def _send_results(state: AgentState) -> None:
    if not state.pending_results or state.home_process not in state.connected:
        return
    results, state.pending_results = state.pending_results, []
    state.results_sent_ms = state.now_ms
    state.send(state.home_process, TaskResults(results))


def repeat_results(state: AgentState) -> None:
    """Queue recent results again, for a new stream or a new home.

    Recent results are those of tasks that ended within `results_repeat_ms`.
    """
    since_ms = state.now_ms - state.settings.jobs.results_repeat_ms
    pending = {(result.owner, result.task) for result in state.pending_results}
    for row in state.starts:
        if row.result is None or row.ended_ms is None or row.ended_ms < since_ms:
            continue
        if (row.owner, row.task) not in pending:
            state.pending_results.append(row.result)
