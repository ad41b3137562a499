"""Result tables of the benchmarks, rendered as Markdown."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class Table(NamedTuple):
    """One table of results.

    ``virtual`` is true when every figure was computed on a virtual clock, so that two runs must
    give identical figures.
    """

    key: str
    title: str
    command: str
    seed: int
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    conclusion: str
    virtual: bool = True

    def render(self) -> str:
        """Return the table with its heading, command and conclusion."""
        lines = [
            f"### {self.title}",
            "",
            f"Command: `{self.command}`, seed {self.seed}, "
            + ("virtual clock." if self.virtual else "measured on the machine."),
            "",
            _row(self.columns),
            _row(["---"] * len(self.columns)),
            *(_row(row) for row in self.rows),
            "",
            self.conclusion,
            "",
        ]
        return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
