"""Convergence: a configuration is not reverted, lost or overwritten."""

import itertools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from redwingswitch._internal.decisions.configuration.convergence import ConfigurationConvergence
from redwingswitch._internal.models.actions import (
    AcquireLease,
    ApplyDocument,
    ReleaseLease,
    RestoreDocument,
    SendToPeer,
    WatchStore,
)
from redwingswitch._internal.models.configuration import MAX_DOCUMENT_BYTES
from redwingswitch._internal.models.events import LeaseGranted, StoreDocumentArrived
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from redwingswitch._internal.models.messages import RevisionDocument, RevisionOffer, RevisionRequest
from tests.lib.cluster import Cluster, Link, document

HOSTS = {f"entry-{n}": "abc"[n % 3] for n in range(1, 8)}
CONVERGENCE_LIMIT_MS = 9_000


def started_cluster(seed=1, *, store=True, link=None) -> Cluster:
    cluster = Cluster(hosts=HOSTS, seed=seed, link=link)
    if store:
        cluster.accept(document(1))
    for name in HOSTS:
        cluster.start(name)
    if store:
        assert (
            cluster.run_until(lambda: cluster.in_force(1), limit_ms=CONVERGENCE_LIMIT_MS)
            is not None
        )
        cluster.run_ms(3_000)
    return cluster


def watcher_of(cluster, domain):
    hosts = [h for h in cluster.hosts.values() if h.domain == domain]
    return next(host for host in hosts if host.convergence.watching(cluster.now()))


def new_convergence(now_ms=0, peers=("entry-2", "entry-3")) -> ConfigurationConvergence:
    convergence = ConfigurationConvergence(
        host="entry-1", failure_domain="a", random_source=random.Random(1)
    )
    names = sorted(("entry-1", *peers))
    rows = [MemberView(name, "a", 1, MemberState.ALIVE, HostDigest()) for name in names]
    convergence.set_members(MembershipView(tuple(rows)), now_ms)
    return convergence


def actions_of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def with_lease(convergence, now_ms) -> ConfigurationConvergence:
    """Return ``convergence`` after the store has granted it the watcher lease."""
    while not (asks := actions_of_type(convergence.on_timer(now_ms), AcquireLease)):
        now_ms += 50
    convergence.on_lease_granted(LeaseGranted(1, 77, asks[0].asked_ms), now_ms + 5)
    return convergence


# Each row: case, revisions in order of arrival with their digests, expected revision and conflict.
ARRIVAL_CASES = [
    ("reordered", [(3, ""), (1, ""), (2, "")], 3, False),
    ("duplicated", [(2, ""), (2, "")], 2, False),
    ("conflict is reported and does not replace", [(2, "aa"), (2, "bb")], 2, True),
    ("a higher revision ends a conflict", [(2, "aa"), (2, "bb"), (3, "")], 3, False),
    ("an old conflict is of no interest", [(3, ""), (2, "aa"), (2, "bb")], 3, False),
    ("revision 0 is not usable", [(0, "")], 0, False),
]


@pytest.mark.parametrize("from_store", [True, False])
@pytest.mark.parametrize(("arrivals", "revision", "conflict"), [row[1:] for row in ARRIVAL_CASES])
def test_revision_only_rises_in_any_order_of_arrival(arrivals, revision, conflict, from_store):
    convergence = new_convergence()
    applied = []
    for version, (arrived, digest) in enumerate(arrivals, start=1):
        accepted = document(arrived, digest=digest)
        if from_store:
            actions = convergence.on_store_document(StoreDocumentArrived(accepted, version), 10)
        else:
            actions = convergence.on_message("entry-2", RevisionDocument(accepted), 10)
        applied += [a.document["revision"] for a in actions_of_type(actions, ApplyDocument)]
    assert applied == sorted(set(applied))
    assert (convergence.revision(), convergence.conflict()) == (revision, conflict)


@pytest.mark.parametrize(
    "unusable",
    [document(2, text="x" * (MAX_DOCUMENT_BYTES + 1)), document(2) | {"schema_version": 99}],
)
def test_unusable_document_is_refused(unusable):
    convergence = new_convergence()
    assert not actions_of_type(
        convergence.on_message("entry-2", RevisionDocument(unusable), 10), ApplyDocument
    )
    assert convergence.document() is None


def test_shortened_digest_of_a_heartbeat_is_no_conflict():
    convergence = new_convergence()
    convergence.on_message("entry-2", RevisionDocument(document(2, digest="ab" * 32)), 10)
    convergence.on_digest("entry-2", HostDigest(2, "ab" * 8), 20)
    assert not convergence.conflict()
    convergence.on_digest("entry-2", HostDigest(2, "ac" * 8), 30)
    assert convergence.conflict()


def test_one_transfer_at_a_time_and_another_source_after_the_deadline():
    convergence = new_convergence(peers=("entry-2", "entry-3", "entry-4"))
    asked = []
    for now_ms in range(0, 6_000, 10):
        for peer in ("entry-2", "entry-3", "entry-4"):
            convergence.on_digest(peer, HostDigest(4, "d"), now_ms)
        sent = actions_of_type(convergence.on_timer(now_ms), SendToPeer)
        asked += [(now_ms, a.host) for a in sent if isinstance(a.message, RevisionRequest)]
    gaps = [b - a for (a, _), (b, _) in itertools.pairwise(asked)]
    # A request before the timeout would cause a second transfer of a large document.
    assert len(gaps) == 4 and all(
        gap >= due for gap, due in zip(gaps, (250, 500, 1_000, 2_000), strict=True)
    )
    assert all(left != right for (_, left), (_, right) in itertools.pairwise(asked))


@pytest.mark.parametrize(("known", "kind"), [(3, RevisionDocument), (4, RevisionOffer)])
def test_request_is_answered_with_a_newer_document_or_a_refusal(known, kind):
    convergence = new_convergence()
    convergence.on_message("entry-2", RevisionDocument(document(4)), 10)
    actions = actions_of_type(
        convergence.on_message("entry-3", RevisionRequest(known), 20), SendToPeer
    )
    assert [type(action.message) for action in actions if action.host == "entry-3"] == [kind]


# Each row: case, document that the store delivers to a host with revision 5, and expected writes as
# (revision, expected version, fencing version).
RESTORE_CASES = [
    ("older content", document(3), [(5, 9, 77)]),
    ("lost content", None, [(5, 9, 77)]),
    ("same content", document(5), []),
    ("newer content", document(6), []),
]


@pytest.mark.parametrize(("stored", "written"), [row[1:] for row in RESTORE_CASES])
def test_older_content_is_restored_by_a_fenced_write_once(stored, written):
    convergence = with_lease(new_convergence(), 0)
    convergence.on_message("entry-2", RevisionDocument(document(5)), 100)
    event = StoreDocumentArrived(stored, 9)
    actions = convergence.on_store_document(event, 200) + convergence.on_store_document(event, 300)
    restores = actions_of_type(actions, RestoreDocument)
    fences = [(r.document["revision"], r.expected_version, r.fencing_version) for r in restores]
    assert fences == written


def test_host_without_the_lease_never_writes():
    convergence = new_convergence()
    convergence.on_message("entry-2", RevisionDocument(document(5)), 100)
    actions = convergence.on_store_document(StoreDocumentArrived(document(3), 9), 200)
    assert not actions_of_type(actions, RestoreDocument)


def test_paused_watcher_stops_watching_when_it_resumes():
    convergence = with_lease(new_convergence(), 0)
    convergence.on_message("entry-2", RevisionDocument(document(5)), 100)
    assert convergence.watching(1_000)
    actions = convergence.on_store_document(StoreDocumentArrived(document(3), 9), 30_000)
    actions += convergence.on_timer(30_000)
    assert not actions_of_type(actions, RestoreDocument)
    assert WatchStore(False) in actions and not convergence.watching(30_000)


def test_restoring_write_that_is_late_does_not_overwrite_a_successor():
    cluster = started_cluster()
    cluster.accept(document(2))
    cluster.run_ms(2_000)
    cluster.store.revert_to(document(1))
    cluster.store_call_ms = 20_000
    cluster.notify_watchers()
    cluster.run_ms(100)
    cluster.store_call_ms = 2
    cluster.accept(document(3))
    cluster.run_ms(30_000)
    assert cluster.store.refused_restores >= 1
    assert cluster.store.revision() == 3 and cluster.in_force(3)


def test_silent_watch_is_renewed_within_9_s():
    convergence = with_lease(new_convergence(), 0)
    convergence.on_store_document(StoreDocumentArrived(document(5), 9), 100)
    renewed = [
        now_ms
        for now_ms in range(200, 9_000, 50)
        if WatchStore(True) in _run_timer_with_lease(convergence, now_ms)
    ]
    assert renewed and renewed[0] < CONVERGENCE_LIMIT_MS


def _run_timer_with_lease(convergence, now_ms):
    actions = convergence.on_timer(now_ms)
    for ask in actions_of_type(actions, AcquireLease):
        convergence.on_lease_granted(LeaseGranted(1, 77, ask.asked_ms), now_ms)
    return actions


def test_leaving_watcher_releases_its_lease():
    convergence = with_lease(new_convergence(), 0)
    row = MemberView("entry-1", "a", 1, MemberState.LEAVING, HostDigest())
    actions = convergence.set_members(MembershipView((row,)), 200)
    assert actions_of_type(actions, ReleaseLease) and WatchStore(False) in actions


def _store_fails_after_accepting(cluster):
    cluster.accept(document(2))
    cluster.run_ms(10)
    cluster.set_store_down(True)


def _watcher_dies(cluster):
    cluster.crash(watcher_of(cluster, "a").name)
    cluster.accept(document(2))


def _watcher_pauses_and_domain_is_cut_off(cluster):
    cluster.pause(watcher_of(cluster, "a").name)
    cluster.partition({"a"}, from_store=False)
    cluster.accept(document(2))


def _domain_reaches_peers_only(cluster):
    cluster.partition({"b"}, from_store=True)
    cluster.partitioned_domains = set()
    cluster.accept(document(2))


FAULTS = [
    _store_fails_after_accepting,
    _watcher_dies,
    _watcher_pauses_and_domain_is_cut_off,
    _domain_reaches_peers_only,
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", range(3))
def test_change_is_in_force_within_9_s_on_every_running_host(fault, seed):
    cluster = started_cluster(seed)
    fault(cluster)
    running = [host for host in cluster.hosts.values() if not host.paused]
    done = cluster.run_until(
        lambda: all(host.convergence.revision() == 2 for host in running),
        limit_ms=CONVERGENCE_LIMIT_MS,
    )
    assert done is not None


def test_host_that_starts_while_the_store_is_down_asks_its_seeds():
    cluster = started_cluster()
    cluster.set_store_down(True)
    cluster.crash("entry-1")
    cluster.run_ms(5_000)
    cluster.start("entry-1")
    assert cluster.run_until(lambda: cluster.in_force(1), limit_ms=5_000) is not None


class ConvergenceMachine(RuleBasedStateMachine):
    """Injects random faults of store, network and hosts while operators apply new documents."""

    names = st.sampled_from(sorted(HOSTS))

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.cluster = started_cluster(seed)

    @rule(duration_ms=st.sampled_from([50, 500, 3_000, 8_000]))
    def pass_time(self, duration_ms):
        self.cluster.run_ms(duration_ms)

    @precondition(lambda self: not self.cluster.store.down)
    @rule()
    def accept(self):
        self.cluster.accept(document(self._highest() + 1))

    @rule(down=st.booleans())
    def change_store(self, down):
        self.cluster.set_store_down(down)

    @precondition(lambda self: self.cluster.store.down)
    @rule(steps=st.integers(1, 3))
    def lose_writes_during_an_outage(self, steps):
        revision = max(0, self.cluster.store.revision() - steps)
        self.cluster.store.revert_to(document(revision) if revision else None)

    @rule(lost=st.booleans())
    def lose_answers(self, lost):
        self.cluster.lose_store_answers = lost

    @rule(call_ms=st.sampled_from([2, 2_500, 9_000]))
    def slow_store_calls(self, call_ms):
        self.cluster.store_call_ms = call_ms

    @rule(domains=st.sets(st.sampled_from("abc"), max_size=2), from_store=st.booleans())
    def separate(self, domains, from_store):
        self.cluster.partition(domains, from_store=from_store)

    @rule(loss=st.sampled_from([0.0, 0.2]), delay_ms=st.sampled_from([10.0, 1_000.0]))
    def change_links(self, loss, delay_ms):
        self.cluster.link = Link((0.5, delay_ms), (5.0, delay_ms + 5), loss, loss)

    @rule(name=names)
    def pause_or_resume(self, name):
        host = self.cluster.hosts.get(name)
        if host is not None:
            (self.cluster.resume if host.paused else self.cluster.pause)(name)

    @rule(name=names)
    def crash_or_restart(self, name):
        if name not in self.cluster.hosts:
            self.cluster.start(name)
        elif len(self.cluster.hosts) > 1:
            self.cluster.crash(name)

    @invariant()
    def revisions_never_fall(self):
        for host in self._hosts():
            revisions = [revision for revision, _ in host.applied]
            assert revisions == sorted(set(revisions))
            assert not host.convergence.conflict()

    @invariant()
    def no_write_back_lowers_the_revision_in_the_store(self):
        assert not hasattr(self, "cluster") or self.cluster.store.restores_to_lower_revision == 0

    @invariant()
    def a_domain_has_at_most_one_watcher(self):
        hosts = [h for h in self._hosts() if h.convergence.watching(self.cluster.now())]
        assert len(hosts) == len({host.domain for host in hosts})

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.partition(set())
        self.cluster.link = Link()
        self.cluster.lose_store_answers = False
        self.cluster.store_call_ms = 2
        self.cluster.set_store_down(False)
        for host in [each for each in self._hosts() if each.paused]:
            self.cluster.resume(host.name)
        # Delivers documents still in transit that the store has lost, so that a host knows them.
        self.cluster.run_ms(1_000)
        highest = self._highest()
        assert self.cluster.run_until(lambda: self._settled(highest), limit_ms=60_000) is not None

    def _hosts(self):
        return self.cluster.hosts.values() if hasattr(self, "cluster") else ()

    def _highest(self):
        held = [host.convergence.revision() for host in self._hosts()]
        return max([self.cluster.store.revision(), *held])

    def _settled(self, revision):
        return self.cluster.in_force(revision) and self.cluster.store.revision() == revision


ConvergenceMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=20)
TestConvergenceMachine = ConvergenceMachine.TestCase
