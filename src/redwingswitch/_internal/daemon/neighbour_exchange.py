"""Passes the whole list to neighbours that get it neither from the store nor from a reader.

Neighbours are the other hosts of the failure domain. A host that restarts while its failure domain
is cut off from the store, or while the store refuses it, would otherwise serve nobody, and routers
that find most hosts of a failure domain out of rotation send packets to all of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    PartCollector,
    split_snapshot,
)
from redwingswitch._internal.decisions.list_sharing.neighbours import Neighbours
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.list_sharing import ListOffer, SnapshotPart, SnapshotRequest
from redwingswitch._internal.models.server_list import ServerList
from redwingswitch._internal.models.store_revisions import format_revision
from redwingswitch._internal.network.list_messages import (
    ListMessage,
    decode_snapshot,
    encode_snapshot,
)
from redwingswitch._internal.ports import Clock, RandomSource
from redwingswitch._internal.utils.event_log import EventLog

# A restarted host hears of the first neighbour after half of this on average.
OFFER_INTERVAL_MS = 500
# A neighbour that has not repeated its offer for this long may have stopped.
OFFER_RETENTION_MS = 2_000
# Bounds the traffic of a host when a whole failure domain restarts: 20 lists a second.
MIN_SNAPSHOT_INTERVAL_MS = 50
# A transfer takes a few ms; after this time one of its parts was lost.
SNAPSHOT_TIMEOUT_MS = 200


class _ReceivedOffer(NamedTuple):
    offer: ListOffer
    sender: Neighbour
    expires_at_ms: int


class SharedList(Protocol):
    """The routes and servers that this host knows."""

    def build_offer(self) -> ListOffer | None:
        """Return what to tell neighbours; None while this host has no routes in force."""

    def build_snapshot(self) -> ServerList:
        """Return the whole list; call this only when there is something to offer."""

    def wants_snapshot(self, offer: ListOffer) -> bool:
        """Return whether a neighbour's list is better than what this host has."""

    def apply_snapshot(self, fleet: ServerList) -> None:
        """Apply a neighbour's list."""


class NeighbourExchange:
    """Offers this host's list to neighbours, sends it on request, and takes theirs if needed."""

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: RandomSource,
        metrics: SteeringMetrics,
        send: Callable[[ListMessage, Neighbour], None],
        shared_list: SharedList,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._event_log = EventLog(part="peers", clock=clock)
        self._send = send
        self._list = shared_list
        self._neighbours = Neighbours(random_source=random_source)
        self._collector = PartCollector()
        self._latest_offer: _ReceivedOffer | None = None
        self._next_offer_ms = 0
        self._next_request_ms = 0
        self._next_snapshot_ms = 0
        self._sent_snapshots = 0

    @property
    def known_count(self) -> int:
        """Return the number of neighbours that this host has heard of."""
        return len(self._neighbours)

    def on_heard(self, neighbour: Neighbour) -> None:
        """Remember a neighbour that sent a message or was named in one."""
        self._neighbours.on_heard(neighbour, self._clock.now_ms())

    def choose(self, *, other_than: Neighbour) -> Neighbour | None:
        """Return a random neighbour, or None without one."""
        return self._neighbours.choose(self._clock.now_ms(), other_than=other_than)

    def send_due_messages(self) -> None:
        """Offer the list to a neighbour every ``OFFER_INTERVAL_MS``; request one if needed."""
        now_ms = self._clock.now_ms()
        self._request_if_wanted(now_ms)
        if now_ms < self._next_offer_ms:
            return
        self._next_offer_ms = now_ms + OFFER_INTERVAL_MS
        offer = self._list.build_offer()
        neighbour = self._neighbours.choose(now_ms)
        if offer is not None and neighbour is not None:
            self._send(offer, neighbour)

    def on_message(
        self,
        message: ListOffer | SnapshotRequest | SnapshotPart,
        *,
        incarnation: int,
        sender: Neighbour,
    ) -> None:
        """Handle a neighbour's message."""
        if isinstance(message, ListOffer):
            self._on_offer(message, sender)
        elif isinstance(message, SnapshotRequest):
            self._on_request(message, sender)
        else:
            self._on_part(message, incarnation, sender)

    def _on_offer(self, offer: ListOffer, sender: Neighbour) -> None:
        now_ms = self._clock.now_ms()
        self._latest_offer = _ReceivedOffer(offer, sender, now_ms + OFFER_RETENTION_MS)
        self._request_if_wanted(now_ms)

    def _request_if_wanted(self, now_ms: int) -> None:
        """Request the list that was offered last; the host may want it later than it came."""
        latest = self._latest_offer
        if latest is None or now_ms >= latest.expires_at_ms or now_ms < self._next_request_ms:
            return
        if self._list.wants_snapshot(latest.offer):
            self._next_request_ms = now_ms + SNAPSHOT_TIMEOUT_MS
            self._send(SnapshotRequest(revision=latest.offer.revision), latest.sender)

    def _on_request(self, request: SnapshotRequest, sender: Neighbour) -> None:
        now_ms = self._clock.now_ms()
        offer = self._list.build_offer()
        if offer is None or offer.revision < request.revision or now_ms < self._next_snapshot_ms:
            return
        self._next_snapshot_ms = now_ms + MIN_SNAPSHOT_INTERVAL_MS
        self._sent_snapshots += 1
        encoded = encode_snapshot(self._list.build_snapshot())
        for part in split_snapshot(encoded, transfer=self._sent_snapshots):
            self._send(part, sender)
        self._metrics.count("list_updates_total", "snapshot_sent")
        self._event_log.info("list sent", neighbour=sender.address, bytes=len(encoded))

    def _on_part(self, part: SnapshotPart, incarnation: int, sender: Neighbour) -> None:
        encoded = self._collector.add(part, incarnation=incarnation)
        if encoded is None:
            return
        try:
            fleet = decode_snapshot(encoded)
        except DecodeError as error:
            self._metrics.count("list_updates_total", "malformed")
            self._event_log.warning("list malformed", neighbour=sender.address, reason=error)
            return
        # The store may have answered since the request.
        if self._list.wants_snapshot(ListOffer(revision=fleet.revision)):
            self._metrics.count("list_updates_total", "snapshot_taken")
            self._event_log.info(
                "list taken",
                neighbour=sender.address,
                store_revision=format_revision(fleet.revision),
            )
            self._list.apply_snapshot(fleet)
