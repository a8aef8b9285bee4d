"""Declarations of the operators: queues, services, evacuated data centres."""

from __future__ import annotations

from ._declarations import Declarations, Queue, Service

__all__ = ["Declarations", "Queue", "Service"]
