"""Run every benchmark and write the generated tables into docs/measurements.md.

Each benchmark module returns its tables from a function ``run() -> list[Table]``.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

from benchmarks.tables import Table

MODULES = ("flows", "service", "membership", "configuration", "packets")
PAGE = Path(__file__).resolve().parent.parent / "docs" / "measurements.md"
BEGIN = "<!-- generated tables: begin -->"
END = "<!-- generated tables: end -->"


def main() -> int:
    """Run the benchmarks; with names as arguments, print only those."""
    names = tuple(sys.argv[1:]) or MODULES
    tables = [table for name in names for table in _run(name)]
    text = "\n".join(table.render() for table in tables)
    if sys.argv[1:]:
        print(text)
        return 0
    replace_generated(PAGE, text)
    return 0


def _run(name: str) -> list[Table]:
    module = importlib.import_module(f"benchmarks.{name}")
    result: list[Table] = module.run()
    return result


def replace_generated(page: Path, text: str) -> None:
    """Replace the text between the two markers of a page."""
    old = page.read_text(encoding="utf-8")
    head, _, rest = old.partition(BEGIN)
    _, _, tail = rest.partition(END)
    page.write_text(f"{head}{BEGIN}\n\n{text}\n{END}{tail}", encoding="utf-8")


if __name__ == "__main__":
    raise SystemExit(main())
