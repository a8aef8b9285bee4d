"""Choice of another entry to run a new volatile job.

Load pattern: the balancer assigns client accounts to the entries of a data centre by a
hash, so one entry may get far more requests than the others. Its jobs then wait for the
workers that offer it capacity, while workers of the other entries are free: in a burst
over twelve entries, 310 of 374 rejections came from one of them. A new job that would
use up much of its slack in the queue is handed to an entry with a much shorter one.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..foundation._rendezvous import choose_by_hash

# Share of a job's slack above which the expected wait is a reason to forward it.
MAX_WAIT_SLACK_SHARE = 0.5
# Largest wait at the other entry as a share of the wait here. Both are estimates, and
# the one of the other entry is up to 0.5 s old.
MAX_WAIT_RATIO = 0.25
# Jobs that are forwarded to an entry between two of its reports, so that its queue does
# not fill unseen.
MAX_FORWARDED_PER_REPORT = 4


@attrs.frozen
class PeerLoad:
    """Load of another entry.

    Attributes:
        address: Address of the entry, `IP:port`.
        data_centre: Data centre of the entry; empty if it is not known.
        wait_ms: Expected wait of a job there, in milliseconds.
        forwarded: Number of jobs forwarded to it since it reported the wait.
    """

    address: str
    data_centre: str
    wait_ms: float
    forwarded: int = 0


def choose_forwarding(
    job_id: str,
    *,
    wait_ms: float,
    slack_ms: float,
    data_centre: str,
    peers: Iterable[PeerLoad],
) -> str | None:
    """Return the address of the entry that should run a job; None for this entry.

    Entries of the same data centre come first, since traffic between data centres is
    priced. The job's hash spreads the jobs over the entries that are left.

    Args:
        job_id: ID of the job.
        wait_ms: Expected wait of the job here, in milliseconds.
        slack_ms: Time until the latest start with which the job meets its objective.
        data_centre: Data centre of this entry.
        peers: Load of the other entries that accept jobs.
    """
    max_wait_ms = MAX_WAIT_SLACK_SHARE * max(slack_ms, 0.0)
    if wait_ms <= max_wait_ms:
        return None
    limit_ms = min(max_wait_ms, wait_ms * MAX_WAIT_RATIO)
    eligible = [
        peer
        for peer in peers
        if peer.wait_ms <= limit_ms and peer.forwarded < MAX_FORWARDED_PER_REPORT
    ]
    local = [peer for peer in eligible if peer.data_centre == data_centre]
    addresses = [peer.address for peer in local or eligible]
    return choose_by_hash(job_id.encode(), addresses)
