"""Log output: one short line for each record, prefixed with the part that wrote it."""

from __future__ import annotations

import sys
from collections.abc import Callable

from logbook import Logger, StreamHandler, lookup_level

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} {record.channel}: {record.message}"
)


def start_logging(*, level: str) -> None:
    """Write records of ``level`` and above to standard error."""
    StreamHandler(
        sys.stderr, level=lookup_level(level.upper()), format_string=FORMAT
    ).push_application()


def write_log(*, part: str, level: str, text: str) -> None:
    """Write one record for ``part``; an unknown level counts as a warning."""
    logger = Logger(part)
    writers: dict[str, Callable[[str], None]] = {
        "debug": logger.debug,
        "info": logger.info,
        "warning": logger.warning,
        "error": logger.error,
    }
    writers.get(level.lower(), logger.warning)(text)
