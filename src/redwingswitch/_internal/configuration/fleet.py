"""What the entry hosts' own reports say about the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import Configuration, EntryHostEntry, ServerState
from redwingswitch._internal.models.status import FleetReading, HostStatus, MemberStatus


class HostEvidence(StrEnum):
    """How the revision of an entry host is known."""

    REPORTED = "reported"
    PEERS = "peers"
    DEAD = "dead"
    UNKNOWN = "unknown"


class HostRevision(NamedTuple):
    """The revision that an entry host holds, as far as it is known."""

    host: str
    failure_domain: str
    evidence: HostEvidence
    revision: int
    digest: str


class DomainForce(NamedTuple):
    """Whether a revision is in force in one failure domain, and on which hosts it is not."""

    failure_domain: str
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    dead: tuple[str, ...]
    unknown: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """True when a host confirms the revision and no host that may serve lacks it."""
        return bool(self.in_force) and not self.behind and not self.unknown


def admin_endpoints(configuration: Configuration) -> tuple[str, ...]:
    """Return the admin endpoint, ``address:port``, of each declared entry host."""
    return tuple(f"{host.address}:{host.admin_port}" for host in configuration.entry_hosts)


def highest_revision(statuses: Iterable[HostStatus]) -> int:
    """Return the highest revision that a host reports, 0 without a report."""
    return max((status["revision"] for status in statuses), default=0)


def highest_digests(statuses: Sequence[HostStatus]) -> frozenset[str]:
    """Return the digests reported for the highest revision; more than one is a conflict."""
    highest = highest_revision(statuses)
    return frozenset(s["digest"] for s in statuses if s["revision"] == highest and highest)


def host_revisions(configuration: Configuration, reading: FleetReading) -> tuple[HostRevision, ...]:
    """Return what is known of each declared entry host, from itself or else from its peers."""
    return tuple(_host_revision(host, reading) for host in configuration.entry_hosts)


def force_by_domain(
    configuration: Configuration, reading: FleetReading, *, revision: int, digest: str
) -> tuple[DomainForce, ...]:
    """Return for each failure domain where ``revision`` or a later one is in force."""
    hosts = host_revisions(configuration, reading)
    leaving = {h.name for h in configuration.entry_hosts if h.state is not ServerState.ACTIVE}
    return tuple(
        _domain_force(
            domain.name,
            [h for h in hosts if h.failure_domain == domain.name and h.host not in leaving],
            revision,
            digest,
        )
        for domain in configuration.failure_domains
    )


def _domain_force(
    name: str, hosts: Sequence[HostRevision], revision: int, digest: str
) -> DomainForce:
    known = [h for h in hosts if h.evidence in (HostEvidence.REPORTED, HostEvidence.PEERS)]
    holding = [h for h in known if _holds(h, revision, digest)]
    return DomainForce(
        failure_domain=name,
        in_force=tuple(h.host for h in holding),
        behind=tuple(h.host for h in known if h not in holding),
        dead=tuple(h.host for h in hosts if h.evidence is HostEvidence.DEAD),
        unknown=tuple(h.host for h in hosts if h.evidence is HostEvidence.UNKNOWN),
    )


def _holds(host: HostRevision, revision: int, digest: str) -> bool:
    """Return whether a host holds the revision; its peers do not pass its digest on."""
    if host.revision == revision and host.digest:
        return host.digest == digest
    return host.revision >= revision


def _host_revision(host: EntryHostEntry, reading: FleetReading) -> HostRevision:
    for status in reading.statuses:
        if status["host"] == host.name:
            return HostRevision(
                host.name,
                host.failure_domain,
                HostEvidence.REPORTED,
                status["revision"],
                status["digest"],
            )
    return _from_peers(host, _opinions(host.name, reading))


def _from_peers(host: EntryHostEntry, opinions: Sequence[MemberStatus]) -> HostRevision:
    """Return what the peers say; a host that only some of them call dead may still serve."""
    living = [o for o in opinions if o["state"] in ("alive", "leaving")]
    if living:
        evidence = HostEvidence.PEERS
    elif opinions and all(o["state"] == "dead" for o in opinions):
        evidence = HostEvidence.DEAD
    else:
        evidence = HostEvidence.UNKNOWN
    revision = max((o["revision"] for o in living), default=0)
    return HostRevision(host.name, host.failure_domain, evidence, revision, "")


def _opinions(host: str, reading: FleetReading) -> list[MemberStatus]:
    return [m for status in reading.statuses for m in status["members"] if m["host"] == host]
