"""Console main of the agent on the platform."""

from __future__ import annotations

from ._agent import AgentDaemon
from ._run import run


def main() -> None:
    """Run the agent process."""
    run("agent", AgentDaemon)


if __name__ == "__main__":
    main()
