"""Guards against commands that report another outcome than the entry's."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
import uvicorn
from click.testing import CliRunner, Result

from catkincross.cli import main
from catkincross.effects import ChangeProposed, ChangeReply, JobSubmitted
from catkincross.http_api._http_app import build_app
from catkincross.ids import Incarnation, TaskId
from catkincross.messages import TaskResult, TaskStatus
from catkincross.protocol._messages import JobAnswer, JobState, Reason, Truth
from catkincross.settings import HttpSettings
from scenarios.asgi import FakeGateway

from .test_resource_api import LogGateway

EXAMPLES = Path(__file__).parent.parent / "examples"


@contextmanager
def serving(gateway: FakeGateway) -> Iterator[str]:
    """Serve an entry's application on a free loopback port; gives its URL."""
    config = uvicorn.Config(
        build_app(gateway, gateway.settings),
        log_config=None,
        lifespan="off",
        timeout_graceful_shutdown=1,
    )
    server = uvicorn.Server(config)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        thread = threading.Thread(target=server.run, args=([listener],), daemon=True)
        thread.start()
        while not server.started:
            time.sleep(0.005)
        try:
            yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        finally:
            server.should_exit = True
            gateway.state.stopping = True
            thread.join(10)


Run = Callable[..., Result]


@pytest.fixture
def gateway() -> LogGateway:
    """An entry whose changes are folded at once and whose jobs are complete."""
    gateway = LogGateway(http=HttpSettings(token="s3cret"))
    fold = gateway.reply

    def reply(item: Any) -> Any:
        if isinstance(item, ChangeProposed):
            return fold(item)
        if isinstance(item, JobSubmitted):
            return _complete(item)
        return JobAnswer(0, item.key, JobState.ABSENT)

    gateway.reply = reply
    return gateway


def _complete(item: JobSubmitted) -> JobAnswer:
    results = [
        TaskResult(
            Incarnation("e1", 1),
            TaskId(b"k" * 16, index),
            TaskStatus.OK,
            payload=task.payload,
        )
        for index, task in enumerate(item.tasks)
    ]
    count = len(results)
    return JobAnswer(0, item.key, JobState.COMPLETE, results=results, tasks=count)


@pytest.fixture
def run(gateway: LogGateway) -> Iterator[Run]:
    """Runs a command against the entry, with the token."""
    with serving(gateway) as url:

        def run_command(*arguments: str, token: str = "s3cret") -> Result:
            environment = {"CATKINCROSS_SERVER": url, "CATKINCROSS_TOKEN": token}
            return CliRunner(env=environment).invoke(main, arguments)

        yield run_command


SUBMIT = ("submit", "--service", "s", "--team", "t", "--key", "k1", "--task", "a")


def test_a_submitted_job_is_shown_with_its_results(run: Run) -> None:
    shown = run(*SUBMIT, "--count", "2")
    assert shown.exit_code == 0, shown.output
    assert "job t/k1: complete" in shown.output
    assert shown.output.splitlines()[-1].split() == ["1", "ok", "a"]
    parsed = json.loads(run(*SUBMIT, "-o", "json").stdout)
    assert parsed["results"][0]["payload"] == "a"
    assert run("request", "--service", "s", "--team", "t").exit_code == 0


@pytest.mark.parametrize(
    ("state", "truth", "reason", "code"),
    [
        (JobState.FAILED, Truth.FAILED, Reason.TASK_FAILED, 1),
        (JobState.FAILED, Truth.MAY_HAVE_RUN, Reason.OWNER_LOST, 1),
        (JobState.FAILED, Truth.MAY_HAVE_RUN, Reason.DEADLINE, 1),
        (JobState.FAILED, Truth.NONE, Reason.KEY_CONFLICT, 4),
        (JobState.FAILED, Truth.NOT_RUN, Reason.QUOTA, 5),
        (JobState.FAILED, Truth.NOT_RUN, Reason.NO_UPSTREAM, 5),
        (JobState.UNKNOWN, Truth.NONE, Reason.RECOVERING, 6),
        (JobState.ABSENT, Truth.NONE, Reason.NONE, 3),
    ],
)
def test_the_exit_code_tells_how_a_job_ended(
    run: Run, gateway: LogGateway, state: Any, truth: Any, reason: Any, code: int
) -> None:
    gateway.reply = lambda item: JobAnswer(0, "t/k1", state, truth, reason)
    shown = run(*SUBMIT, "--tries", "1")
    assert (shown.exit_code, str(reason) in shown.output) == (code, True)


def test_a_job_with_an_open_outcome_is_sent_again_with_its_key(
    run: Run, gateway: LogGateway
) -> None:
    open_outcome = JobAnswer(
        0, "t/k1", JobState.UNKNOWN, reason=Reason.RECOVERING, retry_after_ms=1
    )
    gateway.reply = lambda item: (
        open_outcome if len(gateway.items) < 3 else _complete(item)
    )
    assert run(*SUBMIT).exit_code == 0
    assert [item.key for item in gateway.items] == ["t/k1"] * 3


def test_a_job_that_goes_on_is_no_failure_without_wait(
    run: Run, gateway: LogGateway
) -> None:
    gateway.reply = lambda item: (
        None
        if isinstance(item, JobSubmitted)
        else JobAnswer(0, item.key, JobState.RUNNING, tasks=4, tasks_done=1)
    )
    shown = run(*SUBMIT, "--no-wait")
    assert (shown.exit_code, "1 of 4" in shown.output) == (0, True)
    assert run("get", "job", "t/k1").exit_code == 0


def test_an_unreachable_entry_has_its_own_exit_code(run: Run) -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{closed.getsockname()[1]}"
        assert run("get", "teams", "--server", url).exit_code == 7
        # The next server is tried.
        both = f"{url} {run('get', 'teams').exit_code}"
        assert both.endswith(" 0")


def test_resources_are_applied_shown_and_deleted(run: Run, tmp_path: Path) -> None:
    file = tmp_path / "r.ini"
    file.write_text(
        "[datacentres perth]\ndrain = no\n"
        "[teams confirmations]\nweight = 2.5\nlimits.running = 40\n"
    )
    assert run("apply", "-f", str(file)).output.splitlines() == [
        "datacentres/perth applied",
        "teams/confirmations applied",
    ]
    assert "datacentres/perth unchanged" in run("apply", "-f", str(file)).output
    shown = json.loads(run("get", "teams", "confirmations", "-o", "json").stdout)
    assert shown["spec"] == {"weight": 2.5, "limits": {"running": 40}}
    table = run("get", "datacentres").output.splitlines()
    assert table[0].split() == ["NAME", "GENERATION", "OBSERVED", "STATE", "SPEC"]
    assert table[1].split() == ["perth", "1", "1/1", "in", "service", "drain=false"]
    conflict = run("delete", "teams", "confirmations", "--generation", "7")
    assert conflict.exit_code == 4
    assert run("delete", "teams", "confirmations").exit_code == 0
    assert run("get", "teams", "confirmations").exit_code == 3


def test_a_wrong_file_is_refused_before_anything_is_changed(
    run: Run, gateway: LogGateway, tmp_path: Path
) -> None:
    file = tmp_path / "r.json"
    good = {"kind": "teams", "metadata": {"name": "a"}, "spec": {}}
    bad = {"kind": "teams", "metadata": {"name": "b"}, "spec": {"weight": -1}}
    file.write_text(json.dumps([good, bad]))
    shown = run("apply", "-f", str(file))
    assert shown.exit_code == 2
    assert f"{file}: teams b: spec.weight: -1.0 is out of bounds" in shown.output
    assert not gateway.items


def test_drain_keeps_what_others_declared(run: Run, gateway: LogGateway) -> None:
    put = ("apply", "-f", str(EXAMPLES / "resources.ini"))
    assert run(*put).exit_code == 0
    before = gateway.state.control.resources["upstreams", "u1"].spec
    assert run("drain", "upstream", "u1").exit_code == 0
    after = gateway.state.control.resources["upstreams", "u1"].spec
    assert after == before | {"drain": True}
    assert run("restore", "upstream", "u1").exit_code == 0
    assert not gateway.state.control.is_draining("", "u1")


def test_drain_waits_for_the_status(
    run: Run, gateway: LogGateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads = []

    def document(state: Any, kind: str, name: str) -> Any:
        resource = state.control.resources.get((kind, name))
        if resource is None:
            return None
        reads.append(name)
        status = {"observed_generation": 1, "drained": len(reads) > 4}
        metadata = {"name": name, "generation": resource.generation}
        return {"metadata": metadata, "spec": resource.spec, "status": status}

    monkeypatch.setattr(
        "catkincross.http_api._resource_api.resource_document", document
    )
    shown = run("drain", "datacentre", "perth", "--wait")
    assert (shown.exit_code, shown.output) == (0, "datacentres/perth is drained\n")
    assert len(reads) > 4
    reads.clear()
    shown = run("drain", "datacentre", "dundee", "--wait", "--timeout", "0")
    assert shown.exit_code == 6


def test_a_change_with_an_open_outcome_is_followed(
    run: Run, gateway: LogGateway
) -> None:
    def lose_answer(item: ChangeProposed) -> ChangeReply:
        gateway.fold(item.record)
        return ChangeReply(0, item.record.id, "unknown")

    gateway.reply = lose_answer
    assert run("drain", "datacentre", "perth").exit_code == 0


def test_a_change_without_the_token_is_refused(run: Run) -> None:
    shown = run("drain", "datacentre", "perth", token="")
    assert (shown.exit_code, "unauthorized" in shown.output) == (5, True)


def test_a_watch_prints_changes(run: Run, gateway: LogGateway) -> None:
    run("drain", "datacentre", "perth")
    shown = run("watch", "datacentres", "--events", "1", "-o", "json")
    assert json.loads(shown.stdout)["resource"]["spec"] == {"drain": True}


def test_check_config_names_what_is_wrong(run: Run, tmp_path: Path) -> None:
    files = [str(path) for path in sorted(EXAMPLES.glob("*-*.ini"))]
    shown = run("check-config", *files)
    assert (shown.exit_code, shown.output.count(": ok")) == (0, len(files))
    bad = tmp_path / "bad.ini"
    bad.write_text("[agent]\nname = u1\nslots = 0\n")
    shown = run("check-config", str(bad))
    assert shown.exit_code == 2
    assert shown.output.startswith(f"{bad}: [agent] ")


def test_the_time_line_of_logs_is_printed_and_drawn(run: Run, tmp_path: Path) -> None:
    log, picture = tmp_path / "e1.log", tmp_path / "t.svg"
    line = {"timestamp": 1.0, "process": "entry/e1", "part": "owner", "event": "x"}
    log.write_text(json.dumps(line) + "\n")
    shown = run("timeline", str(log), "--svg", str(picture))
    assert (shown.exit_code, "owner: x" in shown.output) == (0, True)
    assert picture.read_text().startswith("<svg")
    assert run("timeline", str(tmp_path / "none")).exit_code == 2


def test_a_lost_answer_is_not_reported_as_never_sent(run: Run) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"

        def take_and_close() -> None:
            connection, _ = listener.accept()
            listener.close()
            with connection:
                connection.recv(65_536)

        thread = threading.Thread(target=take_and_close)
        thread.start()
        shown = run(*SUBMIT, "--server", url, "--tries", "2")
        thread.join()
    assert (shown.exit_code, "its outcome is open" in shown.output) == (6, True)
