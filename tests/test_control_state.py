"""Guards against control state that differs between processes or grows forever."""

from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from catkincross.ids import Incarnation
from catkincross.protocol._records import (
    AgentsEnded,
    AgentsRegistered,
    Barrier,
    EntryEnded,
    EntryJoined,
    EntryLeaving,
    Record,
    RegisteredAgent,
    ResourceDeleted,
    ResourcePut,
    decode_record,
    encode_record,
)
from catkincross.resources._control_state import ControlState
from catkincross.resources._fold import LOST_RACE, MAX_OUTCOMES, fold_record
from catkincross.resources._snapshot_codec import decode_snapshot, encode_snapshot

WINDOW_MS = 1_000


def random_records(rng: random.Random, count: int) -> list[bytes]:
    """Return records of many kinds; some name an old generation or an ended author."""
    names = ["e1", "e2", "e3"]
    numbers = {name: index + 1 for index, name in enumerate(names)}
    bodies = [EntryJoined(name, f"addr/{name}", "d") for name in names]
    records = [Record(f"join-{body.name}", None, body) for body in bodies]
    for index in range(count):
        author = Incarnation(name := rng.choice(names), numbers[name])
        agent = Incarnation(f"u{rng.randrange(3)}", rng.randrange(1, 3))
        body = rng.choice(
            [
                ResourcePut("teams", "a", rng.randrange(4), {"weight": index}),
                ResourceDeleted("teams", "a", rng.randrange(4)),
                AgentsRegistered([RegisteredAgent(agent, agent.name, "s", "d")]),
                AgentsEnded([agent], "silent"),
                EntryLeaving(author),
                EntryEnded(author, "silent"),
                Barrier(),
            ]
        )
        record_id = f"r{rng.randrange(count)}"
        records.append(Record(record_id, author, body, rng.randrange(1, count)))
        if rng.random() < 0.2:
            numbers[name] = len(records) + 1
            join = EntryJoined(name, f"addr/{name}", "d")
            records.append(Record(f"join-{index}", None, join))
    return [encode_record(record) for record in records]


def fold(
    state: ControlState, records: list[bytes], *, first: int, now_ms: int
) -> ControlState:
    """Fold records at consecutive offsets, one millisecond apart."""
    for offset, body in enumerate(records, first):
        fold_record(state, offset, decode_record(body), now_ms + offset)
    return state


def decisions(state: ControlState) -> tuple:
    """Return the part of the state that all processes must agree on."""
    live = {agent for agent, row in state.members.items() if row.ended_ms is None}
    homes = {agent: state.home_of(agent) for agent in live}
    return (
        state.version,
        state.entries,
        state.resources,
        state.outcomes,
        state.sequences,
        state.roster_version,
        homes,
    )


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 60))
def test_snapshot_and_pruning_do_not_change_what_later_records_do(
    seed: int, cut: int
) -> None:
    records = random_records(random.Random(seed), 60)
    whole = fold(ControlState(), records, first=1, now_ms=0)
    early = fold(ControlState(), records[:cut], first=1, now_ms=500_000)
    early.prune(500_000 + cut - 5)
    restored = decode_snapshot(encode_snapshot(early, 500_100), 7_000_000)
    fold(restored, records[cut:], first=cut + 1, now_ms=7_000_000)
    assert decisions(restored) == decisions(whole)


def test_generation_of_a_resource_that_is_created_again_is_new() -> None:
    # An old expected generation must not match a new resource of the same name.
    state = ControlState()
    author = Incarnation("e1", 1)
    bodies = [
        EntryJoined("e1", "addr", "d"),
        ResourcePut("teams", "a", 0, {"weight": 1}),
        ResourceDeleted("teams", "a", 1),
        ResourcePut("teams", "a", 0, {"weight": 2}),
        ResourcePut("teams", "a", 1, {"weight": 3}),
    ]
    for offset, body in enumerate(bodies, 1):
        record = Record(f"r{offset}", author if offset > 1 else None, body)
        reason = fold_record(state, offset, record, 0)
        if offset == 3:
            state = decode_snapshot(encode_snapshot(state, 0), 0)
    assert reason == LOST_RACE
    assert state.resources["teams", "a"].spec == {"weight": 2}


def test_state_stays_bounded_over_many_changes_and_restarts() -> None:
    state = ControlState()
    for offset in range(1, 3 * MAX_OUTCOMES):
        entry = state.entries.get("e1")
        agent = Incarnation("u1", offset)
        body: object = EntryJoined("e1", "addr", "d")
        author = None
        if entry is not None and offset % 2:
            author = entry.incarnation
            body = AgentsRegistered([RegisteredAgent(agent, "u1", "s", "d")])
        fold_record(state, offset, Record(f"r{offset}", author, body), offset * 100)
        state.prune(offset * 100 - WINDOW_MS)
    assert len(state.outcomes) == MAX_OUTCOMES
    sizes = [len(state.ended), len(state.members), len(state.history)]
    assert max(sizes) <= 2 + WINDOW_MS // 100, sizes
    assert sum(len(row.homes) for row in state.members.values()) <= 20
