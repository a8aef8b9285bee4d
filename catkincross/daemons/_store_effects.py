"""Store operations of an entry: claim shards, append records."""

from __future__ import annotations

import asyncio

from ..clock import Clock
from ..jobs import JobRecord, decode_record
from ..owner import Append, AppendOutcome, ClaimShard, OwnerCore
from ..platform import RecordsExpired, StoreClient, Topic
from ._log import DecisionLog

# Delay before a failed step of a claim is retried, in seconds.
CLAIM_RETRY_S = 0.1
MS_PER_S = 1_000


async def claim_shard(
    core: OwnerCore,
    store: StoreClient,
    clock: Clock,
    log: DecisionLog,
    effect: ClaimShard,
) -> None:
    """Fence earlier owners of a shard, then pass its records to the core for replay.

    Retries until it succeeds, a later epoch has fenced this one, or the core no longer
    has the shard in this epoch.
    """
    while _still_claimed(core, effect):
        try:
            if await _try_claim(core, store, clock, log, effect):
                return
        except Exception as error:
            log.note_error("claim", error)
        await asyncio.sleep(CLAIM_RETRY_S)


async def _try_claim(
    core: OwnerCore,
    store: StoreClient,
    clock: Clock,
    log: DecisionLog,
    effect: ClaimShard,
) -> bool:
    """Claim a shard once; return whether the claim is decided."""
    outcome = await store.fence(effect.shard, effect.epoch)
    if outcome is AppendOutcome.FENCED:
        core.handle_shard_fenced(clock.now_ms(), effect.shard, effect.epoch)
        return True
    if outcome is not AppendOutcome.APPENDED:
        return False
    records = await read_shard(store, log, effect.shard)
    if records is None:
        return False
    core.handle_shard_claimed(clock.now_ms(), effect.shard, effect.epoch, records)
    return True


def _still_claimed(core: OwnerCore, effect: ClaimShard) -> bool:
    shard = core.state.shards.get(effect.shard)
    return shard is not None and shard.epoch == effect.epoch


async def read_shard(
    store: StoreClient, log: DecisionLog, shard: int
) -> list[JobRecord] | None:
    """Return the retained records of a shard; None if the store does not answer.

    Records that cannot be decoded are logged and skipped. If records expire during the
    read, it starts over at the first retained one. An answer without records before
    the end of the partition counts as none.
    """
    records: list[JobRecord] = []
    offset = 0
    while True:
        page = await store.read(Topic.JOBS, shard, offset)
        if page is None:
            return None
        if isinstance(page, RecordsExpired):
            records.clear()
            offset = page.first
            continue
        for data in page.records:
            offset += 1
            try:
                records.append(decode_record(data))
            except ValueError as error:
                log.note("record not read", shard=shard, offset=offset, error=error)
        if offset >= page.end:
            return records
        if not page.records:
            log.note("shard not read", shard=shard, offset=offset, end=page.end)
            return None


async def append_records(
    core: OwnerCore,
    store: StoreClient,
    clock: Clock,
    log: DecisionLog,
    effect: Append,
) -> None:
    """Append records to a shard's log and report the outcome to the core."""
    if effect.delay_ms:
        await asyncio.sleep(effect.delay_ms / MS_PER_S)
    sent_ms = clock.now_ms()
    outcome = AppendOutcome.UNKNOWN
    try:
        outcome = await store.append(
            effect.shard, effect.epoch, effect.sequence, effect.records
        )
    except Exception as error:
        # Without an outcome, the shard would wait for this append for ever.
        log.note_error("append", error)
    if outcome is AppendOutcome.APPENDED:
        core.record_store_contact(sent_ms)
    core.handle_append_outcome(
        clock.now_ms(), effect.shard, effect.epoch, effect.sequence, outcome
    )
