"""Console main of the agent on the platform."""

from __future__ import annotations

from ._early import open_listening_sockets


def main() -> None:
    """Run the agent process."""
    sockets = open_listening_sockets("agent")
    # Imported after the sockets listen: the imports take most of the start.
    from ._agent import AgentDaemon
    from ._run import run

    run("agent", AgentDaemon, sockets)


if __name__ == "__main__":
    main()
