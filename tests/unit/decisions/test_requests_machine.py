"""Stateful test of requests on several hosts with random faults.

A non-idempotent request never runs twice, "not run" is reported only for requests that did not run,
and no answer mixes the parts of two attempts.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.lib.request_cluster import RequestCluster, configuration, server, service

DOMAINS = ("a", "b", "c", "d")
HOSTS = {f"h{i}": DOMAINS[i % 4] for i in range(6)}
SPARE_HOSTS = {"h6": "c", "h7": "d"}
SERVICES = [
    service("orders", [server(f"o{i}", "orders", DOMAINS[i % 3]) for i in range(3)]),
    service("reads", [server(f"r{i}", "reads", DOMAINS[i % 3]) for i in range(3)], idempotent=True),
]
SERVERS = sorted(s.name for x in SERVICES for s in x.backend_servers)
ids = st.integers(0, 2).map(lambda i: b"%016d" % i)
hosts = st.sampled_from(sorted(HOSTS | SPARE_HOSTS))


class RequestMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 50), loss=st.sampled_from([0.0, 0.15]))
    def begin(self, seed: int, loss: float) -> None:
        config = configuration(1, dict(HOSTS), SERVICES)
        self.cluster = RequestCluster(config, seed=seed, loss=loss, duplication=loss)
        self.services: dict[bytes, str] = {}
        self.first_sent_ms: dict[bytes, int] = {}

    def _alive(self, host: str) -> bool:
        return host in self.cluster.hosts and self.cluster.hosts[host].alive

    @rule(
        entry=st.lists(hosts, min_size=1, max_size=2),
        request_id=ids,
        name=st.sampled_from(["orders", "orders", "reads"]),
        parts=st.integers(1, 2),
        remaining_ms=st.sampled_from([120, 30_000]),
        wait_ms=st.sampled_from([0, 15, 400]),
    )
    def send(self, entry: list[str], request_id: bytes, name: str, parts: int, **times: int):
        """Send a request; callers use an id for no longer than the request lifetime of 30 s."""
        first_ms = self.first_sent_ms.setdefault(request_id, self.cluster.now_ms)
        name = self.services.setdefault(request_id, name)
        left_ms = min(times["remaining_ms"], first_ms + 30_000 - self.cluster.now_ms)
        for host in entry:
            if self._alive(host) and left_ms > 0:
                self.cluster.send(host, request_id, name, parts=parts, remaining_ms=left_ms)
        self.cluster.run(times["wait_ms"])

    @rule(host=hosts, request_id=ids)
    def cancel(self, host: str, request_id: bytes) -> None:
        if self._alive(host) and request_id in self.services:
            self.cluster.cancel(host, request_id, self.services[request_id])

    @rule(duration_ms=st.sampled_from([5, 30, 200, 3_000]))
    def pass_time(self, duration_ms: int) -> None:
        self.cluster.run(duration_ms)

    @rule()
    def share_views(self) -> None:
        self.cluster.exchange_views()

    @rule(crashed=st.sets(hosts, min_size=1, max_size=3))
    def crash_and_restart(self, crashed: set[str]) -> None:
        for host in crashed:
            if self._alive(host) and not self.cluster.hosts[host].paused:
                self.cluster.start(host)

    @rule(host=hosts)
    def pause_or_resume(self, host: str) -> None:
        if not self._alive(host):
            return
        rig = self.cluster.hosts[host]
        if rig.paused:
            self.cluster.resume(host)
        else:
            rig.paused = True

    @rule(host=hosts)
    def stop(self, host: str) -> None:
        if self._alive(host) and not self.cluster.hosts[host].paused:
            rig = self.cluster.hosts[host]
            self.cluster.perform(host, rig.coordinator.begin_stop(self.cluster.now_ms))

    @rule(sides=st.lists(st.integers(0, 1), min_size=4, max_size=4))
    def partition(self, sides: list[int]) -> None:
        for host, domain in (HOSTS | SPARE_HOSTS).items():
            self.cluster.partition[host] = sides[DOMAINS.index(domain)]

    @rule()
    def heal(self) -> None:
        self.cluster.partition.clear()

    @rule(changed=st.sampled_from(sorted(HOSTS | SPARE_HOSTS)), learners=st.sets(hosts, min_size=1))
    def change_hosts(self, changed: str, learners: set[str]) -> None:
        """Add or remove one declared host; the hosts in ``learners`` learn of it at once."""
        declared = {h.name: h.failure_domain for h in self.cluster.config.entry_hosts}
        if changed in declared and len(declared) > 4:
            del declared[changed]
        elif changed not in declared:
            declared[changed] = (HOSTS | SPARE_HOSTS)[changed]
        revision = self.cluster.config.revision + 1
        self.cluster.config = configuration(revision, declared, SERVICES)
        if changed in declared and changed not in self.cluster.hosts:
            self.cluster.start(changed, abstain_ms=0)
        for host in learners:
            self.learn(host)

    @rule(host=hosts)
    def learn(self, host: str) -> None:
        if self._alive(host) and not self.cluster.hosts[host].paused:
            self.cluster.configure(host)

    @rule(
        names=st.sets(st.sampled_from(SERVERS), min_size=2),
        mode=st.sampled_from(["serve", "refuse", "shed", "hang", "reset"]),
    )
    def change_servers(self, names: set[str], mode: str) -> None:
        for name in names:
            self.cluster.servers[name].mode = mode

    @invariant()
    def guarantees_hold(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.cluster.check_invariants()
        for request_id, name in self.services.items():
            runs = self.cluster.runs[request_id]
            assert name != "orders" or runs <= 1, f"{request_id!r} ran {runs} times"

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            for host, rig in self.cluster.hosts.items():
                if rig.paused:
                    self.cluster.resume(host)
            self.cluster.run(40_000)
            self.guarantees_hold()
            for host, rig in self.cluster.hosts.items():
                assert rig.coordinator.count_in_progress() == 0, f"{host} holds an expired request"


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(max_examples=200, stateful_step_count=40)
