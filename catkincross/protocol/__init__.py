"""Messages, control records, inbox events and effects, with their encodings."""
