"""Choice of the entries to which an agent offers its worker's room.

Load pattern: many entries and many agents, each of which starts tens of tasks a second.
If every agent told every entry of each change, messages would grow with the product of
both. An agent offers its room to the entries of its own data centre first, since bytes
between data centres are priced, and to a few others, so that a burst in one data centre
finds room in all of them.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..foundation._rendezvous import rank


def offered_entries(
    host: str, data_centre: str, entries: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the names of the entries that may send tasks.

    Args:
        host: Name of the agent's host; agents spread evenly over the entries by it.
        data_centre: Data centre of the agent's host.
        entries: Data centre of each entry, by the entry's name.
        count: Number of entries to choose.
    """
    if len(entries) <= count:
        return frozenset(entries)
    ranked = rank(host.encode(), entries)
    # Bursts of one data centre need room elsewhere, so at least a third of the
    # offers leave the own one.
    local = [name for name in ranked if entries[name] == data_centre]
    local = local[: count - count // 3]
    others = [name for name in ranked if name not in local]
    return frozenset((local + others)[:count])
