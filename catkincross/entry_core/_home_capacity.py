"""Capacity summaries that a home sends to owners."""

from __future__ import annotations

from ..placement._upstream import class_speed
from ..protocol._messages import CapacitySummary
from ._entry_registry import ENTRY
from ._entry_state import EntryState


def capacity_summaries(state: EntryState) -> list[CapacitySummary]:
    """Return one summary for each service and data centre that has an agent."""
    return [
        summary
        for service in state.dispatch.services
        for summary in service_summaries(state, service)
    ]


def service_summaries(state: EntryState, service: str) -> list[CapacitySummary]:
    """Return the summaries of one service, one for each data centre.

    `speed` is the mean speed of the slots in use, since the results that an owner has
    seen came from these. `best_speed` is that of the fastest free slot, or 0.
    """
    slots = state.dispatch.services.get(service)
    if slots is None:
        return []
    # Queued tasks are counted only beyond the free slots: those that wait although a
    # slot is free wait for a faster one.
    queued = max(0, state.dispatch.queued_tasks(service) - slots.free_slots)
    memory_mb, accelerators = slots.total_memory.max_resources()
    wait_ms = round(queued * state.dispatch.mean_run_ms(service) / max(1, slots.slots))
    summaries = []
    for data_centre, totals in slots.data_centres.items():
        best = class_speed(max(totals.free_classes)) if totals.free_classes else 0.0
        speed = (
            totals.speed_in_use / totals.slots_in_use if totals.slots_in_use else best
        )
        summaries.append(
            CapacitySummary(
                service=service,
                data_centre=data_centre,
                upstreams=totals.upstreams,
                slots=totals.slots,
                free=totals.free_slots,
                queued=queued,
                speed=speed,
                best_speed=best,
                wait_ms=wait_ms,
                memory_mb=memory_mb,
                accelerators=accelerators,
            )
        )
    return summaries


@ENTRY.system(order=990)
def _report_with_results(state: EntryState) -> None:
    """Add capacity summaries to the result messages that leave in this step."""
    summaries: dict[str, list[CapacitySummary]] = {}
    for process, services in state.batches.result_services.items():
        for service in services:
            if service not in summaries:
                summaries[service] = service_summaries(state, service)
        state.batches.capacity[process] = [
            summary for service in services for summary in summaries[service]
        ]
