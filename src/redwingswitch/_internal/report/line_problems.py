"""Collects the problems of log lines, to be reported together."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

# The input decides on the details, so the number that is kept is limited.
_MAX_DETAILS = 100
_SHOWN_DETAILS = 5
_MAX_DETAIL_CHARS = 80
_OTHER_DETAILS = "others"


class LineProblem(StrEnum):
    """What is wrong with a line; the values are messages."""

    NO_EVENT = "lines are no events and were left out"
    CUT = "lines are cut or damaged and were left out"
    UNKNOWN_EVENT = "lines have events that this version does not know"
    MISSING_FIELD = "lines lack a field that this version writes"


class _Problems:
    def __init__(self, first_place: str) -> None:
        self.first_place = first_place
        self.count = 0
        self.details: Counter[str] = Counter()


class LineProblems:
    """Counts the problems of each kind and keeps the place of the first one."""

    def __init__(self) -> None:
        self._problems: dict[LineProblem, _Problems] = {}
        self._files: list[str] = []
        self._omitted_events = 0

    def note(self, problem: LineProblem, *, place: str, detail: str = "", count: int = 1) -> None:
        """Count a problem of ``count`` lines, the first of which is at ``place``."""
        problems = self._problems.setdefault(problem, _Problems(place))
        problems.count += count
        if detail:
            is_kept = detail in problems.details or len(problems.details) < _MAX_DETAILS
            problems.details[detail if is_kept else _OTHER_DETAILS] += 1

    def note_file(self, path: str) -> None:
        """Record a file that is not text."""
        self._files.append(path)

    def note_omitted(self, count: int) -> None:
        """Count events that a host left out, so that nothing but their number is known."""
        self._omitted_events += count

    def messages(self) -> list[str]:
        """Return one line for each kind of problem."""
        found = [f"{to_printable(path)} is not text and was left out" for path in self._files]
        found += [_message(kind, self._problems[kind]) for kind in LineProblem if self._has(kind)]
        if self._omitted_events:
            found.append(
                f"{self._omitted_events} events were left out by their hosts (omitted=); "
                "they count without priority, failure domain and server"
            )
        return found

    def _has(self, kind: LineProblem) -> bool:
        return kind in self._problems


def to_printable(text: str) -> str:
    """Return a text without control characters, which could confuse a terminal or an SVG file."""
    return "".join(character if character.isprintable() else "?" for character in text)


def _message(kind: LineProblem, problems: _Problems) -> str:
    message = f"{problems.count} {kind}; the first is {to_printable(problems.first_place)}"
    # In the order of count, then by name, so that the same input gives the same message.
    details = sorted(problems.details.items(), key=lambda item: (-item[1], item[0]))
    if not details:
        return message
    shown = [
        f"{to_printable(detail)[:_MAX_DETAIL_CHARS]} ({count})"
        for detail, count in details[:_SHOWN_DETAILS]
    ]
    more = len(details) - len(shown)
    return f"{message}: {', '.join(shown)}" + (f" and {more} more" if more else "")
