"""Guards against messages whose wire form differs from their attrs class."""

from __future__ import annotations

import attrs
import pytest

from catkincross import _messages
from catkincross.ids import Incarnation, TaskId
from catkincross.messages import TaskResult, TaskResults, TaskStatus
from catkincross.wire import decode_frame, encode_frame
from catkincross.wire_pb import catkincross_pb2


def test_results_lose_no_field_on_the_wire() -> None:
    result = TaskResult(
        Incarnation("e1", 3), TaskId(b"k" * 16, 4), TaskStatus.FAILED, payload=b"\0"
    )
    message = TaskResults([result, attrs.evolve(result, not_run=True)])
    assert decode_frame(encode_frame([message, message])) == [message, message]


PARTS = [
    kind
    for kind in vars(_messages).values()
    if attrs.has(kind) and kind.__module__ == _messages.__name__
]


@pytest.mark.parametrize("kind", PARTS)
def test_a_field_without_a_wire_field_is_found(kind: type) -> None:
    wire = getattr(catkincross_pb2, kind.__name__).DESCRIPTOR
    assert [f.name for f in wire.fields] == [f.name for f in attrs.fields(kind)]
