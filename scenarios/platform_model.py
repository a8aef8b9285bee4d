"""Virtual-time model of entries, agents, workers and the store on the platform.

The cores are the product's; the model moves their messages and calls with fixed delays
and applies faults: cut links, killed or frozen processes, lost orders, a store that is
down. Each run of a task is checked against the rules as it happens.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from catkincross.jobs import JobSpec, QueuePolicy, Step
from catkincross.operations import Declarations
from catkincross.owner import (
    OwnerCore,
    OwnerLimits,
)
from catkincross.peers import Answer
from catkincross.workers import (
    Registration,
    WorkerCore,
    WorkerLimits,
)
from standins.platform_store import PlatformStore
from standins.platform_worker import PlatformWorker

from .platform_effects import EffectsMixin, Host

STEP_MS = 5
JOIN_MS = 250
# Interval of the workers' heartbeats.
HEARTBEAT_MS = 1_500
# Time after which the store no longer names an entry that was killed.
MEMBER_TTL_MS = 1_000
# Time without a message after which an entry closes the link of an agent.
AGENT_TIMEOUT_MS = 1_600
SHARDS = 4
# Time in which all processes of the model come to know each other.
SETTLE_MS = 600
SERVICE = "checks"
# Number of failed runs after which a task is not started again.
MAX_ATTEMPTS = 3


def job(job_id: str, *, count: int = 4, volatile: bool = False, **step: Any) -> JobSpec:
    """Return a job of one step."""
    policy = QueuePolicy(
        "q", SERVICE, max_attempts=MAX_ATTEMPTS, stretch=1.6, slo_ms=60
    )
    step.setdefault("estimate_ms", 100)
    step_spec = Step(count, cpu=1_000, memory_mb=64, **step)
    return JobSpec(job_id, "text", (step_spec,), policy, volatile)


@attrs.define(eq=False)
class Model(EffectsMixin):
    """The model; `run` moves the time.

    Attributes:
        answers: Answers to requests by name of the request.
        cut: Pairs of entry and agent between which nothing passes.
        worker_cut: Agents that cannot reach their worker.
        lost_orders: Number of orders that get no answer and are carried out late.
        silent_workers: Agents whose worker's heartbeats are lost.
        notes: Log lines of all cores.
        sent: Number of messages by agent and class.
        volatile_jobs: IDs of the volatile jobs that were handed in.
        links_opened: Number of links opened between an entry and an agent.
    """

    entries: int = 2
    agents: int = 3
    now_ms: int = 1_000
    store: PlatformStore = attrs.field(factory=PlatformStore)
    owners: dict[str, Host] = attrs.field(factory=dict)
    workers: dict[str, Host] = attrs.field(factory=dict)
    machines: dict[str, PlatformWorker] = attrs.field(factory=dict)
    answers: dict[str, Answer] = attrs.field(factory=dict)
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    worker_cut: set[str] = attrs.field(factory=set)
    store_cut: set[str] = attrs.field(factory=set)
    lost_orders: int = 0
    silent_workers: set[str] = attrs.field(factory=set)
    late_ms: int = 3_000
    notes: list[tuple[int, str, str, dict[str, Any]]] = attrs.field(factory=list)
    sent: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    volatile_jobs: set[str] = attrs.field(factory=set)
    links_opened: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    generation: int = 0
    assignment: dict[str, list[int]] = attrs.field(factory=dict)
    _queue: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start all processes."""
        for number in range(self.agents):
            name = f"u{number}"
            self.machines[name] = PlatformWorker(instance=f"w-{name}")
            self.start_agent(name)
        for number in range(self.entries):
            self.start_entry(f"e{number}")
        self.assign()
        self.at(STEP_MS, self._tick)
        self.at(JOIN_MS, self._join_all)
        self.at(HEARTBEAT_MS, self._send_heartbeats)

    # Time.

    def at(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Call something after a delay."""
        self._count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._count, call))

    def run(self, for_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = end_ms

    def _tick(self) -> None:
        for host in list(self.workers.values()):
            if self.awake(host):
                self._update_links(host)
            self.step(host)
        for host in list(self.owners.values()):
            if self.awake(host):
                self._close_silent_links(host)
            self.step(host)
        for name, machine in self.machines.items():
            machine.advance(self.now_ms)
            if machine.down_until_ms and not machine.is_down(self.now_ms):
                machine.down_until_ms = 0
                if name in self.workers:
                    self.register(name)
        self.at(STEP_MS, self._tick)

    def awake(self, host: Host) -> bool:
        """Whether a process runs."""
        return host.up and self.now_ms >= host.frozen_until_ms

    # Processes.

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        limits = OwnerLimits(shards=SHARDS)
        host = Host(name, OwnerCore(name, limits, self.now_ms))
        host.core.update_declarations(self.now_ms, Declarations(version=1))
        self.owners[name] = host
        self.announce_entries()

    def start_agent(self, name: str, *, registers: bool = True) -> None:
        """Start an agent, and let its worker register at once or not."""
        limits = WorkerLimits(shards=SHARDS)
        core = WorkerCore(limits, 1_000 + self.now_ms, host=name, data_centre="perth")
        host = Host(name, core)
        self.workers[name] = host
        if registers:
            self.register(name)
        self.announce_entries()
        self.at(1, lambda: self._renew_lease(host))

    def register(
        self, name: str, *, draining: bool = False, cpu: int | None = None
    ) -> None:
        """Let a worker send a heartbeat, and go on with it every 1,500 ms.

        Args:
            name: Agent of the worker.
            draining: Whether the worker is about to leave.
            cpu: New processor capacity in millicores; None to keep it.
        """
        machine = self.machines[name]
        machine.draining = draining
        if cpu is not None:
            machine.resize(self.now_ms, (cpu, *machine.capacity[1:]))
        self.workers[name].registered = True
        self.deliver_heartbeat(name, self.heartbeat(name))

    def heartbeat(self, name: str) -> Registration:
        """Return a heartbeat that a worker sends now."""
        machine = self.machines[name]
        return Registration(
            machine.instance,
            SERVICE,
            "perth",
            ("a", "r1"),
            *machine.capacity,
            machine.draining,
            machine.worker_incarnation,
            self.now_ms,
        )

    def deliver_heartbeat(self, name: str, content: Registration) -> None:
        """Let a heartbeat arrive at an agent."""
        if self.workers[name].core.handle_heartbeat(self.now_ms, content):
            capacity = (content.cpu, content.memory_mb, content.gpu)
            self.machines[name].announced.append((self.now_ms, capacity))

    def _send_heartbeats(self) -> None:
        for name, host in self.workers.items():
            if host.registered and self.awake(host) and name not in self.silent_workers:
                self.deliver_heartbeat(name, self.heartbeat(name))
        self.at(HEARTBEAT_MS, self._send_heartbeats)

    def kill(self, name: str) -> None:
        """Kill a process; its links end."""
        if name in self.owners:
            self.at(MEMBER_TTL_MS, self.announce_entries)
        table = self.owners if name in self.owners else self.workers
        host = table.pop(name)
        host.up = False
        for other in (*self.owners.values(), *self.workers.values()):
            if name.startswith("e") and isinstance(other.core, WorkerCore):
                other.core.handle_entry_lost(self.now_ms, name)
            if name.startswith("u") and isinstance(other.core, OwnerCore):
                other.core.handle_agent_lost(self.now_ms, name)

    def announce_entries(self) -> None:
        """Let all agents know the entries that run."""
        entries = dict.fromkeys(self.owners, "perth")
        owners = {
            shard: name for name, shards in self.assignment.items() for shard in shards
        }
        for host in self.workers.values():
            host.core.update_store_entries(self.now_ms, entries, owners)

    def _update_links(self, host: Host) -> None:
        changes = host.core.link_changes(self.now_ms)
        for entry, _ in changes.to_close:
            host.core.handle_entry_lost(self.now_ms, entry)
            if entry in self.owners and self.is_connected(entry, host.name):
                self.owners[entry].core.handle_agent_lost(self.now_ms, host.name)
        for entry in changes.to_open:
            if entry in self.owners and self.is_connected(entry, host.name):
                self.connect(entry, host.name)
            else:
                host.core.handle_connect_failed(self.now_ms, entry)

    def _close_silent_links(self, host: Host) -> None:
        for agent_info in list(host.core.state.agents.values()):
            heard_ms = max(agent_info.received_ms, agent_info.connected_ms)
            if agent_info.connected and self.now_ms - heard_ms > AGENT_TIMEOUT_MS:
                host.core.handle_agent_lost(self.now_ms, agent_info.name)
                worker = self.workers.get(agent_info.name)
                if worker is not None and self.is_connected(host.name, worker.name):
                    worker.core.handle_entry_lost(self.now_ms, host.name)

    def is_connected(self, entry: str, agent: str) -> bool:
        """Whether messages pass between an entry and an agent."""
        return (entry, agent) not in self.cut

    def connect(self, entry: str, agent: str) -> None:
        """Open a link."""
        if entry in self.owners and agent in self.workers:
            self.links_opened[entry, agent] += 1
            core = self.workers[agent].core
            core.handle_entry_connected(self.now_ms, entry)
            self.owners[entry].core.handle_agent_connected(
                self.now_ms, agent, self.now_ms
            )

    def cut_link(self, entry: str, agent: str) -> None:
        """Cut a link; both sides note it after a while."""
        self.cut.add((entry, agent))

    def heal_link(self, entry: str, agent: str) -> None:
        """Heal a cut; the link is opened anew."""
        self.cut.discard((entry, agent))
        self.owners[entry].core.handle_agent_lost(self.now_ms, agent)
        self.workers[agent].core.handle_entry_lost(self.now_ms, entry)
        self.connect(entry, agent)

    def assign(self) -> None:
        """Deal the shards evenly to the entries that reach the store."""
        names = [name for name in sorted(self.owners) if name not in self.store_cut]
        self.deal_to(names)

    def deal_to(self, names: list[str]) -> None:
        """Deal the shards to some entries; the others learn it at their next join."""
        self.generation += 1
        self.assignment = {
            name: [s for s in range(SHARDS) if s % len(names) == place]
            for place, name in enumerate(names)
        }
        for name in names:
            self.join(self.owners[name])

    def join(self, host: Host) -> None:
        """Let an entry join the group if it reaches the store."""
        if self.store.down or not self._reaches_store(host):
            return
        shards = self.assignment.get(host.name, [])
        now_ms = self.now_ms
        host.core.update_shard_assignment(now_ms, now_ms, shards, self.generation)
        self.step(host)

    def _join_all(self) -> None:
        for host in list(self.owners.values()):
            self.join(host)
        self.at(JOIN_MS, self._join_all)

    # Requests.

    def submit(self, name: str, spec: JobSpec, entry: str, timeout_ms: int = 0) -> None:
        """Hand in a job at an entry."""
        if spec.volatile:
            self.volatile_jobs.add(spec.id)
        core = self.owners[entry].core
        core.submit(self.now_ms, name, spec, accepted_ms=0, timeout_ms=timeout_ms)
        self.step(self.owners[entry])

    def owner_of(self, spec: JobSpec) -> str:
        """Return the entry that owns a stored job."""
        for name, host in self.owners.items():
            if host.core.state.shard_for(spec.id) is not None:
                return name
        raise AssertionError("no owner")

    # What happened.

    def runs(self) -> list[tuple[int, str, str, int, str]]:
        """Return time, event, task, run and agent of all events on workers."""
        rows = [
            (at, what, task, run, agent)
            for agent, machine in self.machines.items()
            for at, what, task, run in machine.run_events
        ]
        return sorted(rows)

    def overlapping(self) -> list[str]:
        """Return the tasks of which two runs went on at the same time."""
        found = []
        active: dict[str, int] = {}
        for _, what, task, _, _ in self.runs():
            active[task] = active.get(task, 0) + (1 if what == "start" else -1)
            if active[task] > 1:
                found.append(task)
        return found

    def starts_after_noted_ends(self) -> list[str]:
        """Return the starts of tasks of stored jobs that noted ends rule out.

        These are starts after a run has ended `done`, and those after `MAX_ATTEMPTS`
        runs have ended `failed`. An end that was noted later counts from its own time.
        """
        noted_ends = [end for m in self.machines.values() for end in m.ends.noted]
        found = []
        for at_ms, what, task, run, agent in self.runs():
            before = Counter(
                end.how
                for end in noted_ends
                if end.task == task and end.ended_ms < at_ms
            )
            if task.partition(".")[0] in self.volatile_jobs or what != "start":
                continue
            if before["done"] or before["failed"] >= MAX_ATTEMPTS:
                found.append(f"{task} run {run} starts on {agent} after {dict(before)}")
        return found

    def count(self, what: str, task: str = "") -> int:
        """Return how often something happened, of one task or of all."""
        return sum(1 for row in self.runs() if row[1] == what and task in row[2])


def ready_model(**options: int) -> Model:
    """Return a model whose processes know each other."""
    model = Model(**options)
    model.run(SETTLE_MS)
    return model
