"""What this home's agents have observed, as its heartbeats tell the other entries."""

from __future__ import annotations

from collections import defaultdict

from ..protocol._messages import DrainReport, ObservedVersion
from ._entry_rows import AgentRow
from ._entry_state import EntryState

MAX_NAMED_AGENTS = 10


def is_home_of(state: EntryState, row: AgentRow) -> bool:
    """Whether the register names this entry as an agent's home."""
    return state.me is not None and state.control.home_of(row.hello.agent) == state.me


def observed_versions(state: EntryState) -> list[ObservedVersion]:
    """Return the agents of this home by the version they have observed."""
    names_by_version: dict[int, list[str]] = defaultdict(list)
    for row in state.agents:
        if is_home_of(state, row):
            names_by_version[row.view_version].append(row.name)
    newest = max(names_by_version, default=0)
    return [
        # Agents at the newest version are missing nowhere, so they need no names.
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
    """Return a report for each upstream of this home that takes no new work."""
    reports = []
    for row in state.agents:
        hello = row.hello
        if not is_home_of(state, row):
            continue
        if state.control.is_draining(hello.data_centre, hello.upstream):
            idle = row.draining_confirmed and not row.running_reported and not row.held
            report = DrainReport(hello.data_centre, hello.upstream, 1, int(idle))
            reports.append(report)
    return reports
