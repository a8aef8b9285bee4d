"""Capacity cases of control: rows, heartbeats, the log, views and the census."""

from __future__ import annotations

import attrs

from catkincross import effects as fx
from catkincross.agent_core._agent_core import AgentCore
from catkincross.entry_core._entry_core import EntryCore
from catkincross.ids import agent_process, entry_process
from catkincross.messages import (
    AgentHeartbeat,
    AgentView,
    CensusRequest,
    HeartbeatReply,
    LogRecord,
    Message,
    PeerHeartbeat,
    StartTasks,
    TaskStatus,
    TeamUsage,
)
from catkincross.protocol._records import Record, ResourcePut, encode_record
from catkincross.wire import decode_frame, encode_frame
from catkincross.wire_pb import catkincross_pb2 as pb

from . import _fixtures as fix
from ._case import case
from ._meter import best_us, kept_bytes

HEARTBEAT_SIZES = (100, 200, 400)


def to_wire(message: Message) -> bytes:
    """Return a message as a frame on its stream, without transport headers."""
    return encode_frame([message]).SerializeToString()


def from_wire(data: bytes) -> list[Message]:
    """Return the messages of a frame."""
    return decode_frame(pb.Frame.FromString(data))


def sent(effects: list, kind: type) -> list[fx.Send]:
    """Return the sends of one kind of message among effects."""
    return [
        effect
        for effect in effects
        if isinstance(effect, fx.Send) and isinstance(effect.message, kind)
    ]


def all_started(core: AgentCore, count: int) -> AgentCore:
    """Return the core if the tasks of a measurement have started.

    Raises:
        RuntimeError: If some were refused, so that the measured cost is not theirs.
    """
    started = sum(1 for row in core.state.starts if row.start is not None)
    if started != count:
        raise RuntimeError(f"{started} of {count} tasks started")
    return core


# Rows


def _grant_all(core: EntryCore, count: int) -> EntryCore:
    for number in range(count):
        process = agent_process(fix.agent_name(number))
        core.step(fix.START_MS, [fx.Received(process, fix.hello(number))])
    return core


@case("agent_row_bytes", "bytes", per="agent at its home")
def _agent_row_bytes(count: int) -> float:
    return kept_bytes(fix.joined_entry, lambda core: _grant_all(core, count))


@case("agent_hello_us", "us", per="hello of an agent", sizes=(100, 200, 400))
def _agent_hello_us(count: int) -> float:
    return best_us(fix.joined_entry, lambda core: _grant_all(core, count))


# Heartbeats of agents


def _heartbeat(number: int, clock_ms: int) -> AgentHeartbeat:
    return AgentHeartbeat(
        agent=fix.agent_incarnation(number),
        grant_epoch=1,
        clock_ms=clock_ms,
        version=100,
        running=8,
        memory_used_mb=65_536,
        cpu_permille=700,
    )


def _answer_heartbeats(core: EntryCore, frames: list[tuple[str, bytes]]) -> None:
    for process, data in frames:
        (message,) = from_wire(data)
        effects = core.step(fix.START_MS + 1, [fx.Received(process, message)])
        for effect in sent(effects, HeartbeatReply):
            to_wire(effect.message)


@case(
    "agent_heartbeat_entry_us",
    "us",
    per="agent heartbeat answered by its home, one a step",
    sizes=HEARTBEAT_SIZES,
)
def _agent_heartbeat_entry_us(count: int) -> float:
    def prepare() -> EntryCore:
        core = fix.joined_entry(agents=count)
        core.step(fix.START_MS, [])
        return core

    frames = [
        (agent_process(fix.agent_name(number)), to_wire(_heartbeat(number, 1_000_000)))
        for number in range(count)
    ]
    return best_us(prepare, lambda core: _answer_heartbeats(core, frames))


@case("agent_heartbeat_agent_us", "us", per="agent heartbeat and its reply, agent")
def _agent_heartbeat_agent_us(count: int) -> float:
    process = entry_process(fix.ENTRY_NAME)
    owner = fix.roster(1)[0].incarnation

    def action(core: object) -> None:
        now_ms = fix.START_MS
        for _ in range(count):
            now_ms += 500
            for effect in sent(core.step(now_ms, []), AgentHeartbeat):
                to_wire(effect.message)
            reply = to_wire(HeartbeatReply(owner, now_ms, 100, 2))
            core.step(now_ms + 1, [fx.Received(process, m) for m in from_wire(reply)])

    return best_us(fix.granted_agent, action)


@case("agent_heartbeat_bytes", "bytes", per="agent heartbeat and its reply, wire")
def _agent_heartbeat_bytes(count: int) -> float:
    owner = fix.roster(1)[0].incarnation
    return float(
        sum(
            len(to_wire(_heartbeat(number, 1_000_000_000)))
            + len(to_wire(HeartbeatReply(owner, 1_000_000_000, 100, 100)))
            for number in range(count)
        )
    )


# Heartbeats of entries


def _peer_heartbeats(entries: int, agents: int = 100) -> tuple[EntryCore, list]:
    core = fix.joined_entry(entries=entries, agents=agents)
    # Agents that hold the newest view are counted in a heartbeat, the others named.
    version = core.state.control.version
    for number in range(agents):
        message = attrs.evolve(_heartbeat(number, fix.START_MS), version=version)
        process = agent_process(fix.agent_name(number))
        core.step(fix.START_MS, [fx.Received(process, message)])
    effects = core.step(fix.START_MS + 1_000, [])
    return core, sent(effects, PeerHeartbeat)


@case("peer_heartbeat_send_us", "us", per="peer heartbeat sent", sizes=(10, 20, 40))
def _peer_heartbeat_send_us(entries: int) -> float:
    def action(core: EntryCore) -> None:
        for effect in sent(core.step(fix.START_MS + 9_000, []), PeerHeartbeat):
            to_wire(effect.message)

    return best_us(lambda: _peer_heartbeats(entries)[0], action, repeats=9)


@case(
    "peer_heartbeat_receive_us", "us", per="peer heartbeat received", sizes=(10, 20, 40)
)
def _peer_heartbeat_receive_us(entries: int) -> float:
    core, sends = _peer_heartbeats(entries)
    message = attrs.evolve(
        sends[0].message,
        echo_ms=fix.START_MS,
        teams=[TeamUsage(f"team-{n:03d}", 100, 10_000) for n in range(500)],
    )
    frames = []
    for peer in fix.roster(entries)[1:]:
        moved = attrs.evolve(message, sender=_peer_incarnation(core, peer.name))
        frames.append((entry_process(peer.name), to_wire(moved)))

    def action(prepared: EntryCore) -> None:
        for process, data in frames:
            items = [fx.Received(process, m) for m in from_wire(data)]
            prepared.step(fix.START_MS + 1_001, items)

    return best_us(lambda: core, action, repeats=5)


def _peer_incarnation(core: EntryCore, name: str) -> object:
    return core.state.control.entries[name].incarnation


@case("peer_heartbeat_bytes", "bytes", per="peer heartbeat, wire", sizes=(10, 20, 40))
def _peer_heartbeat_bytes(entries: int) -> float:
    _, sends = _peer_heartbeats(entries)
    return float(sum(len(to_wire(effect.message)) for effect in sends))


@case(
    "team_usage_bytes",
    "bytes",
    per="team in a peer heartbeat, wire",
    sizes=(100, 200, 500),
)
def _team_usage_bytes(teams: int) -> float:
    _, sends = _peer_heartbeats(2)
    usage = [TeamUsage(f"team-{n:03d}", 100, 1_000_000) for n in range(teams)]
    return float(len(to_wire(attrs.evolve(sends[0].message, teams=usage))))


@case(
    "capacity_summary_us",
    "us",
    per="agent in a heartbeat tick of its home",
    sizes=(500, 1_000, 2_000),
)
def _capacity_summary_us(agents: int) -> float:
    def action(core: EntryCore) -> None:
        core.step(fix.START_MS + 9_000, [])

    return best_us(lambda: fix.joined_entry(entries=2, agents=agents), action)


# The log


def _puts(count: int) -> list[LogRecord]:
    author = fix.roster(1)[0].incarnation
    records = []
    for number in range(count):
        spec = {"weight": 10, "quota": 100, "burst": 2.0, "class": "batch"}
        body = ResourcePut("teams", f"team-{number % 500:03d}", number // 500, spec)
        record = Record(f"entry-000-{number:016x}-{number}", author, body)
        records.append(LogRecord(2 + number, encode_record(record)))
    return records


@case("record_fold_us", "us", per="control record decoded and folded")
def _record_fold_us(count: int) -> float:
    event = fx.LogRead(fix.START_MS, _puts(count), count + 1)
    return best_us(fix.joined_entry, lambda core: core.step(fix.START_MS, [event]))


@case("record_kept_bytes", "bytes", per="control record kept after folding")
def _record_kept_bytes(count: int) -> float:
    event = fx.LogRead(fix.START_MS, _puts(count), count + 1)

    def action(core: EntryCore) -> EntryCore:
        core.step(fix.START_MS, [event])
        return core

    return kept_bytes(fix.joined_entry, action)


@case("record_bytes", "bytes", per="control record in the log")
def _record_bytes(count: int) -> float:
    return float(sum(len(record.body) for record in _puts(count)))


def _registrations(count: int) -> list[LogRecord]:
    author = fix.roster(1)[0].incarnation
    return [
        LogRecord(2 + number, encode_record(fix.registration(number, author)))
        for number in range(count)
    ]


@case("agent_registration_us", "us", per="registration of one agent folded")
def _agent_registration_us(count: int) -> float:
    event = fx.LogRead(fix.START_MS, _registrations(count), count + 1)
    return best_us(fix.joined_entry, lambda core: core.step(fix.START_MS, [event]))


@case("register_bytes", "bytes", per="agent in the register of an entry")
def _register_bytes(count: int) -> float:
    event = fx.LogRead(fix.START_MS, _registrations(count), count + 1)

    def action(core: EntryCore) -> EntryCore:
        core.step(fix.START_MS, [event])
        return core

    return kept_bytes(fix.joined_entry, action)


# Views


def _change(core: EntryCore, *, drain: bool) -> fx.LogRead:
    state = core.state
    offset = state.control.version + 1
    if drain:
        body = ResourcePut("datacentres", fix.data_centre_name(0), 0, {"drain": True})
    else:
        body = ResourcePut("teams", "team-000", 0, {"weight": 10})
    record = Record(f"change-{offset}", state.incarnation, body)
    return fx.LogRead(fix.START_MS, [LogRecord(offset, encode_record(record))], offset)


def _viewed_entry(agents: int) -> EntryCore:
    core = fix.joined_entry(entries=20, agents=agents)
    core.step(fix.START_MS, [_change(core, drain=False)])
    return core


@case("view_changed_us", "us", per="agent at a home when a drain is folded")
def _view_changed_us(agents: int) -> float:
    def action(core: EntryCore) -> None:
        effects = core.step(fix.START_MS, [_change(core, drain=True)])
        for effect in sent(effects, AgentView):
            to_wire(effect.message)

    return best_us(lambda: _viewed_entry(agents), action)


@case("view_unchanged_us", "us", per="agent at a home when a team change is folded")
def _view_unchanged_us(agents: int) -> float:
    def change(core: EntryCore) -> fx.LogRead:
        return attrs.evolve(_change(core, drain=False))

    def action(core: EntryCore) -> None:
        core.step(fix.START_MS, [change(core)])

    return best_us(lambda: _viewed_entry(agents), action)


@case("view_bytes", "bytes", per="entry in an agent's view, wire", sizes=(10, 20, 40))
def _view_bytes(entries: int) -> float:
    return float(len(to_wire(AgentView(1_000, fix.roster(entries), False, True))))


# The census


@case("census_answer_us", "us", per="start scanned for a census answer")
def _census_answer_us(starts: int) -> float:
    owner = fix.roster(1)[0].incarnation
    process = entry_process(fix.ENTRY_NAME)

    def prepare() -> object:
        core = fix.granted_agent(slots=starts)
        items = [fix.task_start(n, owner, now_ms=fix.START_MS) for n in range(starts)]
        core.step(fix.START_MS, [fx.Received(process, StartTasks(items))])
        for start in items:
            core.step(fix.START_MS, [fx.UpstreamAnswered(start, TaskStatus.OK)])
        return all_started(core, starts)

    def action(core: object) -> None:
        request = CensusRequest(owner, owner)
        for effect in core.step(fix.START_MS + 1, [fx.Received(process, request)]):
            if isinstance(effect, fx.Send):
                to_wire(effect.message)

    return best_us(prepare, action)
