"""Documents of resources as operators see them."""

from __future__ import annotations

from typing import Any

from ..entry_core._entry_state import EntryState
from ..entry_core._observations import drain_reports, observed_versions
from ..protocol._messages import DrainReport, ObservedVersion, RosterEntry
from ..resources._control_state import Resource

NAMED_MISSING = 20


def resource_document(state: EntryState, kind: str, name: str) -> dict[str, Any] | None:
    """Return metadata, spec and status of a resource, or None.

    Args:
        state: The entry's state.
        kind: Kind of the resource, such as `datacentres`.
        name: Name of the resource; for `entries` an entry of the roster will do.

    Returns:
        `metadata` with name, generation and resource_version (offset of the last
        change); `spec`; `status` with the generation that all processes have
        observed, their number, how many have observed the current generation, and
        the names of some that have not.
    """
    resource = state.control.resources.get((kind, name))
    entry = state.control.entries.get(name) if kind == "entries" else None
    if resource is None and entry is None:
        return None
    if resource is None:
        assert entry is not None
        resource = Resource(kind, name, 0, entry.number, {})
    metadata = {
        "name": name,
        "generation": resource.generation,
        "resource_version": resource.version,
    }
    status = _observed(state, resource)
    if kind in ("datacentres", "upstreams"):
        status |= _drain_status(state, kind, name)
    if entry is not None:
        status |= _entry_status(state, entry)
    return {"metadata": metadata, "spec": dict(resource.spec), "status": status}


def list_documents(state: EntryState, kind: str) -> list[dict[str, Any]]:
    """Return the documents of all resources of a kind, by name."""
    names = {name for key, name in state.control.resources if key == kind}
    if kind == "entries":
        names |= set(state.control.entries)
    found = (resource_document(state, kind, name) for name in sorted(names))
    return [document for document in found if document is not None]


def _observed(state: EntryState, resource: Resource) -> dict[str, Any]:
    """Count the processes that have observed the resource's last change."""
    processes, observed, missing = 0, 0, []
    for name in sorted(state.control.entries):
        processes += 1
        if _entry_version(state, name) >= resource.version:
            observed += 1
        else:
            missing.append(f"entry/{name}")
    for report in _observed_by_agents(state):
        processes += report.agents
        if report.version >= resource.version:
            observed += report.agents
        else:
            missing += [f"agent/{name}" for name in report.names]
    generation = resource.generation
    return {
        "observed_generation": generation if observed == processes else generation - 1,
        "processes": processes,
        "observed": observed,
        "missing": missing[:NAMED_MISSING],
    }


def _entry_version(state: EntryState, name: str) -> int:
    if name == state.name:
        return state.control.version
    peer = state.peers.get(name)
    if peer is None or peer.heartbeat is None:
        return 0
    return peer.heartbeat.version


def _observed_by_agents(state: EntryState) -> list[ObservedVersion]:
    """Return reports that cover every agent of the register.

    Agents that no home reports on count as having observed nothing.
    """
    reports = list(observed_versions(state))
    for peer in state.peers:
        if peer.heartbeat is not None:
            reports += peer.heartbeat.observed
    live = [
        member.registered.agent.name
        for member in state.control.members.values()
        if member.ended_ms is None
    ]
    unreported = len(live) - sum(report.agents for report in reports)
    if unreported > 0:
        named = {name for report in reports for name in report.names}
        named |= set(state.agents.rows)
        names = [name for name in live if name not in named]
        reports.append(ObservedVersion(0, unreported, names[:unreported]))
    return reports


def _drain_status(state: EntryState, kind: str, name: str) -> dict[str, Any]:
    """Return whether nothing runs on a draining resource, as its agents report."""
    members = [
        member.registered
        for member in state.control.members.values()
        if member.ended_ms is None
        and name
        == (
            member.registered.data_centre
            if kind == "datacentres"
            else member.registered.upstream
        )
    ]
    idle = sum(
        report.idle
        for report in _drains(state)
        if name == (report.data_centre if kind == "datacentres" else report.upstream)
    )
    draining = state.control.is_draining(name) if kind == "datacentres" else False
    if kind == "upstreams":
        data_centre = members[0].data_centre if members else ""
        draining = state.control.is_draining(data_centre, name)
    return {
        "draining": draining,
        "agents": len(members),
        "agents_idle": idle,
        "drained": draining and idle >= len(members),
    }


def _drains(state: EntryState) -> list[DrainReport]:
    reports = drain_reports(state)
    for peer in state.peers:
        if peer.heartbeat is not None:
            reports += peer.heartbeat.drains
    return reports


def _entry_status(state: EntryState, entry: RosterEntry) -> dict[str, Any]:
    lease_ms = state.settings.freshness.freshness_ms
    current = entry.name == state.name and state.freshness.is_current(state.now_ms)
    peer = state.peers.get(entry.name)
    if (
        peer is not None
        and peer.heartbeat is not None
        and peer.last_heard_ms is not None
    ):
        age_ms = peer.heartbeat.evidence_age_ms + state.now_ms - peer.last_heard_ms
        current = 0 <= peer.heartbeat.evidence_age_ms and age_ms <= lease_ms
    leaving = entry.leaving or bool(peer and peer.heartbeat and peer.heartbeat.leaving)
    return {
        "incarnation": entry.number,
        "address": entry.address,
        "data_centre": entry.data_centre,
        "current": current,
        "leaving": leaving or (entry.name == state.name and state.stopping),
    }
