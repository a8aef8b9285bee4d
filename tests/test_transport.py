"""Guards against streams that lose messages or end each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from catkincross.effects import Connected, Disconnected, Received
from catkincross.ids import Incarnation
from catkincross.messages import (
    NO_EVIDENCE,
    AgentHello,
    CancelTasks,
    HeartbeatReply,
    Message,
    PeerHeartbeat,
)
from catkincross.settings import TlsSettings
from catkincross.transport._transport import Transport

TIMEOUT_S = 20.0


@attrs.define
class Endpoint:
    """A transport and the items that it posted."""

    transport: Transport
    posted: list[Any]

    def posted_of(self, *kinds: type) -> list[Any]:
        """Return the posted items of the given types."""
        return [item for item in self.posted if isinstance(item, kinds)]

    def messages(self) -> list[Message]:
        """Return the received messages."""
        return [item.message for item in self.posted_of(Received)]


def make_endpoint(process: str) -> Endpoint:
    role, _, name = process.partition("/")
    posted: list[Any] = []
    first_message = make_agent_hello(name) if role == "agent" else make_heartbeat(name)
    transport = Transport(
        process=process,
        make_hello=lambda: first_message,
        post=posted.append,
        tls=TlsSettings(),
        seed=1,
    )
    return Endpoint(transport, posted)


def make_agent_hello(name: str) -> AgentHello:
    return AgentHello(
        Incarnation(name, 1), name, "s", "r1", "d1", "", 1, 1, 1, 1, 0, 0, 0
    )


def make_heartbeat(name: str) -> PeerHeartbeat:
    return PeerHeartbeat(Incarnation(name, 1), 0, NO_EVIDENCE, 0, 0, False, NO_EVIDENCE)


def make_reply(number: int) -> HeartbeatReply:
    return HeartbeatReply(Incarnation("e1", 1), number, 0, 0)


async def wait_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_second_link_to_a_process_does_not_end_its_stream() -> None:
    """Streams must not end each other if a seed address leads to the home entry."""

    async def run() -> None:
        entry, agent = make_endpoint("entry/e1"), make_endpoint("agent/u1")
        address = await entry.transport.serve("127.0.0.1:0")
        agent.transport.set_peers({"entry/e1": address})
        await wait_until(lambda: agent.posted_of(Connected))
        seeds = {f"seed/{number}": address for number in range(3)}
        agent.transport.set_peers({"entry/e1": address, **seeds})
        for number in range(200):
            entry.transport.send("agent/u1", make_reply(number))
            await asyncio.sleep(0.002)
        await wait_until(lambda: len(agent.messages()) == 200)
        assert agent.posted_of(Connected, Disconnected) == [Connected("entry/e1")]
        assert entry.posted_of(Connected, Disconnected) == [Connected("agent/u1")]
        await agent.transport.close(1.0)
        await entry.transport.close(1.0)

    asyncio.run(run())


def test_messages_sent_before_a_close_arrive() -> None:
    """The last results of a leaving agent must not be lost with its stream."""

    async def run() -> None:
        entry, agent = make_endpoint("entry/e1"), make_endpoint("agent/u1")
        address = await entry.transport.serve("127.0.0.1:0")
        agent.transport.set_peers({"entry/e1": address})
        await wait_until(lambda: agent.posted_of(Connected))
        for _ in range(3_000):
            agent.transport.send("entry/e1", CancelTasks([]))
        await agent.transport.close(TIMEOUT_S)
        assert len(entry.messages()) == 3_000
        await wait_until(lambda: entry.posted_of(Disconnected))
        await entry.transport.close(1.0)

    asyncio.run(run())


def test_a_message_sent_at_once_on_a_new_stream_arrives() -> None:
    """The server must not drop messages that follow the first one in its frame."""

    async def run() -> None:
        entry, agent = make_endpoint("entry/e1"), make_endpoint("agent/u1")
        address = await entry.transport.serve("127.0.0.1:0")

        def post(item: object) -> None:
            if isinstance(item, Connected):
                agent.transport.send(item.process, CancelTasks([]))

        agent.transport.post = post
        agent.transport.set_peers({"entry/e1": address})
        await wait_until(lambda: entry.messages() == [CancelTasks([])])
        await agent.transport.close(1.0)
        await entry.transport.close(1.0)

    asyncio.run(run())


def test_only_a_refused_connection_is_reported_as_refused() -> None:
    """Outage evidence relies on a refused connection to show that a process ended."""

    async def run() -> None:
        other, entry = make_endpoint("entry/e9"), make_endpoint("entry/e1")
        stopped = make_endpoint("entry/e3")
        address = await other.transport.serve("127.0.0.1:0")
        stopped_address = await stopped.transport.serve("127.0.0.1:0")
        await stopped.transport.close(0)
        entry.transport.set_peers({"entry/e2": address, "entry/e3": stopped_address})
        await wait_until(
            lambda: {item.process for item in entry.posted} >= EXPECTED_PROCESSES
        )
        states = {item.process: item for item in entry.posted_of(Disconnected)}
        assert states["entry/e2"].refused is False
        assert states["entry/e3"].refused is True
        assert entry.posted_of(Connected) == []
        await entry.transport.close(1.0)
        await other.transport.close(1.0)

    asyncio.run(run())


EXPECTED_PROCESSES = {"entry/e2", "entry/e3"}


def test_a_closed_transport_opens_no_stream() -> None:
    # `close` reports closed streams, and the core then sets the peers again. A link
    # opened then would keep the process from ending.
    async def run() -> None:
        endpoint = make_endpoint("agent/u1")
        await endpoint.transport.close(1)
        endpoint.transport.set_peers({"entry/e1": "127.0.0.1:9"})
        assert not endpoint.transport.links

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_a_stream_is_reported_only_once_the_server_has_it() -> None:
    """Messages to a process that reports its stream too early would be dropped."""

    async def run() -> None:
        entry, agent = make_endpoint("entry/e1"), make_endpoint("agent/u1")
        register = entry.transport.servicer._register_stream
        registered = asyncio.Event()

        def register_and_record(caller: str) -> Any:
            registered.set()
            return register(caller)

        entry.transport.servicer._register_stream = register_and_record
        serve_stream = entry.transport.servicer.Stream

        async def read_first_frame_late(requests: Any, context: Any) -> None:
            read = context.read

            class LateContext:
                def __getattr__(self, name: str) -> Any:
                    return getattr(context, name)

                async def read(self) -> Any:
                    if not registered.is_set():
                        await asyncio.sleep(0.2)
                    return await read()

            await serve_stream(requests, LateContext())

        entry.transport.servicer.Stream = read_first_frame_late
        address = await entry.transport.serve("127.0.0.1:0")
        agent.transport.set_peers({"entry/e1": address})
        await wait_until(lambda: agent.posted_of(Connected))
        assert registered.is_set()
        entry.transport.send("agent/u1", make_reply(1))
        await wait_until(lambda: len(agent.messages()) == 1)
        await agent.transport.close(1.0)
        await entry.transport.close(1.0)

    asyncio.run(run())
