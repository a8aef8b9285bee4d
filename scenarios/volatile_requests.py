"""Requests for volatile jobs in the virtual-time model of the platform."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from catkincross.dispatch import (
    Claim,
    Contested,
    JobClaims,
    LiveHolder,
    LostHolder,
    NoHolder,
    PeerVolatileJobs,
    holder_in,
)
from catkincross.jobs import JobSpec
from catkincross.owner import Reply
from catkincross.peers import Answer, Greeting

from .platform_effects import Host

REMOTE_RETRY_MS = 50
CLAIM_TIMEOUT_MS = 200
CONTEST_RETRY_MS = 20
MAX_CONTESTS = 5


@attrs.define(eq=False)
class Request:
    """A request of a client account at an entry.

    Attributes:
        key: Identifies the request.
        spec: The job.
        deadline_ms: Time until which the client account waits.
        on_answer: Called with the answer.
        asked: Entry that was asked for the job, with the key of the request.
        unanswered: Whether an entry may have begun the job without an answer.
        closed: Whether the entry knows that the client account has left.
    """

    key: str
    spec: JobSpec
    deadline_ms: int
    on_answer: Callable[[Answer], None]
    asked: tuple[str, str] | None = None
    unanswered: bool = False
    closed: bool = False


@attrs.define(eq=False)
class Node:
    """An entry with what it knows of the volatile jobs of other entries.

    Attributes:
        host: The entry's process.
        greeting: Its greeting on links to other entries.
        peer_jobs: Volatile jobs of other entries.
        claims: Its claims, and its answers to those of others.
        heard_ms: When another entry was last heard, by name, while the link that this
            entry has opened to it is open.
        linked: The process at the other end of that link, by name.
        requests: Open requests by key.
        announced_ms: When changes were last announced.
        abandoned: Keys of requests of other entries whose client account has left.
    """

    host: Host
    greeting: Greeting
    peer_jobs: PeerVolatileJobs
    claims: JobClaims
    heard_ms: dict[str, int] = attrs.field(factory=dict)
    linked: dict[str, Node] = attrs.field(factory=dict)
    requests: dict[str, Request] = attrs.field(factory=dict)
    announced_ms: int = 0
    abandoned: set[str] = attrs.field(factory=set)


class RequestsMixin:
    """Handles requests as `VolatileRequests` does, for `VolatileModel`."""

    __slots__ = ()

    def receive(self, name: str, request: Request) -> None:
        """Let an entry receive a request for a volatile job."""
        node = self.nodes[name]
        node.requests[request.key] = request
        self.run_or_ask(node, request)

    def run_or_ask(self, node: Node, request: Request) -> None:
        """Run a job here, ask the entry that has it, or wait for a lost one."""
        if not self.awake(node.host):
            self.when_awake(node.host, lambda: self.run_or_ask(node, request))
            return
        if request.closed or request.asked or request.key not in node.requests:
            return
        holder = node.peer_jobs.find_holder(request.spec.id, self.now_ms)
        if isinstance(holder, NoHolder):
            request.asked = node.host.name, request.key
            self.claim(
                node,
                request.spec.id,
                lambda found: self._after_claim(node, request, found),
            )
            return
        self._ask_or_wait(node, request, holder)

    def _after_claim(
        self,
        node: Node,
        request: Request,
        holder: NoHolder | LiveHolder | LostHolder,
    ) -> None:
        job_id = request.spec.id
        if request.closed or request.key not in node.requests:
            self.withdraw(node, job_id)
            return
        if not isinstance(holder, NoHolder):
            request.asked = None
            self._ask_or_wait(node, request, holder)
            return
        remaining_ms = request.deadline_ms - self.now_ms
        self._submit(node, request.key, request.spec, remaining_ms)
        self.withdraw(node, job_id)

    def _ask_or_wait(
        self, node: Node, request: Request, holder: LiveHolder | LostHolder
    ) -> None:
        remaining_ms = request.deadline_ms - self.now_ms
        if isinstance(holder, LiveHolder):
            if self._ask(node, holder.address, request, remaining_ms):
                return
            request.unanswered = True
        wait_ms = max(holder.wait_ms, REMOTE_RETRY_MS)
        if remaining_ms <= wait_ms:
            self._answer(node, request, Answer(0, "unknown", "lost entry"))
        else:
            self.at(wait_ms, lambda: self.run_or_ask(node, request))

    # Claims, as `JobClaimer` makes them.

    def claim(
        self,
        node: Node,
        job_id: str,
        then: Callable[[NoHolder | LiveHolder | LostHolder], None],
        attempts: int = MAX_CONTESTS,
    ) -> None:
        """Claim a job at its witnesses, and pass on who has it."""
        if node.host.core.has_volatile_job(job_id):
            then(NoHolder())
            return
        known = set(self.nodes) - {node.host.name}
        claim = node.claims.prepare(job_id, known, (), self.now_ms)
        node.claims.start(job_id)

        def finish() -> None:
            node.claims.end(job_id)
            verdict = claim.verdict()
            if isinstance(verdict, Contested):
                if attempts:
                    self.at(
                        CONTEST_RETRY_MS,
                        lambda: self.claim(node, job_id, then, attempts - 1),
                    )
                    return
                answers = [claim.answers.get(name) for name in claim.ranking]
                verdict = holder_in(
                    next(a for a in answers if a and a.outcome == "held")
                )
            if verdict is None:
                verdict = LostHolder(node.claims.longest_wait_ms(self.now_ms))
            if not isinstance(verdict, NoHolder):
                self.withdraw(node, job_id, claim)
            then(verdict)

        self._ask_witnesses(node, claim, job_id, finish)

    def _ask_witnesses(
        self, node: Node, claim: Claim, job_id: str, finish: Callable[[], None]
    ) -> None:
        witnesses = claim.next_witnesses()
        if not witnesses:
            finish()
            return
        pending = set(witnesses)

        def record(name: str, answer: Answer | None) -> None:
            if name in pending and node.host.up:
                pending.discard(name)
                claim.record_answer(name, answer)
                if not pending:
                    self._ask_witnesses(node, claim, job_id, finish)

        for name in witnesses:
            claim.record_asked(name)
            self._ask_witness(node, name, job_id, record)

    def _ask_witness(
        self,
        node: Node,
        name: str,
        job_id: str,
        record: Callable[[str, Answer | None], None],
    ) -> None:
        own_name = node.host.name
        witness = self.nodes.get(name)

        def expire() -> None:
            self.when_awake(node.host, lambda: record(name, None))

        if witness is None:
            self.send(own_name, name, expire)
            return
        self.at(CLAIM_TIMEOUT_MS, expire)

        def arrive() -> None:
            witness.peer_jobs.end_earlier_processes(node.greeting, self.now_ms)
            witness.peer_jobs.add_entry(node.greeting)
            has_job = witness.host.core.has_volatile_job(job_id)
            answer = witness.claims.answer(
                node.greeting, job_id, has_job=has_job, now_ms=self.now_ms
            )
            self.send(
                name,
                own_name,
                lambda: self.when_awake(node.host, lambda: record(name, answer)),
            )

        self.send(own_name, name, lambda: self.when_awake(witness.host, arrive))

    def withdraw(self, node: Node, job_id: str, claim: Claim | None = None) -> None:
        """Withdraw the claim on a job that an entry does not run."""
        core = node.host.core
        if core.has_volatile_job(job_id) or job_id in node.claims.claiming:
            return
        known = set(self.nodes) - {node.host.name}
        claim = claim or node.claims.prepare(job_id, known, (), self.now_ms)
        for name in claim.asked or claim.next_witnesses():
            self._withdraw_at(node, name, job_id)

    def _withdraw_at(self, node: Node, name: str, job_id: str) -> None:
        witness = self.nodes.get(name)
        if witness is None:
            return

        def arrive() -> None:
            witness.claims.withdraw(node.greeting, job_id, self.now_ms)

        self.send(node.host.name, name, lambda: self.when_awake(witness.host, arrive))

    def _submit_for_entry(
        self, node: Node, key: str, spec: JobSpec, timeout_ms: int
    ) -> None:
        """Claim a job that another entry asks for, and begin it."""

        def submit(holder: NoHolder | LiveHolder | LostHolder) -> None:
            if key in node.abandoned:
                self.withdraw(node, spec.id)
            elif isinstance(holder, NoHolder):
                self._submit(node, key, spec, timeout_ms)
                self.withdraw(node, spec.id)
            else:
                answer = Answer(0, "unknown", "job is at another entry")
                self._reply(node.host, Reply(key, answer))

        self.claim(node, spec.id, submit)

    def _submit(self, node: Node, key: str, spec: JobSpec, timeout_ms: int) -> None:
        core = node.host.core
        core.submit(self.now_ms, key, spec, timeout_ms=timeout_ms)
        self.step(node.host)

    def _ask(
        self, node: Node, address: str, request: Request, remaining_ms: int
    ) -> bool:
        other = node.linked.get(address)
        if other is None or remaining_ms <= 0:
            return False
        key = f"{node.host.name}>{request.key}@{self.now_ms}"
        request.asked = address, key
        node.peer_jobs.record_request(address, request.spec.id, self.now_ms)
        self.send(
            node.host.name,
            address,
            lambda: self.when_awake(
                other.host,
                lambda: self._submit_for_entry(other, key, request.spec, remaining_ms),
            ),
        )

        def expire() -> None:
            if request.asked == (address, key):
                request.asked, request.unanswered = None, True
                self.run_or_ask(node, request)

        self.at(remaining_ms, expire)
        return True

    def leave(self, name: str, request: Request) -> None:
        """Let an entry note that a client account has left."""
        node = self.nodes.get(name)
        if node is None or node.requests.pop(request.key, None) is None:
            return
        request.closed = True
        if request.asked is None:
            return
        holder, key = request.asked
        node.peer_jobs.record_answer(holder, request.spec.id)
        other = self.nodes.get(holder)
        if other is None:
            return

        def abandon() -> None:
            other.abandoned.add(key)
            other.host.core.abandon(self.now_ms, key, request.spec.id)
            self.step(other.host)

        self.send(name, holder, lambda: self.when_awake(other.host, abandon))

    def _answer(self, node: Node, request: Request, answer: Answer) -> None:
        if node.requests.pop(request.key, None) is None:
            return
        rejected = answer.outcome == "rejected"
        may_have_run = node.peer_jobs.may_have_run(request.spec.id)
        if rejected and (request.unanswered or may_have_run):
            answer = Answer(0, "unknown", answer.detail)
        request.on_answer(answer)

    def _reply(self, host: Host, reply: Reply) -> None:
        asking = reply.request.partition(">")[0] if ">" in reply.request else ""
        node = self.nodes.get(asking or host.name)
        if node is None:
            return

        def arrive() -> None:
            for request in list(node.requests.values()):
                if request.asked == (host.name, reply.request):
                    node.peer_jobs.record_answer(host.name, request.spec.id)
                    if asking and reply.answer.outcome == "rejected":
                        node.peer_jobs.record_rejection(host.name, request.spec.id)
                    self._answer(node, request, reply.answer)

        if asking:
            self.send(host.name, asking, lambda: self.when_awake(node.host, arrive))
        else:
            arrive()
