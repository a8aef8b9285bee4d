"""Membership in the group of shard owners, and the owner of each shard."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..peers import STORE_SOURCE, EntryDirectory, Members
from ..platform import GroupAssignment, StoreClient

# Source, in the directory, of the entries that have opened a link to this one.
LINKS_SOURCE = "links"
# Joins per TTL: the group drops a member that does not join within the TTL.
JOINS_PER_TTL = 4
# Interval at which the owners of all shards are read, in seconds.
OWNERS_INTERVAL_S = 0.5
MS_PER_S = 1_000


def member_name(host: str, address: str, incarnation: int, data_centre: str) -> str:
    """Return the member name of an entry, from which others read its address.

    Args:
        host: Name of the host.
        address: `IP:port` for links to the entry.
        incarnation: Number that differs between two starts of the process.
        data_centre: Data centre of the host.
    """
    return f"{host}|{address}|{incarnation}|{data_centre}"


def member_address(member: str) -> str:
    """Return the `IP:port` in a member name; empty if the name has none."""
    parts = member.split("|")
    return parts[1] if len(parts) in (3, 4) else ""


def member_data_centre(member: str) -> str:
    """Return the data centre in a member name; empty if the name has none."""
    parts = member.split("|")
    return parts[3] if len(parts) == 4 else ""


@attrs.define(eq=False)
class ShardOwners:
    """The owner of each shard, as last read from the store, and the known entries.

    Attributes:
        store: Client of the store.
        by_shard: Member name of the owner, by shard.
        directory: Entries that this process knows of; the store names those that own a
            shard.
        changed: Event that is set at the next change of the owners or entries, and
            then replaced by a new one.
        on_change: Called after each change; None for no callback.
        answered: Whether the store has answered the newest read.
    """

    store: StoreClient
    by_shard: dict[int, str] = attrs.field(factory=dict)
    directory: EntryDirectory = attrs.field(factory=EntryDirectory)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    on_change: Callable[[], None] | None = None
    answered: bool = True

    async def refresh(self) -> bool:
        """Read the owners from the store; return whether it answered."""
        new_owners = await self.store.shard_owners()
        self.answered = new_owners is not None
        if new_owners is None:
            return False
        owners_changed = new_owners != self.by_shard
        self.by_shard = new_owners
        if self.directory.replace(STORE_SOURCE, self.entries()) or owners_changed:
            self._notify()
        return True

    def entries(self) -> dict[str, str]:
        """Return the data centre of each entry that owns a shard, by address."""
        entries = {
            member_address(member): member_data_centre(member)
            for member in self.by_shard.values()
        }
        entries.pop("", None)
        return entries

    def addresses_by_shard(self) -> dict[int, str]:
        """Return the address of the entry that owns each shard."""
        return {
            shard: address
            for shard, member in self.by_shard.items()
            if (address := member_address(member))
        }

    def replace(self, source: str, entries: dict[str, str]) -> None:
        """Replace the entries that another source than the store names."""
        if self.directory.replace(source, entries):
            self._notify()

    def apply(self, source: str, message: Members) -> None:
        """Apply the announcement of another entry."""
        if self.directory.apply(source, message):
            self._notify()

    def forget(self, source: str) -> None:
        """Forget what an entry announced whose link has closed."""
        if self.directory.forget(source):
            self._notify()

    def _notify(self) -> None:
        previous, self.changed = self.changed, asyncio.Event()
        previous.set()
        if self.on_change is not None:
            self.on_change()

    async def poll(self) -> None:
        """Read the owners at regular intervals until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(OWNERS_INTERVAL_S)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the owners or entries change, at most `timeout_s` seconds."""
        try:
            await asyncio.wait_for(self.changed.wait(), timeout_s)
        except TimeoutError:
            return

    def named_entries(self) -> set[str]:
        """Return the addresses of the entries that the store names as members now.

        The set is empty while the store gives no answer, since it would hold those that
        have ended meanwhile.
        """
        if not self.answered:
            return set()
        return set(self.directory.views.get(STORE_SOURCE, ()))

    @property
    def has_peer_views(self) -> bool:
        """Whether another entry has announced which entries it knows."""
        return bool(self.directory.views.keys() - {STORE_SOURCE, LINKS_SOURCE})

    def addresses(self) -> list[str]:
        """Return the addresses of all known entries, sorted."""
        return sorted(self.directory.known())


async def maintain_membership(
    store: StoreClient,
    clock: Clock,
    member: str,
    ttl_ms: int,
    on_success: Callable[[int, GroupAssignment], None],
    on_failure: Callable[[], None],
) -> None:
    """Join the group of owners repeatedly until cancelled.

    Args:
        store: Client of the store.
        clock: Clock of the process.
        member: Member name of this entry.
        ttl_ms: Time after which the group drops a member that has not joined again.
        on_success: Called with the time at which the join was sent, on the process's
            clock, and with the assignment.
        on_failure: Called if the store did not answer or reported an error.
    """
    generation = 0
    interval_s = ttl_ms / JOINS_PER_TTL / MS_PER_S
    while True:
        sent_ms = clock.now_ms()
        assignment = await store.join(member, ttl_ms, generation)
        if assignment is None:
            on_failure()
        else:
            generation = assignment.generation
            on_success(sent_ms, assignment)
        await asyncio.sleep(interval_s)
