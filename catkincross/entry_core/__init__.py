"""Decision core of an entry: arrival, owner and home roles, membership, recovery."""
