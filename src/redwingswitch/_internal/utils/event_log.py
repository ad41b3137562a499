"""Structured, rate-limited log lines that never block the writer."""

from __future__ import annotations

import errno
import os
from typing import NamedTuple

from logbook import Logger

from redwingswitch._internal.ports import Clock

MS_PER_S = 1_000
# A line takes about 0.1 ms: at this rate one kind of event takes at most 0.5 % of a core.
LINES_PER_S = 50
# The lines that may be written at once after a quiet period.
BURST_LINES = 100


class NonBlockingStream:
    """A text stream to a file descriptor that drops what a slow or closed reader does not take."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.lost_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line; return its length even if the line was lost."""
        data = text.encode(errors="replace")
        try:
            written = os.write(self._descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            written = 0
        if written < len(data):
            self.lost_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, since writes are not buffered."""


class _TokenBucket(NamedTuple):
    """The rate limit of one kind of event at ``updated_at_ms``.

    ``tokens`` counts the lines that may be written, ``omitted`` the lines suppressed since the last
    one that was written.
    """

    tokens: float
    updated_at_ms: int
    omitted: int


class EventLog:
    """Writes ``event key=value ...`` lines of one component.

    Each kind of event has its own token bucket. The first line that is written after others were
    suppressed states their number in ``omitted``.
    """

    def __init__(self, *, part: str, clock: Clock) -> None:
        self._logger = Logger(part)
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}

    def info(self, event: str, **fields: object) -> None:
        """Write a line about a decision or a change."""
        omitted = self._take_token(event)
        if omitted is not None:
            self._logger.info(format_event(event, fields, omitted))

    def warning(self, event: str, **fields: object) -> None:
        """Write a line about a failure."""
        omitted = self._take_token(event)
        if omitted is not None:
            self._logger.warning(format_event(event, fields, omitted))

    def _take_token(self, event: str) -> int | None:
        """Return how many lines were suppressed before this one, or None to suppress this one."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(event, _TokenBucket(BURST_LINES, now_ms, 0))
        refill = (now_ms - bucket.updated_at_ms) * LINES_PER_S / MS_PER_S
        tokens = min(float(BURST_LINES), bucket.tokens + refill)
        if tokens < 1:
            self._buckets[event] = _TokenBucket(tokens, now_ms, bucket.omitted + 1)
            return None
        self._buckets[event] = _TokenBucket(tokens - 1, now_ms, 0)
        return bucket.omitted


def format_event(event: str, fields: dict[str, object], omitted: int) -> str:
    """Return the text of a line; values with spaces are quoted, those of several lines escaped."""
    all_fields = {**fields, "omitted": omitted} if omitted else fields
    return " ".join(
        [event, *(f"{name}={_format_value(value)}" for name, value in all_fields.items())]
    )


def _format_value(value: object) -> str:
    text = str(value)
    if not text.isprintable():
        text = ascii(text)[1:-1]
    return f'"{text}"' if " " in text else text
