"""``redwingswitchctl history``: list the accepted revisions, their operators and changes."""

from __future__ import annotations

import textwrap

import msgspec

from redwingswitch._internal.cli.status_codes import SUCCESS
from redwingswitch._internal.commands.ctl_support import open_clients, run_command
from redwingswitch._internal.configuration.history import read_history
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.utils.columns import TERMINAL_COLUMNS, truncate

INDENT = "    "


def run(*, store: str, json: bool) -> int:
    """Print the last accepted revisions, newest first; return the exit status."""
    return run_command(_history(store, json))


async def _history(store: str, json: bool) -> int:
    async with open_clients(store) as clients:
        documents = await read_history(clients.store)
    if json:
        entries = [{**document, "text": None} for document in documents]
        print(msgspec.json.format(msgspec.json.encode(entries)).decode())
        return SUCCESS
    if not documents:
        print("no file is accepted yet")
        return SUCCESS
    for document in documents:
        print("\n".join(_format_entry(document)))
    return SUCCESS


def _format_entry(document: Document) -> list[str]:
    """Return the lines of one revision; its time is from the clock of the operator's machine."""
    title = f"revision {document['revision']}  {document.get('applied_at', '')}"
    changes = textwrap.wrap(
        document.get("summary", ""),
        TERMINAL_COLUMNS,
        initial_indent=INDENT,
        subsequent_indent=INDENT,
    )
    return [truncate(f"{title}  {document['operator']}"), *changes]
