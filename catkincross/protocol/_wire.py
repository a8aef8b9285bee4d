"""Conversion of messages to protobuf frames and back.

The converters are built once for each class from its attrs fields and the
protobuf message of the same name.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from ..wire_pb import catkincross_pb2 as pb
from . import _messages

Encoder = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


def _value_encoder(kind: Any) -> Encoder:
    if get_origin(kind) is list:
        item = _value_encoder(get_args(kind)[0])
        if item is _identity:
            return _identity
        return lambda values: [item(value) for value in values]
    if attrs.has(kind):
        return _message_encoder(kind)
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return str
    return _identity


def _value_decoder(kind: Any) -> Encoder:
    if get_origin(kind) is list:
        item = _value_decoder(get_args(kind)[0])
        return lambda values: [item(value) for value in values]
    if attrs.has(kind):
        return _message_decoder(kind)
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return kind
    return _identity


@cache
def _message_encoder(kind: type) -> Encoder:
    hints = get_type_hints(kind)
    fields = [(f.name, _value_encoder(hints[f.name])) for f in attrs.fields(kind)]
    target = getattr(pb, kind.__name__)

    def encode(message: Any) -> Any:
        return target(
            **{name: convert(getattr(message, name)) for name, convert in fields}
        )

    return encode


@cache
def _message_decoder(kind: type) -> Encoder:
    hints = get_type_hints(kind)
    fields = [(f.name, _value_decoder(hints[f.name])) for f in attrs.fields(kind)]

    def decode(message: Any) -> Any:
        return kind(
            **{name: convert(getattr(message, name)) for name, convert in fields}
        )

    return decode


def _field_name(kind: type) -> str:
    name = kind.__name__
    return "".join(
        f"_{letter.lower()}" if letter.isupper() and position else letter.lower()
        for position, letter in enumerate(name)
    )


MESSAGE_TYPES: dict[str, type] = {
    _field_name(kind): kind for kind in get_args(_messages.Message)
}
FIELD_NAMES: dict[type, str] = {kind: name for name, kind in MESSAGE_TYPES.items()}


def encode_frame(messages: Sequence[_messages.Message]) -> pb.Frame:
    """Return the wire form of a batch of messages."""
    frame = pb.Frame()
    for message in messages:
        kind = type(message)
        envelope = {FIELD_NAMES[kind]: _message_encoder(kind)(message)}
        frame.messages.append(pb.Envelope(**envelope))
    return frame


def decode_frame(frame: pb.Frame) -> list[_messages.Message]:
    """Return the messages of a frame.

    Messages of a kind that this version does not know are left out.
    """
    decoded = []
    for envelope in frame.messages:
        name = envelope.WhichOneof("message")
        if name is not None:
            kind = MESSAGE_TYPES[name]
            decoded.append(_message_decoder(kind)(getattr(envelope, name)))
    return decoded
