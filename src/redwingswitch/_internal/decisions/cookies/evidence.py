"""Evidence, from passing packets alone, that backend servers do not answer."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from redwingswitch._internal.decisions.retry import backoff_ms
from redwingswitch._internal.models.cookie_flows import FlowId, ListedServer, Suspicion
from redwingswitch._internal.ports import RandomSource

# One lost packet stalls one flow. With 0.3 % of the openings lost, two that stall without an answer
# between them are rare enough to avoid a server, and three that another server answered at once are
# rare enough to end its flows.
STALLED_FLOWS_TO_SUSPECT = 2
STALLED_FLOWS_TO_CONDEMN = 3
# The failure domain of the server counts as well when this many of its servers stall.
STALLED_SERVERS_OF_DOMAIN = 2
# The third transmission of the same data: the first two were not acknowledged for 600 ms. Work that
# takes longer than 200 ms is sent twice on healthy servers too.
REPEATS_TO_COUNT = 2
# Stalls that are further apart than this are separate losses.
STALL_MEMORY_MS = 2_000
# A server that answered this lately is not suspected: the packets that stalled are older. Longer
# than the time limit of an opening and a round trip between failure domains.
ALIVE_MS = 60
# A suspected server or failure domain is offered one new flow after this pause, which doubles with
# each failure. The caller of such a flow loses the time until its opening packet is sent elsewhere.
FIRST_TRIAL_MS = 500
LAST_TRIAL_MS = 4_000


class _Stall(NamedTuple):
    """A flow that a server did not answer; confirmed when the caller's packets still came here."""

    server_id: str
    flow: FlowId
    is_confirmed: bool


class _Silence:
    """Stalls since the last answer of a server, or of any server of a failure domain."""

    __slots__ = ("_needed_servers", "alive_ms", "failed_trials", "level", "stalls", "trial_ms")

    def __init__(self, *, needed_servers: int) -> None:
        self._needed_servers = needed_servers
        self.alive_ms: int | None = None
        self.stalls: dict[_Stall, int] = {}
        self.level = Suspicion.NONE
        self.trial_ms = 0
        self.failed_trials = 0

    def end(self, now_ms: int) -> None:
        """Note an answer."""
        self.alive_ms = now_ms
        if self.stalls:
            self.stalls.clear()
        if self.level is not Suspicion.NONE:
            self.level = Suspicion.NONE
            self.failed_trials = 0

    def add(self, stall: _Stall, now_ms: int) -> bool:
        """Note a stall; return whether the suspicion rises."""
        if self.alive_ms is not None and now_ms - self.alive_ms < ALIVE_MS:
            return False
        if self.level is Suspicion.NONE:
            self._forget_old(now_ms)
        self.stalls[stall] = now_ms
        level = self._level()
        if level <= self.level:
            return False
        self.level = level
        return True

    def _forget_old(self, now_ms: int) -> None:
        old = [s for s, noted_ms in self.stalls.items() if now_ms - noted_ms > STALL_MEMORY_MS]
        for stall in old:
            del self.stalls[stall]

    def _level(self) -> Suspicion:
        if len({stall.server_id for stall in self.stalls}) < self._needed_servers:
            return Suspicion.NONE
        confirmed = {stall.flow for stall in self.stalls if stall.is_confirmed}
        if len(confirmed) >= STALLED_FLOWS_TO_CONDEMN:
            return Suspicion.CONDEMNED
        flows = {stall.flow for stall in self.stalls}
        return Suspicion.SUSPECTED if len(flows) >= STALLED_FLOWS_TO_SUSPECT else Suspicion.NONE


class PathEvidence:
    """Suspects servers, or whole failure domains, whose flows stall together.

    One answer clears a server and its failure domain. The evidence is about the path from this
    host, so it also covers a network partition.
    """

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._servers: dict[str, _Silence] = {}
        self._domains: dict[str, _Silence] = {}

    def on_answer(self, server: ListedServer, now_ms: int) -> bool:
        """Note that a server answered; return whether it was suspected."""
        was_suspected = self.suspicion(server) is not Suspicion.NONE
        for silence in self._silences(server):
            silence.end(now_ms)
        return was_suspected

    def on_opening_unanswered(
        self, server: ListedServer, flow: FlowId, now_ms: int, *, is_confirmed: bool
    ) -> bool:
        """Note an opening without an answer; return whether suspicion rises.

        It is confirmed when the caller took another server's answer. Otherwise the server may have
        refused the flow, or the caller's packets may take another host by now.
        """
        return self._on_stall(server, _Stall(server.server_id, flow, is_confirmed), now_ms)

    def on_repeated_data(
        self, server: ListedServer, flow: FlowId, repeats: int, now_ms: int
    ) -> bool:
        """Note that data was sent again; return whether suspicion rises."""
        stall = _Stall(server.server_id, flow, is_confirmed=True)
        return repeats >= REPEATS_TO_COUNT and self._on_stall(server, stall, now_ms)

    def suspicion(self, server: ListedServer) -> Suspicion:
        """Return what is held against a server or its whole failure domain."""
        return max(silence.level for silence in self._silences(server))

    def is_suspected(self, server: ListedServer) -> bool:
        """Return whether a server, or its whole failure domain, is suspected."""
        return self.suspicion(server) is not Suspicion.NONE

    def answered_since(self, server: ListedServer, since_ms: int) -> bool:
        """Return whether a server answered at ``since_ms`` or later."""
        silence = self._servers.get(server.server_id)
        return silence is not None and silence.alive_ms is not None and silence.alive_ms >= since_ms

    def is_due_for_trial(self, server: ListedServer, now_ms: int) -> bool:
        """Return whether a suspected server may be offered one flow."""
        return all(
            silence.level is Suspicion.NONE or now_ms >= silence.trial_ms
            for silence in self._silences(server)
        )

    def on_trial(self, server: ListedServer, now_ms: int) -> None:
        """Note that a suspected server was offered a flow."""
        for silence in self._silences(server):
            if silence.level is not Suspicion.NONE:
                silence.failed_trials += 1
                silence.trial_ms = now_ms + self._trial_pause_ms(silence.failed_trials)

    def keep(self, server_ids: Container[str]) -> None:
        """Drop the evidence about all other servers."""
        for server_id in [name for name in self._servers if name not in server_ids]:
            del self._servers[server_id]

    def _on_stall(self, server: ListedServer, stall: _Stall, now_ms: int) -> bool:
        rises = False
        for silence in self._silences(server):
            was_clear = silence.level is Suspicion.NONE
            if silence.add(stall, now_ms):
                rises = True
                if was_clear:
                    silence.trial_ms = now_ms + self._trial_pause_ms(1)
        return rises

    def _silences(self, server: ListedServer) -> tuple[_Silence, _Silence]:
        of_server = self._servers.get(server.server_id)
        if of_server is None:
            of_server = self._servers[server.server_id] = _Silence(needed_servers=1)
        of_domain = self._domains.get(server.failure_domain)
        if of_domain is None:
            of_domain = _Silence(needed_servers=STALLED_SERVERS_OF_DOMAIN)
            self._domains[server.failure_domain] = of_domain
        return of_server, of_domain

    def _trial_pause_ms(self, attempt: int) -> int:
        return backoff_ms(attempt, self._random, base_ms=FIRST_TRIAL_MS, limit_ms=LAST_TRIAL_MS)
