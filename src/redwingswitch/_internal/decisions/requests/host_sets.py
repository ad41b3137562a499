"""The declared entry hosts, and the joint phases while they change.

A host must hold the claim on a request's id before it runs a non-idempotent request. Each id has
three witnesses among the declared hosts, and the host that a majority of them granted the id holds
the claim. A joint phase follows each change of the declared hosts: until it ends, a claim needs a
majority of witnesses in the replaced set as well as in the new one.
"""

from __future__ import annotations

from redwingswitch._internal.decisions.hashing import rendezvous_rank
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.models.members import MembershipView

WITNESS_COUNT = 3
CLAIM_RETENTION_MS = 90_000
MAX_JOINT_PHASES = 8
MAX_UNREPORTED_HOSTS = 1
FIRST_REVISION = 1

HostDomains = tuple[tuple[str, str], ...]


def witnesses(request_id: bytes, hosts: HostDomains) -> tuple[str, ...]:
    """Return up to three witnesses of an id, ranked by rendezvous hashing.

    Hosts in distinct failure domains are chosen first.
    """
    domains = dict(hosts)
    ranked = rendezvous_rank(request_id, domains)
    chosen: list[str] = []
    used: set[str] = set()
    for host in ranked:
        if domains[host] not in used:
            chosen.append(host)
            used.add(domains[host])
    chosen.extend(host for host in ranked if host not in chosen)
    return tuple(chosen[:WITNESS_COUNT])


class JointPhase:
    """The joint phase of a replaced host set; it ends after the hosts reported the replacement.

    ``awaited_hosts`` are the hosts that have to report ``revision`` or a later one. ``hosts`` is
    the replaced set; it is empty when that set is not known, and ``awaited_hosts`` are then the
    hosts of the new set.
    """

    def __init__(self, *, hosts: HostDomains, awaited_hosts: frozenset[str], revision: int) -> None:
        self.hosts = hosts
        self.revision = revision
        self.ends_at_ms: int | None = None
        self._unreported = set(awaited_hosts)

    def note_report(self, host: str, revision: int) -> None:
        """Record that a host has reported a revision."""
        if revision >= self.revision:
            self._unreported.discard(host)

    def schedule_end(self, now_ms: int) -> None:
        """Schedule the end of the phase once at most one host has not reported.

        The phase ends ``CLAIM_RETENTION_MS`` later, because a claim granted under the replaced set
        just before its witnesses reported remains valid for that long.
        """
        if self.ends_at_ms is None and len(self._unreported) <= MAX_UNREPORTED_HOSTS:
            self.ends_at_ms = now_ms + CLAIM_RETENTION_MS


class DeclaredHostSets:
    """Tracks the host sets in which a claim needs a majority.

    These are the current set and every replaced set whose joint phase has not ended. A host that
    starts, or that skips a revision, cannot know all replaced sets. It then begins a joint phase,
    and until that has ended it counts grants only from witnesses that report themselves as settled,
    which means that they know of no joint phase in progress.
    """

    def __init__(self, *, host: str) -> None:
        self.revision = 0
        self.introduced_revision = 0
        self._host = host
        self._current: HostDomains = ()
        self._joint_phases: list[JointPhase] = []
        self._claims_blocked_until_ms = 0

    def apply_configuration(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the declared entry hosts of a newer revision; ignore older ones."""
        if configuration.revision <= self.revision:
            return
        hosts = tuple(sorted((h.name, h.failure_domain) for h in configuration.entry_hosts))
        skipped = configuration.revision > self.revision + 1
        changed = bool(self._current) and hosts != self._current
        if changed:
            self._begin_joint_phase(self._current, configuration.revision, now_ms)
        if skipped and configuration.revision > FIRST_REVISION:
            names = frozenset(name for name, _ in hosts)
            phase = JointPhase(hosts=(), awaited_hosts=names, revision=configuration.revision)
            self._add_phase(phase, now_ms)
        if changed or skipped or not self._current:
            self.introduced_revision = configuration.revision
        self._current = hosts
        self.revision = configuration.revision
        self._note_report(self._host, self.revision)
        self.on_timer(now_ms)

    def set_members(self, view: MembershipView, now_ms: int) -> None:
        """Record the revisions that the members report."""
        if not self._joint_phases:
            return
        for member in view.members:
            if member.host != self._host:
                self._note_report(member.host, member.digest.revision)
        self.on_timer(now_ms)

    def on_timer(self, now_ms: int) -> None:
        """Schedule the end of joint phases, and remove the ended ones."""
        for phase in self._joint_phases:
            phase.schedule_end(now_ms)
        self._joint_phases = [
            phase
            for phase in self._joint_phases
            if phase.ends_at_ms is None or phase.ends_at_ms > now_ms
        ]

    def next_deadline_ms(self) -> int | None:
        """Return when the next joint phase ends."""
        ends = [phase.ends_at_ms for phase in self._joint_phases if phase.ends_at_ms is not None]
        return min(ends, default=None)

    def settled(self) -> bool:
        """Return whether no joint phase is in progress."""
        return bool(self._current) and not self._joint_phases

    def needs_settled_witnesses(self) -> bool:
        """Return whether a replaced host set may be in force that this host does not know."""
        return any(not phase.hosts for phase in self._joint_phases)

    def can_claim(self, now_ms: int) -> bool:
        """Return whether the hosts are known and claims are not blocked by a discarded set."""
        return bool(self._current) and now_ms >= self._claims_blocked_until_ms

    def witness_sets(self, request_id: bytes) -> tuple[tuple[str, ...], ...]:
        """Return the witnesses of an id in each host set that a claim needs, current set first."""
        sets = [self._current, *(phase.hosts for phase in self._joint_phases if phase.hosts)]
        return tuple(witnesses(request_id, hosts) for hosts in sets)

    def _begin_joint_phase(self, hosts: HostDomains, revision: int, now_ms: int) -> None:
        names = frozenset(name for name, _ in hosts)
        self._add_phase(JointPhase(hosts=hosts, awaited_hosts=names, revision=revision), now_ms)

    def _add_phase(self, phase: JointPhase, now_ms: int) -> None:
        self._joint_phases.append(phase)
        if len(self._joint_phases) > MAX_JOINT_PHASES:
            # A claim granted under the discarded set may be in force, so nothing is claimed until
            # it has expired.
            self._claims_blocked_until_ms = now_ms + CLAIM_RETENTION_MS
            self._joint_phases.pop(0)

    def _note_report(self, host: str, revision: int) -> None:
        for phase in self._joint_phases:
            phase.note_report(host, revision)
