"""Request coordinators on a virtual clock, with a faulty network and servers that count runs."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from typing import Any, NamedTuple

from redwingswitch._internal.decisions.requests.coordinator import RequestCoordinator
from redwingswitch._internal.models import actions as act
from redwingswitch._internal.models import configuration as conf
from redwingswitch._internal.models import events as ev
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipView,
    MemberState,
    MemberView,
)
from redwingswitch._internal.models.requests import FailureKind, Outcome, RequestHeader

CALLER = CallerAddress("10.9.0.1", 4000)
ABSTENTION_MS = 90_000


class AlwaysHealthy:
    """Every server is healthy."""

    def __init__(self) -> None:
        self.failures: list[tuple[str, FailureKind]] = []

    def on_dispatched(self, server: str, now_ms: int) -> None:
        pass

    def on_success(self, server: str, latency_ms: int, now_ms: int) -> None:
        pass

    def on_failure(self, server: str, kind: FailureKind, now_ms: int) -> None:
        self.failures.append((server, kind))

    def ejected(self, now_ms: int) -> frozenset[str]:
        return frozenset()

    def may_dispatch(self, server: str, idempotent: bool, now_ms: int) -> bool:
        return True

    def slots(self, server: str, now_ms: int) -> int:
        return 2

    def weight(self, server: str, now_ms: int) -> float:
        return 1.0


def server(name: str, service: str, domain: str, slots: int = 2) -> conf.BackendServer:
    return conf.BackendServer(
        name, service, domain, "127.0.0.1", 1, 2, 3, 4, slots, 2000, conf.ServerState.ACTIVE
    )


def service(
    name: str,
    servers: list[conf.BackendServer],
    *,
    idempotent: bool = False,
    service_ms: int = 50,
) -> conf.Service:
    return conf.Service(
        name,
        "10.1.0.1",
        443,
        0,
        False,
        True,
        idempotent,
        conf.SizeClass.SHORT,
        service_ms,
        900_000,
        conf.ServiceLevelObjectives(),
        tuple(servers),
    )


def configuration(
    revision: int, hosts: dict[str, str], services: list[conf.Service], link_cost_ms: int = 5
) -> conf.Configuration:
    domains = sorted({s.failure_domain for x in services for s in x.backend_servers})
    domains = sorted({*domains, *hosts.values()})
    return conf.Configuration(
        revision,
        str(revision),
        tuple(conf.FailureDomain(d, "south", link_cost_ms) for d in domains),
        tuple(services),
        tuple(
            conf.DeclaredEntryHost(h, d, "127.0.0.1", 1, 2, 3, 4, "", conf.ServerState.ACTIVE)
            for h, d in hosts.items()
        ),
        (),
    )


class FakeServer:
    """Failure mode and busy slots of a backend server; each run returns a different answer."""

    def __init__(self) -> None:
        self.mode = "serve"
        self.busy = 0


class ReceivedAnswer(NamedTuple):
    """An answer part or outcome that a caller received."""

    header: Any
    body: bytes


class SimulatedHost:
    """One entry host; while paused, it queues arriving events."""

    def __init__(self, coordinator: RequestCoordinator, incarnation: int) -> None:
        self.coordinator = coordinator
        self.incarnation = incarnation
        self.revision = 0
        self.paused = False
        self.alive = True
        self.backlog: list[tuple[str, tuple[Any, ...]]] = []


class RequestCluster:
    """Runs coordinators and loses, duplicates and reorders messages with a seeded source."""

    def __init__(
        self,
        config: conf.Configuration,
        *,
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 1_000
        self.loss, self.duplication = loss, duplication
        self.config = config
        self.servers: dict[str, FakeServer] = defaultdict(FakeServer)
        self.runs: dict[bytes, int] = defaultdict(int)
        self.answers: dict[bytes, list[list[bytes]]] = defaultdict(list)
        self.received_answers: dict[bytes, list[ReceivedAnswer]] = defaultdict(list)
        self.actions: list[tuple[str, act.Action]] = []
        self.hosts: dict[str, SimulatedHost] = {}
        self.partition: dict[str, int] = defaultdict(int)
        self.failure_domains: dict[str, str] = {}
        self._events: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self._order = 0
        self._incarnations = 0
        for name in self._declared_domains():
            self.start(name, abstain_ms=0)
        self.exchange_views()
        self.run(1_100)

    def _declared_domains(self) -> dict[str, str]:
        return {h.name: h.failure_domain for h in self.config.entry_hosts}

    def start(self, name: str, *, abstain_ms: int = ABSTENTION_MS) -> None:
        """Start or restart a host without any previous state."""
        self._incarnations += 1
        coordinator = RequestCoordinator(
            host=name,
            failure_domain=self.failure_domains.setdefault(
                name, self._declared_domains().get(name, "")
            ),
            incarnation=self._incarnations,
            random_source=self.random,
            health=AlwaysHealthy(),
            abstain_until_ms=self.now_ms + abstain_ms,
        )
        self.hosts[name] = SimulatedHost(coordinator, self._incarnations)
        self.configure(name)

    def configure(self, name: str) -> None:
        """Apply the current configuration at a host."""
        simulated = self.hosts[name]
        simulated.revision = self.config.revision
        self.perform(name, simulated.coordinator.apply_configuration(self.config, self.now_ms))

    def exchange_views(self) -> None:
        """Give each host a view of the live hosts on its side of the partition."""
        domains = self._declared_domains()
        for name, simulated in list(self.hosts.items()):
            members = tuple(
                MemberView(
                    other,
                    domains[other],
                    peer.incarnation,
                    MemberState.ALIVE,
                    HostDigest(
                        revision=peer.revision,
                        wait_estimates=peer.coordinator.wait_estimates(self.now_ms),
                    ),
                )
                for other, peer in sorted(self.hosts.items())
                if other in domains and self._can_see(name, other)
            )
            if simulated.alive and not simulated.paused:
                view = MembershipView(members)
                self.perform(name, simulated.coordinator.set_members(view, self.now_ms))

    def _can_see(self, name: str, other: str) -> bool:
        peer = self.hosts[other]
        return peer.alive and not peer.paused and self.partition[name] == self.partition[other]

    def send(
        self,
        host: str,
        request_id: bytes,
        service_name: str,
        *,
        parts: int = 1,
        remaining_ms: int = 5_000,
        caller: CallerAddress = CALLER,
        idempotent: bool = True,
    ) -> None:
        """Send all parts of a request to a host."""
        for part in range(parts):
            header = RequestHeader(service_name, request_id, idempotent, remaining_ms, part, parts)
            body = b"%d;" % part
            self._schedule("part", (host, ev.RequestPartArrived(header, body, caller)), lossy=True)

    def cancel(self, host: str, request_id: bytes, service_name: str) -> None:
        self._schedule("cancel", (host, ev.CancelArrived(service_name, request_id)), lossy=True)

    def run(self, duration_ms: int) -> None:
        """Advance the clock, delivering events and timers in order."""
        end_ms = self.now_ms + duration_ms
        while True:
            timers = [
                (due, name)
                for name, simulated in self.hosts.items()
                if simulated.alive
                and not simulated.paused
                and (due := simulated.coordinator.next_deadline_ms()) is not None
            ]
            due_ms, name = min(timers, default=(end_ms + 1, ""))
            event_ms = self._events[0][0] if self._events else end_ms + 1
            if min(due_ms, event_ms) > end_ms:
                break
            if event_ms <= due_ms:
                self.now_ms, _, kind, payload = heapq.heappop(self._events)
                self._deliver(kind, payload)
            else:
                self.now_ms = max(self.now_ms, due_ms)
                self.perform(name, self.hosts[name].coordinator.on_timer(self.now_ms))
        self.now_ms = end_ms

    def resume(self, name: str) -> None:
        """Resume a paused host; it handles the queued events now."""
        simulated = self.hosts[name]
        simulated.paused = False
        backlog, simulated.backlog = simulated.backlog, []
        for kind, payload in backlog:
            self._deliver(kind, payload)

    def outcomes(self, request_id: bytes) -> list[Outcome]:
        return [received.header.outcome for received in self.received_answers[request_id]]

    def check_invariants(self) -> None:
        """Assert the guarantees given to callers."""
        for request_id, received in self.received_answers.items():
            outcomes = {t.header.outcome for t in received}
            if Outcome.NOT_RUN in outcomes:
                assert self.runs[request_id] == 0, f"{request_id!r} ran but was reported as not run"
            parts_by_answer: dict[int, dict[int, bytes]] = defaultdict(dict)
            for t in (t for t in received if t.header.outcome is Outcome.ANSWERED):
                parts = parts_by_answer[t.header.answer_id]
                assert parts.setdefault(t.header.part, t.body) == t.body
                if len(parts) == t.header.parts:
                    answer = [parts[i] for i in sorted(parts)]
                    assert answer in self.answers[request_id], "an answer mixes two runs"

    def _schedule(
        self, kind: str, payload: tuple[Any, ...], *, lossy: bool, delay_ms: int = 0
    ) -> None:
        copies = 1
        if lossy:
            copies = 0 if self.random.random() < self.loss else 1
            copies += self.random.random() < self.duplication
        for _ in range(copies):
            self._order += 1
            jitter_ms = self.random.randrange(8) if lossy else 0
            due_ms = self.now_ms + 1 + delay_ms + jitter_ms
            heapq.heappush(self._events, (due_ms, self._order, kind, payload))

    def _deliver(self, kind: str, payload: tuple[Any, ...]) -> None:
        if kind == "serve":
            return self._start_run(*payload)
        if kind == "finish":
            return self._finish_run(*payload)
        name = payload[0]
        simulated = self.hosts[name]
        if not simulated.alive:
            return None
        if simulated.paused:
            simulated.backlog.append((kind, payload))
            return None
        coordinator, now_ms = simulated.coordinator, self.now_ms
        if kind == "part":
            result = coordinator.on_part(payload[1], now_ms)
        elif kind == "cancel":
            result = coordinator.on_cancel(payload[1], now_ms)
        elif kind == "peer":
            result = coordinator.on_message(*payload[1:], now_ms)
        elif payload[1] != simulated.incarnation:
            return None
        elif kind == "answer":
            result = coordinator.on_answer_part(payload[2], now_ms)
        else:
            result = coordinator.on_attempt_failed(payload[2], now_ms)
        return self.perform(name, result)

    def perform(self, name: str, actions: list[act.Action]) -> None:
        """Perform the actions of a host."""
        simulated = self.hosts[name]
        for action in actions:
            self.actions.append((name, action))
            if isinstance(action, act.SendToPeer):
                local = action.host == name
                if (
                    action.host in self.hosts
                    and self.partition[name] == self.partition[action.host]
                ):
                    message = (action.host, name, simulated.incarnation, action.message)
                    self._schedule("peer", message, lossy=not local)
            elif isinstance(action, act.DispatchRequest):
                self._schedule("serve", (name, simulated.incarnation, action), lossy=False)
            elif isinstance(action, act.AnswerCaller) and self.random.random() >= self.loss:
                received = ReceivedAnswer(action.header, action.body)
                self.received_answers[action.header.request_id].append(received)

    def _start_run(self, name: str, incarnation: int, request: act.DispatchRequest) -> None:
        fake = self.servers[request.backend_server]
        kind = None
        if fake.mode == "refuse":
            kind = FailureKind.REFUSED
        elif fake.busy >= 2 or fake.mode == "shed":
            kind = FailureKind.SHED
        if kind is not None:
            failed = ev.AttemptFailed(request.backend_server, request.attempt_id, kind)
            self._schedule("failed", (name, incarnation, failed), lossy=False)
            return
        fake.busy += 1
        self.runs[request.request_id] += 1
        run = self.runs[request.request_id]
        parts = [b"%s/%d/%d" % (request.body, run, i) for i in range(3)]
        self.answers[request.request_id].append(parts)
        delay_ms = 20 + self.random.randrange(60)
        payload = (name, incarnation, request, parts, fake.mode)
        self._schedule("finish", payload, lossy=False, delay_ms=delay_ms)

    def _finish_run(
        self,
        name: str,
        incarnation: int,
        request: act.DispatchRequest,
        parts: list[bytes],
        mode: str,
    ) -> None:
        self.servers[request.backend_server].busy -= 1
        order = list(range(len(parts)))
        self.random.shuffle(order)
        if mode == "hang":
            return
        for part in order[:1] if mode == "reset" else order:
            answer = ev.AnswerPartArrived(
                request.backend_server, request.attempt_id, part, len(parts), parts[part]
            )
            self._schedule("answer", (name, incarnation, answer), lossy=False)
        if mode == "reset":
            failed = ev.AttemptFailed(request.backend_server, request.attempt_id, FailureKind.RESET)
            self._schedule("failed", (name, incarnation, failed), lossy=False)
