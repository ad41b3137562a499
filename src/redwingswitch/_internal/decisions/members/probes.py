"""Round-robin order of probes, probes that wait for an answer, and probes made for others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingswitch._internal.ports import RandomSource

MAX_RELAYED_PROBES = 64
RELAYED_PROBE_TIMEOUT_MS = 1_000


class PendingProbe(NamedTuple):
    """A probe without an answer yet; ``indirect`` once other hosts were asked to help."""

    target: str
    sequence: int
    near: bool
    indirect: bool
    deadline_ms: int


class RelayedProbe(NamedTuple):
    """A probe made for another host, which gets the answer under its own sequence number."""

    requester: str
    requester_sequence: int
    target: str
    deadline_ms: int


class ProbeOrder:
    """Names hosts in shuffled rounds, so that each is probed once a round."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._round: list[str] = []

    def next(self, names: Iterable[str], is_candidate: Callable[[str], bool]) -> str | None:
        """Return the next of ``names`` that is a candidate, or None without candidates."""
        while self._round:
            host = self._round.pop()
            if is_candidate(host):
                return host
        candidates = sorted(host for host in names if is_candidate(host))
        self._random.shuffle(candidates)
        self._round = candidates
        return self._round.pop() if self._round else None


class PendingProbes:
    """Probes that wait for an answer, at most one for each target."""

    def __init__(self) -> None:
        self._by_target: dict[str, PendingProbe] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._by_target

    def put(self, probe: PendingProbe) -> None:
        """Wait for the answer to ``probe``."""
        self._by_target[probe.target] = probe

    def discard_answered(self, target: str, sequence: int) -> None:
        """Forget the probe of ``target`` if ``sequence`` belongs to it."""
        probe = self._by_target.get(target)
        if probe is not None and probe.sequence == sequence:
            del self._by_target[target]

    def clear(self) -> None:
        """Forget all probes, because answers may have been missed during a pause."""
        self._by_target.clear()

    def take_due(self, now_ms: int) -> list[PendingProbe]:
        """Remove and return the probes whose deadline has passed."""
        due = [probe for probe in self._by_target.values() if now_ms >= probe.deadline_ms]
        for probe in due:
            del self._by_target[probe.target]
        return due

    def next_deadline_ms(self) -> int | None:
        """Return the earliest deadline."""
        return min((probe.deadline_ms for probe in self._by_target.values()), default=None)


class RelayedProbes:
    """Probes made for other hosts; bounded, and forgotten after ``RELAYED_PROBE_TIMEOUT_MS``."""

    def __init__(self) -> None:
        self._by_sequence: dict[int, RelayedProbe] = {}

    def put(self, sequence: int, relayed_probe: RelayedProbe, now_ms: int) -> bool:
        """Keep a relay; return False when too many wait already."""
        self.expire(now_ms)
        if len(self._by_sequence) >= MAX_RELAYED_PROBES:
            return False
        self._by_sequence[sequence] = relayed_probe
        return True

    def take(self, sequence: int, sender: str) -> RelayedProbe | None:
        """Remove and return the relay that an answer from ``sender`` completes."""
        relayed_probe = self._by_sequence.get(sequence)
        if relayed_probe is None or relayed_probe.target != sender:
            return None
        return self._by_sequence.pop(sequence)

    def expire(self, now_ms: int) -> None:
        """Forget relays whose deadline has passed."""
        waiting = self._by_sequence.items()
        self._by_sequence = {key: each for key, each in waiting if each.deadline_ms > now_ms}
