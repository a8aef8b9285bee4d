"""The entries that a process knows of, by who named them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ._entry_messages import Members

# Source of the entries that are read from the store.
STORE_SOURCE = "store"


@attrs.define(eq=False)
class EntryDirectory:
    """Addresses of entries, with the data centre of each.

    An entry is known as long as one source names it. Nothing is kept of a source that
    was replaced or forgotten, so an entry that has left does not come back.

    Attributes:
        views: Data centre by address, by source: `STORE_SOURCE` or the address of a
            connected entry.
    """

    views: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def replace(self, source: str, entries: Mapping[str, str]) -> bool:
        """Replace what a source names; return whether the known entries changed.

        Args:
            source: Who names the entries.
            entries: Data centre by address; an empty text if it is not known.
        """
        before = self.known()
        self.views[source] = dict(entries)
        return self.known() != before

    def apply(self, source: str, message: Members) -> bool:
        """Apply an announcement; return whether the known entries changed."""
        view = {} if message.complete else self.views.get(source, {})
        kept = {
            address: data_centre
            for address, data_centre in view.items()
            if address not in message.removed
        }
        return self.replace(source, kept | message.added)

    def add(self, source: str, address: str, data_centre: str) -> bool:
        """Add an entry that a source names; return whether the known ones changed."""
        view = self.views.get(source, {})
        return self.replace(source, view | {address: data_centre})

    def forget(self, source: str) -> bool:
        """Forget what a source named; return whether the known entries changed."""
        before = self.known()
        self.views.pop(source, None)
        return self.known() != before

    def known(self) -> dict[str, str]:
        """Return the data centre of each known entry, by address."""
        known: dict[str, str] = {}
        for view in self.views.values():
            for address, data_centre in view.items():
                known[address] = data_centre or known.get(address, "")
        return known


def announcement(old: Mapping[str, str], new: Mapping[str, str]) -> Members:
    """Return the announcement of a change of the known entries.

    Args:
        old: Data centre by address, as announced before.
        new: The same, as it is now.
    """
    added = {
        address: data_centre
        for address, data_centre in new.items()
        if old.get(address) != data_centre
    }
    return Members(added, removed_addresses(old, new), complete=False)


def removed_addresses(old: Iterable[str], new: Iterable[str]) -> list[str]:
    """Return the addresses that are no longer known, sorted."""
    return sorted(set(old) - set(new))
