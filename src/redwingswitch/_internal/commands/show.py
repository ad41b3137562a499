"""``redwingswitchctl show``: print an accepted configuration file."""

from __future__ import annotations

import sys

from redwingswitch._internal.cli.status_codes import ERROR, SUCCESS
from redwingswitch._internal.commands.ctl_support import (
    check_whole_number,
    open_clients,
    run_command,
)
from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.configuration.history import read_history
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.ports import ConfigStore

ACCEPTED_REVISION = 0


def run(*, store: str, revision: int) -> int:
    """Print the accepted file, or an earlier ``revision``; return the exit status."""
    return run_command(_show(store, revision))


async def _show(store: str, revision: int) -> int:
    requested_revision = check_whole_number("--revision", revision)
    async with open_clients(store) as clients:
        document = await _find_document(clients.store, requested_revision)
    if document is None:
        print("the store has no such revision; see redwingswitchctl history", file=sys.stderr)
        return ERROR
    applied_at = document.get("applied_at", "")
    print(f"# revision {document['revision']}, applied by {document['operator']} at {applied_at}")
    print(f"# apply id {document['apply_id']}, digest {document['digest']}")
    print(document["text"], end="")
    return SUCCESS


async def _find_document(store: ConfigStore, revision: int) -> Document | None:
    if revision == ACCEPTED_REVISION:
        stored = await store.get(CONFIGURATION_KEY)
        return None if stored is None else decode_document(stored.value)
    history = await read_history(store)
    return next((document for document in history if document["revision"] == revision), None)
