"""Console main of the entry on the platform."""

from __future__ import annotations

from ._entry import EntryDaemon
from ._run import run


def main() -> None:
    """Run the entry process."""
    run("entry", EntryDaemon)


if __name__ == "__main__":
    main()
