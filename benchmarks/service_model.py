"""A virtual-clock model of callers, links and backend servers around the request coordinators."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from benchmarks.event_queue import EventQueue
from redwingswitch._internal.decisions.health.backend_health import BackendHealth
from redwingswitch._internal.decisions.requests.coordinator import RequestCoordinator
from redwingswitch._internal.decisions.requests.target_selection import HealthChecker
from redwingswitch._internal.models.actions import (
    Action,
    AnswerCaller,
    DispatchRequest,
    SendToPeer,
)
from redwingswitch._internal.models.configuration import (
    BackendServer,
    Configuration,
    DeclaredEntryHost,
    FailureDomain,
    ServerState,
    Service,
    ServiceLevelObjectives,
    SizeClass,
)
from redwingswitch._internal.models.events import (
    AnswerPartArrived,
    AttemptFailed,
    RequestPartArrived,
)
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
    WaitEstimate,
)
from redwingswitch._internal.models.messages import PeerMessage
from redwingswitch._internal.models.requests import (
    FailureKind,
    Outcome,
    RequestHeader,
    SizeHint,
)

NEAR_DELAY_MS = 0.25
HEARTBEAT_INTERVAL_MS = 1_000
CALLER_COUNT = 40
SERVICE = "service"


class Deployment(NamedTuple):
    """Sizes of one deployment; hosts and servers are spread over the failure domains in turn."""

    name: str
    domains: int
    link_ms: int
    hosts: int
    servers: int
    slots: int = 2
    speeds: tuple[float, ...] = (1.0,)

    @property
    def capacity(self) -> float:
        """Return the capacity in slots of normal speed."""
        return sum(self.slots * self.speed(i) for i in range(self.servers))

    def speed(self, server: int) -> float:
        """Return the speed of a server relative to a normal one."""
        return self.speeds[server % len(self.speeds)]

    def domain(self, index: int) -> str:
        """Return the failure domain of a host or server."""
        return f"d{index % self.domains}"


HUON = Deployment("Huon", domains=3, link_ms=5, hosts=7, servers=7)
CHIKUSHI = Deployment("Chikushi", domains=4, link_ms=4, hosts=9, servers=7)


class Job(NamedTuple):
    """One request of a workload, with its service time on a server of normal speed."""

    at_ms: float
    service_ms: float
    deadline_ms: float
    is_long: bool
    hint: SizeHint
    caller: int


class Result(NamedTuple):
    """Result of a job; ``answered_ms`` is None without an answer."""

    job: Job
    answered_ms: float | None

    @property
    def is_useful(self) -> bool:
        """Return whether the answer came by the deadline."""
        return self.answered_ms is not None and self.answered_ms <= self.job.deadline_ms


class BusyTime(NamedTuple):
    """A time span in which a job occupied a slot of a server."""

    server: int
    job: int
    from_ms: float
    until_ms: float


class AlwaysHealthy:
    """Reports every server as healthy, for models without circuit breaking."""

    def on_dispatched(self, server: str, now_ms: int) -> None:
        """Ignore a dispatch."""

    def on_success(self, server: str, latency_ms: int, now_ms: int) -> None:
        """Ignore an answer."""

    def on_failure(self, server: str, kind: FailureKind, now_ms: int) -> None:
        """Ignore a failure."""

    def ejected(self, now_ms: int) -> frozenset[str]:
        """Return no servers."""
        return frozenset()

    def may_dispatch(self, server: str, idempotent: bool, now_ms: int) -> bool:
        """Allow every dispatch."""
        return True

    def slots(self, server: str, now_ms: int) -> int:
        """Return the slots of every server of both deployments."""
        return HUON.slots

    def weight(self, server: str, now_ms: int) -> float:
        """Return the full weight."""
        return 1.0


def configuration(
    deployment: Deployment, *, expected_ms: int, idempotent: bool = True
) -> Configuration:
    """Return the configuration of a deployment with one request service."""
    servers = tuple(
        BackendServer(
            f"s{i}",
            SERVICE,
            deployment.domain(i),
            "127.0.0.1",
            1,
            2,
            3,
            4,
            deployment.slots,
            2_000,
            ServerState.ACTIVE,
        )
        for i in range(deployment.servers)
    )
    service = Service(
        SERVICE,
        "10.1.0.1",
        443,
        0,
        False,
        True,
        idempotent,
        SizeClass.SHORT,
        expected_ms,
        900_000,
        ServiceLevelObjectives(),
        servers,
    )
    hosts = tuple(
        DeclaredEntryHost(
            f"h{i}", deployment.domain(i), "127.0.0.1", 1, 2, 3, 4, "", ServerState.ACTIVE
        )
        for i in range(deployment.hosts)
    )
    domains = tuple(
        FailureDomain(f"d{i}", "south", deployment.link_ms) for i in range(deployment.domains)
    )
    return Configuration(1, "1", domains, (service,), hosts, ())


class CoordinatedRun:
    """Runs a workload through one request coordinator on each entry host."""

    def __init__(
        self,
        deployment: Deployment,
        jobs: Sequence[Job],
        *,
        seed: int,
        expected_ms: int,
        idempotent: bool = True,
        failure_for: Callable[[int, float, random.Random], FailureKind | None] | None = None,
        circuit_breaking: bool = False,
    ) -> None:
        self.deployment, self.jobs = deployment, jobs
        self.busy: list[BusyTime] = []
        self.outcomes: dict[Outcome, int] = defaultdict(int)
        self.dispatches = 0
        self.peer_messages: list[tuple[str, str, PeerMessage]] = []
        self.answered_ms: dict[int, float] = {}
        self._random = random.Random(seed)
        self._failure_for = failure_for
        self._circuit_breaking = circuit_breaking
        self._events = EventQueue()
        self._end_ms = max(job.deadline_ms for job in jobs) + 1_000
        self._occupied = [0] * deployment.servers
        self._wait_estimates: dict[str, tuple[WaitEstimate, ...]] = {}
        self._timers: dict[str, float] = {}
        self._domains = {f"h{i}": deployment.domain(i) for i in range(deployment.hosts)}
        config = configuration(deployment, expected_ms=expected_ms, idempotent=idempotent)
        self._hosts = {name: self._coordinator(name, seed, config) for name in self._domains}
        for name, host in self._hosts.items():
            self._perform(name, host.apply_configuration(config, 0))
        self._exchange_views()

    def run(self) -> list[Result]:
        """Run the workload to its end."""
        for index, job in enumerate(self.jobs):
            self._events.schedule(job.at_ms, self._on_arrival, index)
        self._events.run()
        return [Result(job, self.answered_ms.get(i)) for i, job in enumerate(self.jobs)]

    def _coordinator(self, name: str, seed: int, config: Configuration) -> RequestCoordinator:
        health: HealthChecker = AlwaysHealthy()
        if self._circuit_breaking:
            health = BackendHealth(random_source=random.Random(f"{seed}/{name}/health"))
            health.apply_configuration(config, 0)
        return RequestCoordinator(
            host=name,
            failure_domain=self._domains[name],
            incarnation=1,
            random_source=random.Random(f"{seed}/{name}"),
            health=health,
            abstain_until_ms=0,
        )

    def _exchange_views(self) -> None:
        """Share the wait estimates of the previous heartbeat, which a host reads 1 to 2 s old."""
        now_ms = int(self._events.now_ms)
        members = tuple(
            MemberView(
                name,
                domain,
                1,
                MemberState.ALIVE,
                HostDigest(revision=1, wait_estimates=self._wait_estimates.get(name, ())),
            )
            for name, domain in self._domains.items()
        )
        for name, host in self._hosts.items():
            self._perform(name, host.set_members(MembershipView(members), now_ms))
        self._wait_estimates = {n: host.wait_estimates(now_ms) for n, host in self._hosts.items()}
        if self._events.now_ms < self._end_ms:
            self._events.schedule(self._events.now_ms + HEARTBEAT_INTERVAL_MS, self._exchange_views)

    def _on_arrival(self, index: int) -> None:
        job = self.jobs[index]
        name = f"h{self._random.randrange(self.deployment.hosts)}"
        remaining_ms = int(job.deadline_ms - self._events.now_ms)
        header = RequestHeader(
            SERVICE, index.to_bytes(16, "big"), True, remaining_ms, size_hint=job.hint
        )
        caller = CallerAddress(f"10.9.0.{job.caller}", 4000)
        event = RequestPartArrived(header, b"", caller)
        self._handle(name, self._hosts[name].on_part, event)

    def _handle(self, name: str, method: Callable[..., list[Action]], *arguments: Any) -> None:
        self._perform(name, method(*arguments, int(self._events.now_ms)))

    def _perform(self, name: str, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send(name, action)
            elif isinstance(action, DispatchRequest):
                self.dispatches += 1
                self._events.schedule(
                    self._events.now_ms + NEAR_DELAY_MS, self._serve, name, action
                )
            elif isinstance(action, AnswerCaller):
                self._record_answer(action)
        self._set_timer(name)

    def _send(self, name: str, action: SendToPeer) -> None:
        target = action.host
        self.peer_messages.append((name, target, action.message))
        near = self._domains[name] == self._domains[target]
        delay_ms = 0.0 if name == target else NEAR_DELAY_MS if near else self.deployment.link_ms
        method = self._hosts[target].on_message
        at_ms = self._events.now_ms + delay_ms
        self._events.schedule(at_ms, self._handle, target, method, name, 1, action.message)

    def _record_answer(self, action: AnswerCaller) -> None:
        self.outcomes[action.header.outcome] += 1
        if action.header.outcome is Outcome.ANSWERED:
            index = int.from_bytes(action.header.request_id, "big")
            self.answered_ms.setdefault(index, self._events.now_ms)

    def _set_timer(self, name: str) -> None:
        due_ms = self._hosts[name].next_deadline_ms()
        planned_ms = self._timers.get(name)
        if due_ms is None or due_ms > self._end_ms:
            return
        if planned_ms is None or due_ms < planned_ms:
            self._timers[name] = due_ms
            self._events.schedule(due_ms, self._on_timer, name, due_ms)

    def _on_timer(self, name: str, due_ms: float) -> None:
        if self._timers.get(name) != due_ms:
            return
        del self._timers[name]
        self._handle(name, self._hosts[name].on_timer)

    def _serve(self, name: str, request: DispatchRequest) -> None:
        server = int(request.backend_server[1:])
        now_ms = self._events.now_ms
        kind = self._failure_for(server, now_ms, self._random) if self._failure_for else None
        if kind is None and self._occupied[server] >= self.deployment.slots:
            kind = FailureKind.SHED
        if kind is not None:
            failed = AttemptFailed(request.backend_server, request.attempt_id, kind)
            method = self._hosts[name].on_attempt_failed
            self._events.schedule(now_ms + NEAR_DELAY_MS, self._handle, name, method, failed)
            return
        self._occupied[server] += 1
        index = int.from_bytes(request.request_id, "big")
        job = self.jobs[index]
        end_ms = now_ms + job.service_ms / self.deployment.speed(server)
        self.busy.append(BusyTime(server, index, now_ms, end_ms))
        self._events.schedule(end_ms, self._finish, name, request)

    def _finish(self, name: str, request: DispatchRequest) -> None:
        self._occupied[int(request.backend_server[1:])] -= 1
        answer = AnswerPartArrived(request.backend_server, request.attempt_id, 0, 1, b"")
        at_ms = self._events.now_ms + NEAR_DELAY_MS
        self._events.schedule(at_ms, self._handle, name, self._hosts[name].on_answer_part, answer)


class QueueRun:
    """First-come, first-served: one queue for all servers, or one queue per server and a policy.

    ``max_waiting`` bounds the requests waiting in the shared queue. Jobs run even after
    their deadline.
    """

    def __init__(
        self,
        deployment: Deployment,
        jobs: Sequence[Job],
        *,
        seed: int,
        policy: str = "shared",
        max_waiting: int | None = None,
    ) -> None:
        self.deployment, self.jobs = deployment, jobs
        self.busy: list[BusyTime] = []
        self._policy, self._max_waiting = policy, max_waiting
        self._random = random.Random(seed)
        self._events = EventQueue()
        self._occupied = [0] * deployment.servers
        queues = 1 if policy == "shared" else deployment.servers
        self._queues: list[list[int]] = [[] for _ in range(queues)]
        self._reported = [0] * deployment.servers
        self._round_robin_index = 0
        self._answered_ms: dict[int, float] = {}
        self._end_ms = max(job.at_ms for job in jobs)

    def run(self) -> list[Result]:
        """Run the workload to its end."""
        for index, job in enumerate(self.jobs):
            self._events.schedule(job.at_ms, self._on_arrival, index)
        self._report()
        self._events.run()
        return [Result(job, self._answered_ms.get(i)) for i, job in enumerate(self.jobs)]

    def _report(self) -> None:
        self._reported = [self._load(i) for i in range(self.deployment.servers)]
        if self._events.now_ms < self._end_ms:
            self._events.schedule(self._events.now_ms + HEARTBEAT_INTERVAL_MS, self._report)

    def _load(self, server: int) -> int:
        waiting = 0 if self._policy == "shared" else len(self._queues[server])
        return self._occupied[server] + waiting

    def _choose_queue(self) -> int:
        count = self.deployment.servers
        if self._policy == "shared":
            return 0
        if self._policy == "random":
            return self._random.randrange(count)
        if self._policy == "round robin":
            self._round_robin_index = (self._round_robin_index + 1) % count
            return self._round_robin_index
        if self._policy == "least reported load":
            least = min(self._reported)
            return self._random.choice([i for i in range(count) if self._reported[i] == least])
        return min(self._random.sample(range(count), 2), key=lambda i: self._reported[i])

    def _on_arrival(self, index: int) -> None:
        queue = self._choose_queue()
        if self._max_waiting is None or len(self._queues[queue]) < self._max_waiting:
            self._queues[queue].append(index)
            self._start(queue)

    def _start(self, queue: int) -> None:
        shared = self._policy == "shared"
        servers = list(range(self.deployment.servers)) if shared else [queue]
        while self._queues[queue]:
            server = min(servers, key=lambda i: self._occupied[i])
            if self._occupied[server] >= self.deployment.slots:
                return
            index = self._queues[queue].pop(0)
            self._occupied[server] += 1
            now_ms = self._events.now_ms
            end_ms = now_ms + self.jobs[index].service_ms / self.deployment.speed(server)
            self.busy.append(BusyTime(server, index, now_ms, end_ms))
            self._events.schedule(end_ms, self._finish, queue, server, index)

    def _finish(self, queue: int, server: int, index: int) -> None:
        self._occupied[server] -= 1
        self._answered_ms[index] = self._events.now_ms
        self._start(queue)
