"""The plan of a shortage: how many flows a second of each route are admitted."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from itertools import groupby
from typing import Protocol

from redwingswitch._internal.decisions.flow_admission.shortage import MS_PER_S, RouteLoad
from redwingswitch._internal.models.cookie_flows import RouteAddress

# Part of the room that each route keeps while it has demand, so that none starves.
MIN_ROUTE_RATIO = 0.05


class RatePlan(Protocol):
    """Shares the room of a service among its routes."""

    def __call__(
        self, loads: Sequence[RouteLoad], room_slots: float
    ) -> Mapping[RouteAddress, float]:
        """Return the admitted flows a second of each route with demand."""


def admitted_rates(loads: Sequence[RouteLoad], room_slots: float) -> dict[RouteAddress, float]:
    """Return the admitted flows a second of each route.

    Each route first gets its demand up to ``MIN_ROUTE_RATIO`` of the room. The rest goes to the
    priorities in order, and is shared max-min fairly by slots within a priority.
    """
    with_demand = [load for load in loads if load.slots > 0]
    if not with_demand:
        return {}
    floor = room_slots * min(MIN_ROUTE_RATIO, 1 / len(with_demand))
    granted = {load.destination: min(load.slots, floor) for load in with_demand}
    left = room_slots - sum(granted.values())
    by_priority = sorted(with_demand, key=lambda load: load.priority)
    for _, group in groupby(by_priority, key=lambda load: load.priority):
        wanted = {load.destination: load.slots for load in group}
        shares = max_min_shares(wanted, left + sum(granted[key] for key in wanted))
        left -= sum(max(0.0, shares[key] - granted[key]) for key in wanted)
        granted.update({key: max(granted[key], shares[key]) for key in wanted})
    return {
        load.destination: granted[load.destination] * MS_PER_S / load.work_ms
        for load in with_demand
    }


def max_min_shares(wanted: Mapping[RouteAddress, float], room: float) -> dict[RouteAddress, float]:
    """Share ``room`` max-min fairly (Bertsekas and Gallager, Data Networks, 1992, section 6.5)."""
    shares: dict[RouteAddress, float] = {}
    for index, key in enumerate(sorted(wanted, key=lambda key: wanted[key])):
        shares[key] = min(wanted[key], max(0.0, room) / (len(wanted) - index))
        room -= shares[key]
    return shares
