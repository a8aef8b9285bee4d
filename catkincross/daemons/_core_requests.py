"""Passes requests of this and other entries to the core, and its answers back."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import attrs

from ..jobs import JobSpec, from_fields
from ..owner import OwnerCore
from ..peers import Answer, Ask
from ._job_claimer import CLAIM, WITHDRAW, JobClaimer
from ._lost_runs_proof import PROVE
from ._volatile_requests import VolatileRequests


def pass_request(
    core: OwnerCore,
    volatile_requests: VolatileRequests,
    claimer: JobClaimer,
    request: Any,
    ask: Ask,
    *,
    now_ms: int,
) -> None:
    """Pass a request to the part that handles its verb; unknown verbs are ignored.

    Args:
        core: Core of the entry.
        volatile_requests: Handles requests for volatile jobs.
        claimer: Answers claims.
        request: What `send_reply` answers: a future for a request of this entry, else
            the link of another entry and the number of its request.
        ask: The request.
        now_ms: Current time on the process's clock, in milliseconds.
    """
    match ask.verb:
        case "submit":
            spec = from_fields(ask.body, JobSpec)
            if spec.volatile:
                volatile_requests.submit_for_entry(request, spec, ask.timeout_ms)
                return
            wall_ms = time.time_ns() // 1_000_000
            core.submit(
                now_ms, request, spec, accepted_ms=wall_ms, timeout_ms=ask.timeout_ms
            )
        case "state":
            core.job_state(now_ms, request, ask.job_id)
        case "cancel":
            core.cancel(now_ms, request, ask.job_id)
        case "abandon":
            volatile_requests.abandon(request, ask.job_id)
        case _ if ask.verb in (CLAIM, WITHDRAW):
            answer = claimer.answer(request[0], ask)
            if answer is not None:
                send_reply(request, answer)
        case _ if ask.verb == PROVE:
            send_reply(request, claimer.proof.answer(ask))


def send_reply(request: Any, answer: Answer) -> None:
    """Answer a request, unless nobody waits for the answer any more."""
    if isinstance(request, asyncio.Future):
        if not request.done():
            request.set_result(answer)
        return
    link, number = request
    link.send(attrs.evolve(answer, request_number=number))
