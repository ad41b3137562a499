"""Typed reading of TOML tables that collects every finding instead of stopping at the first."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import TypeVar

from tomlkit.container import Container
from tomlkit.items import AoT, Array, Bool, Float, InlineTable, Integer, Item, String, Table

from redwingswitch._internal.exceptions import Finding
from redwingswitch._internal.utils.toml_lines import LineIndex, TomlSyntaxError, parse_toml

E = TypeVar("E", bound=StrEnum)

MAX_PORT = 65535
MAX_NAME_CHARACTERS = 63
NAME_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?")


class FindingCollector:
    """The findings of one file, in the order of their lines."""

    def __init__(self, *, file: str) -> None:
        self.file = file
        self._findings: list[Finding] = []

    def add(self, line: int | None, key_path: str, problem: str, remedy: str) -> None:
        """Note one finding."""
        self._findings.append(Finding(self.file, line, key_path, problem, remedy))

    def findings(self) -> list[Finding]:
        """Return the findings sorted by line; those without a line come first."""
        return sorted(self._findings, key=lambda f: (f.line or 0, f.key_path))


class TableReader:
    """One TOML table; each method reads a key, notes what is wrong and returns a usable value.

    A table may be written in several fragments of a file, so ``bodies`` holds them all.
    """

    def __init__(
        self,
        *,
        bodies: Iterable[Container],
        path: str,
        line: int | None,
        lines: LineIndex,
        collector: FindingCollector,
    ) -> None:
        self.path = path
        self.line = line
        self._lines = lines
        self._collector = collector
        self._known: set[str] = set()
        self._items: dict[str, list[Item]] = {}
        for body in bodies:
            for key, item in body.body:
                if key is not None:
                    self._items.setdefault(key.key, []).append(item)

    def has(self, key: str) -> bool:
        """Return whether the file states ``key``."""
        return key in self._items

    def add(self, key: str, problem: str, remedy: str) -> None:
        """Note a finding at ``key``, or at the table itself when ``key`` is empty."""
        line = self._line_of(key) or self.line
        self._collector.add(line, self._path_of(key), problem, remedy)

    def text(self, key: str, *, default: str | None = None) -> str:
        """Return a string."""
        item = self._take(key, required=default is None)
        if item is None:
            return default or ""
        if not isinstance(item, String):
            self._wrong_type(key, item, "a string")
            return default or ""
        return str(item.unwrap())

    def name(self, key: str, *, default: str | None = None) -> str:
        """Return a name of letters, digits, ``-`` and ``_``; empty when it is faulty."""
        value = self.text(key, default=default)
        if not self._is_text(key) or NAME_PATTERN.fullmatch(value):
            return value
        self.add(
            key,
            f"{value!r} is not a name",
            f"use 1 to {MAX_NAME_CHARACTERS} letters, digits, '-' and '_', "
            "with a letter or digit at both ends",
        )
        return ""

    def integer(self, key: str, *, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer from ``minimum`` to ``maximum``."""
        fallback = minimum if default is None else default
        item = self._take(key, required=default is None)
        if item is None:
            return fallback
        if not isinstance(item, Integer):
            self._wrong_type(key, item, "an integer")
            return fallback
        value = int(item.unwrap())
        if minimum <= value <= maximum:
            return value
        self.add(key, f"{value} is out of bounds", f"use {minimum} to {maximum}")
        return fallback

    def number(self, key: str, *, minimum: float, maximum: float, default: float) -> float:
        """Return a number from ``minimum`` to ``maximum``."""
        item = self._take(key, required=False)
        if item is None:
            return default
        if not isinstance(item, Integer | Float):
            self._wrong_type(key, item, "a number")
            return default
        value = float(item.unwrap())
        if minimum <= value <= maximum:
            return value
        self.add(key, f"{value:g} is out of bounds", f"use {minimum:g} to {maximum:g}")
        return default

    def boolean(self, key: str, *, default: bool | None = None) -> bool:
        """Return true or false."""
        item = self._take(key, required=default is None)
        if item is None:
            return bool(default)
        if not isinstance(item, Bool):
            self._wrong_type(key, item, "true or false")
            return bool(default)
        return bool(item.value)

    def choice(self, key: str, *, among: Sequence[E], default: E | None = None) -> E:
        """Return one of the values ``among``."""
        fallback = among[0] if default is None else default
        value = self.text(key, default=None if default is None else str(default))
        if not self._is_text(key):
            return fallback
        for candidate in among:
            if value == candidate.value:
                return candidate
        self.add(key, f"{value!r} is unknown", "use " + " or ".join(repr(str(c)) for c in among))
        return fallback

    def port(self, key: str, *, default: int | None = None) -> int:
        """Return a port; 0 is allowed only as the default, where it means none."""
        minimum = 0 if default == 0 else 1
        return self.integer(key, minimum=minimum, maximum=MAX_PORT, default=default)

    def address(self, key: str, *, default: str | None = None) -> str:
        """Return an IPv4 address that packets can be sent to; empty when it is faulty."""
        value = self.text(key, default=default)
        if not self._is_text(key):
            return value
        problem = address_problem(value)
        if problem is None:
            return value
        self.add(key, problem, "use the IPv4 address of one host, such as 10.1.0.1")
        return ""

    def texts(self, key: str) -> list[tuple[str, int | None]]:
        """Return the strings of an array with their lines; an absent array is empty."""
        item = self._take(key, required=False)
        if item is None:
            return []
        if not isinstance(item, Array):
            self._wrong_type(key, item, "an array of strings")
            return []
        found: list[tuple[str, int | None]] = []
        for position, element in enumerate(item):
            line = self._lines.line_of(element) or self._line_of(key)
            if isinstance(element, str):
                found.append((str(element), line))
                continue
            path = f"{self._path_of(key)}[{position}]"
            self._collector.add(line, path, "is not a string", "write a quoted string")
        return found

    def table(self, key: str) -> TableReader | None:
        """Return the table under ``key``, or None when it is absent or not a table."""
        self._known.add(key)
        items = self._items.get(key)
        if items is None:
            return None
        if not all(isinstance(item, Table | InlineTable) for item in items):
            self._wrong_type(key, items[0], "a table")
            return None
        bodies = [item.value for item in items if isinstance(item, Table | InlineTable)]
        return self._nested(bodies, self._path_of(key), self._line_of(key))

    def tables(self, key: str, *, minimum: int = 0, maximum: int) -> list[TableReader]:
        """Return the tables of an array of tables, named by position."""
        found = self._array_of_tables(key)
        if len(found) < minimum and self._is_empty_array(key):
            self.add("", f"no [[{key}]] is declared", "declare one")
        if len(found) > maximum:
            self.add(key, f"{len(found)} entries are too many", f"declare at most {maximum}")
        return found

    def finish(self) -> None:
        """Note a finding for each key that was never read."""
        for key in self._items:
            if key not in self._known:
                known = ", ".join(sorted(self._known))
                self.add(key, "unknown key", f"remove it or use one of: {known}")

    def _array_of_tables(self, key: str) -> list[TableReader]:
        self._known.add(key)
        items = self._items.get(key, [])
        found: list[TableReader] = []
        for item in items:
            if not isinstance(item, AoT | Array):
                self._wrong_type(key, item, f"an array of tables, [[{key}]]")
                continue
            for element in item.body if isinstance(item, AoT) else item:
                path = f"{self._path_of(key)}[{len(found)}]"
                line = self._lines.line_of(element) or self._line_of(key)
                if isinstance(element, Table | InlineTable):
                    found.append(self._nested([element.value], path, line))
                else:
                    self._collector.add(line, path, "is not a table", f"write [[{key}]] tables")
        return found

    def _is_empty_array(self, key: str) -> bool:
        items = self._items.get(key, [])
        return all(isinstance(item, AoT | Array) and not len(item) for item in items)

    def _nested(self, bodies: Iterable[Container], path: str, line: int | None) -> TableReader:
        return TableReader(
            bodies=bodies,
            path=path,
            line=line or self.line,
            lines=self._lines,
            collector=self._collector,
        )

    def _take(self, key: str, *, required: bool) -> Item | None:
        self._known.add(key)
        items = self._items.get(key)
        if items:
            return items[0]
        if required:
            self.add(key, "missing key", "add it")
        return None

    def _is_text(self, key: str) -> bool:
        return isinstance(self._items.get(key, [None])[0], String)

    def _wrong_type(self, key: str, item: Item, wanted: str) -> None:
        self.add(key, f"{type(item).__name__.lower()} found", f"write {wanted}")

    def _path_of(self, key: str) -> str:
        if not self.path:
            return key or "(whole file)"
        return f"{self.path}.{key}" if key else self.path

    def _line_of(self, key: str) -> int | None:
        items = self._items.get(key)
        if not items:
            return None
        first = items[0]
        if isinstance(first, AoT) and first.body:
            return self._lines.line_of(first.body[0])
        return self._lines.line_of(first)


def address_problem(value: str) -> str | None:
    """Return what keeps ``value`` from being the IPv4 address of one host, or None."""
    try:
        address = ipaddress.IPv4Address(value)
    except ValueError:
        return f"{value!r} is not an IPv4 address"
    if address.is_unspecified or address.is_multicast:
        return f"{value} is not the address of one host"
    return None


def read_document(*, text: str, collector: FindingCollector) -> TableReader | None:
    """Return a reader of the whole file, or None with one finding when it is not TOML."""
    try:
        document, lines = parse_toml(text)
    except TomlSyntaxError as error:
        collector.add(error.line, "(syntax)", str(error), "correct the TOML syntax")
        return None
    return TableReader(bodies=[document], path="", line=None, lines=lines, collector=collector)
