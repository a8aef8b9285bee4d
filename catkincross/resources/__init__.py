"""State that the log holds: resources, their fold, snapshots, and freshness."""
