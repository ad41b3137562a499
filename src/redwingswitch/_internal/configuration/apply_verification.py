"""Check after a write that no other apply took its revision before the store was restored.

A store that is restored from a snapshot between the read and the write of an apply may have exactly
the state that the write expects, so no precondition detects that. Only the entry hosts still know
the revision that another apply has taken.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NoReturn

from redwingswitch._internal.configuration.document import (
    CONFIGURATION_KEY,
    contains_apply_id,
    decode_document,
    encode_document,
)
from redwingswitch._internal.configuration.fleet import highest_revision
from redwingswitch._internal.exceptions import (
    ConfigurationConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.status import FleetStatus, HostStatus
from redwingswitch._internal.ports import ConfigStore, KeyPrecondition, StoredValue


async def verify_written_revision(
    document: Document,
    *,
    store: ConfigStore,
    fleet_status: FleetStatus,
    predecessor: StoredValue | None,
) -> Document | None:
    """Check a written document against the status of the entry hosts, read after the write.

    Return the document that superseded it meanwhile, or None. If hosts hold its revision from
    another apply, put ``predecessor`` back, so that they restore their revision to the store, and
    raise ConfigurationConflictError. Raise StoreOutcomeUnknownError when that is not possible.
    """
    if rival := _find_rival(document, fleet_status.statuses):
        await _withdraw(document, rival, store, predecessor)
    if highest_revision(fleet_status.statuses) <= document["revision"]:
        return None
    stored = await _read_for_outcome(document, store)
    current = None if stored is None else decode_document(stored.value)
    if current is None or current["apply_id"] == document["apply_id"]:
        later = f"revision {highest_revision(fleet_status.statuses)}"
        await _withdraw(document, f"entry hosts hold {later}", store, predecessor)
    if contains_apply_id(current, document["apply_id"]):
        return current
    raise ConfigurationConflictError(
        f"{current['operator']} was first: revision {current['revision']} (apply id "
        f"{current['apply_id']}) is accepted; nothing of this file was applied"
    )


def _find_rival(document: Document, statuses: Sequence[HostStatus]) -> str | None:
    """Describe a host that has the document's revision from another apply."""
    for status in statuses:
        if status["revision"] != document["revision"]:
            continue
        # Hosts of an earlier version report no apply id.
        apply_id = status.get("apply_id", "")
        if apply_id and apply_id != document["apply_id"]:
            return f"{status['host']} holds revision {status['revision']} of apply id {apply_id}"
        if status["digest"] != document["digest"]:
            return f"{status['host']} holds revision {status['revision']} with another text"
    return None


async def _withdraw(
    document: Document, rival: str, store: ConfigStore, predecessor: StoredValue | None
) -> NoReturn:
    """Put the predecessor back if the store still has the document; raise what happened."""
    text = f"the store was restored during this apply, and {rival}"
    stored = await _read_for_outcome(document, store)
    if stored is not None and decode_document(stored.value)["apply_id"] == document["apply_id"]:
        if predecessor is None:
            raise StoreOutcomeUnknownError(
                f"{text}; the store holds this file as revision {document['revision']}, and there "
                "is no earlier one to put back; compare the hosts by redwingswitchctl status"
            )
        await _put_back(document, text, store, stored, predecessor)
    raise ConfigurationConflictError(
        f"{text}; this file was withdrawn; wait until the hosts have restored their revision to "
        "the store, and apply the file again"
    )


async def _put_back(
    document: Document,
    text: str,
    store: ConfigStore,
    stored: StoredValue,
    predecessor: StoredValue,
) -> None:
    own = KeyPrecondition(
        key=CONFIGURATION_KEY, version=stored.version, value=encode_document(document)
    )
    try:
        # When this finds another document, this file is no longer in the store either.
        await store.compare_and_swap(key=CONFIGURATION_KEY, value=predecessor.value, expected=[own])
    except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
        raise StoreOutcomeUnknownError(
            f"{text}; withdrawing this file failed: {error}; see redwingswitchctl status"
        ) from error


async def _read_for_outcome(document: Document, store: ConfigStore) -> StoredValue | None:
    try:
        return await store.get(CONFIGURATION_KEY)
    except StoreUnavailableError as error:
        raise StoreOutcomeUnknownError(
            f"revision {document['revision']} (apply id {document['apply_id']}) was written, but "
            f"entry hosts hold another one and the store cannot be read: {error}"
        ) from error
