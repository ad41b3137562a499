"""Applies what was read from the store, or received from another host, to this host's list.

The list has the routes and the backend servers. ``StoreKnowledge`` decides what to read of it next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from redwingswitch._internal.daemon.server_list_exchange import ServerListExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.daemon.store_contact import StoreContact
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.routes_history import RoutesHistory
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.load_sharing.other_readers import OtherReaders
from redwingswitch._internal.exceptions import StoreHistoryLostError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.list_readers import RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    ListOffer,
    ListSharingRole,
    ReceivedChanges,
    RoutesDifference,
)
from redwingswitch._internal.models.server_list import (
    OutOfService,
    ServerList,
    ServerListChanges,
    StoredRoutes,
)
from redwingswitch._internal.models.store_knowledge import FeedReceived, ListSource, ListTaken
from redwingswitch._internal.models.store_revisions import era_of, format_revision
from redwingswitch._internal.ports import Clock, RandomSource
from redwingswitch._internal.utils.event_log import EventLog

NO_ROUTES = StoredRoutes(None, 0)


class ListUpdates:
    """Passes each read to the steering, to the sharing of the list and to the followers.

    A list that may be stale is unconfirmed: its routes are not used until the reader's feed, or the
    store, has shown that the list is up to date. Packets wait meanwhile.
    """

    def __init__(
        self,
        *,
        steering: CookieSteering,
        sharing: ListSharing,
        clock: Clock,
        age_clock: Clock,
        random_source: RandomSource,
        metrics: SteeringMetrics,
        contact: StoreContact,
        on_change: Callable[[], None],
    ) -> None:
        self._steering = steering
        self._sharing = sharing
        self._clock = clock
        self._age_clock = age_clock
        self._event_log = EventLog(part="fleet", clock=clock)
        self._contact = contact
        self._on_change = on_change
        self._unconfirmed_routes = NO_ROUTES
        self._routes_history = RoutesHistory()
        self._feed_received = asyncio.Event()
        self.other_readers = OtherReaders()
        self.peers = ServerListExchange(
            sharing=sharing,
            clock=age_clock,
            random_source=random_source,
            metrics=metrics,
            list_age_ms=contact.list_age_ms,
            routes_age_ms=contact.routes_age_ms,
            on_changes=self._apply_feed_changes,
            shared_list=self,
            shared_routes=self,
        )

    async def wait_for_feed(self) -> None:
        """Wait until the reader sends something."""
        self._feed_received.clear()
        await self._feed_received.wait()

    def apply_unconfirmed_list(self, fleet: ServerList) -> None:
        """Apply a whole list that may be stale."""
        self.other_readers.apply(fleet.other_readers)
        self._contact.report(ListTaken(ListSource.STALE_STORE, fleet.revision))
        changed = self._steering.directory.replace(fleet.servers, self._clock.now_ms())
        self._sharing.on_list_read(fleet.revision, self._age_clock.now_ms(), routes=fleet.routes)
        self._log_servers(changed)
        self._unconfirmed_routes = _routes_of(fleet)
        self._apply_out_of_service(fleet.out_of_service)
        self.apply_reader(fleet.reader)

    def apply_list(self, fleet: ServerList) -> None:
        """Apply the whole list."""
        routes = self._begin_read(fleet)
        if routes is None:
            return
        changed = self._steering.directory.replace(fleet.servers, self._clock.now_ms())
        self._sharing.on_list_read(fleet.revision, self._age_clock.now_ms(), routes=fleet.routes)
        self._finish_read(routes, changed)
        self.apply_reader(fleet.reader)

    def apply_changes(self, fleet: ServerListChanges) -> None:
        """Apply the changes after the revision up to which the list is known."""
        routes = self._begin_read(fleet)
        if routes is None:
            return
        changed = self._steering.directory.update(fleet.servers, self._clock.now_ms())
        self._sharing.on_changes_read(
            fleet.servers, fleet.revision, self._age_clock.now_ms(), routes=fleet.routes
        )
        self._finish_read(routes, changed)
        if fleet.reader is not None:
            self.apply_reader(fleet.reader)

    def apply_server_changes(self, fleet: ServerListChanges) -> None:
        """Apply changes that were read without the routes; these must be read next."""
        self._apply_out_of_service(fleet.out_of_service)
        if self._sharing.is_outdated(fleet.revision):
            return
        changed = self._steering.directory.update(fleet.servers, self._clock.now_ms())
        self._sharing.on_servers_read(fleet.servers, fleet.revision, self._age_clock.now_ms())
        self._log_servers(changed)
        self.peers.notify_followers()

    def apply_routes(self, routes: StoredRoutes, *, up_to_revision: int | None) -> None:
        """Apply routes that were read alone.

        The store has no later ones up to ``up_to_revision``, which is None if that is not known.
        Raises StoreHistoryLostError if it was restored since it had that revision.
        """
        if up_to_revision is not None and era_of(routes.revision) > era_of(up_to_revision):
            raise StoreHistoryLostError(
                "the store was restored during a read of the routes; read the full list"
            )
        self._sharing.on_routes_read(routes.routes, up_to_revision=up_to_revision)
        self._put_in_force(routes)
        self.peers.notify_followers()
        self._on_change()

    def build_offer(self) -> ListOffer | None:
        """Return what to tell neighbours about this list; None without routes in force."""
        if self._steering.routes is None:
            return None
        return ListOffer(revision=self._sharing.revision)

    def build_snapshot(self) -> ServerList:
        """Return the whole list for a neighbour."""
        return ServerList(
            routes=self._steering.routes,
            servers=self._steering.directory.listed_entries(self._clock.now_ms()),
            revision=self._sharing.revision,
            reader=self._sharing.registered_reader,
            routes_revision=self._routes_history.revision,
            out_of_service=self._sharing.out_of_service,
        )

    def wants_snapshot(self, offer: ListOffer) -> bool:
        """Return whether to take a neighbour's list."""
        return self._contact.wants_neighbours_list(offer)

    def apply_snapshot(self, fleet: ServerList) -> None:
        """Apply what a neighbour's list has that this host lacks."""
        if not self._sharing.is_outdated(fleet.revision):
            self._contact.report(ListTaken(ListSource.NEIGHBOUR, fleet.revision))
        self.apply_list(fleet)

    @property
    def version_in_force(self) -> int:
        """Return the version of the routes in force, 0 without any."""
        return self._routes_history.version

    def build_routes_difference(self, known_version: int) -> RoutesDifference | None:
        """Return what a host with the routes of ``known_version`` lacks; None without routes."""
        return self._routes_history.build_difference(known_version)

    def apply_routes_difference(self, difference: RoutesDifference) -> bool:
        """Apply routes from the reader; return False if they do not fit the routes in force."""
        routes = self._routes_history.apply_difference(difference)
        if routes is None:
            return False
        self.apply_routes(StoredRoutes(routes, difference.revision), up_to_revision=None)
        self._feed_received.set()
        return True

    def release_held_packets(self) -> None:
        """Decide again on the packets that were held since this host resumed after a pause."""
        self._on_change()

    def release_unrouted_packets(self) -> None:
        """Decide again on held packets after the list was confirmed without a change."""
        if self._steering.held_packets:
            self._on_change()

    def apply_reader(self, registered: RegisteredReader, *, is_newest: bool = False) -> None:
        """Apply the record of the failure domain's reader; send a new one a request at once.

        ``is_newest`` is true for the store's answer to a claim.
        """
        before = self._sharing.registered_reader.reader
        now_ms = self._age_clock.now_ms()
        self._sharing.on_reader_registered(registered, now_ms, is_newest=is_newest)
        reader = self._sharing.registered_reader.reader
        if reader == before or reader is None:
            return
        self._event_log.info(
            "reader recorded",
            host=reader.host,
            store_revision=format_revision(registered.revision),
        )
        self.peers.request_changes()

    def _finish_read(self, routes: StoredRoutes, changed: Iterable[str]) -> None:
        self._put_in_force(routes)
        self._log_servers(changed)
        self.peers.notify_followers()
        self._on_change()

    def _begin_read(self, fleet: ServerList | ServerListChanges) -> StoredRoutes | None:
        """Apply what has its own order; return the routes, or None if the servers are outdated."""
        self._apply_out_of_service(fleet.out_of_service)
        self.other_readers.apply(fleet.other_readers)
        routes = _routes_of(fleet)
        if self._sharing.is_outdated(fleet.revision):
            self._apply_outdated(routes, fleet)
            return None
        return routes

    def _apply_outdated(self, routes: StoredRoutes, fleet: ServerList | ServerListChanges) -> None:
        """Apply only the routes and the reader record of a response that is older than the feed."""
        self._sharing.on_routes_read(routes.routes, up_to_revision=fleet.revision)
        self._put_in_force(routes)
        if fleet.reader is not None:
            self.apply_reader(fleet.reader)
        self._on_change()

    def _apply_feed_changes(self, received: ReceivedChanges) -> None:
        self._contact.report(FeedReceived())
        directory = self._steering.directory
        now_ms = self._clock.now_ms()
        has_changed_domains = self._put_out_of_service_in_force()
        if received.after_outage:
            directory.on_list_lost()
        # The first part of a batch shows already that the reader reaches the store again. Servers
        # that lapsed in an outage keep getting flows only if they are removed after that.
        if received.is_fresh or self._sharing.has_fresh_reader(self._age_clock.now_ms()):
            directory.on_list_read(now_ms)
        self._log_servers(directory.update(received.changes, now_ms))
        is_confirmed = self._confirm_routes()
        has_changes = bool(received.changes) or has_changed_domains
        if has_changes or is_confirmed or self._steering.is_list_outdated:
            self._on_change()
        else:
            self.release_unrouted_packets()
        self._feed_received.set()

    def _apply_out_of_service(self, found: OutOfService | None) -> None:
        if found is not None:
            self._sharing.on_out_of_service_read(found)
            self._put_out_of_service_in_force()

    def _put_out_of_service_in_force(self) -> bool:
        """Put the newest known set in force; return whether it changes the one in force."""
        known = self._sharing.out_of_service
        if not self._steering.directory.set_out_of_service(known.domains, self._clock.now_ms()):
            return False
        self._event_log.info(
            "out of service",
            failure_domains=",".join(sorted(known.domains)) or "none",
            store_revision=format_revision(known.revision),
        )
        return True

    def _confirm_routes(self) -> bool:
        """Put unconfirmed routes in force if the reader knows no newer ones."""
        is_following = self._sharing.role(self._age_clock.now_ms()) is ListSharingRole.FOLLOWING
        if not is_following or self._sharing.needs_routes or not self._unconfirmed_routes.revision:
            return False
        self._put_in_force(self._unconfirmed_routes)
        return True

    def _put_in_force(self, routes: StoredRoutes) -> None:
        """Put routes in force, and unconfirmed ones in place of those that are missing."""
        usable = self._unconfirmed_routes if routes.routes is None else routes
        if routes.has_unreadable or usable.has_unreadable:
            self._sharing.on_unreadable_routes()
        self._unconfirmed_routes = NO_ROUTES
        if usable.routes is not None and self._steering.apply_routes(usable.routes):
            self._log_routes(usable.routes, usable.revision)
            self._routes_history.add(usable.routes, usable.revision)

    def _log_routes(self, routes: RouteTable, store_revision: int) -> None:
        self._event_log.info(
            "routes in force",
            version=routes.version,
            routes=len(routes.routes),
            store_revision=format_revision(store_revision),
        )

    def _log_servers(self, server_ids: Iterable[str]) -> None:
        for server_id in server_ids:
            known = self._steering.directory.get(server_id)
            if known is None:
                continue
            server = known.server
            self._event_log.info(
                "server changed",
                server=server.server_id,
                service=server.service,
                failure_domain=server.failure_domain,
                state=server.state,
                presence=known.presence(self._clock.now_ms()),
                store_revision=format_revision(self._sharing.revision),
            )


def _routes_of(fleet: ServerList | ServerListChanges) -> StoredRoutes:
    return StoredRoutes(fleet.routes, fleet.routes_revision, fleet.has_unreadable_routes)
