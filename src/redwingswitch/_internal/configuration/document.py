"""Encoding of the document that the store holds under the configuration key.

The document has the text of the accepted configuration file, its revision and who applied it. The
apply id is a random id of one ``redwingswitchctl apply``, by which that command finds out whether
its write succeeded after the store's reply was lost.
"""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from redwingswitch._internal.exceptions import DecodeError, Finding, InvalidInputGroup
from redwingswitch._internal.models.configuration import (
    DOCUMENT_SCHEMA_VERSION,
    MAX_DOCUMENT_BYTES,
    MAX_RECENT_APPLY_IDS,
    Document,
)
from redwingswitch._internal.utils.decoding import DECODING_ERRORS

CONFIGURATION_KEY = "redwingswitch/configuration"
# JSON escapes of quotes and line breaks can double the size of the text; the remainder is for the
# other fields.
MAX_DECOMPRESSED_BYTES = 2 * MAX_DOCUMENT_BYTES + 16_384

_decoder = msgspec.json.Decoder(Document)


def text_digest(text: str) -> str:
    """Return the digest of a file's text, in 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def make_document(
    *,
    text: str,
    revision: int,
    apply_id: str,
    operator: str,
    previous: Document | None,
    applied_at: str = "",
    summary: str = "",
) -> Document:
    """Return the document that follows ``previous``.

    It contains its own apply id and those of its latest predecessors.
    """
    earlier_ids = [] if previous is None else previous["recent_apply_ids"]
    return Document(
        schema_version=DOCUMENT_SCHEMA_VERSION,
        revision=revision,
        apply_id=apply_id,
        operator=operator,
        digest=text_digest(text),
        text=text,
        recent_apply_ids=[*earlier_ids, apply_id][-MAX_RECENT_APPLY_IDS:],
        applied_at=applied_at,
        summary=summary,
    )


def encode_document(document: Document) -> bytes:
    """Return the compressed JSON; raise InvalidInputGroup when it exceeds the store's limit.

    Uncompressed, a file of 1 MB would exceed the limit because of JSON escapes, and its transfer
    to each host would use a large part of the budget for control traffic.
    """
    encoded = zlib.compress(msgspec.json.encode(document))
    if len(encoded) <= MAX_DOCUMENT_BYTES:
        return encoded
    finding = Finding(
        file="(document)",
        line=None,
        key_path="(whole file)",
        problem=f"the compressed document has {len(encoded)} bytes",
        remedy=f"keep it to at most {MAX_DOCUMENT_BYTES} bytes",
    )
    raise InvalidInputGroup.from_findings(subject="the document", findings=[finding])


def decode_document(encoded: bytes) -> Document:
    """Return the document; raise DecodeError if it is damaged or has an unknown schema version."""
    try:
        document = _decoder.decode(_decompress(encoded))
    except (*DECODING_ERRORS, zlib.error) as error:
        raise DecodeError(
            f"the stored document is malformed ({error}); apply a file again"
        ) from None
    version = document["schema_version"]
    if version != DOCUMENT_SCHEMA_VERSION:
        raise DecodeError(
            f"the stored document has schema version {version} and this program reads "
            f"{DOCUMENT_SCHEMA_VERSION}; use the version that the fleet runs"
        )
    if document["digest"] != text_digest(document["text"]):
        raise DecodeError("the stored document does not match its digest; apply a file again")
    return document


def _decompress(encoded: bytes) -> bytes:
    """Return the JSON text; the size is limited so that a damaged value cannot exhaust memory."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(encoded, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("the value is cut off or longer than a document can be")
    return text


def contains_apply_id(document: Document, apply_id: str) -> bool:
    """Return whether the document or a recent predecessor was written with ``apply_id``."""
    return apply_id == document["apply_id"] or apply_id in document["recent_apply_ids"]
