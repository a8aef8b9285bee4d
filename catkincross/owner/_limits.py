"""Settings of the owner."""

from __future__ import annotations

import attrs

from ..jobs import DEFAULT_RECORD_BYTES


@attrs.frozen
class OwnerLimits:
    """Settings of the owner; times are in milliseconds.

    Attributes:
        shards: Number of shards.
        authority_ms: Time after its last successful call to the store for which an
            owner may start and keep runs of stored jobs. A new owner waits this long
            plus `lapse_ms` for agents that have not reported a shard.
        silence_ms: Time for which an agent keeps runs of stored jobs without hearing
            from their owner.
        volatile_silence_ms: Time for which an agent keeps runs of an entry's volatile
            jobs without hearing from that entry.
        member_ttl_ms: Time after its last join at which the group drops a member.
        lapse_ms: Longest time from the end of an agent's lease until its worker has
            stopped the runs.
        status_ms: Time for which the state of an ended job can be queried.
        keep_ms: Time for which the log retains a record.
        record_bytes: Largest record that the log takes, in bytes.
        remote_factor: Run time of a task away from the rack of its data, as a multiple
            of its run time there.
    """

    shards: int = 16
    # An outage of the store that is longer than this stops the runs of stored jobs; the
    # tasks of client accounts are shorter.
    authority_ms: int = 3_000
    # Longer than a takeover (1,000 ms until the group drops the member, 250 ms until
    # the next join, and the claim), so that runs survive it.
    silence_ms: int = 2_000
    # Client accounts resubmit a volatile job 1,300 ms after its connection broke. By
    # then its runs for the lost entry have to be stopped.
    volatile_silence_ms: int = 800
    member_ttl_ms: int = 1_000
    # The worker's lease, which its agent renews (1,000 ms on a clock that is 2 % slow),
    # 50 ms to stop a run, 300 ms for which the agent waits for stops, and 80 ms for
    # messages.
    lapse_ms: int = 1_450
    status_ms: int = 120_000
    keep_ms: int = 300_000
    record_bytes: int = DEFAULT_RECORD_BYTES
    remote_factor: float = 1.5

    @property
    def volatile_expiry_ms(self) -> int:
        """Time after the loss of an entry in which agents may have its volatile jobs.

        In milliseconds; other entries do not begin these jobs before that.
        """
        return self.volatile_silence_ms + self.lapse_ms
