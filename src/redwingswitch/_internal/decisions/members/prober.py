"""Failure detector: direct and indirect probes of other entry hosts.

Hosts in the failure domain of the local host are probed more often and with shorter timeouts than
hosts in other failure domains.
"""

from __future__ import annotations

from redwingswitch._internal.decisions.members.dead_host_probes import DeadHostProbes
from redwingswitch._internal.decisions.members.host_list_hints import HostListHints
from redwingswitch._internal.decisions.members.member_gossip import MemberGossip
from redwingswitch._internal.decisions.members.member_table import MemberTable
from redwingswitch._internal.decisions.members.probes import (
    RELAYED_PROBE_TIMEOUT_MS,
    PendingProbe,
    PendingProbes,
    ProbeOrder,
    RelayedProbe,
    RelayedProbes,
)
from redwingswitch._internal.models.actions import Action, Drop, DropReason, SendToPeer
from redwingswitch._internal.models.members import HostDigest, MemberState
from redwingswitch._internal.models.messages import Ack, Ping, PingRequest
from redwingswitch._internal.ports import RandomSource

LOCAL_DOMAIN_PROBE_INTERVAL_MS = 300
OTHER_DOMAIN_PROBE_INTERVAL_MS = 1_000
URGENT_OTHER_DOMAIN_PROBE_INTERVAL_MS = 300
LOCAL_DOMAIN_ACK_TIMEOUT_MS = 150
OTHER_DOMAIN_ACK_TIMEOUT_MS = 400
LOCAL_DOMAIN_INDIRECT_ACK_TIMEOUT_MS = 300
OTHER_DOMAIN_INDIRECT_ACK_TIMEOUT_MS = 800
INDIRECT_PROBE_COUNT = 2


class Prober:
    """Sends probes by timer and suspects members that do not answer.

    ``digest``, the summary of this host's status, is sent with every probe. Hosts in ``listed`` are
    probed even when they are dead.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        table: MemberTable,
        gossip: MemberGossip,
        hints: HostListHints,
        random_source: RandomSource,
    ) -> None:
        self._failure_domain = failure_domain
        self._table = table
        self._gossip = gossip
        self._hints = hints
        self._random = random_source
        self.digest = HostDigest()
        self.listed: frozenset[str] = frozenset()
        self._sequence = 0
        self._pending = PendingProbes()
        self._relayed_probes = RelayedProbes()
        self._local_domain_order = ProbeOrder(random_source=random_source)
        self._other_domain_order = ProbeOrder(random_source=random_source)
        self._dead_host_probes = DeadHostProbes(random_source=random_source)
        self._next_local_domain_ms: int | None = None
        self._next_other_domain_ms: int | None = None

    def schedule_first_probes(self, now_ms: int) -> None:
        """Schedule the first probes, unless they are already scheduled."""
        if self._next_local_domain_ms is None:
            self._next_local_domain_ms = now_ms + self._random.randrange(
                LOCAL_DOMAIN_PROBE_INTERVAL_MS
            )
            self._next_other_domain_ms = now_ms + self._random.randrange(
                OTHER_DOMAIN_PROBE_INTERVAL_MS
            )

    def clear_pending(self) -> None:
        """Drop all pending probes, whose answers may have been missed during a pause."""
        self._pending.clear()

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        deadlines = (
            self._next_local_domain_ms,
            self._next_other_domain_ms,
            self._dead_host_probes.next_deadline_ms(),
            self._pending.next_deadline_ms(),
        )
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Send due probes, and handle probes that have timed out."""
        actions: list[Action] = []
        for probe in self._pending.take_due(now_ms):
            actions += self._on_probe_timeout(probe, now_ms)
        self._relayed_probes.expire(now_ms)
        actions += self._send_local_domain_probes(now_ms)
        actions += self._send_other_domain_probe(now_ms)
        actions += self._send_dead_host_probe(now_ms)
        return actions

    def on_ack(self, sender: str, message: Ack) -> list[Action]:
        """Complete a pending probe, or forward the ack of a probe made for another host."""
        relayed_probe = self._relayed_probes.take(message.sequence, sender)
        if relayed_probe is None:
            self._pending.discard_answered(message.subject, message.sequence)
            return []
        updates = self._gossip.updates_for(relayed_probe.requester)
        answer = Ack(relayed_probe.requester_sequence, sender, updates, self.digest)
        return [SendToPeer(relayed_probe.requester, answer)]

    def on_ping_request(self, sender: str, message: PingRequest, now_ms: int) -> list[Action]:
        """Probe a host for the sender, unless too many such probes are pending."""
        sequence = self._next_sequence()
        relayed_probe = RelayedProbe(
            sender, message.sequence, message.target, now_ms + RELAYED_PROBE_TIMEOUT_MS
        )
        if not self._relayed_probes.put(sequence, relayed_probe, now_ms):
            return [Drop(DropReason.OVERLOAD, sender)]
        return [self._ping(message.target, sequence, on_behalf_of=sender)]

    def ping_now(self, target: str) -> list[Action]:
        """Return a ping outside the regular schedule."""
        return [self._ping(target, self._next_sequence())]

    def on_host_returned(self, now_ms: int) -> None:
        """Probe dead hosts more often, because one of them is alive again."""
        self._dead_host_probes.on_host_returned(now_ms)

    def on_host_list(self, now_ms: int) -> None:
        """Probe dead hosts sooner if the platform lists one of them as running."""
        if any(self._hints.reports_running(member.host, now_ms) for member in self._table.dead()):
            self._dead_host_probes.on_dead_host_listed(now_ms)

    def _on_probe_timeout(self, probe: PendingProbe, now_ms: int) -> list[Action]:
        member = self._table.get(probe.target)
        if member is None or member.state == MemberState.DEAD:
            return []
        if not probe.indirect:
            return self._probe_indirectly(probe, now_ms)
        if not self._table.suspect(member, now_ms):
            return []
        if self._hints.reports_not_running(member.host, now_ms):
            self._table.shorten_suspicion(member)
        # Sends the suspicion to the suspected host at once, so that it can refute it in time.
        return self.ping_now(member.host)

    def _probe_indirectly(self, probe: PendingProbe, now_ms: int) -> list[Action]:
        wait_ms = (
            LOCAL_DOMAIN_INDIRECT_ACK_TIMEOUT_MS
            if probe.in_local_domain
            else OTHER_DOMAIN_INDIRECT_ACK_TIMEOUT_MS
        )
        self._pending.put(probe._replace(indirect=True, deadline_ms=now_ms + wait_ms))
        request = PingRequest(probe.sequence, probe.target)
        relay_hosts = self._choose_relays(probe.target)
        # Repeats the direct probe too: a missing answer is most often due to a single lost message.
        repeated: list[Action] = [self._ping(probe.target, probe.sequence)]
        return repeated + [SendToPeer(relay_host, request) for relay_host in relay_hosts]

    def _choose_relays(self, target: str) -> list[str]:
        subject = self._table.get(target)
        domain = subject.failure_domain if subject is not None else ""
        alive = [m for m in self._table if m.state == MemberState.ALIVE and m.host != target]
        self._random.shuffle(alive)
        alive.sort(key=lambda member: member.failure_domain != domain)
        return [member.host for member in alive[:INDIRECT_PROBE_COUNT]]

    def _send_local_domain_probes(self, now_ms: int) -> list[Action]:
        if self._next_local_domain_ms is None or now_ms < self._next_local_domain_ms:
            return []
        self._next_local_domain_ms = now_ms + LOCAL_DOMAIN_PROBE_INTERVAL_MS
        if self._next_other_domain_ms is not None and now_ms < self._table.urgent_gossip_until_ms:
            self._next_other_domain_ms = min(
                self._next_other_domain_ms, now_ms + URGENT_OTHER_DOMAIN_PROBE_INTERVAL_MS
            )
        actions = self._probe_next(self._local_domain_order, now_ms, in_local_domain=True)
        return actions + self._ping_suspected() + self._probe_unverified(now_ms)

    def _send_other_domain_probe(self, now_ms: int) -> list[Action]:
        if self._next_other_domain_ms is None or now_ms < self._next_other_domain_ms:
            return []
        self._next_other_domain_ms = now_ms + OTHER_DOMAIN_PROBE_INTERVAL_MS
        return self._probe_next(self._other_domain_order, now_ms, in_local_domain=False)

    def _send_dead_host_probe(self, now_ms: int) -> list[Action]:
        dead = self._dead_hosts_to_probe(now_ms)
        self._dead_host_probes.ensure_scheduled(dead, now_ms)
        target = self._dead_host_probes.take_due_host(dead, now_ms)
        return [] if target is None else self.ping_now(target)

    def _probe_next(self, order: ProbeOrder, now_ms: int, *, in_local_domain: bool) -> list[Action]:
        target = order.next(
            self._table.names(),
            self._is_in_local_domain if in_local_domain else self._is_in_other_domain,
        )
        if target is None:
            return []
        return self._probe(target, now_ms, in_local_domain=in_local_domain)

    def _probe(self, target: str, now_ms: int, *, in_local_domain: bool) -> list[Action]:
        if target in self._pending:
            return []
        sequence = self._next_sequence()
        deadline_ms = now_ms + (
            LOCAL_DOMAIN_ACK_TIMEOUT_MS if in_local_domain else OTHER_DOMAIN_ACK_TIMEOUT_MS
        )
        self._pending.put(PendingProbe(target, sequence, in_local_domain, False, deadline_ms))
        return [self._ping(target, sequence)]

    def _is_in_local_domain(self, host: str) -> bool:
        member = self._table.get(host)
        if member is None or member.state == MemberState.DEAD:
            return False
        return member.failure_domain == self._failure_domain

    def _is_in_other_domain(self, host: str) -> bool:
        member = self._table.get(host)
        if member is None or member.state == MemberState.DEAD:
            return False
        return member.failure_domain != self._failure_domain

    def _ping_suspected(self) -> list[Action]:
        suspected = [member.host for member in self._table.suspected()]
        if not suspected:
            return []
        return self.ping_now(suspected[self._random.randrange(len(suspected))])

    def _probe_unverified(self, now_ms: int) -> list[Action]:
        unverified = self._table.unverified()
        if not unverified:
            return []
        member = unverified[self._random.randrange(len(unverified))]
        in_local_domain = member.failure_domain == self._failure_domain
        return self._probe(member.host, now_ms, in_local_domain=in_local_domain)

    def _dead_hosts_to_probe(self, now_ms: int) -> list[str]:
        dead = (member.host for member in self._table.dead())
        return [
            host
            for host in dead
            if host in self.listed or self._hints.reports_running(host, now_ms)
        ]

    def _ping(self, target: str, sequence: int, *, on_behalf_of: str = "") -> SendToPeer:
        updates = self._gossip.updates_for(target)
        return SendToPeer(target, Ping(sequence, updates, self.digest, on_behalf_of))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
