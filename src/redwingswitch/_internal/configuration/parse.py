"""Parse the text of a configuration file into a ``Configuration``."""

from __future__ import annotations

from redwingswitch._internal.configuration.check import check_configuration
from redwingswitch._internal.configuration.differences import ChangeAction
from redwingswitch._internal.configuration.sections import Located, Sections
from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.models.configuration import (
    MAX_DOCUMENT_BYTES,
    BackendServer,
    Configuration,
    DeclaredChange,
    DeclaredEntryHost,
    FailureDomain,
    ServerState,
    Service,
    ServiceLevelObjectives,
    SizeClass,
)
from redwingswitch._internal.utils.toml_reader import FindingCollector, TableReader, read_document

MAX_FAILURE_DOMAINS = 64
MAX_ENTRY_HOSTS = 1_024
MAX_SERVICES = 4_096
MAX_BACKEND_SERVERS = 16_384
MAX_CHANGES = 16_384

MAX_LINK_COST_MS = 10_000
MAX_EXPECTED_SERVICE_MS = 30_000
MAX_SHORT_REQUEST_LIMIT_MS = 30_000
MAX_IDLE_LIMIT_S = 86_400
MAX_SLOTS = 1_024
MAX_CONNECTION_LIMIT = 1_000_000
MAX_IMBALANCE_PEAK_OVER_MEAN = 100.0
MAX_REASON_CHARACTERS = 200
DEFAULT_EXPECTED_SERVICE_MS = 50
DEFAULT_IDLE_LIMIT_S = 900
DEFAULT_SLOTS = 2
DEFAULT_CONNECTION_LIMIT = 2_000
MS_PER_S = 1_000

TARGET_SECTIONS = ("failure_domains", "entry_hosts", "services", "backend_servers")


def parse_configuration(*, text: str, file: str, revision: int, digest: str) -> Configuration:
    """Return the checked configuration; raise InvalidInputGroup with all findings, if any."""
    collector = FindingCollector(file=file)
    sections = _read_sections(text, collector)
    if sections is not None:
        check_configuration(sections)
    findings = collector.findings(text)
    if findings or sections is None:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
    return Configuration(
        revision=revision,
        digest=digest,
        failure_domains=tuple(d.value for d in sections.failure_domains),
        services=_services_with_servers(sections),
        entry_hosts=tuple(h.value for h in sections.entry_hosts),
        changes=tuple(c.value for c in sections.changes),
    )


def _read_sections(text: str, collector: FindingCollector) -> Sections | None:
    size_bytes = len(text.encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        collector.add(
            (),
            f"the file has {size_bytes} bytes",
            f"keep it to at most {MAX_DOCUMENT_BYTES} bytes",
        )
        return None
    root = read_document(text=text, collector=collector)
    if root is None:
        return None
    sections = Sections(
        root=root,
        failure_domains=_read_failure_domains(root),
        entry_hosts=_read_entry_hosts(root),
        services=_read_services(root),
        backend_servers=_read_backend_servers(root),
        changes=_read_changes(root),
    )
    root.check_unknown_keys()
    return sections


def _services_with_servers(sections: Sections) -> tuple[Service, ...]:
    servers: dict[str, list[BackendServer]] = {}
    for server in sections.backend_servers:
        servers.setdefault(server.value.service, []).append(server.value)
    return tuple(
        s.value._replace(backend_servers=tuple(servers.get(s.value.name, ())))
        for s in sections.services
    )


def _read_failure_domains(root: TableReader) -> tuple[Located[FailureDomain], ...]:
    tables = root.tables("failure_domains", minimum=1, maximum=MAX_FAILURE_DOMAINS)
    return tuple(Located(_read_failure_domain(table), table) for table in tables)


def _read_failure_domain(table: TableReader) -> FailureDomain:
    domain = FailureDomain(
        name=table.name("name"),
        region=table.name("region"),
        link_cost_ms=table.integer("link_cost_ms", minimum=0, maximum=MAX_LINK_COST_MS),
    )
    table.check_unknown_keys()
    return domain


def _read_entry_hosts(root: TableReader) -> tuple[Located[DeclaredEntryHost], ...]:
    tables = root.tables("entry_hosts", minimum=1, maximum=MAX_ENTRY_HOSTS)
    return tuple(Located(_read_entry_host(table), table) for table in tables)


def _read_entry_host(table: TableReader) -> DeclaredEntryHost:
    host = DeclaredEntryHost(
        name=table.name("name"),
        failure_domain=table.name("failure_domain"),
        address=table.address("address"),
        peer_port=table.port("peer_port"),
        data_port=table.port("data_port"),
        request_port=table.port("request_port"),
        admin_port=table.port("admin_port"),
        public_key=table.curve_key("public_key"),
        state=table.choice(
            "state",
            choices=(ServerState.ACTIVE, ServerState.LEAVING),
            default=ServerState.ACTIVE,
        ),
    )
    table.check_unknown_keys()
    return host


def _read_services(root: TableReader) -> tuple[Located[Service], ...]:
    tables = root.tables("services", minimum=1, maximum=MAX_SERVICES)
    return tuple(Located(_read_service(table), table) for table in tables)


def _read_service(table: TableReader) -> Service:
    service = Service(
        name=table.name("name"),
        address=table.address("address"),
        port=table.port("port"),
        listen_port=table.port("listen_port", default=0),
        takes_streams=table.boolean("takes_streams", default=True),
        takes_requests=table.boolean("takes_requests", default=True),
        idempotent=table.boolean("idempotent", default=False),
        size_class=table.choice("size_class", choices=tuple(SizeClass), default=SizeClass.SHORT),
        expected_service_ms=table.integer(
            "expected_service_ms",
            minimum=1,
            maximum=MAX_EXPECTED_SERVICE_MS,
            default=DEFAULT_EXPECTED_SERVICE_MS,
        ),
        idle_limit_ms=MS_PER_S
        * table.integer(
            "idle_limit_s", minimum=1, maximum=MAX_IDLE_LIMIT_S, default=DEFAULT_IDLE_LIMIT_S
        ),
        objectives=_read_objectives(table.table("objectives")),
        backend_servers=(),
    )
    table.check_unknown_keys()
    return service


def _read_objectives(table: TableReader | None) -> ServiceLevelObjectives:
    default = ServiceLevelObjectives()
    if table is None:
        return default
    objectives = ServiceLevelObjectives(
        broken_flows_ratio=_read_ratio(table, "broken_flows_ratio", default.broken_flows_ratio),
        failed_requests_ratio=_read_ratio(
            table, "failed_requests_ratio", default.failed_requests_ratio
        ),
        slow_short_requests_ratio=_read_ratio(
            table, "slow_short_requests_ratio", default.slow_short_requests_ratio
        ),
        short_request_limit_ms=table.integer(
            "short_request_limit_ms",
            minimum=1,
            maximum=MAX_SHORT_REQUEST_LIMIT_MS,
            default=default.short_request_limit_ms,
        ),
        imbalance_peak_over_mean=table.number(
            "imbalance_peak_over_mean",
            minimum=1.0,
            maximum=MAX_IMBALANCE_PEAK_OVER_MEAN,
            default=default.imbalance_peak_over_mean,
        ),
    )
    table.check_unknown_keys()
    return objectives


def _read_ratio(table: TableReader, key: str, default: float) -> float:
    return table.number(key, minimum=0.0, maximum=1.0, default=default)


def _read_backend_servers(root: TableReader) -> tuple[Located[BackendServer], ...]:
    tables = root.tables("backend_servers", minimum=1, maximum=MAX_BACKEND_SERVERS)
    return tuple(Located(_read_backend_server(table), table) for table in tables)


def _read_backend_server(table: TableReader) -> BackendServer:
    server = BackendServer(
        name=table.name("name"),
        service=table.name("service"),
        failure_domain=table.name("failure_domain"),
        address=table.address("address"),
        tunnel_port=table.port("tunnel_port"),
        stream_port=table.port("stream_port"),
        request_port=table.port("request_port"),
        report_port=table.port("report_port"),
        slots=table.integer("slots", minimum=1, maximum=MAX_SLOTS, default=DEFAULT_SLOTS),
        connection_limit=table.integer(
            "connection_limit",
            minimum=1,
            maximum=MAX_CONNECTION_LIMIT,
            default=DEFAULT_CONNECTION_LIMIT,
        ),
        state=table.choice("state", choices=tuple(ServerState), default=ServerState.ACTIVE),
    )
    table.check_unknown_keys()
    return server


def _read_changes(root: TableReader) -> tuple[Located[DeclaredChange], ...]:
    tables = root.tables("changes", maximum=MAX_CHANGES)
    return tuple(Located(_read_change(table), table) for table in tables)


def _read_change(table: TableReader) -> DeclaredChange:
    change = DeclaredChange(
        action=table.choice("action", choices=tuple(ChangeAction)).value,
        target=table.string("target"),
        reason=table.string("reason"),
    )
    if len(change.reason) > MAX_REASON_CHARACTERS:
        table.add_finding(
            "reason", "the reason is long", f"use at most {MAX_REASON_CHARACTERS} characters"
        )
    _check_target(table, change.target)
    table.check_unknown_keys()
    return change


def _check_target(table: TableReader, target: str) -> None:
    section, _, name = target.partition(".")
    if target and (section not in TARGET_SECTIONS or not name):
        sections = ", ".join(TARGET_SECTIONS)
        table.add_finding(
            "target", f"{target!r} names no entry", f"write SECTION.NAME with {sections}"
        )
