"""Evidence of freshness while no entry can reach the log."""

from __future__ import annotations

from ..protocol._messages import NO_EVIDENCE
from ._entry_registry import ENTRY
from ._entry_rows import PeerRow
from ._entry_state import EntryState


@ENTRY.system(order=120)
def _renew_from_outage_reports(state: EntryState) -> None:
    """Renew freshness while all entries report that they cannot reach the log.

    Only entries append records. While each of them reports that it cannot reach the log
    and has folded the same version, there is no newer record. An append in flight is
    covered by the restrictions that peers send in their heartbeats.

    An entry that is leaving, or whose address refuses connections, need not report.
    With the outage quorum `one_per_data_centre`, one report from each data centre is
    enough, unless another entry has recently reported that it can reach the log.
    """
    if (
        state.log_reachable
        or state.incarnation is None
        or not state.control.is_live(state.incarnation)
    ):
        return
    if state.freshness.evidence_ms is None:
        return
    oldest_ms = state.now_ms
    reporting_data_centres = {state.settings.data_centre}
    missing_data_centres = set()
    for name, peer in state.peers.rows.items():
        entry = state.control.entries[name]
        report_ms = _report_ms(state, peer)
        if report_ms is None:
            if not (entry.leaving or peer.refused):
                missing_data_centres.add(entry.data_centre)
                if _reaches_log(state, peer):
                    return
            continue
        reporting_data_centres.add(entry.data_centre)
        oldest_ms = min(oldest_ms, report_ms)
    if state.settings.freshness.outage_quorum == "one_per_data_centre":
        missing_data_centres -= reporting_data_centres
    if not missing_data_centres:
        state.freshness.renew(oldest_ms, state.control.version)


def _reaches_log(state: EntryState, peer: PeerRow) -> bool:
    """Whether a peer has recently reported that it can reach the log."""
    if peer.heartbeat is None or peer.last_heard_ms is None:
        return False
    max_age_ms = state.settings.freshness.freshness_ms
    return (
        peer.heartbeat.log_reachable and state.now_ms - peer.last_heard_ms <= max_age_ms
    )


def _report_ms(state: EntryState, peer: PeerRow) -> int | None:
    """Return when a peer reported the outage at this entry's version, or None."""
    report = peer.heartbeat
    if report is None or report.echo_ms == NO_EVIDENCE or report.log_reachable:
        return None
    if report.version != state.control.version:
        return None
    report_ms = report.echo_ms + report.echo_delay_ms
    max_age_ms = state.settings.freshness.freshness_ms
    return report_ms if state.now_ms - report_ms <= max_age_ms else None
