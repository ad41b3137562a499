"""The examples of the public library run to completion and print the documented result."""

from __future__ import annotations

import runpy
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
PAGES = ROOT / "docs" / "library"

LAST_LINES = {
    "admission": "refused at once: 1, dropped as late: 2, waiting: 0",
    "claims": "ids held twice: 0",
    "convergence": "revisions in force: [2]",
    "graceful_stop": "cut off: 0 and 1",
    "lease": "write of second accepted: True",
    "membership": "still serving: host-1, host-3",
    "ownership": "found at the new owners: 300 of 300",
    "retry": "with the budget: 49 retries, bound 110",
}


def test_every_example_is_listed() -> None:
    """Guards against an example or a documentation page that no test covers."""
    assert sorted(LAST_LINES) == sorted(path.stem for path in EXAMPLES.glob("*.py"))
    assert sorted([*LAST_LINES, "README"]) == sorted(path.stem for path in PAGES.glob("*.md"))


@pytest.mark.parametrize(("name", "last_line"), LAST_LINES.items())
def test_example_ends_with_its_result(
    name: str, last_line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a change of the library that breaks its users."""
    runpy.run_path(str(EXAMPLES / f"{name}.py"), run_name="__main__")
    assert capsys.readouterr().out.splitlines()[-1] == last_line


@pytest.mark.parametrize("name", LAST_LINES)
def test_code_on_the_page_is_from_the_example(name: str) -> None:
    """Guards against documentation whose code is never run."""
    blocks = _code_blocks((PAGES / f"{name}.md").read_text())
    example = _stripped((EXAMPLES / f"{name}.py").read_text())
    assert blocks
    for block in blocks:
        assert f"\n{_stripped(block)}\n" in f"\n{example}\n"


def _code_blocks(page: str) -> list[str]:
    return [part.split("```", 1)[0].strip() for part in page.split("```python\n")[1:]]


def _stripped(text: str) -> str:
    return "\n".join(line.strip() for line in text.splitlines())
