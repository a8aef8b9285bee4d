"""Control state folded from the log: resources, membership and snapshots."""
