"""Picture of a time line: one lane for each process, with tasks as bars."""

from __future__ import annotations

from xml.etree import ElementTree as xml

import attrs

from ._timeline import TimelineEvent, details_text

LANE_PX, LABEL_PX, WIDTH_PX, HEAD_PX = 44, 130, 1_200, 40
# An upstream with 8 slots shows each of its tasks in a row of its own.
ROWS, BAR_PX, ROW_PX = 8, 3, 4
TICKS = 10
PART_COLORS = {
    "owner": "#1b6ca8",
    "home": "#7a4fa3",
    "agent": "#2f7d4f",
    "membership": "#b3541e",
}
OTHER_COLOR = "#666666"
END_COLORS = {"ok": "#7fbf9b", "failed": "#d05353", "cancelled": "#b9b9b9"}
OPEN_COLOR = "#e0c36a"


@attrs.frozen
class Bar:
    """A task on its upstream, from its start to its end.

    Attributes:
        status: How it ended, or an empty string if no end is in the logs.
    """

    process: str
    task: str
    start_s: float
    end_s: float
    status: str


def bars(events: list[TimelineEvent]) -> list[Bar]:
    """Return one bar for each task start, in order of start."""
    starts: dict[tuple[str, str], TimelineEvent] = {}
    found = []
    for event in events:
        key = (event.process, event.task)
        if event.event == "task started":
            starts[key] = event
        elif event.event == "task ended" and key in starts:
            start = starts.pop(key)
            status = str(event.details.get("status", ""))
            found.append(Bar(*key, start.time_s, event.time_s, status))
    last_s = events[-1].time_s if events else 0.0
    for key, start in starts.items():
        found.append(Bar(*key, start.time_s, last_s, ""))
    return sorted(found, key=lambda bar: bar.start_s)


class _Picture:
    def __init__(self, events: list[TimelineEvent]) -> None:
        self.events = events
        self.start_s = events[0].time_s if events else 0.0
        span_s = events[-1].time_s - self.start_s if events else 0.0
        self.span_s = max(span_s, 0.001)
        names = sorted({event.process for event in events})
        names.sort(key=lambda name: not name.startswith("entry/"))
        self.lanes = {name: lane for lane, name in enumerate(names)}
        self.height = HEAD_PX + LANE_PX * len(names) + 10
        size = {"width": str(WIDTH_PX), "height": str(self.height)}
        self.root = xml.Element(
            "svg",
            xmlns="http://www.w3.org/2000/svg",
            viewBox=f"0 0 {WIDTH_PX} {self.height}",
            **{"font-family": "sans-serif", "font-size": "11"},
            **size,
        )

    def x(self, time_s: float) -> float:
        """Return the place of a time in pixels."""
        room = WIDTH_PX - LABEL_PX - 20
        return round(LABEL_PX + (time_s - self.start_s) / self.span_s * room, 1)

    def y(self, process: str) -> int:
        """Return the top of a process's lane in pixels."""
        return HEAD_PX + self.lanes[process] * LANE_PX

    def add(self, tag: str, text: str = "", title: str = "", **values: object) -> None:
        """Add an element."""
        pairs = {k.replace("_", "-"): str(v) for k, v in values.items()}
        element = xml.SubElement(self.root, tag, pairs)
        element.text = text or None
        if title:
            xml.SubElement(element, "title").text = title

    def draw(self) -> None:
        """Draw axis, lanes, bars and events."""
        self.add("rect", width=WIDTH_PX, height=self.height, fill="white")
        for tick in range(TICKS + 1):
            time_s = self.start_s + self.span_s * tick / TICKS
            x = self.x(time_s)
            self.add("line", x1=x, x2=x, y1=26, y2=self.height, stroke="#e4e4e4")
            label = f"{self.span_s * 1_000 * tick / TICKS:.0f} ms"
            self.add("text", label, x=x, y=18, text_anchor="middle", fill="#555555")
        for process in self.lanes:
            y = self.y(process)
            self.add("line", x1=0, x2=WIDTH_PX, y1=y, y2=y, stroke="#cccccc")
            self.add("text", process, x=6, y=y + 25, fill="#222222")
        self._draw_bars()
        for event in self.events:
            self._draw_event(event)

    def _draw_bars(self) -> None:
        free_s: dict[str, list[float]] = {}
        for bar in bars(self.events):
            rows = free_s.setdefault(bar.process, [0.0] * ROWS)
            row = min(range(ROWS), key=lambda index: rows[index])
            rows[row] = bar.end_s
            x, end = self.x(bar.start_s), self.x(bar.end_s)
            status = bar.status or "no end logged"
            run_ms = (bar.end_s - bar.start_s) * 1_000
            self.add(
                "rect",
                title=f"{bar.task}: {status}, {run_ms:.1f} ms",
                x=x,
                y=self.y(bar.process) + 5 + row * ROW_PX,
                width=max(1.0, round(end - x, 1)),
                height=BAR_PX,
                fill=END_COLORS.get(bar.status, OPEN_COLOR),
            )

    def _draw_event(self, event: TimelineEvent) -> None:
        if event.event in ("task started", "task ended"):
            return
        details = details_text(event)
        subject = event.task or event.job
        self.add(
            "circle",
            title=f"{event.part}: {event.event} {subject} {details}".strip(),
            cx=self.x(event.time_s),
            cy=self.y(event.process) + LANE_PX // 2,
            r=4,
            fill=PART_COLORS.get(event.part, OTHER_COLOR),
        )


def svg_picture(events: list[TimelineEvent]) -> str:
    """Return a time line as a self-contained SVG document."""
    picture = _Picture(events)
    picture.draw()
    return xml.tostring(picture.root, encoding="unicode")
