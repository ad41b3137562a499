"""Parses accepted documents on a worker thread and puts them in force in order."""

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
    """Keeps the newest document that waits for the parser; an older one is skipped."""

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
        """Parse and apply a document unless a newer one waits already."""
        pending = self._pending
        if pending is None or pending["revision"] < document["revision"]:
            self._pending = document
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Drop what waits."""
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
        # The parser takes long for a large file; on the loop it would stop all packets meanwhile.
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
