"""Exchanges datagrams between the hosts of a failure domain that share the server list.

One host of the failure domain, the reader, reads the list of backend servers from the store. The
others, its followers, request the changes from it and read the store themselves only when it does
not answer in time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from redwingswitch._internal.daemon.neighbour_exchange import NeighbourExchange, SharedList
from redwingswitch._internal.daemon.routes_exchange import RoutesExchange, SharedRoutes
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.list_sharing import (
    FeedRequest,
    FeedUpdate,
    ReceivedChanges,
    RoutesPart,
    RoutesRequest,
)
from redwingswitch._internal.models.load_sharing import DomainLoad, LoadReport, LoadSummary
from redwingswitch._internal.network.list_messages import (
    ListMessage,
    decode_list_message,
    encode_list_message,
)
from redwingswitch._internal.ports import Clock, DatagramSender, RandomSource
from redwingswitch._internal.utils.event_log import EventLog

if TYPE_CHECKING:
    from redwingswitch._internal.daemon.load_exchange import LoadExchange

# With the default settings, a follower abandons a silent reader after 2,000 ms; see ``age_budget``.
# Three requests fit into that time.
REQUEST_INTERVAL_MS = 500
# A reader sends a change immediately to each follower whose last request is not older than this.
FOLLOWER_RETENTION_MS = 2_000
# A failure domain has 94 hosts at the growth target.
MAX_FOLLOWERS = 256


class _Follower:
    """A follower's last request, advanced by each update sent to it, and when it expires."""

    __slots__ = ("expires_at_ms", "request")

    def __init__(self, *, request: FeedRequest, expires_at_ms: int) -> None:
        self.request = request
        self.expires_at_ms = expires_at_ms


class ServerListExchange:
    """Requests list changes from the reader; answers requests while this host is the reader."""

    def __init__(
        self,
        *,
        sharing: ListSharing,
        clock: Clock,
        metrics: SteeringMetrics,
        random_source: RandomSource,
        list_age_ms: Callable[[], int],
        routes_age_ms: Callable[[], int | None],
        on_changes: Callable[[ReceivedChanges], None],
        shared_list: SharedList,
        shared_routes: SharedRoutes,
    ) -> None:
        self._sharing = sharing
        self._clock = clock
        self._metrics = metrics
        self._event_log = EventLog(part="peers", clock=clock)
        self._list_age_ms = list_age_ms
        self._routes_age_ms = routes_age_ms
        self._on_changes = on_changes
        self._sender: DatagramSender | None = None
        self._followers: dict[Neighbour, _Follower] = {}
        self._next_request_ms = 0
        # None unless hosts tell each other the load that they observe.
        self.load_exchange: LoadExchange | None = None
        self._neighbours = NeighbourExchange(
            clock=clock,
            random_source=random_source,
            metrics=metrics,
            send=self.send,
            shared_list=shared_list,
        )
        self._routes = RoutesExchange(
            sharing=sharing,
            clock=clock,
            metrics=metrics,
            send=self.send,
            shared_routes=shared_routes,
        )

    @property
    def known_neighbours(self) -> int:
        """Return the number of other hosts of the failure domain that this host has heard of."""
        return self._neighbours.known_count

    def set_sender(self, sender: DatagramSender) -> None:
        """Set the sender for all messages."""
        self._sender = sender

    def send_due_messages(self) -> None:
        """Request changes every ``REQUEST_INTERVAL_MS``; offer the list to a neighbour."""
        self._neighbours.send_due_messages()
        if self._clock.now_ms() >= self._next_request_ms:
            self.request_changes()

    def request_changes(self) -> None:
        """Request changes from the reader now; do nothing without a reader."""
        now_ms = self._clock.now_ms()
        next_request = self._sharing.build_request(now_ms)
        if next_request is None:
            return
        self._next_request_ms = now_ms + REQUEST_INTERVAL_MS
        reader, request = next_request
        self.send(request, Neighbour(reader.address, reader.port))

    def request_routes(self) -> None:
        """Request the routes that this host lacks from the reader; do nothing without a reader."""
        self._routes.request_routes()

    def notify_followers(self) -> None:
        """Send new changes to the hosts that recently sent a request."""
        now_ms = self._clock.now_ms()
        for neighbour, follower in list(self._followers.items()):
            if now_ms >= follower.expires_at_ms:
                del self._followers[neighbour]
                continue
            update = self._build_update(follower.request)
            if update is None:
                continue
            # The next update continues this one; a follower that loses it requests it again.
            follower.request = FeedRequest(
                feed=update.feed,
                position=update.first_position + len(update.changes),
                revision=update.revision,
                sent_ms=follower.request.sent_ms,
            )
            self.send(update, neighbour)

    def on_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Handle a message from another host."""
        try:
            incarnation, message = decode_list_message(datagram)
        except DecodeError as error:
            self._metrics.count("list_updates_total", "malformed")
            self._event_log.warning("message malformed", sender=address[0], reason=error)
            return
        sender = Neighbour(*address)
        if isinstance(message, LoadReport | LoadSummary | DomainLoad):
            # Readers of other failure domains are no neighbours.
            if self.load_exchange is not None:
                self.load_exchange.on_message(message, incarnation=incarnation, sender=sender)
            return
        self._neighbours.on_heard(sender)
        if isinstance(message, FeedUpdate):
            self._on_update(message)
        elif isinstance(message, FeedRequest):
            self._on_request(message, sender)
        elif isinstance(message, RoutesRequest | RoutesPart):
            self._routes.on_message(message, incarnation=incarnation, sender=sender)
        else:
            self._neighbours.on_message(message, incarnation=incarnation, sender=sender)

    def _on_request(self, request: FeedRequest, sender: Neighbour) -> None:
        update = self._build_update(request)
        if update is None:
            return
        if sender in self._followers or len(self._followers) < MAX_FOLLOWERS:
            expires_at_ms = self._clock.now_ms() + FOLLOWER_RETENTION_MS
            self._followers[sender] = _Follower(request=request, expires_at_ms=expires_at_ms)
        # Only in answers: choosing one takes as long as there are neighbours, and a change goes to
        # all followers at once.
        self.send(update._replace(neighbour=self._neighbours.choose(other_than=sender)), sender)

    def _build_update(self, request: FeedRequest) -> FeedUpdate | None:
        return self._sharing.build_update(
            request, list_age_ms=self._list_age_ms(), routes_age_ms=self._routes_age_ms()
        )

    def _on_update(self, update: FeedUpdate) -> None:
        if update.neighbour is not None:
            self._neighbours.on_heard(update.neighbour)
        received = self._sharing.on_update(update, self._clock.now_ms())
        self._metrics.count("list_updates_total", "gap" if received.has_gap else "taken")
        self._on_changes(received)
        if received.has_gap:
            self.request_changes()

    def send(self, message: ListMessage, receiver: Neighbour) -> None:
        """Send a message; count and log one that the network stack rejects."""
        local = self._sharing.local_reader
        if self._sender is None or local is None:
            return
        data = encode_list_message(incarnation=local.incarnation, message=message)
        if not self._sender.send(data, receiver):
            self._metrics.count("send_failures_total")
            self._event_log.warning("send refused", address=f"{receiver.address}:{receiver.port}")
