"""The JSON of an entry host's ``GET /status``."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class MemberStatus(TypedDict):
    """One host in the reporter's member list.

    ``state`` is the name of a MemberState in lower case: alive, suspected, leaving or dead.
    """

    host: str
    failure_domain: str
    state: str
    revision: int


class ServiceStatus(TypedDict):
    """Steering state of one service; ``records`` counts flow records held here."""

    name: str
    displaced_buckets: int
    records: int


class ServerStatus(TypedDict):
    """One backend server as the reporter sees it.

    ``state`` is the operators' intent (a ServerState). ``busy_slots`` counts the requests that the
    reporter itself has dispatched there. ``open_connections`` is the server's own last report, -1
    without one. ``records`` counts the reporter's flow records that name the server.
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
    """What one entry host knows; ``conflict`` is true on an equal revision with another digest."""

    host: str
    failure_domain: str
    incarnation: int
    revision: int
    digest: str
    conflict: bool
    ready: bool
    stopping: bool
    abstaining: bool
    members: list[MemberStatus]
    services: list[ServiceStatus]
    servers: list[ServerStatus]


class FleetStatus(NamedTuple):
    """The answers of the entry hosts that were asked, and the endpoints that did not answer."""

    statuses: tuple[HostStatus, ...]
    silent_endpoints: tuple[str, ...]
