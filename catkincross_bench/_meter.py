"""Processor time and memory of a piece of code."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

REPEATS = 7


def best_us(
    prepare: Callable[[], Any], action: Callable[[Any], Any], *, repeats: int = REPEATS
) -> float:
    """Return the least processor time of an action, in microseconds.

    Args:
        prepare: Builds what the action uses, untimed, before each repeat.
        action: The code to time.
        repeats: How often it runs; the least time is the one least disturbed by
            other work on the machine.
    """
    times = []
    for _ in range(repeats):
        prepared = prepare()
        gc.collect()
        gc.disable()
        started_ns = time.process_time_ns()
        action(prepared)
        times.append((time.process_time_ns() - started_ns) / 1_000)
        gc.enable()
    return min(times)


def kept_bytes(prepare: Callable[[], Any], action: Callable[[Any], Any]) -> float:
    """Return the memory that an action leaves allocated, in bytes.

    Args:
        prepare: Builds what the action changes, not counted.
        action: The code to measure; what it returns counts as kept.
    """
    prepared = prepare()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = action(prepared)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del result
    return float(after - before)
