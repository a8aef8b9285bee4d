"""What every other package builds on: clock, identities, tables, systems, hashing."""
