"""Schedules probes of dead hosts, so that both sides of a healed partition find each other."""

from __future__ import annotations

from collections.abc import Sequence

from redwingswitch._internal.decisions.members.probes import ProbeOrder
from redwingswitch._internal.ports import RandomSource

DEAD_HOST_PROBE_INTERVAL_MS = 10_000
# Limits the probe rate when a whole failure domain is dead or cut off.
MIN_PROBE_SPACING_MS = 1_000
# When one dead host is reachable again, the other hosts on its side of a partition most likely
# are too, so dead hosts are probed faster for this long.
MERGE_PERIOD_MS = 5_000
MERGE_PROBE_SPACING_MS = 200
HINTED_PROBE_DELAY_MS = 1_000
JITTER_RATIO = 0.2


class DeadHostProbes:
    """Decides when the next dead host is probed, and which one."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._order = ProbeOrder(random_source=random_source)
        self._next_ms: int | None = None
        self._merge_until_ms: int | None = None

    def next_deadline_ms(self) -> int | None:
        """Return when the next probe is due, or None."""
        return self._next_ms

    def ensure_scheduled(self, dead: Sequence[str], now_ms: int) -> None:
        """Schedule a probe if there are dead hosts and no probe is scheduled."""
        if dead and self._next_ms is None:
            self._next_ms = now_ms + self._spacing_ms(len(dead), now_ms)

    def on_dead_host_listed(self, now_ms: int) -> None:
        """Schedule an earlier probe, because the platform lists a dead host as running."""
        self._bring_forward(now_ms + self._jittered(HINTED_PROBE_DELAY_MS))

    def on_host_returned(self, now_ms: int) -> None:
        """Probe more often for ``MERGE_PERIOD_MS``, because a dead host is alive again."""
        self._merge_until_ms = now_ms + MERGE_PERIOD_MS
        self._bring_forward(now_ms + self._jittered(MERGE_PROBE_SPACING_MS))

    def take_due_host(self, dead: Sequence[str], now_ms: int) -> str | None:
        """Return the dead host to probe now, or None if no probe is due.

        When a probe is due, the next one is scheduled.
        """
        if self._next_ms is None or now_ms < self._next_ms:
            return None
        self._next_ms = now_ms + self._spacing_ms(len(dead), now_ms) if dead else None
        return self._order.next(dead, frozenset(dead).__contains__)

    def _bring_forward(self, at_ms: int) -> None:
        self._next_ms = at_ms if self._next_ms is None else min(self._next_ms, at_ms)

    def _spacing_ms(self, dead_count: int, now_ms: int) -> int:
        if self._merge_until_ms is not None and now_ms < self._merge_until_ms:
            return self._jittered(MERGE_PROBE_SPACING_MS)
        return self._jittered(max(MIN_PROBE_SPACING_MS, DEAD_HOST_PROBE_INTERVAL_MS // dead_count))

    def _jittered(self, delay_ms: int) -> int:
        return int(delay_ms * (1 + JITTER_RATIO * (2 * self._random.random() - 1)))
