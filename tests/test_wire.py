"""Guards against messages whose protobuf form differs from their attrs class."""

from __future__ import annotations

from typing import get_args

import attrs
import pytest

from catkincross.ids import Incarnation, TaskId
from catkincross.messages import TaskResult, TaskResults, TaskStatus
from catkincross.protocol import _messages
from catkincross.wire import decode_frame, encode_frame
from catkincross.wire_pb import catkincross_pb2


def test_results_lose_no_field_on_the_wire() -> None:
    result = TaskResult(
        Incarnation("e1", 3), TaskId(b"k" * 16, 4), TaskStatus.FAILED, payload=b"\0"
    )
    message = TaskResults([result, attrs.evolve(result, not_run=True)])
    assert decode_frame(encode_frame([message, message])) == [message, message]


WIRE_CLASSES = [
    getattr(_messages, name)
    for name in _messages.__all__
    if attrs.has(getattr(_messages, name))
]


def test_all_messages_are_compared() -> None:
    assert {*get_args(_messages.Message)} <= {*WIRE_CLASSES}


@pytest.mark.parametrize("kind", WIRE_CLASSES)
def test_message_and_protobuf_have_the_same_fields(kind: type) -> None:
    wire = getattr(catkincross_pb2, kind.__name__).DESCRIPTOR
    assert [f.name for f in wire.fields] == [f.name for f in attrs.fields(kind)]
