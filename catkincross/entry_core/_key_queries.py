"""Key queries to live earlier owners, and the key lists that they send unasked."""

from __future__ import annotations

from ..foundation._ids import Incarnation, entry_process, split_process
from ..foundation._rendezvous import choose_by_hash
from ..protocol._messages import KeyQuery, KeyReply
from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._recovery_rows import Inquiry, KeyList, KeyQueryStatus

QUERY_REPEAT_MS = 500

# An entry with more jobs sends no key lists; its peers query single keys instead.
MAX_LISTED_KEYS = 5_000


def query_earlier_owners(
    state: EntryState, key_hash: bytes, owners: list[Incarnation]
) -> dict[Incarnation, KeyQueryStatus]:
    """Return what earlier owners know about a key, and query those that did not reply.

    Only replies under this entry's current roster count, since an owner that has
    folded this roster no longer admits the key.

    Args:
        state: The entry's state.
        key_hash: Hash of a key that this entry owns.
        owners: Earlier owners that are live.
    """
    queries, version = state.key_queries, state.control.roster_version
    statuses = {}
    unlisted_owners = []
    for owner in owners:
        key_list = queries.key_lists.get(owner)
        if key_list is not None and key_list.roster_version >= version:
            known = key_hash in key_list.keys
            statuses[owner] = (
                KeyQueryStatus.KNOWN if known else KeyQueryStatus.NOT_KNOWN
            )
        else:
            unlisted_owners.append(owner)
    if not unlisted_owners:
        return statuses
    inquiry = queries.inquiries.get(key_hash)
    if inquiry is None or inquiry.roster_version != version:
        inquiry = queries.inquiries[key_hash] = Inquiry(version)
    for owner in unlisted_owners:
        statuses[owner] = inquiry.answers.get(owner, KeyQueryStatus.ASKED)
        asked_ms = inquiry.asked_ms.get(owner)
        overdue = asked_ms is None or state.now_ms - asked_ms >= QUERY_REPEAT_MS
        if statuses[owner] is KeyQueryStatus.ASKED and overdue:
            inquiry.asked_ms[owner] = state.now_ms
            queries.unsent_queries[owner.name].append(key_hash)
    return statuses


@ENTRY.system(order=800)
def _send_queries(state: EntryState) -> None:
    queries = state.key_queries
    for name, keys in queries.unsent_queries.items():
        message = KeyQuery(keys, state.control.roster_version)
        state.send(entry_process(name), message)
    queries.unsent_queries.clear()
    for key_hash in [
        key for key in queries.inquiries if key not in state.held_requests
    ]:
        del queries.inquiries[key_hash]


@ENTRY.handler(KeyQuery)
def _key_query_received(state: EntryState, sender: str, message: KeyQuery) -> None:
    state.key_queries.deferred_queries.append((sender, message))


@ENTRY.system(order=355)
def _answer_queries(state: EntryState) -> None:
    """Answer the queries about rosters that this entry has folded."""
    queries = state.key_queries
    deferred_queries, queries.deferred_queries = queries.deferred_queries, []
    for sender, message in deferred_queries:
        if message.roster_version > state.control.version:
            queries.deferred_queries.append((sender, message))
            continue
        known = [key for key in message.keys if key in state.jobs]
        reply = KeyReply(message.keys, known, message.roster_version)
        state.send(sender, reply)


@ENTRY.handler(KeyReply)
def _key_reply_received(state: EntryState, sender: str, message: KeyReply) -> None:
    peer = state.peers.get(split_process(sender)[1])
    if peer is None:
        return
    queries = state.key_queries
    if message.complete:
        keys = frozenset(message.known)
        queries.key_lists[peer.incarnation] = KeyList(message.roster_version, keys)
    known = set(message.known)
    for key in message.keys:
        inquiry = queries.inquiries.get(key)
        if inquiry is not None and inquiry.roster_version == message.roster_version:
            answer = KeyQueryStatus.KNOWN if key in known else KeyQueryStatus.NOT_KNOWN
            inquiry.answers[peer.incarnation] = answer
    state.settlement_due_ms = state.now_ms


@ENTRY.system(order=360)
def _send_key_lists_to_new_owners(state: EntryState) -> None:
    """Send each connected peer, after a roster change, its keys with a job here.

    A peer's keys are those that it owns on the new roster. The list spares it a query
    for each new key.
    """
    queries, version = state.key_queries, state.control.roster_version
    if queries.key_lists_version == version or state.incarnation is None:
        return
    queries.key_lists_version = version
    queries.key_lists = {
        owner: key_list
        for owner, key_list in queries.key_lists.items()
        if state.control.is_live(owner)
    }
    connected = [name for name, row in state.peers.rows.items() if row.connected]
    send_key_lists(state, connected)


def send_key_lists(state: EntryState, names: list[str]) -> None:
    """Send each named entry the keys that it owns and that have a job here.

    Sends nothing if this entry has more than `MAX_LISTED_KEYS` jobs.
    """
    if state.incarnation is None or len(state.jobs) > MAX_LISTED_KEYS:
        return
    owners = state.control.owner_names()
    known: dict[str | None, list[bytes]] = {name: [] for name in names}
    for key in state.jobs.rows:
        known.setdefault(choose_by_hash(key, owners), []).append(key)
    version = state.control.roster_version
    for name in names:
        reply = KeyReply([], known[name], version, complete=True)
        state.send(entry_process(name), reply)
