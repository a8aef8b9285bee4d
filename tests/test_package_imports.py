"""Guards against circular imports between the packages."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent / "catkincross"
# Each package may import only packages that precede it.
ORDER = (
    "foundation",
    "http11",
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
    """Return the packages in `ORDER` that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.level == 2 and node.module:
            found.add(node.module.split(".")[0])
    return found & set(ORDER)


def test_packages_import_one_way() -> None:
    """Packages in a circle cannot be read or tested one without the other."""
    violations = []
    for position, package in enumerate(ORDER):
        for path in sorted((ROOT / package).glob("*.py")):
            later = imported_packages(path) & set(ORDER[position + 1 :])
            violations.extend(f"{package}/{path.name} imports {name}" for name in later)
    assert violations == []


def test_no_private_module_lies_outside_the_packages() -> None:
    """A flat folder, once of 140 modules, hides which module makes a decision."""
    outside = {path.name for path in ROOT.glob("_*.py")} - {"__init__.py"}
    assert outside == set()
    packages = {path.parent.name for path in ROOT.glob("*/__init__.py")}
    assert packages - {"wire_pb"} == set(ORDER)


def test_owner_and_workers_do_not_import_each_other() -> None:
    """The two sides of the protocol between entry and agent share its messages only."""
    for package, other in (("owner", "workers"), ("workers", "owner")):
        for path in (ROOT / package).glob("*.py"):
            assert other not in imported_packages(path)
