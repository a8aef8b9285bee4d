"""Stops that found no run, after which the run must not be started any more."""

from __future__ import annotations

from ..peers import Start, Stop
from ._entry_info import EntryInfo
from ._state import WorkerState

# A start order may arrive this long after a stop of its run, in milliseconds: a link
# without a message is closed after 1,600 ms, and an entry's lease lasts 800 ms.
STOP_MARK_MS = 2_400
# Largest number of stops without a run that are remembered. An entry that queues its
# tasks again stops at most the runs that it had ordered here.
MAX_STOP_MARKS = 4_096


def mark_stop(state: WorkerState, entry_info: EntryInfo, message: Stop) -> None:
    """Remember a stop that found no run, so that the run is not started later.

    The entry takes the run for ended, whatever the order in which messages arrive.
    """
    _expire_stop_marks(state)
    key = _stop_mark_key(entry_info, message)
    state.stop_marks.pop(key, None)
    if len(state.stop_marks) >= MAX_STOP_MARKS:
        del state.stop_marks[next(iter(state.stop_marks))]
    state.stop_marks[key] = state.now_ms


def was_stopped(state: WorkerState, entry_info: EntryInfo, message: Start) -> bool:
    """Whether a stop of the run arrived before the order to start it."""
    _expire_stop_marks(state)
    return _stop_mark_key(entry_info, message) in state.stop_marks


def _expire_stop_marks(state: WorkerState) -> None:
    while state.stop_marks:
        key, stopped_ms = next(iter(state.stop_marks.items()))
        if state.now_ms - stopped_ms < STOP_MARK_MS:
            break
        del state.stop_marks[key]


def _stop_mark_key(
    entry_info: EntryInfo, message: Start | Stop
) -> tuple[str, int, int, str, int]:
    return (
        entry_info.name,
        message.shard,
        message.epoch,
        message.task,
        message.run,
    )
