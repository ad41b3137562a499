"""Order of probes, pending probes, and probes relayed for other hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingswitch._internal.ports import RandomSource

MAX_RELAYED_PROBES = 64
RELAYED_PROBE_TIMEOUT_MS = 1_000


class PendingProbe(NamedTuple):
    """A probe without an answer; ``indirect`` once other hosts were asked to probe the target."""

    target: str
    sequence: int
    in_local_domain: bool
    indirect: bool
    deadline_ms: int


class RelayedProbe(NamedTuple):
    """A probe made for ``requester``, whose ack carries ``requester_sequence``."""

    requester: str
    requester_sequence: int
    target: str
    deadline_ms: int


class ProbeOrder:
    """Selects hosts in shuffled rounds, so that each is probed once per round."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._round: list[str] = []

    def next(self, names: Iterable[str], is_candidate: Callable[[str], bool]) -> str | None:
        """Return the next candidate among ``names``, or None if there is none."""
        while self._round:
            host = self._round.pop()
            if is_candidate(host):
                return host
        candidates = sorted(host for host in names if is_candidate(host))
        self._random.shuffle(candidates)
        self._round = candidates
        return self._round.pop() if self._round else None


class PendingProbes:
    """Probes without an answer, at most one per target."""

    def __init__(self) -> None:
        self._by_target: dict[str, PendingProbe] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._by_target

    def put(self, probe: PendingProbe) -> None:
        """Add ``probe``, replacing an earlier one of the same target."""
        self._by_target[probe.target] = probe

    def discard_answered(self, target: str, sequence: int) -> None:
        """Remove the probe of ``target`` if ``sequence`` matches."""
        probe = self._by_target.get(target)
        if probe is not None and probe.sequence == sequence:
            del self._by_target[target]

    def clear(self) -> None:
        """Remove all probes."""
        self._by_target.clear()

    def take_due(self, now_ms: int) -> list[PendingProbe]:
        """Remove and return the probes whose deadline has passed."""
        due = [probe for probe in self._by_target.values() if now_ms >= probe.deadline_ms]
        for probe in due:
            del self._by_target[probe.target]
        return due

    def next_deadline_ms(self) -> int | None:
        """Return the earliest deadline, or None."""
        return min((probe.deadline_ms for probe in self._by_target.values()), default=None)


class RelayedProbes:
    """Probes made for other hosts, at most ``MAX_RELAYED_PROBES`` of them."""

    def __init__(self) -> None:
        self._by_sequence: dict[int, RelayedProbe] = {}

    def put(self, sequence: int, relayed_probe: RelayedProbe, now_ms: int) -> bool:
        """Add a relayed probe; return False if there are too many."""
        self.expire(now_ms)
        if len(self._by_sequence) >= MAX_RELAYED_PROBES:
            return False
        self._by_sequence[sequence] = relayed_probe
        return True

    def take(self, sequence: int, sender: str) -> RelayedProbe | None:
        """Remove and return the relayed probe that an ack from ``sender`` completes, or None."""
        relayed_probe = self._by_sequence.get(sequence)
        if relayed_probe is None or relayed_probe.target != sender:
            return None
        return self._by_sequence.pop(sequence)

    def expire(self, now_ms: int) -> None:
        """Remove the relayed probes whose deadline has passed."""
        waiting = self._by_sequence.items()
        self._by_sequence = {key: each for key, each in waiting if each.deadline_ms > now_ms}
