"""Stand-ins and helpers of the second review; only the standard library is used."""
