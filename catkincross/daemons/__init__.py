"""The entry and agent processes that run on the platform."""
