"""The latest routes by the operators' version, and the differences between them."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_sharing import RoutesDifference

# Followers are rarely more than one change behind; in a storm of configurations they are a few.
MAX_RETAINED_TABLES = 4
NO_VERSION = 0


class _StoredTable(NamedTuple):
    revision: int
    routes: RouteTable


class RoutesHistory:
    """Retains the latest routes that were in force on this host."""

    def __init__(self) -> None:
        self._tables: deque[_StoredTable] = deque(maxlen=MAX_RETAINED_TABLES)

    @property
    def version(self) -> int:
        """Return the version of the latest routes, 0 without any."""
        return self._tables[-1].routes.version if self._tables else NO_VERSION

    @property
    def revision(self) -> int:
        """Return the store revision at which the latest routes were read, 0 without any."""
        return self._tables[-1].revision if self._tables else 0

    def add(self, routes: RouteTable, revision: int) -> None:
        """Add the routes read at a store revision; ignore a version that is not later."""
        if routes.version > self.version:
            self._tables.append(_StoredTable(revision, routes))

    def build_difference(self, known_version: int) -> RoutesDifference | None:
        """Return what a host that has the routes of ``known_version`` lacks; None without routes.

        If those routes are not retained, the difference has all routes.
        """
        if not self._tables:
            return None
        latest = self._tables[-1]
        base = self._find(known_version)
        known = {} if base is None else base.routes.routes
        routes = latest.routes.routes
        return RoutesDifference(
            base_version=NO_VERSION if base is None else base.routes.version,
            version=latest.routes.version,
            revision=latest.revision,
            idle_limit_ms=latest.routes.idle_limit_ms,
            changed=tuple(r for address, r in routes.items() if known.get(address) != r),
            removed=tuple(address for address in known if address not in routes),
            slow_starts=(
                None
                if base is not None and base.routes.slow_starts == latest.routes.slow_starts
                else latest.routes.slow_starts
            ),
        )

    def apply_difference(self, difference: RoutesDifference) -> RouteTable | None:
        """Return the routes after a difference; None if its base is not the latest routes."""
        routes = {}
        slow_starts = difference.slow_starts or ()
        if difference.base_version != NO_VERSION:
            if difference.base_version != self.version:
                return None
            routes = dict(self._tables[-1].routes.routes)
            if difference.slow_starts is None:
                slow_starts = self._tables[-1].routes.slow_starts
        for address in difference.removed:
            routes.pop(address, None)
        routes.update({route.destination: route for route in difference.changed})
        return RouteTable(
            version=difference.version,
            routes=routes,
            idle_limit_ms=difference.idle_limit_ms,
            slow_starts=slow_starts,
        )

    def _find(self, version: int) -> _StoredTable | None:
        return next((each for each in self._tables if each.routes.version == version), None)
