"""Decisions of an entry: arrival, owner and home of tasks, membership, recovery."""
