"""The list of tests with a known fault, `KNOWN-RED.txt`."""

from __future__ import annotations

from pathlib import Path

import attrs

FIELDS = ("test", "command", "seed", "seen", "issue")


@attrs.frozen
class KnownRed:
    """A test that fails because of a fault that is not yet fixed."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries of a list; blank lines separate them.

    Args:
        path: The file; lines are `field: text`, and `#` starts a comment.

    Raises:
        ValueError: If an entry lacks a field or has one that is not known.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if not line.startswith("#")]
    blocks = "\n".join(lines).split("\n\n")
    return [_entry(block) for block in blocks if block.strip()]


def _entry(block: str) -> KnownRed:
    fields = {}
    for line in block.strip().splitlines():
        name, _, text = line.partition(":")
        fields[name.strip()] = text.strip()
    missing = [name for name in FIELDS if not fields.get(name)]
    unknown = [name for name in fields if name not in FIELDS]
    if missing or unknown:
        raise ValueError(
            f"KNOWN-RED.txt: entry {fields.get('test', '?')!r}: "
            f"missing {missing}, unknown {unknown}"
        )
    return KnownRed(**fields)
