"""Durations and sizes that bound the agent."""

from __future__ import annotations

import math

import attrs

# Largest share by which the worker's clock may be slower than the agent's; a lease
# lasts that much longer on the worker.
MAX_CLOCK_DRIFT = 0.02
# By how much the worker may be late in its reading of a lease's end, in milliseconds:
# the agent's reading of the worker's clock may be some 400 ms old.
CLOCK_READING_MS = 10


@attrs.frozen
class WorkerLimits:
    """Durations and sizes that bound the agent, in milliseconds unless stated.

    Attributes:
        shards: Number of job shards.
        lease_ms: Longest lease that the worker grants.
        stop_grace_ms: How long the agent keeps renewing the worker's lease while a run
            whose owner's lease has expired is still running. After that the worker's
            lease expires too, which ends all its runs.
        orphan_run_ms: How long after its start the agent keeps orphaned runs, that is,
            runs found on the worker that no entry has claimed yet.
        state_interval_ms: Longest time between two states sent to an entry that has a
            run here.
        idle_state_interval_ms: The same for an offered entry that has none.
        progress_interval_ms: Shortest time between two progress messages to an entry.
        min_interval_run_ended_ms: Shortest time between two states sent to an entry
            after one of its runs has ended.
        min_interval_waiting_ms: Shortest time between two states sent to an offered
            entry that has tasks waiting for capacity.
        turn_ms: Shortest time between states sent to two entries that have waiting
            tasks.
        min_interval_idle_ms: Shortest time between two states sent to an offered entry
            that has no waiting tasks.
        far_interval_ms: Time between two states sent to an entry that is not offered.
        offered_entries: Number of offered entries, that is, entries that may send
            tasks.
        renewal_wait_ms: How long the worker may wait for a run to end before it answers
            a lease renewal.
        heartbeat_valid_ms: How long after a heartbeat runs are started by the capacity
            that it states.
        max_listed_ends: Number of unacknowledged ends that the worker lists at most.
    """

    shards: int = 16
    lease_ms: int = 1_000
    # A stop takes at most 50 ms.
    stop_grace_ms: int = 100
    # A restarted agent has a lease of each live entry within 50 ms.
    orphan_run_ms: int = 135
    # A quarter of the silence of an entry after which its volatile jobs' runs are
    # stopped.
    state_interval_ms: int = 200
    # Half of that silence, so that a lost packet leaves the lease valid for the next
    # start order.
    idle_state_interval_ms: int = 400
    # The worker's lists are read at most 250 ms apart.
    progress_interval_ms: int = 300
    # Batches changes that occur together; well below the shortest tasks of 50 ms.
    min_interval_run_ended_ms: int = 10
    # Bounds the extra wait of a queued task to less than the shortest task of 50 ms.
    min_interval_waiting_ms: int = 30
    # The orders of one entry arrive before the next one learns of free capacity. If all
    # learn of it at once, most of their orders find it taken.
    turn_ms: int = 8
    # Most messages are states that follow starts and ends of other entries' runs. An
    # entry without waiting tasks needs them only to choose among free workers.
    min_interval_idle_ms: int = 150
    # Links are closed as silent after 1,600 ms, so one lost state is tolerated.
    far_interval_ms: int = 700
    # A data centre has up to three entries; the other two offered entries belong to
    # other data centres and take over its bursts. Message traffic grows with this
    # number instead of with the number of entries.
    offered_entries: int = 5
    # A quarter of the lease, so that three consecutive renewals may fail.
    renewal_wait_ms: int = 250
    # A start may bring a worker over its new capacity until 4,500 ms after it shrank,
    # which may have been just after the heartbeat. The rest is for the order. Two
    # heartbeats in a row may be lost.
    heartbeat_valid_ms: int = 4_200
    max_listed_ends: int = 500

    @property
    def longest_lease_ms(self) -> int:
        """Longest time from the request of a lease to its end, in milliseconds."""
        return math.ceil(self.lease_ms * (1 + MAX_CLOCK_DRIFT)) + CLOCK_READING_MS

    @property
    def longest_adoption_ms(self) -> int:
        """Longest time from an agent's start to the end of a lease for orphaned runs.

        Such a lease is requested at most `stop_grace_ms` beyond the time for which the
        runs are kept, and never for a full lease.
        """
        adoption_ms = self.orphan_run_ms + self.stop_grace_ms
        return math.ceil(adoption_ms * (1 + MAX_CLOCK_DRIFT))

    @property
    def longest_run_end_ms(self) -> int:
        """Longest time from the end of an entry's lease until its runs have ended.

        The longest path goes through a restart of the agent, and needs no stop to
        arrive: the agent renews the worker's lease until the grace for stops is over,
        and is killed. The lease goes on, and a new agent process that starts just
        before its end extends it for orphaned runs. In milliseconds.
        """
        return self.stop_grace_ms + self.longest_lease_ms + self.longest_adoption_ms
