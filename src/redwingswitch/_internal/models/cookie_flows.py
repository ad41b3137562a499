"""Models of flows that carry the identity of their backend server in a cookie."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import ServerState


class RouteKind(StrEnum):
    """What the requests inside the flows of a route allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class RouteAddress(NamedTuple):
    """The IPv4 address, as a number, and the port that callers send to."""

    address: int
    port: int


class ServiceShare(NamedTuple):
    """The part of a route's new flows that goes to a service, relative to the other weights."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the new flows to one address and port go, and what they carry.

    ``priority`` 0 is the highest.
    """

    name: str
    destination: RouteAddress
    shares: tuple[ServiceShare, ...]
    kind: RouteKind
    timeout_ms: int
    latency_goal_ms: int
    priority: int


class RouteTable(NamedTuple):
    """One accepted version of all routes."""

    version: int
    routes: Mapping[RouteAddress, Route]
    idle_limit_ms: int


class ListedServer(NamedTuple):
    """A backend server as it listed itself.

    ``instance`` differs between two starts of the same server. ``tunnel_prefix`` precedes each
    packet that is sent to ``(address, port)`` and names the server that is meant.
    ``slow_start_left_ms`` is how much longer the server says it is slow after its start.
    """

    server_id: str
    instance: int
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    state: ServerState
    slow_start_left_ms: int
    tunnel_prefix: bytes


class FlowId(NamedTuple):
    """Both ends of a flow as the caller sees it; addresses are numbers."""

    caller_address: int
    caller_port: int
    destination: RouteAddress


class FlowPacket(NamedTuple):
    """A caller's packet.

    ``copy_number`` counts the earlier copies of the same opening packet. ``sequence`` and
    ``acknowledged`` count bytes of the two directions. ``datagram`` is the packet as received.
    """

    flow: FlowId
    opens: bool
    closes: bool
    resets: bool
    copy_number: int
    cookie: int
    sequence: int
    acknowledged: int
    data_bytes: int
    datagram: bytes


class Verdict(StrEnum):
    """What was decided for a packet; the values are metric labels."""

    OPENED = "opened"
    OPENED_AGAIN = "opened_again"
    OFFERED_ELSEWHERE = "offered_elsewhere"
    STEERED = "steered"
    RESET_NO_ROUTE = "reset_no_route"
    RESET_NO_SERVER = "reset_no_server"
    RESET_SERVER_GONE = "reset_server_gone"
    RESET_SERVER_SILENT = "reset_server_silent"
    HELD_NOT_CONFIGURED = "held_not_configured"
    HELD_NO_SERVER = "held_no_server"
    HELD_UNKNOWN_COOKIE = "held_unknown_cookie"
    DROPPED_NO_COOKIE = "dropped_no_cookie"


class ForwardPacket(NamedTuple):
    """Send a packet to a backend server with ``cookie`` in its cookie field."""

    server: ListedServer
    cookie: int
    packet: FlowPacket
    verdict: Verdict


class ResetFlow(NamedTuple):
    """Tell the caller that its flow has ended; ``service`` is empty when no route names one."""

    packet: FlowPacket
    verdict: Verdict
    service: str = ""


class DiscardPacket(NamedTuple):
    """Send nothing; a held packet may be decided on later."""

    packet: FlowPacket
    verdict: Verdict


SteeringAction = ForwardPacket | ResetFlow | DiscardPacket


class Suspicion(IntEnum):
    """How sure a host is that a server does not answer it."""

    NONE = 0
    SUSPECTED = 1
    CONDEMNED = 2


class FlowOpened(NamedTuple):
    """A caller took a server's answer to its opening packet."""

    flow: FlowId
    server: ListedServer
    latency_ms: int


class RequestAnswered(NamedTuple):
    """A caller acknowledged the first bytes after its request.

    It is late when the latency goal of its route was missed.
    """

    server: ListedServer
    latency_ms: int
    is_late: bool


class SuspicionChanged(NamedTuple):
    """A host's view of a server changed; ``flow`` gave the last evidence."""

    flow: FlowId
    server: ListedServer
    suspicion: Suspicion


Observation = FlowOpened | RequestAnswered | SuspicionChanged
