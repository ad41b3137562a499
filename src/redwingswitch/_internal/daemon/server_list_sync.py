"""Keeps the routes and the list of backend servers in sync with the platform's store.

The platform is the environment that the users run. Its store (see ``ports.ServerListStore``) has
the routes, which operators write, and one entry per backend server, which the server renews.

To save calls to the store, the hosts of a failure domain share the list: one of them, the reader,
reads it and sends the changes, called its feed, to the others, its followers. The feed also tells
when the routes have changed; followers then get them from the reader or, without its answer, by a
cheap call that may return stale ones. A host claims the role of the reader by writing its own
address into the domain's reader record in the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from redwingswitch._internal.daemon.list_reads import ListReads
from redwingswitch._internal.daemon.list_updates import ListUpdates
from redwingswitch._internal.daemon.list_watch import ListWatch
from redwingswitch._internal.daemon.metered_store import MeteredStore
from redwingswitch._internal.daemon.reader_following import ReaderFollowing
from redwingswitch._internal.daemon.server_list_exchange import ServerListExchange
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.daemon.store_contact import StoreContact
from redwingswitch._internal.daemon.whole_list import WholeList
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.age_budget import (
    FOLLOW_CHECK_INTERVAL_MS,
    age_budget,
)
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.decisions.load_sharing.other_readers import OtherReaders
from redwingswitch._internal.exceptions import StoreHistoryLostError, StoreUnavailableError
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.models.store_knowledge import (
    CallFailed,
    CaughtUp,
    HistoryLost,
    NextRead,
    RoleChanged,
)
from redwingswitch._internal.models.store_revisions import format_revision
from redwingswitch._internal.ports import Clock, RandomSource, ServerListStore
from redwingswitch._internal.utils.event_log import EventLog

MS_PER_S = 1_000
# A host that runs notices it this often, also without packets. It must be clearly less than
# ``LATE_PACKET_GAP_MS``, and a part of the interval of requests to the reader.
RUNNING_CHECK_INTERVAL_MS = 125


class ServerListSynchronizer:
    """Reads the full list once and then follows its changes, until cancelled.

    While another host of the failure domain reads the list for this one
    (``ListSharingRole.FOLLOWING``), its changes arrive through ``peers``.
    """

    def __init__(
        self,
        *,
        store: ServerListStore,
        steering: CookieSteering,
        sharing: ListSharing,
        clock: Clock,
        age_clock: Clock,
        random_source: RandomSource,
        metrics: SteeringMetrics,
        list_age_limit_ms: int,
        on_change: Callable[[], None],
        shares_load: bool = False,
    ) -> None:
        self._sharing = sharing
        self._clock = clock
        self._age_clock = age_clock
        self._event_log = EventLog(part="fleet", clock=clock)
        self._read_interval_ms = age_budget(list_age_limit_ms).read_interval_ms
        self._role = ListSharingRole.READING
        self._knowledge = StoreKnowledge(
            sharing=sharing, random_source=random_source, now_ms=age_clock.now_ms()
        )
        self._contact = StoreContact(
            knowledge=self._knowledge,
            directory=steering.directory,
            clock=clock,
            age_clock=age_clock,
        )
        metered_store = MeteredStore(
            store=store, metrics=metrics, age_clock=age_clock, report=self._contact.report
        )
        self._updates = ListUpdates(
            steering=steering,
            sharing=sharing,
            clock=clock,
            age_clock=age_clock,
            random_source=random_source,
            metrics=metrics,
            contact=self._contact,
            on_change=on_change,
        )
        self._following = ReaderFollowing(
            store=metered_store,
            sharing=sharing,
            knowledge=self._knowledge,
            updates=self._updates,
            age_clock=age_clock,
            on_response=self._contact.on_response,
        )
        self._reads = ListReads(
            store=metered_store,
            sharing=sharing,
            updates=self._updates,
            following=self._following,
            knowledge=self._knowledge,
            contact=self._contact,
            age_clock=age_clock,
            shares_load=shares_load,
        )
        self._whole_list = WholeList(
            store=metered_store,
            steering=steering,
            sharing=sharing,
            updates=self._updates,
            following=self._following,
            knowledge=self._knowledge,
            reads=self._reads,
            age_clock=age_clock,
        )
        self._watch = ListWatch(
            store=metered_store,
            sharing=sharing,
            updates=self._updates,
            following=self._following,
            reads=self._reads,
            knowledge=self._knowledge,
            contact=self._contact,
            clock=clock,
            age_clock=age_clock,
        )

    @property
    def peers(self) -> ServerListExchange:
        """Return the exchange of datagrams with the other hosts."""
        return self._updates.peers

    @property
    def other_readers(self) -> OtherReaders:
        """Return the records of the readers of other failure domains."""
        return self._updates.other_readers

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return not self._knowledge.is_store_lost

    @property
    def role(self) -> ListSharingRole:
        """Return how this host gets the list."""
        return self._sharing.role(self._age_clock.now_ms())

    @property
    def revision(self) -> int:
        """Return the store revision up to which the list is known."""
        return self._sharing.revision

    @property
    def store_era_age_ms(self) -> int:
        """Return milliseconds since the list follows the present era of the store."""
        return self._knowledge.era_age_ms(self._age_clock.now_ms())

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""
        return self._contact.list_age_ms()

    @property
    def reader_incarnation(self) -> int:
        """Return the incarnation of the host that reads the list, 0 without one."""
        reader = self._sharing.registered_reader.reader
        return reader.incarnation if reader else 0

    def routes_confirmed_ms(self) -> int | None:
        """Return the latest time, on ``clock``, at which the routes certainly were the newest.

        Returns None while a reader has announced newer ones.
        """
        age_ms = self._contact.routes_age_ms()
        return None if age_ms is None else self._clock.now_ms() - age_ms

    def is_outdated_by_pause(self) -> bool:
        """Return whether this host was paused and the list has not been confirmed since.

        May be called before the timers of a resumed host have run.
        """
        return self._knowledge.is_outdated_by_pause(self._age_clock.now_ms())

    def may_handle_late_packets(self) -> bool:
        """Return whether packets may have waited in the socket while this host stood still."""
        return self._knowledge.may_handle_late_packets(self._age_clock.now_ms())

    async def run(self) -> None:
        """Keep the list up to date; a failing store only delays this."""
        request_task = asyncio.create_task(self._send_due_requests())
        try:
            while not request_task.done():
                await self._pause_until_followed(await self._read_and_get_delay_ms())
            # The task ends only because of a bug; this raises its exception.
            request_task.result()
        finally:
            request_task.cancel()

    async def _pause_until_followed(self, delay_ms: int) -> None:
        """Wait; end the wait early when the reader sends a list that is up to date."""
        if self._knowledge.is_list_known and self.role is ListSharingRole.FOLLOWING:
            # The host follows its reader already; only the announced routes could not be read.
            await asyncio.sleep(delay_ms / MS_PER_S)
            return
        deadline_ms = self._age_clock.now_ms() + delay_ms
        while (left_ms := deadline_ms - self._age_clock.now_ms()) > 0:
            if self._knowledge.is_list_known and self.role is ListSharingRole.FOLLOWING:
                return
            await self._following.wait_for_feed(left_ms)

    async def _read_and_get_delay_ms(self) -> int:
        """Read once; return the delay until the next read."""
        try:
            await self._read_once()
            if self._update_role() or self._knowledge.has_abandoned_watch:
                return 0
            await self._pause_after_read()
        except StoreHistoryLostError as error:
            return self._contact.report(HistoryLost(str(error)))
        except StoreUnavailableError as error:
            return self._contact.report(CallFailed(str(error)))
        return 0

    async def _read_once(self) -> None:
        self._update_role()
        match self._contact.next_read():
            case NextRead.STALE_LIST:
                await self._whole_list.load_stale()
            case NextRead.WHOLE_LIST:
                await self._whole_list.load_newest()
            case NextRead.FOLLOW:
                await self._follow_reader()
            case NextRead.CATCH_UP:
                await self._reads.catch_up()
                self._contact.report(CaughtUp())
            case NextRead.PARTS:
                await self._reads.read_parts_and_record()
            case NextRead.WATCH:
                if not await self._following.claim_if_due():
                    await self._reads.read_other_readers_if_needed()
                    await self._watch.watch_changes()

    async def _pause_after_read(self) -> None:
        """Wait until the next read is due; meanwhile look for a reader if there is none.

        An answer that comes after a long wait shows little of the present, so the next read is due
        when the list reaches the age of a read interval.
        """
        now_ms = self._age_clock.now_ms()
        deadline_ms = now_ms + self._read_interval_ms - self._knowledge.own_list_age_ms(now_ms)
        while (left_ms := deadline_ms - self._age_clock.now_ms()) > 0:
            if self.role is not self._role or self.role is ListSharingRole.FOLLOWING:
                return
            if self.role is ListSharingRole.SERVING or self._sharing.local_reader is None:
                await asyncio.sleep(left_ms / MS_PER_S)
                return
            await self._following.look_for_reader(wait_ms=FOLLOW_CHECK_INTERVAL_MS)

    async def _send_due_requests(self) -> None:
        was_outdated = False
        while True:
            is_outdated = self.is_outdated_by_pause()
            if is_outdated and not was_outdated:
                self._event_log.info("resumed after a pause", list_age_ms=self.list_age_ms())
                self.peers.request_changes()
                self._watch.request_probe()
            elif was_outdated and not is_outdated:
                self._updates.release_held_packets()
            else:
                self.peers.send_due_messages()
            was_outdated = is_outdated
            await asyncio.sleep(RUNNING_CHECK_INTERVAL_MS / MS_PER_S)

    async def _follow_reader(self) -> None:
        """Follow the reader until it is lost, and then read what it did not send."""
        await self._following.follow()
        if self.role is ListSharingRole.SERVING:
            return
        self._sharing.on_reader_lost(self._age_clock.now_ms())
        self._update_role()
        await self._reads.catch_up()

    def _update_role(self) -> bool:
        """Log a change of the role; return whether it changed."""
        role = self.role
        if role is self._role:
            return False
        reader = self._sharing.registered_reader.reader
        self._event_log.info(
            "list role",
            role=role,
            reader=reader.host if reader else "none",
            store_revision=format_revision(self._sharing.revision),
            servers_revision=format_revision(self._sharing.servers_revision),
        )
        self._role = role
        self._contact.report(RoleChanged(role))
        return True
