"""Identities of processes and jobs."""

from __future__ import annotations

import attrs
import xxhash


# The hashes are kept, because tables look up the same objects many times.
@attrs.frozen(order=True, cache_hash=True)
class Incarnation:
    """One life of a named process.

    Attributes:
        name: Name of the process, unique in its region.
        number: Grows with each restart of an entry; random for an agent.
    """

    name: str
    number: int

    def __str__(self) -> str:
        return f"{self.name}#{self.number}"


@attrs.frozen(order=True, cache_hash=True)
class TaskId:
    """A task of a job.

    Attributes:
        key_hash: Hash of the job's key, 16 bytes.
        index: Position of the task in its job, from 0.
    """

    key_hash: bytes
    index: int

    def __str__(self) -> str:
        return f"{self.key_hash.hex()[:12]}/{self.index}"


def job_key(team: str, idempotency_key: str) -> str:
    """Return the key that identifies a submission of a team."""
    return f"{team}/{idempotency_key}"


def hash_key(key: str) -> bytes:
    """Return the 16-byte hash of a job key."""
    return xxhash.xxh3_128_digest(key.encode())


def entry_process(name: str) -> str:
    """Return the process name under which an entry is addressed."""
    return f"entry/{name}"


def agent_process(name: str) -> str:
    """Return the process name under which an agent is addressed."""
    return f"agent/{name}"


def split_process(process: str) -> tuple[str, str]:
    """Return the role and the name of a process name."""
    role, _, name = process.partition("/")
    return role, name
