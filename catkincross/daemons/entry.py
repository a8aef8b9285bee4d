"""Console main of the entry on the platform."""

from __future__ import annotations

from ._early import open_listening_sockets


def main() -> None:
    """Run the entry process."""
    sockets = open_listening_sockets("entry")
    # Imported after the sockets listen: the imports take most of the start.
    from ._entry import EntryDaemon
    from ._run import run

    run("entry", EntryDaemon, sockets)


if __name__ == "__main__":
    main()
