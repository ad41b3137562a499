"""Codec of the datagrams by which hosts of a failure domain share the list of backend servers.

One host, the reader, reads the list from the store and answers the requests of the others with the
changes. The sequence of its changes is its feed, identified by the incarnation of the reader. The
routes are requested apart from it, as a difference. A host that gets neither list nor feed asks a
neighbour for a snapshot, the whole list in parts.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from ipaddress import AddressValueError, IPv4Address
from typing import Any, NamedTuple

from logbook import Logger

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import Route, RouteTable, ServiceSlowStart
from redwingswitch._internal.models.list_readers import RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ListOffer,
    RoutesDifference,
    RoutesPart,
    RoutesRequest,
    SnapshotPart,
    SnapshotRequest,
)
from redwingswitch._internal.models.load_sharing import DomainLoad, LoadReport, LoadSummary
from redwingswitch._internal.models.server_checks import find_domain_problem, find_server_problem
from redwingswitch._internal.models.server_list import OutOfService, ServerChange, ServerList
from redwingswitch._internal.network.load_messages import check_load_message
from redwingswitch._internal.network.packing import check_integer, convert_to_model, pack, unpack
from redwingswitch._internal.network.route_checks import (
    check_destination,
    check_routes,
    check_slow_starts,
    check_version_and_limit,
)

log = Logger("peers")

LIST_SCHEMA_VERSION = 4
LEADING_FIELD_COUNT = 3
# The feed of an update is the sender's incarnation, which the message has already: 8 bytes
# less in each of a reader's 2 updates a second to each follower.
SENDERS_FEED = 0
MAX_UINT64 = 2**64 - 1

MAX_PORT = 65_535
# Bounds the memory that malformed compressed data can take.
MAX_DECOMPRESSED_BYTES = 8_000_000

ListMessage = (
    FeedRequest
    | FeedUpdate
    | ListOffer
    | SnapshotRequest
    | SnapshotPart
    | RoutesRequest
    | RoutesPart
    | LoadReport
    | LoadSummary
    | DomainLoad
)
# The position of a type is its number on the wire.
_MESSAGE_TYPES: tuple[type[ListMessage], ...] = (
    FeedRequest,
    FeedUpdate,
    ListOffer,
    SnapshotRequest,
    SnapshotPart,
    RoutesRequest,
    RoutesPart,
    LoadReport,
    LoadSummary,
    DomainLoad,
)


class _Snapshot(NamedTuple):
    """A ``ServerList`` whose routes are no mapping."""

    routes_version: int
    idle_limit_ms: int
    routes: tuple[Route, ...]
    servers: tuple[ServerChange, ...]
    revision: int
    reader: RegisteredReader
    routes_revision: int
    out_of_service: OutOfService
    slow_starts: tuple[ServiceSlowStart, ...]


class ListDatagram(NamedTuple):
    """A decoded message and the sender's incarnation."""

    incarnation: int
    message: ListMessage


def encode_list_message(*, incarnation: int, message: ListMessage) -> bytes:
    """Return a message as msgpack: schema version, the sender's incarnation, kind, fields."""
    if isinstance(message, FeedUpdate):
        message = message._replace(feed=SENDERS_FEED)
    return pack((LIST_SCHEMA_VERSION, incarnation, _MESSAGE_TYPES.index(type(message)), *message))


def decode_list_message(data: bytes) -> ListDatagram:
    """Return the message in ``data``; raise DecodeError if malformed or of another version."""
    version, incarnation, kind, *fields = unpack(data, minimum_fields=LEADING_FIELD_COUNT)
    if version != LIST_SCHEMA_VERSION:
        raise DecodeError(f"schema version {version!r} is not {LIST_SCHEMA_VERSION}")
    check_integer(incarnation, name="incarnation", maximum=MAX_UINT64)
    check_integer(kind, name="kind", maximum=len(_MESSAGE_TYPES) - 1)
    message: ListMessage = convert_to_model(fields, _MESSAGE_TYPES[kind])
    if isinstance(message, FeedUpdate):
        message = _check_update(message, incarnation)
    elif isinstance(message, LoadReport | LoadSummary | DomainLoad):
        check_load_message(message)
    return ListDatagram(incarnation, message)


def encode_snapshot(fleet: ServerList) -> bytes:
    """Return a whole list as compressed msgpack; raise ValueError for one without routes."""
    if fleet.routes is None:
        raise ValueError("a list without routes cannot be sent")
    snapshot = _Snapshot(
        routes_version=fleet.routes.version,
        idle_limit_ms=fleet.routes.idle_limit_ms,
        routes=tuple(fleet.routes.routes.values()),
        servers=fleet.servers,
        revision=fleet.revision,
        reader=fleet.reader,
        routes_revision=fleet.routes_revision,
        out_of_service=fleet.out_of_service,
        slow_starts=fleet.routes.slow_starts,
    )
    return _compress(snapshot)


def decode_snapshot(data: bytes) -> ServerList:
    """Return the list in ``data``; raise DecodeError if malformed or of another version."""
    fields = _decompress(data)
    snapshot = convert_to_model(fields, _Snapshot)
    if snapshot.reader.reader is not None:
        _check_address(snapshot.reader.reader.address, snapshot.reader.reader.port)
    _check_out_of_service(snapshot.out_of_service)
    check_integer(snapshot.revision, name="revision", maximum=MAX_UINT64)
    check_version_and_limit(version=snapshot.routes_version, idle_limit_ms=snapshot.idle_limit_ms)
    check_routes(snapshot.routes)
    check_slow_starts(snapshot.slow_starts)
    routes = RouteTable(
        version=snapshot.routes_version,
        routes={route.destination: route for route in snapshot.routes},
        idle_limit_ms=snapshot.idle_limit_ms,
        slow_starts=snapshot.slow_starts,
    )
    return ServerList(
        routes=routes,
        servers=tuple(map(_without_unusable_server, snapshot.servers)),
        revision=snapshot.revision,
        reader=snapshot.reader,
        routes_revision=snapshot.routes_revision,
        out_of_service=snapshot.out_of_service,
    )


def encode_routes_difference(difference: RoutesDifference) -> bytes:
    """Return a difference of routes as compressed msgpack."""
    return _compress(difference)


def decode_routes_difference(data: bytes) -> RoutesDifference:
    """Return the difference in ``data``; raise DecodeError if malformed or of another version."""
    difference = convert_to_model(_decompress(data), RoutesDifference)
    check_version_and_limit(version=difference.version, idle_limit_ms=difference.idle_limit_ms)
    check_routes(difference.changed)
    check_slow_starts(difference.slow_starts or ())
    for destination in difference.removed:
        check_destination(destination)
    return difference


def _compress(fields: Sequence[object]) -> bytes:
    return zlib.compress(pack((LIST_SCHEMA_VERSION, *fields)))


def _decompress(data: bytes) -> list[Any]:
    """Return the fields after the schema version."""
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise DecodeError(f"not compressed data: {error}") from error
    if not decompressor.eof:
        raise DecodeError(f"the data is incomplete or exceeds {MAX_DECOMPRESSED_BYTES} bytes")
    version, *fields = unpack(packed, minimum_fields=1)
    if version != LIST_SCHEMA_VERSION:
        raise DecodeError(f"schema version {version!r} is not {LIST_SCHEMA_VERSION}")
    return fields


def _check_update(update: FeedUpdate, incarnation: int) -> FeedUpdate:
    """Return an update without unusable entries; raise DecodeError if others cannot be told."""
    if update.feed != SENDERS_FEED:
        raise DecodeError("an update must be of its sender's own feed")
    check_integer(update.list_age_ms, name="list age", maximum=MAX_UINT64)
    if update.routes_age_ms is not None:
        check_integer(update.routes_age_ms, name="age of the routes", maximum=MAX_UINT64)
    check_integer(update.routes_revision, name="revision of the routes", maximum=MAX_UINT64)
    check_integer(update.first_position, name="first position", maximum=MAX_UINT64)
    if update.neighbour is not None:
        _check_address(*update.neighbour)
    _check_out_of_service(update.out_of_service)
    changes = tuple(
        each._replace(change=_without_unusable_server(each.change)) for each in update.changes
    )
    return update._replace(feed=incarnation, changes=changes)


def _without_unusable_server(change: ServerChange) -> ServerChange:
    """Return a change that names no server if the one in it cannot be used."""
    if change.server is None:
        return change
    problem = find_server_problem(change.server)
    if problem is None and change.server.server_id != change.server_id:
        problem = "the change is of another server"
    if problem is None:
        return change
    log.warning(f"entry unusable server={change.server_id!r} reason={problem}")
    return change._replace(server=None)


def _check_out_of_service(out_of_service: OutOfService) -> None:
    check_integer(out_of_service.revision, name="revision", maximum=MAX_UINT64)
    for domain in out_of_service.domains:
        if problem := find_domain_problem(domain):
            raise DecodeError(problem)


def _check_address(address: str, port: int) -> None:
    check_integer(port, name="port of a host", maximum=MAX_PORT)
    try:
        IPv4Address(address)
    except AddressValueError as error:
        raise DecodeError(f"invalid address of a host: {error}") from error
