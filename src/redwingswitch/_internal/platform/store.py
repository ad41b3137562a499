"""Client of the platform's metadata store: configuration, backend servers, reader records."""

from __future__ import annotations

from redwingswitch._internal.exceptions import ResponseTooLargeError, StoreHistoryLostError
from redwingswitch._internal.models.list_readers import (
    NO_READER,
    DomainReader,
    ListReader,
    RegisteredReader,
)
from redwingswitch._internal.models.server_list import (
    OutOfService,
    ServerList,
    ServerListChanges,
    StoredRoutes,
)
from redwingswitch._internal.platform.entries import (
    CONFIGURATION_KEY,
    OUT_OF_SERVICE_PREFIX,
    READER_PREFIX,
    SERVER_PREFIX,
    encode_reader,
)
from redwingswitch._internal.platform.out_of_service_keys import OutOfServiceKeys
from redwingswitch._internal.platform.store_calls import StoreCalls
from redwingswitch._internal.platform.store_items import (
    NO_ROUTES,
    decode_value,
    find_other_readers,
    find_reader,
    reader_from_item,
    routes_from_item,
    translate_items,
)

# Operators and backend servers write under different prefixes; one watch covers both.
ALL_KEYS_PREFIX = ""


class PlatformStore:
    """A ``ServerListStore`` over the platform's HTTP protocol.

    All revisions that it returns include the store's era; see ``models.store_revisions``.
    """

    def __init__(self, *, address: str, port: int, timeout_ms: int, failure_domain: str) -> None:
        self._calls = StoreCalls(address=address, port=port, timeout_ms=timeout_ms)
        self._reader_key = READER_PREFIX + failure_domain
        self._out_of_service = OutOfServiceKeys()

    async def read_all(self, *, may_be_stale: bool = False) -> ServerList:
        """Return the full list: the routes, all backend servers and the reader.

        A list that may be stale can be seconds old and costs the store a tenth.
        """
        items, revision = await self._calls.read_pages(ALL_KEYS_PREFIX, may_be_stale=may_be_stale)
        routes, changes = translate_items(items)
        out_of_service = self._out_of_service.replace(items, revision)
        return ServerList(
            routes=routes.routes,
            servers=tuple(changes),
            revision=revision,
            reader=find_reader(items, reader_key=self._reader_key) or NO_READER,
            routes_revision=routes.revision,
            has_unreadable_routes=routes.has_unreadable,
            out_of_service=out_of_service,
            other_readers=find_other_readers(items, reader_key=self._reader_key),
        )

    async def read_changes(self, *, after_revision: int, wait_ms: int) -> ServerListChanges:
        """Return what changed after a revision, waiting up to ``wait_ms`` for a change."""
        if self._out_of_service.is_incomplete_after(after_revision):
            await self._read_out_of_service()
        watched = await self._calls.watch(ALL_KEYS_PREFIX, after_revision, wait_ms)
        routes, changes = translate_items(watched.events)
        revision = max(after_revision, watched.store_revision)
        out_of_service = self._out_of_service.update(watched.events, revision)
        return ServerListChanges(
            routes=routes.routes,
            servers=tuple(changes),
            revision=revision,
            reader=find_reader(watched.events, reader_key=self._reader_key),
            routes_revision=routes.revision,
            has_unreadable_routes=routes.has_unreadable,
            out_of_service=out_of_service,
            other_readers=find_other_readers(watched.events, reader_key=self._reader_key),
        )

    async def read_server_changes(self, *, after_revision: int) -> ServerListChanges:
        """Return what changed of the backend servers after a revision, without a wait.

        A watch returns each version of a value. The routes change many times in a storm of
        configurations, and a narrow link needs seconds for all their versions. The failure domains
        out of service are read whole, after the servers: the next watch begins at the revision of
        the servers, and an earlier set would miss what changed up to there.
        """
        try:
            watched = await self._calls.watch(SERVER_PREFIX, after_revision, 0)
        except ResponseTooLargeError as error:
            # Repeating it would fail until the store discards this history.
            raise StoreHistoryLostError(f"{error}; read the full list") from error
        _, changes = translate_items(watched.events)
        out_of_service = await self._read_out_of_service()
        return ServerListChanges(
            routes=None,
            servers=tuple(changes),
            revision=max(after_revision, watched.store_revision),
            out_of_service=out_of_service,
        )

    async def read_routes(self, *, may_be_stale: bool = False) -> StoredRoutes:
        """Return the newest routes."""
        item = await self._calls.read_item(CONFIGURATION_KEY, may_be_stale=may_be_stale)
        return NO_ROUTES if item is None else routes_from_item(item)

    async def read_values(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all keys that begin with ``prefix``, as they were written."""
        items, _ = await self._calls.read_pages(prefix, may_be_stale=False)
        return {item.key: decode_value(item) for item in items}

    async def read_reader(self) -> RegisteredReader:
        """Return the record of this failure domain's reader; it may be seconds old."""
        return await self._read_reader_record(may_be_stale=True)

    async def read_other_readers(self) -> tuple[DomainReader, ...]:
        """Return the newest records of the readers of other failure domains."""
        items = await self._calls.read_first_items(READER_PREFIX)
        return find_other_readers(items, reader_key=self._reader_key)

    async def register_reader(self, reader: ListReader, *, expected: int) -> RegisteredReader:
        """Store a reader's record if the record still has the revision ``expected``.

        Return the new record, or the one in the store if it has another revision.
        """
        if expected and self._calls.is_before_restore(expected):
            # The store may have given out the same number again, to another host's record.
            return await self._read_reader_record(may_be_stale=False)
        result = await self._calls.write_if_unchanged(
            self._reader_key, encode_reader(reader), expected=expected
        )
        if isinstance(result, int):
            return RegisteredReader(reader, result)
        return find_reader(result, reader_key=self._reader_key) or NO_READER

    async def probe(self, *, known_revision: int) -> int:
        """Return the store's newest revision, which a serializable read need not know.

        Raises StoreHistoryLostError if the store was restored since ``known_revision``.
        """
        return await self._calls.probe(known_revision=known_revision)

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()

    async def _read_reader_record(self, *, may_be_stale: bool) -> RegisteredReader:
        item = await self._calls.read_item(self._reader_key, may_be_stale=may_be_stale)
        return NO_READER if item is None else reader_from_item(item)

    async def _read_out_of_service(self) -> OutOfService:
        """Return the whole set of failure domains out of service."""
        items, revision = await self._calls.read_pages(OUT_OF_SERVICE_PREFIX, may_be_stale=False)
        return self._out_of_service.replace(items, revision)
