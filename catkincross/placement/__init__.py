"""Choice of an upstream: fit, forecast of slots, and the placement policies."""
