"""Parses the log lines of steering hosts, as ``utils.event_log`` and the daemon write them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import NamedTuple

_HEADER = (
    r"(?P<time>\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(?:\.\d+)?)\s+"
    r"(?P<level>[A-Z]+)\s+(?P<part>[a-z_]+): "
)
_HEADER_PATTERN = re.compile(_HEADER)
# Time, level, part and the rest. Text before the time, such as a collector's host name, is kept.
_LINE = re.compile(r"(?P<prefix>.*?)" + _HEADER + r"(?P<text>.*)")
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
_OPEN_QUOTE = re.compile(r'="[^"]*$')
# The parts that quote each value with a space, so that text outside the fields shows a cut line.
_QUOTING_PARTS = frozenset({"fleet", "load", "packets"})
# Python refuses to convert texts of thousands of digits.
_MAX_DIGITS = 18


class LogLine(NamedTuple):
    """One event in a log.

    ``source`` is the last word before the time, or the name of the file. ``time_s`` is in whole
    seconds since the Unix epoch. An event without a name has the name of its first field. ``place``
    is the file and the number of the line.
    """

    source: str
    time_s: int
    part: str
    event: str
    fields: Mapping[str, str]
    place: str = ""


def parse_log_line(line: str, *, file: str, place: str = "") -> LogLine | None:
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
        place=place,
    )


def split_joined_lines(line: str) -> list[str]:
    """Return the lines in ``line``; all but the last are cut.

    A host whose log is not read fast enough writes a part of a line, and the next line follows
    without a line break.
    """
    headers = list(_HEADER_PATTERN.finditer(line))
    if len(headers) <= 1:
        return [line]
    prefix = line[: headers[0].start()]
    ends = [*(header.start() for header in headers[1:]), len(line)]
    return [prefix + line[header.start() : end] for header, end in zip(headers, ends, strict=True)]


def is_cut(line: str) -> bool:
    """Return whether a line with a header visibly lacks its end or has damaged characters."""
    header = _HEADER_PATTERN.search(line)
    if header is None:
        return False
    text = line[header.end() :].rstrip("\n")
    if not text.strip() or "\0" in text or "\N{REPLACEMENT CHARACTER}" in text:
        return True
    if _OPEN_QUOTE.search(text):
        return True
    first = _FIELD.search(text)
    if first is None or '"' in text or header["part"] not in _QUOTING_PARTS:
        return False
    return bool(_FIELD.sub("", text[first.start() :]).strip())


def integer_field(line: LogLine, name: str) -> int | None:
    """Return the value of a field, or None if it is missing or no usable number."""
    text = line.fields.get(name, "")
    return int(text) if text.isdecimal() and len(text) <= _MAX_DIGITS else None
