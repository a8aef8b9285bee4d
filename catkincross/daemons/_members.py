"""Membership of an entry in the group of owners, and the addresses of the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..platform import Membership, StoreClient

# Interval of joins, a quarter of the time after which a silent member is dropped.
JOINS_PER_TTL = 4
# Interval of reading the owners of all shards, in seconds.
OWNERS_INTERVAL_S = 0.5
MS_PER_S = 1_000


def member_name(host: str, address: str, incarnation: int) -> str:
    """Return a name in the group that tells other processes the address."""
    return f"{host}|{address}|{incarnation}"


def member_address(member: str) -> str:
    """Return the address in a member's name; empty if there is none."""
    parts = member.split("|")
    return parts[1] if len(parts) == 3 else ""


@attrs.define(eq=False)
class ShardOwners:
    """Which entry owns each shard, as far as it was read.

    Attributes:
        store: The store.
        by_shard: Names of members.
        changed: Is set anew with each change.
        told: Addresses that others have told since.
        on_change: Is called after each change.
    """

    store: StoreClient
    by_shard: dict[int, str] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    announced_addresses: set[str] = attrs.field(factory=set)
    on_change: Callable[[], None] | None = None

    async def refresh(self) -> bool:
        """Read the owners; return whether the store answered."""
        answer = await self.store.owners()
        if answer is None:
            return False
        self.announced_addresses.clear()
        if answer != self.by_shard:
            self.by_shard = answer
            self._notify()
        return True

    def add_announced(self, addresses: list[str]) -> None:
        """Take addresses that an entry has told, until the store is read again."""
        new = set(addresses) - set(self.addresses())
        if new:
            self.announced_addresses |= new
            self._notify()

    def _notify(self) -> None:
        old, self.changed = self.changed, asyncio.Event()
        old.set()
        if self.on_change is not None:
            self.on_change()

    async def poll(self) -> None:
        """Read the owners at intervals, and sooner if a request doubts them."""
        while True:
            await self.refresh()
            await asyncio.sleep(OWNERS_INTERVAL_S)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the owners have changed or the limit has passed."""
        try:
            await asyncio.wait_for(self.changed.wait(), timeout_s)
        except TimeoutError:
            return

    def addresses(self) -> list[str]:
        """Return the addresses of all entries that own a shard."""
        known = {member_address(member) for member in self.by_shard.values()}
        return sorted((known | self.announced_addresses) - {""})


async def maintain_membership(
    store: StoreClient,
    clock: Clock,
    member: str,
    ttl_ms: int,
    on_success: Callable[[int, Membership], None],
    on_failure: Callable[[], None],
) -> None:
    """Stay in the group of owners until cancelled."""
    generation = 0
    interval_s = ttl_ms / JOINS_PER_TTL / MS_PER_S
    while True:
        sent_ms = clock.now_ms()
        answer = await store.join(member, ttl_ms, generation)
        if answer is None:
            on_failure()
        else:
            generation = answer.generation
            on_success(sent_ms, answer)
        await asyncio.sleep(interval_s)
