"""Guards against a host that takes its list for too new, or keeps an old one for too long."""

import random
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from redwingswitch._internal.daemon.list_reads import READER_RECOVERY_WAIT_MS
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.decisions.list_sharing.store_knowledge import StoreKnowledge
from redwingswitch._internal.models.list_readers import ListReader, RegisteredReader
from redwingswitch._internal.models.list_sharing import ListOffer, ListSharingRole
from redwingswitch._internal.models.server_list import ServerChange
from redwingswitch._internal.models.store_knowledge import (
    CallAgain,
    CallFailed,
    CaughtUp,
    ChangesRead,
    FeedReceived,
    HistoryLost,
    ListSource,
    ListTaken,
    NextRead,
    ProbeAnswered,
    RoleChanged,
    RoutesCompared,
    RoutesRead,
    ServersRead,
    StaleListRead,
    StoreAnswered,
    StoreEvent,
    WatchAbandoned,
    WholeListRead,
)
from redwingswitch._internal.models.store_revisions import era_of, make_revision, number_of
from tests.lib.cookie_flows import route_table
from tests.lib.list_sharing_machine import (
    AGE_LIMIT_MS,
    HOST_COUNT,
    MAX_HISTORY_CHANGES,
    MAX_LATENCY_TICKS,
    READ_INTERVAL_MS,
    REQUEST_INTERVAL_MS,
    SERVER_COUNT,
    TICK_MS,
    ListMachine,
    Store,
)

T = TypeVar("T")

PROBE_INTERVAL_MS = 1_000
WATCH_LAG_LIMIT_MS = 500
CALL_TIMEOUT_MS = 1_500
# A host that neither it nor the store was disturbed for is in touch.
CALM_MS = 4_000
CALM_LATENCY_TICKS = 1
# The limit of which ``AGE_LIMIT_MS`` is the part for the age of a reader's list.
LIMIT_MS = 3_000
# Its link is narrow, so that it reads changes and routes apart.
NARROW_HOST = 3
NARROW_LINK_MBPS = 10.0


class StoreState(NamedTuple):
    """What the store had at a revision."""

    revision: int
    listed: frozenset[int]
    record: RegisteredReader
    routes_version: int


class VersionedStore(Store):
    """A store that has routes, too; they are named by their version."""

    def __init__(self) -> None:
        self.routes_version = 1
        self.routes_revision = 1
        self.past_versions = [(-10_000, 1)]
        # The version at each revision at which it changed, in the order of the revisions.
        self.versions = [(1, 1)]
        super().__init__()
        # Whether a restore or a lost history has yet to be noticed by ``is_disturbed``.
        self.is_changed = False
        # The states since the last restore; a read that may be stale returns one of the last.
        self.states = [self.state()]

    def take_copy(self) -> None:
        super().take_copy()
        self.copied_version = self.routes_version
        self.copied_routes_number = number_of(self.routes_revision)

    def restore(self, now_ms: int) -> None:
        super().restore(now_ms)
        self.routes_version = self.copied_version
        self.routes_revision = make_revision(
            era=era_of(self.revision), number=self.copied_routes_number
        )
        self.versions.append((self.revision, self.routes_version))
        self.past_versions.append((now_ms, self.routes_version))
        self.states = [self.state()]
        self.is_changed = True

    def toggle(self, number: int, now_ms: int) -> None:
        super().toggle(number, now_ms)
        self.states.append(self.state())

    def write_routes(self, version: int, now_ms: int) -> None:
        self.revision += 1
        self.routes_version = version
        self.routes_revision = self.revision
        self.versions.append((self.revision, version))
        self.past_versions.append((now_ms, version))
        self.states.append(self.state())

    def register(self, local: ListReader, expected: int) -> None:
        if self.record.revision == expected:
            self.revision += 1
            self.record = RegisteredReader(local, self.revision)
            self.states.append(self.state())

    def drop_history(self) -> None:
        self.history.clear()
        self.begin = self.revision + 1
        self.is_changed = True

    def is_disturbed(self) -> bool:
        """Return whether the store was restored, or lost its history, since the last call."""
        was_changed, self.is_changed = self.is_changed, False
        return was_changed

    def state(self) -> StoreState:
        return StoreState(self.revision, self.listed, self.record, self.routes_version)

    def version_at(self, revision: int) -> int:
        """Return the version that the store had at a revision."""
        return max((each for each in self.versions if each[0] <= revision), default=(0, 0))[1]

    def knows_changes_after(self, revision: int) -> bool:
        is_full = len(self.history) == MAX_HISTORY_CHANGES
        begin = self.history[0][0] if is_full else self.begin
        return era_of(revision) == era_of(self.revision) and revision + 1 >= begin

    def changes_after(self, revision: int) -> list[ServerChange]:
        numbers = {number for at, number in self.history if at > revision}
        return [change(number, number in self.listed) for number in sorted(numbers)]


class Call(NamedTuple):
    """A call to the store; its answer is made at ``made_ms`` and arrives at ``arrival_ms``."""

    read: NextRead
    is_in_parts: bool
    began_ms: int
    made_ms: int
    arrival_ms: int


class Answer(NamedTuple):
    """An answer, with the changes after the revision of the call.

    ``changed_version`` is None if the routes have not changed since.
    """

    state: StoreState
    changes: list[ServerChange]
    is_continued: bool
    changed_version: int | None


class RoutesCall(NamedTuple):
    """The second call of a read in parts; its answer arrives at ``arrival_ms``."""

    read: NextRead
    up_to_revision: int
    arrival_ms: int


class Claim(NamedTuple):
    """A claim of the reader role, which the store executes at ``made_ms``.

    The answer comes at ``arrival_ms``, or never if that is None.
    """

    expected: int
    made_ms: int
    arrival_ms: int | None


def change(number: int, is_listed: bool) -> ServerChange:
    return ServerChange(str(number), None, is_listed)


class Host:
    """A host of the failure domain; its clock advances while it is paused."""

    def __init__(self, *, number: int, incarnation: int, now_ms: int, world_ms: int) -> None:
        self.local = ListReader(f"entry-{number}", "10.0.0.1", 7000 + number, incarnation)
        self.sharing = ListSharing(
            local_reader=self.local,
            age_limit_ms=AGE_LIMIT_MS,
            random_source=random.Random(incarnation),
            link_mbps=NARROW_LINK_MBPS if number == NARROW_HOST else None,
        )
        self.knowledge = StoreKnowledge(
            sharing=self.sharing, random_source=random.Random(incarnation), now_ms=now_ms
        )
        self.now_ms = now_ms
        self.started_ms = world_ms
        self.listed: set[int] = set()
        self.routes_version = 0
        self.role = ListSharingRole.READING
        self.has_lost_reader = False
        self.call: Call | None = None
        self.answer: Answer | None = None
        self.routes_call: RoutesCall | None = None
        self.claim: Claim | None = None
        self.claimed: RegisteredReader | None = None
        self.known_at_call = 0
        self.probe: tuple[int, int, int] | None = None
        self.next_probe_ms = now_ms
        self.lagging_since_ms: int | None = None
        self.next_call_ms = now_ms
        self.next_request_ms = now_ms
        self.is_paused = False
        self.reaches_store = True
        self.reaches_peers = True
        self.is_refused_routes = number % 2 == 1
        self.random = random.Random(incarnation)
        self.is_watch_silent = False
        # Whether the network holds answers up, until it no longer does or the call times out.
        self.holds_answers = False
        self.is_store_down = False
        # When a host that waits for its reader reads without it.
        self.wait_deadline_ms: int | None = None
        self.calm_since_ms = world_ms

    @property
    def is_disturbed(self) -> bool:
        """Return whether a fault of this host lasts."""
        reaches_all = self.reaches_store and self.reaches_peers and not self.is_store_down
        is_hindered = self.is_refused_routes or self.is_watch_silent or self.holds_answers
        return self.is_paused or is_hindered or not reaches_all

    def waits_for_reader(self) -> bool:
        """Return whether the host waits for its reader before it reads, as in ``ListReads``."""
        is_lost = self.knowledge.is_store_lost and self.role is ListSharingRole.READING
        if not is_lost or not self.knowledge.has_answering_reader(self.now_ms):
            self.wait_deadline_ms = None
            return False
        if self.wait_deadline_ms is None:
            self.wait_deadline_ms = self.now_ms + READER_RECOVERY_WAIT_MS
        return self.now_ms < self.wait_deadline_ms

    def report(self, event: StoreEvent) -> None:
        for action in self.knowledge.on_event(event, self.now_ms):
            if isinstance(action, CallAgain):
                self.next_call_ms = self.now_ms + action.delay_ms

    @property
    def is_idle(self) -> bool:
        """Return whether no call is under way."""
        return self.call is None and self.routes_call is None and self.claim is None

    def reads_parts(self, read: NextRead) -> bool:
        """Return whether a read brings the servers first and then the routes."""
        if read is NextRead.CATCH_UP:
            is_serving = self.role is ListSharingRole.SERVING
            return not is_serving or self.knowledge.must_read_parts()
        return read is NextRead.PARTS

    def fail(self) -> None:
        self.end_call()
        self.report(CallFailed("refused"))

    def end_call(self) -> None:
        self.call = self.answer = self.probe = self.lagging_since_ms = self.routes_call = None

    def update_role(self) -> None:
        role = self.sharing.role(self.now_ms)
        if role is not self.role:
            if self.role is ListSharingRole.FOLLOWING and role is ListSharingRole.READING:
                self.sharing.on_reader_lost(self.now_ms)
                # A host that lost its reader catches up, whatever it reads afterwards.
                self.has_lost_reader = True
            self.role = role
            self.wait_deadline_ms = None
            self.report(RoleChanged(role))
            if role is ListSharingRole.FOLLOWING:
                self.end_call()

    def take_routes(self, version: int, *, up_to_revision: int | None) -> None:
        self.report(RoutesCompared(version > self.routes_version))
        self.routes_version = max(self.routes_version, version)
        self.sharing.on_routes_read(route_table(version=version), up_to_revision=up_to_revision)

    def take_list(self, state: StoreState) -> None:
        routes = route_table(version=state.routes_version)
        self.routes_version = max(self.routes_version, state.routes_version)
        if self.sharing.is_outdated(state.revision):
            self.sharing.on_routes_read(routes, up_to_revision=state.revision)
        else:
            self.listed = set(state.listed)
            self.sharing.on_list_read(state.revision, self.now_ms, routes=routes)
        self.sharing.on_reader_registered(state.record, self.now_ms)

    def take_changes(self, answer: Answer) -> None:
        version, revision = answer.changed_version, answer.state.revision
        self.report(RoutesCompared(version is not None and version > self.routes_version))
        routes = None if version is None else route_table(version=version)
        self.routes_version = max(self.routes_version, version or 0)
        if self.sharing.is_outdated(revision):
            self.sharing.on_routes_read(routes, up_to_revision=revision)
        else:
            self.apply(answer.changes)
            self.sharing.on_changes_read(answer.changes, revision, self.now_ms, routes=routes)

    def take_server_changes(self, answer: Answer) -> None:
        if not self.sharing.is_outdated(answer.state.revision):
            self.apply(answer.changes)
            self.sharing.on_servers_read(answer.changes, answer.state.revision, self.now_ms)

    def apply(self, changes: Iterable[ServerChange]) -> None:
        for each in changes:
            number = int(each.server_id)
            (self.listed.add if each.is_listed else self.listed.discard)(number)

    def end_read(self, store: VersionedStore) -> None:
        """Apply the answer to the present call."""
        call, answer = self.call, self.answer
        assert call is not None
        assert answer is not None
        self.end_call()
        self.next_call_ms = self.now_ms + READ_INTERVAL_MS
        revision = answer.state.revision
        if call.read is NextRead.STALE_LIST:
            self.report(StaleListRead())
            if not self.knowledge.is_list_known:
                self.report(ListTaken(ListSource.STALE_STORE, revision))
                self.take_list(answer.state)
            self.next_call_ms = self.now_ms
        elif call.read is NextRead.WHOLE_LIST:
            was_reader = self.sharing.is_reader
            self.report(WholeListRead(call.began_ms, revision))
            self.take_list(answer.state)
            if was_reader and not self.sharing.is_reader:
                self.sharing.claim_at(self.now_ms)
        elif not answer.is_continued:
            self.report(HistoryLost("dropped"))
        elif not call.is_in_parts:
            self.report(ChangesRead(call.began_ms, revision))
            self.take_changes(answer)
            self.sharing.on_reader_registered(answer.state.record, self.now_ms)
        else:
            self.report(ServersRead(call.began_ms, revision))
            self.take_server_changes(answer)
            # The routes are read alone, after the servers; updates may come in between.
            up_to_revision = self.sharing.latest_revision
            arrival_ms = self.now_ms + TICK_MS * self.random.randint(0, 2)
            self.routes_call = RoutesCall(call.read, up_to_revision, arrival_ms)
            self.end_routes_read(store)
            return
        if call.read is NextRead.CATCH_UP and answer.is_continued:
            self.end_catch_up()

    def end_routes_read(self, store: VersionedStore) -> None:
        """Apply the routes that are read alone once they have arrived."""
        call = self.routes_call
        if call is None or self.now_ms < call.arrival_ms:
            return
        self.routes_call = None
        if self.is_refused_routes and self.random.random() < 0.5:
            self.fail()
            return
        self.report(RoutesRead(store.routes_revision))
        if era_of(store.routes_revision) > era_of(call.up_to_revision):
            self.report(HistoryLost("restored"))
            return
        self.take_routes(store.routes_version, up_to_revision=call.up_to_revision)
        self.sharing.on_reader_registered(store.record, self.now_ms)
        if call.read is NextRead.CATCH_UP:
            self.end_catch_up()

    def end_catch_up(self) -> None:
        self.report(CaughtUp())
        self.has_lost_reader = False


class KnowledgeMachine(ListMachine):
    """Drives the hosts of one failure domain against one store."""

    @initialize()
    def start(self) -> None:
        self.begin(VersionedStore())
        self.newest_version = 1
        self.delays_routes = True
        self.hosts = [self._new_host(number, now_ms=0) for number in range(HOST_COUNT)]

    def _new_host(self, number: int, *, now_ms: int) -> Host:
        incarnation = next(self.incarnations)
        return Host(number=number, incarnation=incarnation, now_ms=now_ms, world_ms=self.now_ms)

    @rule(ticks=st.integers(1, 20))
    def pass_time(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now_ms += TICK_MS
            for host in self.hosts:
                host.now_ms += TICK_MS
            for host in self.hosts:
                self._execute_claim(host)
                if not host.is_paused:
                    self._tick(host)
                self._check_revisions()
            self._check_ages()
            self._check_limit()

    @rule()
    def stay_calm(self) -> None:
        """Let all faults end, so that a later one strikes hosts that have forgotten the former."""
        self._end_faults()
        self.pass_time(24)

    @rule(ticks=st.integers(6, 20), number=st.integers(0, SERVER_COUNT - 1))
    def cut_off_a_reader_after_an_outage(self, ticks: int, number: int) -> None:
        """Let a second fault strike long after the first.

        Readers reach the store first after the outage, so that their followers make no call.
        """
        self._end_faults()
        self.take_the_store_down_or_up(True)
        self.pass_time(ticks)
        self.take_the_store_down_or_up(False)
        self.pass_time(24)
        self.change_a_server_while_a_reader_is_cut_off(number, 18, True)

    @rule(is_down=st.booleans())
    def take_the_store_down_or_up(self, is_down: bool) -> None:
        for host in self.hosts:
            host.is_store_down = is_down

    @rule(number=st.integers(0, HOST_COUNT - 1), holds=st.booleans())
    def hold_up_or_deliver_answers(self, number: int, holds: bool) -> None:
        self.hosts[number].holds_answers = holds

    @rule(
        number=st.integers(0, SERVER_COUNT - 1),
        ticks=st.sampled_from([3, 6, 18]),
        holds=st.booleans(),
    )
    def change_a_server_while_a_reader_is_cut_off(
        self, number: int, ticks: int, holds: bool
    ) -> None:
        for host in self.hosts:
            host.holds_answers = holds and host.sharing.is_reader
        self.toggle_a_server(number)
        self.pass_time(ticks)

    @rule(is_long=st.booleans())
    def let_answers_take_long(self, is_long: bool) -> None:
        self.max_latency_ticks = MAX_LATENCY_TICKS if is_long else CALM_LATENCY_TICKS

    @rule()
    def write_routes(self) -> None:
        self.newest_version += 1
        self.store.write_routes(self.newest_version, self.now_ms)

    @rule(delays=st.booleans())
    def delay_routes_of_readers(self, delays: bool) -> None:
        """Let the routes that a reader announces come later than its changes of servers."""
        self.delays_routes = delays

    @rule()
    def drop_the_history(self) -> None:
        self.store.drop_history()

    @rule(number=st.integers(0, HOST_COUNT - 1))
    def crash_and_return(self, number: int) -> None:
        # The store's record may still name the host's former process.
        self.hosts[number] = self._new_host(number, now_ms=self.random.randrange(10_000))

    @rule()
    def let_a_second_host_take_the_role(self) -> None:
        # The former reader serves until it learns of the record.
        others = [host for host in self.hosts if not host.sharing.is_reader]
        if others:
            self.store.register(others[0].local, self.store.record.revision)

    @rule(number=st.integers(0, HOST_COUNT - 1), refuses=st.booleans())
    def refuse_or_admit_a_host(self, number: int, refuses: bool) -> None:
        self.hosts[number].reaches_store = not refuses

    @rule(number=st.integers(0, HOST_COUNT - 1), refuses=st.booleans())
    def refuse_or_return_the_routes(self, number: int, refuses: bool) -> None:
        self.hosts[number].is_refused_routes = refuses

    @rule(number=st.integers(0, HOST_COUNT - 1), silent=st.booleans())
    def silence_or_mend_its_watch(self, number: int, silent: bool) -> None:
        self.hosts[number].is_watch_silent = silent

    @rule(number=st.integers(0, HOST_COUNT - 1), neighbour=st.integers(0, HOST_COUNT - 1))
    def offer_the_list_of_a_neighbour(self, number: int, neighbour: int) -> None:
        host, source = self.hosts[number], self.hosts[neighbour]
        if host.is_paused or host is source or not source.knowledge.is_list_known:
            return
        revision = source.sharing.revision
        wants = host.knowledge.wants_neighbours_list(ListOffer(revision), host.now_ms)
        if not wants or host.sharing.is_outdated(revision) or not self._delivers(host, source):
            return
        known = host.sharing.revision if host.knowledge.is_list_known else 0
        host.report(ListTaken(ListSource.NEIGHBOUR, revision))
        record = source.sharing.registered_reader
        host.take_list(
            StoreState(revision, frozenset(source.listed), record, source.routes_version)
        )
        assert host.sharing.revision > known

    def check_recovery(self) -> None:
        """Check that, once all faults end, all hosts know the store's state and say so."""
        self._end_faults()
        self.pass_time(400)
        roles = sorted(host.sharing.role(host.now_ms) for host in self.hosts)
        assert roles == [ListSharingRole.FOLLOWING] * (HOST_COUNT - 1) + [ListSharingRole.SERVING]
        for host in self.hosts:
            assert host.listed == self.store.listed
            assert host.routes_version >= self.store.routes_version
            assert host.knowledge.list_age_ms(host.now_ms) <= AGE_LIMIT_MS
            if host.role is ListSharingRole.SERVING:
                assert not host.knowledge.is_store_lost
                assert not host.knowledge.has_abandoned_watch

    def _end_faults(self) -> None:
        self.loses_datagrams = self.delays_routes = False
        self.max_latency_ticks = CALM_LATENCY_TICKS
        for host in self.hosts:
            host.is_paused = host.is_watch_silent = host.is_refused_routes = False
            host.reaches_store = host.reaches_peers = True
            host.is_store_down = host.holds_answers = False

    def _check_limit(self) -> None:
        """Check that a host in touch has a young list, whatever befalls the reader (review/12)."""
        is_busy = self.loses_datagrams or self.delays_routes or self.store.is_disturbed()
        is_busy = is_busy or self.max_latency_ticks > CALM_LATENCY_TICKS
        for host in self.hosts:
            if is_busy or host.is_disturbed:
                host.calm_since_ms = self.now_ms
            elif self.now_ms - host.calm_since_ms >= CALM_MS and host.knowledge.is_list_known:
                self._check_state_since(host, self.now_ms - LIMIT_MS)

    def _check_ages(self) -> None:
        """Check that each host has what the store had when its list was last up to date."""
        for host in self.hosts:
            # A paused host makes no decisions.
            if host.is_paused or not host.knowledge.is_list_known:
                continue
            confirmed_ms = self.now_ms - host.knowledge.list_age_ms(host.now_ms)
            # A list that has not been confirmed since the start is not used.
            if confirmed_ms <= host.started_ms:
                continue
            self._check_state_since(host, confirmed_ms)
            routes_ms = host.knowledge.routes_confirmed_ms()
            if routes_ms is not None:
                since_ms = self.now_ms - (host.now_ms - routes_ms)
                assert host.routes_version >= min(_since(self.store.past_versions, since_ms))

    def _check_state_since(self, host: Host, since_ms: int) -> None:
        """Check that a host has for each server, and of the routes, what the store had since."""
        states = _since(self.store.past, since_ms)
        for number in range(SERVER_COUNT):
            assert any((number in host.listed) == (number in listed) for listed in states)
        if not host.sharing.needs_routes:
            assert host.routes_version >= min(_since(self.store.past_versions, since_ms))

    def _check_revisions(self) -> None:
        """Check that no host's revision is past routes that it never got, as in review/6."""
        for host in self.hosts:
            assert host.routes_version >= self.store.version_at(host.sharing.revision)

    def _tick(self, host: Host) -> None:
        host.knowledge.is_outdated_by_pause(host.now_ms)
        self._go_on_with_call(host)
        host.end_routes_read(self.store)
        self._end_claim(host)
        host.update_role()
        if host.is_idle and host.now_ms >= host.next_call_ms:
            self._begin_call(host)
        if host.now_ms >= host.next_request_ms:
            host.next_request_ms = host.now_ms + REQUEST_INTERVAL_MS
            self._ask_reader(host)
        host.update_role()

    def _begin_call(self, host: Host) -> None:
        read = host.knowledge.next_read(host.now_ms)
        if read is NextRead.FOLLOW:
            if host.sharing.is_reader_silent(host.now_ms):
                host.sharing.on_reader_silent(host.now_ms)
                self._claim_if_due(host)
            return
        if host.has_lost_reader and read in (NextRead.WATCH, NextRead.PARTS):
            read = NextRead.CATCH_UP
        if not host.reaches_store or host.is_store_down:
            host.fail()
            return
        if read is NextRead.CATCH_UP and host.waits_for_reader():
            return
        if read is NextRead.WATCH and self._claim_if_due(host):
            return
        made_ticks = self.random.randint(0, self.max_latency_ticks)
        ticks = self.random.randint(max(1, made_ticks), self.max_latency_ticks)
        made_ms = host.now_ms + made_ticks * TICK_MS
        is_in_parts = host.reads_parts(read)
        host.call = Call(read, is_in_parts, host.now_ms, made_ms, host.now_ms + ticks * TICK_MS)
        host.known_at_call = host.sharing.servers_revision if is_in_parts else host.sharing.revision
        host.next_probe_ms = host.now_ms + PROBE_INTERVAL_MS
        self._make_answer(host)

    def _claim_if_due(self, host: Host) -> bool:
        """Let a host claim the role if it may; updates and routes may come before the answer."""
        deadline_ms = host.sharing.claim_deadline_ms(host.now_ms)
        if deadline_ms is None or host.now_ms < deadline_ms:
            return False
        host.sharing.on_claim_attempt()
        made_ms = self.now_ms + self.random.randint(0, self.max_latency_ticks) * TICK_MS
        arrival_ms = made_ms + self.random.randint(0, self.max_latency_ticks) * TICK_MS
        is_lost = self.loses_datagrams and self.random.random() < 0.5
        host.claim = Claim(
            host.sharing.registered_reader.revision, made_ms, None if is_lost else arrival_ms
        )
        return True

    def _execute_claim(self, host: Host) -> None:
        """Let the store execute a claim that has reached it, whatever its host does meanwhile."""
        claim = host.claim
        if claim is not None and host.claimed is None and self.now_ms >= claim.made_ms:
            self.store.register(host.local, claim.expected)
            host.claimed = self.store.record

    def _end_claim(self, host: Host) -> None:
        claim = host.claim
        if claim is None or host.claimed is None:
            return
        if claim.arrival_ms is None:
            host.claim = host.claimed = None
            host.fail()
        elif self.now_ms >= claim.arrival_ms:
            host.sharing.on_reader_registered(host.claimed, host.now_ms, is_newest=True)
            host.report(StoreAnswered())
            host.claim = host.claimed = None

    def _make_answer(self, host: Host) -> None:
        call = host.call
        if call is None or host.answer is not None or host.now_ms < call.made_ms:
            return
        state = self.store.state()
        if call.read is NextRead.STALE_LIST:
            state = self.random.choice(self.store.states[-3:])
        have_routes_changed = self.store.routes_revision > host.known_at_call
        host.answer = Answer(
            state,
            self.store.changes_after(host.known_at_call),
            self.store.knows_changes_after(host.known_at_call),
            self.store.routes_version if have_routes_changed else None,
        )

    def _go_on_with_call(self, host: Host) -> None:
        if host.call is None:
            return
        if not host.reaches_store or host.is_store_down:
            host.fail()
            return
        self._make_answer(host)
        is_watch = host.call.read is NextRead.WATCH
        is_silent = host.is_watch_silent and is_watch
        if host.holds_answers:
            began_ms = host.call.began_ms
            if is_watch:
                began_ms = host.now_ms if host.probe is None else host.probe[0]
            if host.now_ms - began_ms >= CALL_TIMEOUT_MS:
                host.fail()
            elif is_watch and host.probe is None:
                self._probe(host)
        elif host.now_ms >= host.call.arrival_ms and not is_silent:
            host.end_read(self.store)
        elif host.call.read is NextRead.WATCH:
            self._probe(host)

    def _probe(self, host: Host) -> None:
        """Probe the store while a watch waits; abandon a watch that lags behind."""
        if host.lagging_since_ms is not None:
            if host.now_ms - host.lagging_since_ms > WATCH_LAG_LIMIT_MS:
                host.end_call()
                host.report(WatchAbandoned())
                host.next_call_ms = host.now_ms
            return
        if host.probe is None:
            if host.now_ms >= host.next_probe_ms:
                host.probe = (host.now_ms, self.store.revision, host.sharing.revision)
            return
        began_ms, store_revision, known_revision = host.probe
        host.probe = None
        host.next_probe_ms = host.now_ms + PROBE_INTERVAL_MS
        if era_of(store_revision) > era_of(known_revision):
            host.end_call()
            host.report(HistoryLost("restored"))
            return
        host.report(ProbeAnswered(began_ms, store_revision, known_revision))
        if store_revision > host.sharing.revision:
            host.lagging_since_ms = host.now_ms

    def _ask_reader(self, host: Host) -> None:
        asked = host.sharing.build_request(host.now_ms)
        if asked is None:
            return
        reader = next((h for h in self.hosts if h.local.port == asked[0].port), None)
        for _ in range(10):
            if reader is None or not self._delivers(host, reader):
                return
            request = host.sharing.build_request(host.now_ms)
            assert request is not None
            list_age_ms = reader.knowledge.list_age_ms(reader.now_ms)
            routes_ms = reader.knowledge.routes_confirmed_ms()
            update = reader.sharing.build_update(
                request[1],
                list_age_ms=list_age_ms,
                routes_age_ms=None if routes_ms is None else reader.now_ms - routes_ms,
            )
            if update is None:
                return
            taken = host.sharing.on_update(update, host.now_ms)
            host.report(FeedReceived())
            host.apply(taken.changes)
            if host.sharing.needs_routes and not (
                self.delays_routes and self.random.random() < 0.5
            ):
                host.take_routes(reader.routes_version, up_to_revision=None)
            if not taken.has_gap:
                return

    def _delivers(self, left: Host, right: Host) -> bool:
        if right.is_paused or not (left.reaches_peers and right.reaches_peers):
            return False
        return not self.loses_datagrams or self.random.random() < 0.5


def _since(past: list[tuple[int, T]], begin_ms: int) -> list[T]:
    """Return the state before a time and the ones from then on."""
    before = [state for at_ms, state in past if at_ms < begin_ms]
    return [*before[-1:], *(state for at_ms, state in past if at_ms >= begin_ms)]


TestKnowledge = KnowledgeMachine.TestCase
TestKnowledge.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
