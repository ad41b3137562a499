"""Resets of open flows, only on evidence that no server serves them."""

from __future__ import annotations

from redwingswitch._internal.decisions.cookies.failure_detector import (
    RETRANSMISSIONS_TO_STALL,
    PassiveFailureDetector,
)
from redwingswitch._internal.decisions.cookies.flow_table import FlowState
from redwingswitch._internal.decisions.cookies.server_directory import (
    KnownServer,
    ServerDirectory,
)
from redwingswitch._internal.decisions.cookies.server_offers import ServerOffers
from redwingswitch._internal.models.cookie_flows import (
    FlowPacket,
    ListedServer,
    Route,
    RouteKind,
    Suspicion,
)


class FlowResets:
    """Decides whether to reset a flow whose server is no longer listed or does not answer."""

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        failure_detector: PassiveFailureDetector,
        offers: ServerOffers,
    ) -> None:
        self._directory = directory
        self._failure_detector = failure_detector
        self._offers = offers

    def answered_since_removal(self, known: KnownServer) -> bool:
        """Return whether a server has answered since it left the list."""
        since_ms = known.absent_since_ms
        return since_ms is not None and self._failure_detector.answered_since(
            known.server, since_ms
        )

    def should_reset(
        self,
        state: FlowState,
        server: ListedServer,
        packet: FlowPacket,
        route: Route,
        now_ms: int,
    ) -> bool:
        """Return whether to reset a flow so that the caller opens one to another server.

        Flows of non-idempotent requests are not reset, as the server may be executing the request.
        """
        if route.kind is RouteKind.NON_IDEMPOTENT or not packet.data_bytes:
            return False
        suspicion = self._failure_detector.silence(server, now_ms)
        if suspicion is Suspicion.NONE:
            return False
        if suspicion is Suspicion.SUSPECTED:
            is_silent = state.retransmissions >= RETRANSMISSIONS_TO_STALL
        else:
            is_silent = state.retransmissions > 0 or not self._is_confirmed_listed(server)
        return is_silent and self._offers.has_alternative(route, now_ms)

    def _is_confirmed_listed(self, server: ListedServer) -> bool:
        known = self._directory.get(server.server_id)
        is_listed = known is not None and known.absent_since_ms is None
        return is_listed and self._directory.is_list_reachable
