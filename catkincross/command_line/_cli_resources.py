"""Commands of operators: get, watch, apply, delete, drain, restore."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

import aiohttp
import click
from returns.result import Failure, Success

from ..http_api._resource_specs import KINDS
from ._cli_client import ApiAnswer, ApiClient, client_options, lines_of, read_answer
from ._cli_jobs import get_job
from ._cli_output import (
    ExitCode,
    exit_code_of,
    fail,
    output_option,
    print_json,
    print_refusal,
    print_table,
)
from ._resource_files import Declared, read_resources

DRAIN_KINDS = {"datacentre": "datacentres", "upstream": "upstreams"}
CHANGE_TRIES = 5
POLL_S = 0.25
RECONNECT_S = 1.0
RECONNECT_TRIES = 60

timeout_option = click.option(
    "--timeout", default=60.0, show_default=True, help="Longest wait in seconds."
)


@click.command()
@click.argument("kind", type=click.Choice([*KINDS, "job"]))
@click.argument("name", required=False)
@click.option("--wait-ms", default=0, help="For a job: how long to wait for its end.")
@output_option
@client_options
def get(
    client: ApiClient, kind: str, name: str | None, wait_ms: int, output: str
) -> None:
    """Show resources of a kind, one of them, or `job TEAM/KEY`."""
    if kind == "job":
        get_job(client, name or "", output, wait_ms)
    answer = client.call("GET", resource_path(kind, name))
    if not answer.ok:
        _end(answer, output)
    if output == "json":
        print_json(answer.body)
        return
    documents = [answer.body] if name else answer.body["items"]
    print_documents(documents, wide=output == "wide")


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.option("--events", "limit", type=int, help="End after this number of events.")
@output_option
@client_options
def watch(client: ApiClient, kind: str, limit: int | None, output: str) -> None:
    """Print the changes of a kind as they happen."""
    client.run(lambda: _watch(client, kind, limit, output))


async def _watch(client: ApiClient, kind: str, limit: int | None, output: str) -> None:
    since, printed, failures = "", 0, 0
    async with client.session() as session:
        while failures <= RECONNECT_TRIES:
            try:
                path = f"/v1/{kind}?watch=true{since}"
                response = await client.open(session, "GET", path)
                if response.status == 410:
                    since = ""
                    continue
                # An entry that is behind the last bookmark will catch up.
                if response.status != 200 and not (since and response.status == 503):
                    _end(await read_answer(response), output)
                async for line in _watch_events(response):
                    failures = 0
                    if line["event"] == "bookmark":
                        since = f"&resource_version={line['resource_version']}"
                        continue
                    _print_event(line, output)
                    printed += 1
                    if printed == limit:
                        response.close()
                        return
            except aiohttp.ClientError:
                if not since:
                    raise
            failures += 1
            await asyncio.sleep(RECONNECT_S)
    fail(ExitCode.UNREACHABLE, "the watch cannot be resumed")


async def _watch_events(response: aiohttp.ClientResponse) -> AsyncIterator[Any]:
    async with response:
        async for line in lines_of(response):
            if "event" in line:
                yield line


def _print_event(line: dict[str, Any], output: str) -> None:
    if output == "json":
        click.echo(json.dumps(line, sort_keys=True))
        return
    resource = line.get("resource", {})
    name = line.get("name") or resource.get("metadata", {}).get("name", "")
    facts = f"{_facts(resource.get('spec', {}))}  {_facts(resource.get('status', {}))}"
    click.echo(f"{line['event']:<8} {line['kind']}/{name}  {facts}".rstrip())


@click.command()
@click.option("-f", "--file", required=True, type=click.Path(dir_okay=False))
@output_option
@client_options
def apply(client: ApiClient, file: str, output: str) -> None:
    """Create or change the resources of a JSON or INI file."""
    match read_resources(file):
        case Failure(line):
            fail(ExitCode.USAGE, line)
        case Success(declared):
            results = [_apply(client, item, output) for item in declared]
    if output == "json":
        print_json(results)


def _apply(client: ApiClient, item: Declared, output: str) -> dict[str, Any]:
    path = resource_path(item.kind, item.name)
    current = client.call("GET", path)
    if current.status not in (200, 404):
        _end(current, output)
    if current.ok and current.body["spec"] == item.spec:
        result = {"state": "unchanged", "truth": "applied"} | current.body["metadata"]
    else:
        generation = item.generation
        if generation is None:
            generation = current.body["metadata"]["generation"] if current.ok else 0
        answer = _settled(client, _put(client, path, item.spec, generation))
        if not answer.ok:
            _end(answer, output)
        result = answer.body
    if output != "json":
        done = "unchanged" if result["state"] == "unchanged" else "applied"
        click.echo(f"{item.kind}/{item.name} {done}")
    return result


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("name")
@click.option("--generation", type=int, help="Delete only this generation.")
@output_option
@client_options
def delete(
    client: ApiClient, kind: str, name: str, generation: int | None, output: str
) -> None:
    """Delete a resource."""
    headers = {} if generation is None else {"If-Match": f'"{generation}"'}
    answer = client.call("DELETE", resource_path(kind, name), headers=headers)
    _end(_settled(client, answer), output, f"{kind}/{name} deleted")


@click.command()
@click.argument("kind", type=click.Choice(list(DRAIN_KINDS)))
@click.argument("name")
@click.option("--wait", is_flag=True, help="Wait until nothing runs there.")
@timeout_option
@output_option
@client_options
def drain(
    client: ApiClient, kind: str, name: str, wait: bool, timeout: float, output: str
) -> None:
    """Take a data centre or an upstream out of service."""
    _set_drain(client, DRAIN_KINDS[kind], name, True, timeout if wait else None, output)


@click.command()
@click.argument("kind", type=click.Choice(list(DRAIN_KINDS)))
@click.argument("name")
@click.option("--wait", is_flag=True, help="Wait until all processes know of it.")
@timeout_option
@output_option
@client_options
def restore(
    client: ApiClient, kind: str, name: str, wait: bool, timeout: float, output: str
) -> None:
    """Bring a data centre or an upstream back into service."""
    _set_drain(
        client, DRAIN_KINDS[kind], name, False, timeout if wait else None, output
    )


def _set_drain(
    client: ApiClient,
    kind: str,
    name: str,
    flag: bool,
    wait_s: float | None,
    output: str,
) -> None:
    path = resource_path(kind, name)
    for _ in range(CHANGE_TRIES):
        current = client.call("GET", path)
        if current.status not in (200, 404):
            _end(current, output)
        spec = dict(current.body["spec"]) if current.ok else {}
        generation = current.body["metadata"]["generation"] if current.ok else 0
        answer = _settled(
            client, _put(client, path, spec | {"drain": flag}, generation)
        )
        # Only the flag is changed, so another operator's change can be kept.
        if answer.status != 409:
            break
    done = "drains" if flag else "is restored"
    if not answer.ok or wait_s is None:
        _end(answer, output, f"{kind}/{name} {done}")
    _wait_for_status(client, kind, name, flag, wait_s, output)


def _wait_for_status(
    client: ApiClient, kind: str, name: str, flag: bool, wait_s: float, output: str
) -> None:
    until_s = time.monotonic() + wait_s
    while True:
        answer = client.call("GET", resource_path(kind, name))
        if answer.ok and _reached(answer.body, flag):
            done = "is drained" if flag else "is restored"
            _end(answer, output, f"{kind}/{name} {done}")
        if time.monotonic() >= until_s:
            status = answer.body.get("status", {})
            line = f"{kind}/{name}: not reached in {wait_s:g} s: {_facts(status)}"
            fail(ExitCode.UNKNOWN, line)
        time.sleep(POLL_S)


def _reached(document: dict[str, Any], flag: bool) -> bool:
    status = document.get("status", {})
    generation = document["metadata"]["generation"]
    observed = status.get("observed_generation", 0) >= generation
    if flag:
        return observed and bool(status.get("drained"))
    return observed and not status.get("missing")


def _put(client: ApiClient, path: str, spec: Any, generation: int) -> ApiAnswer:
    headers = {"If-Match": f'"{generation}"'}
    return client.call("PUT", path, {"spec": spec}, headers=headers)


def _settled(client: ApiClient, answer: ApiAnswer) -> ApiAnswer:
    """Return what has become of a change, after asking for a while if need be."""
    tries = 40
    while answer.status == 202 and tries:
        time.sleep(POLL_S)
        answer = client.call("GET", f"/v1/changes/{answer.body['id']}")
        tries -= 1
    if answer.ok and answer.body.get("state") == "refused":
        status = 409 if answer.body["reason"] == "lost_race" else 503
        return ApiAnswer(status, answer.body)
    return answer


def resource_path(kind: str, name: str | None = None) -> str:
    """Return the path of a kind or of one resource."""
    return f"/v1/{kind}" + (f"/{quote(name, safe='')}" if name else "")


def _end(answer: ApiAnswer, output: str, done: str = "") -> None:
    if output == "json":
        print_json(answer.body)
    elif answer.ok:
        click.echo(done)
    else:
        print_refusal(answer.body)
    raise SystemExit(int(exit_code_of(answer.status, answer.body)))


def print_documents(documents: list[dict[str, Any]], *, wide: bool) -> None:
    """Print resources as a table."""
    titles = ["NAME", "GENERATION", "OBSERVED", "STATE", "SPEC"]
    titles += ["VERSION", "STATUS"] if wide else []
    rows = []
    for document in documents:
        metadata, status = document["metadata"], document.get("status", {})
        observed = f"{status.get('observed', '?')}/{status.get('processes', '?')}"
        row = [metadata["name"], metadata["generation"], observed, _state(status)]
        row.append(_facts(document.get("spec", {})))
        row += [metadata["resource_version"], _facts(status)] if wide else []
        rows.append(row)
    print_table(titles, rows)


def _state(status: dict[str, Any]) -> str:
    """Return what a status says in a word or two."""
    for flag in ("drained", "draining", "leaving"):
        if status.get(flag):
            return flag
    if "current" in status:
        return "current" if status["current"] else "not current"
    return "in service" if "drained" in status else "-"


def _facts(fields: dict[str, Any]) -> str:
    shown = (
        f"{name}={value if isinstance(value, str) else json.dumps(value)}"
        for name, value in fields.items()
    )
    return " ".join(shown) or "-"
