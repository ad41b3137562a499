"""Convergence of all hosts on the newest revision of a document."""

from __future__ import annotations

import xxhash

from redwingswitch._internal.decisions.configuration.convergence import ConfigurationConvergence
from redwingswitch._internal.models.configuration import (
    DOCUMENT_SCHEMA_VERSION,
    MAX_DOCUMENT_BYTES,
    Document,
)
from redwingswitch._internal.models.members import HostDigest

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Document",
    "RevisionConvergence",
    "heartbeat_digest",
    "new_document",
]

RevisionConvergence = ConfigurationConvergence


def new_document(*, revision: int, text: str, operator: str = "", apply_id: str = "") -> Document:
    """Return a document for the store; ``revision`` counts from 1."""
    return Document(
        schema_version=DOCUMENT_SCHEMA_VERSION,
        revision=revision,
        apply_id=apply_id,
        operator=operator,
        digest=xxhash.xxh3_128_hexdigest(text.encode()),
        text=text,
        recent_apply_ids=[],
    )


def heartbeat_digest(convergence: RevisionConvergence) -> HostDigest:
    """Return the heartbeat digest that announces the revision in force."""
    document = convergence.document()
    if document is None:
        return HostDigest()
    return HostDigest(revision=document["revision"], revision_digest=document["digest"])
