"""Volatile jobs that other entries have.

Load pattern: entries are killed or lose power, and client accounts send the same jobs
to other entries while workers still run the tasks of the lost entry. A job must not
run twice at the same time, so it waits until the workers have let go of it.
"""

from __future__ import annotations

import attrs

from ..peers import Greeting, VolatileJobs

# A lost entry's jobs are remembered for this long, in milliseconds.
REMEMBERED_MS = 10_000


@attrs.frozen
class Here:
    """No other entry has the job."""


@attrs.frozen
class AtEntry:
    """A live entry has the job.

    Attributes:
        address: Address of the entry.
        wait_ms: Pause before it is asked again.
    """

    address: str
    wait_ms: int = 0


@attrs.frozen
class AtLostEntry:
    """A lost entry had the job, and workers may still run it.

    Attributes:
        wait_ms: When they have let go of it.
    """

    wait_ms: int


@attrs.define(eq=False)
class _Entry:
    address: str
    jobs: set[str] = attrs.field(factory=set)
    lost_ms: int | None = None


@attrs.define(eq=False)
class JobsElsewhere:
    """Volatile jobs of other entries, by the entry's name and incarnation.

    Attributes:
        let_go_ms: Time after the loss of an entry in which agents may still have runs
            of its volatile jobs.
    """

    let_go_ms: int
    entries: dict[tuple[str, int], _Entry] = attrs.field(factory=dict)

    def connected(self, greeting: Greeting) -> None:
        """Note a link that an entry has opened."""
        key = greeting.name, greeting.incarnation
        found = self.entries.setdefault(key, _Entry(greeting.address))
        found.lost_ms = None

    def take(self, greeting: Greeting, news: VolatileJobs) -> None:
        """Take what an entry tells of its jobs."""
        found = self.entries.get((greeting.name, greeting.incarnation))
        if found is not None:
            found.jobs.update(news.begun)
            found.jobs.difference_update(news.ended)

    def lost(self, greeting: Greeting, *, now_ms: int) -> None:
        """Note that an entry's link has ended."""
        found = self.entries.get((greeting.name, greeting.incarnation))
        if found is not None and found.lost_ms is None:
            found.lost_ms = now_ms

    def place(self, job_id: str, now_ms: int) -> Here | AtEntry | AtLostEntry:
        """Return where a job is."""
        for key, entry in list(self.entries.items()):
            lost_ms = entry.lost_ms
            if lost_ms is not None and now_ms - lost_ms > REMEMBERED_MS:
                del self.entries[key]
            elif job_id in entry.jobs:
                if lost_ms is None:
                    return AtEntry(entry.address)
                left_ms = lost_ms + self.let_go_ms - now_ms
                if left_ms > 0:
                    return AtLostEntry(left_ms)
        return Here()
