"""Base layer of all packages: clock, process and task IDs, tables, core registry."""
