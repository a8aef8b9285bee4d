"""Proxies and gateways of a soak: silent, held and reset connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from scenarios import soak_process
from scenarios.loopback_proxy import Gateway, Proxy, Way

LIMIT_S = 5.0
# Time after which nothing more is expected, in seconds.
QUIET_S = 0.1
Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def with_echo(check: Callable[[str], Awaitable[None]]) -> None:
    """Run a check with the address of a server that sends back what it reads."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1_024):
            writer.write(data)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with asyncio.timeout(LIMIT_S):
            await check(f"{host}:{port}")
        server.close()

    asyncio.run(run())


async def connect(proxy: Proxy) -> Ends:
    """Open a connection to a proxy."""
    host, _, port = proxy.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def answers(ends: Ends, text: bytes) -> bool:
    """Send a text; return whether it came back."""
    reader, writer = ends
    writer.write(text)
    try:
        async with asyncio.timeout(QUIET_S):
            return await reader.readexactly(len(text)) == text
    except TimeoutError:
        return False


def test_a_silent_connection_stays_open_while_new_ones_work() -> None:
    """A reset at the end of the silence showed what only a time limit may show."""

    async def check(address: str) -> None:
        proxy = Proxy(address)
        await proxy.start()
        old = await connect(proxy)
        assert await answers(old, b"one")
        proxy.silence()
        assert not await answers(old, b"two")
        assert not old[0].at_eof()
        assert await answers(await connect(proxy), b"three")
        await proxy.stop()

    with_echo(check)


@pytest.mark.parametrize("way", list(Way))
def test_held_bytes_arrive_in_order_after_the_release(way: Way) -> None:
    """Bytes that a partition held up were lost, or overtaken by later ones."""

    async def check(address: str) -> None:
        proxy = Proxy(address)
        await proxy.start()
        ends = await connect(proxy)
        assert await answers(ends, b"one")
        proxy.hold({(address, way)})
        assert not await answers(ends, b"two")
        ends[1].write(b"three")
        proxy.release({(address, way)})
        assert await ends[0].readexactly(8) == b"twothree"
        await proxy.stop()

    with_echo(check)


def test_a_process_reaches_other_processes_by_its_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without a gateway for each process, no link could be disturbed by itself."""

    async def check(address: str) -> None:
        gateway = Gateway()
        await gateway.start()
        monkeypatch.setenv(soak_process.GATEWAY_VARIABLE, gateway.address)
        monkeypatch.setenv(soak_process.DIRECT_VARIABLE, "")
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        reader = asyncio.StreamReader()
        transport, _ = await soak_process.connect_by_gateway(
            loop, lambda: asyncio.StreamReaderProtocol(reader), host, int(port)
        )
        transport.write(b"one")
        assert await reader.readexactly(3) == b"one"
        assert [channel.target for channel in gateway.channels] == [address]
        gateway.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        await gateway.stop()

    with_echo(check)


def test_a_process_that_is_down_refuses_connections_by_the_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection that seemed to open and closed at once looked like a lost link."""

    async def check(_: str) -> None:
        gateway = Gateway()
        await gateway.start()
        monkeypatch.setenv(soak_process.GATEWAY_VARIABLE, gateway.address)
        monkeypatch.setenv(soak_process.DIRECT_VARIABLE, "")
        loop = asyncio.get_running_loop()
        with pytest.raises(ConnectionError):
            await soak_process.connect_by_gateway(
                loop, asyncio.Protocol, "127.0.0.1", 1
            )
        await gateway.stop()

    with_echo(check)
