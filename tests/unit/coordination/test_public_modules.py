"""Imports and exports of the public modules."""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
SOURCE = ROOT / "src"
PACKAGE = SOURCE / "redwingswitch" / "coordination"
MODULES = sorted(path.stem for path in PACKAGE.glob("*.py") if path.stem != "__init__")
EMBEDDING = [*ROOT.glob("examples/*.py"), *ROOT.glob("docs/library/*.md")]
FORBIDDEN = {"asyncio", "select", "selectors", "socket", "ssl", "time", "tornado", "zmq"}


def _path(module: str) -> Path | None:
    base = SOURCE.joinpath(*module.split("."))
    candidates = (base / "__init__.py", base.with_suffix(".py"))
    return next((path for path in candidates if path.exists()), None)


def _imports(path: Path) -> set[str]:
    """Return all modules that a file imports, also inside functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module, f"{path} has a relative import"
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def _reached(start: str) -> set[str]:
    """Return the top-level names of all modules that ``start`` imports, directly or not."""
    reached: set[str] = set()
    waiting = [start]
    while waiting:
        module = waiting.pop()
        path = _path(module)
        if module not in reached and path is not None:
            parents = module.split(".")[:-1]
            waiting += [".".join(parents[: n + 1]) for n in range(len(parents))]
            waiting += _imports(path)
        reached.add(module)
    return {module.split(".")[0] for module in reached}


@pytest.mark.parametrize("name", MODULES)
def test_no_io_and_no_clock_is_reached(name: str) -> None:
    """Guards against a component that cannot run on a virtual clock."""
    reached = _reached(f"redwingswitch.coordination.{name}")
    assert "redwingswitch" in reached
    assert reached & FORBIDDEN == set()


@pytest.mark.parametrize(
    ("module", "found"), [("daemon.entry", {"tornado", "zmq"}), ("utils.clocks", {"time"})]
)
def test_the_import_graph_finds_what_is_forbidden(module: str, found: set[str]) -> None:
    """Guards against an import check that follows no imports and always passes."""
    assert found <= _reached(f"redwingswitch._internal.{module}")


@pytest.mark.parametrize("name", MODULES)
def test_exports_are_explicit(name: str) -> None:
    """Guards against exported names that are undefined or listed twice."""
    module = importlib.import_module(f"redwingswitch.coordination.{name}")
    assert len(set(module.__all__)) == len(module.__all__) > 0
    assert [each for each in module.__all__ if not hasattr(module, each)] == []


@pytest.mark.parametrize("path", EMBEDDING, ids=lambda path: path.name)
def test_embedding_needs_no_private_import(path: Path) -> None:
    """Guards against a component that can be used only through private modules."""
    assert "import redwingswitch._internal" not in path.read_text()
    assert "from redwingswitch._internal" not in path.read_text()
