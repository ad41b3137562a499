"""Overview of the fleet: revision in force, suspected hosts, draining and ejected servers.

An ejected server is one to which a host sends no new work except probes, because it failed often.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypedDict

from redwingswitch._internal.configuration.fleet import (
    DomainRollout,
    HostEvidence,
    KnownHost,
    digests_of_highest_revision,
    highest_revision,
    host_revision,
    known_hosts,
    peer_reports,
    rollout_by_domain,
)
from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    Document,
    ServerState,
)
from redwingswitch._internal.models.status import FleetStatus, ServerStatus
from redwingswitch._internal.utils.columns import format_table, truncate

UNKNOWN_CONNECTIONS = -1
DIGEST_PREFIX_CHARACTERS = 12


class DomainOverview(TypedDict):
    """Where the revision is in force in one failure domain; the lists name entry hosts."""

    failure_domain: str
    complete: bool
    in_force: list[str]
    behind: list[str]
    dead: list[str]
    unknown: list[str]


class HostOverview(TypedDict):
    """One entry host; ``revision`` is 0 when it is not known."""

    host: str
    failure_domain: str
    evidence: str
    revision: int
    notes: list[str]


class ServerOverview(TypedDict):
    """One backend server; the overview lists those that are draining, leaving or ejected.

    ``open_connections`` is the highest count that the server reported, -1 without a report.
    ``busy_slots`` and ``flow_records`` are sums over the hosts; replicas of a record count too.
    """

    server: str
    service: str
    state: str
    open_connections: int
    busy_slots: int
    flow_records: int
    ejected_by: list[str]


class Overview(TypedDict):
    """Everything that the status command shows.

    ``revision`` is the highest one that the store or a host has, 0 before the first file.
    ``operator``, ``applied_at`` and ``summary`` are empty when the store has another revision.
    """

    store_answered: bool
    store_revision: int
    revision: int
    digest: str
    operator: str
    applied_at: str
    summary: str
    conflict: bool
    silent_endpoints: list[str]
    failure_domains: list[DomainOverview]
    hosts: list[HostOverview]
    draining: list[ServerOverview]
    ejected: list[ServerOverview]


def make_overview(
    *,
    document: Document | None,
    configuration: Configuration | None,
    fleet_status: FleetStatus,
    store_answered: bool,
) -> Overview:
    """Combine the accepted document, if known, with the status of the hosts."""
    digests = digests_of_highest_revision(fleet_status.statuses)
    revision = highest_revision(fleet_status.statuses)
    digest = min(digests, default="")
    stored = 0 if document is None else document["revision"]
    if document is not None and stored >= revision:
        revision, digest = stored, document["digest"]
    hosts = known_hosts(configuration, fleet_status)
    servers = _server_overviews(configuration, fleet_status)
    matching_document = document if stored == revision else None
    return Overview(
        store_answered=store_answered,
        store_revision=stored,
        revision=revision,
        digest=digest,
        operator=matching_document["operator"] if matching_document else "",
        applied_at=matching_document.get("applied_at", "") if matching_document else "",
        summary=matching_document.get("summary", "") if matching_document else "",
        conflict=_is_conflict(document, fleet_status, digests),
        silent_endpoints=list(fleet_status.silent_endpoints),
        failure_domains=[
            _domain_overview(domain)
            for domain in rollout_by_domain(hosts, fleet_status, revision=revision, digest=digest)
        ],
        hosts=[_host_overview(host, fleet_status) for host in hosts],
        draining=[s for s in servers if s["state"] != ServerState.ACTIVE.value],
        ejected=[s for s in servers if s["ejected_by"]],
    )


def render_overview(overview: Overview, *, every_host: bool) -> list[str]:
    """Return the overview as lines of at most 80 columns."""
    lines = [truncate(line) for line in _heading_lines(overview)]
    domains = [_domain_row(domain) for domain in overview["failure_domains"]]
    lines += _section_lines("", ("FAILURE DOMAIN", "IN FORCE", "NOT IN FORCE OR UNKNOWN"), domains)
    hosts = [h for h in overview["hosts"] if every_host or h["notes"]]
    all_ready = "all entry hosts answer and are ready"
    lines += _section_lines(all_ready, ("ENTRY HOST", "REVISION", "NOTES"), map(_host_row, hosts))
    header = ("DRAINING", "SERVICE", "STATE", "CONNECTIONS", "BUSY SLOTS", "FLOW RECORDS")
    draining = [_draining_row(server) for server in overview["draining"]]
    lines += _section_lines("no backend server is draining", header, draining)
    ejected = [(s["server"], s["service"], ", ".join(s["ejected_by"])) for s in overview["ejected"]]
    lines += _section_lines("no backend server is ejected", ("EJECTED", "SERVICE", "BY"), ejected)
    return lines


def _is_conflict(
    document: Document | None, fleet_status: FleetStatus, digests: frozenset[str]
) -> bool:
    if len(digests) > 1 or any(status["conflict"] for status in fleet_status.statuses):
        return True
    same_revision = document is not None and document["revision"] == highest_revision(
        fleet_status.statuses
    )
    return same_revision and document is not None and not digests <= {document["digest"]}


def _domain_overview(domain: DomainRollout) -> DomainOverview:
    return DomainOverview(
        failure_domain=domain.failure_domain,
        complete=domain.complete,
        in_force=list(domain.in_force),
        behind=list(domain.behind),
        dead=list(domain.dead),
        unknown=list(domain.unknown),
    )


def _host_overview(host: KnownHost, fleet_status: FleetStatus) -> HostOverview:
    known = host_revision(host, fleet_status)
    return HostOverview(
        host=host.name,
        failure_domain=host.failure_domain,
        evidence=known.evidence.value,
        revision=known.revision,
        notes=_host_notes(host, known.evidence, fleet_status),
    )


def _host_notes(host: KnownHost, evidence: HostEvidence, fleet_status: FleetStatus) -> list[str]:
    notes = ["leaving"] if host.leaving else []
    for state in ("suspected", "dead"):
        count = sum(
            1 for report in peer_reports(host.name, fleet_status) if report["state"] == state
        )
        if count:
            notes.append(f"{state} by {count} peer(s)")
    if host.endpoint in fleet_status.silent_endpoints:
        notes.append("no answer")
    elif evidence is HostEvidence.UNKNOWN:
        notes.append("not known")
    for status in fleet_status.statuses:
        if status["host"] == host.name:
            conditions = {
                "not ready": not status["ready"],
                "stopping": status["stopping"],
                "abstaining": status["abstaining"],
                "conflict": status["conflict"],
            }
            notes += [note for note, applies in conditions.items() if applies]
    return notes


def _server_overviews(
    configuration: Configuration | None, fleet_status: FleetStatus
) -> list[ServerOverview]:
    reports: dict[str, list[tuple[str, ServerStatus]]] = {}
    for status in fleet_status.statuses:
        for server in status["servers"]:
            reports.setdefault(server["name"], []).append((status["host"], server))
    declared: dict[str, BackendServer] = {}
    if configuration is not None:
        declared = {b.name: b for s in configuration.services for b in s.backend_servers}
    names = sorted(reports.keys() | declared.keys())
    return [_server_overview(name, declared.get(name), reports.get(name, [])) for name in names]


def _server_overview(
    name: str, declared: BackendServer | None, reports: Sequence[tuple[str, ServerStatus]]
) -> ServerOverview:
    statuses = [server for _, server in reports]
    # Without the accepted file, the first reported state other than active is shown.
    restricted_state = next(
        (s["state"] for s in statuses if s["state"] != ServerState.ACTIVE.value), None
    )
    state = (
        (restricted_state or ServerState.ACTIVE.value) if declared is None else declared.state.value
    )
    return ServerOverview(
        server=name,
        service="" if declared is None else declared.service,
        state=state,
        open_connections=max(
            (s["open_connections"] for s in statuses), default=UNKNOWN_CONNECTIONS
        ),
        busy_slots=sum(s["busy_slots"] for s in statuses),
        flow_records=sum(s["records"] for s in statuses),
        ejected_by=[host for host, server in reports if server["ejected"]],
    )


def _heading_lines(overview: Overview) -> Iterable[str]:
    if not overview["revision"]:
        yield "no file is accepted yet"
    else:
        short_digest = overview["digest"][:DIGEST_PREFIX_CHARACTERS]
        yield f"revision {overview['revision']}, digest {short_digest}"
    if overview["operator"]:
        yield f"applied by {overview['operator']} at {overview['applied_at']}"
        yield f"changes: {overview['summary']}"
    if not overview["store_answered"]:
        yield "THE STORE DOES NOT ANSWER: no file can be applied until it does"
    elif overview["store_revision"] < overview["revision"]:
        yield f"THE STORE IS BEHIND: it holds revision {overview['store_revision']}"
    if overview["conflict"]:
        yield "CONFLICT: hosts or the store hold different texts of one revision"


def _section_lines(
    empty_text: str, header: Sequence[str], rows: Iterable[Sequence[str]]
) -> list[str]:
    listed_rows = list(rows)
    if listed_rows:
        return ["", *format_table(header, listed_rows)]
    return ["", empty_text] if empty_text else []


def _domain_row(domain: DomainOverview) -> tuple[str, str, str]:
    hosts = sum(len(domain[key]) for key in ("in_force", "behind", "unknown", "dead"))
    problems = [
        f"{label}: {', '.join(names)}"
        for label, names in (
            ("behind", domain["behind"]),
            ("unknown", domain["unknown"]),
            ("dead", domain["dead"]),
        )
        if names
    ]
    return domain["failure_domain"], f"{len(domain['in_force'])} of {hosts}", "; ".join(problems)


def _host_row(host: HostOverview) -> tuple[str, str, str]:
    revision = str(host["revision"]) if host["revision"] else "-"
    return host["host"], revision, ", ".join(host["notes"])


def _draining_row(server: ServerOverview) -> tuple[str, ...]:
    connections = server["open_connections"]
    return (
        server["server"],
        server["service"],
        server["state"],
        "-" if connections == UNKNOWN_CONNECTIONS else str(connections),
        str(server["busy_slots"]),
        str(server["flow_records"]),
    )
