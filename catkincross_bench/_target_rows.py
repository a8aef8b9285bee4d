"""Entry processes, dispatch, the log and failures at the target size."""

from __future__ import annotations

import math
from collections.abc import Callable

from ._target import (
    AGENT_HEARTBEATS_PER_S,
    CHANGES_PER_DAY,
    CONTROL_BYTES_PER_S,
    CONTROL_US_PER_S,
    DATA_CENTRES,
    DAY_S,
    HEADER_BYTES,
    JOB_TASKS,
    LOG_READS_PER_S,
    MEMORY_MB,
    PEER_HEARTBEATS_PER_S,
    REGIONS,
    RESTARTS_PER_DAY,
    RETENTION_S,
    STARTS_PER_ENTRY,
    STARTS_PER_S,
    WORKERS,
    WORKERS_PER_RACK,
    Costs,
    Row,
    agent_rows,
    agents_per_entry,
    entries_by_starts,
    entries_per_region,
    entry_control_rows,
    heartbeat_bytes,
    row,
    starts_per_agent,
)

Section = Callable[[Costs], list[Row]]


def entry_dispatch_rows(costs: Costs) -> list[Row]:
    """Return the rows of dispatch on one entry at 5,000 starts a second."""
    kept = STARTS_PER_ENTRY * RETENTION_S
    jobs = STARTS_PER_ENTRY / JOB_TASKS
    return [
        row(
            "processor, jobs of 100",
            f"{STARTS_PER_ENTRY:,} starts/s × {costs['task_entry_us']:.0f} µs",
            STARTS_PER_ENTRY * costs["task_entry_us"] / 1e6,
            "cores",
            1,
            "batches; the cost of a step follows what changed",
        ),
        row(
            "processor, single requests",
            f"{STARTS_PER_ENTRY:,} starts/s × {costs['request_entry_us']:.0f} µs",
            STARTS_PER_ENTRY * costs["request_entry_us"] / 1e6,
            "cores",
            1,
            "as above",
        ),
        row(
            "memory of kept tasks, owner and home, jobs of 360",
            f"{jobs:.1f} jobs/s × {RETENTION_S} s × 360 × "
            f"{costs['task_kept_bytes']:,.0f} B",
            kept * costs["task_kept_bytes"] / 1e6,
            "MB",
            MEMORY_MB,
            "needed: a finished job as one packed row (digest, answer bytes); a "
            "finished home task as 16 bytes of key in a set by owner incarnation",
        ),
        row(
            "memory of kept keys, single requests",
            f"{STARTS_PER_ENTRY:,}/s × {RETENTION_S} s × "
            f"{costs['key_kept_bytes']:,.0f} B",
            kept * costs["key_kept_bytes"] / 1e6,
            "MB",
            MEMORY_MB,
            "needed: as above, and no row for a request without a key",
        ),
    ]


def entry_count_rows(costs: Costs) -> list[Row]:
    """Return how many entry processes each limit asks for."""
    pair = heartbeat_bytes(costs)
    by_us = CONTROL_US_PER_S / (
        AGENT_HEARTBEATS_PER_S * costs["agent_heartbeat_entry_us"]
    )
    by_bytes = CONTROL_BYTES_PER_S / (AGENT_HEARTBEATS_PER_S * pair)
    key = costs["task_kept_bytes"]
    starts = MEMORY_MB * 1e6 / (RETENTION_S * key)
    peer_bytes = costs["peer_heartbeat_bytes"] + HEADER_BYTES
    mesh = CONTROL_BYTES_PER_S / (2 * PEER_HEARTBEATS_PER_S * peer_bytes) + 1
    cores = STARTS_PER_S * costs["task_entry_us"] / 1e6
    base = entries_by_starts()
    return [
        row(
            "starts at the performance target",
            f"{STARTS_PER_S:,} / {STARTS_PER_ENTRY:,}",
            base,
            "entries",
            None,
            f"{entries_per_region()} a region; the base of this page",
        ),
        row(
            "starts at the measured processor time, jobs of 100",
            f"{STARTS_PER_S:,} × {costs['task_entry_us']:.0f} µs",
            math.ceil(cores),
            "entries",
            base,
            "pure code and codec only; transport comes on top",
        ),
        row(
            "agents' heartbeats at 3.3 % of a core",
            f"{WORKERS:,} / {by_us:,.0f} agents an entry",
            math.ceil(WORKERS / by_us),
            "entries",
            base,
            "sharded by rendezvous hash",
        ),
        row(
            "agents' heartbeats at 14 KB/s",
            f"{WORKERS:,} / {by_bytes:.1f} agents an entry",
            math.ceil(WORKERS / by_bytes),
            "entries",
            base,
            "needed: see heartbeats of agents",
        ),
        row(
            "memory of kept tasks at 256 MB",
            f"{STARTS_PER_S:,} / {starts:,.0f} starts/s an entry",
            math.ceil(STARTS_PER_S / starts),
            "entries",
            base,
            "needed: packed rows",
        ),
        row(
            "largest region of a full mesh of heartbeats at 14 KB/s",
            f"14,000 / (2 × {PEER_HEARTBEATS_PER_S} × {peer_bytes:.0f} B) + 1",
            math.floor(mesh),
            "entries a region at most",
            None,
            f"{entries_per_region()} are needed: relays in each data centre",
        ),
    ]


def event_rows(costs: Costs) -> list[Row]:
    """Return the rows of the log, of changes and of failures."""
    entries, per_region = entries_by_starts(), entries_per_region()
    per_centre = math.ceil(entries / DATA_CENTRES)
    agents = math.ceil(WORKERS / DATA_CENTRES)
    appends = (CHANGES_PER_DAY + 2 * RESTARTS_PER_DAY) / DAY_S
    scanned = starts_per_agent() * RETENTION_S
    scan_ms = scanned * costs["census_answer_us"] / 1e3
    successors = per_region - per_centre
    registration = costs["agent_registration_us"]
    return [
        row(
            "appends, mean",
            f"({CHANGES_PER_DAY:,} + 2 × {RESTARTS_PER_DAY:,}) / {DAY_S:,} s",
            appends,
            "appends/s",
            300,
            "no append in steady state; agents batched by home",
        ),
        row(
            "reads of the log, each entry by itself",
            f"{entries} × {LOG_READS_PER_S}/s",
            entries * LOG_READS_PER_S,
            "reads/s",
            None,
            "today each entry reads; needed: one reader and one standby a data "
            "centre, evidence and records relayed by peers",
        ),
        row(
            "reads of the log with relays",
            f"{DATA_CENTRES} × 2 × {LOG_READS_PER_S}/s",
            DATA_CENTRES * 2 * LOG_READS_PER_S,
            "reads/s",
            None,
            "evidence in `PeerHeartbeat`, records in `RecordsTail`",
        ),
        row(
            "a change in force",
            "append 5 ms + waiting read 1 ms + two relays × 250 ms + view 1 ms",
            507,
            "ms",
            3_000,
            "pushed views; freshness lease of 2,000 ms for whoever is not reached",
        ),
        row(
            "a drain of a data centre, processor at one home",
            f"{agents_per_entry()} agents × {costs['view_changed_us']:.1f} µs",
            agents_per_entry() * costs["view_changed_us"] / 1e3,
            "ms",
            None,
            "one view for each agent that it concerns",
        ),
        row(
            "a rack fails, appends",
            f"{WORKERS_PER_RACK} agents of up to {per_centre} homes, one record each",
            min(per_centre, WORKERS_PER_RACK),
            "appends",
            None,
            "ended agents batched by home; tasks there end `may_have_run`",
        ),
        row(
            "a data centre fails, appends",
            f"{per_centre} entries + {agents} agents in one record a second chooser",
            per_centre * 2,
            "appends",
            None,
            "needed: agents whose homes are gone ended in batches by the next entry "
            "of the rendezvous order",
        ),
        row(
            "a data centre fails, census at each agent, one scan a request",
            f"{successors} successors × {per_centre} ended × {scanned:,.0f} starts × "
            f"{costs['census_answer_us']:.2f} µs",
            successors * per_centre * scan_ms / 1e3,
            "s of a core",
            None,
            "needed: starts indexed by owner incarnation, and one census a region "
            "whose answer homes relay to all successors",
        ),
        row(
            "a region's agents register again, processor at each entry",
            f"{WORKERS / REGIONS:,.0f} × {registration:.0f} µs at 2,000 registered",
            WORKERS / REGIONS * registration / 1e6,
            "s of a core",
            None,
            "one registration a record grows with the square; needed: incarnations "
            "indexed by name, registrations batched by home",
        ),
        row(
            "a cut between regions",
            "no roster, register, job or heartbeat spans regions",
            0,
            "messages",
            0,
            "a region that cannot reach the log continues by outage evidence and "
            "accepts no change",
        ),
    ]


SECTIONS: dict[str, Section] = {
    "agent": agent_rows,
    "entry-control": entry_control_rows,
    "entry-dispatch": entry_dispatch_rows,
    "entry-count": entry_count_rows,
    "events": event_rows,
}
