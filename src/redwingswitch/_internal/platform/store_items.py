"""Translates the items of the platform's store: routes, backend servers and reader records."""

from __future__ import annotations

import base64
from collections.abc import Iterable

import msgspec
from logbook import Logger

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import ListedServer
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_checks import find_id_problem
from redwingswitch._internal.models.server_list import ServerChange, StoredRoutes
from redwingswitch._internal.models.store_revisions import format_revision, number_of
from redwingswitch._internal.platform.entries import (
    CONFIGURATION_KEY,
    READER_PREFIX,
    SERVER_PREFIX,
    decode_reader,
    decode_routes,
    decode_server,
)

log = Logger("store")

NO_ROUTES = StoredRoutes(None, 0)


class Item(msgspec.Struct):
    """A key with its value, or its removal, at a revision."""

    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")
    value: str = msgspec.field(name="Value", default="")
    deleted: bool = msgspec.field(name="Deleted", default=False)


def decode_value(item: Item) -> bytes:
    """Return an item's value as it was written."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise DecodeError(f"the value of {item.key!r} is not base64") from error


def translate_items(items: Iterable[Item]) -> tuple[StoredRoutes, list[ServerChange]]:
    """Return the newest usable routes and the last state of each server among the items.

    Routes that are followed by a version that cannot be decoded say so.
    """
    routes = NO_ROUTES
    servers: dict[str, Item] = {}
    for item in items:
        if item.key == CONFIGURATION_KEY and not item.deleted:
            found = routes_from_item(item)
            is_usable = found.routes is not None
            routes = found if is_usable else routes._replace(has_unreadable=True)
        elif item.key.startswith(SERVER_PREFIX):
            server_id = item.key.removeprefix(SERVER_PREFIX)
            if problem := find_id_problem(server_id):
                log.warning(f"entry unusable key={item.key!r} reason={problem}")
                continue
            servers[server_id] = item
    return routes, [_change_from_item(server_id, item) for server_id, item in servers.items()]


def routes_from_item(item: Item) -> StoredRoutes:
    """Return the routes of the configuration, None in place of ones that cannot be decoded."""
    try:
        return StoredRoutes(decode_routes(decode_value(item)), item.revision)
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.error(f"configuration ignored revision={revision} reason={error}")
        return StoredRoutes(None, item.revision, has_unreadable=True)


def reader_from_item(item: Item) -> RegisteredReader:
    """Return a reader's record."""
    if item.deleted or not number_of(item.revision):
        return NO_READER
    try:
        return RegisteredReader(decode_reader(decode_value(item)), item.revision)
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.warning(f"reader record ignored key={item.key} revision={revision} reason={error}")
        # With its revision, the invalid record can be replaced.
        return RegisteredReader(None, item.revision)


def find_reader(items: Iterable[Item], *, reader_key: str) -> RegisteredReader | None:
    """Return the last record under ``reader_key`` among the items, or None."""
    found: RegisteredReader | None = None
    for item in items:
        if item.key == reader_key:
            found = reader_from_item(item)
    return found


def find_other_readers(items: Iterable[Item], *, reader_key: str) -> tuple[DomainReader, ...]:
    """Return the last record of each reader among the items but the one of ``reader_key``."""
    found = {
        item.key: DomainReader(item.key.removeprefix(READER_PREFIX), reader_from_item(item))
        for item in items
        if item.key.startswith(READER_PREFIX) and item.key != reader_key
    }
    return tuple(found.values())


def _change_from_item(server_id: str, item: Item) -> ServerChange:
    if item.deleted:
        return ServerChange(server_id=server_id, server=None, is_listed=False)
    server: ListedServer | None = None
    try:
        server = decode_server(server_id, decode_value(item))
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.warning(f"entry unusable server={server_id} revision={revision} reason={error}")
    return ServerChange(server_id=server_id, server=server, is_listed=True)
