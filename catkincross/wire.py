"""Encoding of messages on the wire."""

from __future__ import annotations

from .protocol._wire import decode_frame, encode_frame

__all__ = ["decode_frame", "encode_frame"]
