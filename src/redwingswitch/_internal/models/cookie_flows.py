"""Models of flows whose packets identify their backend server with a cookie.

The cookie is a number in a field of each packet; it has nothing to do with HTTP cookies.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum, StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import ServerState


class RouteKind(StrEnum):
    """The kind of requests that the flows of a route carry."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class RouteAddress(NamedTuple):
    """The IPv4 address, as an integer, and the port that callers send to."""

    address: int
    port: int


class ServiceShare(NamedTuple):
    """A service and its relative weight in the distribution of a route's new flows."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services that get the new flows to one address and port, and the limits of those flows.

    ``priority`` 0 is the highest.
    """

    name: str
    destination: RouteAddress
    shares: tuple[ServiceShare, ...]
    kind: RouteKind
    timeout_ms: int
    latency_goal_ms: int
    priority: int


class ServiceSlowStart(NamedTuple):
    """How fast a service's servers may get new flows during the slow start after their start.

    There is no limit if ``requests_per_s`` is 0.
    """

    service: str
    requests_per_s: float
    duration_ms: int


class RouteTable(NamedTuple):
    """One accepted version of all routes, and of the slow starts of the services."""

    version: int
    routes: Mapping[RouteAddress, Route]
    idle_limit_ms: int
    slow_starts: tuple[ServiceSlowStart, ...] = ()


class ListedServer(NamedTuple):
    """A backend server as it registered itself in the store.

    ``instance`` changes with each start of the server, and ``report_number`` rises with each of the
    reports that it writes from one start on. ``tunnel_prefix`` is prepended to each
    packet that is sent to ``(address, port)`` and identifies the server that the packet is for.
    ``slow_start_left_ms`` is the remaining slow-start time that the server reports.
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
    report_number: int = 0


class FlowEndpoints(NamedTuple):
    """Both endpoints of a flow as the caller sees them; addresses are integers."""

    caller_address: int
    caller_port: int
    destination: RouteAddress


class FlowPacket(NamedTuple):
    """A packet from a caller; the one that ``opens`` a flow is called its opening packet.

    ``copy_number`` is the number of times that the caller sent the opening packet before, and 0 for
    other packets. ``sequence`` and ``acknowledged`` count bytes sent in each direction.
    ``datagram`` is the packet as received.
    """

    flow: FlowEndpoints
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
    """What was decided for a packet; the values are metric labels.

    ``OPENED``: a flow's first packet was sent to a chosen server. ``OPENED_AGAIN``: the same for a
    retransmission of that packet. ``OFFERED_ELSEWHERE``: the chosen server did not answer, so the
    packet was sent to another one. ``STEERED``: the packet was sent to the server of its cookie.

    In a shortage of servers, ``WAITING``: an opening packet waits for room at this host;
    ``ADMITTED_AFTER_WAIT``: it was sent to a chosen server; ``REJECTED_SHORTAGE``: its flow was
    reset, and no server has got it; ``DROPPED_ABANDONED``: its caller no longer sends it here.
    """

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
    HELD_UNKNOWN_ROUTE = "held_unknown_route"
    HELD_OUTDATED_LIST = "held_outdated_list"
    HELD_SLOW_START = "held_slow_start"
    DROPPED_NO_COOKIE = "dropped_no_cookie"
    WAITING = "waiting"
    ADMITTED_AFTER_WAIT = "admitted_after_wait"
    REJECTED_SHORTAGE = "rejected_shortage"
    DROPPED_ABANDONED = "dropped_abandoned"


class AdmissionOutcome(NamedTuple):
    """The wait of a flow so far, and the one that was expected for it, in a shortage.

    ``priority`` is that of the flow's route. The evidence of the shortage: ``demand_slots`` that
    would be busy without it, ``room_slots`` that there are, ``busy_flows`` of all hosts, and
    ``stretch``, the ratio of recent service times to their work; 0 without sums.
    """

    service: str
    priority: int
    wait_ms: int
    expected_wait_ms: int
    demand_slots: float = 0.0
    room_slots: float = 0.0
    busy_flows: int = 0
    stretch: float = 0.0


class ForwardPacket(NamedTuple):
    """Send a packet to a backend server with ``cookie`` in its cookie field."""

    server: ListedServer
    cookie: int
    packet: FlowPacket
    verdict: Verdict
    admission: AdmissionOutcome | None = None


class ResetFlow(NamedTuple):
    """Send the caller a reset of its flow; ``service`` is empty when no route names one."""

    packet: FlowPacket
    verdict: Verdict
    service: str = ""
    admission: AdmissionOutcome | None = None


class DiscardPacket(NamedTuple):
    """Send nothing now.

    A packet with a ``HELD_`` verdict is kept and decided again when routes or servers become known.
    A ``WAITING`` one is kept until there is room. Any other packet is dropped.
    """

    packet: FlowPacket
    verdict: Verdict
    admission: AdmissionOutcome | None = None


SteeringAction = ForwardPacket | ResetFlow | DiscardPacket


class Suspicion(IntEnum):
    """How certain a host is that a server does not answer it; ``CONDEMNED`` means certain."""

    NONE = 0
    SUSPECTED = 1
    CONDEMNED = 2


class FlowOpened(NamedTuple):
    """A caller acknowledged a server's answer to its opening packet."""

    flow: FlowEndpoints
    server: ListedServer
    latency_ms: int


class RequestAnswered(NamedTuple):
    """A caller acknowledged the first bytes of the answer to its request.

    ``is_late`` is true when the answer missed the latency goal of its route.
    """

    server: ListedServer
    latency_ms: int
    is_late: bool


class SuspicionChanged(NamedTuple):
    """A host's suspicion of a server changed.

    ``flow`` provided the latest evidence; it is None if the suspicion ended for lack of any.
    """

    flow: FlowEndpoints | None
    server: ListedServer
    suspicion: Suspicion


class SlowStartOpening(NamedTuple):
    """A server in slow start was sent an opening packet, its ``sent``-th within a second.

    ``limit`` is what this host may send it within a second.
    """

    flow: FlowEndpoints
    server: ListedServer
    sent: int
    limit: int


Observation = FlowOpened | RequestAnswered | SuspicionChanged | SlowStartOpening
