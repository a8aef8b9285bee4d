"""One time line from the event logs of all processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import attrs

from ..foundation._ids import hash_key
from ._logs import JOB_DIGITS

# Fields of a line that have a column of their own or only serve eliot.
OWN_FIELDS = frozenset(
    "timestamp message_type process part event job task data_centre upstream "
    "task_uuid task_level action_type action_status".split()
)


@attrs.frozen(order=True)
class TimelineEvent:
    """An event of one process.

    Attributes:
        time_s: Wall clock of its host, in seconds since 1970.
        details: Further fields of the event.
    """

    time_s: float
    process: str
    part: str = attrs.field(order=False)
    event: str = attrs.field(order=False)
    job: str = attrs.field(default="", order=False)
    task: str = attrs.field(default="", order=False)
    data_centre: str = attrs.field(default="", order=False)
    upstream: str = attrs.field(default="", order=False)
    details: dict[str, Any] = attrs.field(factory=dict, order=False)


@attrs.frozen
class TimelineFilter:
    """Which events to keep; empty fields keep all.

    Attributes:
        job: Start of a job's hash as the logs show it, or a key `team/key`.
        since_s: Seconds since 1970.
        until_s: Seconds since 1970.
    """

    job: str = ""
    upstream: str = ""
    data_centre: str = ""
    process: str = ""
    since_s: float | None = None
    until_s: float | None = None

    def keeps(self, event: TimelineEvent) -> bool:
        """Whether an event passes."""
        job = job_digits(self.job)
        return (
            event.job[: len(job)] == job
            and self.upstream in ("", event.upstream)
            and self.data_centre in ("", event.data_centre)
            and self.process in ("", event.process)
            and (self.since_s is None or event.time_s >= self.since_s)
            and (self.until_s is None or event.time_s <= self.until_s)
        )


def job_digits(job: str) -> str:
    """Return the digits by which the logs name a job, from its key or its hash."""
    return (hash_key(job).hex() if "/" in job else job)[:JOB_DIGITS]


def parse_lines(lines: Iterable[str]) -> Iterator[TimelineEvent]:
    """Yield the events of a log; other lines and a cut last line are left out."""
    yield from events_of(_values(lines))


def _values(lines: Iterable[str]) -> Iterator[Any]:
    for line in lines:
        try:
            yield json.loads(line)
        except ValueError:
            continue


def events_of(values: Iterable[Any]) -> Iterator[TimelineEvent]:
    """Yield the events among the values of log lines."""
    for fields in values:
        try:
            event = _event(fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        yield event


def _event(fields: dict[str, Any]) -> TimelineEvent:
    return TimelineEvent(
        time_s=float(fields["timestamp"]),
        process=str(fields["process"]),
        part=str(fields["part"]),
        event=str(fields["event"]),
        job=str(fields.get("job", "")),
        task=str(fields.get("task", "")),
        data_centre=str(fields.get("data_centre", "")),
        upstream=str(fields.get("upstream", "")),
        details={k: v for k, v in fields.items() if k not in OWN_FIELDS},
    )


def merge(
    logs: Iterable[Iterable[TimelineEvent]], keep: TimelineFilter
) -> list[TimelineEvent]:
    """Return the events of all logs that pass, by time.

    The hosts' clocks decide: events of two processes that are closer than the
    difference of their clocks may be out of order.
    """
    return sorted(event for log in logs for event in log if keep.keeps(event))


def parse_time(text: str) -> float:
    """Return a time given as ISO 8601 (UTC without a zone) or seconds since 1970.

    Raises:
        ValueError: If the text is neither.
    """
    try:
        return float(text)
    except ValueError:
        time = datetime.fromisoformat(text)
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()


def details_text(event: TimelineEvent) -> str:
    """Return the details of an event that say something."""
    shown = {k: v for k, v in event.details.items() if v not in ("", None)}
    return " ".join(f"{name}={value}" for name, value in shown.items())


def text_lines(events: list[TimelineEvent]) -> Iterator[str]:
    """Yield the time line as text: milliseconds since the first event, and details."""
    if not events:
        return
    start_s = events[0].time_s
    width = max(len(event.process) for event in events)
    yield f"start {datetime.fromtimestamp(start_s, UTC).isoformat(' ', 'milliseconds')}"
    for event in events:
        offset_ms = (event.time_s - start_s) * 1_000
        subject = event.task or event.job
        details = details_text(event)
        what = f"{event.part}: {event.event}"
        line = f"{offset_ms:>10.1f} ms  {event.process:<{width}}  {what:<28}"
        yield f"{line}  {subject:<16}  {details}".rstrip()
