"""Reloads the settings file of the running steering daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path

from logbook import Logger

from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.steering_settings import SteeringSettings, read_steering_settings

log = Logger("steering")

MS_PER_S = 1_000
# The file may change without a signal; a change must be noticed before the process is stopped.
SETTINGS_CHECK_INTERVAL_MS = 2_000


class SettingsReload:
    """Applies the one setting that may change while the daemon runs, the grace period."""

    def __init__(self, *, settings: SteeringSettings, settings_file: Path | None) -> None:
        self._settings = settings
        self._settings_file = settings_file
        # Whether the file has settings with which the next start would fail.
        self.is_refused = False

    @property
    def grace_period_ms(self) -> int:
        """Return the longest duration of a stop."""
        return self._settings.grace_period_ms

    async def watch(self) -> None:
        """Reload the settings file whenever it changes."""
        known_mtime_ns = self._settings_mtime_ns()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_MS / MS_PER_S)
            mtime_ns = self._settings_mtime_ns()
            if mtime_ns != known_mtime_ns:
                known_mtime_ns = mtime_ns
                self.reload()

    def reload(self) -> None:
        """Reload the settings file and log what changed; apply only the grace period."""
        if self._settings_file is None:
            return
        try:
            settings = read_steering_settings(self._settings_file)
        except InvalidInputGroup as group:
            findings = "; ".join(str(error) for error in group.exceptions)
            self.is_refused = True
            log.error(f"reload refused next_start=fails reason={findings}")
            return
        self.is_refused = False
        changed = [
            name
            for name, old, new in zip(settings._fields, self._settings, settings, strict=True)
            if old != new
        ]
        log.info(f"reload done changed={','.join(changed) or 'nothing'}")
        # Changes of addresses and names take effect at the next start.
        self._settings = self._settings._replace(grace_period_ms=settings.grace_period_ms)

    def _settings_mtime_ns(self) -> int:
        if self._settings_file is None:
            return 0
        try:
            return self._settings_file.stat().st_mtime_ns
        except OSError as error:
            # The file may be in the middle of a replacement; the current settings stay in use.
            log.warning(f"settings unreadable reason={error}")
            return 0
