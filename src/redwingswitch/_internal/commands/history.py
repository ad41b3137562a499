"""Show who applied what."""

from __future__ import annotations

import msgspec

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import connections, run_reporting
from redwingswitch._internal.configuration.history import read_history
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.utils.columns import format_table

HEADER = ("REVISION", "APPLIED AT (OPERATOR'S CLOCK)", "OPERATOR", "CHANGES")


def run(*, store: str, json: bool) -> int:
    """Print the last accepted revisions in the store's order; return the exit status."""
    return run_reporting(_history(store, json))


async def _history(store: str, json: bool) -> int:
    async with connections(store) as opened:
        documents = await read_history(opened.store)
    if json:
        shown = [{**document, "text": None} for document in documents]
        print(msgspec.json.format(msgspec.json.encode(shown)).decode())
        return SUCCESS
    if not documents:
        print("no file is accepted yet")
        return SUCCESS
    for line in format_table(HEADER, [_row(document) for document in documents]):
        print(line)
    return SUCCESS


def _row(document: Document) -> tuple[str, str, str, str]:
    return (
        str(document["revision"]),
        document.get("applied_at", ""),
        document["operator"],
        document.get("summary", ""),
    )
