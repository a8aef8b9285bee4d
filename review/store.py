"""Stand-in of the platform's store, in the form of a log (PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from common import (
    PARTS,
    RECORD_BYTES,
    STORE_ANSWER_S,
    Answer,
    Server,
    body_of,
    now_ms,
)


class Store:
    """The platform's store, in the form of a log."""

    def __init__(self, config: dict[str, Any], keep_s: float) -> None:
        self.server = Server(self.handle)
        self.busy = False
        self.keep_ms = keep_s * 1_000
        self.declared = [("config", body_of(config))]
        # Records of a partition with the time of the append, first offset, producer.
        self.parts: dict[int, list[tuple[int, bytes]]] = {}
        self.first: dict[int, int] = {}
        self.producers: dict[int, dict[str, Any]] = {}
        self.joined: dict[str, int] = {}
        self.known: dict[str, int] = {}
        self.ttl: dict[str, int] = {}
        self.generation = 0
        self.target: dict[int, str] = {}
        self.holder: dict[int, str] = {}
        self.changed: dict[int, int] = {}

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "wait_ms" not in query:
            await asyncio.sleep(STORE_ANSWER_S)
        if self.server.silent:
            return None
        if self.busy:
            # While the store is down, the times of its members pause.
            self.joined = dict.fromkeys(self.joined, now_ms())
            return 503, b"{}"
        call = getattr(self, parts.path.strip("/").replace("-", "_"), None)
        if call is None:
            return 404, b"{}"
        return await call(query, body)

    def _expire(self, part: int) -> list[tuple[int, bytes]]:
        records = self.parts.setdefault(part, [])
        dropped = 0
        while dropped < len(records) and now_ms() - records[dropped][0] > self.keep_ms:
            dropped += 1
        del records[:dropped]
        self.first[part] = self.first.get(part, 0) + dropped
        return records

    async def log_append(self, query: dict[str, str], body: bytes) -> Answer:
        part, epoch, seq = (int(query[name]) for name in ("part", "epoch", "seq"))
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        if any(len(record) > RECORD_BYTES for record in records):
            return 400, body_of({"error": "record too large"})
        kept = self._expire(part)
        producer = self.producers.setdefault(part, {"epoch": -1, "seq": -1, "last": {}})
        if epoch < producer["epoch"]:
            return 409, body_of({"reason": "fenced"})
        if epoch > producer["epoch"]:
            producer.update(epoch=epoch, seq=seq - 1, last={})
        if seq in producer["last"]:
            return 200, producer["last"][seq]
        if seq != producer["seq"] + 1:
            return 409, body_of({"reason": "seq", "seq": producer["seq"] + 1})
        offset = self.first[part] + len(kept)
        kept.extend((now_ms(), record) for record in records)
        answer = body_of({"offset": offset, "end": offset + len(records)})
        producer["seq"] = seq
        producer["last"][seq] = answer
        for old in sorted(producer["last"])[:-5]:
            del producer["last"][old]
        return 200, answer

    async def log_read(self, query: dict[str, str], body: bytes) -> Answer:
        offset = int(query["from"])
        until = now_ms() + int(query.get("wait_ms", 0))
        while True:
            if query["topic"] == "keyed.op":
                first = 0
                records = [
                    bytes([len(key)]) + key.encode() + value
                    for key, value in self.declared
                ]
            else:
                kept = self._expire(int(query["part"]))
                records = [record for _, record in kept]
                first = self.first[int(query["part"])]
            end = first + len(records)
            if offset < end or now_ms() >= until:
                break
            await asyncio.sleep(0.02)
        if offset < first:
            return 410, body_of({"first": first})
        content = end.to_bytes(8, "big") + first.to_bytes(8, "big")
        limit = int(query.get("max_kb", 1_024)) * 1_024
        for record in records[offset - first :]:
            if len(content) + len(record) > limit and len(content) > 16:
                break
            content += len(record).to_bytes(4, "big") + record
        return 200, content

    async def log_newest(self, query: dict[str, str], body: bytes) -> Answer:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for offset, (key, value) in enumerate(self.declared)
        ]
        return 200, body_of(
            {"items": items, "truncated": False, "end": len(self.declared)}
        )

    def _settle(self) -> None:
        """Drop silent members, deal the partitions, and move those that are free."""
        for member in [
            m for m in self.joined if now_ms() - self.joined[m] > self.ttl[m]
        ]:
            self._remove(member)
        for part, member in self.target.items():
            holder = self.holder.get(part, "")
            if holder == member:
                continue
            if holder not in self.joined or self.known[holder] >= self.changed[part]:
                self.holder[part] = member

    def _remove(self, member: str) -> None:
        if self.joined.pop(member, None) is not None:
            self._deal()

    def _deal(self) -> None:
        self.generation += 1
        members = list(self.joined)
        if not members:
            self.target.clear()
            return
        # Partitions stay with their member as long as the shares are even.
        most = -(-PARTS // len(members))
        held = {member: 0 for member in members}
        free = []
        for part in range(PARTS):
            member = self.target.get(part, "")
            if member in held and held[member] < most:
                held[member] += 1
            else:
                free.append(part)
        for part in free:
            member = min(members, key=lambda name: held[name])
            held[member] += 1
            self.target[part] = member
            self.changed[part] = self.generation

    async def log_join(self, query: dict[str, str], body: bytes) -> Answer:
        fields = json.loads(body)
        member = fields["member"]
        self._settle()
        new = member not in self.joined
        self.joined[member] = now_ms()
        self.ttl[member] = fields["ttl_ms"]
        self.known[member] = fields["generation"]
        if new:
            self._deal()
        self._settle()
        rows = [
            ["jobs", part, 0]
            for part in range(PARTS)
            if self.holder.get(part) == member and self.target.get(part) == member
        ]
        return 200, body_of({"generation": self.generation, "parts": rows})

    async def log_leave(self, query: dict[str, str], body: bytes) -> Answer:
        self._remove(json.loads(body)["member"])
        self._settle()
        return 200, b"{}"

    async def log_owners(self, query: dict[str, str], body: bytes) -> Answer:
        self._settle()
        rows = [["jobs", part, self.holder[part], 0] for part in sorted(self.holder)]
        return 200, body_of({"owners": rows})
