"""Stateful test of claimants and witnesses: two processes never hold the claim on one id."""

from __future__ import annotations

import random
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingswitch._internal.decisions.requests.claims import Claimant, ClaimState, WitnessRegister
from redwingswitch._internal.decisions.requests.host_sets import (
    CLAIM_RETENTION_MS,
    DeclaredHostSets,
    witnesses,
)
from redwingswitch._internal.models.actions import SendToPeer
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from redwingswitch._internal.models.messages import ClaimReply, ClaimRequest
from tests.lib.request_cluster import configuration

DOMAIN_OF = {f"h{i}": "abcd"[i % 4] for i in range(7)}
INITIAL_HOSTS = ("h0", "h1", "h2", "h3", "h4")
REQUEST_LIFETIME_MS = 30_000
PACKET_LIFETIME_MS = 60_000

hosts = st.sampled_from(sorted(DOMAIN_OF))
ids = st.sampled_from([b"%016d" % i for i in range(2)])


class Envelope(NamedTuple):
    sender: str
    incarnation: int
    target: str
    message: ClaimRequest | ClaimReply


class Process:
    """One incarnation of a host."""

    def __init__(self, host: str, incarnation: int, abstain_until_ms: int, seed: int) -> None:
        self.incarnation = incarnation
        self.sets = DeclaredHostSets(host=host)
        self.witness = WitnessRegister(host=host, abstain_until_ms=abstain_until_ms)
        self.claimant = Claimant(
            host=host,
            incarnation=incarnation,
            host_sets=self.sets,
            random_source=random.Random(seed),
        )
        self.begun: set[bytes] = set()


class ClaimMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 20))
    def begin(self, seed: int) -> None:
        self.seed, self.now_ms, self.incarnations = seed, 200_000, 0
        self.declared: list[tuple[str, ...]] = [INITIAL_HOSTS]
        self.processes: dict[str, Process] = {}
        self.network: list[Envelope] = []
        self.side: dict[str, int] = {}
        self.first_copy_ms: dict[bytes, int] = {}
        self.held: dict[bytes, set[tuple[str, int]]] = {}
        for host in INITIAL_HOSTS:
            self._start(host, abstain_ms=0)
            self._learn(host)

    def _start(self, host: str, abstain_ms: int) -> None:
        self.incarnations += 1
        until_ms = self.now_ms + abstain_ms
        self.processes[host] = Process(host, self.incarnations, until_ms, self.seed)

    def _learn(self, host: str) -> None:
        revision = len(self.declared)
        declared = {name: DOMAIN_OF[name] for name in self.declared[-1]}
        sets = self.processes[host].sets
        sets.apply_configuration(configuration(revision, declared, []), self.now_ms)

    def _post(self, host: str, sends: list[SendToPeer] | None) -> None:
        for send in sends or []:
            envelope = Envelope(host, self.processes[host].incarnation, send.host, send.message)
            self.network.append(envelope)

    @rule(host=hosts, request_id=ids)
    def claim(self, host: str, request_id: bytes) -> None:
        """A copy of a request reaches a host within its lifetime."""
        process = self.processes.get(host)
        first_ms = self.first_copy_ms.setdefault(request_id, self.now_ms)
        last_ms = first_ms + REQUEST_LIFETIME_MS + PACKET_LIFETIME_MS
        if process is None or request_id in process.begun or self.now_ms >= last_ms:
            return
        process.begun.add(request_id)
        deadline_ms = min(self.now_ms + REQUEST_LIFETIME_MS, last_ms)
        self._post(host, process.claimant.begin(request_id, deadline_ms, self.now_ms))

    @rule(host=hosts, request_id=ids)
    def claim_at_once(self, host: str, request_id: bytes) -> None:
        """Claim an id without faults, so that most test runs reach a held claim."""
        self.claim(host, request_id)
        self.deliver_all()

    @rule(index=st.integers(0, 30), again=st.booleans())
    def deliver(self, index: int, again: bool) -> None:
        """Deliver any message, out of order; with ``again``, it can be delivered another time."""
        if self.network:
            index %= len(self.network)
            envelope = self.network[index] if again else self.network.pop(index)
            self._handle(envelope)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(100):
            if not self.network:
                return
            self._handle(self.network.pop(0))

    @rule()
    def lose_all(self) -> None:
        self.network.clear()

    def _handle(self, envelope: Envelope) -> None:
        process = self.processes.get(envelope.target)
        cut = self.side.get(envelope.sender, 0) != self.side.get(envelope.target, 0)
        if process is None or cut:
            return
        if isinstance(envelope.message, ClaimRequest):
            reply = process.witness.on_claim(
                envelope.sender,
                envelope.incarnation,
                envelope.message,
                process.sets,
                now_ms=self.now_ms,
            )
            self._post(envelope.target, [SendToPeer(envelope.sender, reply)])
            return
        state = process.claimant.on_reply(envelope.sender, envelope.message, self.now_ms)
        if state is ClaimState.HELD:
            holders = self.held.setdefault(envelope.message.request_id, set())
            holders.add((envelope.target, process.incarnation))

    @rule(host=hosts)
    def send_again(self, host: str) -> None:
        if host in self.processes:
            self._post(host, self.processes[host].claimant.on_timer(self.now_ms))

    @rule(request_id=ids, count=st.integers(1, 3))
    def restart_witnesses(self, request_id: bytes, count: int) -> None:
        """Restart witnesses, which lose their grants and then learn the newest revision."""
        for host in self._witnesses(request_id)[:count]:
            if host in self.processes:
                self._start(host, abstain_ms=CLAIM_RETENTION_MS)
                self._learn(host)

    @rule(request_id=ids, count=st.integers(1, 2), back=st.booleans(), learn=st.booleans())
    def replace_witnesses(self, request_id: bytes, count: int, back: bool, learn: bool) -> None:
        """Replace declared hosts, one per revision; all hosts or only new ones learn of it."""
        for host in self._witnesses(request_id)[:count]:
            spare = [h for h in sorted(DOMAIN_OF) if h not in self.declared[-1]]
            new = spare[0] if back else spare[-1]
            self.declared.append(tuple(sorted((*(set(self.declared[-1]) - {host}), new))))
            if new not in self.processes:
                self._start(new, abstain_ms=0)
                self._learn(new)
            if learn:
                self.learn(set())
                self.read_reports(set())

    def _witnesses(self, request_id: bytes) -> tuple[str, ...]:
        return witnesses(request_id, tuple((h, DOMAIN_OF[h]) for h in self.declared[-1]))

    @rule(deaf=st.sets(hosts, max_size=3))
    def learn(self, deaf: set[str]) -> None:
        for host in self.processes.keys() - deaf:
            self._learn(host)

    @rule(unseen=st.sets(hosts, max_size=2))
    def read_reports(self, unseen: set[str]) -> None:
        for reader in self.processes:
            self._read_reports(reader, self.processes.keys() - unseen)

    def _read_reports(self, reader: str, seen: set[str]) -> None:
        members = tuple(
            MemberView(
                host,
                DOMAIN_OF[host],
                self.processes[host].incarnation,
                MemberState.ALIVE,
                HostDigest(revision=self.processes[host].sets.revision),
            )
            for host in sorted(seen)
            if self.side.get(host, 0) == self.side.get(reader, 0)
        )
        self.processes[reader].sets.set_members(MembershipView(members), self.now_ms)

    @rule(sides=st.lists(st.integers(0, 1), min_size=4, max_size=4))
    def partition(self, sides: list[int]) -> None:
        self.side = {host: sides["abcd".index(domain)] for host, domain in DOMAIN_OF.items()}

    @rule()
    def heal(self) -> None:
        self.side = {}

    @rule(duration_ms=st.sampled_from([60, 2_000, 31_000, 91_000]))
    def pass_time(self, duration_ms: int) -> None:
        self.now_ms += duration_ms
        for process in self.processes.values():
            process.sets.on_timer(self.now_ms)

    @invariant()
    def one_holder(self) -> None:
        for request_id, holders in getattr(self, "held", {}).items():
            assert len(holders) <= 1, f"{request_id!r} is held by {sorted(holders)}"


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=400, stateful_step_count=40)
