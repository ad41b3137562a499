"""Claims on request ids: at most one entry host may dispatch a non-idempotent request.

Each id has three witnesses among the declared entry hosts; a host holds the claim on an id when a
majority of them granted it. Any two majorities share a witness, and a witness grants an id to one
claimant only, so two hosts cannot both hold the claim. This is a majority quorum (Gifford, SOSP
1979); it needs neither synchronized clocks nor a consensus group.
"""

from __future__ import annotations

import heapq
from collections import Counter
from enum import Enum, auto
from typing import NamedTuple

from redwingswitch._internal.decisions.requests.host_sets import (
    CLAIM_RETENTION_MS,
    DeclaredHostSets,
)
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.actions import SendToPeer
from redwingswitch._internal.models.messages import ClaimDecision, ClaimReply, ClaimRequest
from redwingswitch._internal.ports import RandomSource

MAX_GRANTS = 65_536
MAX_CLAIMS = 8_192
MAX_CLAIM_ROUNDS = 10
CLAIM_RETRY_BASE_MS = 50
CLAIM_RETRY_LIMIT_MS = 1_000


class ClaimHolder(NamedTuple):
    """The process to which a witness granted an id."""

    host: str
    incarnation: int


class ClaimState(Enum):
    """The progress of a claim."""

    PENDING = auto()
    HELD = auto()
    DENIED = auto()


class _Grant(NamedTuple):
    holder: ClaimHolder
    expires_at_ms: int


class WitnessRegister:
    """Grants each id to its first claimant and keeps the grant for ``CLAIM_RETENTION_MS``.

    Grants are kept in memory only. A restarted witness has lost them, so it grants nothing before
    ``abstain_until_ms``.
    """

    def __init__(self, *, host: str, abstain_until_ms: int) -> None:
        self._host = host
        self._abstain_until_ms = abstain_until_ms
        self._oldest_accepted_revision = 0
        self._grants: dict[bytes, _Grant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def abstaining(self, now_ms: int) -> bool:
        """Return whether the witness grants nothing because it may have lost grants."""
        return now_ms < self._abstain_until_ms

    def on_claim(
        self,
        sender: str,
        incarnation: int,
        request: ClaimRequest,
        host_sets: DeclaredHostSets,
        now_ms: int,
    ) -> ClaimReply:
        """Decide on a claim.

        ``incarnation`` is the sender's, from the envelope; it is used only when the request has no
        ``claimant_incarnation``.
        """
        claimant = ClaimHolder(sender, request.claimant_incarnation or incarnation)
        decision, holder = self._decide(claimant, request, host_sets, now_ms)
        return ClaimReply(
            request.request_id,
            decision,
            holder.host,
            holder.incarnation,
            host_sets.introduced_revision,
            host_sets.revision,
            host_sets.settled(),
        )

    def expire(self, now_ms: int) -> None:
        """Remove the grants whose retention has expired."""
        while self._grants:
            oldest = next(iter(self._grants))
            if self._grants[oldest].expires_at_ms > now_ms:
                return
            del self._grants[oldest]

    def _decide(
        self,
        claimant: ClaimHolder,
        request: ClaimRequest,
        host_sets: DeclaredHostSets,
        now_ms: int,
    ) -> tuple[ClaimDecision, ClaimHolder]:
        self.expire(now_ms)
        no_holder = ClaimHolder("", 0)
        if self.abstaining(now_ms):
            return ClaimDecision.ABSTAINS, no_holder
        if self._is_stale(request, host_sets):
            return ClaimDecision.STALE_HOST_SET, no_holder
        grant = self._grants.get(request.request_id)
        if grant is not None:
            same_claimant = grant.holder == claimant
            return (ClaimDecision.GRANTED if same_claimant else ClaimDecision.HELD), grant.holder
        if len(self._grants) >= MAX_GRANTS:
            return ClaimDecision.ABSTAINS, no_holder
        self._grants[request.request_id] = _Grant(claimant, now_ms + CLAIM_RETENTION_MS)
        return ClaimDecision.GRANTED, claimant

    def _is_stale(self, request: ClaimRequest, host_sets: DeclaredHostSets) -> bool:
        # A claimant may know a newer host set than this witness does. From then on, this witness
        # also refuses claims under older sets.
        self._oldest_accepted_revision = max(
            self._oldest_accepted_revision,
            host_sets.introduced_revision,
            request.host_set_revision,
        )
        claimant_revision = max(request.revision, request.host_set_revision)
        return claimant_revision < self._oldest_accepted_revision


class _PendingClaim:
    def __init__(self, *, request_id: bytes, deadline_ms: int) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.state = ClaimState.PENDING
        self.rounds = 0
        self.granted: set[str] = set()
        self.denied: dict[str, ClaimHolder] = {}


class Claimant:
    """Claims the ids of the requests that this host intends to dispatch or refuse."""

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        host_sets: DeclaredHostSets,
        random_source: RandomSource,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._host_sets = host_sets
        self._random_source = random_source
        self._claims: dict[bytes, _PendingClaim] = {}
        self._resend_heap: list[tuple[int, bytes]] = []

    def __len__(self) -> int:
        return len(self._claims)

    def begin(self, request_id: bytes, deadline_ms: int, now_ms: int) -> list[SendToPeer] | None:
        """Send a claim to the witnesses of an id; return None when too many claims are open."""
        if request_id in self._claims:
            return []
        if len(self._claims) >= MAX_CLAIMS:
            return None
        claim = _PendingClaim(request_id=request_id, deadline_ms=deadline_ms)
        self._claims[request_id] = claim
        return self._send(claim, now_ms)

    def state(self, request_id: bytes) -> ClaimState | None:
        """Return the state of an open claim."""
        claim = self._claims.get(request_id)
        return None if claim is None else claim.state

    def holder(self, request_id: bytes) -> ClaimHolder | None:
        """Return the other holder that most denying witnesses reported."""
        claim = self._claims.get(request_id)
        if claim is None or not claim.denied:
            return None
        return Counter(claim.denied.values()).most_common(1)[0][0]

    def forget(self, request_id: bytes) -> None:
        """Remove a claim that is decided or no longer needed."""
        self._claims.pop(request_id, None)

    def on_reply(self, sender: str, reply: ClaimReply, now_ms: int) -> ClaimState | None:
        """Record a witness's reply; return the state, or None when no such claim is open."""
        claim = self._claims.get(reply.request_id)
        if claim is None or claim.state is not ClaimState.PENDING:
            return None if claim is None else claim.state
        holder = ClaimHolder(reply.holder, reply.holder_incarnation)
        if reply.decision is ClaimDecision.GRANTED and self._is_valid_grant(holder, reply):
            claim.granted.add(sender)
        if reply.decision is ClaimDecision.HELD:
            claim.denied[sender] = holder
        self._update_state(claim, now_ms)
        return claim.state

    def on_timer(self, now_ms: int) -> list[SendToPeer]:
        """Send the due claims again to the witnesses that have neither granted nor denied them."""
        actions: list[SendToPeer] = []
        while self._resend_heap and self._resend_heap[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._resend_heap)
            claim = self._claims.get(request_id)
            if claim is not None and claim.state is ClaimState.PENDING:
                actions.extend(self._send(claim, now_ms))
        return actions

    def next_deadline_ms(self) -> int | None:
        """Return when a claim is next sent again; times of decided claims are included."""
        return self._resend_heap[0][0] if self._resend_heap else None

    def _is_valid_grant(self, holder: ClaimHolder, reply: ClaimReply) -> bool:
        # A late reply may be for an earlier process of this host.
        if holder != ClaimHolder(self._host, self._incarnation):
            return False
        if not self._host_sets.needs_settled_witnesses():
            return True
        return reply.settled and reply.revision >= self._host_sets.introduced_revision

    def _update_state(self, claim: _PendingClaim, now_ms: int) -> None:
        witness_sets = self._host_sets.witness_sets(claim.request_id)
        if any(_is_majority_impossible(witness_set, claim.denied) for witness_set in witness_sets):
            claim.state = ClaimState.DENIED
        elif not self._host_sets.can_claim(now_ms) or now_ms >= claim.deadline_ms:
            return
        elif all(
            len(claim.granted & set(witness_set)) >= _majority(witness_set)
            for witness_set in witness_sets
        ):
            claim.state = ClaimState.HELD

    def _send(self, claim: _PendingClaim, now_ms: int) -> list[SendToPeer]:
        claim.rounds += 1
        self._schedule_resend(claim, now_ms)
        request = ClaimRequest(
            claim.request_id,
            self._host_sets.introduced_revision,
            self._host_sets.revision,
            self._incarnation,
        )
        witness_sets = self._host_sets.witness_sets(claim.request_id)
        witness_hosts = dict.fromkeys(host for witness_set in witness_sets for host in witness_set)
        undecided_hosts = [
            h for h in witness_hosts if h not in claim.granted and h not in claim.denied
        ]
        return [SendToPeer(host, request) for host in undecided_hosts]

    def _schedule_resend(self, claim: _PendingClaim, now_ms: int) -> None:
        delay_ms = backoff_ms(
            claim.rounds,
            self._random_source,
            base_ms=CLAIM_RETRY_BASE_MS,
            limit_ms=CLAIM_RETRY_LIMIT_MS,
        )
        resend_at_ms = now_ms + delay_ms
        if claim.rounds < MAX_CLAIM_ROUNDS and resend_at_ms < claim.deadline_ms:
            heapq.heappush(self._resend_heap, (resend_at_ms, claim.request_id))


def _majority(witness_set: tuple[str, ...]) -> int:
    return len(witness_set) // 2 + 1


def _is_majority_impossible(witness_set: tuple[str, ...], denied: dict[str, ClaimHolder]) -> bool:
    denials = sum(1 for host in witness_set if host in denied)
    return len(witness_set) - denials < _majority(witness_set)
