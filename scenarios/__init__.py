"""In-memory driver of the decision cores and test entry points."""
