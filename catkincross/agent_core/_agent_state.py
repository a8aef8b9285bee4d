"""State of an agent."""

from __future__ import annotations

import attrs

from ..foundation._guards import ALL_GUARDS, Guards
from ..foundation._ids import Incarnation, TaskId, entry_process
from ..foundation._tables import DueQueue, Table
from ..protocol._effects import AbortUpstream, CallUpstream, Effect, Emit, Send
from ..protocol._messages import AgentView, Message, OwnedTask, TaskResult, TaskStart
from ..resources._freshness import Freshness
from ..settings._settings import AgentSettings
from ._home_selection import EntryLinks


@attrs.define
class StartRow:
    """A task that was started, or an attempt that must never start here.

    Attributes:
        owner: Incarnation of the entry that owns the task.
        attempt: The attempt that was started, or the last one refused or revoked.
        start: The order that started the task; None if it was refused or revoked.
        result: Result of the task, or None while it runs.
        ended_ms: When the task ended, or the attempt was refused or revoked; None while
            the task runs.
        started_ms: When the task was started, or None if it never was.
    """

    owner: Incarnation
    task: TaskId
    attempt: int
    start: TaskStart | None = None
    result: TaskResult | None = None
    ended_ms: int | None = None
    started_ms: int | None = None


@attrs.define
class AgentState:
    """State and settings of an agent; see `AgentCore`.

    Attributes:
        starts: Started, refused and revoked tasks of all owners, by task.
        running: Tasks that occupy a slot.
        start_expiry: When each row of `starts` is removed.
        fenced_owners: Incarnations of owners that a census named as ended.
        home: Name of the entry to which the agent has granted its slots, or an empty
            string.
        grant_epoch: Number of the grant; increases with each change of the home.
        connected: Processes with an open stream.
        links: State of the streams to entries, from which the home is chosen.
        leave_requested_ms: When the leave was requested.
        results_sent_ms: When results were last sent to the home; -1 if never.
        home_echo_ms: Latest clock stamp of this agent that its home has echoed.
        pending_results: Results that are not sent yet.
    """

    settings: AgentSettings
    incarnation: Incarnation
    freshness: Freshness
    guards: Guards = ALL_GUARDS
    now_ms: int = 0
    starts: Table[TaskId, StartRow] = attrs.field(factory=lambda: Table("starts"))
    running: dict[TaskId, StartRow] = attrs.field(factory=dict)
    start_expiry: DueQueue[TaskId] = attrs.field(factory=DueQueue)
    fenced_owners: set[Incarnation] = attrs.field(factory=set)
    view: AgentView | None = None
    home: str = ""
    grant_epoch: int = 0
    heartbeat_due_ms: int = 0
    connected: set[str] = attrs.field(factory=set)
    links: EntryLinks = attrs.field(factory=EntryLinks)
    leaving: bool = False
    leave_requested_ms: int = 0
    upstream_leaving: bool = False
    results_sent_ms: int = -1
    home_echo_ms: int = 0
    slots: int = 0
    connections: int = 0
    memory_used_mb: int = 0
    cpu_permille: int = 0
    pending_results: list[TaskResult] = attrs.field(factory=list)
    effects: list[Effect] = attrs.field(factory=list)

    @classmethod
    def from_settings(
        cls, settings: AgentSettings, *, number: int, guards: Guards = ALL_GUARDS
    ) -> AgentState:
        """Return the state of an agent that has just started.

        Args:
            settings: The agent's settings.
            number: Incarnation number, random, above 0.
            guards: Safety checks that are enabled.
        """
        return cls(
            settings=settings,
            incarnation=Incarnation(settings.name, number),
            freshness=Freshness(settings.freshness.freshness_ms),
            guards=guards,
            slots=settings.slots,
            connections=settings.connections,
        )

    @property
    def home_process(self) -> str:
        """Process name of the home, or an empty string."""
        return entry_process(self.home) if self.home else ""

    def send(self, to: str, message: Message) -> None:
        """Send a message to a process at the end of this step."""
        self.effects.append(Send(to, message))

    def emit(self, name: str, **fields: object) -> None:
        """Record an event of this agent."""
        self.effects.append(Emit("agent", name, dict(fields)))

    def call_upstream(self, start: TaskStart) -> None:
        """Send a task to the upstream at the end of this step."""
        self.effects.append(CallUpstream(start))

    def abort_upstream(self, start: TaskStart) -> None:
        """Abort the upstream call of a task at the end of this step."""
        self.effects.append(AbortUpstream(start))

    def running_tasks(self) -> list[OwnedTask]:
        """Return the tasks that occupy a slot."""
        return [
            OwnedTask(row.owner, row.task, row.attempt) for row in self.running.values()
        ]
