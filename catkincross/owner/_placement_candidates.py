"""Workers that can take tasks in a placement pass, with their free resources."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ..dispatch import AgentResources, fits_idle_workers, size_key
from ..jobs import Step, Task, TaskState
from ._agents import AgentInfo
from ._shard import Shard
from ._state import OwnerState

# An agent whose newest state is older than this gets no task. Agents send a state every
# 200 ms, so several of them may be lost.
STALE_STATE_MS = 1_300


class PlacementCandidates:
    """Workers that can take tasks in one placement pass, with their free resources.

    Args:
        state: State of the owner.

    Attributes:
        all: Candidates that are left; a task that is sent reduces their resources.
        unplaced_gangs: Job ID and step number of gangs that did not fit in this pass.
        may_reserve: Whether no task that has to run alone was met in this pass. Only
            the first one has a worker reserved, so that the others stay in use.
    """

    def __init__(self, state: OwnerState) -> None:
        self.state = state
        self.all = _find_candidates(state)
        self._eligible_cache: dict[tuple[str, int], list[AgentResources]] = {}
        self._too_large_cache: dict[tuple[Any, ...], bool] = {}
        self._unplaced_step_specs: dict[tuple[str, str], list[Step]] = {}
        self._unplaced_steps: set[tuple[str, int]] = set()
        self.unplaced_gangs: set[tuple[str, int]] = set()
        self.may_reserve = True

    @property
    def any(self) -> bool:
        """Whether a candidate is left."""
        return bool(self.all)

    def exclude(self, candidate: AgentResources) -> None:
        """Leave a worker out for the rest of the pass."""
        self.all.remove(candidate)
        self._clear_caches()

    def record_unplaced(self, task: Task) -> None:
        """Record that a task fits on no worker, so that no larger one is tried.

        A limit on tasks of a step on one worker only says that no other task of the
        step is to be tried: larger ones of other steps may fit.
        """
        step_spec = task.step_spec
        self._unplaced_steps.add((task.job.spec.id, task.step))
        if not step_spec.anti_affinity:
            key = task.job.spec.policy.service, step_spec.requires
            self._unplaced_step_specs.setdefault(key, []).append(step_spec)

    def reserve_service(self, service: str) -> None:
        """Reserve the workers of a service for a gang for the rest of the pass."""
        for candidate in list(self.all):
            if self.state.agents[candidate.name].serves(service):
                self.all.remove(candidate)
        self._clear_caches()

    def used_share(self, service: str) -> float:
        """Return the share of the candidates' cores of a service in use, 0 to 1."""
        serving = [c for c in self.all if self.state.agents[c.name].serves(service)]
        total_cpu = sum(candidate.cpu_total for candidate in serving)
        free_cpu = sum(candidate.cpu_free for candidate in serving)
        return 1 - free_cpu / total_cpu if total_cpu else 1.0

    def _clear_caches(self) -> None:
        self._eligible_cache.clear()
        self._too_large_cache.clear()

    def known_not_to_fit(self, shard: Shard, task: Task) -> bool:
        """Whether a task that needs the same or less was not placed in this pass."""
        step_spec = task.step_spec
        service = task.job.spec.policy.service
        if self._smaller_not_placed(service, "", step_spec):
            return True
        if step_spec.requires and self._smaller_not_placed(
            service, step_spec.requires, step_spec
        ):
            return True
        if (task.job.spec.id, task.step) in self._unplaced_steps:
            return True
        return self._too_large_cache.get(_size_key(shard, task), False)

    def _smaller_not_placed(self, service: str, label: str, step_spec: Step) -> bool:
        return any(
            other.cpu <= step_spec.cpu
            and other.memory_mb <= step_spec.memory_mb
            and other.gpu <= step_spec.gpu
            for other in self._unplaced_step_specs.get((service, label), ())
        )

    def too_large(self, shard: Shard, task: Task) -> bool:
        """Whether a task, or its gang, fits on no candidate even if all were idle."""
        key = _size_key(shard, task)
        found = self._too_large_cache.get(key)
        if found is None:
            workers = self._eligible(shard, task)
            found = not fits_idle_workers(task.step_spec, workers)
            self._too_large_cache[key] = found
        return found

    def all_at_limit(self, shard: Shard, task: Task) -> bool:
        """Whether each worker that may run a task has as many of its step as it may."""
        return bool(task.step_spec.anti_affinity) and not self.eligible(shard, task)

    def eligible(self, shard: Shard, task: Task) -> list[AgentResources]:
        """Return the candidates that may run a task, whether it fits now or not."""
        found = self._eligible(shard, task)
        limit = task.step_spec.anti_affinity
        if not limit:
            return found
        # A task that has ended keeps its agent, but not its place.
        counts = Counter(
            neighbour.agent
            for neighbour in task.job.tasks[task.step]
            if neighbour.state is TaskState.ASSIGNED
        )
        return [candidate for candidate in found if counts[candidate.name] < limit]

    def _eligible(self, shard: Shard, task: Task) -> list[AgentResources]:
        key = task.job.spec.policy.service, shard.number
        found = self._eligible_cache.get(key)
        if found is None:
            found = self._eligible_cache[key] = _eligible(
                self.state, self.all, shard, task
            )
        return found


def _size_key(shard: Shard, task: Task) -> tuple[Any, ...]:
    """Return what decides whether a task, or its gang, fits on idle workers."""
    return task.job.spec.policy.service, shard.number, size_key(task.step_spec)


def _find_candidates(state: OwnerState) -> list[AgentResources]:
    candidates = []
    for agent_info in state.agents.values():
        if not _accepts_tasks(state, agent_info):
            continue
        candidate = agent_info.resources(state.estimates, state.now_ms)
        if candidate is not None and candidate.cpu_free >= 0:
            candidates.append(candidate)
    return candidates


def _accepts_tasks(state: OwnerState, agent_info: AgentInfo) -> bool:
    if (
        agent_info.profile is None
        or agent_info.state is None
        or not agent_info.state.ready
    ):
        return False
    if agent_info.profile.data_centre in state.declarations.evacuated:
        return False
    if state.now_ms - agent_info.received_ms > STALE_STATE_MS:
        return False
    return state.accepts_tasks(agent_info)


def _eligible(
    state: OwnerState, candidates: list[AgentResources], shard: Shard, task: Task
) -> list[AgentResources]:
    service = task.job.spec.policy.service
    eligible_agents = []
    for candidate in candidates:
        agent_info = state.agents[candidate.name]
        if not agent_info.serves(service):
            continue
        if shard.number not in agent_info.reported_shards:
            continue
        if shard is not state.volatile and candidate.name not in shard.recorded_agents:
            continue
        eligible_agents.append(candidate)
    return eligible_agents
