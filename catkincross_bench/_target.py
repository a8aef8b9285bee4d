"""Arithmetic of the target size: measured slopes against the stated limits."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

WORKERS = 35_000
REGIONS = 9
DATA_CENTRES = 29
TEAMS = 500
STARTS_PER_S = 1_900_000
JOB_TASKS = 360
CHANGES_PER_DAY = 80_000
RESTARTS_PER_DAY = 290 + 3_500
DAY_S = 86_400
RETENTION_S = 900
STARTS_PER_ENTRY = 5_000

# Limits of control on one node.
CONTROL_US_PER_S = 33_000
CONTROL_BYTES_PER_S = 14_000
MEMORY_MB = 256

# Intervals of the settings' defaults.
AGENT_HEARTBEATS_PER_S = 2
PEER_HEARTBEATS_PER_S = 4
LOG_READS_PER_S = 2.5

# Headers of one small message: 5 of gRPC, 9 of HTTP/2, 52 of TCP and IP.
HEADER_BYTES = 66
WORKERS_PER_RACK = 40

Costs = Mapping[str, float]


@attrs.frozen
class Row:
    """A derived figure.

    Attributes:
        what: What is derived.
        arithmetic: The calculation with its numbers.
        result: The figure with its unit.
        limit: The stated limit, or an empty string.
        fits: Whether the figure is within the limit; None without one.
        mechanism: What carries the row, or would carry it.
    """

    what: str
    arithmetic: str
    result: str
    limit: str
    fits: bool | None
    mechanism: str


def entries_by_starts() -> int:
    """Return the entry processes that the target of starts a second asks for."""
    return math.ceil(STARTS_PER_S / STARTS_PER_ENTRY)


def entries_per_region() -> int:
    """Return the entry processes of a mean region."""
    return math.ceil(entries_by_starts() / REGIONS)


def agents_per_entry() -> int:
    """Return the agents of a mean entry at the number of entries by starts."""
    return math.ceil(WORKERS / entries_by_starts())


def starts_per_agent() -> float:
    """Return the task starts a second of a mean agent at the peak."""
    return STARTS_PER_S / WORKERS


def heartbeat_bytes(costs: Costs) -> float:
    """Return the bytes of an agent's heartbeat and its reply with headers."""
    return costs["agent_heartbeat_bytes"] + 2 * HEADER_BYTES


def row(
    what: str,
    arithmetic: str,
    figure: float,
    unit: str,
    limit: float | None,
    mechanism: str,
) -> Row:
    return Row(
        what,
        arithmetic,
        f"{_number(figure)} {unit}",
        "" if limit is None else f"{_number(limit)} {unit}",
        None if limit is None else figure <= limit,
        mechanism,
    )


def _number(value: float) -> str:
    if value >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def agent_rows(costs: Costs) -> list[Row]:
    """Return the rows of one agent process."""
    pair = heartbeat_bytes(costs)
    us = costs["agent_heartbeat_agent_us"]
    kept = starts_per_agent() * RETENTION_S
    start = costs["start_kept_bytes"]
    view = costs["view_bytes"] * entries_per_region()
    return [
        row(
            "control, bytes",
            f"{AGENT_HEARTBEATS_PER_S}/s × {pair:.0f} B",
            AGENT_HEARTBEATS_PER_S * pair,
            "B/s",
            CONTROL_BYTES_PER_S,
            "one heartbeat to one home; views only when they change",
        ),
        row(
            "control, processor (pure code and codec)",
            f"{AGENT_HEARTBEATS_PER_S}/s × {us:.1f} µs",
            AGENT_HEARTBEATS_PER_S * us,
            "µs/s",
            CONTROL_US_PER_S,
            "due times in a heap: no step without an event",
        ),
        row(
            "a view on the wire",
            f"{entries_per_region()} entries × {costs['view_bytes']:.0f} B",
            view,
            "B",
            None,
            "sent on a change of the roster, of its drain flag or registration",
        ),
        row(
            "memory of kept starts",
            f"{starts_per_agent():.1f} starts/s × {RETENTION_S} s × {start:,.0f} B",
            kept * start / 1e6,
            "MB",
            MEMORY_MB,
            "started set, dropped after the retention",
        ),
        row(
            "dispatch, processor (no limit of control)",
            f"{starts_per_agent():.1f} starts/s × {costs['task_agent_us']:.0f} µs",
            starts_per_agent() * costs["task_agent_us"],
            "µs/s",
            None,
            "one message a task in each direction",
        ),
    ]


def entry_control_rows(costs: Costs) -> list[Row]:
    """Return the rows of control on one entry, at the entries by starts."""
    agents, peers = agents_per_entry(), entries_per_region() - 1
    pair = heartbeat_bytes(costs)
    peer_bytes = costs["peer_heartbeat_bytes"] + HEADER_BYTES
    changes = CHANGES_PER_DAY / DAY_S
    peer_us = costs["peer_heartbeat_send_us"] + costs["peer_heartbeat_receive_us"]
    return [
        row(
            "heartbeats of agents, bytes",
            f"{agents} agents × {AGENT_HEARTBEATS_PER_S}/s × {pair:.0f} B",
            agents * AGENT_HEARTBEATS_PER_S * pair,
            "B/s",
            CONTROL_BYTES_PER_S,
            "needed: stamps and evidence on task messages, a heartbeat only after "
            "500 ms without one, 1 s when idle, numbers in place of names",
        ),
        row(
            "heartbeats of agents, processor",
            f"{agents} × {AGENT_HEARTBEATS_PER_S}/s × "
            f"{costs['agent_heartbeat_entry_us']:.1f} µs",
            agents * AGENT_HEARTBEATS_PER_S * costs["agent_heartbeat_entry_us"],
            "µs/s",
            CONTROL_US_PER_S,
            "agents sharded over the entries of their data centre by rendezvous hash",
        ),
        row(
            "heartbeats of entries, bytes, full mesh of a region",
            f"{peers} peers × {PEER_HEARTBEATS_PER_S}/s × 2 ways × {peer_bytes:.0f} B",
            peers * PEER_HEARTBEATS_PER_S * 2 * peer_bytes,
            "B/s",
            CONTROL_BYTES_PER_S,
            "needed: two relays a data centre; an entry exchanges heartbeats with "
            "them only, and the relays with those of other data centres",
        ),
        row(
            "heartbeats of entries with the usage of all teams, bytes",
            f"{peers} × {PEER_HEARTBEATS_PER_S}/s × 2 × ({peer_bytes:.0f} B + {TEAMS} "
            f"teams × {costs['team_usage_bytes']:.0f} B)",
            peers
            * PEER_HEARTBEATS_PER_S
            * 2
            * (peer_bytes + TEAMS * costs["team_usage_bytes"]),
            "B/s",
            CONTROL_BYTES_PER_S,
            "needed: only teams whose use changed by a tenth, once a second, summed "
            "at the relays",
        ),
        row(
            "heartbeats of entries with the usage of all teams, processor",
            f"{peers} × {PEER_HEARTBEATS_PER_S}/s × {peer_us:.0f} µs",
            peers * PEER_HEARTBEATS_PER_S * peer_us,
            "µs/s",
            CONTROL_US_PER_S,
            "needed: as above",
        ),
        row(
            "capacity summaries, processor",
            f"{agents} × {PEER_HEARTBEATS_PER_S}/s × "
            f"{costs['capacity_summary_us']:.2f} µs",
            agents * PEER_HEARTBEATS_PER_S * costs["capacity_summary_us"],
            "µs/s",
            CONTROL_US_PER_S,
            "one summary for each service and data centre",
        ),
        row(
            "changes folded, processor",
            f"{changes:.2f}/s × ({costs['record_fold_us']:.1f} µs + {agents} views × "
            f"{costs['view_unchanged_us']:.2f} µs)",
            changes * (costs["record_fold_us"] + agents * costs["view_unchanged_us"]),
            "µs/s",
            CONTROL_US_PER_S,
            "deterministic fold; a view is sent only when it differs",
        ),
        row(
            "register of the region, memory",
            f"{WORKERS / REGIONS:,.0f} agents × {costs['register_bytes']:.0f} B",
            WORKERS / REGIONS * costs["register_bytes"] / 1e6,
            "MB",
            MEMORY_MB,
            "one register a region",
        ),
        row(
            "records kept in a day, memory",
            f"{CHANGES_PER_DAY:,} × {costs['record_kept_bytes']:.0f} B",
            CHANGES_PER_DAY * costs["record_kept_bytes"] / 1e6,
            "MB/day",
            None,
            "needed: outcomes of records dropped after the retention",
        ),
    ]
