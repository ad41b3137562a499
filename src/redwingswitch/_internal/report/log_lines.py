"""Parses the log lines of steering hosts, as ``utils.event_log`` and the daemon write them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import NamedTuple

# Time, level, part and the rest. Text before the time, such as a collector's host name, is kept.
_LINE = re.compile(
    r"(?P<prefix>.*?)(?P<time>\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(?:\.\d+)?)\s+"
    r"(?P<level>[A-Z]+)\s+(?P<part>[a-z_]+): (?P<text>.*)"
)
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')


class LogLine(NamedTuple):
    """One event in a log.

    ``source`` is the last word before the time, or the name of the file. ``time_s`` is in whole
    seconds since the Unix epoch. An event without a name has the name of its first field.
    """

    source: str
    time_s: int
    part: str
    event: str
    fields: Mapping[str, str]


def parse_log_line(line: str, *, file: str) -> LogLine | None:
    """Return the event in a line, or None for a line that is no event."""
    match = _LINE.match(line.rstrip("\n"))
    if match is None:
        return None
    try:
        time = datetime.fromisoformat(match["time"]).replace(tzinfo=UTC)
    except ValueError:
        return None
    text = match["text"]
    first = _FIELD.search(text)
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    name = text if first is None else text[: first.start()].strip()
    words = match["prefix"].split()
    return LogLine(
        source=words[-1] if words else file,
        time_s=int(time.timestamp()),
        part=match["part"],
        event=name or (first[1] if first else ""),
        fields=fields,
    )
