"""Check that a file's ``[[changes]]`` are exactly its differences from the accepted file."""

from __future__ import annotations

from collections.abc import Sequence

from redwingswitch._internal.configuration.differences import Difference, match_declared_changes
from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.models.configuration import Configuration
from redwingswitch._internal.utils.toml_reader import FindingCollector


def check_declared_changes(
    *, text: str, file: str, configuration: Configuration, differences: Sequence[Difference]
) -> None:
    """Raise InvalidInputGroup when a file has ``[[changes]]`` that do not match ``differences``."""
    undeclared_differences, unmatched_positions = match_declared_changes(configuration, differences)
    collector = FindingCollector(file=file)
    for difference in undeclared_differences:
        collector.add(
            ("changes",),
            f"undeclared difference: {difference}",
            "declare it, undo it or remove all [[changes]]",
        )
    for position in unmatched_positions:
        change = configuration.changes[position]
        collector.add(
            ("changes", position),
            f"no such difference from the accepted file: {change.action} {change.target}",
            "remove this change or make it",
        )
    findings = collector.findings(text)
    if findings:
        raise InvalidInputGroup.from_findings(subject=file, findings=findings)
