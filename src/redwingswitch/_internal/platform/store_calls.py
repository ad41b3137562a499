"""HTTP calls to the platform's store, whose responses name the store's era."""

from __future__ import annotations

import base64
import re
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.store_revisions import (
    MAX_ERA,
    era_of,
    make_revision,
    number_of,
)
from redwingswitch._internal.platform.http_connection import HttpConnection, Response
from redwingswitch._internal.platform.store_items import Item
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

T = TypeVar("T")

# The number of times that the store was restored from a copy; all responses have it.
ERA_HEADER = "Store-Era"
_ERA_PATTERN = re.compile(r"[0-9]{1,9}")
# No key has this prefix, so the response is empty.
ABSENT_PREFIX = "probe/"
NO_LEASE = 0
# A page has at most about 500 items. The bound ends the listing if a faulty store always
# announces another page.
MAX_PAGES = 1_000


class Page(msgspec.Struct):
    """A part of the items whose key has a prefix."""

    items: list[Item]
    store_revision: int = msgspec.field(name="StoreRevision")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class _Events(msgspec.Struct):
    events: list[Item]
    store_revision: int = msgspec.field(name="StoreRevision")


class Watched(NamedTuple):
    """The events of a watch."""

    events: list[Item]
    store_revision: int


class _WriteResult(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")


class _Conflict(msgspec.Struct):
    items: list[Item]


_item_decoder = msgspec.json.Decoder(Item)
_page_decoder = msgspec.json.Decoder(Page)
_events_decoder = msgspec.json.Decoder(_Events)
_write_result_decoder = msgspec.json.Decoder(_WriteResult)
_conflict_decoder = msgspec.json.Decoder(_Conflict)


class StoreCalls:
    """Sends calls and decodes their responses; all revisions include the store's era."""

    def __init__(self, *, address: str, port: int, timeout_ms: int) -> None:
        self._connection = HttpConnection(address=address, port=port)
        # Separate, because a waiting watch occupies the other connection.
        self._probe_connection = HttpConnection(address=address, port=port)
        self._timeout_ms = timeout_ms
        # The era of the latest response.
        self._era = 0

    def is_before_restore(self, revision: int) -> bool:
        """Return whether the store was restored since it gave out a revision."""
        return era_of(revision) < self._era

    async def read_item(self, key: str, *, may_be_stale: bool) -> Item | None:
        """Return the item of a key, or None if the store has none."""
        query = {"Key": key, **_stale_query(may_be_stale)}
        target = f"/v1/kv-key?{urlencode(query)}"
        response = await self._connection.call("GET", target, body=b"", timeout_ms=self._timeout_ms)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _check_status(response)
        item = _decode_response(_item_decoder, response.body)
        _in_era([item], self._note_era(response))
        return item

    async def read_pages(self, prefix: str, *, may_be_stale: bool) -> tuple[list[Item], int]:
        """Return all items whose key has a prefix, and a revision up to which they are known."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            page = await self.read_page(prefix, after, may_be_stale)
            items += page.items
            # Pages are not a snapshot, and stale pages are not in order, so changes are followed
            # from the oldest one.
            revision = min(page.store_revision, revision or page.store_revision)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return items, revision or 0

    async def read_page(self, prefix: str, after: str, may_be_stale: bool) -> Page:
        """Return the items that follow the key ``after``, as many as the store returns at once."""
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

    async def read_first_items(self, prefix: str) -> list[Item]:
        """Return the items whose key has a prefix, of the first page only."""
        page = await self.read_page(prefix, after="", may_be_stale=False)
        return page.items

    async def watch(self, prefix: str, after_revision: int, wait_ms: int) -> Watched:
        """Return the events after a revision, waiting up to ``wait_ms`` for one.

        Raises StoreHistoryLostError if the store was restored since, or has discarded them.
        """
        known_era = era_of(after_revision)
        if known_era < self._era:
            raise _restored(known_era, self._era)
        query = {"Prefix": prefix, "after": number_of(after_revision), "WaitMs": wait_ms}
        timeout_ms = self._timeout_ms + wait_ms
        response = await self._get(self._connection, "/v1/kv-watch", query, timeout_ms=timeout_ms)
        era = self._note_era(response)
        _check_era(era, known_era)
        decoded = _decode_response(_events_decoder, response.body)
        return Watched(
            events=_in_era(decoded.events, era),
            store_revision=_make_revision(era, decoded.store_revision),
        )

    async def write_if_unchanged(
        self, key: str, value: bytes, *, expected: int
    ) -> int | list[Item]:
        """Write a value if its key still has the revision ``expected``.

        Return the new revision, or the items in conflict.
        """
        encoded = base64.b64encode(value).decode()
        body = {
            "ExpectedRev": [{"Key": key, "Revision": number_of(expected)}],
            "SetKeys": [{"Key": key, "Value": encoded, "Lease": NO_LEASE}],
            "Remove": [],
        }
        response = await self._connection.call(
            "POST", "/v1/kv-txn", body=msgspec.json.encode(body), timeout_ms=self._timeout_ms
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            items = _decode_response(_conflict_decoder, response.body).items
            return _in_era(items, self._note_era(response))
        _check_status(response)
        number = _decode_response(_write_result_decoder, response.body).revision
        return _make_revision(self._note_era(response), number)

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

    def _note_era(self, response: Response) -> int:
        """Return the era that a response names; a store that names none was never restored."""
        text = response.headers.get(ERA_HEADER, "0")
        if not _ERA_PATTERN.fullmatch(text) or int(text) > MAX_ERA:
            raise StoreUnavailableError(f"the store's era {text!r} is not one from 0 to {MAX_ERA}")
        self._era = int(text)
        return self._era

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


def _in_era(items: list[Item], era: int) -> list[Item]:
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
