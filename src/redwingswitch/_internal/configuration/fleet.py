"""Revisions in force in the fleet, determined from the status of the entry hosts.

A revision is in force on a host that has applied it. A host reports its own revision and, in its
member list, the state and the revision of each other host, its peers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import (
    Configuration,
    DeclaredEntryHost,
    ServerState,
)
from redwingswitch._internal.models.status import FleetStatus, HostStatus, MemberStatus

MAX_QUERIED_HOSTS_PER_DOMAIN = 8


class HostEvidence(StrEnum):
    """How the revision of an entry host was determined.

    ``REPORTED``: the host itself answered. ``PEERS``: it did not, but a peer reports it alive or
    leaving. ``DEAD``: all reports of peers call it dead. ``UNKNOWN``: none of these.
    """

    REPORTED = "reported"
    PEERS = "peers"
    DEAD = "dead"
    UNKNOWN = "unknown"


class KnownHost(NamedTuple):
    """An entry host that is declared or, without a configuration, named in the status of a host.

    ``endpoint`` is its admin endpoint, ``address:port``, and empty unless it is declared.
    """

    name: str
    failure_domain: str
    leaving: bool
    endpoint: str


class HostRevision(NamedTuple):
    """The revision of an entry host, and its digest if the host itself reported it."""

    host: str
    evidence: HostEvidence
    revision: int
    digest: str


class DomainRollout(NamedTuple):
    """The hosts of one failure domain by whether a revision is in force on them."""

    failure_domain: str
    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    dead: tuple[str, ...]
    unknown: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """True when a host has the revision and no host that may serve lacks it."""
        return bool(self.in_force) and not self.behind and not self.unknown


def admin_endpoints(configuration: Configuration) -> tuple[str, ...]:
    """Return admin endpoints, ``address:port``, of some declared entry hosts in each domain.

    Each host also reports the revisions of its peers, so a few responses cover all hosts. In a
    fleet of the maximum size, the responses of hundreds of hosts take hundreds of megabytes.
    """
    hosts = sorted(configuration.entry_hosts, key=lambda host: host.state is not ServerState.ACTIVE)
    endpoints_by_domain: dict[str, list[str]] = {}
    for host in hosts:
        endpoints_by_domain.setdefault(host.failure_domain, []).append(_endpoint(host))
    return tuple(
        endpoint
        for endpoints in endpoints_by_domain.values()
        for endpoint in endpoints[:MAX_QUERIED_HOSTS_PER_DOMAIN]
    )


def highest_revision(statuses: Iterable[HostStatus]) -> int:
    """Return the highest revision that a host reports for itself or a peer, 0 without a report."""
    reported = [(s["revision"], *(m["revision"] for m in s["members"])) for s in statuses]
    return max((revision for revisions in reported for revision in revisions), default=0)


def digests_of_highest_revision(statuses: Sequence[HostStatus]) -> frozenset[str]:
    """Return the digests reported for the highest revision; more than one is a conflict.

    Empty when only peers report that revision, because they do not report its digest.
    """
    highest = highest_revision(statuses)
    return frozenset(s["digest"] for s in statuses if s["revision"] == highest and highest)


def known_hosts(configuration: Configuration | None, fleet_status: FleetStatus) -> list[KnownHost]:
    """Return the declared entry hosts or, without a configuration, those that any host reports."""
    if configuration is not None:
        return [
            KnownHost(h.name, h.failure_domain, h.state is not ServerState.ACTIVE, _endpoint(h))
            for h in configuration.entry_hosts
        ]
    hosts_by_name = {
        s["host"]: KnownHost(s["host"], s["failure_domain"], False, "")
        for s in fleet_status.statuses
    }
    for status in fleet_status.statuses:
        for member in status["members"]:
            host = KnownHost(member["host"], member["failure_domain"], False, "")
            hosts_by_name.setdefault(host.name, host)
    return [hosts_by_name[name] for name in sorted(hosts_by_name)]


def host_revision(host: KnownHost, fleet_status: FleetStatus) -> HostRevision:
    """Return the revision that an entry host reports or, without its report, its peers report."""
    for status in fleet_status.statuses:
        if status["host"] == host.name:
            evidence = HostEvidence.REPORTED
            return HostRevision(host.name, evidence, status["revision"], status["digest"])
    return _revision_from_peers(host.name, peer_reports(host.name, fleet_status))


def peer_reports(host: str, fleet_status: FleetStatus) -> list[MemberStatus]:
    """Return the entries for ``host`` in the member lists of the other hosts."""
    return [
        member
        for status in fleet_status.statuses
        for member in status["members"]
        if member["host"] == host != status["host"]
    ]


def rollout_by_domain(
    hosts: Sequence[KnownHost], fleet_status: FleetStatus, *, revision: int, digest: str
) -> list[DomainRollout]:
    """Return for each failure domain the hosts where ``revision`` or a later one is in force."""
    domains = dict.fromkeys(host.failure_domain for host in hosts)
    serving = [host for host in hosts if not host.leaving]
    return [
        _domain_rollout(
            domain,
            [host_revision(h, fleet_status) for h in serving if h.failure_domain == domain],
            revision,
            digest,
        )
        for domain in domains
    ]


def _domain_rollout(
    name: str, hosts: Sequence[HostRevision], revision: int, digest: str
) -> DomainRollout:
    known = [h for h in hosts if h.evidence in (HostEvidence.REPORTED, HostEvidence.PEERS)]
    holding = [h for h in known if _has_revision(h, revision, digest)]
    return DomainRollout(
        failure_domain=name,
        in_force=tuple(h.host for h in holding),
        behind=tuple(h.host for h in known if h not in holding),
        dead=tuple(h.host for h in hosts if h.evidence is HostEvidence.DEAD),
        unknown=tuple(h.host for h in hosts if h.evidence is HostEvidence.UNKNOWN),
    )


def _has_revision(host: HostRevision, revision: int, digest: str) -> bool:
    """Return whether a host has the revision or a later one; a known digest of it must match."""
    if host.revision == revision and host.digest:
        return host.digest == digest
    return host.revision >= revision


def _revision_from_peers(host: str, reports: Sequence[MemberStatus]) -> HostRevision:
    """Return the revision that peers report; a host is dead only if all of them report it dead."""
    live_reports = [report for report in reports if report["state"] in ("alive", "leaving")]
    if live_reports:
        evidence = HostEvidence.PEERS
    elif reports and all(report["state"] == "dead" for report in reports):
        evidence = HostEvidence.DEAD
    else:
        evidence = HostEvidence.UNKNOWN
    revision = max((report["revision"] for report in live_reports), default=0)
    return HostRevision(host, evidence, revision, "")


def _endpoint(host: DeclaredEntryHost) -> str:
    return f"{host.address}:{host.admin_port}"
