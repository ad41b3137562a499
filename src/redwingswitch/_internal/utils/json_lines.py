"""Line numbers of the values in a JSON text, for findings."""

from __future__ import annotations

import json
import re
from typing import NamedTuple

from redwingswitch._internal.utils.toml_paths import KeyPath

# Bounds the length of the paths in a text of nothing but brackets.
MAX_DEPTH = 16
_TOKEN_PATTERN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[{}\[\],:]|[^\s{}\[\],:"]+', re.DOTALL)


class JsonPlaces(NamedTuple):
    """The line of each key and array element, from 1, and the keys that an object repeats.

    A repeated key has the line of its last occurrence, whose value decoders use.
    """

    lines: dict[KeyPath, int]
    repeated: tuple[KeyPath, ...]


class _Container:
    """An object or array that is being read; ``last`` is its latest key or index."""

    def __init__(self, *, path: KeyPath, is_object: bool) -> None:
        self.path = path
        self.is_object = is_object
        self.last: str | int = "" if is_object else 0
        self.awaits_key = True


def find_json_places(text: str) -> JsonPlaces:
    """Return the places in a JSON text; those of a malformed text are meaningless."""
    lines: dict[KeyPath, int] = {}
    repeated: list[KeyPath] = []
    containers: list[_Container] = []
    line, counted_to = 1, 0
    for match in _TOKEN_PATTERN.finditer(text):
        line += text.count("\n", counted_to, match.start())
        counted_to = match.start()
        token = match[0]
        container = containers[-1] if containers else None
        if token in "}]":
            if containers:
                containers.pop()
        elif token in ",:":
            _pass_separator(container, token)
        elif container is not None and container.is_object and container.awaits_key:
            container.last = _decode_key(token)
            path = (*container.path, container.last)
            if path in lines:
                repeated.append(path)
            lines[path] = line
        else:
            path = () if container is None else (*container.path, container.last)
            if container is not None and not container.is_object:
                lines[path] = line
            if token in "{[":
                containers.append(_Container(path=path[:MAX_DEPTH], is_object=token == "{"))
    return JsonPlaces(lines, tuple(repeated))


def _pass_separator(container: _Container | None, separator: str) -> None:
    if container is None:
        return
    container.awaits_key = separator == ","
    if separator == "," and isinstance(container.last, int):
        container.last += 1


def _decode_key(token: str) -> str:
    """Return a key; one that cannot be printed on one line has escapes instead."""
    try:
        key = str(json.loads(token))
    except ValueError:
        key = token
    return key if key.isprintable() else ascii(key)[1:-1]
