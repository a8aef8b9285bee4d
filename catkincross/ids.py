"""Identifiers of processes, jobs and tasks."""

from __future__ import annotations

from .foundation._ids import (
    Incarnation,
    TaskId,
    agent_process,
    entry_process,
    hash_key,
    job_key,
    split_process,
)

__all__ = [
    "Incarnation",
    "TaskId",
    "agent_process",
    "entry_process",
    "hash_key",
    "job_key",
    "split_process",
]
