"""Rendezvous hashing: processes that know the same names make the same choice."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def _weight(key: bytes, name: str) -> int:
    return xxhash.xxh3_64_intdigest(key + b"\0" + name.encode())


def rank_by_hash(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their weight for a key."""
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def choose_by_hash(key: bytes, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight for a key; None if there are no names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)
