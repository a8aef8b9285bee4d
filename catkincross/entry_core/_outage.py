"""Evidence of freshness while the log is unreachable for all entries."""

from __future__ import annotations

from ..protocol._messages import NO_EVIDENCE
from ._entry_registry import ENTRY
from ._entry_rows import PeerRow
from ._entry_state import EntryState


@ENTRY.system(order=120)
def _renew_from_outage_reports(state: EntryState) -> None:
    """Take as evidence that no entry can have accepted a change.

    Only entries append. While each of them reports that it cannot reach the log and
    has folded the same version, there is nothing newer that work could miss. An
    append that is under way is covered by the restrictions that peers pass on.
    """
    if state.log_reachable or state.me is None or not state.control.is_live(state.me):
        return
    if state.freshness.evidence_ms is None:
        return
    oldest_ms = state.now_ms
    reporting = {state.settings.data_centre}
    missing = set()
    for name, peer in state.peers.rows.items():
        entry = state.control.entries[name]
        report_ms = _report_ms(state, peer)
        if report_ms is None:
            if not (entry.leaving or peer.refused):
                missing.add(entry.data_centre)
                if _reaches_log(state, peer):
                    return
            continue
        reporting.add(entry.data_centre)
        oldest_ms = min(oldest_ms, report_ms)
    if state.settings.freshness.outage_quorum == "one_per_data_centre":
        missing -= reporting
    if not missing:
        state.freshness.renew(oldest_ms, state.control.version)


def _reaches_log(state: EntryState, peer: PeerRow) -> bool:
    if peer.heartbeat is None or peer.heard_ms is None:
        return False
    lease_ms = state.settings.freshness.freshness_ms
    return peer.heartbeat.log_reachable and state.now_ms - peer.heard_ms <= lease_ms


def _report_ms(state: EntryState, peer: PeerRow) -> int | None:
    """Return when a peer reported the outage at this version, or None."""
    report = peer.heartbeat
    if report is None or report.echo_ms == NO_EVIDENCE or report.log_reachable:
        return None
    if report.version != state.control.version:
        return None
    report_ms = report.echo_ms + report.echo_delay_ms
    lease_ms = state.settings.freshness.freshness_ms
    return report_ms if state.now_ms - report_ms <= lease_ms else None
