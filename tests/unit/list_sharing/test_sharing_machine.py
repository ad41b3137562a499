"""Guards against hosts that use an outdated list while readers crash, pause or are cut off."""

import random
from typing import NamedTuple, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from redwingswitch._internal.decisions.list_sharing.list_age import ListAge
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import FeedUpdate, ListSharingRole
from redwingswitch._internal.models.server_list import OutOfService, ServerChange
from tests.lib.list_sharing_machine import (
    AGE_LIMIT_MS,
    HOST_COUNT,
    MAX_HISTORY_CHANGES,
    READ_INTERVAL_MS,
    REQUEST_INTERVAL_MS,
    SERVER_COUNT,
    TICK_MS,
    ListMachine,
    Store,
)

T = TypeVar("T")

MAX_DELAY_TICKS = 3
DOMAINS = ("huon", "hobart")


class Response(NamedTuple):
    """A response of the store, which arrives at ``arrival_ms``."""

    changes: list[ServerChange]
    revision: int
    out_of_service: OutOfService
    record: RegisteredReader
    is_whole: bool
    began_ms: int
    arrival_ms: int


class Host:
    """A host of the failure domain; its clock advances while it is paused."""

    def __init__(self, *, number: int, incarnation: int, now_ms: int = 0) -> None:
        self.local = ListReader(f"entry-{number}", "10.0.0.1", 7000 + number, incarnation)
        self.sharing = ListSharing(
            local_reader=self.local,
            age_limit_ms=AGE_LIMIT_MS,
            random_source=random.Random(incarnation),
        )
        self.listed: set[int] = set()
        self.has_list = False
        self.now_ms = now_ms
        self.age = ListAge(now_ms=now_ms)
        self.read_deadline_ms = now_ms
        self.request_deadline_ms = now_ms
        self.is_paused = False
        self.reaches_store = True
        self.reaches_peers = True
        self.response: Response | None = None
        # Updates of readers on their way to this host, with the times of their arrival.
        self.under_way: list[tuple[int, FeedUpdate]] = []

    def begin_read(self, store: Store, *, latency_ms: int) -> None:
        """Start a call to the store."""
        is_full = len(store.history) == MAX_HISTORY_CHANGES
        begin = store.history[0][0] if is_full else store.begin
        is_whole = not self.has_list or self.sharing.revision + 1 < begin
        if is_whole:
            numbers = set(range(SERVER_COUNT))
        else:
            numbers = {n for revision, n in store.history if revision > self.sharing.revision}
        changes = [_change(n, n in store.listed) for n in sorted(numbers)]
        arrival_ms = self.now_ms + latency_ms
        out_of_service = OutOfService(store.out_of_service, store.revision)
        self.response = Response(
            changes,
            store.revision,
            out_of_service,
            store.record,
            is_whole,
            self.now_ms,
            arrival_ms,
        )

    def end_read(self) -> None:
        """Apply the response of the store once it has arrived."""
        if self.response is None or self.now_ms < self.response.arrival_ms:
            return
        response, self.response = self.response, None
        # The store made its response when the call arrived.
        self.age.on_list_read(response.began_ms, revision=response.revision)
        self.sharing.on_out_of_service_read(response.out_of_service)
        self.sharing.on_reader_registered(response.record, self.now_ms)
        if self.sharing.is_outdated(response.revision):
            return
        self.apply(response.changes)
        self.has_list = True
        if response.is_whole:
            self.sharing.on_list_read(response.revision, self.now_ms)
        else:
            self.sharing.on_changes_read(response.changes, response.revision, self.now_ms)

    def take_snapshot(self, source: "Host") -> None:
        """Apply the list of another host unless this one knows a newer one."""
        if self.sharing.is_outdated(source.sharing.revision):
            return
        self.listed = set(source.listed)
        self.has_list = True
        self.sharing.on_out_of_service_read(source.sharing.out_of_service)
        self.sharing.on_list_read(source.sharing.revision, self.now_ms)
        self.sharing.on_reader_registered(source.sharing.registered_reader, self.now_ms)

    def receive_updates(self) -> None:
        """Apply the updates that have arrived."""
        arrived = [update for arrival_ms, update in self.under_way if self.now_ms >= arrival_ms]
        self.under_way = [each for each in self.under_way if self.now_ms < each[0]]
        for update in arrived:
            self.apply(list(self.sharing.on_update(update, self.now_ms).changes))

    def apply(self, changes: list[ServerChange]) -> None:
        for change in changes:
            number = int(change.server_id)
            (self.listed.add if change.is_listed else self.listed.discard)(number)


def _change(number: int, is_listed: bool) -> ServerChange:
    return ServerChange(str(number), None, is_listed)


class SharingMachine(ListMachine):
    """Drives the hosts of one failure domain against one store."""

    @initialize()
    def start(self) -> None:
        self.begin(Store())
        self.hosts = [
            Host(number=n, incarnation=next(self.incarnations)) for n in range(HOST_COUNT)
        ]
        self.domain_revisions: dict[int, int] = {}
        self.delays_datagrams = False

    @rule(ticks=st.integers(1, 20))
    def pass_time(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now_ms += TICK_MS
            for host in self.hosts:
                host.now_ms += TICK_MS
                if not host.is_paused:
                    self._tick(host)

    @rule(domain=st.sampled_from(DOMAINS))
    def take_a_domain_out_of_service_or_back(self, domain: str) -> None:
        self.store.toggle_domain(domain, self.now_ms)

    @rule(number=st.integers(0, HOST_COUNT - 1))
    def crash(self, number: int) -> None:
        self.hosts[number] = Host(
            number=number,
            incarnation=next(self.incarnations),
            now_ms=self.random.randrange(10_000),
        )

    @rule(number=st.integers(0, HOST_COUNT - 1), neighbour=st.integers(0, HOST_COUNT - 1))
    def take_the_list_of_a_neighbour(self, number: int, neighbour: int) -> None:
        """Give a host without a source the list of another one, as old as that may be."""
        host, source = self.hosts[number], self.hosts[neighbour]
        is_reading = host.sharing.role(host.now_ms) is ListSharingRole.READING
        if host.is_paused or host.reaches_store or not is_reading or host is source:
            return
        if source.has_list and self._delivers(host, source):
            host.take_snapshot(source)

    @rule(number=st.integers(0, HOST_COUNT - 1), cut=st.booleans())
    def cut_or_restore_store_path(self, number: int, cut: bool) -> None:
        self.hosts[number].reaches_store = not cut

    @rule(delays=st.booleans())
    def delay_some_datagrams(self, delays: bool) -> None:
        self.delays_datagrams = delays

    @invariant()
    def followed_lists_are_fresh(self) -> None:
        for host in self.hosts:
            # A paused host makes no decisions.
            if host.is_paused:
                continue
            if host.sharing.role(host.now_ms) is ListSharingRole.FOLLOWING:
                assert self._was_recent(frozenset(host.listed), self.store.past)
                domains = host.sharing.out_of_service.domains
                assert self._was_recent(domains, self.store.past_domains)

    @invariant()
    def sets_of_domains_never_go_back(self) -> None:
        for host in self.hosts:
            known = self.domain_revisions.get(host.local.incarnation, 0)
            assert host.sharing.out_of_service.revision >= known
            self.domain_revisions[host.local.incarnation] = host.sharing.out_of_service.revision

    def check_recovery(self) -> None:
        """Check that, once all faults end, one host serves and all hosts have the store's list."""
        self.loses_datagrams = self.delays_datagrams = False
        self.max_latency_ticks = 1
        for host in self.hosts:
            host.is_paused = False
            host.reaches_store = host.reaches_peers = True
        self.pass_time(400)
        roles = sorted(host.sharing.role(host.now_ms) for host in self.hosts)
        assert roles == [ListSharingRole.FOLLOWING] * (HOST_COUNT - 1) + [ListSharingRole.SERVING]
        assert all(host.listed == self.store.listed for host in self.hosts)
        domains = {host.sharing.out_of_service.domains for host in self.hosts}
        assert domains == {self.store.out_of_service}

    def _was_recent(self, known: frozenset[T], past: list[tuple[int, frozenset[T]]]) -> bool:
        """Return whether a state was the store's within the age limit."""
        oldest_ms = self.now_ms - AGE_LIMIT_MS - TICK_MS
        recent = [state for since_ms, state in past if since_ms >= oldest_ms]
        before = [state for since_ms, state in past if since_ms < oldest_ms]
        return known in [*before[-1:], *recent]

    def _tick(self, host: Host) -> None:
        host.age.on_tick(host.now_ms)
        host.end_read()
        host.receive_updates()
        if host.sharing.role(host.now_ms) is not ListSharingRole.FOLLOWING:
            self._read_when_due(host)
        asked = host.sharing.build_request(host.now_ms)
        if asked is None or host.now_ms < host.request_deadline_ms:
            return
        host.request_deadline_ms = host.now_ms + REQUEST_INTERVAL_MS
        reader = next((h for h in self.hosts if h.local.port == asked[0].port), None)
        for _ in range(10):
            if reader is None or not self._delivers(host, reader):
                return
            update = reader.sharing.build_update(
                host.sharing.build_request(host.now_ms)[1],
                list_age_ms=reader.age.age_ms(reader.now_ms),
            )
            if update is None:
                return
            if self.delays_datagrams and self.random.random() < 0.5:
                delay_ms = TICK_MS * self.random.randint(1, MAX_DELAY_TICKS)
                host.under_way.append((host.now_ms + delay_ms, update))
                return
            taken = host.sharing.on_update(update, host.now_ms)
            host.apply(list(taken.changes))
            if not taken.has_gap:
                return

    def _read_when_due(self, host: Host) -> None:
        if host.now_ms < host.read_deadline_ms or host.response is not None:
            return
        host.read_deadline_ms = host.now_ms + READ_INTERVAL_MS
        if not host.reaches_store:
            host.sharing.on_store_lost()
            return
        deadline_ms = host.sharing.claim_deadline_ms(host.now_ms)
        if deadline_ms is not None and host.now_ms >= deadline_ms:
            host.sharing.on_claim_attempt()
            if self.store.record.revision == host.sharing.registered_reader.revision:
                self.store.revision += 1
                self.store.record = RegisteredReader(host.local, self.store.revision)
        latency_ms = TICK_MS * self.random.randint(1, self.max_latency_ticks)
        host.begin_read(self.store, latency_ms=latency_ms)

    def _delivers(self, left: Host, right: Host) -> bool:
        if right.is_paused or not (left.reaches_peers and right.reaches_peers):
            return False
        return not self.loses_datagrams or self.random.random() < 0.5


TestSharing = SharingMachine.TestCase
TestSharing.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
