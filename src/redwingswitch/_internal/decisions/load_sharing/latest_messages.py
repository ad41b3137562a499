"""The latest observations of each sender, without those that are late or of an earlier process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

from redwingswitch._internal.decisions.load_sharing.summation import ReceivedSums

Sender = TypeVar("Sender")

REPORT_LIFETIME_MS = 1_500


class _Latest(NamedTuple):
    """A sender's latest observations; ``former_incarnation`` is 0 while it has not restarted."""

    received: ReceivedSums
    incarnation: int
    number: int
    former_incarnation: int

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the observations are recent enough to be used."""
        return now_ms - self.received.arrived_ms < REPORT_LIFETIME_MS


class LatestMessages(Generic[Sender]):
    """Keeps one message a sender, up to ``limit`` senders, for ``REPORT_LIFETIME_MS``."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._latest: dict[Sender, _Latest] = {}

    def put(self, sender: Sender, received: ReceivedSums, incarnation: int, number: int) -> bool:
        """Take a message; return False if it is older than the one known, or beyond the limit."""
        known = self._latest.get(sender)
        former_incarnation = 0
        if known is not None and known.is_fresh(received.arrived_ms):
            former_incarnation = known.former_incarnation
            if incarnation == former_incarnation:
                return False
            if incarnation == known.incarnation:
                if number <= known.number:
                    return False
            else:
                former_incarnation = known.incarnation
        elif len(self.fresh(received.arrived_ms)) >= self._limit:
            return False
        self._latest[sender] = _Latest(received, incarnation, number, former_incarnation)
        return True

    def get(self, sender: Sender) -> ReceivedSums | None:
        """Return the latest observations of a sender."""
        latest = self._latest.get(sender)
        return None if latest is None else latest.received

    def fresh(self, now_ms: int) -> Mapping[Sender, ReceivedSums]:
        """Return the fresh observations by sender, and drop all others."""
        self._latest = {
            sender: latest for sender, latest in self._latest.items() if latest.is_fresh(now_ms)
        }
        return {sender: latest.received for sender, latest in self._latest.items()}
