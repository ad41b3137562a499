"""The routes that a host holds, and what it knows of the newest ones in the store."""

from __future__ import annotations

from redwingswitch._internal.models.list_sharing import NewestRoutes


class HeldRoutes:
    """The version of the routes of this host, and since when it may be an old one.

    The newest version in the store at a time confirms the held routes as of that time once this
    host holds that version. A newer version is announced until the host has read it, or until the
    store has been found not to have it.
    """

    def __init__(self) -> None:
        self._version = 0
        self._confirmed_ms: int | None = None
        self._announced: NewestRoutes | None = None

    @property
    def version(self) -> int:
        """Return the operators' version of the held routes, 0 without any."""
        return self._version

    @property
    def announced_version(self) -> int:
        """Return the version that a reader announced and this host lacks, 0 without one."""
        return 0 if self._announced is None else self._announced.version

    @property
    def confirmed_ms(self) -> int | None:
        """Return the latest time at which a reader knew no routes newer than the held ones."""
        return self._confirmed_ms

    def on_announced(self, newest: NewestRoutes) -> None:
        """Record the newest routes that a reader knows."""
        if newest.version <= self._version:
            self._confirm(newest)
        elif newest.version >= self.announced_version:
            self._announced = newest

    def on_read(self, version: int | None, *, is_newest: bool) -> None:
        """Record routes that this host read; None if the store has none that can be decoded.

        ``is_newest`` is false for routes that the store may have replaced since.
        """
        if version is not None:
            self._version = max(self._version, version)
        announced = self._announced
        if announced is None:
            return
        if announced.version <= self._version:
            self._confirm(announced)
            self._announced = None
        elif is_newest:
            self._announced = None

    def _confirm(self, newest: NewestRoutes) -> None:
        if newest.as_of_ms is not None:
            known_ms = self._confirmed_ms
            self._confirmed_ms = (
                newest.as_of_ms if known_ms is None else max(known_ms, newest.as_of_ms)
            )
