"""Passes changed routes from the reader of a failure domain to its followers.

The reader's feed tells followers the operators' version of the newest routes. They ask the reader
for the difference from the routes that they have, so that a change of the routes costs the store
one call a failure domain.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    PartCollector,
    split_routes,
)
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.list_sharing import (
    RoutesDifference,
    RoutesPart,
    RoutesRequest,
)
from redwingswitch._internal.network.list_messages import (
    ListMessage,
    decode_routes_difference,
    encode_routes_difference,
)
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.utils.event_log import EventLog


class SharedRoutes(Protocol):
    """The routes in force on this host."""

    @property
    def version_in_force(self) -> int:
        """Return the version of the routes in force, 0 without any."""

    def build_routes_difference(self, known_version: int) -> RoutesDifference | None:
        """Return what a host with the routes of ``known_version`` lacks; None without routes."""

    def apply_routes_difference(self, difference: RoutesDifference) -> bool:
        """Apply a difference; return False if it does not fit the routes in force."""


class _EncodedDifference(NamedTuple):
    base_version: int
    version: int
    data: bytes


class RoutesExchange:
    """Requests routes from the reader; answers such requests while this host is the reader."""

    def __init__(
        self,
        *,
        sharing: ListSharing,
        clock: Clock,
        metrics: SteeringMetrics,
        send: Callable[[ListMessage, Neighbour], None],
        shared_routes: SharedRoutes,
    ) -> None:
        self._sharing = sharing
        self._metrics = metrics
        self._event_log = EventLog(part="peers", clock=clock)
        self._send = send
        self._routes = shared_routes
        self._collector = PartCollector()
        self._sent_transfers = 0
        # After a change, nearly all followers lack the same difference.
        self._latest: _EncodedDifference | None = None

    def request_routes(self) -> None:
        """Request the routes that this host lacks from the reader; do nothing without a reader."""
        reader = self._sharing.other_reader
        if reader is not None:
            request = RoutesRequest(known_version=self._routes.version_in_force)
            self._send(request, Neighbour(reader.address, reader.port))

    def on_message(
        self, message: RoutesRequest | RoutesPart, *, incarnation: int, sender: Neighbour
    ) -> None:
        """Handle a message of a follower or of the reader."""
        if isinstance(message, RoutesRequest):
            self._on_request(message, sender)
        else:
            self._on_part(message, incarnation, sender)

    def _on_request(self, request: RoutesRequest, sender: Neighbour) -> None:
        if not self._sharing.is_reader:
            return
        difference = self._routes.build_routes_difference(request.known_version)
        if difference is None:
            return
        self._sent_transfers += 1
        for part in split_routes(self._encode(difference), transfer=self._sent_transfers):
            self._send(part, sender)
        self._metrics.count("list_updates_total", "routes_sent")

    def _encode(self, difference: RoutesDifference) -> bytes:
        key = (difference.base_version, difference.version)
        if self._latest is None or key != (self._latest.base_version, self._latest.version):
            self._latest = _EncodedDifference(*key, encode_routes_difference(difference))
        return self._latest.data

    def _on_part(self, part: RoutesPart, incarnation: int, sender: Neighbour) -> None:
        reader = self._sharing.other_reader
        if reader is None or incarnation != reader.incarnation:
            return
        encoded = self._collector.add(part, incarnation=incarnation)
        if encoded is None:
            return
        try:
            difference = decode_routes_difference(encoded)
        except DecodeError as error:
            self._metrics.count("list_updates_total", "malformed")
            self._event_log.warning("routes malformed", sender=sender.address, reason=error)
            return
        is_applied = self._routes.apply_routes_difference(difference)
        self._metrics.count("list_updates_total", "routes_taken" if is_applied else "routes_gap")
