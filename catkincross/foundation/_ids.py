"""Identifiers of processes, jobs and tasks."""

from __future__ import annotations

import attrs
import xxhash


# Hashes are cached because tables look up the same objects many times.
@attrs.frozen(order=True, cache_hash=True)
class Incarnation:
    """One run of a named process, from its start to its end.

    Attributes:
        name: Name of the process, unique in its region.
        number: Incarnation number; grows with each restart of an entry, random for an
            agent.
    """

    name: str
    number: int

    def __str__(self) -> str:
        return f"{self.name}#{self.number}"


@attrs.frozen(order=True, cache_hash=True)
class TaskId:
    """Identifier of a task of a job.

    Attributes:
        key_hash: Hash of the job's key, 16 bytes.
        index: Position of the task in its job, from 0.
    """

    key_hash: bytes
    index: int

    def __str__(self) -> str:
        return f"{self.key_hash.hex()[:12]}/{self.index}"


def job_key(team: str, idempotency_key: str) -> str:
    """Return the job key of a submission: `team/idempotency_key`."""
    return f"{team}/{idempotency_key}"


def hash_key(key: str) -> bytes:
    """Return the 16-byte hash of a job key."""
    return xxhash.xxh3_128_digest(key.encode())


def entry_process(name: str) -> str:
    """Return the process name of an entry: `entry/NAME`."""
    return f"entry/{name}"


def agent_process(name: str) -> str:
    """Return the process name of an agent: `agent/NAME`."""
    return f"agent/{name}"


def split_process(process: str) -> tuple[str, str]:
    """Split a process name into the role and the name of the entry or agent."""
    role, _, name = process.partition("/")
    return role, name
