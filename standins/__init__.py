"""Stand-ins for external systems, used by tests, the demo and the benchmarks."""
