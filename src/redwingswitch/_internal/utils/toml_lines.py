"""Line numbers of the values in a TOML document, for findings."""

from __future__ import annotations

from collections.abc import Iterable

from tomlkit.exceptions import TOMLKitError
from tomlkit.items import AoT, Array, InlineTable, Item, Key, Table
from tomlkit.parser import Parser
from tomlkit.toml_document import TOMLDocument

from redwingswitch._internal.utils.toml_paths import KeyPath


def find_line_numbers(text: str) -> dict[KeyPath, int]:
    """Return the line number of each value and table, from 1; empty when ``text`` is not TOML.

    This takes several times as long as reading the values, so call it only to report findings.
    """
    parser = _LocatingParser(text)
    try:
        document = parser.parse()
    except TOMLKitError:
        return {}
    return dict(_walk_items(document, (), parser))


class _LocatingParser(Parser):
    """The parser of tomlkit, extended to record the line of each item."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        # Holds a reference to each item, so that its id is not reused while the parser exists.
        self._lines: dict[int, tuple[object, int]] = {}
        self._line = 1
        self._counted_to = 0

    def line_of(self, item: object) -> int | None:
        """Return the line at which ``item`` starts, or None when it has none of its own."""
        found = self._lines.get(id(item))
        return None if found is None else found[1]

    def _current_line(self) -> int:
        position = self._src.idx
        self._line += self._src.count("\n", self._counted_to, position)
        self._counted_to = position
        return self._line

    def _parse_value(self) -> Item:
        line = self._current_line()
        item = super()._parse_value()
        self._lines[id(item)] = (item, line)
        return item

    def _parse_table(
        self, parent_name: Key | None = None, parent: Table | None = None
    ) -> tuple[Key, Table | AoT]:
        line = self._current_line()
        key, item = super()._parse_table(parent_name, parent)
        first = item.body[0] if isinstance(item, AoT) else item
        self._lines[id(first)] = (first, line)
        return key, item


def _walk_items(
    item: object, path: KeyPath, parser: _LocatingParser
) -> Iterable[tuple[KeyPath, int]]:
    line = parser.line_of(item.body[0] if isinstance(item, AoT) and item.body else item)
    if line is not None:
        yield path, line
    if isinstance(item, AoT | Array):
        elements = item.body if isinstance(item, AoT) else item
        for position, element in enumerate(elements):
            yield from _walk_items(element, (*path, position), parser)
    if isinstance(item, Table | InlineTable | TOMLDocument):
        body = item.body if isinstance(item, TOMLDocument) else item.value.body
        for key, child in body:
            if key is not None:
                yield from _walk_items(child, (*path, key.key), parser)
