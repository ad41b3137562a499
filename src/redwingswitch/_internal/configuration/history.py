"""The last accepted documents, kept in the store under a bounded set of keys.

A document is archived before its successor replaces it. An accepted document is therefore always
either the current one or in the archive, and a document whose write was rejected is in neither.
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

MAX_HISTORY_DOCUMENTS = 32
MAX_ARCHIVE_ATTEMPTS = 3


def history_key(revision: int) -> str:
    """Return the key of a revision; it is overwritten ``MAX_HISTORY_DOCUMENTS`` revisions later."""
    return f"redwingswitch/history/{revision % MAX_HISTORY_DOCUMENTS:02d}"


async def archive_document(store: ConfigStore, document: Document) -> None:
    """Write ``document`` to the history; raise StoreUnavailableError when it is not confirmed."""
    key = history_key(document["revision"])
    encoded = encode_document(document)
    for _ in range(MAX_ARCHIVE_ATTEMPTS):
        stored = await store.get(key)
        if stored is not None and _holds_same_or_later(stored.value, document):
            return
        version = 0 if stored is None else stored.version
        try:
            expected = [KeyPrecondition(key=key, version=version)]
            if await store.compare_and_swap(key=key, value=encoded, expected=expected):
                return
        except StoreOutcomeUnknownError:
            # The next attempt reads the key and so determines the outcome.
            continue
    raise StoreUnavailableError(
        "the history write was not confirmed, so nothing was applied; try again"
    )


async def read_history(store: ConfigStore) -> list[Document]:
    """Return the accepted documents that the store still has, the newest first."""
    documents: dict[int, Document] = {}
    current = await store.get(CONFIGURATION_KEY)
    if current is None:
        return []
    newest = decode_document(current.value)
    documents[newest["revision"]] = newest
    for slot in range(MAX_HISTORY_DOCUMENTS):
        stored = await store.get(history_key(slot))
        document = None if stored is None else _decode_or_none(stored.value)
        if document is not None and document["revision"] < newest["revision"]:
            documents[document["revision"]] = document
    return [documents[revision] for revision in sorted(documents, reverse=True)][
        :MAX_HISTORY_DOCUMENTS
    ]


def _holds_same_or_later(encoded: bytes, document: Document) -> bool:
    """Return whether a slot has ``document`` or a later one, which must not be overwritten."""
    stored = _decode_or_none(encoded)
    return stored is not None and stored["revision"] >= document["revision"]


def _decode_or_none(encoded: bytes) -> Document | None:
    try:
        return decode_document(encoded)
    except DecodeError:
        return None
