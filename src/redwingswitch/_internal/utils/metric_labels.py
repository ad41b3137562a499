"""Label values of metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Sequence

_ESCAPES = str.maketrans({"\\": "\\\\", "\n": "\\n", '"': '\\"'})


def build_labels(names: Sequence[str], values: Sequence[str]) -> dict[str, str]:
    """Return the values by name, escaped; aioprometheus writes them as they are."""
    return {name: value.translate(_ESCAPES) for name, value in zip(names, values, strict=True)}
