"""Which failure domains hosts took for out of service, second by second."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class _Change(NamedTuple):
    time_s: int
    host: str
    host_domain: str
    domains: frozenset[str]


class OutOfServiceReplay:
    """Goes through the changes once, in order of time."""

    def __init__(self, changes: Sequence[_Change]) -> None:
        self._changes = changes
        self._position = 0
        self._time_s: int | None = None
        # By the failure domain of the hosts: what each host knows, and what any of them knew
        # during the latest second.
        self._known: dict[str, dict[str, frozenset[str]]] = {}
        self._during: dict[str, set[str]] = {}

    def during(self, time_s: int, host_domain: str) -> frozenset[str]:
        """Return what any host of a failure domain knew in a second; seconds must not fall."""
        if time_s != self._time_s:
            self._advance(time_s - 1)
            self._during = {
                domain: set().union(*hosts.values()) for domain, hosts in self._known.items()
            }
            self._advance(time_s)
            self._time_s = time_s
        return frozenset(self._during.get(host_domain, ()))

    def _advance(self, until_s: int) -> None:
        while self._position < len(self._changes):
            change = self._changes[self._position]
            if change.time_s > until_s:
                return
            self._position += 1
            self._known.setdefault(change.host_domain, {})[change.host] = change.domains
            self._during.setdefault(change.host_domain, set()).update(change.domains)


class OutOfServiceHistory:
    """Collects what hosts wrote, in order of time for each host."""

    def __init__(self) -> None:
        self._changes: list[_Change] = []

    def note(self, *, time_s: int, host: str, host_domain: str, domains: frozenset[str]) -> None:
        """Record that a host takes exactly ``domains`` for out of service from now on."""
        self._changes.append(_Change(time_s, host, host_domain, domains))

    def replay(self) -> OutOfServiceReplay:
        """Return a new pass over the changes."""
        return OutOfServiceReplay(sorted(self._changes, key=lambda change: change.time_s))
