"""Selection of the backend server and the failure domain of a request."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.configuration import BackendServer, ServerState
from redwingswitch._internal.models.requests import FailureKind
from redwingswitch._internal.ports import RandomSource

WARM_UP_MS = 1_000
WARM_UP_SLOTS = 1
REFUSAL_PAUSE_LIMIT_MS = 100
USAGE_AVERAGING_TIME_MS = 10_000
DOMAIN_MARGIN_MS = 20
DOMAIN_ADJUST_INTERVAL_MS = 250
DOMAIN_SHARE_STEP = 0.005
DOMAIN_FULL_STEP_GAP_MS = 100


class HealthChecker(Protocol):
    """The interface between request dispatch and the health checks of backend servers."""

    def on_dispatched(self, server: str, now_ms: int) -> object:
        """Record the start of an attempt; at an ejected server, the attempt is the probe."""

    def on_success(self, server: str, latency_ms: int, now_ms: int) -> None:
        """Record a complete answer."""

    def on_failure(self, server: str, kind: FailureKind, now_ms: int) -> None:
        """Record a failed attempt."""

    def ejected(self, now_ms: int) -> frozenset[str]:
        """Return the ejected servers, that is, unhealthy ones that get only probes."""

    def may_dispatch(self, server: str, idempotent: bool, now_ms: int) -> bool:
        """Return whether a server may get a request now; the request may count as a probe."""

    def slots(self, server: str, now_ms: int) -> int:
        """Return the usable slots of a server."""

    def weight(self, server: str, now_ms: int) -> float:
        """Return the fraction of its normal load that a server should get."""


class _ServerOccupancy:
    """The occupied slots, recent refusals and recent use of one server."""

    def __init__(self, *, server: BackendServer) -> None:
        self.server = server
        self.busy = 0
        self.consecutive_refusals = 0
        self.paused_until_ms = 0
        self.usage_ms = 0.0
        self.usage_updated_at_ms = 0

    def update_usage(self, now_ms: int) -> None:
        """Update the exponentially decayed busy time to ``now_ms``."""
        elapsed_ms = max(0, now_ms - self.usage_updated_at_ms)
        kept = math.exp(-elapsed_ms / USAGE_AVERAGING_TIME_MS)
        self.usage_ms = self.usage_ms * kept + self.busy * USAGE_AVERAGING_TIME_MS * (1 - kept)
        self.usage_updated_at_ms = now_ms


class ServerSlots:
    """Counts the occupied slots of the backend servers of one service in one failure domain."""

    def __init__(self, *, health: HealthChecker, random_source: RandomSource) -> None:
        self._health = health
        self._random_source = random_source
        self._servers: dict[str, _ServerOccupancy] = {}
        self._warm_up_end_ms = 0

    def set_servers(self, servers: Sequence[BackendServer], now_ms: int) -> None:
        """Update the declared servers; keep the counters of those that stay."""
        kept: dict[str, _ServerOccupancy] = {}
        for server in servers:
            use = self._servers.get(server.name)
            if use is None:
                use = _ServerOccupancy(server=server)
                use.usage_updated_at_ms = now_ms
            use.server = server
            kept[server.name] = use
        self._servers = kept

    def begin_warm_up(self, now_ms: int) -> None:
        """Limit each server to one slot for ``WARM_UP_MS``.

        A new dispatcher does not know the requests that the earlier one has in flight.
        """
        self._warm_up_end_ms = now_ms + WARM_UP_MS

    def total(self, now_ms: int) -> int:
        """Return the usable slots of all servers."""
        ejected = self._health.ejected(now_ms)
        return sum(
            self._capacity(use, now_ms)
            for name, use in self._servers.items()
            if name not in ejected and use.server.state is ServerState.ACTIVE
        )

    def busy(self, server: str) -> int:
        """Return the occupied slots of a server."""
        use = self._servers.get(server)
        return 0 if use is None else use.busy

    def busy_by_server(self) -> dict[str, int]:
        """Return the occupied slots of each server."""
        return {name: use.busy for name, use in self._servers.items()}

    def choose(self, *, idempotent: bool, exclude: frozenset[str], now_ms: int) -> str | None:
        """Return a server with a free slot: the least occupied, then the least used recently."""
        ranked = sorted(
            (self._load_key(use, now_ms), name)
            for name, use in self._servers.items()
            if name not in exclude and self._has_free_slot(use, now_ms)
        )
        for _, name in ranked:
            if self._health.may_dispatch(name, idempotent, now_ms):
                return name
        return None

    def occupy(self, server: str, now_ms: int) -> None:
        """Occupy a slot for a request that starts at a server."""
        use = self._servers[server]
        use.update_usage(now_ms)
        use.busy += 1

    def release(self, server: str, now_ms: int) -> None:
        """Release the slot of a request that ended at a server."""
        use = self._servers.get(server)
        if use is None:
            return
        use.update_usage(now_ms)
        use.busy = max(0, use.busy - 1)

    def note_answer(self, server: str) -> None:
        """Reset the consecutive refusals of a server that answered a request."""
        use = self._servers.get(server)
        if use is not None:
            use.consecutive_refusals = 0

    def note_refusal(self, server: str, now_ms: int) -> None:
        """Pause a server that did not start a request; other dispatchers may occupy its slots."""
        use = self._servers.get(server)
        if use is None:
            return
        use.consecutive_refusals += 1
        pause_ms = backoff_ms(
            use.consecutive_refusals, self._random_source, limit_ms=REFUSAL_PAUSE_LIMIT_MS
        )
        use.paused_until_ms = now_ms + pause_ms

    def _capacity(self, use: _ServerOccupancy, now_ms: int) -> int:
        slots = min(use.server.slots, self._health.slots(use.server.name, now_ms))
        return min(slots, WARM_UP_SLOTS) if now_ms < self._warm_up_end_ms else slots

    def _has_free_slot(self, use: _ServerOccupancy, now_ms: int) -> bool:
        if use.server.state is not ServerState.ACTIVE or now_ms < use.paused_until_ms:
            return False
        # An ejected server has no usable slot but may get a probe.
        return use.busy < max(1, self._capacity(use, now_ms))

    def _load_key(self, use: _ServerOccupancy, now_ms: int) -> tuple[float, float]:
        use.update_usage(now_ms)
        weight = max(0.01, self._health.weight(use.server.name, now_ms))
        capacity = max(1, use.server.slots) * weight
        return use.busy / capacity, use.usage_ms / capacity


class DomainLoad(NamedTuple):
    """The advertised wait of a failure domain's dispatcher, its link cost and its slots.

    The link cost is the configured cost of sending a request to the failure domain, as an
    additional wait.
    """

    wait_ms: int
    link_cost_ms: int
    slots: int

    @property
    def cost_ms(self) -> int:
        """Return the cost seen from the local failure domain: the wait plus the link cost."""
        return self.wait_ms + self.link_cost_ms


class DomainChooser:
    """Distributes the new requests of one service among the failure domains.

    Advertised waits are about 1 s old, and all entry hosts read the same ones. Moving all requests
    at once would therefore make the load oscillate between failure domains. The shares change in
    small steps instead; while the costs differ by no more than a margin, requests only return
    slowly to the local failure domain.
    """

    def __init__(self, *, local_domain: str, random_source: RandomSource) -> None:
        self._local_domain = local_domain
        self._random_source = random_source
        self._shares: dict[str, float] = {}
        self._next_adjustment_ms = 0

    def shares(self) -> dict[str, float]:
        """Return the current share of each failure domain."""
        return dict(self._shares)

    def choose(self, loads: Mapping[str, DomainLoad], now_ms: int) -> str | None:
        """Return the failure domain for one request; None when no domain has servers."""
        if not loads:
            return None
        if self._shares.keys() != loads.keys():
            self._shares = self._first_shares(loads)
            self._next_adjustment_ms = now_ms + DOMAIN_ADJUST_INTERVAL_MS
        elif now_ms >= self._next_adjustment_ms:
            self._adjust_shares(loads)
            self._next_adjustment_ms = now_ms + DOMAIN_ADJUST_INTERVAL_MS
        return self._pick_domain()

    def _first_shares(self, loads: Mapping[str, DomainLoad]) -> dict[str, float]:
        if self._local_domain in loads:
            return {name: float(name == self._local_domain) for name in loads}
        total = sum(load.slots for load in loads.values())
        if total == 0:
            return {name: 1 / len(loads) for name in loads}
        return {name: load.slots / total for name, load in loads.items()}

    def _adjust_shares(self, loads: Mapping[str, DomainLoad]) -> None:
        used = [name for name, share in self._shares.items() if share > 0]
        worst = max(used, key=lambda name: (loads[name].cost_ms, name != self._local_domain))
        best = min(loads, key=lambda name: (loads[name].cost_ms, name != self._local_domain))
        gap_ms = loads[worst].cost_ms - loads[best].cost_ms
        if gap_ms > DOMAIN_MARGIN_MS:
            self._shift_share(
                worst, best, DOMAIN_SHARE_STEP * min(1.0, gap_ms / DOMAIN_FULL_STEP_GAP_MS)
            )
        elif best == self._local_domain and worst != best:
            self._shift_share(worst, best, DOMAIN_SHARE_STEP / 4)

    def _shift_share(self, source: str, target: str, share: float) -> None:
        moved = min(share, self._shares[source])
        self._shares[source] -= moved
        self._shares[target] += moved

    def _pick_domain(self) -> str:
        remaining_share = self._random_source.random()
        for name, share in self._shares.items():
            remaining_share -= share
            if remaining_share < 0:
                return name
        return max(self._shares, key=lambda name: self._shares[name])
