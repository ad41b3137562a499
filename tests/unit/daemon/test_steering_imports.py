"""Guards against imports that delay the start of the steering daemon, and against import cycles."""

import ast
import subprocess
import sys
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import redwingswitch

PACKAGE = Path(redwingswitch.__file__).parent
PROGRAM = "redwingswitch._internal.daemon.steering_program"
# What a host needs only after its first list of servers, for its first scrape, or not at all.
LATE_MODULES = (
    "aioprometheus",
    "fire",
    "tomlkit",
    "redwingswitch._internal.daemon.load_exchange",
    "redwingswitch._internal.daemon.load_parts",
    "redwingswitch._internal.decisions.cookies.opening_admission",
    "redwingswitch._internal.decisions.flow_admission.flow_admission",
    "redwingswitch._internal.decisions.load_sharing.load_sharing",
    "redwingswitch._internal.decisions.load_sharing.report_sums",
)


def test_the_start_imports_nothing_that_a_host_needs_later() -> None:
    code = f"import sys, {PROGRAM}\nprint(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    assert not set(LATE_MODULES) & set(run.stdout.split())


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_names(path: Path) -> set[str]:
    """Return the names that a module imports when it is loaded, with those that may be modules."""
    names: set[str] = set()
    pending: list[ast.AST] = list(ast.parse(path.read_text()).body)
    while pending:
        node = pending.pop()
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module)
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING":
            pending.extend(node.orelse)
        elif not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            pending.extend(ast.iter_child_nodes(node))
    return names


def test_no_module_imports_itself_through_others() -> None:
    modules = {module_name(path): path for path in PACKAGE.rglob("*.py")}
    graph = {name: imported_names(path) & modules.keys() - {name} for name, path in modules.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"import cycle: {error.args[1]}")
