"""gRPC streams between processes, the HTTP server, and clients of other services."""
