"""Cores in a known state, built through their inbox only."""

from __future__ import annotations

from catkincross import effects as fx
from catkincross.agent_core._agent_core import AgentCore
from catkincross.agent_core._agent_state import AgentState
from catkincross.entry_core._entry_core import EntryCore
from catkincross.entry_core._entry_state import EntryState
from catkincross.ids import Incarnation, TaskId, agent_process, entry_process
from catkincross.messages import (
    AgentHello,
    AgentView,
    HeartbeatReply,
    LogRecord,
    PlacedTask,
    RosterEntry,
    TaskSpec,
    TaskStart,
)
from catkincross.protocol._records import (
    AgentsRegistered,
    EntryJoined,
    Record,
    RegisteredAgent,
    encode_record,
)
from catkincross.settings import AgentSettings, EntrySettings

SERVICE = "service"
ENTRY_NAME = "entry-000"
START_MS = 1_000_000
PAYLOAD = b"p" * 64


def agent_name(number: int) -> str:
    """Return the name of an agent, as long as real host names are."""
    return f"upstream-{number:06d}"


def data_centre_name(number: int) -> str:
    """Return the name of one of three data centres."""
    return f"data-centre-{number % 3}"


def agent_incarnation(number: int) -> Incarnation:
    """Return the incarnation of an agent of the fixtures."""
    return Incarnation(agent_name(number), (1 << 62) + number)


def hello(number: int, *, slots: int = 8) -> AgentHello:
    """Return the hello of an agent that grants its slots."""
    return AgentHello(
        agent=agent_incarnation(number),
        upstream=agent_name(number),
        service=SERVICE,
        region="region-0",
        data_centre=data_centre_name(number),
        rack=f"rack-{number // 3:05d}",
        slots=slots,
        connections=max(64, slots),
        cores=32,
        memory_mb=131_072,
        accelerators=2,
        grant_epoch=1,
        clock_ms=START_MS,
    )


def joined_entry(*, entries: int = 1, agents: int = 0, slots: int = 8) -> EntryCore:
    """Return an entry core on a roster, with current evidence and granted slots.

    Args:
        entries: Entries on the roster, this one included.
        agents: Agents that are registered and granted their slots.
        slots: Slots of each agent.
    """
    settings = EntrySettings(
        name=ENTRY_NAME, region="region-0", data_centre=data_centre_name(0)
    )
    state = EntryState.from_settings(settings, address="10.0.0.1:7000", seed=1)
    core = EntryCore(state)
    effects = core.step(START_MS, [fx.LogRead(START_MS, [], 0)])
    join = next(e.record for e in effects if isinstance(e, fx.Append))
    records = [LogRecord(1, encode_record(join))]
    for number in range(1, entries):
        records.append(LogRecord(len(records) + 1, encode_record(_joined(number))))
    core.step(START_MS, [fx.LogRead(START_MS, records, len(records))])
    if agents:
        record = LogRecord(
            len(records) + 1,
            encode_record(_registered(range(agents), state.incarnation)),
        )
        core.step(START_MS, [fx.LogRead(START_MS, [record], record.offset)])
    for number in range(agents):
        item = fx.Received(
            agent_process(agent_name(number)), hello(number, slots=slots)
        )
        core.step(START_MS, [item])
    return core


def _joined(number: int) -> Record:
    body = EntryJoined(
        f"entry-{number:03d}", f"10.0.1.{number}:7000", data_centre_name(number)
    )
    return Record(f"join-{number}", None, body)


def _registered(numbers: range, author: Incarnation | None) -> Record:
    agents = [
        RegisteredAgent(
            agent_incarnation(number),
            agent_name(number),
            SERVICE,
            data_centre_name(number),
        )
        for number in numbers
    ]
    return Record(f"agents-{numbers.start}", author, AgentsRegistered(agents))


def registration(number: int, author: Incarnation | None) -> Record:
    """Return the record that registers one agent."""
    return _registered(range(number, number + 1), author)


def task_id(number: int) -> TaskId:
    """Return the only task of a job."""
    return TaskId(number.to_bytes(16, "big"), 0)


def placed_task(number: int, owner: Incarnation) -> PlacedTask:
    """Return a task on its way to a home."""
    spec = TaskSpec(PAYLOAD, size=64, run_ms=200, memory_mb=512)
    return PlacedTask(owner, task_id(number), SERVICE, "team-0", spec, 60_000)


def task_start(number: int, owner: Incarnation, *, now_ms: int) -> TaskStart:
    """Return a task on its way to an agent."""
    spec = TaskSpec(PAYLOAD, size=64, run_ms=200, memory_mb=512)
    return TaskStart(
        owner, task_id(number), SERVICE, spec, 1, now_ms + 1_000, now_ms + 60_000
    )


def roster(entries: int) -> list[RosterEntry]:
    """Return a roster of entries."""
    return [
        RosterEntry(
            f"entry-{number:03d}",
            number + 1,
            f"10.0.1.{number}:7000",
            data_centre_name(number),
        )
        for number in range(entries)
    ]


def granted_agent(*, entries: int = 1, slots: int = 8) -> AgentCore:
    """Return an agent core with a view, evidence and a home, `entry-000` if alone."""
    settings = AgentSettings(
        name=agent_name(0),
        region="region-0",
        data_centre=data_centre_name(0),
        upstream=agent_name(0),
        service=SERVICE,
        slots=slots,
        connections=10_000,
    )
    core = AgentCore(AgentState.from_settings(settings, number=1 << 62))
    view = AgentView(
        entries, roster(entries), draining=False, registered=True, home_number=1
    )
    process = entry_process(ENTRY_NAME)
    core.step(START_MS, [fx.Connected(process), fx.Received(process, view)])
    owner = view.entries[0].incarnation
    reply = HeartbeatReply(owner, START_MS, 0, view.version)
    core.step(START_MS, [fx.Received(process, reply)])
    return core
