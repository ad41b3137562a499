"""Parsing of TOML text that keeps the line of each value."""

from __future__ import annotations

from tomlkit.exceptions import KeyAlreadyPresent, ParseError, TOMLKitError
from tomlkit.items import AoT, Item, Key, Table
from tomlkit.parser import Parser
from tomlkit.toml_document import TOMLDocument


class TomlSyntaxError(Exception):
    """The text is not TOML; ``line`` counts from 1."""

    def __init__(self, *, line: int, problem: str) -> None:
        super().__init__(problem)
        self.line = line


class LineIndex:
    """Lines, counted from 1, at which the values and tables of one document start."""

    def __init__(self) -> None:
        # The item is kept with its line, so that its id is not reused while the index lives.
        self._lines: dict[int, tuple[object, int]] = {}
        self.last_line = 1

    def record(self, item: object, line: int) -> None:
        """Note that ``item`` starts at ``line``."""
        self._lines[id(item)] = (item, line)
        self.last_line = line

    def line_of(self, item: object) -> int | None:
        """Return the line of ``item``, or None when it was not in the text."""
        found = self._lines.get(id(item))
        return None if found is None else found[1]


class _LocatingParser(Parser):
    """The parser of tomlkit, which itself forgets lines, with a line for each parsed item."""

    def __init__(self, text: str, index: LineIndex) -> None:
        super().__init__(text)
        self._index = index
        self._line = 1
        self._counted = 0

    def _current_line(self) -> int:
        # Tables are parsed after a look-ahead, so the position never moves back between calls.
        position = self._src.idx
        if position < self._counted:
            return self._src.count("\n", 0, position) + 1
        self._line += self._src.count("\n", self._counted, position)
        self._counted = position
        return self._line

    def _parse_value(self) -> Item:
        line = self._current_line()
        item = super()._parse_value()
        self._index.record(item, line)
        return item

    def _parse_table(
        self, parent_name: Key | None = None, parent: Table | None = None
    ) -> tuple[Key, Table | AoT]:
        line = self._current_line()
        key, item = super()._parse_table(parent_name, parent)
        first = item.body[0] if isinstance(item, AoT) else item
        self._index.record(first, line)
        return key, item


def parse_toml(text: str) -> tuple[TOMLDocument, LineIndex]:
    """Parse ``text``; raise ``TomlSyntaxError`` when it is not TOML."""
    index = LineIndex()
    try:
        return _LocatingParser(text, index).parse(), index
    except ParseError as error:
        # tomlkit places a repeated key at the position after the statement.
        repeated = isinstance(error.__cause__, KeyAlreadyPresent)
        line = index.last_line if repeated else error.line
        raise TomlSyntaxError(line=line, problem=str(error.__cause__ or error)) from None
    except TOMLKitError as error:
        raise TomlSyntaxError(line=index.last_line, problem=str(error)) from None
