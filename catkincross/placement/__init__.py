"""Placement of tasks on upstreams: fit, slot forecast and placement policies."""
