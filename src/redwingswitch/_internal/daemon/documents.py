"""Parses accepted documents on a worker thread and applies them in order.

A document is one revision of the fleet's configuration file with its metadata.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from logbook import Logger

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.models.configuration import Configuration, Document

log = Logger("documents")

ParseDocument = Callable[[Document], Configuration]


class DocumentApplier:
    """Parses and applies documents; if several wait to be parsed, only the newest is kept."""

    def __init__(
        self,
        *,
        parse_document: ParseDocument,
        on_configuration: Callable[[Configuration], None],
        metrics: Metrics,
    ) -> None:
        self._parse_document = parse_document
        self._on_configuration = on_configuration
        self._metrics = metrics
        self._pending: Document | None = None
        self._task: asyncio.Task[None] | None = None

    def accept(self, document: Document) -> None:
        """Schedule a document to be parsed and applied, unless a newer one is already waiting."""
        pending = self._pending
        if pending is None or pending["revision"] < document["revision"]:
            self._pending = document
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Discard the waiting document and stop parsing."""
        self._pending = None
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            while self._pending is not None:
                document, self._pending = self._pending, None
                await self._apply(document)
        finally:
            self._task = None

    async def _apply(self, document: Document) -> None:
        # Parsing a large file takes long; on the event loop, it would block all packets.
        loop = asyncio.get_running_loop()
        try:
            configuration = await loop.run_in_executor(None, self._parse_document, document)
        except InvalidInputGroup as group:
            self._metrics.count("faults_total", "Document")
            for error in group.exceptions:
                log.error(f"revision {document['revision']} is not applied: {error}")
            return
        self._on_configuration(configuration)
        log.info(f"revision {configuration.revision} is in force")
