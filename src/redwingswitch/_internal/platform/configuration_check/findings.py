"""The errors and warnings of one configuration, with their lines in its JSON text."""

from __future__ import annotations

from collections.abc import Mapping

from redwingswitch._internal.exceptions import Finding
from redwingswitch._internal.utils.json_lines import JsonPlaces
from redwingswitch._internal.utils.toml_paths import KeyPath
from redwingswitch._internal.utils.toml_reader import FindingCollector


class CheckFindings:
    """Collects the findings of one file; ``places`` are those of its text."""

    def __init__(self, *, file: str, places: JsonPlaces) -> None:
        self.places = places
        self._errors = FindingCollector(file=file, find_lines=self._lines)
        self._warnings = FindingCollector(file=file, find_lines=self._lines)
        self._error_paths: set[KeyPath] = set()
        self.has_syntax_error = False

    def add_error(self, path: KeyPath, problem: str, remedy: str) -> None:
        """Add what makes the hosts reject the configuration or a value of it."""
        self._errors.add(path, problem, remedy)
        self._error_paths.add(path)

    def add_syntax_error(self, problem: str, remedy: str, *, line: int) -> None:
        """Add the only error of a text that is not JSON."""
        self._errors.add(("(syntax)",), problem, remedy, line=line)
        self.has_syntax_error = True

    def add_warning(self, path: KeyPath, problem: str, remedy: str) -> None:
        """Add what the operator may not expect; ignored where there is an error already."""
        if path not in self._error_paths:
            self._warnings.add(path, problem, remedy)

    def errors(self) -> list[Finding]:
        """Return the errors, sorted by line."""
        return self._errors.findings("")

    def warnings(self) -> list[Finding]:
        """Return the warnings, sorted by line."""
        return self._warnings.findings("")

    def _lines(self, _: str) -> Mapping[KeyPath, int]:
        return self.places.lines
