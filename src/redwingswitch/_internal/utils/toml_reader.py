"""Typed reading of TOML tables that reports all findings instead of stopping at the first."""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import TypeVar

from redwingswitch._internal.exceptions import Finding
from redwingswitch._internal.utils.toml_limits import find_exceeded_limit
from redwingswitch._internal.utils.toml_paths import KeyPath, format_key_path

E = TypeVar("E", bound=StrEnum)

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# TOML requires 64 bits of an integer, and the parser limits none. Longer ones cannot be converted
# to a number with a fraction, or to text.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
MAX_NAME_CHARACTERS = 63
NAME_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?")
# The alphabet of Z85 (ZeroMQ RFC 32); a CURVE key of 32 bytes has 40 characters.
Z85_KEY_PATTERN = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
TOML_ERROR_LINE_PATTERN = re.compile(r"at line (\d+)")

TYPE_NAMES = {
    str: "a string",
    bool: "true or false",
    int: "an integer",
    float: "a number",
    dict: "a table",
    list: "an array",
}


FindLines = Callable[[str], Mapping[KeyPath, int]]


def find_toml_lines(text: str) -> dict[KeyPath, int]:
    """Return the line of each path in a TOML text."""
    # Imported only when there are findings, because importing tomlkit doubles the start-up time.
    from redwingswitch._internal.utils.toml_lines import find_line_numbers  # noqa: PLC0415

    return find_line_numbers(text)


class FindingCollector:
    """The findings of one file; ``find_lines`` returns the line of each path in its text."""

    def __init__(self, *, file: str, find_lines: FindLines = find_toml_lines) -> None:
        self.file = file
        self._find_lines = find_lines
        self._findings: list[tuple[KeyPath, Finding]] = []

    def add(self, path: KeyPath, problem: str, remedy: str, *, line: int | None = None) -> None:
        """Add a finding; without ``line``, its line is looked up by its path."""
        finding = Finding(self.file, line, format_key_path(path), problem, remedy)
        self._findings.append((path, finding))

    def findings(self, text: str) -> list[Finding]:
        """Return the findings with their lines in ``text``, sorted by line."""
        unlocated = [path for path, finding in self._findings if path and not finding.line]
        lines = self._find_lines(text) if unlocated else {}
        located = [
            finding if finding.line else finding._replace(line=_nearest_line(lines, path))
            for path, finding in self._findings
        ]
        return sorted(located, key=lambda f: (f.line or 0, f.key_path))


def _nearest_line(lines: Mapping[KeyPath, int], path: KeyPath) -> int | None:
    """Return the line of ``path`` or, without one, of its innermost enclosing table."""
    for length in range(len(path), 0, -1):
        line = lines.get(path[:length])
        if line is not None:
            return line
    return None


class TableReader:
    """A TOML table whose values are checked as they are read.

    A method that reads an invalid value adds a finding and returns a placeholder of the same type,
    so that the caller can go on to the next key.
    """

    def __init__(self, *, values: dict[str, object], path: KeyPath, collector: FindingCollector):
        self.path = path
        self._values = values
        self._collector = collector
        self._read_keys: set[str] = set()

    def has(self, key: str) -> bool:
        """Return whether the table contains ``key``."""
        return key in self._values

    def key_path(self, key: str) -> str:
        """Return the path of ``key`` as findings show it."""
        return format_key_path((*self.path, key))

    def add_finding(self, key: str, problem: str, remedy: str) -> None:
        """Add a finding at ``key``, or at the table itself when ``key`` is empty."""
        self._collector.add((*self.path, key) if key else self.path, problem, remedy)

    def string(self, key: str, *, default: str | None = None) -> str:
        """Return a string."""
        value = self._typed_value(key, str, required=default is None)
        return value if isinstance(value, str) else default or ""

    def name(self, key: str, *, default: str | None = None) -> str:
        """Return a name of letters, digits, ``-`` and ``_``; empty when it is invalid."""
        value = self.string(key, default=default)
        if not self._is_string(key) or NAME_PATTERN.fullmatch(value):
            return value
        self.add_finding(
            key,
            f"{value!r} is not a name",
            f"use 1 to {MAX_NAME_CHARACTERS} letters, digits, '-' and '_', "
            "with a letter or digit at both ends",
        )
        return ""

    def curve_key(self, key: str) -> str:
        """Return a CURVE key in Z85; empty when it is absent, empty or invalid."""
        value = self.string(key, default="")
        if not value or Z85_KEY_PATTERN.fullmatch(value):
            return value
        self.add_finding(key, "not a CURVE key in Z85", "use 40 characters of the Z85 alphabet")
        return ""

    def integer(self, key: str, *, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer from ``minimum`` to ``maximum``."""
        fallback = minimum if default is None else default
        value = self._typed_value(key, int, required=default is None)
        if not isinstance(value, int):
            return fallback
        if minimum <= value <= maximum:
            return value
        self.add_finding(key, f"{value} is out of bounds", f"use {minimum} to {maximum}")
        return fallback

    def number(
        self, key: str, *, minimum: float, maximum: float, default: float | None = None
    ) -> float:
        """Return a number from ``minimum`` to ``maximum``."""
        fallback = minimum if default is None else default
        value = self._typed_value(key, float, required=default is None)
        if not isinstance(value, int | float):
            return fallback
        if minimum <= value <= maximum:
            return float(value)
        self.add_finding(key, f"{value:g} is out of bounds", f"use {minimum:g} to {maximum:g}")
        return fallback

    def boolean(self, key: str, *, default: bool) -> bool:
        """Return a Boolean."""
        value = self._typed_value(key, bool, required=False)
        return value if isinstance(value, bool) else default

    def choice(self, key: str, *, choices: Sequence[E], default: E | None = None) -> E:
        """Return the member of ``choices`` whose value the key has."""
        fallback = choices[0] if default is None else default
        value = self.string(key, default=None if default is None else str(default))
        if not self._is_string(key):
            return fallback
        for candidate in choices:
            if value == candidate.value:
                return candidate
        self.add_finding(
            key, f"{value!r} is unknown", "use " + " or ".join(repr(str(c)) for c in choices)
        )
        return fallback

    def port(self, key: str, *, default: int | None = None) -> int:
        """Return a port; 0 is allowed only as the default, where it means none."""
        minimum = 0 if default == 0 else 1
        return self.integer(key, minimum=minimum, maximum=MAX_PORT, default=default)

    def address(self, key: str) -> str:
        """Return a unicast IPv4 address; empty when it is invalid."""
        value = self.string(key)
        if not self._is_string(key):
            return ""
        problem = address_problem(value)
        if problem is None:
            return value
        self.add_finding(key, problem, "use the IPv4 address of one host, such as 10.1.0.1")
        return ""

    def endpoint(self, key: str) -> tuple[str, int]:
        """Return an IPv4 address and a port written as ``address:port``."""
        value = self.string(key)
        if not self._is_string(key):
            return "", 0
        address, _, port = value.partition(":")
        problem = address_problem(address)
        is_number = port.isdecimal() and len(port) <= MAX_PORT_DIGITS
        if problem is None and is_number and 0 < int(port) <= MAX_PORT:
            return address, int(port)
        self.add_finding(key, problem or f"{port!r} is not a port", "write it as 10.1.0.1:8080")
        return "", 0

    def strings(self, key: str) -> list[str]:
        """Return the strings of an array; an absent key counts as an empty array."""
        found: list[str] = []
        for position, element in enumerate(self._array_elements(key)):
            if isinstance(element, str):
                found.append(element)
            else:
                path = (*self.path, key, position)
                self._collector.add(path, _found_type(element), "write a string")
        return found

    def table(self, key: str) -> TableReader | None:
        """Return the table under ``key``, or None when it is absent or not a table."""
        value = self._typed_value(key, dict, required=False)
        return self._nested_reader(value, (*self.path, key)) if isinstance(value, dict) else None

    def tables(self, key: str, *, minimum: int = 0, maximum: int) -> list[TableReader]:
        """Return the tables of an array of tables."""
        elements = self._array_elements(key)
        if len(elements) < minimum and not self._values.get(key):
            self.add_finding(key, f"no [[{key}]] is declared", "declare one")
        if len(elements) > maximum:
            self.add_finding(
                key, f"{len(elements)} entries are too many", f"declare at most {maximum}"
            )
        found: list[TableReader] = []
        for position, element in enumerate(elements):
            path = (*self.path, key, position)
            if isinstance(element, dict):
                found.append(self._nested_reader(element, path))
            else:
                self._collector.add(path, _found_type(element), f"write [[{key}]] tables")
        return found

    def check_unknown_keys(self) -> None:
        """Add a finding for each key that was never read."""
        for key in self._values:
            if key not in self._read_keys:
                known = ", ".join(sorted(self._read_keys))
                self.add_finding(key, "unknown key", f"remove it or use one of: {known}")

    def _array_elements(self, key: str) -> list[object]:
        value = self._typed_value(key, list, required=False)
        return value if isinstance(value, list) else []

    def _nested_reader(self, values: dict[str, object], path: KeyPath) -> TableReader:
        return TableReader(values=values, path=path, collector=self._collector)

    def _typed_value(self, key: str, wanted: type, *, required: bool) -> object | None:
        """Return the value of ``key`` if it has the type ``wanted``; otherwise add a finding."""
        self._read_keys.add(key)
        if key not in self._values:
            if required:
                self.add_finding(key, "missing key", "add it")
            return None
        value = self._values[key]
        if type(value) is int and not MIN_INTEGER <= value <= MAX_INTEGER:
            self.add_finding(key, "an integer of more than 64 bits found", "use a smaller number")
            return None
        if type(value) is wanted or (wanted is float and type(value) is int):
            return value
        self.add_finding(key, _found_type(value), f"write {TYPE_NAMES[wanted]}")
        return None

    def _is_string(self, key: str) -> bool:
        return isinstance(self._values.get(key), str)


def _found_type(value: object) -> str:
    return f"{TYPE_NAMES.get(type(value), type(value).__name__)} found"


def address_problem(value: str) -> str | None:
    """Return why ``value`` is not a unicast IPv4 address, or None when it is one."""
    try:
        address = ipaddress.IPv4Address(value)
    except ValueError:
        return f"{value!r} is not an IPv4 address"
    if address.is_unspecified or address.is_multicast:
        return f"{value} is not the address of one host"
    return None


def read_document(*, text: str, collector: FindingCollector) -> TableReader | None:
    """Return a reader of the root table, or None with one finding when ``text`` is not TOML.

    A text that the parser cannot read, or not in a short time, counts as not TOML.
    """
    if exceeded := find_exceeded_limit(text):
        line, problem, remedy = exceeded
        collector.add(("(syntax)",), problem, remedy, line=line)
        return None
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = TOML_ERROR_LINE_PATTERN.search(str(error))
        line = int(match[1]) if match else text.count("\n") + 1
        collector.add(("(syntax)",), str(error), "correct the TOML syntax", line=line)
        return None
    return TableReader(values=values, path=(), collector=collector)
