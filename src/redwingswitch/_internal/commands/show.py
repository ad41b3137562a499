"""Show an accepted file."""

from __future__ import annotations

import sys

from redwingswitch._internal.cli.status_codes import ERROR, SUCCESS
from redwingswitch._internal.commands.ctl_support import connections, run_reporting, whole_number
from redwingswitch._internal.configuration.document import CONFIGURATION_KEY, decode_document
from redwingswitch._internal.configuration.history import read_history
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.ports import ConfigStore

NEWEST = 0


def run(*, store: str, revision: int) -> int:
    """Print the accepted file, or an earlier ``revision``; return the exit status."""
    return run_reporting(_show(store, revision))


async def _show(store: str, revision: int) -> int:
    wanted = whole_number("--revision", revision)
    async with connections(store) as opened:
        document = await _find(opened.store, wanted)
    if document is None:
        print("the store has no such revision; see redwingswitchctl history", file=sys.stderr)
        return ERROR
    at = document.get("applied_at", "")
    print(f"# revision {document['revision']}, applied by {document['operator']} at {at}")
    print(f"# apply id {document['apply_id']}, digest {document['digest']}")
    print(document["text"], end="")
    return SUCCESS


async def _find(store: ConfigStore, revision: int) -> Document | None:
    if revision == NEWEST:
        stored = await store.get(CONFIGURATION_KEY)
        return None if stored is None else decode_document(stored.value)
    found = await read_history(store)
    return next((d for d in found if d["revision"] == revision), None)
