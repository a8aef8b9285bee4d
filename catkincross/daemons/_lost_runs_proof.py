"""Proof by all entries and their agents that no run of a lost entry goes on."""

from __future__ import annotations

import asyncio

from ..clock import Clock
from ..foundation._background import spawn
from ..owner import OwnerCore
from ..peers import Answer, Ask
from ._log import DecisionLog
from ._owner_requests import OwnerRequests

# Verb of the question to another entry whether its agents have no run of a lost entry.
PROVE = "prove"
CLEAR = Answer(0, "clear")
UNPROVED = Answer(0, "unproved")
# Time limit for the answers of the other entries, in seconds.
PROOF_TIMEOUT_S = 0.2


class LostRunsProof:
    """Asks all entries whether their agents have runs of lost entries.

    Each agent has a link to an entry, and the shards' logs name those that had one
    before, so that together the entries know all agents.

    Args:
        core: Core of this entry.
        owner_requests: Links to the other entries.
        clock: Clock of the process.
        log: Log of the process.

    Attributes:
        proved_ms: Runs of entries that were lost before this time have ended; on the
            process's clock in milliseconds.
    """

    def __init__(
        self,
        core: OwnerCore,
        owner_requests: OwnerRequests,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.core = core
        self.owner_requests = owner_requests
        self.clock = clock
        self.log = log
        self.proved_ms = -1
        self._attempt: asyncio.Task[None] | None = None

    def holds(self, since_ms: int) -> bool:
        """Whether it is proved for losses before a time; begin an attempt if not."""
        if self.proved_ms >= since_ms:
            return True
        if self._attempt is None or self._attempt.done():
            if self.core.lost_runs_ended(self.clock.now_ms(), since_ms):
                self._attempt = spawn(self._ask_entries(since_ms))
        return False

    async def _ask_entries(self, since_ms: int) -> None:
        known = self.owner_requests.known_addresses()
        await self.owner_requests.connect_all(known)
        age_ms = self.clock.now_ms() - since_ms
        futures = [
            self.owner_requests.send_request(address, Ask(0, PROVE, "", None, age_ms))
            for address in known
        ]
        waiting = {future for future in futures if future is not None}
        if len(waiting) < len(known):
            return
        if waiting:
            await asyncio.wait(waiting, timeout=PROOF_TIMEOUT_S)
        if all(future.done() for future in waiting) and all(
            future.result().outcome == CLEAR.outcome for future in waiting
        ):
            self.proved_ms = max(self.proved_ms, since_ms)
            self.log.note("runs of lost entries ended", age_ms=age_ms)

    def answer(self, ask: Ask) -> Answer:
        """Answer another entry for the agents that this one knows."""
        now_ms = self.clock.now_ms()
        clear = self.core.lost_runs_ended(now_ms, now_ms - ask.timeout_ms)
        return CLEAR if clear else UNPROVED
