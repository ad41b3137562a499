"""Member table: known members, precedence of updates, and the queue of updates to gossip."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator, Sequence

from redwingswitch._internal.models.members import HostDigest, MemberState, MemberUpdate, MemberView

MAX_MEMBERS = 1_024
SUSPICION_TIMEOUT_MS = 1_500
DEAD_MEMBER_RETENTION_MS = 3_600_000
# After a suspicion, refutation, leave or death, other failure domains are probed more often for
# this long, so that the update spreads faster.
URGENT_GOSSIP_PERIOD_MS = 2_000
RETRANSMIT_MULTIPLIER = 3
PRESUMED_INCARNATION = 0


class Member:
    """What the local host knows about another host.

    A host that is listed but has not been heard of yet is presumed alive at incarnation 0, which
    is lower than any incarnation in use.
    """

    __slots__ = (
        "acknowledged_incarnation",
        "cached_view",
        "digest",
        "failure_domain",
        "host",
        "incarnation",
        "remove_at_ms",
        "state",
        "suspicion_deadline_ms",
        "suspicion_shortened",
        "unverified_update",
    )

    def __init__(self, *, host: str, failure_domain: str, incarnation: int) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.state = MemberState.ALIVE
        self.digest = HostDigest()
        self.acknowledged_incarnation = -1
        # A suspicion or death that an untrusted sender reported; the member is probed to verify it.
        self.unverified_update: MemberUpdate | None = None
        self.suspicion_deadline_ms: int | None = None
        self.suspicion_shortened = False
        self.remove_at_ms: int | None = None
        # The member's entry in the membership view; None after a change, until it is rebuilt.
        self.cached_view: MemberView | None = None

    def needs_verification(self) -> bool:
        """Return whether an unverified update would still override the member's state."""
        if self.unverified_update is None or self.state == MemberState.DEAD:
            return False
        return (self.unverified_update.incarnation, self.unverified_update.state) > (
            self.incarnation,
            self.state,
        )

    def as_update(self) -> MemberUpdate:
        """Return the update that describes this member to peers."""
        return MemberUpdate(self.host, self.failure_domain, self.incarnation, self.state)

    def has_acknowledged(self) -> bool:
        """Return whether this incarnation of the member has acknowledged a probe of this host."""
        return self.acknowledged_incarnation == self.incarnation


class MemberTable:
    """All members except the local host, and the queue of updates to gossip.

    An update overrides another one about the same host if its incarnation is higher, or if the
    incarnations are equal and its state has a higher precedence (SWIM, section 4.2 of
    Das, Gupta, Motivala, DSN 2002).
    """

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._remaining_sends: dict[str, int] = {}
        self._round_robin_index = 0
        self._names: list[str] = []
        self._suspected: set[str] = set()
        self._dead: set[str] = set()
        self._unverified: set[str] = set()
        self.urgent_gossip_until_ms = 0
        self.refused_members = 0
        self.suspicions = 0
        self.deaths = 0
        self.changed = True
        # Unlike ``changed``, not set by a new digest, which nearly every heartbeat carries.
        self.states_changed = True

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        """Iterate over the members, sorted by name."""
        return (self._members[name] for name in self._names)

    def names(self) -> Sequence[str]:
        """Return the names of all members, sorted."""
        return self._names

    def get(self, host: str) -> Member | None:
        """Return the member named ``host``, or None."""
        return self._members.get(host)

    def add(self, *, host: str, failure_domain: str) -> Member | None:
        """Return the member, adding a new one as presumed alive; None if the table is full."""
        member = self._members.get(host)
        if member is not None:
            member.failure_domain = failure_domain or member.failure_domain
            member.cached_view = None
            return member
        if len(self._members) >= MAX_MEMBERS:
            self.refused_members += 1
            return None
        member = Member(host=host, failure_domain=failure_domain, incarnation=PRESUMED_INCARNATION)
        self._members[host] = member
        bisect.insort(self._names, host)
        self.mark_states_changed()
        return member

    def apply_update(self, update: MemberUpdate, now_ms: int, *, trusted: bool = True) -> bool:
        """Apply an update if it has precedence; return whether it was applied.

        A suspicion or death that is not ``trusted`` is kept for verification instead, unless
        the member has not been heard of before.
        """
        member = self._members.get(update.host)
        if member is None:
            member = self._add_from_update(update)
        elif (update.incarnation, update.state) <= (member.incarnation, member.state):
            return False
        if member is None:
            return False
        reports_failure = update.state in (MemberState.SUSPECTED, MemberState.DEAD)
        if reports_failure and not trusted and member.incarnation != PRESUMED_INCARNATION:
            self._mark_for_verification(member, update)
            return False
        return self._accept_update(member, update, now_ms)

    def _mark_for_verification(self, member: Member, unverified_update: MemberUpdate) -> None:
        if member.state != MemberState.DEAD:
            member.unverified_update = unverified_update
            self._unverified.add(member.host)

    def _accept_update(self, member: Member, update: MemberUpdate, now_ms: int) -> bool:
        self._set_state(member, update.incarnation, update.state, now_ms)
        self.queue_update(member.host)
        return True

    def suspect(self, member: Member, now_ms: int) -> bool:
        """Start a suspicion; return whether it is new. A leaving member keeps its state."""
        if member.suspicion_deadline_ms is not None or member.state == MemberState.DEAD:
            return False
        self.suspicions += 1
        if member.state == MemberState.ALIVE:
            return self._accept_update(
                member, member.as_update()._replace(state=MemberState.SUSPECTED), now_ms
            )
        self._set_suspicion(member, now_ms + SUSPICION_TIMEOUT_MS)
        return True

    def shorten_suspicion(self, member: Member) -> None:
        """Shorten a suspicion by half of its timeout, at most once."""
        if member.suspicion_deadline_ms is None or member.suspicion_shortened:
            return
        member.suspicion_deadline_ms -= SUSPICION_TIMEOUT_MS // 2
        member.suspicion_shortened = True

    def restart_suspicions(self, now_ms: int) -> None:
        """Restart the timeout of each suspicion, after the local host was paused."""
        for member in self.suspected():
            member.suspicion_deadline_ms = now_ms + SUSPICION_TIMEOUT_MS

    def on_direct_message(self, member: Member, incarnation: int, now_ms: int) -> None:
        """Process a message from the member itself.

        A message of a newer incarnation shows that the member is alive. A message of a leaving
        member ends its suspicion, because the member still runs.
        """
        if incarnation > member.incarnation:
            newer_update = member.as_update()._replace(
                incarnation=incarnation, state=MemberState.ALIVE
            )
            self.apply_update(newer_update, now_ms)
        if member.state == MemberState.LEAVING:
            self._set_suspicion(member, None)

    def set_digest(self, member: Member, digest: HostDigest) -> None:
        """Store the digest that the member sent about itself."""
        if member.digest != digest:
            member.digest = digest
            member.cached_view = None
            self.changed = True

    def expire(self, now_ms: int, *, listed: frozenset[str]) -> None:
        """Declare members dead after their suspicion timeout; remove long-dead members.

        Members in ``listed`` are never removed.
        """
        for member in self.suspected():
            self._expire_suspicion(member, now_ms)
        for member in self.dead():
            self._remove_expired(member, now_ms, listed=listed)

    def mark_states_changed(self) -> None:
        """Record that members, their states or their incarnations have changed."""
        self.changed = True
        self.states_changed = True

    def clear_cached_views(self) -> None:
        """Clear the cached entries of the view, which depend on the configuration."""
        self.mark_states_changed()
        for member in self:
            member.cached_view = None

    def suspected(self) -> list[Member]:
        """Return the members with a running suspicion timeout, sorted by name."""
        return [self._members[host] for host in sorted(self._suspected)]

    def unverified(self) -> list[Member]:
        """Return the members with an update to verify, sorted by name."""
        verified = {
            host for host in self._unverified if not self._members[host].needs_verification()
        }
        self._unverified -= verified
        return [self._members[host] for host in sorted(self._unverified)]

    def dead(self) -> list[Member]:
        """Return the dead members, sorted by name."""
        return [self._members[host] for host in sorted(self._dead)]

    def next_suspicion_deadline_ms(self) -> int | None:
        """Return when the next suspicion times out, or None."""
        deadlines = (member.suspicion_deadline_ms for member in self.suspected())
        return min((each for each in deadlines if each is not None), default=None)

    def queue_update(self, host: str) -> None:
        """Queue the update about ``host`` for sends in proportion to log2 of the group size."""
        self._remaining_sends.pop(host, None)
        self._remaining_sends[host] = RETRANSMIT_MULTIPLIER * math.ceil(
            math.log2(len(self._members) + 2)
        )

    def take_queued_hosts(self, count: int, *, excluded: frozenset[str]) -> list[str]:
        """Return up to ``count`` hosts with queued updates and count a send for each.

        The least sent updates come first, then the newest.
        """
        waiting = [host for host in reversed(self._remaining_sends) if host not in excluded]
        waiting.sort(key=lambda host: -self._remaining_sends[host])
        chosen = waiting[:count]
        for host in chosen:
            self._count_send(host)
        return chosen

    def next_round_robin(self) -> Member | None:
        """Return the next member in turn, to resend updates of which every copy was lost."""
        if not self._names:
            return None
        self._round_robin_index = (self._round_robin_index + 1) % len(self._names)
        return self._members[self._names[self._round_robin_index]]

    def _add_from_update(self, update: MemberUpdate) -> Member | None:
        if update.state == MemberState.DEAD:
            # Hosts remove a dead member at different times. If an update added it again, they would
            # exchange the update forever.
            return None
        return self.add(host=update.host, failure_domain=update.failure_domain)

    def _set_state(self, member: Member, incarnation: int, state: MemberState, now_ms: int) -> None:
        if member.state == MemberState.DEAD:
            # A returning host may be a new process that has not applied any revision yet.
            member.digest = HostDigest()
        if state != MemberState.ALIVE or member.state == MemberState.SUSPECTED:
            self.urgent_gossip_until_ms = now_ms + URGENT_GOSSIP_PERIOD_MS
        member.incarnation = incarnation
        member.state = state
        member.cached_view = None
        suspected = state == MemberState.SUSPECTED
        self._set_suspicion(member, now_ms + SUSPICION_TIMEOUT_MS if suspected else None)
        self._set_removal_time(
            member, now_ms + DEAD_MEMBER_RETENTION_MS if state == MemberState.DEAD else None
        )
        self.mark_states_changed()

    def _set_suspicion(self, member: Member, deadline_ms: int | None) -> None:
        member.suspicion_deadline_ms = deadline_ms
        member.suspicion_shortened = False
        if deadline_ms is None:
            self._suspected.discard(member.host)
        else:
            self._suspected.add(member.host)

    def _set_removal_time(self, member: Member, remove_at_ms: int | None) -> None:
        member.remove_at_ms = remove_at_ms
        if remove_at_ms is None:
            self._dead.discard(member.host)
        else:
            self._dead.add(member.host)

    def _expire_suspicion(self, member: Member, now_ms: int) -> None:
        deadline_ms = member.suspicion_deadline_ms
        if deadline_ms is not None and now_ms >= deadline_ms:
            self.deaths += 1
            self._accept_update(member, member.as_update()._replace(state=MemberState.DEAD), now_ms)

    def _remove_expired(self, member: Member, now_ms: int, *, listed: frozenset[str]) -> None:
        if member.remove_at_ms is None or member.host in listed:
            return
        if now_ms >= member.remove_at_ms:
            del self._members[member.host]
            self._names.remove(member.host)
            self._unverified.discard(member.host)
            self._dead.discard(member.host)
            self._remaining_sends.pop(member.host, None)
            self.mark_states_changed()

    def _count_send(self, host: str) -> None:
        self._remaining_sends[host] -= 1
        if self._remaining_sends[host] <= 0:
            del self._remaining_sends[host]
