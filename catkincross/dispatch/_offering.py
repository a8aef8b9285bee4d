"""Choice of the entries to which an agent offers its worker's capacity.

Load pattern: many entries and many agents, each of which starts tens of tasks a second.
If every agent reported each change to every entry, the number of messages would grow
with the product of both numbers. An agent therefore offers its capacity to a fixed
number of entries: first to those of its own data centre, since traffic between data
centres is priced, and to some others, so that a burst in one data centre finds
capacity in all of them.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..foundation._rendezvous import rank_by_hash


def offered_entries(
    host: str, data_centre: str, entries: Mapping[str, str], count: int
) -> frozenset[str]:
    """Return the names of the entries that may send tasks to an agent.

    Args:
        host: Name of the agent's host. The entries are ranked by a hash of it, which
            spreads the agents evenly over the entries.
        data_centre: Data centre of the agent's host.
        entries: Data centre of each entry, by the entry's name.
        count: Number of entries to choose.
    """
    if len(entries) <= count:
        return frozenset(entries)
    ranked = rank_by_hash(host.encode(), entries)
    # At least a third of the offers, rounded down, go to other data centres, since a
    # burst in one data centre needs the capacity of the others.
    local = [name for name in ranked if entries[name] == data_centre]
    local = local[: count - count // 3]
    others = [name for name in ranked if name not in local]
    return frozenset((local + others)[:count])
