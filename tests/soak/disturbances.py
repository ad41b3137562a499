"""Record of injected disturbances, to tell which hosts were undisturbed and since when."""

from __future__ import annotations

from redwingswitch._internal.utils.clocks import MonotonicClock

# Requirement: a host that was undisturbed for this long must meet its time limits.
STABLE_WINDOW_MS = 4_000


now_ms = MonotonicClock().now_ms


class DisturbanceLog:
    """Active and ended disturbances of each subject: a host, ``store`` or ``machine``."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}
        self._ended_ms: dict[str, int] = {}

    def begin(self, subject: str) -> None:
        """Record the start of a disturbance; several may overlap."""
        self._open[subject] = self._open.get(subject, 0) + 1

    def end(self, subject: str) -> None:
        """Record the end of one disturbance of a subject."""
        self._open[subject] -= 1
        self._ended_ms[subject] = now_ms()

    def record_moment(self, subject: str) -> None:
        """Record a disturbance without duration."""
        self._ended_ms[subject] = now_ms()

    def is_undisturbed(self, *subjects: str, since_ms: int | None = None) -> bool:
        """Return whether the subjects were undisturbed for the stable window before a time."""
        latest_ms = (now_ms() if since_ms is None else since_ms) - STABLE_WINDOW_MS
        return not any(
            self._open.get(subject) or self._ended_ms.get(subject, -STABLE_WINDOW_MS) > latest_ms
            for subject in subjects
        )
