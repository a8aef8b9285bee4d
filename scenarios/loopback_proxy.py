"""TCP proxies on loopback that reset, refuse, silence, hold or delay connections."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import struct

import attrs

CHUNK_BYTES = 65_536
# Answer of a gateway once the connection to the target is open.
CONNECTED = b"+"
BUSY_ANSWER = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Mode(enum.Enum):
    """What a proxy does with its connections."""

    PASS = "pass"
    # Open connections are reset and new ones are closed at once.
    CUT = "cut"
    # Connections stay open, and nothing passes.
    SILENT = "silent"
    # HTTP requests are answered with 503 and do not reach the target.
    BUSY = "busy"


class Way(enum.Enum):
    """Direction in which bytes pass."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other end sees a reset."""
    if not writer.transport.is_closing():
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@attrs.define(eq=False)
class Channel:
    """One forwarded connection.

    Attributes:
        target: `IP:port` to which it goes.
        near: Connection that the proxy has accepted.
        far: Connection that it has opened.
        silent: Whether nothing passes any more, neither bytes nor the end.
    """

    target: str
    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silent: bool = False

    def abort(self) -> None:
        """Reset both connections."""
        reset(self.near)
        reset(self.far)


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to an address on loopback.

    Attributes:
        target: `IP:port` that it forwards to.
        address: `IP:port` on which it listens, once started.
        mode: What it does.
        channels: Open channels.
        held: Targets and ways on which bytes wait, in order, until they are released.
        delay_s: Shortest and longest delay of the bytes of one read, in seconds.
    """

    target: str
    address: str = ""
    mode: Mode = Mode.PASS
    channels: set[Channel] = attrs.field(factory=set)
    held: set[tuple[str, Way]] = attrs.field(factory=set)
    delay_s: tuple[float, float] = (0.0, 0.0)
    _released: asyncio.Event = attrs.field(factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.set_mode(Mode.CUT)

    def set_mode(self, mode: Mode) -> None:
        """Change what it does, also for open connections."""
        self.mode = mode
        if mode is Mode.CUT:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for channel in self.channels:
            channel.abort()

    def silence(self) -> None:
        """Let all open connections be silent for good; new ones work."""
        for channel in self.channels:
            channel.silent = True

    def hold(self, ways: set[tuple[str, Way]]) -> None:
        """Hold back the bytes to or from targets."""
        self.held |= ways

    def release(self, ways: set[tuple[str, Way]]) -> None:
        """Let bytes that were held back pass in their order."""
        self.held -= ways
        self._released.set()
        self._released = asyncio.Event()

    async def _wait_until_released(self, *ways: tuple[str, Way]) -> None:
        while self.held.intersection(ways):
            await self._released.wait()

    async def _open(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """Open the connection to the target.

        Raises:
            OSError: If the target is down.
        """
        return self.target, *await self._connect(self.target)

    async def _connect(
        self, target: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        await self._wait_until_released(*((target, way) for way in Way))
        host, _, port = target.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.CUT:
            writer.transport.abort()
            return
        try:
            target, far_reader, far = await self._open(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The target is down; its caller sees a closed connection.
            writer.transport.abort()
            return
        channel = Channel(target, writer, far)
        self.channels.add(channel)
        await asyncio.gather(
            self._pump(channel, Way.TO_TARGET, reader, far),
            self._pump(channel, Way.FROM_TARGET, far_reader, writer),
        )
        self.channels.discard(channel)
        channel.abort()

    async def _pump(
        self,
        channel: Channel,
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        key = channel.target, way
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s[1]:
                    await asyncio.sleep(random.uniform(*self.delay_s))
                if key in self.held:
                    await self._wait_until_released(key)
                # Bytes that arrive while it is silent are lost with the connection.
                if self.mode is Mode.SILENT or channel.silent:
                    continue
                if self.mode is Mode.BUSY and way is Way.TO_TARGET:
                    channel.near.write(BUSY_ANSWER)
                else:
                    writer.write(data)
                    await writer.drain()
            await self._wait_until_released(key)
        except OSError:
            # A reset on either side ends both.
            if not channel.silent:
                reset(writer)
        finally:
            if not channel.silent:
                writer.close()


@attrs.define(eq=False)
class Gateway(Proxy):
    """Forwards all connections that one process opens, each to its own target.

    The process names the target in a first line, and waits for the answer.
    """

    target: str = ""

    async def _open(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        target = (await reader.readuntil()).decode().strip()
        far_reader, far = await self._connect(target)
        writer.write(CONNECTED)
        return target, far_reader, far
