"""Membership: no host remains wrongly dead or alive in the view of another host."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingswitch._internal.decisions.members.membership import Membership
from redwingswitch._internal.models.events import HostListChanged, ListedHost
from redwingswitch._internal.models.members import (
    HostDigest,
    MemberState,
    MemberUpdate,
    NeededRevision,
    Seed,
    WaitEstimate,
)
from redwingswitch._internal.models.messages import Ping
from tests.lib.cluster import Cluster, Link

ALIVE, SUSPECTED, LEAVING, DEAD = MemberState
HOSTS = {"entry-1": "a", "entry-2": "a", "entry-3": "b", "entry-4": "b", "entry-5": "c"}
SETTLING_LIMIT_MS = 60_000


def started_cluster(hosts=None, seed=1, link=None) -> Cluster:
    cluster = Cluster(hosts=hosts or HOSTS, seed=seed, link=link)
    for name in cluster.configured_hosts:
        cluster.start(name)
    cluster.run_ms(5_000)
    return cluster


def new_membership(incarnation=100) -> Membership:
    member = Membership(
        host="entry-1", failure_domain="a", incarnation=incarnation, random_source=random.Random(1)
    )
    member.set_seeds([Seed("entry-2", "a"), Seed("entry-3", "b"), Seed("entry-4", "c")], 0)
    return member


def receive_ping(member, sender, incarnation, *updates, now_ms=10):
    message = Ping(1, tuple(MemberUpdate(*update) for update in updates), HostDigest())
    return member.on_message(sender, incarnation, message, now_ms)


# Each row: case, expected state and incarnation of entry-3, which is in failure domain b, and the
# updates about it in order of arrival.
PRECEDENCE_CASES = [
    ("a late alive does not resurrect a leaving host", LEAVING, 7, [(7, LEAVING), (7, ALIVE)]),
    ("an older incarnation changes nothing", ALIVE, 9, [(9, ALIVE), (8, DEAD)]),
    ("suspicion at equal incarnation", SUSPECTED, 9, [(9, ALIVE), (9, SUSPECTED)]),
    ("reordered suspicion and refutation", ALIVE, 10, [(10, ALIVE), (9, SUSPECTED)]),
    ("a new process follows a dead one", ALIVE, 10, [(9, DEAD), (10, ALIVE)]),
    ("a duplicate changes nothing", DEAD, 9, [(9, DEAD), (9, DEAD), (9, ALIVE)]),
    ("a leaving host that died stays dead", DEAD, 9, [(9, LEAVING), (9, DEAD), (9, LEAVING)]),
]


@pytest.mark.parametrize(("state", "incarnation", "updates"), [row[1:] for row in PRECEDENCE_CASES])
def test_precedence_of_updates(state, incarnation, updates):
    member = new_membership()
    for update in updates:
        receive_ping(member, "entry-2", 50, ("entry-3", "b", *update))
    row = member.view().find("entry-3")
    assert (row.state, row.incarnation) == (state, incarnation)


@pytest.mark.parametrize(
    ("sender", "expected"), [("entry-2", DEAD), ("entry-3", DEAD), ("entry-4", ALIVE)]
)
def test_death_is_accepted_only_from_the_local_or_the_subjects_domain(sender, expected):
    # Otherwise connected hosts declare each other dead after a partition has healed.
    member = new_membership()
    receive_ping(member, sender, 50, ("entry-9", "b", 9, ALIVE))
    receive_ping(member, sender, 50, ("entry-9", "b", 9, DEAD))
    assert member.view().find("entry-9").state == expected


def test_unknown_host_is_not_added_because_it_is_dead():
    # Otherwise hosts that remove a dead member at different times add it again forever.
    member = new_membership()
    receive_ping(member, "entry-2", 50, ("entry-9", "b", 9, DEAD))
    assert member.view().find("entry-9") is None


@pytest.mark.parametrize(
    ("update", "expected"),
    [
        ((100, SUSPECTED), 101),
        ((100, DEAD), 101),
        ((250, ALIVE), 251),
        ((99, DEAD), 100),
        ((100, ALIVE), 100),
    ],
)
def test_host_refutes_updates_about_itself(update, expected):
    member = new_membership()
    receive_ping(member, "entry-2", 50, ("entry-1", "a", *update))
    assert member.incarnation == expected


def test_restarted_host_with_an_earlier_clock_learns_its_former_incarnation():
    member = new_membership()
    receive_ping(member, "entry-2", 50)
    _, answer = receive_ping(member, "entry-2", 40)
    restarted = Membership(
        host="entry-2", failure_domain="a", incarnation=40, random_source=random.Random(2)
    )
    restarted.set_seeds([Seed("entry-1", "a")], 0)
    restarted.on_message("entry-1", 100, answer.message, 20)
    assert restarted.incarnation > 50
    assert not member.accepts("entry-2", 40)


def test_digest_is_bounded_and_never_hides_a_needed_revision():
    member = new_membership()
    needed = tuple(NeededRevision(service + 1, 1_000 - service) for service in range(200))
    waits = tuple(WaitEstimate(service, service) for service in range(200))
    member.set_digest(HostDigest(5, "f" * 64, needed, waits))
    digest = member.view().find("entry-1").digest
    assert (len(digest.needed_revisions), len(digest.wait_estimates)) == (64, 64)
    assert max(entry.wait_ms for entry in digest.wait_estimates) == 63
    revisions = {entry.service_id: entry.revision for entry in digest.needed_revisions}
    assert all(revisions.get(each.service_id, revisions[0]) <= each.revision for each in needed)


@pytest.mark.parametrize(("listed", "died_within_ms"), [(None, 1_600), (False, 850), (True, 1_600)])
def test_platform_list_only_shortens_a_suspicion(listed, died_within_ms):
    member = new_membership()
    receive_ping(member, "entry-2", 50, ("entry-3", "b", 9, SUSPECTED))
    if listed is not None:
        rows = tuple(ListedHost(name, not listed) for name in ("entry-2", "entry-3"))
        member.on_host_list(HostListChanged(rows), 20)
    assert member.view().find("entry-2").state == ALIVE
    times = [
        t
        for t in range(20, 2_000, 10)
        if member.on_timer(t) is not None and _entry_3_is_dead(member)
    ]
    assert died_within_ms - 150 <= times[0] <= died_within_ms


def _entry_3_is_dead(member) -> bool:
    return member.view().find("entry-3").state == DEAD


def test_indirect_probe_prevents_a_suspicion_when_one_link_is_broken():
    cluster = started_cluster()
    blocked = {("entry-1", "entry-2"), ("entry-2", "entry-1")}
    send = cluster.send
    cluster.send = lambda host, target, message: (
        None if (host.name, target) in blocked else send(host, target, message)
    )
    for _ in range(100):
        cluster.run_ms(100)
        assert set(cluster.states_of("entry-2").values()) == {ALIVE}


@pytest.mark.parametrize("cut_off", [{"a"}, {"b"}, {"a", "c"}])
def test_healed_partition_merges_without_wrong_deaths_on_either_side(cut_off):
    cluster = started_cluster()
    cluster.partition(cut_off)
    cluster.run_ms(12_000)
    assert _wrong_rows(cluster, cut_off, same_side=False) == 0
    cluster.partition(set())
    for _ in range(150):
        cluster.run_ms(100)
        assert _wrong_rows(cluster, cut_off, same_side=True) == 0
    assert cluster.views_agree()


def _wrong_rows(cluster, cut_off, *, same_side):
    """Count rows of the same side that are dead, or rows of the other side that are not."""
    rows = [(h, row) for h in cluster.hosts.values() for row in h.membership.view().members]
    sides = [not {h.domain, row.failure_domain} & cut_off for h, row in rows]
    same = [side or h.domain == r.failure_domain for side, (h, r) in zip(sides, rows, strict=True)]
    dead = [row.state == DEAD for _, row in rows]
    return list(zip(same, dead, strict=True)).count((same_side, same_side))


def test_paused_host_restarts_the_suspicion_timeouts():
    member = new_membership()
    receive_ping(member, "entry-2", 50, ("entry-3", "b", 9, SUSPECTED))
    for now_ms in range(20, 600, 10):
        member.on_timer(now_ms)
    before = [row.state for row in member.view().members]
    member.on_timer(30_000)
    assert [row.state for row in member.view().members] == before
    for now_ms in range(30_300, 31_600, 300):
        member.on_timer(now_ms)
    assert member.view().find("entry-3").state == DEAD


def test_host_resumed_after_a_long_pause_suspects_no_host():
    cluster = started_cluster()
    cluster.pause("entry-1")
    cluster.run_ms(30_000)
    assert cluster.states_of("entry-1")["entry-2"] == DEAD
    cluster.resume("entry-1")
    assert cluster.run_until(cluster.views_agree, limit_ms=10_000) is not None
    states = {row.state for row in cluster.hosts["entry-1"].membership.view().members}
    assert states == {ALIVE}


def test_leaving_host_is_announced_at_once_and_not_resurrected():
    cluster = started_cluster()
    leaving = cluster.hosts["entry-1"]
    leaving.perform_and_set_timer(leaving.membership.begin_leaving(cluster.now()))
    cluster.run_ms(1_000)
    assert set(cluster.states_of("entry-1").values()) == {LEAVING}
    cluster.crash("entry-1")
    cluster.run_ms(20_000)
    assert set(cluster.states_of("entry-1").values()) == {DEAD}


class MembershipMachine(RuleBasedStateMachine):
    """Injects random faults; afterwards each view must show exactly the running hosts as alive."""

    names = st.sampled_from(sorted(HOSTS))

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.cluster = started_cluster(seed=seed)
        self.incarnations = {}

    @rule(duration_ms=st.sampled_from([700, 4_000, 15_000]))
    def pass_time(self, duration_ms):
        self.cluster.run_ms(duration_ms)

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.5]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_ms=st.sampled_from([10.0, 200.0, 2_000.0]),
    )
    def change_links(self, loss, duplication, delay_ms):
        self.cluster.link = Link((0.5, delay_ms), (5.0, delay_ms + 5), loss, duplication)

    @rule(domains=st.sets(st.sampled_from(["a", "b", "c"]), max_size=2))
    def separate(self, domains):
        self.cluster.partition(domains)

    @rule(name=names)
    def crash_or_restart(self, name):
        if name in self.cluster.hosts:
            self.cluster.crash(name)
        else:
            self.cluster.start(name)

    @rule(name=names)
    def pause_or_resume(self, name):
        host = self.cluster.hosts.get(name)
        if host is not None:
            (self.cluster.resume if host.paused else self.cluster.pause)(name)

    @invariant()
    def incarnations_never_fall(self):
        for host in getattr(self, "cluster", Cluster(hosts={}, seed=0)).hosts.values():
            for row in host.membership.view().members:
                key = (host.process_incarnation, row.host)
                assert row.incarnation >= self.incarnations.get(key, 0)
                self.incarnations[key] = row.incarnation

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.partition(set())
        self.cluster.link = Link()
        for host in [each for each in self.cluster.hosts.values() if each.paused]:
            self.cluster.resume(host.name)
        assert self.cluster.run_until(self._settled, limit_ms=SETTLING_LIMIT_MS) is not None
        self.cluster.run_ms(5_000)
        assert self._settled()

    def _settled(self):
        views = [host.membership.view().members for host in self.cluster.hosts.values()]
        running = set(self.cluster.hosts)
        return all((row.state == ALIVE) == (row.host in running) for v in views for row in v)


MembershipMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=20)
TestMembershipMachine = MembershipMachine.TestCase
