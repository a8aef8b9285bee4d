"""Stand-in of the platform's store, after PROTOCOL.md: the log, its groups, its limits.

One topic of jobs with partitions, and the topic of the operators' declarations. Only
the calls that the programs make are served.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from .http import Server

PARTS = 16
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
ANSWER_S = 0.004


class Partition:
    """Records of one partition, and the newest append of its producer."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.epoch = -1
        self.answers: dict[int, Any] = {}
        self.last_seq: int | None = None


class Store:
    """The store; `busy` has it answer 503 to every call, with nothing done.

    While it is busy the times of group members pause.
    """

    def __init__(self, note: Any) -> None:
        self.note = note
        self.busy = False
        self.parts = [Partition() for _ in range(PARTS)]
        self.declared: list[tuple[str, bytes]] = []
        self.generation = 0
        self.members: dict[str, dict[str, float]] = {}
        self.owner: dict[int, str] = {}
        self.target: dict[int, str] = {}
        self.refused_records = 0
        self.server = Server(self._handle)

    def declare(self, key: str, value: Any) -> None:
        """Write a record as the operator does."""
        self.declared.append((key, json.dumps(value).encode()))

    def set_busy(self, busy: bool) -> None:
        """Begin or end an outage; the members' times go on where they stopped."""
        if busy == self.busy:
            return
        now = time.monotonic()
        for member in self.members.values():
            if busy:
                member["left"] = member["until"] - now
                member["until"] = float("inf")
            else:
                member["until"] = now + member["left"]
        self.busy = busy

    async def _handle(
        self, method: str, path: str, query: Any, headers: Any, body: bytes
    ) -> tuple[int, Any]:
        await asyncio.sleep(ANSWER_S)
        if self.busy:
            return 503, {}
        match path:
            case "/log-append":
                return self._append(query, body)
            case "/log-read":
                return await self._read(query)
            case "/log-newest":
                return self._newest()
            case "/log-join":
                return self._join(json.loads(body))
            case "/log-leave":
                self._remove(json.loads(body)["member"])
                return 200, {}
            case "/log-owners":
                self._expire()
                rows = [["jobs", part, name, 0] for part, name in self.owner.items()]
                return 200, {"owners": rows}
        return 404, {}

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        part = self.parts[int(query["part"])]
        epoch, seq = int(query["epoch"]), int(query["seq"])
        records, at = [], 0
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if epoch < part.epoch:
            return 409, {"reason": "fenced"}
        if epoch > part.epoch:
            part.epoch, part.last_seq, part.answers = epoch, None, {}
        if seq in part.answers:
            return 200, part.answers[seq]
        if part.last_seq is not None and seq != part.last_seq + 1:
            return 409, {"reason": "seq", "seq": part.last_seq + 1}
        sizes = [len(record) for record in records]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            # All or nothing: a call beyond the published limits appends nothing.
            self.refused_records += 1
            if self.refused_records in (1, 10, 100, 1000):
                self.note(
                    f"store: append refused, part {query['part']}, largest record "
                    f"{max(sizes)} bytes, refused so far {self.refused_records}"
                )
            return 413, {"reason": "record_bytes"}
        answer = {"offset": len(part.records), "end": len(part.records) + len(records)}
        part.records += records
        part.last_seq = seq
        part.answers[seq] = answer
        for old in [number for number in part.answers if number <= seq - 5]:
            del part.answers[old]
        return 200, answer

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        start, until = int(query["from"]), time.monotonic()
        until += int(query.get("wait_ms", 0)) / 1_000
        limit = int(query.get("max_kb", 1_024)) * 1_024
        while True:
            if query["topic"] == "keyed.op":
                records = [
                    bytes([len(key)]) + key.encode() + value
                    for key, value in self.declared
                ]
            else:
                records = self.parts[int(query["part"])].records
            if start < len(records) or time.monotonic() >= until:
                break
            await asyncio.sleep(0.005)
        content = len(records).to_bytes(8, "big") + bytes(8)
        for record in records[start:]:
            if len(content) > 16 and len(content) + len(record) > limit:
                break
            content += len(record).to_bytes(4, "big") + record
        return 200, content

    def _newest(self) -> tuple[int, Any]:
        newest = {}
        for offset, (key, value) in enumerate(self.declared):
            encoded = base64.b64encode(value).decode()
            newest[key] = {"key": key, "value": encoded, "offset": offset}
        items = [item for item in newest.values() if item["value"]]
        return 200, {"items": items, "truncated": False, "end": len(self.declared)}

    # The group of owners. A partition that moves is free once its holder has joined
    # with the generation of the move, has left or has been silent for its time.

    def _join(self, fields: dict[str, Any]) -> tuple[int, Any]:
        name, now = fields["member"], time.monotonic()
        self._expire()
        is_new = name not in self.members
        member = self.members.setdefault(name, {"seen": 0})
        member["until"] = now + fields["ttl_ms"] / 1_000
        member["left"] = fields["ttl_ms"] / 1_000
        member["seen"] = max(member["seen"], fields["generation"])
        if is_new:
            self._change()
        for part, holder in list(self.owner.items()):
            wanted = self.target.get(part)
            if holder != wanted and holder == name:
                if member["seen"] >= self.generation:
                    del self.owner[part]
        for part, wanted in self.target.items():
            if part not in self.owner and wanted in self.members:
                self.owner[part] = wanted
        rows = [
            ["jobs", part, 0]
            for part, holder in sorted(self.owner.items())
            if holder == name and self.target.get(part) == name
        ]
        return 200, {"generation": self.generation, "ttl_ms": 1_000, "parts": rows}

    def _change(self) -> None:
        self.generation += 1
        names = sorted(self.members)
        self.target = {part: names[part % len(names)] for part in range(PARTS) if names}
        self.note(f"store: generation {self.generation}, members {len(names)}")

    def _remove(self, name: str) -> None:
        if self.members.pop(name, None) is None:
            return
        for part in [part for part, holder in self.owner.items() if holder == name]:
            del self.owner[part]
        self._change()

    def _expire(self) -> None:
        now = time.monotonic()
        for name, member in list(self.members.items()):
            if member["until"] < now:
                self._remove(name)
