"""Small stand-ins for the outside systems, used by tests and the bench."""
