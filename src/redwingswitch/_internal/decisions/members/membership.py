"""SWIM-style group membership, with less frequent probes between failure domains.

See Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from redwingswitch._internal.decisions.digest_bounds import bound_digest, expand_digest
from redwingswitch._internal.decisions.members.host_list_hints import HostListHints
from redwingswitch._internal.decisions.members.member_gossip import MemberGossip
from redwingswitch._internal.decisions.members.member_table import Member, MemberTable
from redwingswitch._internal.decisions.members.prober import Prober
from redwingswitch._internal.models.actions import Action, Drop, DropReason, SendToPeer
from redwingswitch._internal.models.configuration import Configuration, ServerState
from redwingswitch._internal.models.events import HostListChanged
from redwingswitch._internal.models.identifiers import wire_id
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipStatistics,
    MembershipView,
    MemberState,
    MemberView,
    Seed,
)
from redwingswitch._internal.models.messages import Ack, PeerMessage, Ping, PingRequest
from redwingswitch._internal.ports import RandomSource

# The next probe in the local failure domain is always due sooner than this, so a longer gap between
# calls means that this host was paused.
PAUSE_THRESHOLD_MS = 1_000
MAX_LEAVING_ANNOUNCEMENTS = 8


class Membership:
    """The membership protocol of one entry host.

    ``incarnation`` rises when the host refutes an update about itself; each message must be sent
    with the current value.
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
        self._hints = HostListHints()
        self._prober = Prober(
            failure_domain=failure_domain,
            table=self._table,
            gossip=self._gossip,
            hints=self._hints,
            random_source=random_source,
        )
        self._configuration: Configuration | None = None
        self._last_call_ms: int | None = None
        self._stop_requested = False
        self._view: MembershipView | None = None

    @property
    def incarnation(self) -> int:
        """Return the current incarnation, to be sent with each message."""
        return self._gossip.incarnation

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Replace the seeds with the configured entry hosts; leave or return as configured."""
        self._configuration = configuration
        self._table.clear_cached_views()
        declared = configuration.entry_hosts
        self._set_listed_hosts(
            (Seed(entry.name, entry.failure_domain) for entry in declared), now_ms
        )
        own = next((entry for entry in declared if entry.name == self._host), None)
        if own is not None and own.state != ServerState.ACTIVE:
            return self._announce_leaving(now_ms)
        if self._gossip.leaving and not self._stop_requested:
            self._gossip.withdraw_leaving()
            self._table.mark_states_changed()
        return []

    def set_seeds(self, seeds: Iterable[Seed], now_ms: int) -> None:
        """Add the seeds from the settings as members, unless a configuration is known."""
        if self._configuration is None:
            self._set_listed_hosts((Seed(*seed) for seed in seeds), now_ms)

    def set_digest(self, digest: HostDigest) -> None:
        """Set the digest of this host; entries beyond the limits are merged or dropped."""
        bounded = bound_digest(digest)
        if bounded != self._prober.digest:
            self._prober.digest = bounded
            self._table.changed = True

    def on_host_list(self, event: HostListChanged, now_ms: int) -> list[Action]:
        """Use the platform's list as a hint to probe dead hosts sooner and shorten suspicions."""
        self._record_call_time(now_ms)
        self._hints.update(event, now_ms)
        for member in self._table.suspected():
            if self._hints.reports_not_running(member.host, now_ms):
                self._table.shorten_suspicion(member)
        self._prober.on_host_list(now_ms)
        return []

    def on_message(
        self, sender: str, incarnation: int, message: PeerMessage, now_ms: int
    ) -> list[Action]:
        """Handle a Ping, Ack or PingRequest; ignore other messages."""
        self._record_call_time(now_ms)
        if not self.accepts(sender, incarnation):
            return self._on_stale_message(sender, message)
        previous = self.incarnation
        if isinstance(message, Ping | Ack):
            self._gossip.apply_updates(sender, message.updates, now_ms)
            self._record_contact(sender, incarnation, now_ms)
        if isinstance(message, Ping):
            return self._on_ping(sender, message)
        if isinstance(message, Ack):
            # Sends the refutation at once instead of with the next regular probe.
            refuted = self.incarnation != previous
            return self._on_ack(sender, message) + (
                self._prober.ping_now(sender) if refuted else []
            )
        if isinstance(message, PingRequest) and message.target != self._host:
            return self._prober.on_ping_request(sender, message, now_ms)
        return []

    def accepts(self, sender: str, incarnation: int) -> bool:
        """Return whether a message is not from an outdated incarnation of its sender."""
        member = self._table.get(sender)
        return member is None or incarnation >= member.incarnation

    def begin_leaving(self, now_ms: int) -> list[Action]:
        """Announce that this host is stopping; no older update or configuration reverts this."""
        self._stop_requested = True
        return self._announce_leaving(now_ms)

    def view(self) -> MembershipView:
        """Return the members; the same object until something changes."""
        if self._view is None or self._table.changed:
            self._view = self._build_view()
            self._table.changed = False
            self._table.states_changed = False
        return self._view

    def states_changed(self) -> bool:
        """Return whether more than digests has changed since the last call of ``view``."""
        return self._view is None or self._table.states_changed

    def statistics(self) -> MembershipStatistics:
        """Return the counters of this host."""
        table = self._table
        refutations = self._gossip.refutations
        return MembershipStatistics(
            table.suspicions, table.deaths, refutations, table.refused_members
        )

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        deadlines = (self._prober.next_deadline_ms(), self._table.next_suspicion_deadline_ms())
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Send due probes, and handle probes and suspicions that have timed out."""
        self._record_call_time(now_ms)
        self._table.expire(now_ms, listed=self._prober.listed)
        return self._prober.on_timer(now_ms)

    def _set_listed_hosts(self, hosts: Iterable[Seed], now_ms: int) -> None:
        others = [seed for seed in hosts if seed.host != self._host]
        self._prober.listed = frozenset(seed.host for seed in others)
        known = len(self._table)
        for seed in others:
            self._table.add(host=seed.host, failure_domain=seed.failure_domain)
        if len(self._table) > known:
            self._gossip.queue_own_update()
        self._record_call_time(now_ms)

    def _record_call_time(self, now_ms: int) -> None:
        """Record the time of a call; after a pause, restart the timeouts of the other hosts."""
        self._prober.schedule_first_probes(now_ms)
        previous_ms = now_ms if self._last_call_ms is None else self._last_call_ms
        if now_ms - previous_ms > PAUSE_THRESHOLD_MS:
            self._prober.clear_pending()
            self._table.restart_suspicions(now_ms)
        self._last_call_ms = now_ms

    def _record_contact(self, sender: str, incarnation: int, now_ms: int) -> None:
        member = self._table.get(sender)
        if member is None:
            return
        was_dead = member.state == MemberState.DEAD
        self._table.on_direct_message(member, incarnation, now_ms)
        if was_dead and member.state != MemberState.DEAD:
            self._prober.on_host_returned(now_ms)

    def _on_stale_message(self, sender: str, message: PeerMessage) -> list[Action]:
        dropped = Drop(DropReason.STALE_INCARNATION, sender)
        if not isinstance(message, Ping):
            return [dropped]
        # A restarted host whose clock was set back learns from this ack which incarnation to
        # exceed.
        updates = self._gossip.updates_for(sender, include_target=True)
        answer = Ack(message.sequence, self._host, updates, self._prober.digest)
        return [dropped, SendToPeer(sender, answer)]

    def _on_ping(self, sender: str, message: Ping) -> list[Action]:
        self._store_digest(sender, message.digest)
        updates = self._gossip.updates_for(sender)
        answer = Ack(message.sequence, self._host, updates, self._prober.digest)
        return [SendToPeer(sender, answer)]

    def _on_ack(self, sender: str, message: Ack) -> list[Action]:
        self._store_digest(sender, message.digest)
        member = self._table.get(sender)
        if member is not None:
            member.acknowledged_incarnation = member.incarnation
        return self._prober.on_ack(sender, message)

    def _announce_leaving(self, now_ms: int) -> list[Action]:
        if not self._gossip.begin_leaving():
            return []
        self._record_call_time(now_ms)
        self._table.mark_states_changed()
        targets = [m.host for m in self._table if m.state <= MemberState.SUSPECTED]
        self._random.shuffle(targets)
        announced = targets[:MAX_LEAVING_ANNOUNCEMENTS]
        return [action for host in announced for action in self._prober.ping_now(host)]

    def _store_digest(self, sender: str, digest: HostDigest) -> None:
        member = self._table.get(sender)
        if member is not None and member.state != MemberState.DEAD:
            self._table.set_digest(member, digest)

    def _build_view(self) -> MembershipView:
        own = self._gossip.own_update()
        service_ids = self._service_ids()
        digest = self._prober.digest
        views = [member.cached_view or _cache_view(member, service_ids) for member in self._table]
        own_view = MemberView(own.host, own.failure_domain, own.incarnation, own.state, digest)
        bisect.insort(views, own_view)
        return MembershipView(tuple(views))

    def _service_ids(self) -> tuple[int, ...]:
        services = self._configuration.services if self._configuration is not None else ()
        return tuple(wire_id(service.name) for service in services)


def _cache_view(member: Member, service_ids: tuple[int, ...]) -> MemberView:
    digest = expand_digest(member.digest, service_ids)
    member.cached_view = MemberView(
        member.host, member.failure_domain, member.incarnation, member.state, digest
    )
    return member.cached_view
