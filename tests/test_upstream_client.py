"""Guards against wrong conclusions about what an upstream has received and run."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from catkincross.clock import SystemClock
from catkincross.effects import UpstreamAnswered
from catkincross.ids import Incarnation, TaskId
from catkincross.messages import Reason, TaskSpec, TaskStart, TaskStatus
from catkincross.settings import UpstreamSettings
from catkincross.transport._http_server import HttpServer
from catkincross.transport._upstream_client import UpstreamClient
from standins.upstream import Behaviour, Upstream

TIMEOUT_S = 20.0


def make_start(
    payload: bytes = b"run_ms=0 x", *, timeout_ms: int = 20_000
) -> TaskStart:
    return TaskStart(
        owner=Incarnation("e1", 1),
        task=TaskId(b"k" * 16, 0),
        service="s",
        spec=TaskSpec(payload),
        grant_epoch=1,
        start_by_ms=0,
        deadline_ms=SystemClock().now_ms() + timeout_ms,
    )


async def get_answer(
    address: str,
    start: TaskStart,
    *,
    refusal: Reason = Reason.NONE,
    after_call: Callable[[UpstreamClient], Awaitable[None]] | None = None,
) -> UpstreamAnswered:
    answers: asyncio.Queue[UpstreamAnswered] = asyncio.Queue()
    client = UpstreamClient(
        UpstreamSettings(url=f"http://{address}/tasks"),
        SystemClock(),
        connections=2,
        check_start=lambda start: refusal,
        post=answers.put_nowait,
    )
    client.call(start)
    if after_call is not None:
        await after_call(client)
    answer = await asyncio.wait_for(answers.get(), TIMEOUT_S)
    await client.close()
    return answer


def run_against_upstream(
    behaviour: Behaviour, start: TaskStart, **options: object
) -> tuple[UpstreamAnswered, Upstream]:
    async def run() -> tuple[UpstreamAnswered, Upstream]:
        upstream = Upstream(behaviour)
        server = HttpServer(upstream.app(), "127.0.0.1:0")
        server.start()
        answer = await get_answer(server.address, start, **options)
        await server.stop(1.0)
        return answer, upstream

    return asyncio.run(run())


def test_an_answer_with_another_id_is_rejected() -> None:
    """Without the check, a caller would get the payload of another task."""
    answer, _ = run_against_upstream(Behaviour(cross=True), make_start())
    assert (answer.status, answer.reason) == (
        TaskStatus.FAILED,
        Reason.ANSWER_MISMATCH,
    )
    assert answer.started and not answer.payload


def test_only_a_refused_connection_counts_as_not_started() -> None:
    """A task that was sent to the upstream must never be reported as not started."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    refused = asyncio.run(get_answer(f"127.0.0.1:{port}", make_start()))
    assert refused.reason == Reason.UPSTREAM_UNREACHABLE
    assert not refused.started

    async def cut_after_request() -> UpstreamAnswered:
        async def cut_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ):
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        server = await asyncio.start_server(cut_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        answer = await get_answer(f"127.0.0.1:{port}", make_start())
        server.close()
        return answer

    cut = asyncio.run(cut_after_request())
    assert cut.reason == Reason.UPSTREAM_FAILED
    assert cut.started


def test_a_task_that_became_late_after_the_decision_is_not_sent() -> None:
    """An agent suspended between decision and call must not send the task late."""
    answer, upstream = run_against_upstream(
        Behaviour(), make_start(), refusal=Reason.START_BY
    )
    assert (answer.started, answer.reason) == (False, Reason.START_BY)
    assert not upstream.starts


def test_an_aborted_task_stops_on_the_upstream() -> None:
    """After an abort, the slot is free only once the upstream stopped the task."""
    upstreams: list[Upstream] = []

    async def run() -> UpstreamAnswered:
        upstream = Upstream(Behaviour())
        upstreams.append(upstream)
        server = HttpServer(upstream.app(), "127.0.0.1:0")
        server.start()
        start = make_start(b"run_ms=600000 x")

        async def abort(client: UpstreamClient) -> None:
            async with asyncio.timeout(TIMEOUT_S):
                while not upstream.running:
                    await asyncio.sleep(0.01)
            client.abort(start)

        answer = await get_answer(server.address, start, after_call=abort)
        async with asyncio.timeout(TIMEOUT_S):
            while upstream.running:
                await asyncio.sleep(0.01)
        await server.stop(1.0)
        return answer

    answer = asyncio.run(run())
    assert (answer.status, answer.started) == (TaskStatus.CANCELLED, True)
    assert upstreams[0].stopped == 1
