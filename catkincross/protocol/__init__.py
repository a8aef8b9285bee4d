"""Messages, records and effects, and their bytes."""
