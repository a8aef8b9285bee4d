"""Conversion of messages to protobuf frames and back.

The converters of a class are built once, from its attrs fields and the protobuf
message of the same name.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from ..wire_pb import catkincross_pb2 as pb
from . import _messages

Converter = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


def _value_encoder(value_type: Any) -> Converter:
    if get_origin(value_type) is list:
        convert_item = _value_encoder(get_args(value_type)[0])
        if convert_item is _identity:
            return _identity
        return lambda values: [convert_item(value) for value in values]
    if attrs.has(value_type):
        return _message_encoder(value_type)
    if isinstance(value_type, type) and issubclass(value_type, StrEnum):
        return str
    return _identity


def _value_decoder(value_type: Any) -> Converter:
    if get_origin(value_type) is list:
        convert_item = _value_decoder(get_args(value_type)[0])
        return lambda values: [convert_item(value) for value in values]
    if attrs.has(value_type):
        return _message_decoder(value_type)
    if isinstance(value_type, type) and issubclass(value_type, StrEnum):
        return value_type
    return _identity


@cache
def _message_encoder(message_class: type) -> Converter:
    field_types = get_type_hints(message_class)
    fields = [
        (f.name, _value_encoder(field_types[f.name]))
        for f in attrs.fields(message_class)
    ]
    wire_class = getattr(pb, message_class.__name__)

    def encode(message: Any) -> Any:
        return wire_class(
            **{name: convert(getattr(message, name)) for name, convert in fields}
        )

    return encode


@cache
def _message_decoder(message_class: type) -> Converter:
    field_types = get_type_hints(message_class)
    fields = [
        (f.name, _value_decoder(field_types[f.name]))
        for f in attrs.fields(message_class)
    ]

    def decode(message: Any) -> Any:
        return message_class(
            **{name: convert(getattr(message, name)) for name, convert in fields}
        )

    return decode


def _envelope_field(message_class: type) -> str:
    name = message_class.__name__
    return "".join(
        f"_{letter.lower()}" if letter.isupper() and position else letter.lower()
        for position, letter in enumerate(name)
    )


CLASS_BY_FIELD: dict[str, type] = {
    _envelope_field(message_class): message_class
    for message_class in get_args(_messages.Message)
}
FIELD_BY_CLASS: dict[type, str] = {
    message_class: name for name, message_class in CLASS_BY_FIELD.items()
}


def encode_frame(messages: Sequence[_messages.Message]) -> pb.Frame:
    """Return the protobuf frame of a batch of messages."""
    frame = pb.Frame()
    for message in messages:
        message_class = type(message)
        envelope = {
            FIELD_BY_CLASS[message_class]: _message_encoder(message_class)(message)
        }
        frame.messages.append(pb.Envelope(**envelope))
    return frame


def decode_frame(frame: pb.Frame) -> list[_messages.Message]:
    """Return the messages of a frame.

    Messages of a class that this version does not know are skipped.
    """
    decoded = []
    for envelope in frame.messages:
        name = envelope.WhichOneof("message")
        if name is not None:
            message_class = CLASS_BY_FIELD[name]
            decoded.append(_message_decoder(message_class)(getattr(envelope, name)))
    return decoded
