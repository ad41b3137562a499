"""Paths of the values in a TOML document."""

from __future__ import annotations

KeyPath = tuple[str | int, ...]


def format_key_path(path: KeyPath) -> str:
    """Return a path as findings show it, such as ``services[0].port``; always on one line."""
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    line = text if text.isprintable() else ascii(text)[1:-1]
    return line.removeprefix(".") or "(whole file)"
