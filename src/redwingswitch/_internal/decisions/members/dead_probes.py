"""Probes of dead hosts that are still listed, so that a healed partition merges by itself."""

from __future__ import annotations

from collections.abc import Sequence

from redwingswitch._internal.decisions.members.probes import ProbeOrder
from redwingswitch._internal.ports import RandomSource

INTERVAL_MS = 10_000
# Bounds the probes to a whole failure domain that is dead or cut off.
MIN_SPACING_MS = 1_000
# When one dead host returns, the others on its side of a partition most likely return as well.
MERGE_MS = 5_000
MERGE_SPACING_MS = 200
HINT_DELAY_MS = 1_000
JITTER = 0.2


class DeadProbes:
    """Decides when to probe which dead host."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._order = ProbeOrder(random_source=random_source)
        self._next_ms: int | None = None
        self._merge_until_ms: int | None = None

    def next_deadline_ms(self) -> int | None:
        """Return when ``take_due`` may name a host."""
        return self._next_ms

    def died(self, dead: Sequence[str], now_ms: int) -> None:
        """Plan the next probe when there is none yet."""
        if dead and self._next_ms is None:
            self._next_ms = now_ms + self._spacing_ms(len(dead), now_ms)

    def hinted(self, now_ms: int) -> None:
        """Probe sooner, because the platform lists a dead host as running."""
        self._bring_forward(now_ms + self._jittered(HINT_DELAY_MS))

    def returned(self, now_ms: int) -> None:
        """Probe faster for a while, because a dead host was heard of again."""
        self._merge_until_ms = now_ms + MERGE_MS
        self._bring_forward(now_ms + self._jittered(MERGE_SPACING_MS))

    def take_due(self, dead: Sequence[str], now_ms: int) -> str | None:
        """Return the dead host to probe now, if one is due."""
        if self._next_ms is None or now_ms < self._next_ms:
            return None
        self._next_ms = now_ms + self._spacing_ms(len(dead), now_ms) if dead else None
        return self._order.next(dead, frozenset(dead).__contains__)

    def _bring_forward(self, at_ms: int) -> None:
        self._next_ms = at_ms if self._next_ms is None else min(self._next_ms, at_ms)

    def _spacing_ms(self, dead: int, now_ms: int) -> int:
        if self._merge_until_ms is not None and now_ms < self._merge_until_ms:
            return self._jittered(MERGE_SPACING_MS)
        return self._jittered(max(MIN_SPACING_MS, INTERVAL_MS // dead))

    def _jittered(self, delay_ms: int) -> int:
        return int(delay_ms * (1 + JITTER * (2 * self._random.random() - 1)))
