"""Which entry hosts are alive: a SWIM-style protocol with sparse probes between failure domains.

Source of the method: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002.
"""

from __future__ import annotations

from collections.abc import Iterable

from redwingswitch._internal.decisions.digest_bounds import bound_digest, expand_digest
from redwingswitch._internal.decisions.member_gossip import MemberGossip
from redwingswitch._internal.decisions.member_table import Member, MemberTable
from redwingswitch._internal.decisions.probes import (
    RELAY_MS,
    PendingProbe,
    PendingProbes,
    ProbeOrder,
    Relay,
    Relays,
)
from redwingswitch._internal.models.actions import Action, Drop, DropReason, SendToPeer
from redwingswitch._internal.models.configuration import Configuration, ServerState
from redwingswitch._internal.models.events import HostListChanged
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberUpdate,
    MemberView,
    Seed,
)
from redwingswitch._internal.models.messages import Ack, PeerMessage, Ping, PingRequest
from redwingswitch._internal.ports import RandomSource

NEAR_PROBE_INTERVAL_MS = 300
FAR_PROBE_INTERVAL_MS = 1_000
NEAR_ACK_MS = 150
FAR_ACK_MS = 400
NEAR_INDIRECT_MS = 300
FAR_INDIRECT_MS = 800
INDIRECT_PROBES = 2
DEAD_PROBE_INTERVAL_MS = 10_000
# Bounds the probes to a whole failure domain that is dead or cut off.
DEAD_PROBE_SPACING_MS = 1_000
DEAD_PROBE_JITTER = 0.2
# No timer is ever further away than a near probe, so a longer gap means that this host was paused.
PAUSE_MS = 1_000
LEAVING_ANNOUNCEMENTS = 8


class Membership:
    """The membership protocol of one entry host.

    ``incarnation`` rises when the host refutes a statement about itself; every message must be
    sent with the value that is current at that time.
    """

    def __init__(
        self, *, host: str, failure_domain: str, incarnation: int, random_source: RandomSource
    ) -> None:
        self._random = random_source
        self._table = MemberTable()
        self._gossip = MemberGossip(
            host=host, failure_domain=failure_domain, incarnation=incarnation, table=self._table
        )
        self._host = host
        self._failure_domain = failure_domain
        self._digest = HostDigest()
        self._configuration: Configuration | None = None
        self._listed: frozenset[str] = frozenset()
        self._platform_running: frozenset[str] | None = None
        self._sequence = 0
        self._pending = PendingProbes()
        self._relays = Relays()
        self._near_order = ProbeOrder(random_source=random_source)
        self._far_order = ProbeOrder(random_source=random_source)
        self._dead_order = ProbeOrder(random_source=random_source)
        self._next_near_ms: int | None = None
        self._next_far_ms: int | None = None
        self._next_dead_ms: int | None = None
        self._last_call_ms: int | None = None
        self._stop_requested = False
        self._view: MembershipView | None = None

    @property
    def incarnation(self) -> int:
        """Return the incarnation to send messages with now."""
        return self._gossip.incarnation

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Take the declared entry hosts as members; they replace the seeds."""
        self._configuration = configuration
        declared = configuration.entry_hosts
        self._list((Seed(entry.name, entry.failure_domain) for entry in declared), now_ms)
        own = next((entry for entry in declared if entry.name == self._host), None)
        if own is not None and own.state != ServerState.ACTIVE:
            return self._announce_leaving(now_ms)
        if self._gossip.leaving and not self._stop_requested:
            self._gossip.return_to_service()
            self._table.changed = True
        return []

    def set_seeds(self, seeds: Iterable[Seed], now_ms: int) -> None:
        """Take the seeds from the settings as members until a configuration is known."""
        if self._configuration is None:
            self._list((Seed(*seed) for seed in seeds), now_ms)

    def set_digest(self, digest: HostDigest) -> None:
        """Set what this host states about itself; entries beyond the bounds are merged or left."""
        bounded = bound_digest(digest)
        if bounded != self._digest:
            self._digest = bounded
            self._table.changed = True

    def on_host_list(self, event: HostListChanged, now_ms: int) -> list[Action]:
        """Use the platform's list as a hint: probe dead hosts sooner, shorten suspicions."""
        self._enter(now_ms)
        self._platform_running = frozenset(row.host for row in event.hosts if not row.leaving)
        for member in self._table:
            self._shorten_if_unlisted(member)
        returned = [h for h in self._dead_listed() if h in self._platform_running]
        if returned:
            self._next_dead_ms = min(self._next_dead_ms or now_ms, now_ms + self._spacing_ms())
        return []

    def on_message(
        self, sender: str, incarnation: int, message: PeerMessage, now_ms: int
    ) -> list[Action]:
        """Handle a Ping, Ack or PingRequest; other messages are no concern of this part."""
        self._enter(now_ms)
        if not self.accepts(sender, incarnation):
            return self._on_stale(sender, message)
        if isinstance(message, Ping | Ack):
            self._gossip.receive(message.updates, now_ms)
            self._heard(sender, incarnation, now_ms)
        if isinstance(message, Ping):
            return self._on_ping(sender, message)
        if isinstance(message, Ack):
            return self._on_ack(sender, message)
        if isinstance(message, PingRequest):
            return self._on_ping_request(sender, message, now_ms)
        return []

    def accepts(self, sender: str, incarnation: int) -> bool:
        """Tell whether a message is from the newest known incarnation of its sender."""
        member = self._table.get(sender)
        return member is None or incarnation >= member.incarnation

    def begin_leaving(self, now_ms: int) -> list[Action]:
        """Announce that this host stops; it is not brought back by older statements."""
        self._stop_requested = True
        return self._announce_leaving(now_ms)

    def view(self) -> MembershipView:
        """Return the members; the same object as long as nothing has changed."""
        if self._view is None or self._table.changed:
            self._view = self._build_view()
            self._table.changed = False
        return self._view

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        deadlines = (
            self._next_near_ms,
            self._next_far_ms,
            self._next_dead_ms,
            self._pending.deadline_ms(),
            self._table.suspicion_deadline_ms(),
        )
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Send the probes that are due and act on those without an answer."""
        self._enter(now_ms)
        actions: list[Action] = []
        for probe in self._pending.take_due(now_ms):
            actions += self._on_overdue(probe, now_ms)
        self._table.expire(now_ms, listed=self._listed)
        self._relays.expire(now_ms)
        actions += self._near_tick(now_ms)
        actions += self._far_tick(now_ms)
        actions += self._dead_tick(now_ms)
        return actions

    def _list(self, hosts: Iterable[Seed], now_ms: int) -> None:
        others = [seed for seed in hosts if seed.host != self._host]
        self._listed = frozenset(seed.host for seed in others)
        for seed in others:
            self._table.add(host=seed.host, failure_domain=seed.failure_domain)
        self._enter(now_ms)

    def _enter(self, now_ms: int) -> None:
        """Note the call; after a pause, give all others the whole time to answer again."""
        if self._next_near_ms is None:
            self._next_near_ms = now_ms + self._random.randrange(NEAR_PROBE_INTERVAL_MS)
            self._next_far_ms = now_ms + self._random.randrange(FAR_PROBE_INTERVAL_MS)
            self._next_dead_ms = now_ms + self._spacing_ms()
        previous_ms = now_ms if self._last_call_ms is None else self._last_call_ms
        if now_ms - previous_ms > PAUSE_MS:
            self._pending.clear()
            self._table.restart_suspicions(now_ms)
        self._last_call_ms = now_ms

    def _heard(self, sender: str, incarnation: int, now_ms: int) -> None:
        member = self._table.get(sender)
        if member is not None:
            self._table.heard_directly(member, incarnation, now_ms)

    def _on_stale(self, sender: str, message: PeerMessage) -> list[Action]:
        dropped = Drop(DropReason.STALE_INCARNATION, sender)
        if not isinstance(message, Ping):
            return [dropped]
        # A restarted host whose clock went back learns from this answer which incarnation to pass.
        answer = Ack(message.sequence, self._host, self._updates(sender), self._digest)
        return [dropped, SendToPeer(sender, answer)]

    def _on_ping(self, sender: str, message: Ping) -> list[Action]:
        self._keep_digest(sender, message.digest)
        answer = Ack(message.sequence, self._host, self._updates(sender), self._digest)
        return [SendToPeer(sender, answer)]

    def _on_ack(self, sender: str, message: Ack) -> list[Action]:
        self._keep_digest(sender, message.digest)
        member = self._table.get(sender)
        if member is not None:
            member.introduced_incarnation = member.incarnation
        relay = self._relays.take(message.sequence, sender)
        if relay is not None:
            updates = self._updates(relay.requester)
            answer = Ack(relay.requester_sequence, sender, updates, self._digest)
            return [SendToPeer(relay.requester, answer)]
        self._pending.answered(message.subject, message.sequence)
        return []

    def _on_ping_request(self, sender: str, message: PingRequest, now_ms: int) -> list[Action]:
        if message.target == self._host:
            return []
        sequence = self._next_sequence()
        relay = Relay(sender, message.sequence, message.target, now_ms + RELAY_MS)
        if not self._relays.put(sequence, relay, now_ms):
            return [Drop(DropReason.OVERLOAD, sender)]
        return [self._ping(message.target, sequence, on_behalf_of=sender)]

    def _on_overdue(self, probe: PendingProbe, now_ms: int) -> list[Action]:
        member = self._table.get(probe.target)
        if member is None or member.state == MemberState.DEAD:
            return []
        if not probe.indirect:
            return self._probe_indirectly(probe, now_ms)
        if not self._table.suspect(member, now_ms):
            return []
        self._shorten_if_unlisted(member)
        # The suspected host is told at once, so that it can refute within the suspicion.
        return [self._ping(member.host, self._next_sequence())]

    def _probe_indirectly(self, probe: PendingProbe, now_ms: int) -> list[Action]:
        wait_ms = NEAR_INDIRECT_MS if probe.near else FAR_INDIRECT_MS
        self._pending.put(probe._replace(indirect=True, deadline_ms=now_ms + wait_ms))
        request = PingRequest(probe.sequence, probe.target)
        helpers = self._helpers(probe.target)
        # The direct probe is repeated, because one lost message is the most frequent cause.
        repeated: list[Action] = [self._ping(probe.target, probe.sequence)]
        return repeated + [SendToPeer(helper, request) for helper in helpers]

    def _helpers(self, target: str) -> list[str]:
        subject = self._table.get(target)
        domain = subject.failure_domain if subject is not None else ""
        alive = [m for m in self._table if m.state == MemberState.ALIVE and m.host != target]
        self._random.shuffle(alive)
        alive.sort(key=lambda member: member.failure_domain != domain)
        return [member.host for member in alive[:INDIRECT_PROBES]]

    def _near_tick(self, now_ms: int) -> list[Action]:
        if self._next_near_ms is None or now_ms < self._next_near_ms:
            return []
        self._next_near_ms = now_ms + NEAR_PROBE_INTERVAL_MS
        return self._probe_next(self._near_order, now_ms, near=True) + self._ping_suspected()

    def _far_tick(self, now_ms: int) -> list[Action]:
        if self._next_far_ms is None or now_ms < self._next_far_ms:
            return []
        self._next_far_ms = now_ms + FAR_PROBE_INTERVAL_MS
        return self._probe_next(self._far_order, now_ms, near=False)

    def _dead_tick(self, now_ms: int) -> list[Action]:
        if self._next_dead_ms is None or now_ms < self._next_dead_ms:
            return []
        self._next_dead_ms = now_ms + self._spacing_ms()
        target = self._dead_order.next(self._dead_listed())
        return [] if target is None else [self._ping(target, self._next_sequence())]

    def _probe_next(self, order: ProbeOrder, now_ms: int, *, near: bool) -> list[Action]:
        target = order.next(m.host for m in self._table if self._probed(m, near=near))
        if target is None or target in self._pending:
            return []
        sequence = self._next_sequence()
        deadline_ms = now_ms + (NEAR_ACK_MS if near else FAR_ACK_MS)
        self._pending.put(PendingProbe(target, sequence, near, False, deadline_ms))
        return [self._ping(target, sequence)]

    def _probed(self, member: Member, *, near: bool) -> bool:
        if member.state == MemberState.DEAD:
            return False
        return (member.failure_domain == self._failure_domain) == near

    def _ping_suspected(self) -> list[Action]:
        suspected = [m.host for m in self._table if m.suspicion_deadline_ms is not None]
        if not suspected:
            return []
        target = suspected[self._random.randrange(len(suspected))]
        return [self._ping(target, self._next_sequence())]

    def _dead_listed(self) -> list[str]:
        return [m.host for m in self._table if m.state == MemberState.DEAD and self._is_listed(m)]

    def _is_listed(self, member: Member) -> bool:
        return member.host in self._listed or member.host in (self._platform_running or ())

    def _spacing_ms(self) -> int:
        shared_ms = DEAD_PROBE_INTERVAL_MS // max(1, len(self._dead_listed()))
        jitter = 1 + DEAD_PROBE_JITTER * (2 * self._random.random() - 1)
        return int(max(shared_ms, DEAD_PROBE_SPACING_MS) * jitter)

    def _shorten_if_unlisted(self, member: Member) -> None:
        if self._platform_running is not None and member.host not in self._platform_running:
            self._table.shorten_suspicion(member)

    def _announce_leaving(self, now_ms: int) -> list[Action]:
        if not self._gossip.begin_leaving():
            return []
        self._enter(now_ms)
        self._table.changed = True
        targets = [m.host for m in self._table if m.state <= MemberState.SUSPECTED]
        self._random.shuffle(targets)
        return [self._ping(h, self._next_sequence()) for h in targets[:LEAVING_ANNOUNCEMENTS]]

    def _keep_digest(self, sender: str, digest: HostDigest) -> None:
        member = self._table.get(sender)
        if member is not None and member.state != MemberState.DEAD:
            self._table.set_digest(member, digest)

    def _ping(self, target: str, sequence: int, *, on_behalf_of: str = "") -> SendToPeer:
        updates = self._updates(target)
        return SendToPeer(target, Ping(sequence, updates, self._digest, on_behalf_of))

    def _updates(self, target: str) -> tuple[MemberUpdate, ...]:
        return self._gossip.updates_for(target)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _build_view(self) -> MembershipView:
        own = self._gossip.own_update()
        service_ids = self._service_ids()
        rows = [MemberView(own.host, own.failure_domain, own.incarnation, own.state, self._digest)]
        rows += [_row(member, service_ids) for member in self._table]
        return MembershipView(tuple(sorted(rows)))

    def _service_ids(self) -> tuple[int, ...]:
        services = self._configuration.services if self._configuration is not None else ()
        return tuple(wire_id(service.name) for service in services)


def _row(member: Member, service_ids: tuple[int, ...]) -> MemberView:
    digest = expand_digest(member.digest, service_ids)
    return MemberView(member.host, member.failure_domain, member.incarnation, member.state, digest)
