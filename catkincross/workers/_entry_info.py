"""What the agent keeps of the entries: their leases, and those with an open link."""

from __future__ import annotations

import attrs

from ..peers import WorkerProfile


@attrs.define(eq=False)
class ShardLease:
    """An entry's right to start and keep runs of a shard's tasks.

    Attributes:
        epoch: Highest epoch seen for the shard.
        entry: Entry that owns the shard in this epoch.
        valid_until_ms: End of the lease on this agent's clock.
        expiry_handled: Whether the agent has acted on the end of the lease.
    """

    epoch: int
    entry: str
    valid_until_ms: int
    expiry_handled: bool = False


@attrs.define(eq=False)
class EntryInfo:
    """An entry with an open link.

    Attributes:
        name: Address of the link, by which the agent identifies the entry.
        reported: Pairs of shard and epoch that were reported on the link.
        acked_order: Number of the last start order from the entry that the agent has
            handled.
        order_received_ms: When the newest start order from the entry arrived.
        state_sent_ms: When the newest state was sent.
        progress_sent_ms: When progress was last reported to the entry.
        state_outdated: Whether the agent's state may have changed since it was sent.
        run_ended: Whether a run of this entry has ended since a state was sent.
        has_waiting_tasks: Whether the entry has tasks waiting for capacity.
        lease_received_ms: When the newest lease arrived; before the first lease, when
            the link was opened.
        incarnation: Incarnation of the entry's process; 0 before its first lease.
        volatile_until_ms: End of the entry's lease on its volatile jobs.
        unwanted_since_ms: Since when the link is not wanted; None while it is.
        profile: Worker profile last sent to the entry; None if none was sent.
    """

    name: str
    reported: set[tuple[int, int]] = attrs.field(factory=set)
    acked_order: int = 0
    order_received_ms: int = -1_000_000
    state_sent_ms: int = -1_000_000
    progress_sent_ms: int = -1_000_000
    state_outdated: bool = True
    run_ended: bool = True
    has_waiting_tasks: bool = False
    lease_received_ms: int = 0
    incarnation: int = 0
    volatile_until_ms: int = 0
    unwanted_since_ms: int | None = None
    profile: WorkerProfile | None = None
