"""Estimate of room and expected wait at a service's servers, and the evidence of a shortage."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from redwingswitch._internal.decisions.flow_admission.sources import UsableRoom
from redwingswitch._internal.models.cookie_flows import RouteAddress

MS_PER_S = 1_000
# Servers queue this many requests and refuse further ones.
SERVER_QUEUE_LIMIT = 8
# Part of the servers' queues that may be filled on average: servers fill unevenly, and a full one
# refuses requests before the others are full.
QUEUE_FILL_RATIO = 0.5
# Part of the latency goal that the wait and the work at a server may take.
GOAL_RATIO = 0.5
# Part of the harmless wait that the plan aims at. Flows are spread unevenly over the servers, so
# with less, some servers would have nothing to do.
TARGET_WAIT_RATIO = 0.5
# While flows are held back, busy flows may fall below the room without the end of the shortage.
RELEASE_RATIO = 0.5
# Answers that take this many times their work have waited at the servers. Sums of demand and of
# busy flows follow the end of a burst seconds later.
MIN_FULL_STRETCH = 1.5


class RouteLoad(NamedTuple):
    """The demand of one route at a service, with what its flows ask for."""

    destination: RouteAddress
    priority: int
    requests_per_s: float
    work_ms: float
    latency_goal_ms: int

    @property
    def slots(self) -> float:
        """Return the number of slots that the demand keeps busy."""
        return self.requests_per_s * self.work_ms / MS_PER_S


class LoadEstimate(NamedTuple):
    """The state of a service.

    ``server_wait_ms`` is the expected wait at the servers. ``target_stretch`` is the ratio of
    service time to work at the wait that the plan aims at. ``is_short``: flows beyond the plan
    wait. ``is_full``: all slots are busy too, so that flows may be rejected.
    """

    demand_slots: float
    room_slots: float
    busy_flows: int
    server_wait_ms: float
    target_stretch: float
    is_short: bool
    is_full: bool


def estimate_load(
    loads: Sequence[RouteLoad],
    *,
    usable: UsableRoom,
    busy_flows: int,
    known_ratio: float,
    was_short: bool,
    stretch: float | None = None,
) -> LoadEstimate:
    """Estimate the state of a service from fresh sums.

    ``known_ratio`` is the part of the failure domains whose sums are known. The slots count in this
    proportion, as the servers also serve the other domains. A shortage begins when demand
    exceeds room and the busy flows are more than is harmless, and goes on while demand exceeds
    room and slots are busy.
    """
    room = usable.slots * known_ratio
    demand = sum(load.slots for load in loads)
    requests_per_s = sum(load.requests_per_s for load in loads)
    if room <= 0 or requests_per_s <= 0:
        return LoadEstimate(demand, room, busy_flows, 0.0, 0.0, is_short=False, is_full=False)
    mean_work_ms = demand * MS_PER_S / requests_per_s
    harmless_ratio = _harmless_busy_ratio(loads, usable, mean_work_ms)
    begin_ratio = RELEASE_RATIO if was_short else harmless_ratio
    exceeds_room = demand > room
    return LoadEstimate(
        demand_slots=demand,
        room_slots=room,
        busy_flows=busy_flows,
        server_wait_ms=max(0.0, busy_flows / room - 1) * mean_work_ms,
        target_stretch=1 + TARGET_WAIT_RATIO * _harmless_wait(loads, usable, mean_work_ms, 1.0),
        is_short=exceeds_room and busy_flows >= room * begin_ratio,
        is_full=exceeds_room
        and busy_flows >= room
        and (stretch is None or stretch >= MIN_FULL_STRETCH),
    )


def _harmless_busy_ratio(
    loads: Sequence[RouteLoad], usable: UsableRoom, mean_work_ms: float
) -> float:
    """Return the busy flows for each slot up to which queues at servers harm no caller."""
    return 1 + _harmless_wait(loads, usable, mean_work_ms, QUEUE_FILL_RATIO)


def _harmless_wait(
    loads: Sequence[RouteLoad], usable: UsableRoom, mean_work_ms: float, queue_ratio: float
) -> float:
    """Return the wait, relative to the work, that harms no caller and that queues can hold."""
    tightest = min(loads, key=lambda load: load.latency_goal_ms)
    harmless_wait_ms = max(0.0, tightest.latency_goal_ms * GOAL_RATIO - tightest.work_ms)
    queued_per_slot = SERVER_QUEUE_LIMIT * queue_ratio * usable.servers / usable.slots
    return min(harmless_wait_ms / mean_work_ms, queued_per_slot)
