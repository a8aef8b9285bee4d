"""Encoding of messages: the name of the class, and its fields by position."""

from __future__ import annotations

import operator
import typing
from typing import Any

import attrs
import msgspec

# Both modules fill the registry.
from . import _agent_messages as _agent_messages, _entry_messages as _entry_messages
from ._message_registry import MESSAGE_CLASSES


class MessageCodec:
    """Encodes the messages of one class as lists of their fields.

    Args:
        message_class: Class whose fields are encoded by position; a field may hold a
            list of parts, which are encoded in the same way.
    """

    def __init__(self, message_class: type[Any]) -> None:
        self.message_class = message_class
        fields = attrs.fields(attrs.resolve_types(message_class))
        self.values = operator.attrgetter(*(field.name for field in fields))
        self.single = len(fields) == 1
        # Codecs of the fields that hold parts, by position.
        self.part_codecs = {
            position: MessageCodec(part_class)
            for position, field in enumerate(fields)
            if (part_class := _part_class(field.type)) is not None
        }
        types = [
            list[self.part_codecs[position].row_type]
            if position in self.part_codecs
            else field.type
            for position, field in enumerate(fields)
        ]
        self.row_type: Any = tuple[tuple(types)]
        self.decoder = msgspec.msgpack.Decoder(self.row_type)

    def to_row(self, message: Any) -> tuple[Any, ...]:
        """Return the values of the fields in the order of their declaration."""
        row = (self.values(message),) if self.single else self.values(message)
        if not self.part_codecs:
            return row
        values = list(row)
        for position, codec in self.part_codecs.items():
            values[position] = [codec.to_row(part) for part in values[position]]
        return tuple(values)

    def from_row(self, row: tuple[Any, ...]) -> Any:
        """Return the message with these values."""
        if not self.part_codecs:
            return self.message_class(*row)
        values = list(row)
        for position, codec in self.part_codecs.items():
            values[position] = [codec.from_row(part) for part in values[position]]
        return self.message_class(*values)


def _part_class(field_type: Any) -> type[Any] | None:
    """Return the class of the parts in a field of type `list[...]`, None for others."""
    arguments = typing.get_args(field_type)
    if typing.get_origin(field_type) is list and attrs.has(arguments[0]):
        return arguments[0]
    return None


_codecs = {name: MessageCodec(cls) for name, cls in MESSAGE_CLASSES.items()}
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def encode_message(message: Any) -> bytes:
    """Return the encoded form of a message: its class name and its fields."""
    name = type(message).__name__
    return _encoder.encode((name, _codecs[name].to_row(message)))


def decode_message(data: bytes | bytearray | memoryview) -> Any:
    """Return the message that `encode_message` has encoded.

    Raises:
        ValueError: If the data is not a message of a known class.
    """
    try:
        name, row = _frame_decoder.decode(data)
        codec = _codecs[name]
        return codec.from_row(codec.decoder.decode(row))
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise ValueError(f"cannot decode message: {bytes(data[:80])!r}") from error
