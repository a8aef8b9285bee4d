"""HTTP applications in front of the cores of a driver, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from catkincross.effects import CallerGone
from catkincross.entry_core._entry_state import EntryState
from catkincross.http_api._gateway import EntryGateway
from catkincross.http_api._http_app import build_app
from catkincross.ids import entry_process

from .asgi import Answer, call
from .driver import Driver


class DriverGateway(EntryGateway):
    """An entry of a driver; waiting runs the driver.

    Args:
        driver: The driver.
        entry: Name of the entry.
    """

    def __init__(self, driver: Driver, entry: str) -> None:
        self.driver = driver
        self.node = driver.nodes[entry_process(entry)]

    @property
    def state(self) -> EntryState:  # type: ignore[override]
        """The entry's state."""
        return self.node.core.state

    async def request(self, make_item: Callable[[int], Any], *, timeout_ms: int) -> Any:
        """Post an item and run until its reply; see `EntryGateway`."""
        driver = self.driver
        driver.next_request += 1
        request_id = driver.next_request
        driver.deliver(self.node, make_item(request_id))
        driver.run_until(lambda: self._reply(request_id), limit_ms=timeout_ms)
        reply = self._reply(request_id)
        if reply is None:
            driver.deliver(self.node, CallerGone(request_id))
        return reply

    def _reply(self, request_id: int) -> Any:
        answer = self.driver.answers.get(request_id)
        return answer or self.driver.change_replies.get(request_id)

    async def wait_for_version_change(self, version: int, *, timeout_ms: int) -> int:
        """Run until the control version differs; see `EntryGateway`."""
        control = self.state.control
        self.driver.run_until(lambda: control.version != version, limit_ms=timeout_ms)
        return control.version


def call_entry(
    driver: Driver, entry: str, method: str, target: str, *arguments: Any
) -> Answer:
    """Send a request to an entry of a driver; see `call` for the arguments."""
    gateway = DriverGateway(driver, entry)
    app = build_app(gateway, gateway.state.settings)
    return call(app, method, target, *arguments)
