"""Servers that the hosts together find silent or slow, and when this host tries them again."""

from __future__ import annotations

import math
from collections.abc import Collection, Container, Mapping
from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.decisions.load_sharing.server_sums import (
    MIN_OVERDUE_REQUESTS,
    MIN_SILENT_HOSTS,
    SLOW_RELATIVE_TIME,
    TENTHS,
    mean_relative_time,
    overdue_ratio,
)
from redwingswitch._internal.models.load_sharing import HALF_LIFE_MS, MAX_AGE_CS, ServerSums
from redwingswitch._internal.ports import RandomSource

MS_PER_S = 1_000
MIN_OVERDUE_RATIO = 0.2
# A server that is avoided for overdue requests stays so down to this ratio.
MIN_HELD_OVERDUE_RATIO = 0.1
# In an overload, requests are overdue at all servers because they wait.
MIN_OVERDUE_TO_MEAN = 2.0
# Where requests queue at all servers, chance makes up to two fifths of them overdue at some. A
# server that leaves two fifths of its requests unanswered gets above this within a second, as they
# add up.
MIN_QUEUED_OVERDUE_RATIO = 0.5
# A mean of fewer answers says little about a server, since the work of requests differs.
MIN_ANSWERS_TENTHS = 40
# The excess of a mean counts from this many standard errors on. One answer varies by about its
# mean, and answers that wait in one queue vary together.
MIN_STANDARD_ERRORS = 4.0
# Less than half an answer is mostly rounding.
MIN_NEW_ANSWERS_TENTHS = 5.0
# A server's service times count once all hosts have been asked for them. Before that, only those
# hosts report that saw long ones.
SLOW_CONFIRMATION_MS = 1_000
# How long a server is avoided after the sums last spoke against it. Few flows reach it meanwhile,
# so that the sums say little.
HOLD_MS = 3_000
# Each failure domain sends an avoided server about one new flow in this time.
PROBE_INTERVAL_MS = 1_000


class Fault(StrEnum):
    """Why a server is avoided; the values are in log lines and metric labels."""

    SILENT = "silent"
    OVERDUE = "overdue"
    SLOW = "slow"


class AvoidedServer(NamedTuple):
    """A server with a fault, until ``deadline_ms`` unless the sums confirm it again.

    ``silent_hosts``, ``overdue_ratio`` and ``relative_time`` are the latest sums that spoke against
    it, of ``sums``. They were taken at ``updated_ms``.
    """

    fault: Fault
    silent_hosts: int
    overdue_ratio: float
    relative_time: float
    sums: ServerSums
    updated_ms: int
    deadline_ms: int


class FaultChange(NamedTuple):
    """A server that is avoided from now on, or no longer if ``avoided`` is None."""

    server_id: str
    avoided: AvoidedServer | None


class AvoidedServers:
    """Servers that get new flows only as probes, or when all others would take longer."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._avoided: dict[str, AvoidedServer] = {}
        self._next_probe_ms: dict[str, int] = {}
        # Since when the sums name a server, and how many hosts share the probes.
        self._named_since_ms: dict[str, int] = {}
        self._host_count = 1
        self._have_flows_moved = False
        self._min_overdue_ratio = MIN_OVERDUE_RATIO
        self._queueing: Container[str] = frozenset()
        self._changes: list[FaultChange] = []

    def __bool__(self) -> bool:
        return bool(self._avoided)

    def get(self, server_id: str) -> AvoidedServer | None:
        """Return the fault of a server, or None."""
        return self._avoided.get(server_id)

    def items(self) -> Collection[tuple[str, AvoidedServer]]:
        """Return all avoided servers by id."""
        return self._avoided.items()

    def take_changes(self) -> list[FaultChange]:
        """Return the changes since the last call."""
        taken = self._changes
        self._changes = []
        return taken

    def update(
        self,
        entries: Mapping[str, ServerSums],
        *,
        host_count: int,
        load_factors: Mapping[str, float],
        queueing: Container[str],
        mean_overdue_ratio: float,
        have_flows_moved: bool,
        now_ms: int,
    ) -> None:
        """Take the sums of the servers that the reader names.

        No server is newly avoided for overdue requests while flows move between hosts: the host
        that has sent a request to the server then misses the answer.

        ``load_factors`` says how many times longer than at other servers a request takes because of
        a server's load. It does not count as slow for that, since its load counts by itself.
        ``queueing`` are the servers of services that have queues on average.
        """
        self._min_overdue_ratio = max(MIN_OVERDUE_RATIO, MIN_OVERDUE_TO_MEAN * mean_overdue_ratio)
        self._queueing = queueing
        self._host_count = host_count
        self._have_flows_moved = have_flows_moved
        self._named_since_ms = {name: self._named_since_ms.get(name, now_ms) for name in entries}
        for server_id in set(self._avoided) | set(entries):
            known = self._avoided.get(server_id)
            factor = load_factors.get(server_id, 1.0)
            avoided = self._judge(server_id, entries.get(server_id), known, factor, now_ms)
            if avoided is None:
                self._drop(server_id)
                continue
            self._avoided[server_id] = avoided
            if known is None:
                # Random, so that the hosts do not all probe at once.
                interval_ms = PROBE_INTERVAL_MS * host_count
                self._next_probe_ms[server_id] = now_ms + int(interval_ms * self._random.random())
            if known is None or known.fault is not avoided.fault:
                self._changes.append(FaultChange(server_id, avoided))

    def clear(self) -> None:
        """Avoid no server any more."""
        for server_id in list(self._avoided):
            self._drop(server_id)
        self._named_since_ms.clear()

    def is_probe_due(self, server_id: str, now_ms: int) -> bool:
        """Return whether this host should send an avoided server a new flow."""
        return now_ms >= self._next_probe_ms.get(server_id, now_ms + 1)

    def on_probe(self, server_id: str, now_ms: int) -> None:
        """Record that an avoided server was sent a new flow."""
        if server_id in self._avoided:
            interval_ms = PROBE_INTERVAL_MS * self._host_count
            self._next_probe_ms[server_id] = now_ms + int(
                interval_ms * (0.5 + self._random.random())
            )

    def _judge(
        self,
        server_id: str,
        entry: ServerSums | None,
        known: AvoidedServer | None,
        load_factor: float,
        now_ms: int,
    ) -> AvoidedServer | None:
        if entry is None:
            return known if known is not None and now_ms < known.deadline_ms else None
        is_settled = now_ms - self._named_since_ms[server_id] >= SLOW_CONFIRMATION_MS
        relative_time = mean_relative_time(entry) / load_factor
        min_overdue_ratio = self._min_overdue_ratio
        if server_id in self._queueing:
            min_overdue_ratio = max(min_overdue_ratio, MIN_QUEUED_OVERDUE_RATIO)
        fault = _find_fault(entry, relative_time if is_settled else 1.0, min_overdue_ratio)
        is_new = known is None or known.fault is not fault
        if fault is Fault.OVERDUE and is_new and self._have_flows_moved:
            fault = None
        if fault is not None:
            return AvoidedServer(
                fault=fault,
                silent_hosts=entry.silent_hosts,
                overdue_ratio=overdue_ratio(entry),
                relative_time=relative_time,
                sums=entry,
                updated_ms=now_ms,
                deadline_ms=now_ms + HOLD_MS,
            )
        if known is None or now_ms >= known.deadline_ms:
            return None
        if known.fault is Fault.SILENT and _answers(entry):
            return None
        if known.fault is Fault.SLOW and entry.answers_tenths >= MIN_ANSWERS_TENTHS:
            return None
        if _speaks_against(known, entry, now_ms):
            return known._replace(sums=entry, updated_ms=now_ms, deadline_ms=now_ms + HOLD_MS)
        return known

    def _drop(self, server_id: str) -> None:
        if self._avoided.pop(server_id, None) is not None:
            self._next_probe_ms.pop(server_id, None)
            self._changes.append(FaultChange(server_id, None))


def _find_fault(entry: ServerSums, relative_time: float, min_overdue_ratio: float) -> Fault | None:
    if entry.silent_hosts >= MIN_SILENT_HOSTS:
        return Fault.SILENT
    if entry.overdue_requests >= MIN_OVERDUE_REQUESTS and overdue_ratio(entry) >= min_overdue_ratio:
        return Fault.OVERDUE
    is_slow = (
        entry.answers_tenths >= MIN_ANSWERS_TENTHS
        and relative_time >= SLOW_RELATIVE_TIME
        and (relative_time - 1) * math.sqrt(entry.answers_tenths / TENTHS) >= MIN_STANDARD_ERRORS
    )
    return Fault.SLOW if is_slow else None


def _answers(entry: ServerSums) -> bool:
    """Return whether the last unanswered opening packet was followed by an answer."""
    return entry.unanswered_hosts == 0 and entry.answer_age_cs < MAX_AGE_CS


def _speaks_against(known: AvoidedServer, entry: ServerSums, now_ms: int) -> bool:
    """Return whether the sums still show a fault, though too few events to begin with it.

    What the sums had before says nothing about a slow server: only new answers count.
    """
    if known.fault is Fault.SILENT:
        return entry.unanswered_hosts > 0
    if known.fault is Fault.OVERDUE:
        return overdue_ratio(entry) >= MIN_HELD_OVERDUE_RATIO
    rest: float = 0.5 ** ((now_ms - known.updated_ms) / HALF_LIFE_MS)
    answers = entry.answers_tenths - rest * known.sums.answers_tenths
    time = entry.relative_time_tenths - rest * known.sums.relative_time_tenths
    return answers >= MIN_NEW_ANSWERS_TENTHS and time >= SLOW_RELATIVE_TIME * answers
