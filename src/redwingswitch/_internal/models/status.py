"""Models of the JSON that an entry host returns for ``GET /status``."""

from __future__ import annotations

from typing import NamedTuple, NotRequired, TypedDict


class MemberStatus(TypedDict):
    """One host in the member list of the reporting host.

    ``state`` is the name of a MemberState in lower case: alive, suspected, leaving or dead.
    """

    host: str
    failure_domain: str
    state: str
    revision: int


class ServiceStatus(TypedDict):
    """Steering state of one service.

    ``displaced_buckets`` counts the buckets on whose server the lookup tables disagree, or which an
    ejection affects. ``records`` counts the flow records of the reporting host.
    """

    name: str
    displaced_buckets: int
    records: int


class ServerStatus(TypedDict):
    """One backend server as the reporting host sees it.

    ``state`` is the configured ServerState. ``busy_slots`` counts the requests that the reporting
    host has dispatched to the server. ``open_connections`` is from the last report of the server,
    -1 without one. ``records`` counts the flow records of the reporting host that name the server.
    """

    name: str
    service: str
    failure_domain: str
    state: str
    ejected: bool
    busy_slots: int
    open_connections: int
    records: int


class HostStatus(TypedDict):
    """The status of one entry host.

    ``conflict`` is true if the host learned of another document with the revision of its own.
    ``apply_id`` identifies the apply that wrote its document; hosts of an earlier version lack it.
    """

    host: str
    failure_domain: str
    incarnation: int
    revision: int
    digest: str
    apply_id: NotRequired[str]
    conflict: bool
    ready: bool
    stopping: bool
    abstaining: bool
    members: list[MemberStatus]
    services: list[ServiceStatus]
    servers: list[ServerStatus]


class FleetStatus(NamedTuple):
    """The status of the entry hosts that answered, and the endpoints that did not answer."""

    statuses: tuple[HostStatus, ...]
    silent_endpoints: tuple[str, ...]
