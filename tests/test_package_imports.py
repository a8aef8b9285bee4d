"""Guards against import circles between the packages."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "catkincross"
# Each package may import those before it.
ORDER = (
    "foundation",
    "protocol",
    "placement",
    "settings",
    "resources",
    "policies",
    "agent_core",
    "entry_core",
    "transport",
    "observability",
    "http_api",
    "programs",
    "command_line",
    "jobs",
    "operations",
    "peers",
    "dispatch",
    "owner",
    "workers",
    "platform",
    "daemons",
)


def imported_packages(path: Path) -> set[str]:
    """Return the packages of the list that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.level == 2 and node.module:
            found.add(node.module.split(".")[0])
    return found & set(ORDER)


def test_packages_import_one_way() -> None:
    """A circle makes it impossible to read or test one package without another."""
    wrong = []
    for place, package in enumerate(ORDER):
        for path in sorted((ROOT / package).glob("*.py")):
            later = imported_packages(path) & set(ORDER[place + 1 :])
            wrong.extend(f"{package}/{path.name} imports {name}" for name in later)
    assert wrong == []


def test_no_private_module_lies_outside_the_packages() -> None:
    """A flat folder of 140 modules hid where a decision is made."""
    flat = {path.name for path in ROOT.glob("_*.py")} - {"__init__.py"}
    assert flat == set()
    packages = {path.parent.name for path in ROOT.glob("*/__init__.py")}
    assert packages - {"wire_pb"} == set(ORDER)


def test_the_owner_and_the_worker_do_not_know_each_other() -> None:
    """Both sides of the protocol between entry and agent meet in messages only."""
    for package, other in (("owner", "workers"), ("workers", "owner")):
        for path in (ROOT / package).glob("*.py"):
            assert other not in imported_packages(path)
