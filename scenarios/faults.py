"""Faults of the matrix; each acts on the event at which it is injected."""

from __future__ import annotations

from collections.abc import Callable

from catkincross.ids import split_process
from catkincross.records import ResourcePut

from .driver import MESSAGE_DELAY_MS, Driver

FREEZE_MS = 1_500
LAPSE_MS = 9_000
CUT_MS = 8_000
OUTAGE_MS = 6_000
RESTART_MS = 3_000
LINK_DELAY_MS = 700

# A fault `(driver, process, other)`; it returns the delays of the copies of the
# message at which it was injected, or None to leave the message as it is.
Fault = Callable[[Driver, str, str], list[int] | None]
FAULTS: dict[str, Fault] = {}
NEEDS_MESSAGE = {"kill receiver", "freeze receiver", "cut", "delay", "lose message"}
NEEDS_MESSAGE |= {"duplicate", "reorder", "pause receiver past its lease"}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under the name that the matrix prints."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def restart(driver: Driver, process: str) -> None:
    """Start a killed process anew, as its replacement under the same name."""
    settings = driver.nodes[process].core.state.settings
    role, name = split_process(process)
    if role == "entry":
        driver.add_entry(name, settings.data_centre)
    else:
        driver.add_agent(name, settings.data_centre, service=settings.service)


def _kill(driver: Driver, process: str) -> None:
    driver.kill(process)
    driver.at(driver.now_ms + RESTART_MS, lambda: restart(driver, process))


def _pause(driver: Driver, process: str, duration_ms: int) -> None:
    driver.pause(process)
    driver.at(driver.now_ms + duration_ms, lambda: driver.resume(process))


@fault("none")
def _none(driver: Driver, process: str, other: str) -> list[int] | None:
    return None


@fault("kill sender")
def _kill_sender(driver: Driver, process: str, other: str) -> list[int] | None:
    _kill(driver, process)
    return None


@fault("kill receiver")
def _kill_receiver(driver: Driver, process: str, other: str) -> list[int] | None:
    _kill(driver, other)
    return None


@fault("freeze sender")
def _freeze_sender(driver: Driver, process: str, other: str) -> list[int] | None:
    _pause(driver, process, FREEZE_MS)
    return None


@fault("freeze receiver")
def _freeze_receiver(driver: Driver, process: str, other: str) -> list[int] | None:
    _pause(driver, other, FREEZE_MS)
    return None


@fault("pause sender past its lease")
def _lapse_sender(driver: Driver, process: str, other: str) -> list[int] | None:
    _pause(driver, process, LAPSE_MS)
    return None


@fault("pause receiver past its lease")
def _lapse_receiver(driver: Driver, process: str, other: str) -> list[int] | None:
    _pause(driver, other, LAPSE_MS)
    return None


@fault("cut")
def _cut(driver: Driver, process: str, other: str) -> list[int] | None:
    driver.cut(process, other)
    driver.at(driver.now_ms + CUT_MS, driver.heal)
    return None


@fault("cut from log and entries")
def _isolate(driver: Driver, process: str, other: str) -> list[int] | None:
    for node in list(driver.nodes):
        if node != process and node.startswith("entry/"):
            driver.cut(process, node)
    driver.log_cut.add(process)
    driver.at(driver.now_ms + CUT_MS, driver.heal)
    return None


@fault("delay")
def _delay(driver: Driver, process: str, other: str) -> list[int] | None:
    usual = driver.route

    def slow(sender: str, to: str, message: object) -> list[int]:
        delays = usual(sender, to, message)
        if {sender, to} != {process, other}:
            return delays
        return [delay_ms + LINK_DELAY_MS for delay_ms in delays]

    driver.route = slow
    driver.at(driver.now_ms + CUT_MS, lambda: setattr(driver, "route", usual))
    return [MESSAGE_DELAY_MS + LINK_DELAY_MS]


@fault("lose message")
def _lose(driver: Driver, process: str, other: str) -> list[int] | None:
    # A stream loses messages only when it breaks.
    driver.at(driver.now_ms, lambda: driver.break_stream(process, other))
    return []


@fault("duplicate")
def _duplicate(driver: Driver, process: str, other: str) -> list[int] | None:
    return [MESSAGE_DELAY_MS, MESSAGE_DELAY_MS + 40, MESSAGE_DELAY_MS + 400]


@fault("reorder")
def _reorder(driver: Driver, process: str, other: str) -> list[int] | None:
    return [MESSAGE_DELAY_MS + 60]


@fault("log down")
def _log_down(driver: Driver, process: str, other: str) -> list[int] | None:
    driver.log_down = True
    driver.at(driver.now_ms + OUTAGE_MS, lambda: setattr(driver, "log_down", False))
    return None


@fault("log slow")
def _log_slow(driver: Driver, process: str, other: str) -> list[int] | None:
    usual_ms, driver.log_delay_ms = driver.log_delay_ms, 1_200
    driver.at(
        driver.now_ms + OUTAGE_MS, lambda: setattr(driver, "log_delay_ms", usual_ms)
    )
    return None


@fault("append answer lost")
def _append_answer_lost(driver: Driver, process: str, other: str) -> list[int] | None:
    driver.lose_append_answers += 1
    return None


@fault("operator race")
def _operator_race(driver: Driver, process: str, other: str) -> list[int] | None:
    for entry in ("e1", "e3"):
        node = driver.nodes[f"entry/{entry}"]
        if node.alive and node.core.state.incarnation is not None:
            body = ResourcePut("datacentres", "perth", 0, {"drain": True})
            driver.change(entry, body)
    return None


def _both(first: str, second: str) -> None:
    def both(driver: Driver, process: str, other: str) -> list[int] | None:
        delays = FAULTS[first](driver, process, other)
        more = FAULTS[second](driver, process, other)
        return delays if delays is not None else more

    FAULTS[f"{first} + {second}"] = both
    if {first, second} & NEEDS_MESSAGE:
        NEEDS_MESSAGE.add(f"{first} + {second}")


_both("kill sender", "log down")
_both("kill receiver", "log down")
_both("kill sender", "kill receiver")
_both("pause sender past its lease", "kill receiver")
_both("append answer lost", "kill sender")
_both("duplicate", "freeze receiver")
_both("log slow", "operator race")
