"""Console entry point of the entry daemon on the platform."""

from __future__ import annotations

import signal

from ._early_listeners import open_listening_sockets


def main() -> None:
    """Run the entry process."""
    # The settings are read after this, so a reload that is asked for now is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sockets = open_listening_sockets("entry")
    # The imports take most of the startup time, so the sockets listen before them.
    from ._entry import EntryDaemon
    from ._run import run

    run("entry", EntryDaemon, sockets)


if __name__ == "__main__":
    main()
