"""Hypothesis profile, derandomised for reproducible results, and the list of known failures."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures: one that passes fails the run."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known = {line.removeprefix(ENTRY_PREFIX) for line in lines if line.startswith(ENTRY_PREFIX)}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
