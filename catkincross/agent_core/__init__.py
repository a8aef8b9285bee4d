"""Decisions of an agent."""
