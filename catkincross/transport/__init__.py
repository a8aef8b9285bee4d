"""Connections: streams between processes, HTTP server and clients."""
