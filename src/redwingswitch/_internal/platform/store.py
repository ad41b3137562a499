"""Client of the platform's metadata store: configuration, backend servers, reader records."""

from __future__ import annotations

import base64
import re
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec
from logbook import Logger

from redwingswitch._internal.exceptions import (
    DecodeError,
    ResponseTooLargeError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.cookie_flows import ListedServer
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    ListReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_checks import find_domain_problem, find_id_problem
from redwingswitch._internal.models.server_list import (
    NONE_OUT_OF_SERVICE,
    OutOfService,
    ServerChange,
    ServerList,
    ServerListChanges,
    StoredRoutes,
)
from redwingswitch._internal.models.store_revisions import (
    MAX_ERA,
    era_of,
    format_revision,
    make_revision,
    number_of,
)
from redwingswitch._internal.platform.entries import (
    CONFIGURATION_KEY,
    OUT_OF_SERVICE_PREFIX,
    READER_PREFIX,
    SERVER_PREFIX,
    decode_reader,
    decode_routes,
    decode_server,
    encode_reader,
)
from redwingswitch._internal.platform.http_connection import HttpConnection, Response
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

log = Logger("store")

T = TypeVar("T")

# The number of times that the store was restored from a copy; all responses have it.
ERA_HEADER = "Store-Era"
_ERA_PATTERN = re.compile(r"[0-9]{1,9}")
# Operators and backend servers write under different prefixes; one watch covers both.
ALL_KEYS_PREFIX = ""
# No key has this prefix, so the response is empty.
ABSENT_PREFIX = "probe/"
NO_LEASE = 0
NO_ROUTES = StoredRoutes(None, 0)
# A page has at most about 500 items. The bound ends the listing if a faulty store always
# announces another page.
MAX_PAGES = 1_000
# Many times the failure domains of a deployment. A set of this size with the longest names takes
# 8 KB of each message between hosts.
MAX_OUT_OF_SERVICE_DOMAINS = 64


class _Item(msgspec.Struct):
    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")
    value: str = msgspec.field(name="Value", default="")
    deleted: bool = msgspec.field(name="Deleted", default=False)


class _Page(msgspec.Struct):
    items: list[_Item]
    store_revision: int = msgspec.field(name="StoreRevision")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class _Events(msgspec.Struct):
    events: list[_Item]
    store_revision: int = msgspec.field(name="StoreRevision")


class _Watched(NamedTuple):
    """The events of a watch, whose revisions include the era."""

    events: list[_Item]
    store_revision: int
    transfer_ms: int


class _WriteResult(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")


class _Conflict(msgspec.Struct):
    items: list[_Item]


_item_decoder = msgspec.json.Decoder(_Item)
_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)
_write_result_decoder = msgspec.json.Decoder(_WriteResult)
_conflict_decoder = msgspec.json.Decoder(_Conflict)


class PlatformStore:
    """A ``ServerListStore`` over the platform's HTTP protocol.

    All revisions that it returns include the store's era; see ``models.store_revisions``.
    """

    def __init__(self, *, address: str, port: int, timeout_ms: int, failure_domain: str) -> None:
        self._connection = HttpConnection(address=address, port=port)
        # Separate, because a waiting watch occupies the other connection.
        self._probe_connection = HttpConnection(address=address, port=port)
        self._timeout_ms = timeout_ms
        self._reader_key = READER_PREFIX + failure_domain
        # The era of the latest response.
        self._era = 0
        # A watch reports single keys; they change this set to the whole one.
        self._out_of_service = NONE_OUT_OF_SERVICE

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        """Return the full list: the routes, all backend servers and the reader.

        A list that may be stale can be seconds old and costs the store a tenth.
        """
        items, revision = await self._read_pages(ALL_KEYS_PREFIX, may_be_stale=may_be_stale)
        routes, changes = _translate_items(items)
        out_of_service = _change_domains(NONE_OUT_OF_SERVICE, items, revision)
        self._out_of_service = out_of_service
        return ServerList(
            routes=routes.routes,
            servers=tuple(changes),
            revision=revision,
            reader=self._find_reader(items) or NO_READER,
            routes_revision=routes.revision,
            out_of_service=out_of_service,
            other_readers=self._find_other_readers(items),
        )

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        """Return what changed after a revision, waiting up to ``wait_ms`` for a change."""
        if self._must_read_whole_set(after_revision):
            await self._read_out_of_service()
        events = await self._watch(ALL_KEYS_PREFIX, after_revision, wait_ms)
        routes, changes = _translate_items(events.events)
        revision = max(after_revision, events.store_revision)
        out_of_service = _change_domains(self._out_of_service, events.events, revision)
        self._out_of_service = out_of_service
        return ServerListChanges(
            routes=routes.routes,
            servers=tuple(changes),
            revision=revision,
            reader=self._find_reader(events.events),
            routes_revision=routes.revision,
            transfer_ms=events.transfer_ms,
            out_of_service=out_of_service,
            other_readers=self._find_other_readers(events.events),
        )

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        """Return what changed of the backend servers after a revision, without a wait.

        A watch returns each version of a value. The routes change many times in a storm of
        configurations, and a narrow link needs seconds for all their versions. The failure domains
        out of service are read whole, after the servers: the next watch begins at the revision of
        the servers, and an earlier set would miss what changed up to there.
        """
        try:
            events = await self._watch(SERVER_PREFIX, after_revision, 0)
        except ResponseTooLargeError as error:
            # Repeating it would fail until the store discards this history.
            raise StoreHistoryLostError(f"{error}; read the full list") from error
        _, changes = _translate_items(events.events)
        out_of_service = await self._read_out_of_service()
        return ServerListChanges(
            routes=None,
            servers=tuple(changes),
            revision=max(after_revision, events.store_revision),
            transfer_ms=events.transfer_ms,
            out_of_service=out_of_service,
        )

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        """Return the newest routes."""
        item = await self._read_item(CONFIGURATION_KEY, may_be_stale=may_be_stale)
        return NO_ROUTES if item is None else _routes_from_item(item)

    async def read_values(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all keys that begin with ``prefix``, as they were written."""
        items, _ = await self._read_pages(prefix, may_be_stale=False)
        return {item.key: _decode_value(item) for item in items}

    async def read_reader(self) -> RegisteredReader:
        """Return the record of this failure domain's reader; it may be seconds old."""
        item = await self._read_item(self._reader_key, may_be_stale=True)
        return NO_READER if item is None else _reader_from_item(item)

    async def read_other_readers(self) -> tuple[DomainReader, ...]:
        """Return the newest records of the readers of other failure domains."""
        response = await self._get(
            self._connection,
            "/v1/kv-range",
            {"Prefix": READER_PREFIX},
            timeout_ms=self._timeout_ms,
        )
        page = _decode_response(_page_decoder, response.body)
        return self._find_other_readers(_in_era(page.items, self._note_era(response)))

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        """Store a reader's record if the record still has the revision ``expected``.

        Return the new record, or the one in the store if it has another revision.
        """
        if expected and era_of(expected) < self._era:
            # The store may have given out the same number again, to another host's record.
            item = await self._read_item(self._reader_key, may_be_stale=False)
            return NO_READER if item is None else _reader_from_item(item)
        value = base64.b64encode(encode_reader(reader)).decode()
        body = {
            "ExpectedRev": [{"Key": self._reader_key, "Revision": number_of(expected)}],
            "SetKeys": [{"Key": self._reader_key, "Value": value, "Lease": NO_LEASE}],
            "Remove": [],
        }
        response = await self._connection.call(
            "POST", "/v1/kv-txn", body=msgspec.json.encode(body), timeout_ms=self._timeout_ms
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            items = _decode_response(_conflict_decoder, response.body).items
            return self._find_reader(_in_era(items, self._note_era(response))) or NO_READER
        _check_status(response)
        number = _decode_response(_write_result_decoder, response.body).revision
        return RegisteredReader(reader, _make_revision(self._note_era(response), number))

    async def probe(self, *, known_revision: int) -> int:
        """Return the store's newest revision, which a serializable read need not know.

        Raises StoreHistoryLostError if the store was restored since ``known_revision``.
        """
        response = await self._get(
            self._probe_connection,
            "/v1/kv-range",
            {"Prefix": ABSENT_PREFIX},
            timeout_ms=self._timeout_ms,
        )
        era = self._note_era(response)
        _check_era(era, era_of(known_revision))
        return _make_revision(era, _decode_response(_page_decoder, response.body).store_revision)

    def close(self) -> None:
        """Close the connections."""
        self._connection.close()
        self._probe_connection.close()

    async def _watch(self, prefix: str, after_revision: int, wait_ms: int) -> _Watched:
        known_era = era_of(after_revision)
        if known_era < self._era:
            raise _restored(known_era, self._era)
        query = {"Prefix": prefix, "after": number_of(after_revision), "WaitMs": wait_ms}
        timeout_ms = self._timeout_ms + wait_ms
        response = await self._get(self._connection, "/v1/kv-watch", query, timeout_ms=timeout_ms)
        era = self._note_era(response)
        _check_era(era, known_era)
        decoded = _decode_response(_events_decoder, response.body)
        return _Watched(
            events=_in_era(decoded.events, era),
            store_revision=_make_revision(era, decoded.store_revision),
            transfer_ms=response.transfer_ms,
        )

    def _note_era(self, response: Response) -> int:
        """Return the era that a response names; a store that names none was never restored."""
        text = response.headers.get(ERA_HEADER, "0")
        if not _ERA_PATTERN.fullmatch(text) or int(text) > MAX_ERA:
            raise StoreUnavailableError(f"the store's era {text!r} is not one from 0 to {MAX_ERA}")
        self._era = int(text)
        return self._era

    def _find_reader(self, items: Iterable[_Item]) -> RegisteredReader | None:
        """Return the last record of this failure domain's reader among the items, or None."""
        found: RegisteredReader | None = None
        for item in items:
            if item.key == self._reader_key:
                found = _reader_from_item(item)
        return found

    def _find_other_readers(self, items: Iterable[_Item]) -> tuple[DomainReader, ...]:
        """Return the last record of each other failure domain's reader among the items."""
        found = {
            item.key: DomainReader(item.key.removeprefix(READER_PREFIX), _reader_from_item(item))
            for item in items
            if item.key.startswith(READER_PREFIX) and item.key != self._reader_key
        }
        return tuple(found.values())

    async def _read_item(self, key: str, *, may_be_stale: bool) -> _Item | None:
        query = {"Key": key, **_stale_query(may_be_stale)}
        target = f"/v1/kv-key?{urlencode(query)}"
        response = await self._connection.call("GET", target, body=b"", timeout_ms=self._timeout_ms)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _check_status(response)
        item = _decode_response(_item_decoder, response.body)
        _in_era([item], self._note_era(response))
        return item

    def _must_read_whole_set(self, after_revision: int) -> bool:
        """Return whether a watch cannot complete the known set of failure domains out of service.

        Another host may have sent the list up to this revision, so that the watch leaves a gap. Of
        a full set, the watch does not tell which left-out key takes the place of a removed one.
        """
        known = self._out_of_service
        return known.revision < after_revision or len(known.domains) >= MAX_OUT_OF_SERVICE_DOMAINS

    async def _read_out_of_service(self) -> OutOfService:
        """Return the whole set of failure domains out of service."""
        items, revision = await self._read_pages(OUT_OF_SERVICE_PREFIX, may_be_stale=False)
        self._out_of_service = _change_domains(NONE_OUT_OF_SERVICE, items, revision)
        return self._out_of_service

    async def _read_pages(self, prefix: str, *, may_be_stale: bool) -> tuple[list[_Item], int]:
        """Return all items whose key has a prefix, and a revision up to which they are known."""
        items: list[_Item] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._read_page(prefix, after, may_be_stale)
            items += page.items
            # Pages are not a snapshot, and stale pages are not in order, so changes are followed
            # from the oldest one.
            revision = min(page.store_revision, revision or page.store_revision)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return items, revision or 0

    async def _read_page(self, prefix: str, after: str, may_be_stale: bool) -> _Page:
        query: dict[str, object] = {"Prefix": prefix, **_stale_query(may_be_stale)}
        if after:
            query["after"] = after
        response = await self._get(
            self._connection, "/v1/kv-range", query, timeout_ms=self._timeout_ms
        )
        page = _decode_response(_page_decoder, response.body)
        era = self._note_era(response)
        _in_era(page.items, era)
        page.store_revision = _make_revision(era, page.store_revision)
        return page

    async def _get(
        self, connection: HttpConnection, path: str, query: Mapping[str, object], *, timeout_ms: int
    ) -> Response:
        response = await connection.call(
            "GET", f"{path}?{urlencode(query)}", body=b"", timeout_ms=timeout_ms
        )
        if response.status == HTTPStatus.GONE:
            raise StoreHistoryLostError("the store has discarded the history; read the full list")
        _check_status(response)
        return response


def _restored(known_era: int, era: int) -> StoreHistoryLostError:
    return StoreHistoryLostError(
        f"the store was restored from a copy, era {era} after {known_era}; read the full list"
    )


def _check_era(era: int, known_era: int) -> None:
    """Raise the error of a response that cannot continue a list of ``known_era``."""
    if known_era < era:
        raise _restored(known_era, era)
    if known_era > era:
        raise StoreUnavailableError(f"the store answered from era {era}, not {known_era}")


def _make_revision(era: int, number: int) -> int:
    try:
        return make_revision(era=era, number=number)
    except ValueError as error:
        raise StoreUnavailableError(f"the store's response cannot be used: {error}") from error


def _in_era(items: list[_Item], era: int) -> list[_Item]:
    """Add the era to the revisions of items from one response."""
    for item in items:
        item.revision = _make_revision(era, item.revision)
    return items


def _stale_query(may_be_stale: bool) -> dict[str, object]:
    return {"Serializable": 1} if may_be_stale else {}


def _check_status(response: Response) -> None:
    if response.status != HTTPStatus.OK:
        raise StoreUnavailableError(f"the store refused the call with status {response.status}")


def _decode_response(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except DECODING_ERRORS as error:
        raise StoreUnavailableError(f"the store's response cannot be decoded: {error}") from error


def _translate_items(items: Iterable[_Item]) -> tuple[StoredRoutes, list[ServerChange]]:
    """Return the newest usable routes and the last state of each server among the items."""
    routes = NO_ROUTES
    servers: dict[str, _Item] = {}
    for item in items:
        if item.key == CONFIGURATION_KEY and not item.deleted:
            found = _routes_from_item(item)
            routes = routes if found.routes is None else found
        elif item.key.startswith(SERVER_PREFIX):
            server_id = item.key.removeprefix(SERVER_PREFIX)
            if problem := find_id_problem(server_id):
                log.warning(f"entry unusable key={item.key!r} reason={problem}")
                continue
            servers[server_id] = item
    return routes, [_change_from_item(server_id, item) for server_id, item in servers.items()]


def _change_domains(known: OutOfService, items: Iterable[_Item], revision: int) -> OutOfService:
    """Return a set after the items that are newer than it, known up to ``revision``."""
    domains = set(known.domains)
    for item in items:
        if not item.key.startswith(OUT_OF_SERVICE_PREFIX) or item.revision <= known.revision:
            continue
        domain = item.key.removeprefix(OUT_OF_SERVICE_PREFIX)
        if item.deleted:
            domains.discard(domain)
        elif problem := find_domain_problem(domain):
            log.warning(f"key without effect key={item.key!r} reason={problem}")
        elif domain not in domains and len(domains) >= MAX_OUT_OF_SERVICE_DOMAINS:
            log.error(f"key without effect key={item.key!r} reason=too many domains")
        else:
            domains.add(domain)
    return OutOfService(frozenset(domains), max(revision, known.revision))


def _routes_from_item(item: _Item) -> StoredRoutes:
    try:
        return StoredRoutes(decode_routes(_decode_value(item)), item.revision)
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.error(f"configuration ignored revision={revision} reason={error}")
        return StoredRoutes(None, item.revision)


def _reader_from_item(item: _Item) -> RegisteredReader:
    if item.deleted or not number_of(item.revision):
        return NO_READER
    try:
        return RegisteredReader(decode_reader(_decode_value(item)), item.revision)
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.warning(f"reader record ignored key={item.key} revision={revision} reason={error}")
        # With its revision, the invalid record can be replaced.
        return RegisteredReader(None, item.revision)


def _change_from_item(server_id: str, item: _Item) -> ServerChange:
    if item.deleted:
        return ServerChange(server_id=server_id, server=None, is_listed=False)
    server: ListedServer | None = None
    try:
        server = decode_server(server_id, _decode_value(item))
    except DecodeError as error:
        revision = format_revision(item.revision)
        log.warning(f"entry unusable server={server_id} revision={revision} reason={error}")
    return ServerChange(server_id=server_id, server=server, is_listed=True)


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise DecodeError(f"the value of {item.key!r} is not base64") from error
