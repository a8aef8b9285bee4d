"""Guards against lines and metrics that cannot be traced to process, job and task."""

from __future__ import annotations

import json
import socket
from io import StringIO

import eliot
import pytest

from catkincross.effects import Emit
from catkincross.http_api._http_app import build_app
from catkincross.observability._logs import EventLog
from catkincross.observability._metrics import Metrics
from catkincross.settings import AgentSettings, MetricsSettings
from scenarios.asgi import FakeGateway, call

AGENT = AgentSettings(
    name="u1", region="r", data_centre="perth", upstream="up1", service="s"
)


def _written(log: EventLog, *events: Emit) -> list[dict[str, object]]:
    stream = StringIO()
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        for event in events:
            log.write(event)
    finally:
        eliot.remove_destination(destination)
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_each_line_names_process_place_job_and_task() -> None:
    log = EventLog.from_settings(AGENT)
    task, plain = _written(
        log,
        Emit("agent", "task started", {"task": "0123456789ab/4", "owner": "e1#3"}),
        Emit("agent", "home chosen", {"home": "e1"}),
    )
    assert task["message_type"] == "agent: task started"
    assert (task["process"], task["data_centre"]) == ("agent/u1", "perth")
    assert (task["upstream"], task["owner"]) == ("up1", "e1#3")
    assert (task["job"], task["task"]) == ("0123456789ab", "0123456789ab/4")
    assert (plain["job"], plain["task"], plain["home"]) == ("", "", "e1")


def test_a_job_has_the_same_id_on_lines_of_owner_and_agent() -> None:
    log = EventLog("entry/e1")
    (line,) = _written(log, Emit("owner", "job accepted", {"job": "0123456789abcdef"}))
    assert line["job"] == "0123456789ab"


def test_a_log_of_changes_leaves_out_single_tasks() -> None:
    log = EventLog("entry/e1", events="changes")
    lines = _written(
        log, Emit("owner", "job ended", {}), Emit("membership", "joined", {})
    )
    assert [line["event"] for line in lines] == ["joined"]


@pytest.fixture
def statsd_server() -> socket.socket:
    """A UDP socket on a free loopback port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        yield server


def test_metrics_arrive_in_statsd_form(statsd_server: socket.socket) -> None:
    port = statsd_server.getsockname()[1]
    settings = MetricsSettings(host="127.0.0.1", port=port)
    metrics = Metrics.from_settings(settings, "entry/e1")
    metrics.event(Emit("owner", "job ended", {"duration_ms": 12}))
    metrics.http("/v1/jobs", 200, 3.5)
    metrics.entry_gauges(FakeGateway().state)
    packets = [statsd_server.recv(4_096).decode() for _ in range(5)]
    assert packets[0] == "catkincross.entry.e1.owner.job_ended:1|c"
    assert "owner.job_ended.duration_ms:12" in packets[1]
    assert packets[2] == "catkincross.entry.e1.http.v1_jobs.200:1|c"
    assert "catkincross.entry.e1.jobs:0|g" in packets[4]


def test_without_a_server_nothing_is_sent() -> None:
    metrics = Metrics.from_settings(MetricsSettings(), "entry/e1")
    metrics.event(Emit("owner", "job ended", {}))
    metrics.entry_gauges(FakeGateway().state)
    assert metrics.client is None


def test_requests_are_counted_by_route_and_status(
    statsd_server: socket.socket,
) -> None:
    port = statsd_server.getsockname()[1]
    settings = MetricsSettings(host="127.0.0.1", port=port)
    metrics = Metrics.from_settings(settings, "entry/e1")
    gateway = FakeGateway()
    app = build_app(gateway, gateway.settings, metrics=metrics)
    call(app, "POST", "/v1/jobs", {})
    call(app, "GET", "/v1/some/path/nobody/knows")
    names = [statsd_server.recv(4_096).decode().split(":")[0] for _ in range(4)]
    assert names[0] == "catkincross.entry.e1.http.v1_jobs.400"
    assert names[2] == "catkincross.entry.e1.http.other.404"
