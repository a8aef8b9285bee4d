"""Messages between entries about control state: heartbeats, records, snapshots."""

from __future__ import annotations

import attrs

from ..foundation._ids import Incarnation
from ._message_parts import CapacitySummary, LogRecord, TeamUsage


@attrs.frozen
class ObservedVersion:
    """Count of the agents of one home that have observed the same control version.

    Attributes:
        version: The control version.
        agents: Number of agents.
        names: Some of their names; empty if they have observed the home's version.
    """

    version: int
    agents: int
    names: list[str] = attrs.field(factory=list)


@attrs.frozen
class DrainReport:
    """Counts of the agents of one home on a drained upstream.

    Attributes:
        data_centre: Data centre of the upstream.
        upstream: Name of the upstream.
        agents: Number of agents.
        idle: Number of agents that have confirmed the drain and run nothing.
    """

    data_centre: str
    upstream: str
    agents: int
    idle: int


@attrs.frozen
class PeerHeartbeat:
    """Periodic message between entries.

    Attributes:
        sender: Incarnation of the sender.
        sent_ms: The sender's clock when the message was sent.
        echo_ms: `sent_ms` of the last heartbeat received from the addressee, or
            `NO_EVIDENCE`.
        echo_delay_ms: Time since the sender received that heartbeat.
        version: Control version up to which the sender has folded the log.
        log_reachable: Whether the sender's last read of the log succeeded.
        evidence_age_ms: Age of the sender's evidence of the log's tail, or
            `NO_EVIDENCE`.
        capacity: Capacity of the sender's agents by service and data centre.
        teams: Use of teams at the sender.
        leaving: Whether the sender is leaving.
        pending: Encoded restrictive records (drains and ends of entries) that the
            sender has sent to the log and whose outcome it does not know yet. The
            addressee applies these restrictions as well.
        observed: Control versions that the sender's agents have observed.
        drains: The sender's agents on drained upstreams.
    """

    sender: Incarnation
    sent_ms: int
    echo_ms: int
    echo_delay_ms: int
    version: int
    log_reachable: bool
    evidence_age_ms: int
    capacity: list[CapacitySummary] = attrs.field(factory=list)
    teams: list[TeamUsage] = attrs.field(factory=list)
    leaving: bool = False
    pending: list[bytes] = attrs.field(factory=list)
    observed: list[ObservedVersion] = attrs.field(factory=list)
    drains: list[DrainReport] = attrs.field(factory=list)


@attrs.frozen
class RecordsTail:
    """Records of the control stream that the addressee has not folded.

    Attributes:
        records: Consecutive records by offset.
        after: Control version that the first record follows directly.
    """

    records: list[LogRecord]
    after: int = 0


@attrs.frozen
class StateRequest:
    """Asks for the control state if it is newer than `version`."""

    version: int


@attrs.frozen
class ControlSnapshot:
    """The whole control state at a version; the body is its JSON form."""

    version: int
    body: bytes
