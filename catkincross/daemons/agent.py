"""Console main of the agent on the platform."""

from __future__ import annotations

from ._early import listen_early_as


def main() -> None:
    """Run the agent process."""
    sockets = listen_early_as("agent")
    # Imported after the sockets listen: the imports take most of the start.
    from ._agent import AgentDaemon
    from ._run import run

    run("agent", AgentDaemon, sockets)


if __name__ == "__main__":
    main()
