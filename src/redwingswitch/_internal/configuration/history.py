"""The last accepted documents, kept in the store under a bounded set of keys.

A document is archived before its successor replaces it. An accepted document is therefore always
either the current one or in the archive, and a document that lost a race is in neither.
"""

from __future__ import annotations

from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    decode_document,
    encode_document,
)
from redwingswitch._internal.exceptions import (
    DecodeError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.ports import ConfigStore, KeyPrecondition

HISTORY_DOCUMENTS = 32
ARCHIVE_ATTEMPTS = 3


def history_key(revision: int) -> str:
    """Return the key that holds a revision; it is used again 32 revisions later."""
    return f"redwingswitch/history/{revision % HISTORY_DOCUMENTS:02d}"


async def archive(store: ConfigStore, document: Document) -> None:
    """Make sure that the history holds ``document``; raise StoreUnavailableError otherwise."""
    key = history_key(document["revision"])
    encoded = encode_document(document)
    for _ in range(ARCHIVE_ATTEMPTS):
        found = await store.get(key)
        if found is not None and _is_current(found.value, document):
            return
        version = 0 if found is None else found.version
        try:
            expected = [KeyPrecondition(key=key, version=version)]
            if await store.compare_and_swap(key=key, value=encoded, expected=expected):
                return
        except StoreOutcomeUnknownError:
            # The next turn reads the key and finds out.
            continue
    raise StoreUnavailableError("the history was not confirmed, so nothing was applied; try again")


async def read_history(store: ConfigStore) -> list[Document]:
    """Return the accepted documents that the store still has, the newest first."""
    found: dict[int, Document] = {}
    current = await store.get(CONFIGURATION_KEY)
    if current is None:
        return []
    newest = decode_document(current.value)
    found[newest["revision"]] = newest
    for slot in range(HISTORY_DOCUMENTS):
        stored = await store.get(history_key(slot))
        document = None if stored is None else _readable(stored.value)
        if document is not None and document["revision"] < newest["revision"]:
            found[document["revision"]] = document
    return [found[revision] for revision in sorted(found, reverse=True)][:HISTORY_DOCUMENTS]


def _is_current(encoded: bytes, document: Document) -> bool:
    """Return whether a slot holds ``document`` or a later one, which must not be overwritten."""
    held = _readable(encoded)
    return held is not None and held["revision"] >= document["revision"]


def _readable(encoded: bytes) -> Document | None:
    try:
        return decode_document(encoded)
    except DecodeError:
        return None
