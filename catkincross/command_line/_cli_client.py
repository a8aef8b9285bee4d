"""HTTP client of the command line."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator, Callable
from functools import wraps
from typing import Any, TypeVar

import aiohttp
import attrs
import click

from ._cli_output import ExitCode, fail

Value = TypeVar("Value")

CONNECT_S = 5
TOTAL_S = 900
RETRY_MS = 1_000
DEFAULT_SERVER = "http://127.0.0.1:8080"


@attrs.frozen
class ApiAnswer:
    """An answer of an entry.

    Attributes:
        body: JSON value; for JSON lines the list of their values.
    """

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the request succeeded and its outcome is known."""
        return self.status in (200, 201)


@attrs.frozen
class ApiClient:
    """Calls the HTTP API of the entries.

    Attributes:
        servers: Base URLs; the next one is tried if no connection can be made.
        token: Bearer token for changes, or an empty string.
        ca: File with the CA of the servers, or an empty string.
    """

    servers: tuple[str, ...]
    token: str = ""
    ca: str = ""

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        tries: int = 1,
    ) -> ApiAnswer:
        """Send a request and return the answer; ends the program on failure.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON value of the body, or None.
            headers: Headers besides the token.
            tries: How often to send it while the outcome is not known; more than
                once only for what the entries recognize by its key.
        """
        return self.run(lambda: self._repeat(method, path, body, headers or {}, tries))

    async def _repeat(
        self, method: str, path: str, body: Any, headers: dict[str, str], tries: int
    ) -> ApiAnswer:
        lost: Exception | None = None
        for left in reversed(range(tries)):
            pause_ms = RETRY_MS
            try:
                answer = await self._call(method, path, body, headers)
                if not left or not _is_open(answer):
                    return answer
                pause_ms = answer.body.get("retry_after_ms", RETRY_MS)
            except aiohttp.ClientConnectorError:
                # An earlier try may have been received although its answer was lost.
                if not left and lost is not None:
                    raise lost from None
                if not left:
                    raise
            except (aiohttp.ClientError, ValueError) as error:
                lost = error
                if not left:
                    raise
            await asyncio.sleep(pause_ms / 1_000)
        raise AssertionError("there is at least one try")

    def run(self, make: Callable[[], Any]) -> Any:
        """Run a coroutine; a failed connection ends the program with one line."""
        try:
            return asyncio.run(make())
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            fail(ExitCode.UNREACHABLE, f"no entry can be reached: {error}")
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            text = str(error) or type(error).__name__
            fail(ExitCode.UNKNOWN, f"the answer was lost, its outcome is open: {text}")

    def session(self) -> aiohttp.ClientSession:
        """Return a session with the token and the limits of time."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=TOTAL_S, sock_connect=CONNECT_S)
        tls: Any = ssl.create_default_context(cafile=self.ca) if self.ca else True
        connector = aiohttp.TCPConnector(ssl=tls)
        return aiohttp.ClientSession(
            headers=headers, timeout=timeout, connector=connector
        )

    async def _call(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> ApiAnswer:
        async with self.session() as session:
            response = await self.open(session, method, path, body, headers)
            async with response:
                return await read_answer(response)

    async def open(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> aiohttp.ClientResponse:
        """Return the response of the first server that takes a connection."""
        for number, server in enumerate(self.servers, 1):
            try:
                # Nothing was sent if no connection was made, so another try is safe.
                return await session.request(
                    method, server.rstrip("/") + path, json=body, headers=headers
                )
            except aiohttp.ClientConnectorError:
                if number == len(self.servers):
                    raise
        raise AssertionError("there is at least one server")


def _is_open(answer: ApiAnswer) -> bool:
    """Whether another try may tell the outcome."""
    open_state = isinstance(answer.body, dict) and answer.body.get("state") == "unknown"
    return open_state and (answer.status < 400 or answer.status >= 500)


async def read_answer(response: aiohttp.ClientResponse) -> ApiAnswer:
    """Return the JSON value, or the values of the JSON lines, of a response.

    Raises:
        ValueError: If the body is neither.
    """
    if response.content_type == "application/x-ndjson":
        return ApiAnswer(response.status, [line async for line in lines_of(response)])
    text = await response.text()
    try:
        return ApiAnswer(response.status, json.loads(text))
    except ValueError:
        raise ValueError(f"answer {response.status} is not JSON") from None


async def lines_of(response: aiohttp.ClientResponse) -> AsyncIterator[Any]:
    """Yield the values of JSON lines of any length as they arrive."""
    rest = b""
    async for chunk in response.content.iter_any():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield json.loads(line)


def client_options(command: Callable[..., Value]) -> Callable[..., Value]:
    """Add the options of the server to a command, which gets `client`."""

    @wraps(command)
    def with_client(server: str, token: str, ca: str, **arguments: Any) -> Value:
        servers = tuple(server.replace(",", " ").split()) or (DEFAULT_SERVER,)
        return command(client=ApiClient(servers, token, ca), **arguments)

    for option in (
        click.option("--ca", envvar="CATKINCROSS_CA", default="", help="CA file."),
        click.option(
            "--token",
            envvar="CATKINCROSS_TOKEN",
            default="",
            help="Bearer token for changes.",
        ),
        click.option(
            "--server",
            envvar="CATKINCROSS_SERVER",
            default=DEFAULT_SERVER,
            show_default=True,
            help="URL of an entry; several are tried in order.",
        ),
    ):
        with_client = option(with_client)
    return with_client
