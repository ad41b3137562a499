"""Evidence, from passing packets alone, that a backend server does not answer."""

from __future__ import annotations

from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.cookie_flows import FlowId
from redwingswitch._internal.ports import RandomSource

# One lost packet stalls one flow; two flows that stall with no progress between them do not.
STALLED_FLOWS_TO_SUSPECT = 2
# The third transmission of the same data: the first two were not acknowledged for 600 ms.
REPEATS_TO_SUSPECT = 2
# A server that answered this lately is not suspected, whatever older packets say.
ALIVE_MS = 150
# A suspected server is offered one new flow after this pause, which doubles with each failure. The
# caller of such a flow loses 200 ms, until its second opening packet.
FIRST_TRIAL_MS = 1_000
LAST_TRIAL_MS = 4_000


class _ServerEvidence:
    __slots__ = ("alive_ms", "failed_trials", "stalled", "suspected", "trial_ms")

    def __init__(self) -> None:
        self.alive_ms: int | None = None
        self.stalled: set[FlowId] = set()
        self.suspected = False
        self.trial_ms = 0
        self.failed_trials = 0


class PathEvidence:
    """Suspects servers whose flows stall together; one answer clears a server.

    The evidence is about the path from this host to the server, so it also covers a network
    partition between them.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._servers: dict[str, _ServerEvidence] = {}
        self._suspected: set[str] = set()

    def on_answer(self, server_id: str, now_ms: int) -> bool:
        """Note that a server answered; return whether it was suspected."""
        seen = self._servers.get(server_id)
        if seen is None:
            seen = self._servers[server_id] = _ServerEvidence()
        seen.alive_ms = now_ms
        if not seen.stalled and not seen.suspected:
            return False
        seen.stalled.clear()
        seen.failed_trials = 0
        was_suspected = seen.suspected
        seen.suspected = False
        self._suspected.discard(server_id)
        return was_suspected

    def on_opening_unanswered(self, server_id: str, flow: FlowId, now_ms: int) -> bool:
        """Note that an opening packet got no answer in time; return whether suspicion begins."""
        return self._on_stall(server_id, flow, now_ms, enough=False)

    def on_repeated_data(self, server_id: str, flow: FlowId, repeats: int, now_ms: int) -> bool:
        """Note that data was sent again; return whether suspicion begins."""
        if repeats < REPEATS_TO_SUSPECT:
            return False
        return self._on_stall(server_id, flow, now_ms, enough=repeats > REPEATS_TO_SUSPECT)

    def is_suspected(self, server_id: str) -> bool:
        """Return whether a server is suspected."""
        return server_id in self._suspected

    def suspected(self) -> frozenset[str]:
        """Return the suspected servers."""
        return frozenset(self._suspected)

    def answered_since(self, server_id: str, since_ms: int) -> bool:
        """Return whether a server answered at ``since_ms`` or later."""
        seen = self._servers.get(server_id)
        return seen is not None and seen.alive_ms is not None and seen.alive_ms >= since_ms

    def is_due_for_trial(self, server_id: str, now_ms: int) -> bool:
        """Return whether a suspected server may be offered one flow."""
        seen = self._servers.get(server_id)
        return seen is not None and seen.suspected and now_ms >= seen.trial_ms

    def on_trial(self, server_id: str, now_ms: int) -> None:
        """Note that a suspected server was offered a flow."""
        seen = self._servers[server_id]
        seen.failed_trials += 1
        seen.trial_ms = now_ms + self._trial_pause_ms(seen.failed_trials)

    def forget(self, server_id: str) -> None:
        """Drop the evidence about a server that ended or started again."""
        self._servers.pop(server_id, None)
        self._suspected.discard(server_id)

    def _on_stall(self, server_id: str, flow: FlowId, now_ms: int, *, enough: bool) -> bool:
        seen = self._servers.get(server_id)
        if seen is None:
            seen = self._servers[server_id] = _ServerEvidence()
        if seen.suspected or (seen.alive_ms is not None and now_ms - seen.alive_ms < ALIVE_MS):
            return False
        seen.stalled.add(flow)
        if len(seen.stalled) < STALLED_FLOWS_TO_SUSPECT and not enough:
            return False
        seen.suspected = True
        seen.stalled.clear()
        seen.trial_ms = now_ms + self._trial_pause_ms(1)
        self._suspected.add(server_id)
        return True

    def _trial_pause_ms(self, attempt: int) -> int:
        return backoff_ms(attempt, self._random, base_ms=FIRST_TRIAL_MS, limit_ms=LAST_TRIAL_MS)
