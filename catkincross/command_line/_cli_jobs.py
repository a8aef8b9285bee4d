"""Commands of callers: submit, request, cancel."""

from __future__ import annotations

import json
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from ._cli_client import ApiAnswer, ApiClient, client_options
from ._cli_output import (
    ExitCode,
    exit_code_of,
    fail,
    output_option,
    print_json,
    print_refusal,
    print_table,
)

STREAMED = {"Accept": "application/x-ndjson"}
SHOWN_CHARACTERS = 60


@click.command()
@click.option("--service", help="Service that runs the tasks.")
@click.option("--team", help="Team that the job counts for.")
@click.option("--key", default="", help="Idempotency key; a new one if not given.")
@click.option("--task", "payloads", multiple=True, help="Payload of one task.")
@click.option("--count", default=1, show_default=True, help="Copies of each task.")
@click.option("--run-ms", type=int, help="Declared run time of each task.")
@click.option("--deadline-ms", type=int, help="Time allowed for the job.")
@click.option("--interactive", is_flag=True, help="A person waits for the job.")
@click.option("-f", "--file", type=click.Path(dir_okay=False), help="Body as JSON.")
@click.option("--wait/--no-wait", default=True, help="Wait for the job's end.")
@click.option(
    "--tries", default=5, show_default=True, help="Sends while the outcome is open."
)
@output_option
@client_options
def submit(
    client: ApiClient,
    key: str,
    file: str | None,
    count: int,
    wait: bool,
    tries: int,
    output: str,
    **fields: Any,
) -> None:
    """Submit a job and print its answer.

    Submitting again with the same key and content never runs the job twice.
    """
    body = _read_json(file) if file else {}
    body |= _given(service=fields["service"], team=fields["team"])
    body |= _given(deadline_ms=fields["deadline_ms"])
    if fields["interactive"]:
        body["interactive"] = True
    if fields["payloads"]:
        own = _given(run_ms=fields["run_ms"])
        tasks = [{"payload": payload} | own for payload in fields["payloads"]]
        body["tasks"] = tasks * count
    if not key:
        key = uuid.uuid4().hex
        click.echo(f"key {key}", err=True)
    path = "/v1/jobs" if wait else "/v1/jobs?wait=0"
    headers = STREAMED | {"Idempotency-Key": key}
    answer = client.call("POST", path, body, headers=headers, tries=max(1, tries))
    show_job(answer, output, wait=wait)


@click.command()
@click.option("--service", required=True, help="Service that runs the request.")
@click.option("--team", required=True, help="Team that the request counts for.")
@click.option("--payload", default="", help="Body sent to the upstream.")
@click.option("--idempotent", is_flag=True, help="The request may run more than once.")
@click.option("--deadline-ms", type=int, help="Time allowed.")
@output_option
@client_options
def request(
    client: ApiClient,
    service: str,
    team: str,
    payload: str,
    idempotent: bool,
    deadline_ms: int | None,
    output: str,
) -> None:
    """Run one request and print its result."""
    body = {"service": service, "team": team, "payload": payload}
    body |= {"idempotent": idempotent} | _given(deadline_ms=deadline_ms)
    show_job(client.call("POST", "/v1/requests", body, headers=STREAMED), output)


@click.command()
@click.argument("job", metavar="TEAM/KEY")
@output_option
@client_options
def cancel(client: ApiClient, job: str, output: str) -> None:
    """Cancel a job and print how it ended."""
    answer = client.call("DELETE", job_path(job), headers=STREAMED)
    cancelled = job_of(answer).get("reason") == "cancelled"
    if answer.ok and cancelled and output != "json":
        click.echo(f"{job} cancelled (truth={job_of(answer)['truth']})")
        raise SystemExit(ExitCode.OK)
    show_job(answer, output)


def get_job(client: ApiClient, job: str, output: str, wait_ms: int) -> None:
    """Print the state of a job, after waiting for its end."""
    path = job_path(job) + (f"?wait={wait_ms}" if wait_ms else "")
    show_job(client.call("GET", path, headers=STREAMED), output, wait=wait_ms > 0)


def job_path(job: str) -> str:
    """Return the path of a job named as `team/key`."""
    team, slash, key = job.partition("/")
    if not slash or not team or not key:
        fail(ExitCode.USAGE, f"{job}: a job is named as TEAM/KEY")
    return f"/v1/jobs/{quote(team, safe='')}/{quote(key, safe='')}"


def job_of(answer: ApiAnswer) -> dict[str, Any]:
    """Return an answer's job document with its results.

    A streamed answer that lacks its last line ends the program: it was cut short.
    """
    if not isinstance(answer.body, list):
        return answer.body
    first, *results = answer.body or [{}]
    if not results or not results[-1].get("end"):
        fail(ExitCode.UNKNOWN, "the answer was cut short; ask again with the same key")
    return first | {"results": results[:-1]}


def show_job(answer: ApiAnswer, output: str, *, wait: bool = True) -> None:
    """Print an answer about a job and end the program with its exit code."""
    job = job_of(answer)
    code = exit_code_of(answer.status, job)
    if not wait and job.get("state") in ("queued", "running"):
        code = ExitCode.OK
    if output == "json":
        print_json(job)
    elif answer.status >= 400 or "results" not in job:
        print_refusal(job)
    else:
        print_job(job, wide=output == "wide")
    raise SystemExit(int(code))


def print_job(job: dict[str, Any], *, wide: bool) -> None:
    """Print a job's state or end, with its results."""
    facts = [f"job {job['key']}: {job['state']}"]
    facts.append(f"{job['tasks_done']} of {job['tasks']} tasks ended")
    facts += [f"{name} {job[name]}" for name in ("truth", "reason") if job.get(name)]
    click.echo(", ".join(facts))
    if not job["results"]:
        return
    titles = ["INDEX", "STATUS", "PAYLOAD"]
    if wide:
        titles += ["RUN MS", "UPSTREAM", "REASON"]
    rows = []
    for result in job["results"]:
        text = result.get("payload", result.get("payload_base64", ""))
        row = [result["index"], result["status"], _short(text)]
        if wide:
            row += [result["run_ms"], result["upstream"], result["reason"]]
        rows.append(row)
    print_table(titles, rows)


def _short(text: str) -> str:
    line = text.encode("unicode_escape").decode()
    short = line if len(line) <= SHOWN_CHARACTERS else line[:SHOWN_CHARACTERS] + "..."
    return short or "-"


def _given(**values: Any) -> dict[str, Any]:
    return {name: value for name, value in values.items() if value is not None}


def _read_json(file: str) -> dict[str, Any]:
    try:
        value = json.loads(Path(file).read_text(encoding="utf-8"))
    except OSError as error:
        fail(ExitCode.USAGE, f"{file}: cannot be read: {error.strerror}")
    except ValueError as error:
        fail(ExitCode.USAGE, f"{file}: is not JSON: {error}")
    if not isinstance(value, dict):
        fail(ExitCode.USAGE, f"{file}: allowed is a JSON object")
    return value
