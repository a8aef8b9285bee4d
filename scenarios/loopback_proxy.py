"""A TCP proxy on loopback that cuts, refuses or silences connections."""

from __future__ import annotations

import asyncio
import enum

import attrs

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What a proxy does with its connections."""

    PASS = "pass"
    # Open connections are reset and new ones are closed at once.
    CUT = "cut"
    # Connections stay open, and nothing passes.
    SILENT = "silent"


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to an address on loopback.

    Attributes:
        target: `IP:port` that it forwards to.
        address: `IP:port` on which it listens, once started.
        mode: What it does.
    """

    target: str
    address: str = ""
    mode: Mode = Mode.PASS
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
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
            for writer in self._writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.CUT:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down; its caller sees a closed connection.
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        self._writers -= ends

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                # Bytes that arrive while it is silent are lost with the connection.
                if self.mode is Mode.PASS:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # A reset on either side ends both.
            writer.transport.abort()
        finally:
            writer.close()
