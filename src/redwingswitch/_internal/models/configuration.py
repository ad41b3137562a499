"""The accepted configuration, as the decision parts see it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict

DOCUMENT_SCHEMA_VERSION = 1
MAX_DOCUMENT_BYTES = 1_000_000
MAX_RECENT_APPLY_IDS = 16


class ServerState(StrEnum):
    """What operators intend for a backend server or an entry host.

    ``ACTIVE`` takes new work; ``DRAINING`` and ``LEAVING`` take none but keep established work.
    A ``LEAVING`` one is about to be removed from the file.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


class SizeClass(StrEnum):
    """The expected length of a service's requests."""

    SHORT = "short"
    LONG = "long"


class Objectives(NamedTuple):
    """Service-level objectives, each the allowed share of bad events between 0 and 1."""

    broken_flows_ratio: float = 0.001
    failed_requests_ratio: float = 0.01
    slow_short_requests_ratio: float = 0.01
    short_request_limit_ms: int = 500
    imbalance_peak_over_mean: float = 1.25


class FailureDomain(NamedTuple):
    """A zone that can be cut off as a whole."""

    name: str
    region: str
    link_cost_ms: int


class BackendServer(NamedTuple):
    """A machine that does the work of one service."""

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
    """A destination of callers, with its own backend servers.

    ``address`` and ``port`` name the destination of stream packets; ``listen_port`` is the port of
    the TCP listener on each entry host, 0 for none. ``idempotent`` false makes every request of
    the service non-idempotent; true leaves it to the request header.
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
    objectives: Objectives
    backend_servers: tuple[BackendServer, ...]


class DeclaredEntryHost(NamedTuple):
    """A declared entry host; ``public_key`` is its CURVE key in Z85, empty when keys are off."""

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
    """A difference from the previous revision that the operator declares on purpose."""

    action: str
    target: str
    reason: str


class Configuration(NamedTuple):
    """One accepted file, parsed; ``revision`` rises by at least one with each accepted file."""

    revision: int
    digest: str
    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    entry_hosts: tuple[DeclaredEntryHost, ...]
    changes: tuple[DeclaredChange, ...]


class Document(TypedDict):
    """The value under the configuration key in the platform's key-value service.

    ``applied_at`` is a time of the operator's own clock and ``summary`` tells what changed; both
    are for people only, and no decision uses them.
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
