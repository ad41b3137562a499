"""Checks and writes the file of a plot; a file is written as a whole or not at all."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

from redwingswitch._internal.exceptions import Finding, InvalidInputGroup

_OPTION = "--plot"


def check_plot_path(path: Path, *, logs: Sequence[Path]) -> list[Finding]:
    """Return why a plot cannot be written to a path, as far as it shows before the work."""
    target = _target(path)
    if any(target == _target(log) for log in logs):
        return [_finding(path, "is one of the logs", "name another file")]
    try:
        if target.exists() and not target.is_file():
            return [_finding(path, "is no regular file", "name a file")]
        if not target.parent.is_dir():
            return [_finding(path, "is in no directory", "create the directory first")]
    except OSError as error:
        return [_unwritable(path, error)]
    return []


def write_plot(path: Path, data: bytes) -> None:
    """Write a file; raise InvalidInputGroup and leave no partial file if that fails."""
    target = _target(path)
    partial = target.parent / f".redwingswitch-plot-{os.getpid()}.tmp"
    try:
        try:
            partial.write_bytes(data)
            partial.replace(target)
        except BaseException:
            partial.unlink(missing_ok=True)
            raise
    except OSError as error:
        raise InvalidInputGroup.from_options([_unwritable(path, error)]) from error


def _target(path: Path) -> Path:
    """Return the file that a symbolic link names, so that the link stays one."""
    return Path(os.path.realpath(path))


def _unwritable(path: Path, error: OSError) -> Finding:
    return _finding(path, f"cannot be written ({error.strerror})", "name another file")


def _finding(path: Path, problem: str, remedy: str) -> Finding:
    return Finding.on_option(f"{_OPTION}={path}", problem, remedy)
