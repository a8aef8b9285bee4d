"""Decision core of an agent: membership, choice of a home, starts and results."""
