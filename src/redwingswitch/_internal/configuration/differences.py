"""Differences between two configurations, and their match with declared changes.

Declared changes are the optional ``[[changes]]`` of a configuration file, in which an operator
lists what the file is meant to change.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    DeclaredEntryHost,
    FailureDomain,
    ServerState,
    Service,
)

Entry = FailureDomain | DeclaredEntryHost | Service | BackendServer


class ChangeAction(StrEnum):
    """What a change does to its target."""

    ADD = "add"
    REMOVE = "remove"
    DRAIN = "drain"
    ACTIVATE = "activate"
    LEAVE = "leave"
    ALTER = "alter"


STATE_ACTIONS = {
    ServerState.ACTIVE: ChangeAction.ACTIVATE,
    ServerState.DRAINING: ChangeAction.DRAIN,
    ServerState.LEAVING: ChangeAction.LEAVE,
}


class FieldDifference(NamedTuple):
    """One field of an entry before and after."""

    field: str
    before: str
    after: str


class Difference(NamedTuple):
    """One entry that differs; ``fields`` is empty for added and removed entries.

    An entry that changes its state and other fields yields two differences.
    """

    action: ChangeAction
    target: str
    fields: tuple[FieldDifference, ...]

    def __str__(self) -> str:
        details = "; ".join(f"{f.field} {f.before} -> {f.after}" for f in self.fields)
        return f"{self.action} {self.target}" + (f" ({details})" if details else "")


def diff_configurations(
    *, before: Configuration | None, after: Configuration
) -> tuple[Difference, ...]:
    """Return the differences by section and name; without ``before``, all entries are added."""
    found: list[Difference] = []
    for section, old, new in _paired_sections(before, after):
        found.extend(_section_differences(section, old, new))
    return tuple(found)


def match_declared_changes(
    configuration: Configuration, differences: Sequence[Difference]
) -> tuple[tuple[Difference, ...], tuple[int, ...]]:
    """Return the undeclared differences and the positions of changes that match no difference.

    A file without ``[[changes]]`` may contain any difference.
    """
    if not configuration.changes:
        return (), ()
    declared = {(c.action, c.target) for c in configuration.changes}
    actual = {(d.action.value, d.target) for d in differences}
    undeclared_differences = tuple(
        d for d in differences if (d.action.value, d.target) not in declared
    )
    unmatched_positions = tuple(
        position
        for position, change in enumerate(configuration.changes)
        if (change.action, change.target) not in actual
    )
    return undeclared_differences, unmatched_positions


def _paired_sections(
    before: Configuration | None, after: Configuration
) -> Iterable[tuple[str, dict[str, Entry], dict[str, Entry]]]:
    old = {} if before is None else _by_section(before)
    for section, new in _by_section(after).items():
        yield section, old.get(section, {}), new


def _by_section(configuration: Configuration) -> dict[str, dict[str, Entry]]:
    servers = [b for s in configuration.services for b in s.backend_servers]
    # Backend servers are compared in their own section and not again as a field of the service.
    services = [s._replace(backend_servers=()) for s in configuration.services]
    return {
        "failure_domains": {d.name: d for d in configuration.failure_domains},
        "entry_hosts": {h.name: h for h in configuration.entry_hosts},
        "services": {s.name: s for s in services},
        "backend_servers": {b.name: b for b in servers},
    }


def _section_differences(
    section: str, old: dict[str, Entry], new: dict[str, Entry]
) -> Iterable[Difference]:
    for name in sorted(old.keys() | new.keys()):
        target = f"{section}.{name}"
        if name not in old:
            yield Difference(ChangeAction.ADD, target, ())
        elif name not in new:
            yield Difference(ChangeAction.REMOVE, target, ())
        else:
            yield from _entry_differences(target, old[name], new[name])


def _entry_differences(target: str, old: Entry, new: Entry) -> Iterable[Difference]:
    fields = tuple(_field_differences(old, new))
    state = tuple(f for f in fields if f.field == "state")
    others = tuple(f for f in fields if f.field != "state")
    if state:
        yield Difference(STATE_ACTIONS[ServerState(state[0].after)], target, state)
    if others:
        yield Difference(ChangeAction.ALTER, target, others)


def _field_differences(old: Entry, new: Entry) -> Iterable[FieldDifference]:
    for field, before, after in zip(old._fields, old, new, strict=True):
        if before != after and isinstance(before, tuple):
            yield from _nested_differences(field, before, after)
        elif before != after:
            yield FieldDifference(field, _format_value(before), _format_value(after))


def _nested_differences(
    prefix: str, before: tuple[object, ...], after: object
) -> Iterable[FieldDifference]:
    names: Sequence[str] = getattr(before, "_fields", ())
    assert isinstance(after, tuple)
    for name, old, new in zip(names, before, after, strict=True):
        if old != new:
            yield FieldDifference(f"{prefix}.{name}", _format_value(old), _format_value(new))


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return str(value) or '""'
