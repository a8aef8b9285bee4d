"""gRPC streams between the processes of the system.

An agent opens a stream to its home entry, and both sides write to it. Two entries
open a stream to each other, and each writes only to the stream that it opened.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc

from ..protocol._effects import Connected, Disconnected, Received
from ..protocol._messages import Message
from ..settings._settings import TlsSettings
from ..wire_pb import catkincross_pb2_grpc as pb_grpc
from ._outbox import Outbox
from ._stream_link import Link
from ._stream_server import StreamServicer

COMMON_OPTIONS = [
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    # A host that fails does not close its connections; only pings detect it.
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
]
CHANNEL_OPTIONS = [
    *COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
]
SERVER_OPTIONS = [
    *COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
]


class Transport:
    """Opens and serves the streams of one process.

    Args:
        process: Process name, such as `entry/e1`.
        make_hello: Builds the first message of a stream, which names this process.
        post: Takes `Connected`, `Disconnected` and `Received` items.
        tls: Files for encrypted connections.
        seed: Seed of the retry jitter.

    Attributes:
        links: Link to each address, open or not, by the name that `set_peers` gave it.
        open_links: Link of each open stream that this process opened, by the
            process name that the server gave.
        closing_tasks: Tasks of closed links that still write waiting messages.
        closed: Whether `close` was called.
    """

    def __init__(
        self,
        *,
        process: str,
        make_hello: Callable[[], Message],
        post: Callable[[Any], None],
        tls: TlsSettings,
        seed: int,
    ) -> None:
        self.process = process
        self.make_hello = make_hello
        self.post = post
        self.tls = tls
        self.rng = random.Random(seed)
        self.servicer = StreamServicer(process, post)
        self.server: grpc.aio.Server | None = None
        self.links: dict[str, Link] = {}
        self.open_links: dict[str, Link] = {}
        self.closing_tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    async def serve(self, address: str) -> str:
        """Start the server for streams that other processes open.

        Args:
            address: `IP:port`; with port 0 the system chooses a free port.

        Returns:
            `IP:port` with the actual port.
        """
        server = grpc.aio.server(options=SERVER_OPTIONS)
        pb_grpc.add_ExchangeServicer_to_server(self.servicer, server)
        if self.tls.certificate:
            port = server.add_secure_port(address, self._server_credentials())
        else:
            port = server.add_insecure_port(address)
        await server.start()
        self.server = server
        return f"{address.rpartition(':')[0]}:{port}"

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Keep streams open to these processes and close all others.

        Args:
            addresses: Address by process name; a name that starts with `seed/`
                accepts any process at the address.
        """
        # `close` reports closed streams, and the core then sets the peers again.
        if self.closed:
            return
        for key in list(self.links):
            link = self.links[key]
            if addresses.get(key) != link.address:
                self._release_link(key, wanted=addresses)
        for process, address in addresses.items():
            if process not in self.links and process != self.process:
                expected = "" if process.startswith("seed/") else process
                self.links[process] = Link(self, expected, address, self.rng)

    def _release_link(self, key: str, *, wanted: dict[str, str]) -> None:
        """Close a link, or keep it under its process's name if that is wanted.

        Args:
            key: Name of the link in `links`.
            wanted: Wanted address by process name.
        """
        link = self.links.pop(key)
        process = link.process
        # A stream opened through a seed address is kept under the name of its process.
        if wanted.get(process) == link.address and process not in self.links:
            self.links[process] = link
            return
        link.close()
        self._remove_open_link(link)
        if not link.task.done():
            self.closing_tasks.add(link.task)
            link.task.add_done_callback(self.closing_tasks.discard)

    def send(self, to: str, message: Message) -> None:
        """Send a message; it is dropped if no stream to the process is open."""
        outbox = self._outbox(to)
        if outbox is not None:
            outbox.put(message)

    def _outbox(self, process: str) -> Outbox | None:
        link = self.open_links.get(process)
        if link is not None:
            return link.outbox
        if process.startswith("agent/"):
            return self.servicer.outboxes.get(process)
        return None

    def reserve_process(self, link: Link, process: str) -> bool:
        """Reject a second stream to a process, or one to this process."""
        if process in self.open_links or process == self.process:
            return False
        link.process = process
        self.open_links[process] = link
        return True

    def link_opened(self, link: Link) -> None:
        """Post `Connected`, unless the link was released meanwhile."""
        if self.open_links.get(link.process) is link:
            link.announced = True
            self.post(Connected(link.process))

    def link_closed(self, link: Link, refused: bool) -> None:
        """Post `Disconnected` for a stream that ended or could not be opened."""
        if self._remove_open_link(link, refused=refused):
            return
        if link.process and not link.closing and link.process not in self.open_links:
            self.post(Disconnected(link.process, refused))

    def _remove_open_link(self, link: Link, *, refused: bool = False) -> bool:
        if self.open_links.get(link.process) is not link:
            return False
        del self.open_links[link.process]
        announced, link.announced = link.announced, False
        if announced:
            self.post(Disconnected(link.process, refused))
        return announced

    def link_received(self, link: Link, messages: list[Message]) -> None:
        """Post messages of a stream that this process opened."""
        for message in messages:
            self.post(Received(link.process, message))

    async def close(self, timeout_s: float) -> None:
        """End all streams once waiting messages are written.

        Args:
            timeout_s: Time for the streams that this process opened, in seconds; the
                streams that it serves then get the same time again.
        """
        self.closed = True
        for key in list(self.links):
            self._release_link(key, wanted={})
        self.servicer.close()
        if self.closing_tasks:
            _, unfinished = await asyncio.wait(
                set(self.closing_tasks), timeout=timeout_s
            )
            for task in unfinished:
                task.cancel()
        if self.server is not None:
            await self.server.stop(timeout_s)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return a new channel to an address."""
        if not self.tls.certificate:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            root_certificates=Path(self.tls.ca).read_bytes(),
            private_key=Path(self.tls.key).read_bytes(),
            certificate_chain=Path(self.tls.certificate).read_bytes(),
        )
        return grpc.aio.secure_channel(address, credentials, options=CHANNEL_OPTIONS)

    def _server_credentials(self) -> grpc.ServerCredentials:
        key_and_certificate = (
            Path(self.tls.key).read_bytes(),
            Path(self.tls.certificate).read_bytes(),
        )
        return grpc.ssl_server_credentials(
            [key_and_certificate],
            root_certificates=Path(self.tls.ca).read_bytes(),
            require_client_auth=True,
        )
