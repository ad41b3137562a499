"""Codecs for the values that operators, backend servers and hosts keep in the platform's store."""

from __future__ import annotations

import re
from collections.abc import Sequence
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal

import msgspec
from logbook import Logger

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    ListedServer,
    Route,
    RouteAddress,
    RouteKind,
    RouteTable,
    ServiceShare,
    ServiceSlowStart,
)
from redwingswitch._internal.models.list_readers import ListReader
from redwingswitch._internal.models.server_checks import (
    MAX_PORT,
    MAX_SLOW_START_MS,
    TUNNEL_PREFIX_BYTES,
    find_server_problem,
)
from redwingswitch._internal.utils.decoding import DECODING_ERRORS, describe_error

log = Logger("store")

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# Operators write such a key, followed by its name, to take a failure domain out of service.
OUT_OF_SERVICE_PREFIX = "op/evacuate/"
# Records of the hosts that read the list, one per failure domain.
READER_PREFIX = "redwingswitch/readers/"
# Integers of messages between hosts have 64 bits.
MAX_INTEGER = 2**63 - 1
# Up to here, a number with a fraction represents each integer.
MAX_EXACT_NUMBER = 2**53
MAX_HOST_NAME_CHARS = 255
MS_PER_S = 1_000
# A larger rate limits nothing.
MAX_SLOW_START_PER_S = 1e9
_PREFIX_PATTERN = re.compile(r"/([0-9]{1,5})/")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_NON_HEX_DIGIT = re.compile(r"[^0-9a-fA-F]")


# A whole number, which other writers may write with a fraction of 0; see ``_whole``.
_Whole = (
    Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    | Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
)
_SlowStartRate = Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOW_START_PER_S)]
# Numbers that are used as integers.
_Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]


class _ShareEntry(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: _Number = msgspec.field(name="Weight", default=1.0)


class _RouteEntry(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    # An IPv4 address, which callers put into the destination field of their packets.
    host: str = msgspec.field(name="Host")
    # A port between slashes, such as "/443/".
    prefix: str = msgspec.field(name="Prefix")
    kind: Literal["idempotent", "non_idempotent", "download"] = msgspec.field(name="Type")
    timeout_ms: _Number = msgspec.field(name="TimeoutMs", default=0)
    latency_goal_ms: _Number = msgspec.field(name="TargetLatencyMs", default=0)
    priority: _Whole = msgspec.field(name="Priority", default=0)
    service: str = msgspec.field(name="Service", default="")
    split: list[_ShareEntry] = msgspec.field(name="Split", default_factory=list)


class _ServiceEntry(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    slow_start_s: _Number | None = msgspec.field(name="RampS", default=None)
    slow_start_per_s: _SlowStartRate | None = msgspec.field(name="RampPerS", default=None)


class _Limits(msgspec.Struct):
    idle_ms: _Number = msgspec.field(name="IdleTimeoutMs", default=0)


class _Configuration(msgspec.Struct):
    version: _Whole = msgspec.field(name="Version")
    routes: list[_RouteEntry] = msgspec.field(name="Routes")
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)
    # Decoded one by one, so that an odd service does not cost the routes.
    services: list[msgspec.Raw] | None = msgspec.field(name="Services", default=None)


class _ServerEntry(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    # Not used; an entry without it comes from another writer.
    software_version: str = msgspec.field(name="Version")
    slots: _Whole = msgspec.field(name="Slots")
    state: Literal["ready", "draining"] = msgspec.field(name="State")
    # Remaining duration of the slow start.
    slow_start_left_ms: Annotated[float, msgspec.Meta(le=MAX_INTEGER)] = msgspec.field(
        name="RampLeftMs"
    )
    # Counts the server's reports since its start.
    report_number: int | float = msgspec.field(name="Seq")
    # Start time in Unix milliseconds; distinguishes two starts under the same id.
    born: int | float = 0


class _ReaderRecord(msgspec.Struct):
    host: str
    address: str
    port: int
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_server_decoder = msgspec.json.Decoder(_ServerEntry)
_service_decoder = msgspec.json.Decoder(_ServiceEntry)
_reader_decoder = msgspec.json.Decoder(_ReaderRecord)
_SERVER_STATES = {"ready": ServerState.ACTIVE, "draining": ServerState.DRAINING}


def decode_routes(value: bytes) -> RouteTable:
    """Decode the routes of a configuration; raise DecodeError if it is invalid."""
    try:
        decoded = _configuration_decoder.decode(value)
        routes = [_build_route(route) for route in decoded.routes]
        version = _whole(decoded.version, name="Version")
    except DECODING_ERRORS as error:
        raise DecodeError(
            f"the configuration cannot be decoded: {describe_error(error)}"
        ) from error
    return RouteTable(
        version=version,
        routes={route.destination: route for route in routes},
        idle_limit_ms=int(decoded.limits.idle_ms),
        slow_starts=_build_slow_starts(decoded.services or ()),
    )


def _build_slow_starts(services: Sequence[msgspec.Raw]) -> tuple[ServiceSlowStart, ...]:
    """Return the slow starts that limit new flows; a service that cannot be decoded has none."""
    found = {}
    for encoded in services:
        try:
            entry = _service_decoder.decode(encoded)
        except DECODING_ERRORS as error:
            log.warning(f"service unusable reason={describe_error(error)}")
            continue
        if entry.slow_start_per_s:
            duration_ms = int((entry.slow_start_s or 0) * MS_PER_S)
            found[entry.name] = ServiceSlowStart(entry.name, entry.slow_start_per_s, duration_ms)
    return tuple(found.values())


def _build_route(route: _RouteEntry) -> Route:
    shares = [ServiceShare(share.service, share.weight) for share in route.split]
    if not shares:
        shares = [ServiceShare(route.service, 1.0)]
    return Route(
        name=route.name,
        destination=_parse_destination(route),
        shares=tuple(shares),
        kind=RouteKind(route.kind),
        timeout_ms=int(route.timeout_ms),
        latency_goal_ms=int(route.latency_goal_ms),
        priority=_whole(route.priority, name=f"Priority of route {route.name!r}"),
    )


def _parse_destination(route: _RouteEntry) -> RouteAddress:
    port = _PREFIX_PATTERN.fullmatch(route.prefix)
    if port is None or int(port[1]) > MAX_PORT:
        raise ValueError(f"route {route.name!r} has no port in its prefix {route.prefix!r}")
    return RouteAddress(int(IPv4Address(route.host)), int(port[1]))


def decode_server(server_id: str, value: bytes) -> ListedServer:
    """Decode a backend server's entry; raise DecodeError if it describes no usable server."""
    try:
        entry = _server_decoder.decode(value)
        address, port = _parse_endpoint(entry.address)
        tunnel_prefix = _build_tunnel_prefix(server_id)
        slots = _whole(entry.slots, name="Slots")
        report_number = _whole(entry.report_number, name="Seq")
        instance = _whole(entry.born, name="born")
    except DECODING_ERRORS as error:
        raise DecodeError(
            f"the entry of {server_id!r} cannot be decoded: {describe_error(error)}"
        ) from error
    server = ListedServer(
        server_id=server_id,
        instance=instance,
        service=entry.service,
        address=address,
        port=port,
        failure_domain=entry.zone,
        slots=max(1, slots),
        state=_SERVER_STATES[entry.state],
        # A server in a longer slow start reports again long before this one ends.
        slow_start_left_ms=min(MAX_SLOW_START_MS, max(0, int(entry.slow_start_left_ms))),
        tunnel_prefix=tunnel_prefix,
        report_number=report_number,
    )
    if problem := find_server_problem(server):
        raise DecodeError(f"the entry of {server_id!r} cannot be used: {problem}")
    return server


def encode_reader(reader: ListReader) -> bytes:
    """Encode the record of the host that reads the list for its failure domain."""
    return msgspec.json.encode(_ReaderRecord(*reader))


def decode_reader(value: bytes) -> ListReader:
    """Decode the record of a reader; raise DecodeError if it is invalid."""
    try:
        record = _reader_decoder.decode(value)
        IPv4Address(record.address)
    except DECODING_ERRORS as error:
        raise DecodeError(
            f"the reader record cannot be decoded: {describe_error(error)}"
        ) from error
    if not 0 < record.port <= MAX_PORT:
        raise DecodeError(f"the reader record has the invalid port {record.port}")
    if not record.host.isprintable() or not 0 < len(record.host) <= MAX_HOST_NAME_CHARS:
        raise DecodeError("the reader record has an invalid host name")
    return ListReader(record.host, record.address, record.port, record.incarnation)


def _whole(value: float, *, name: str) -> int:
    """Return a whole number as an integer; raise ValueError for one with a fraction."""
    if value != int(value):
        raise ValueError(f"{name} is no whole number: {value!r}")
    return int(value)


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.partition(":")
    try:
        IPv4Address(address)
    except AddressValueError as error:
        raise ValueError(f"{text!r} is not an IPv4 address and port") from error
    if not _PORT_PATTERN.fullmatch(port):
        raise ValueError(f"{text!r} is not an IPv4 address and port")
    return address, int(port)


def _build_tunnel_prefix(server_id: str) -> bytes:
    digits = _NON_HEX_DIGIT.sub("", server_id.rpartition("-")[2])
    if not digits or len(digits) > 2 * TUNNEL_PREFIX_BYTES:
        raise ValueError("the id must end in a number of at most 16 hexadecimal digits")
    return int(digits, 16).to_bytes(TUNNEL_PREFIX_BYTES, "big")


# For checks that report each problem of a configuration with its place.
ConfigurationDocument = _Configuration
RouteDocument = _RouteEntry
build_route = _build_route
