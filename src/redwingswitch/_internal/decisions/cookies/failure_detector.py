"""Passive detection of unresponsive backend servers from callers' packets."""

from __future__ import annotations

from collections.abc import Container

from redwingswitch._internal.decisions.cookies.stall_tracker import (
    NEVER_EXPIRES_MS,
    Stall,
    StallTracker,
)
from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.cookie_flows import FlowEndpoints, ListedServer, Suspicion
from redwingswitch._internal.ports import RandomSource

# A failure domain is suspected only when flows stall at this many of its servers.
MIN_STALLED_SERVERS_PER_DOMAIN = 2
# Stalls in this many failure domains, without an answer in between, may come from this host's own
# link: a congested one delays or drops packets of all flows.
MIN_STALLED_DOMAINS_OF_OWN_LINK = 2
# The third transmission of the same data counts as a stall: the first two were not acknowledged for
# 600 ms. Requests that take longer than 200 ms are sent twice to healthy servers too.
RETRANSMISSIONS_TO_STALL = 2
# A suspected server or failure domain is probed with one new flow after this delay, which doubles
# with each failed probe. If it fails, that caller waits until its opening packet is offered to
# another server.
FIRST_PROBE_DELAY_MS = 500
MAX_PROBE_DELAY_MS = 4_000
# Before any time on the clock of a host.
NEVER_MS = -(1 << 62)


class PassiveFailureDetector:
    """Suspects servers and failure domains at which several flows stall.

    A flow stalls when its opening packet or its data gets no answer in time. A server is suspected
    after a few stalls and condemned, that is, taken to be unresponsive, after more stalls that are
    all confirmed. A single answer clears the server and its failure domain. So does ``expire`` when
    there was no stall for ``SUSPICION_LIFETIME_MS``: a server that gets no flow cannot answer. Only
    the path from this host is observed, so a network partition is detected in the same way as a
    failed server.

    This host's own link is in doubt from the time when servers of several failure domains stall,
    until a server answers a packet that was sent after those that stalled.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        # When the latest packet was sent that a server has answered.
        self._answered_packet_ms = NEVER_MS
        # When the latest of the packets was sent that put the link in doubt; None without doubt.
        self._doubted_packet_ms: int | None = None
        # Packets sent before may have been lost on this host's own link.
        self._trusted_since_ms = NEVER_MS
        self._servers: dict[str, StallTracker] = {}
        self._domains: dict[str, StallTracker] = {}
        # When the first suspicion ends, or earlier.
        self._next_expiry_ms = NEVER_EXPIRES_MS

    def on_answer(self, server: ListedServer, now_ms: int) -> bool:
        """Record an answer from a server; return whether the server was suspected."""
        was_suspected = self.suspicion(server) is not Suspicion.NONE
        for tracker in self._trackers(server):
            tracker.on_answer(now_ms)
        return was_suspected

    def on_packet_answered(self, sent_ms: int, *, latest_copy_ms: int) -> None:
        """Record that a server has answered a packet.

        It was sent to the server at ``sent_ms`` for the first time, and no later than at
        ``latest_copy_ms`` for the last time.
        """
        self._answered_packet_ms = max(self._answered_packet_ms, sent_ms)
        if self._doubted_packet_ms is not None and sent_ms > self._doubted_packet_ms:
            self._doubted_packet_ms = None
            self._trusted_since_ms = latest_copy_ms

    def was_link_trusted(self, sent_ms: int) -> bool:
        """Return whether a packet sent at ``sent_ms`` cannot count as lost on this host's link."""
        return sent_ms >= self._trusted_since_ms

    def on_opening_unanswered(
        self,
        server: ListedServer,
        flow: FlowEndpoints,
        now_ms: int,
        *,
        sent_ms: int,
        is_confirmed: bool,
    ) -> bool:
        """Record an opening packet, sent at ``sent_ms``, that a server did not answer.

        Return whether the suspicion rises.

        The stall is confirmed when the caller accepted another server's answer. Otherwise the
        server may have refused the flow, or the caller's packets may now go to another host.
        """
        stall = Stall(server.server_id, flow, is_confirmed, is_open=False)
        return self._on_stall(server, stall, sent_ms=sent_ms, unanswered_ms=sent_ms, now_ms=now_ms)

    def on_retransmission(
        self,
        server: ListedServer,
        flow: FlowEndpoints,
        retransmissions: int,
        now_ms: int,
        *,
        sent_ms: int,
        previous_copy_ms: int,
    ) -> bool:
        """Record a retransmission; return whether the suspicion rises.

        ``retransmissions`` counts those of the flow since its last progress. The first transmission
        was at ``sent_ms``, and the latest one before this at ``previous_copy_ms``.
        """
        if retransmissions < RETRANSMISSIONS_TO_STALL:
            return False
        stall = Stall(server.server_id, flow, is_confirmed=True, is_open=True)
        # Transmissions before this host's link was trusted again are not counted.
        counted_from_ms = max(sent_ms, self._trusted_since_ms)
        return self._on_stall(
            server, stall, sent_ms=counted_from_ms, unanswered_ms=previous_copy_ms, now_ms=now_ms
        )

    def expire(self, now_ms: int) -> list[str]:
        """End the suspicions that no stall has prolonged; return the ids of these servers.

        Must be called before a decision that depends on a suspicion.
        """
        if now_ms < self._next_expiry_ms:
            return []
        ended = [name for name, tracker in self._servers.items() if tracker.expire(now_ms)]
        for tracker in self._domains.values():
            tracker.expire(now_ms)
        self._update_next_expiry()
        return ended

    @property
    def is_link_doubted(self) -> bool:
        """Return whether stalls may come from this host's own link."""
        return self._doubted_packet_ms is not None

    def suspicion(self, server: ListedServer) -> Suspicion:
        """Return the higher suspicion of a server and of its failure domain.

        It keeps new flows away. Open flows are reset by ``silence`` only.
        """
        return max(tracker.suspicion for tracker in self._trackers(server))

    def silence(self, server: ListedServer, now_ms: int) -> Suspicion:
        """Return the suspicion by which the server's open flows may be reset at ``now_ms``.

        Only open flows of the server itself count whose data it has left unanswered just now: a
        full server answers no opening packets, and an earlier silence may have been that of a path
        which works again. A condemned failure domain condemns a server with one such flow.

        Stalls may also come from this host's own link, which delays or drops packets while it is
        congested. They count only once a server has answered a packet that was sent later, not
        while the link is in doubt, and without the packets that were sent before that doubt ended.
        """
        if self._doubted_packet_ms is not None:
            return Suspicion.NONE
        trackers = own, domain = self._trackers(server)
        since_ms = self._trusted_since_ms
        suspicion = max(tracker.suspicion_by_packets_since(since_ms) for tracker in trackers)
        stalls = own.silent_flows(now_ms, sent_since_ms=since_ms)
        if suspicion is Suspicion.NONE or not stalls:
            return Suspicion.NONE
        if self._answered_packet_ms < min(times.sent_ms for times in stalls.values()):
            return Suspicion.NONE
        domain_stalls = domain.silent_flows(now_ms, sent_since_ms=since_ms)
        if own.are_condemning(stalls) or domain.are_condemning(domain_stalls):
            return Suspicion.CONDEMNED
        return Suspicion.SUSPECTED

    def is_suspected(self, server: ListedServer) -> bool:
        """Return whether a server or its failure domain is suspected."""
        return self.suspicion(server) is not Suspicion.NONE

    def is_server_suspected(self, server: ListedServer) -> bool:
        """Return whether a server is suspected for stalls of its own flows."""
        tracker = self._servers.get(server.server_id)
        return tracker is not None and tracker.suspicion is not Suspicion.NONE

    @property
    def has_suspected_domain(self) -> bool:
        """Return whether a failure domain is suspected."""
        return any(tracker.suspicion is not Suspicion.NONE for tracker in self._domains.values())

    def is_domain_probe_due(self, server: ListedServer, now_ms: int) -> bool:
        """Return whether a flow to this server is due to show that its failure domain answers."""
        _, domain = self._trackers(server)
        return domain.suspicion is not Suspicion.NONE and self.is_probe_due(server, now_ms)

    def answered_since(self, server: ListedServer, since_ms: int) -> bool:
        """Return whether a server answered at ``since_ms`` or later."""
        tracker = self._servers.get(server.server_id)
        return (
            tracker is not None
            and tracker.last_answer_ms is not None
            and tracker.last_answer_ms >= since_ms
        )

    def is_probe_due(self, server: ListedServer, now_ms: int) -> bool:
        """Return whether a suspected server may be offered one flow as a probe."""
        return all(
            tracker.suspicion is Suspicion.NONE or now_ms >= tracker.next_probe_ms
            for tracker in self._trackers(server)
        )

    def on_probe(self, server: ListedServer, now_ms: int) -> None:
        """Record a probe of a suspected server, which counts as failed until the server answers."""
        for tracker in self._trackers(server):
            if tracker.suspicion is not Suspicion.NONE:
                tracker.failed_probes += 1
                tracker.next_probe_ms = now_ms + self._probe_delay_ms(tracker.failed_probes)

    def retain(self, server_ids: Container[str]) -> None:
        """Drop the state of all other servers, and what failure domains are suspected for them."""
        for server_id in [name for name in self._servers if name not in server_ids]:
            del self._servers[server_id]
        for domain in self._domains.values():
            domain.retain(server_ids)

    def _doubt_link_if_domains_stall(self, sent_ms: int) -> None:
        """Doubt the link while servers of several domains stall and no later packet is answered."""
        stalled = [
            tracker
            for tracker in self._domains.values()
            if tracker.stalls and tracker.unanswered_since_ms > self._answered_packet_ms
        ]
        if len(stalled) >= MIN_STALLED_DOMAINS_OF_OWN_LINK:
            self._doubted_packet_ms = max(self._doubted_packet_ms or NEVER_MS, sent_ms)

    def _on_stall(
        self,
        server: ListedServer,
        stall: Stall,
        *,
        sent_ms: int,
        unanswered_ms: int,
        now_ms: int,
    ) -> bool:
        rises = False
        for tracker in self._trackers(server):
            was_clear = tracker.suspicion is Suspicion.NONE
            if tracker.on_stall(stall, sent_ms=sent_ms, unanswered_ms=unanswered_ms, now_ms=now_ms):
                rises = True
                if was_clear:
                    tracker.next_probe_ms = now_ms + self._probe_delay_ms(1)
            self._next_expiry_ms = min(self._next_expiry_ms, tracker.suspicion_expires_ms)
        self._doubt_link_if_domains_stall(sent_ms)
        return rises

    def _update_next_expiry(self) -> None:
        trackers = (*self._servers.values(), *self._domains.values())
        self._next_expiry_ms = min(
            (tracker.suspicion_expires_ms for tracker in trackers), default=NEVER_EXPIRES_MS
        )

    def _trackers(self, server: ListedServer) -> tuple[StallTracker, StallTracker]:
        server_tracker = self._servers.get(server.server_id)
        if server_tracker is None:
            server_tracker = self._servers[server.server_id] = StallTracker(min_servers=1)
        domain_tracker = self._domains.get(server.failure_domain)
        if domain_tracker is None:
            domain_tracker = StallTracker(min_servers=MIN_STALLED_SERVERS_PER_DOMAIN)
            self._domains[server.failure_domain] = domain_tracker
        return server_tracker, domain_tracker

    def _probe_delay_ms(self, attempt: int) -> int:
        return backoff_ms(
            attempt, self._random, base_ms=FIRST_PROBE_DELAY_MS, limit_ms=MAX_PROBE_DELAY_MS
        )
