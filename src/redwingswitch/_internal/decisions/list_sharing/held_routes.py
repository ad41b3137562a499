"""The routes that a host holds, and what it knows of the newest ones in the store."""

from __future__ import annotations

from redwingswitch._internal.models.list_sharing import NewestRoutes
from redwingswitch._internal.models.store_revisions import era_of

FIRST_ERA = 0
NO_VERSION = 0


class HeldRoutes:
    """The version of the routes of this host, and up to where the store has no later one.

    What a reader knows of the newest version holds for this host once it has that version. Until
    then neither ``revision`` nor ``confirmed_ms`` goes beyond what this host had before. A newer
    version is announced until this host has read it, or has found that the store does not have it.
    """

    def __init__(self) -> None:
        self._version = 0
        self._revision = 0
        self._confirmed_ms: int | None = None
        self._announced: NewestRoutes | None = None
        # The latest era of the store that this host has read, and, unless that is the first one or
        # a newer version was written in it, the version at the first read.
        self._era = FIRST_ERA
        self._restored_version: int | None = None
        # Whether the newest version that this host has read could not be decoded.
        self._has_unreadable_version = False

    @property
    def may_miss_version(self) -> bool:
        """Return whether other hosts may have later routes than the store's answers gave this one.

        The store may have lost them in a restore, or this host could not decode them. They may have
        opened flows by them, so that its answers do not show that no such flow exists. They do
        again once operators have written a newer version.
        """
        return self._restored_version is not None or self._has_unreadable_version

    @property
    def version(self) -> int:
        """Return the operators' version of the held routes, 0 without any."""
        return self._version

    @property
    def revision(self) -> int:
        """Return the store revision up to which there are no later routes than the held ones."""
        return self._revision

    @property
    def announced(self) -> NewestRoutes | None:
        """Return the newest routes that a reader knows, or None if this host has them."""
        return self._announced

    @property
    def confirmed_ms(self) -> int | None:
        """Return the latest time at which a reader knew no routes newer than the held ones."""
        return self._confirmed_ms

    def on_announced(self, newest: NewestRoutes) -> None:
        """Record the newest routes that a reader knows."""
        if newest.version <= self._version:
            self._take_over(newest)
        elif self._announced is None or newest.version >= self._announced.version:
            self._announced = newest

    def on_read(self, version: int | None, *, up_to_revision: int | None) -> None:
        """Record routes that this host read; None if there are none that can be decoded.

        The store has no later ones up to ``up_to_revision``, which is None if that is not known.
        """
        if version is not None:
            self._has_unreadable_version &= version <= self._version
            self._version = max(self._version, version)
        if up_to_revision is not None:
            self._note_era(version or NO_VERSION, era_of(up_to_revision))
            self._revision = max(self._revision, up_to_revision)
        announced = self._announced
        if announced is None:
            return
        if announced.version <= self._version:
            self._take_over(announced)
            self._announced = None
        elif up_to_revision is not None and up_to_revision >= announced.revision:
            # The store was restored from a copy that lacks these routes.
            self._announced = None

    def on_unreadable(self) -> None:
        """Record that the newest version in the store could not be decoded."""
        self._has_unreadable_version = True

    def _note_era(self, version: int, era: int) -> None:
        if era > self._era:
            self._era = era
            self._restored_version = version
        elif self._restored_version is not None and version > self._restored_version:
            self._restored_version = None

    def _take_over(self, newest: NewestRoutes) -> None:
        self._revision = max(self._revision, newest.revision)
        if newest.as_of_ms is not None:
            known_ms = self._confirmed_ms
            self._confirmed_ms = (
                newest.as_of_ms if known_ms is None else max(known_ms, newest.as_of_ms)
            )
