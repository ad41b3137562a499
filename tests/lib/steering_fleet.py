"""Several FlowSteering objects on a virtual clock, connected by a lossy network.

The fleet simulates the network fabric, membership and the distribution of revisions.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

from redwingswitch._internal.decisions.flows.flow_steering import FlowSteering
from redwingswitch._internal.models.actions import Drop, SendToBackendServer, SendToPeer
from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    DeclaredEntryHost,
    ServerState,
    Service,
    ServiceLevelObjectives,
    SizeClass,
)
from redwingswitch._internal.models.events import PacketArrived
from redwingswitch._internal.models.identifiers import FlowKey, PacketKind, flow_hash
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from redwingswitch._internal.models.messages import PeerMessage

HEARTBEAT_INTERVAL_MS = 300


class Delivery(NamedTuple):
    """A packet that reached a backend server, or was dropped when the server is empty."""

    at_ms: int
    host: str
    flow: FlowKey
    kind: PacketKind
    service: str
    server: str


def service(
    name: str, number: int, servers: dict[str, str], states: dict[str, ServerState] | None = None
) -> Service:
    """Build a stream service at 10.1.0.``number``; ``servers`` maps names to failure domains."""
    details = tuple(
        BackendServer(
            name=server,
            service=name,
            failure_domain=domain,
            address=f"10.2.{number}.{position}",
            tunnel_port=8101,
            stream_port=8201,
            request_port=8301,
            report_port=8401,
            slots=2,
            connection_limit=2000,
            state=(states or {}).get(server, ServerState.ACTIVE),
        )
        for position, (server, domain) in enumerate(servers.items())
    )
    return Service(
        name=name,
        address=f"10.1.0.{number}",
        port=443,
        listen_port=0,
        takes_streams=True,
        takes_requests=False,
        idempotent=False,
        size_class=SizeClass.SHORT,
        expected_service_ms=50,
        idle_limit_ms=900_000,
        objectives=ServiceLevelObjectives(),
        backend_servers=details,
    )


def configuration(
    revision: int, services: Iterable[Service], hosts: dict[str, str]
) -> Configuration:
    """Build a configuration; ``hosts`` maps the declared entry hosts to failure domains."""
    active = ServerState.ACTIVE
    entries = tuple(
        DeclaredEntryHost(name, domain, "127.0.0.1", 7101, 7201, 7301, 7401, "", active)
        for name, domain in hosts.items()
    )
    return Configuration(revision, f"digest-{revision}", (), tuple(services), entries, ())


def flow_key(service_number: int, caller: int) -> FlowKey:
    """Return the key of a flow from a numbered caller."""
    address = (0x0A400000 + caller // 20_000).to_bytes(4, "big")
    return FlowKey(6, address, 20_000 + caller % 20_000, bytes((10, 1, 0, service_number)), 443)


class SimulatedHost:
    """A FlowSteering object with the membership view that is presented to it."""

    def __init__(self, *, name: str, domain: str, incarnation: int, seed: int) -> None:
        self.name = name
        self.domain = domain
        self.incarnation = incarnation
        self.steering = FlowSteering(
            host=name, failure_domain=domain, random_source=random.Random(f"{seed}-{name}")
        )
        self.revision = 0
        self.states: dict[str, MemberState] = {}
        self.incarnations: dict[str, int] = {name: incarnation}
        self.digests: dict[str, HostDigest] = {}
        self.timer_ms: int | None = None


class Fleet:
    """Run hosts, their messages and their timers in the order of a virtual clock."""

    def __init__(
        self,
        *,
        hosts: dict[str, str],
        seed: int,
        delay_ms: tuple[int, int] = (1, 10),
        loss: float = 0.0,
    ) -> None:
        self.now_ms = 0
        self.random = random.Random(seed)
        self.seed = seed
        self.delay_ms = delay_ms
        self.loss = loss
        self.hosts: dict[str, SimulatedHost] = {}
        self.domains: dict[str, str] = {}
        self.deliveries: list[Delivery] = []
        self.first_servers: dict[FlowKey, str] = {}
        self.broken_flows: set[FlowKey] = set()
        self.drops: Counter[str] = Counter()
        # Revisions that hosts fetch from a peer whose heartbeat advertises them.
        self.documents: dict[int, Configuration] = {}
        self.on_message: Callable[[str, PeerMessage], None] | None = None
        self.is_cut: Callable[[str, str], bool] = lambda _a, _b: False
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        for name, domain in hosts.items():
            self._create_host(name, domain)
        for host in self.hosts.values():
            host.states = dict.fromkeys(self.hosts, MemberState.ALIVE)
            host.incarnations = {name: h.incarnation for name, h in self.hosts.items()}
            self._update_view(host)

    # Scheduling.

    def at(self, at_ms: int, call: Callable[[], None]) -> None:
        """Run ``call`` at a virtual time."""
        heapq.heappush(self._queue, (max(at_ms, self.now_ms), next(self._order), call))

    def run_until(self, until_ms: int) -> None:
        """Run everything up to ``until_ms``."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def run_for(self, span_ms: int) -> None:
        """Run everything in the next ``span_ms``."""
        self.run_until(self.now_ms + span_ms)

    # Hosts.

    def _create_host(self, name: str, domain: str) -> SimulatedHost:
        host = SimulatedHost(
            name=name, domain=domain, incarnation=next(self._order) << 16, seed=self.seed
        )
        self.hosts[name] = host
        self.domains[name] = domain
        self.at(
            self.now_ms + self.random.randrange(HEARTBEAT_INTERVAL_MS),
            lambda: self._send_heartbeat(host),
        )
        return host

    def join(self, name: str, domain: str, config: Configuration, spread_ms: int) -> None:
        """Start a host; it and the others see each other at different times in ``spread_ms``."""
        host = self._create_host(name, domain)
        host.states = {name: MemberState.ALIVE}
        self._update_view(host)
        self.apply(name, config)
        for other in list(self.hosts.values()):
            if other is not host:
                self._observe_state_within(other, host, MemberState.ALIVE, spread_ms)
                self._observe_state_within(host, other, MemberState.ALIVE, spread_ms)

    def stop(self, name: str, spread_ms: int) -> None:
        """Begin a graceful stop; the others observe it at different times within ``spread_ms``."""
        host = self.hosts[name]
        host.states[name] = MemberState.LEAVING
        self._perform(host, host.steering.begin_stop(self.now_ms))
        self._announce(host, MemberState.LEAVING, spread_ms)

    def finish_stop(self, name: str, spread_ms: int) -> None:
        """End the process of a stopped host."""
        self.crash(name, suspect_after_ms=1_000, dead_after_ms=2_500, spread_ms=spread_ms)

    def crash(
        self, name: str, *, suspect_after_ms: int, dead_after_ms: int, spread_ms: int
    ) -> None:
        """Remove a host; the others suspect it, then see it as dead, at different times."""
        host = self.hosts.pop(name)
        for other in self.hosts.values():
            lag_ms = self.random.randrange(spread_ms + 1)
            if other.states.get(name) is MemberState.ALIVE:
                self._observe_state_after(
                    other, host, MemberState.SUSPECTED, suspect_after_ms + lag_ms
                )
            self._observe_state_after(other, host, MemberState.DEAD, dead_after_ms + lag_ms)

    def set_observed_state(
        self, host: SimulatedHost, subject: SimulatedHost, state: MemberState
    ) -> None:
        """Set the state of a host in the view of another host."""
        self._observe_state(host, subject, state)

    def _announce(self, subject: SimulatedHost, state: MemberState, spread_ms: int) -> None:
        for other in self.hosts.values():
            if other is not subject:
                self._observe_state_within(other, subject, state, spread_ms)

    def _observe_state_within(
        self, host: SimulatedHost, subject: SimulatedHost, state: MemberState, spread_ms: int
    ) -> None:
        self._observe_state_after(host, subject, state, self.random.randrange(spread_ms + 1))

    def _observe_state_after(
        self, host: SimulatedHost, subject: SimulatedHost, state: MemberState, after_ms: int
    ) -> None:
        self.at(self.now_ms + after_ms, lambda: self._observe_state(host, subject, state))

    def _observe_state(
        self, host: SimulatedHost, subject: SimulatedHost, state: MemberState
    ) -> None:
        """Set a state unless the observer has ended or knows a later process of the subject."""
        known = host.states.get(subject.name, MemberState.DEAD)
        later = host.incarnations.get(subject.name, 0) > subject.incarnation
        returning = known is MemberState.DEAD and self.hosts.get(subject.name) is not subject
        if self.hosts.get(host.name) is not host or later or returning:
            return
        host.states[subject.name] = state
        host.incarnations[subject.name] = subject.incarnation
        self._update_view(host)

    def _update_view(self, host: SimulatedHost) -> None:
        members = tuple(
            MemberView(
                name,
                self.domains[name],
                host.incarnations[name],
                state,
                host.digests.get(name, HostDigest()),
            )
            for name, state in sorted(host.states.items())
        )
        self._perform(host, host.steering.set_members(MembershipView(members), self.now_ms))

    def _send_heartbeat(self, host: SimulatedHost) -> None:
        """Send the digest to every other running host, as heartbeats do."""
        if self.hosts.get(host.name) is not host:
            return
        digest = HostDigest(
            revision=host.revision, needed_revisions=host.steering.needed_revisions()
        )
        for other in list(self.hosts.values()):
            if other is not host and not self._is_lost(host.name, other.name):
                self.at(
                    self.now_ms + self._draw_delay_ms(),
                    lambda o=other: self._on_heartbeat(o, host, digest),
                )
        self.at(self.now_ms + HEARTBEAT_INTERVAL_MS, lambda: self._send_heartbeat(host))

    def _on_heartbeat(self, host: SimulatedHost, sender: SimulatedHost, digest: HostDigest) -> None:
        if self.hosts.get(host.name) is not host or sender.name not in host.states:
            return
        host.digests[sender.name] = digest
        document = self.documents.get(digest.revision)
        if document is not None and document.revision > host.revision:
            after_ms = self.now_ms + 2 * self._draw_delay_ms()
            self.at(after_ms, lambda: self.apply(host.name, document))
        self._update_view(host)

    # Configuration and health.

    def apply(self, name: str, config: Configuration) -> None:
        """Apply a newer revision at one host now."""
        host = self.hosts.get(name)
        if host is None or config.revision <= host.revision:
            return
        host.revision = config.revision
        self._perform(host, host.steering.apply_configuration(config, self.now_ms))

    def apply_through_peers(self, name: str, config: Configuration) -> None:
        """Apply a revision at one host; the others learn of it only from heartbeats."""
        self.documents[config.revision] = config
        self.apply(name, config)

    def apply_unevenly(self, config: Configuration, spread_ms: int) -> None:
        """Apply a revision at one host now and at the others within ``spread_ms``."""
        names = list(self.hosts)
        first = names[self.random.randrange(len(names))]
        for name in names:
            lag_ms = 0 if name == first else self.random.randrange(spread_ms + 1)
            self.at(self.now_ms + lag_ms, lambda n=name: self.apply(n, config))

    def eject(self, servers: frozenset[str], spread_ms: int) -> None:
        """Eject servers at all hosts, at different times within ``spread_ms``."""
        for host in self.hosts.values():
            lag_ms = self.random.randrange(spread_ms + 1)
            self.at(self.now_ms + lag_ms, lambda h=host: self._eject(h, servers))

    def _eject(self, host: SimulatedHost, servers: frozenset[str]) -> None:
        self._perform(host, host.steering.set_ejected(servers, self.now_ms))

    # Packets and messages.

    def packet(self, flow: FlowKey, kind: PacketKind, host: str | None = None) -> None:
        """Deliver a packet to a host, by default to a random one, as the fabric does."""
        names = list(self.hosts)
        target = self.hosts[host or names[self.random.randrange(len(names))]]
        event = PacketArrived(flow, flow_hash(flow), kind, kind.encode())
        self._perform(target, target.steering.on_packet(event, self.now_ms))

    def _perform(self, host: SimulatedHost, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send(host, action.host, action.message)
            elif isinstance(action, SendToBackendServer):
                kind = PacketKind(action.payload.decode())
                self.deliveries.append(
                    Delivery(
                        self.now_ms,
                        host.name,
                        action.flow,
                        kind,
                        action.service,
                        action.backend_server,
                    )
                )
                first = self.first_servers.setdefault(action.flow, action.backend_server)
                if first != action.backend_server:
                    self.broken_flows.add(action.flow)
            elif isinstance(action, Drop):
                self.drops[action.reason] += 1
        self._set_timer(host)

    def _send(self, host: SimulatedHost, target: str, message: PeerMessage) -> None:
        if self.on_message is not None:
            self.on_message(host.name, message)
        if target not in self.hosts or self._is_lost(host.name, target):
            return
        receiver = self.hosts[target]
        self.at(
            self.now_ms + self._draw_delay_ms(), lambda: self._receive(receiver, host.name, message)
        )

    def _receive(self, host: SimulatedHost, sender: str, message: PeerMessage) -> None:
        if self.hosts.get(host.name) is host:
            actions = host.steering.on_message(sender, message, self.now_ms)
            self._perform(host, actions)

    def _is_lost(self, sender: str, receiver: str) -> bool:
        return self.random.random() < self.loss or self.is_cut(sender, receiver)

    def _draw_delay_ms(self) -> int:
        low, high = self.delay_ms
        return low + self.random.randrange(high - low + 1)

    def _set_timer(self, host: SimulatedHost) -> None:
        """Keep one timer for each host, at its earliest deadline."""
        due_ms = host.steering.next_deadline_ms()
        if due_ms is None or (host.timer_ms is not None and host.timer_ms <= due_ms):
            return
        host.timer_ms = due_ms
        self.at(due_ms, lambda: self._on_timer(host, due_ms))

    def _on_timer(self, host: SimulatedHost, due_ms: int) -> None:
        if self.hosts.get(host.name) is not host or host.timer_ms != due_ms:
            return
        host.timer_ms = None
        self._perform(host, host.steering.on_timer(self.now_ms))
