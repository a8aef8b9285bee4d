"""Declarations of the operators: queues, services, evacuated data centres."""

from __future__ import annotations

from ._declarations import Declarations, Queue, Service
from ._freshness import DeclarationFreshness

__all__ = ["DeclarationFreshness", "Declarations", "Queue", "Service"]
