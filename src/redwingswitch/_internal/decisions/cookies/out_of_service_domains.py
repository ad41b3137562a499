"""The failure domains that are out of service, and the slow start of those that came back."""

from __future__ import annotations

# A server's entry tells of its slow start up to this much later than the slow start begins.
RETURN_SLOW_START_MS = 1_200


class OutOfServiceDomains:
    """The failure domains whose servers get no new flows."""

    def __init__(self) -> None:
        self._domains: frozenset[str] = frozenset()
        self._slow_start_deadlines_ms: dict[str, int] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Return the names of the failure domains."""
        return self._domains

    def replace(self, domains: frozenset[str], now_ms: int) -> None:
        """Replace the set; a failure domain that leaves it begins a slow start."""
        returned = self._domains - domains
        self._domains = domains
        remaining = {
            domain: deadline_ms
            for domain, deadline_ms in self._slow_start_deadlines_ms.items()
            if now_ms < deadline_ms
        }
        begun = dict.fromkeys(returned, now_ms + RETURN_SLOW_START_MS)
        self._slow_start_deadlines_ms = {**remaining, **begun}

    def slow_start_deadline_ms(self, domain: str) -> int:
        """Return until when servers of a failure domain count as in slow start, 0 by default."""
        return self._slow_start_deadlines_ms.get(domain, 0)
