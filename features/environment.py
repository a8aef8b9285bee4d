"""Prepares each scenario."""

from __future__ import annotations

from typing import Any

from scenarios.driver import Driver


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario a driver with a fixed seed."""
    context.driver = Driver(seed=1)
    context.requests = {}
