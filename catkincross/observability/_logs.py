"""Event logs: one JSON line for each event, written with eliot."""

from __future__ import annotations

import sys
from typing import Any

import eliot

from ..foundation._ids import agent_process, entry_process
from ..protocol._effects import Emit
from ..settings._settings import AgentSettings, EntrySettings, EventLogSettings

# A log of changes leaves these out: there is one for each job or task.
JOB_EVENTS = ("job ", "task ", "request ")
JOB_DIGITS = 12


def start_logs(settings: EventLogSettings) -> None:
    """Send the lines of this process to the target of the settings."""
    if settings.target == "none":
        return
    streams = {"stdout": sys.stdout, "stderr": sys.stderr}
    stream = streams.get(settings.target)
    # Line buffering: a line is complete even if the process is killed after it.
    eliot.to_file(stream or open(settings.target, "a", buffering=1))


class EventLog:
    """Writes the events of one process.

    Args:
        process: Process name, such as `entry/e1`.
        data_centre: Data centre of the process.
        upstream: Upstream of an agent.
        events: `all`, or `changes` without those of single jobs and tasks.
    """

    def __init__(
        self,
        process: str,
        *,
        data_centre: str = "",
        upstream: str = "",
        events: str = "all",
    ) -> None:
        self.process = process
        self.data_centre = data_centre
        self.upstream = upstream
        self.events = events

    @classmethod
    def from_settings(cls, settings: EntrySettings | AgentSettings) -> EventLog:
        """Return the event log of an entry or an agent."""
        if isinstance(settings, EntrySettings):
            process, upstream = entry_process(settings.name), ""
        else:
            process, upstream = agent_process(settings.name), settings.upstream
        return cls(
            process,
            data_centre=settings.data_centre,
            upstream=upstream,
            events=settings.logs.events,
        )

    def write(self, event: Emit) -> None:
        """Write an event as one line."""
        if self.events == "changes" and event.name.startswith(JOB_EVENTS):
            return
        eliot.log_message(**self.line(event))

    def line(self, event: Emit) -> dict[str, Any]:
        """Return the fields of an event's line, without its time."""
        fields = dict(event.fields)
        task = str(fields.pop("task", ""))
        job = str(fields.pop("job", "")) or task.partition("/")[0]
        place = {"data_centre": self.data_centre, "upstream": self.upstream}
        own = {"part": event.part, "event": event.name, "process": self.process}
        ids = {"job": job[:JOB_DIGITS], "task": task}
        return {
            "message_type": f"{event.part}: {event.name}",
            **place,
            **fields,
            **own,
            **ids,
        }
