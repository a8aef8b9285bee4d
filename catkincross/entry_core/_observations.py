"""Versions and drain states of this home's agents, reported to the other entries."""

from __future__ import annotations

from collections import defaultdict

from ..protocol._messages import DrainReport, ObservedVersion
from ._entry_rows import AgentRow
from ._entry_state import EntryState

MAX_NAMED_AGENTS = 10


def is_home_of(state: EntryState, row: AgentRow) -> bool:
    """Whether this entry is the registered home of an agent."""
    return (
        state.incarnation is not None
        and state.control.home_of(row.hello.agent) == state.incarnation
    )


def observed_versions(state: EntryState) -> list[ObservedVersion]:
    """Return the number and some names of this home's agents by observed version."""
    names_by_version: dict[int, list[str]] = defaultdict(list)
    for row in state.agents:
        if is_home_of(state, row):
            names_by_version[row.view_version].append(row.name)
    newest = max(names_by_version, default=0)
    return [
        # Only agents that lag behind are named.
        ObservedVersion(
            version,
            len(names),
            []
            if version == newest == state.control.version
            else names[:MAX_NAMED_AGENTS],
        )
        for version, names in sorted(names_by_version.items())
    ]


def drain_reports(state: EntryState) -> list[DrainReport]:
    """Return a report for each draining upstream of this home."""
    reports = []
    for row in state.agents:
        hello = row.hello
        if not is_home_of(state, row):
            continue
        if state.control.is_draining(hello.data_centre, hello.upstream):
            idle = (
                row.draining_confirmed
                and not row.running_reported
                and not row.assigned_tasks
            )
            report = DrainReport(hello.data_centre, hello.upstream, 1, int(idle))
            reports.append(report)
    return reports
