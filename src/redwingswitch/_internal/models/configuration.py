"""Models of the accepted configuration and of the document that stores it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict

DOCUMENT_SCHEMA_VERSION = 1
MAX_DOCUMENT_BYTES = 1_000_000
MAX_RECENT_APPLY_IDS = 16


class ServerState(StrEnum):
    """The administrative state of a backend server or an entry host, set by operators.

    ``ACTIVE`` accepts new work; ``DRAINING`` and ``LEAVING`` accept none but finish established
    work. A ``LEAVING`` server or host is about to be removed from the configuration file.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


class SizeClass(StrEnum):
    """The expected duration of a service's requests."""

    SHORT = "short"
    LONG = "long"


class ServiceLevelObjectives(NamedTuple):
    """Service-level objectives, each the allowed share of bad events between 0 and 1."""

    broken_flows_ratio: float = 0.001
    failed_requests_ratio: float = 0.01
    slow_short_requests_ratio: float = 0.01
    short_request_limit_ms: int = 500
    imbalance_peak_over_mean: float = 1.25


class FailureDomain(NamedTuple):
    """A zone that can fail or lose its network connection as a whole.

    ``link_cost_ms`` is added to the expected wait of a request that enters or leaves the zone.
    """

    name: str
    region: str
    link_cost_ms: int


class BackendServer(NamedTuple):
    """A machine that serves one service."""

    name: str
    service: str
    failure_domain: str
    address: str
    tunnel_port: int
    stream_port: int
    request_port: int
    report_port: int
    slots: int
    connection_limit: int
    state: ServerState


class Service(NamedTuple):
    """A service that callers address, with its own backend servers.

    ``address`` and ``port`` are the destination of stream packets; ``listen_port`` is the port of
    the TCP listener on each entry host, 0 for none. If ``idempotent`` is false, every request
    of the service counts as non-idempotent; otherwise the request header decides.
    """

    name: str
    address: str
    port: int
    listen_port: int
    takes_streams: bool
    takes_requests: bool
    idempotent: bool
    size_class: SizeClass
    expected_service_ms: int
    idle_limit_ms: int
    objectives: ServiceLevelObjectives
    backend_servers: tuple[BackendServer, ...]


class DeclaredEntryHost(NamedTuple):
    """A declared entry host; ``public_key`` is its CURVE key in Z85, empty without CURVE."""

    name: str
    failure_domain: str
    address: str
    peer_port: int
    data_port: int
    request_port: int
    admin_port: int
    public_key: str
    state: ServerState


class DeclaredChange(NamedTuple):
    """A change from the previous revision that the operator declares in the file."""

    action: str
    target: str
    reason: str


class Configuration(NamedTuple):
    """A parsed, accepted file; each accepted file increases ``revision`` by at least one."""

    revision: int
    digest: str
    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    entry_hosts: tuple[DeclaredEntryHost, ...]
    changes: tuple[DeclaredChange, ...]


class Document(TypedDict):
    """The value under the configuration key in the platform's key-value service.

    ``applied_at`` comes from the operator's clock and ``summary`` describes the change. Both are
    informational; no decision depends on them.
    """

    schema_version: int
    revision: int
    apply_id: str
    operator: str
    digest: str
    text: str
    recent_apply_ids: list[str]
    applied_at: NotRequired[str]
    summary: NotRequired[str]
