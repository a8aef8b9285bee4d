"""Guards against lost, repeated and endless requests of the light HTTP client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from catkincross.http11 import (
    BodyTooLarge,
    ErrorReportingApp,
    HttpClient,
    HttpResponse,
    read_body,
)
from catkincross.platform import StoreClient, Topic
from catkincross.transport._http_server import HttpServer

LIMIT_S = 10.0
# Limit of silence of the client in these tests, in seconds.
SILENCE_S = 0.3


# Number of connections that a client holds open.
CONCURRENT = 4
# Largest body that the test application reads, in bytes.
MAX_BODY_BYTES = 1_000


async def echo(scope: Any, receive: Any, send: Any) -> None:
    """Answer the path and the body; fail on the path `/fail`."""
    if scope["path"] == "/fail":
        raise RuntimeError("failed on purpose")
    if scope["path"] == "/fail-late":
        head = {"type": "http.response.start", "status": 200, "headers": []}
        await send(head)
        raise RuntimeError("failed on purpose")
    try:
        body = await read_body(receive, MAX_BODY_BYTES)
    except BodyTooLarge:
        await HttpResponse(413).send(send)
        return
    await HttpResponse(200, scope["path"].encode() + b" " + body).send(send)


def serve_app(app: Any) -> HttpServer:
    server = HttpServer(app, "127.0.0.1:0")
    server.start()
    return server


async def exchange(address: str, data: bytes) -> bytes:
    """Send bytes and return what the server has sent after its first answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(LIMIT_S):
        received = await reader.read(1_024)
    writer.close()
    return received


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve_raw(handler: Handler) -> tuple[asyncio.Server, str]:
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400"),
        (b"PUT / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + b"y" * 9_000, b"413"),
    ],
)
def test_an_invalid_request_is_refused_and_the_server_goes_on(
    data: bytes, status: bytes
) -> None:
    """One malformed or oversized request must not take the process down."""

    async def run() -> tuple[bytes, bytes]:
        server = serve_app(echo)
        refusal = await exchange(server.address, data)
        valid = b"GET /a%20b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        answer = await exchange(server.address, valid)
        await server.stop(0.1)
        return refusal, answer

    refusal, answer = asyncio.run(run())
    assert refusal.split()[1] == status
    assert answer.endswith(b"/a b ")


def test_an_error_of_the_application_costs_one_request() -> None:
    """An unexpected error in a handler must be reported and answered with 500."""
    errors: list[Any] = []

    async def run() -> list[tuple[int, bytes]]:
        app = ErrorReportingApp(echo, lambda *details: errors.append(details))
        server = serve_app(app)
        client = HttpClient(server.address, keepalive_s=5.0)
        with pytest.raises(OSError):
            # The part that was sent must not be taken for a complete response.
            await client.request("GET", "/fail-late", silence_s=SILENCE_S)
        answers = [
            await client.request("GET", path, silence_s=SILENCE_S)
            for path in ("/fail", "/next")
        ]
        await client.close()
        await server.stop(0.1)
        return answers

    answers = asyncio.run(run())
    assert [status for status, _ in answers] == [500, 200]
    assert {error[1] for error in errors} == {"/fail", "/fail-late"}


def test_a_request_that_is_open_at_the_end_of_the_process_gets_504() -> None:
    """Its work may have run, and client accounts do not send it again after a 500."""

    async def wait(scope: Any, receive: Any, send: Any) -> None:
        await asyncio.sleep(60)

    async def run() -> int:
        server = serve_app(ErrorReportingApp(wait, lambda *_: None))
        client = HttpClient(server.address, keepalive_s=5.0)
        request = asyncio.ensure_future(client.request("POST", "/", silence_s=10.0))
        await asyncio.sleep(0.2)
        await server.stop(0.2)
        # `asyncio.run` does the same once the process has nothing left to do.
        for task in asyncio.all_tasks() - {asyncio.current_task(), request}:
            task.cancel()
        status, _ = await request
        await client.close()
        return status

    assert asyncio.run(run()) == 504


def test_a_slow_transfer_that_makes_progress_is_not_ended() -> None:
    """Declarations of 240 KB over 2 Mbit/s never arrived within a limit on the call."""

    async def send_slowly(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
        for _ in range(8):
            await asyncio.sleep(SILENCE_S / 3)
            writer.write(b"x")
        await writer.drain()

    async def run() -> tuple[int, bytes]:
        server, address = await serve_raw(send_slowly)
        client = HttpClient(address, keepalive_s=5.0)
        answer = await client.request("GET", "/", silence_s=SILENCE_S)
        await client.close()
        server.close()
        return answer

    assert asyncio.run(run()) == (200, b"x" * 8)


def test_a_silent_service_ends_the_call() -> None:
    """A channel that goes silent without a reset must not be waited for for ever."""

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async def run() -> None:
        server, address = await serve_raw(stay_silent)
        client = HttpClient(address, keepalive_s=5.0)
        async with asyncio.timeout(LIMIT_S):
            with pytest.raises(TimeoutError):
                await client.request("POST", "/", body=b"x", silence_s=SILENCE_S)
        server.close()

    asyncio.run(run())


def test_only_a_read_is_repeated_when_an_idle_connection_has_closed() -> None:
    """A repeated order or append could be carried out twice."""
    seen: list[bytes] = []

    async def answer_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        seen.append(head.split()[0])
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        seen.append((await reader.readuntil(b"\r\n\r\n")).split()[0])
        writer.close()

    async def run(method: str) -> int:
        server, address = await serve_raw(answer_once)
        client = HttpClient(address, keepalive_s=5.0)
        await client.request("GET", "/", silence_s=SILENCE_S)
        try:
            status, _ = await client.request(method, "/", silence_s=SILENCE_S)
        finally:
            await client.close()
            server.close()
        return status

    assert asyncio.run(run("GET")) == 200
    with pytest.raises(OSError):
        asyncio.run(run("POST"))
    assert seen == [b"GET", b"GET", b"GET", b"GET", b"POST"]


def test_a_silent_connection_ends_the_use_of_those_opened_before_it() -> None:
    """When all open connections fell silent, each one cost a time limit of its own."""
    connections: list[int] = []

    async def run() -> list[int]:
        silent = asyncio.Event()

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            number = len(connections)
            connections.append(number)
            while await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                if silent.is_set() and number < CONCURRENT:
                    continue
                await asyncio.sleep(SILENCE_S / 3)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server, address = await serve_raw(answer)
        client = HttpClient(address, keepalive_s=5.0)

        async def ask() -> int:
            return (await client.request("GET", "/", silence_s=SILENCE_S))[0]

        await asyncio.gather(*(ask() for _ in range(CONCURRENT)))
        silent.set()
        with pytest.raises(TimeoutError):
            await ask()
        statuses = [await ask() for _ in range(CONCURRENT)]
        await client.close()
        server.close()
        return statuses

    assert asyncio.run(run()) == [200] * CONCURRENT
    assert len(connections) == CONCURRENT + 1


def test_an_unanswered_request_does_not_cost_the_other_connections() -> None:
    """A worker that left orders unanswered got a new connection for each call."""
    connections: list[int] = []

    async def run() -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(len(connections))
            while line := await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                if b"/lost" in line:
                    continue
                await asyncio.sleep(SILENCE_S / 10)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server, address = await serve_raw(answer)
        client = HttpClient(address, keepalive_s=5.0)

        async def ask(path: str) -> int:
            return (await client.request("POST", path, silence_s=SILENCE_S))[0]

        await asyncio.gather(*(ask("/") for _ in range(CONCURRENT)))
        lost = asyncio.create_task(ask("/lost"))
        await asyncio.sleep(SILENCE_S / 10)
        await ask("/")
        with pytest.raises(TimeoutError):
            await lost
        await asyncio.gather(*(ask("/") for _ in range(CONCURRENT - 1)))
        await client.close()
        server.close()

    asyncio.run(run())
    assert len(connections) == CONCURRENT


def test_a_single_unanswered_request_does_not_count_against_all_connections() -> None:
    """A worker that leaves an order unanswered may give no other sign of life."""
    connections: list[int] = []

    async def run() -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(len(connections))
            while line := await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                if b"/lost" in line:
                    continue
                await asyncio.sleep(SILENCE_S / 10)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server, address = await serve_raw(answer)
        client = HttpClient(address, keepalive_s=5.0, silent_limit=2)

        async def ask(path: str) -> None:
            await client.request("POST", path, silence_s=SILENCE_S)

        await asyncio.gather(*(ask("/") for _ in range(CONCURRENT)))
        for path in ("/lost", "/", "/lost"):
            with contextlib.suppress(TimeoutError):
                await ask(path)
        assert len(connections) == CONCURRENT
        with pytest.raises(TimeoutError):
            await ask("/lost")
        await ask("/")
        await client.close()
        server.close()

    asyncio.run(run())
    assert len(connections) == CONCURRENT + 1


@pytest.mark.parametrize("turns", range(8))
def test_a_request_that_is_cancelled_while_it_is_refused_ends(
    turns: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The refusal replaced the cancellation, and an endless task went on."""

    async def run() -> bool:
        async def refuse(*_: Any) -> Any:
            await asyncio.sleep(0)
            raise ConnectionRefusedError

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", refuse)
        client = HttpClient("127.0.0.1:1", keepalive_s=5.0)
        task = asyncio.create_task(client.request("GET", "/", silence_s=SILENCE_S))
        for _ in range(turns):
            await asyncio.sleep(0)
        requested = task.cancel()
        await asyncio.wait({task})
        return task.cancelled() or not requested

    assert asyncio.run(run())


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"items": 3, "end": 1}', b"\xff", b'{"parts": [1]}']
)
def test_an_answer_of_the_store_that_cannot_be_read_counts_as_none(body: bytes) -> None:
    """A malformed answer of the store ended the process."""

    async def run() -> list[Any]:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            status = 410 if b"topic=old" in scope["query_string"] else 200
            await HttpResponse(status, body).send(send)

        server = serve_app(app)
        store = StoreClient(server.address)
        answers = [
            await store.read_latest(Topic.DECLARATIONS),
            await store.join("m", 1_000, 0),
            await store.shard_owners(),
            await store.read("old", 0, 0),
            await store.read(Topic.JOBS, 0, 0),
        ]
        await store.close()
        await server.stop(0.1)
        return answers

    answers = asyncio.run(run())
    assert not any(answers)


def test_a_list_of_newest_records_that_is_cut_off_counts_as_none() -> None:
    """A page without records that said so ended the list, as if it were whole."""

    async def run() -> Any:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            page = b'{"items": [], "truncated": true, "end": 9}'
            await HttpResponse(200, page).send(send)

        server = serve_app(app)
        store = StoreClient(server.address)
        answer = await store.read_latest(Topic.DECLARATIONS)
        await store.close()
        await server.stop(0.1)
        return answer

    assert asyncio.run(run()) is None
