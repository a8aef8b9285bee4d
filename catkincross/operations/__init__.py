"""Operators' configuration in force: queues, services, evacuated data centres."""

from __future__ import annotations

from ._declared import Declared, Queue, Service

__all__ = ["Declared", "Queue", "Service"]
