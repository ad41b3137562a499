"""Log output: one short line for each record, prefixed with the component that wrote it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Protocol

from logbook import Logger, StreamHandler, lookup_level

LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} {record.channel}: {record.message}"
)


class TextStream(Protocol):
    """A destination of log lines."""

    def write(self, text: str, /) -> int:
        """Write ``text``."""

    def flush(self) -> None:
        """Write out buffered text."""


def configure_logging(*, level: str, stream: TextStream | None = None) -> None:
    """Write records of ``level`` and above to ``stream``, or to standard error."""
    StreamHandler(
        stream or sys.stderr, level=lookup_level(level.upper()), format_string=LOG_FORMAT
    ).push_application()


def write_log(*, part: str, level: str, text: str) -> None:
    """Write one record for ``part``; an unknown level is logged as a warning."""
    logger = Logger(part)
    writers: dict[str, Callable[[str], None]] = {
        "debug": logger.debug,
        "info": logger.info,
        "warning": logger.warning,
        "error": logger.error,
    }
    writers.get(level.lower(), logger.warning)(text)
