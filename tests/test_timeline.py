"""Guards against a time line that loses, misplaces or mixes up events."""

from __future__ import annotations

import json
from xml.etree import ElementTree

from catkincross.ids import hash_key
from catkincross.observability._timeline import (
    TimelineEvent,
    TimelineFilter,
    merge,
    parse_lines,
    parse_time,
    text_lines,
)
from catkincross.observability._timeline_svg import bars, svg_picture

JOB = hash_key("t/k1").hex()[:12]


def _line(time_s: float, process: str, event: str, **fields: object) -> str:
    line = {"timestamp": time_s, "process": process, "part": "agent", "event": event}
    return json.dumps(line | {"task_uuid": "x", "task_level": [1]} | fields)


ENTRY_LOG = [
    _line(10.0, "entry/e1", "job accepted", job=JOB),
    _line(10.3, "entry/e1", "job ended", job=JOB, state="complete"),
]
AGENT_LOG = [
    _line(10.1, "agent/u1", "task started", job=JOB, task=f"{JOB}/0", upstream="a"),
    _line(
        10.2,
        "agent/u1",
        "task ended",
        job=JOB,
        task=f"{JOB}/0",
        upstream="a",
        status="ok",
    ),
    _line(
        10.25,
        "agent/u2",
        "task started",
        job="f" * 12,
        task="f" * 12 + "/0",
        data_centre="perth",
    ),
]


def _merged(**keep: object) -> list[TimelineEvent]:
    logs = [parse_lines(AGENT_LOG), parse_lines(ENTRY_LOG)]
    return merge(logs, TimelineFilter(**keep))


def test_logs_of_all_processes_are_merged_by_time() -> None:
    names = [event.event for event in _merged()]
    assert names == [
        "job accepted",
        "task started",
        "task ended",
        "task started",
        "job ended",
    ]


def test_filters_keep_only_what_they_name() -> None:
    assert len(_merged(job="t/k1")) == 4
    assert len(_merged(job=JOB[:6])) == 4
    assert [event.process for event in _merged(upstream="a")] == ["agent/u1"] * 2
    assert [event.process for event in _merged(data_centre="perth")] == ["agent/u2"]
    assert len(_merged(since_s=10.1, until_s=10.2)) == 2


def test_lines_of_other_programs_and_a_cut_line_are_left_out() -> None:
    lines = ["Listening", "{}", "[1]", '{"timestamp": "x"}', AGENT_LOG[0][:-5]]
    assert list(parse_lines([*lines, AGENT_LOG[0]])) == list(parse_lines(AGENT_LOG[:1]))


def test_text_shows_time_process_job_and_details() -> None:
    start, *lines = text_lines(_merged(job="t/k1"))
    assert start == "start 1970-01-01 00:00:10.000+00:00"
    assert lines[2].split() == (
        f"200.0 ms agent/u1 agent: task ended {JOB}/0 status=ok".split()
    )
    assert list(text_lines([])) == []


def test_a_task_without_an_end_is_drawn_to_the_end_of_the_line() -> None:
    ended, running = bars(_merged())
    assert (ended.status, ended.start_s, ended.end_s) == ("ok", 10.1, 10.2)
    assert (running.status, running.end_s) == ("", 10.3)


def test_the_picture_is_one_document_with_a_lane_for_each_process() -> None:
    picture = svg_picture([*_merged(), TimelineEvent(10.4, "x<&", "p", "e")])
    root = ElementTree.fromstring(picture)
    labels = [element.text for element in root.iter() if element.tag.endswith("text")]
    assert labels[-4:] == ["entry/e1", "agent/u1", "agent/u2", "x<&"]
    assert "href" not in picture
    assert ElementTree.fromstring(svg_picture([])).tag.endswith("svg")


def test_times_are_read_as_iso_or_seconds() -> None:
    assert parse_time("10.5") == parse_time("1970-01-01T00:00:10.500") == 10.5
    assert parse_time("1970-01-01T01:00:10+01:00") == 10
