"""Membership and convergence of entry hosts on a virtual clock, with seeded network faults."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from redwingswitch._internal.decisions.configuration.convergence import ConfigurationConvergence
from redwingswitch._internal.decisions.members.membership import Membership
from redwingswitch._internal.models import actions as act
from redwingswitch._internal.models.configuration import (
    Configuration,
    DeclaredEntryHost,
    Document,
    ServerState,
)
from redwingswitch._internal.models.events import LeaseGranted, StoreDocumentArrived
from redwingswitch._internal.models.members import HostDigest, MemberState, Seed
from redwingswitch._internal.models.messages import Ack, Ping, PingRequest
from tests.lib.fake_store import FakeStore

STORE_DELAY_MS = 4
CONDITION_CHECK_INTERVAL_MS = 20


class Link(NamedTuple):
    """Faults of all links; each delay is drawn uniformly between its two bounds."""

    near_delay_ms: tuple[float, float] = (0.5, 1.5)
    far_delay_ms: tuple[float, float] = (5.0, 10.0)
    loss: float = 0.0
    duplication: float = 0.0


def declared_host(
    name: str, domain: str, state: ServerState = ServerState.ACTIVE
) -> DeclaredEntryHost:
    return DeclaredEntryHost(name, domain, "127.0.0.1", 7101, 7201, 7301, 7401, "", state)


def document(revision: int, text: str = "", digest: str = "") -> Document:
    digest = digest or f"{revision:064x}"
    return Document(
        schema_version=1,
        revision=revision,
        apply_id=f"apply-{revision}",
        operator="operator",
        digest=digest,
        text=text,
        recent_apply_ids=[],
    )


class SimulatedHost:
    """One host process: its membership and convergence, and the revisions that it applied."""

    def __init__(self, *, cluster, name: str, domain: str, incarnation: int) -> None:
        source = random.Random(f"{cluster.seed}/{name}/{incarnation}")
        self.name = name
        self.domain = domain
        self.cluster = cluster
        self.process_incarnation = incarnation
        self.membership = Membership(
            host=name, failure_domain=domain, incarnation=incarnation, random_source=source
        )
        self.convergence = ConfigurationConvergence(
            host=name, failure_domain=domain, random_source=source
        )
        self.applied: list[tuple[int, float]] = []
        self.paused = False
        self.backlog: list[Callable[[], None]] = []
        self.timer_ms: float | None = None
        self._view = None

    def start(self, seeds) -> None:
        self.membership.set_seeds(seeds, self.cluster.now())
        self.perform_and_set_timer([])

    def receive(self, sender: str, incarnation: int, message) -> None:
        now = self.cluster.now()
        if isinstance(message, Ping | Ack | PingRequest):
            accepted = self.membership.accepts(sender, incarnation)
            actions = self.membership.on_message(sender, incarnation, message, now)
            if accepted and not isinstance(message, PingRequest):
                actions = actions + self.convergence.on_digest(sender, message.digest, now)
        elif self.membership.accepts(sender, incarnation):
            actions = self.convergence.on_message(sender, message, now)
        else:
            actions = []
        self.perform_and_set_timer(actions)

    def on_timer(self) -> None:
        now = self.cluster.now()
        self.perform_and_set_timer(self.membership.on_timer(now) + self.convergence.on_timer(now))

    def perform_and_set_timer(self, actions) -> None:
        """Perform actions and set the timer, as the daemon does."""
        for action in actions:
            self.perform(action)
        view = self.membership.view()
        if view is not self._view:
            self._view = view
            for action in self.convergence.set_members(view, self.cluster.now()):
                self.perform(action)
        parts = (self.membership.next_deadline_ms(), self.convergence.next_deadline_ms())
        self.cluster.set_timer(self, min((p for p in parts if p is not None), default=None))

    def perform(self, action) -> None:
        if isinstance(action, act.SendToPeer):
            self.cluster.send(self, action.host, action.message)
        elif isinstance(action, act.ApplyDocument):
            self._apply(action.document)
        elif not isinstance(action, act.Log | act.Drop):
            self.cluster.schedule_store_call(self, action)

    def _apply(self, accepted: Document) -> None:
        now = self.cluster.now()
        self.applied.append((accepted["revision"], now))
        self.membership.set_digest(HostDigest(accepted["revision"], accepted["digest"]))
        entries = tuple(
            declared_host(name, domain) for name, domain in self.cluster.configured_hosts.items()
        )
        configuration = Configuration(accepted["revision"], accepted["digest"], (), (), entries, ())
        for action in self.membership.apply_configuration(configuration, now):
            self.perform(action)


class Cluster:
    """Simulates the hosts, the network, the store and the clock."""

    def __init__(self, *, hosts: dict[str, str], seed: int, link: Link | None = None) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.link = link or Link()
        self.configured_hosts = hosts
        self.store = FakeStore()
        self.hosts: dict[str, SimulatedHost] = {}
        self.partitioned_domains: set[str] = set()
        self.domains_without_store: set[str] = set()
        self.lose_store_answers = False
        self.store_call_ms = STORE_DELAY_MS / 2
        self.on_send: Callable | None = None
        self._time_ms = 1_000.0
        self._queue: list = []
        self._call_count = 0
        self._incarnation = 1_764_000_000_000 << 16

    def now(self) -> int:
        return int(self._time_ms)

    def start(self, name: str) -> None:
        """Start or restart a host without any previous state."""
        self._incarnation += 1 << 16
        domain = self.configured_hosts[name]
        host = SimulatedHost(cluster=self, name=name, domain=domain, incarnation=self._incarnation)
        self.hosts[name] = host
        host.start([Seed(*row) for row in self.configured_hosts.items()])

    def crash(self, name: str) -> None:
        self.hosts.pop(name)
        self.store.watchers.discard(name)

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        for delay_ms, call in enumerate([host.on_timer, *host.backlog]):
            self._schedule(min(1, delay_ms), partial(self._run_or_defer, host, call))
        host.backlog = []

    def partition(self, domains: set[str], *, from_store: bool = True) -> None:
        """Partition failure domains from all others; an empty set heals every partition."""
        self.partitioned_domains = set(domains)
        self.domains_without_store = set(domains) if from_store else set()
        for host in [h for h in self.hosts.values() if h.domain in self.domains_without_store]:
            self._break_watch(host)

    def set_store_down(self, down: bool) -> None:
        self.store.down = down
        for host in list(self.hosts.values()) if down else ():
            self._break_watch(host)

    def accept(self, accepted: Document) -> None:
        self.store.accept(accepted)
        self.notify_watchers()

    def notify_watchers(self) -> None:
        for name in sorted(self.store.watchers):
            self._deliver_document(self.hosts[name])

    def run_ms(self, duration_ms: float) -> None:
        end_ms = self._time_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self._time_ms, _, call = heapq.heappop(self._queue)
            call()
        self._time_ms = end_ms

    def run_until(self, condition: Callable[[], bool], *, limit_ms: float) -> float | None:
        """Return the time until the condition held, or None when it did not within the limit."""
        start_ms = self._time_ms
        while self._time_ms <= start_ms + limit_ms:
            if condition():
                return self._time_ms - start_ms
            self.run_ms(CONDITION_CHECK_INTERVAL_MS)
        return None

    def send(self, sender: SimulatedHost, target: str, message) -> None:
        incarnation = sender.membership.incarnation
        if self.on_send is not None:
            self.on_send(sender, target, incarnation, message)
        copies = 2 if self.random.random() < self.link.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.link.loss:
                delay_ms = self._delay_ms(sender.domain, self.configured_hosts.get(target, ""))
                self._schedule(
                    delay_ms, partial(self._deliver, sender, target, incarnation, message)
                )

    def set_timer(self, host: SimulatedHost, deadline_ms: int | None) -> None:
        if deadline_ms is None or host.timer_ms == deadline_ms:
            return
        host.timer_ms = deadline_ms
        self._schedule(
            max(0, deadline_ms - self._time_ms), partial(self._on_timer, host, deadline_ms)
        )

    def schedule_store_call(self, host: SimulatedHost, action) -> None:
        self._schedule(self.store_call_ms, partial(self._perform_store_call, host, action))

    def states_of(self, name: str) -> dict[str, MemberState | None]:
        """Return the state of a host in the view of each running host."""
        views = ((h.name, h.membership.view().find(name)) for h in self.hosts.values())
        return {observer: row.state if row else None for observer, row in views}

    def views_agree(self) -> bool:
        """Return whether every running host sees exactly the running hosts as alive."""
        running = set(self.hosts)
        views = [host.membership.view().members for host in self.hosts.values()]
        return all({m.host for m in v if m.state == MemberState.ALIVE} == running for v in views)

    def in_force(self, revision: int) -> bool:
        return all(h.convergence.revision() == revision for h in self.hosts.values())

    def _schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._call_count += 1
        heapq.heappush(self._queue, (self._time_ms + delay_ms, self._call_count, call))

    def _delay_ms(self, left: str, right: str) -> float:
        low, high = self.link.near_delay_ms if left == right else self.link.far_delay_ms
        return low + (high - low) * self.random.random()

    def _deliver(self, sender, target, incarnation, message) -> None:
        host = self.hosts.get(target)
        if host is not None and self.is_reachable(sender.domain, host.domain):
            self._run_or_defer(host, partial(host.receive, sender.name, incarnation, message))

    def is_reachable(self, left: str, right: str) -> bool:
        return left == right or not self.partitioned_domains & {left, right}

    def _run_or_defer(self, host: SimulatedHost, call: Callable[[], None]) -> None:
        if self.hosts.get(host.name) is host:
            host.backlog.append(call) if host.paused else call()

    def _on_timer(self, host: SimulatedHost, deadline_ms: int) -> None:
        current = host.timer_ms == deadline_ms and self.hosts.get(host.name) is host
        if current and not host.paused:
            host.timer_ms = None
            host.on_timer()

    def _break_watch(self, host: SimulatedHost) -> None:
        if host.name in self.store.watchers:
            self.store.watchers.discard(host.name)
            self._reply_from_store(host, host.convergence.on_store_unavailable)

    def _reply_from_store(self, host: SimulatedHost, handle: Callable) -> None:
        call = partial(
            self._run_or_defer, host, lambda: host.perform_and_set_timer(handle(self.now()))
        )
        self._schedule(STORE_DELAY_MS / 2, call)

    def _deliver_document(self, host: SimulatedHost) -> None:
        event = StoreDocumentArrived(self.store.document, self.store.version)
        self._reply_from_store(host, partial(host.convergence.on_store_document, event))

    def _perform_store_call(self, host: SimulatedHost, action) -> None:
        if self.store.down or host.domain in self.domains_without_store:
            self._reply_from_store(host, host.convergence.on_store_unavailable)
            return
        if isinstance(action, act.AcquireLease):
            self._acquire_lease(host, action)
        elif isinstance(action, act.ReleaseLease):
            self.store.release(action.key, host.name)
        elif isinstance(action, act.WatchStore):
            self._watch(host, action.watching)
        elif isinstance(action, act.RestoreDocument):
            self._restore(host, action)

    def _acquire_lease(self, host: SimulatedHost, action) -> None:
        lease = self.store.acquire(action.key, action.holder, action.ttl_ms, self.now())
        if self.lose_store_answers:
            self._reply_from_store(host, host.convergence.on_store_unavailable)
        elif lease is None:
            self._reply_from_store(host, host.convergence.on_lease_refused)
        else:
            event = LeaseGranted(lease.lease_id, lease.key_version, action.asked_ms)
            self._reply_from_store(host, partial(host.convergence.on_lease_granted, event))

    def _watch(self, host: SimulatedHost, watching: bool) -> None:
        if not watching or host.name not in self.hosts:
            self.store.watchers.discard(host.name)
            return
        self.store.calls["watch"] += 1
        self.store.calls["read"] += 1
        self.store.watchers.add(host.name)
        self._deliver_document(host)

    def _restore(self, host: SimulatedHost, action) -> None:
        if self.store.restore(action, f"redwingswitch/watcher/{host.domain}", self.now()):
            self.notify_watchers()
