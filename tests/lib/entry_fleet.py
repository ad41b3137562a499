"""Complete entry hosts on a virtual clock, with a simulated store, network and backend servers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from typing import Any

from redwingswitch._internal.configuration.document import make_document
from redwingswitch._internal.configuration.parse import parse_configuration
from redwingswitch._internal.decisions.entry_host import EntryHost
from redwingswitch._internal.models import actions as act
from redwingswitch._internal.models import events as ev
from redwingswitch._internal.models.identifiers import (
    CallerAddress,
    FlowKey,
    PacketKind,
    flow_hash,
)
from redwingswitch._internal.models.members import Seed
from redwingswitch._internal.models.requests import BackendReport, FailureKind, RequestHeader

CALLER = CallerAddress("10.9.0.1", 4000)
SERVICE_TIME_MS = 50
NEAR_DELAY_MS, FAR_DELAY_MS, STORE_DELAY_MS = 1, 5, 3
ABSTENTION_MS = 90_000


class FakeStore:
    """Store with one configuration key and leases with fencing versions."""

    def __init__(self) -> None:
        self.down = False
        self.document: Any = None
        self.version = 0
        self.writes = 0
        self.leases: dict[str, tuple[str, int, int]] = {}
        self._key_version = 0

    def acquire(self, key: str, holder: str, ttl_ms: int, now_ms: int) -> int | None:
        """Acquire or renew a lease; return its version, or None when another host holds it."""
        held = self.leases.get(key)
        if held and held[1] > now_ms and held[0] != holder:
            return None
        if not held or held[1] <= now_ms:
            self._key_version += 1
            held = (holder, 0, self._key_version)
        self.leases[key] = (holder, now_ms + ttl_ms, held[2])
        return held[2]


class SimulatedHost:
    """The process of an entry host; a paused one handles its backlog when it resumes."""

    def __init__(self, entry_host: EntryHost) -> None:
        self.entry_host = entry_host
        self.alive, self.paused, self.watching = True, False, False
        self.backlog: list[Any] = []
        self.timer_ms: int | None = None
        self.stop_completed: act.StopCompleted | None = None
        self.revisions: list[int] = []


class EntryFleet:
    """Runs entry hosts and records what reaches backend servers and callers."""

    def __init__(self, text: str, *, seed: int = 1, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.loss, self.now_ms, self.text = loss, 1_000, text
        self.store = FakeStore()
        self.hosts: dict[str, SimulatedHost] = {}
        self.partition: dict[str, int] = defaultdict(int)
        self.cut_off_from_store: set[str] = set()
        self.flow_servers: dict[FlowKey, list[str]] = defaultdict(list)
        self.wrong_service: list[act.SendToBackendServer] = []
        self.crashed_servers: set[str] = set()
        self.runs: dict[bytes, int] = defaultdict(int)
        self.received_answers: dict[bytes, list[Any]] = defaultdict(list)
        self._queue: list[Any] = []
        self._order = itertools.count()
        configuration = self.parse(text, 1)
        self.domains = {h.name: h.failure_domain for h in configuration.entry_hosts}
        self.server_service = {
            b.name: s.name for s in configuration.services for b in s.backend_servers
        }
        self.publish(text)
        for name in self.domains:
            self.start(name, abstain_ms=0)
        self.run(5_000)

    @staticmethod
    def parse(text: str, revision: int) -> Any:
        return parse_configuration(text=text, file="f", revision=revision, digest=str(revision))

    def publish(self, text: str) -> int:
        """Write a file to the store as a new revision."""
        previous, self.text = self.store.document, text
        revision = (previous["revision"] if previous else 0) + 1
        self.store.document = make_document(
            text=text, revision=revision, apply_id=str(revision), operator="o", previous=previous
        )
        self.store.version += 1
        for name in [n for n, simulated in self.hosts.items() if simulated.watching]:
            self._schedule(STORE_DELAY_MS, self._deliver_document, name)
        return revision

    # Hosts.

    def start(self, name: str, *, abstain_ms: int = ABSTENTION_MS) -> None:
        """Start or restart a host without any previous state."""
        host = EntryHost(
            host=name,
            failure_domain=self.domains[name],
            incarnation=(self.now_ms << 16) + next(self._order),
            abstain_until_ms=self.now_ms + abstain_ms,
            random_source=random.Random(self.random.getrandbits(32)),
        )
        seeds = [Seed(other, domain) for other, domain in self.domains.items() if other != name]
        host.membership.set_seeds(seeds, self.now_ms)
        self.hosts[name] = SimulatedHost(host)
        self._perform_and_set_timer(name, [])

    def crash(self, name: str) -> None:
        self.hosts[name].alive = False

    def resume(self, name: str) -> None:
        simulated = self.hosts[name]
        simulated.paused = False
        for event in simulated.backlog:
            self._handle(name, event)
        simulated.backlog = []
        self._fire_timer(name)

    def running_hosts(self) -> list[str]:
        return [
            n for n, simulated in self.hosts.items() if simulated.alive and not simulated.paused
        ]

    def revisions(self) -> set[int]:
        return {
            c.revision if (c := self.hosts[n].entry_host.configuration) else 0
            for n in self.running_hosts()
        }

    # Traffic.

    def packet(self, flow: FlowKey, kind: PacketKind, host: str | None = None) -> None:
        target = host or self.random.choice(self.running_hosts())
        self._handle(target, ev.PacketArrived(flow, flow_hash(flow), kind, b"p"))

    def request(
        self,
        request_id: bytes,
        *,
        service: str = "job-board",
        host: str | None = None,
        idempotent: bool = False,
        remaining_ms: int = 5_000,
    ) -> None:
        header = RequestHeader(service, request_id, idempotent, remaining_ms)
        target = host or self.random.choice(self.running_hosts())
        self._handle(target, ev.RequestPartArrived(header, b"body", CALLER))

    def outcomes(self, request_id: bytes) -> list[str]:
        return [action.header.outcome.value for action in self.received_answers[request_id]]

    # Time.

    def run(self, duration_ms: int) -> None:
        """Advance the virtual clock."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, function, arguments = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            function(*arguments)
        self.now_ms = end_ms

    def _schedule(self, delay_ms: int, function: Any, *arguments: Any) -> None:
        entry = (self.now_ms + delay_ms, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def _handle(self, name: str, event: Any) -> None:
        simulated = self.hosts[name]
        if not simulated.alive:
            return
        if simulated.paused:
            simulated.backlog.append(event)
            return
        self._perform_and_set_timer(name, simulated.entry_host.handle(event, self.now_ms))

    def _perform_and_set_timer(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            self._perform(name, action)
        simulated = self.hosts[name]
        due_ms = simulated.entry_host.next_deadline_ms()
        if due_ms is not None and (simulated.timer_ms is None or due_ms < simulated.timer_ms):
            simulated.timer_ms = due_ms
            self._schedule(max(0, due_ms - self.now_ms), self._on_timer, name, simulated, due_ms)

    def _on_timer(self, name: str, simulated: SimulatedHost, due_ms: int) -> None:
        # Ignore a timer that was replaced by an earlier one, so that each host has only one timer.
        if self.hosts[name] is simulated and simulated.timer_ms == due_ms:
            self._fire_timer(name)

    def _fire_timer(self, name: str) -> None:
        simulated = self.hosts[name]
        simulated.timer_ms = None
        if simulated.alive and not simulated.paused:
            self._handle(name, ev.TimerFired())

    # Actions.

    def _perform(self, name: str, action: Any) -> None:
        match action:
            case act.SendToPeer():
                self._send(name, action)
            case act.SendToBackendServer():
                self._record_delivery(action)
            case act.DispatchRequest():
                self._schedule(NEAR_DELAY_MS, self._start_run, name, action)
            case act.AnswerCaller():
                self.received_answers[action.header.request_id].append(action)
            case act.ApplyDocument():
                self._apply_document(name, action.document)
            case act.PollBackendReport():
                self._schedule(NEAR_DELAY_MS, self._answer_report_poll, name, action.backend_server)
            case act.StopCompleted():
                self.hosts[name].stop_completed = action
                self.crash(name)
            case act.AcquireLease() | act.WatchStore() | act.RestoreDocument():
                self._schedule(STORE_DELAY_MS, self._store_call, name, action)

    def _send(self, name: str, action: act.SendToPeer) -> None:
        target = action.host
        if target not in self.hosts or self.random.random() < self.loss:
            return
        near = self.domains[name] == self.domains[target]
        delay_ms = (NEAR_DELAY_MS if near else FAR_DELAY_MS) + self.random.randrange(3)
        event = ev.PeerMessageArrived(name, self.hosts[name].entry_host.incarnation, action.message)
        self._schedule(delay_ms, self._deliver, name, target, event)

    def _deliver(self, sender: str, target: str, event: Any) -> None:
        if self.partition[self.domains[sender]] == self.partition[self.domains[target]]:
            self._handle(target, event)

    def _record_delivery(self, action: act.SendToBackendServer) -> None:
        if self.server_service.get(action.backend_server, action.service) != action.service:
            self.wrong_service.append(action)
        servers = self.flow_servers[action.flow]
        if not servers or servers[-1] != action.backend_server:
            servers.append(action.backend_server)

    def _start_run(self, name: str, action: act.DispatchRequest) -> None:
        if action.backend_server in self.crashed_servers:
            failed = ev.AttemptFailed(action.backend_server, action.attempt_id, FailureKind.REFUSED)
            self._schedule(NEAR_DELAY_MS, self._handle, name, failed)
            return
        self.runs[action.request_id] += 1
        answer = ev.AnswerPartArrived(action.backend_server, action.attempt_id, 0, 1, b"answer")
        self._schedule(SERVICE_TIME_MS, self._handle, name, answer)

    def _answer_report_poll(self, name: str, server: str) -> None:
        if server in self.crashed_servers:
            self._handle(name, ev.BackendReportFailed(server))
        else:
            self._handle(name, ev.BackendReportArrived(BackendReport(server, 0, 0, False, True)))

    def _apply_document(self, name: str, document: Any) -> None:
        simulated = self.hosts[name]
        simulated.revisions.append(document["revision"])
        configuration = self.parse(document["text"], document["revision"])
        self._perform_and_set_timer(
            name, simulated.entry_host.apply_configuration(configuration, self.now_ms)
        )

    # Store.

    def _store_call(self, name: str, action: Any) -> None:
        if self.store.down or name in self.cut_off_from_store:
            self._handle(name, ev.StoreUnavailable())
        elif isinstance(action, act.AcquireLease):
            self._acquire_lease(name, action)
        elif isinstance(action, act.WatchStore):
            self.hosts[name].watching = action.watching
            if action.watching:
                self._deliver_document(name)
        else:
            self._restore(action)

    def _acquire_lease(self, name: str, action: act.AcquireLease) -> None:
        version = self.store.acquire(action.key, action.holder, action.ttl_ms, self.now_ms)
        if version is None:
            self._handle(name, ev.LeaseRefused())
        else:
            self._handle(name, ev.LeaseGranted(1, version, asked_ms=action.asked_ms))

    def _deliver_document(self, name: str) -> None:
        if not self.store.down and name not in self.cut_off_from_store:
            event = ev.StoreDocumentArrived(self.store.document, self.store.version)
            self._handle(name, event)

    def _restore(self, action: act.RestoreDocument) -> None:
        fenced = action.fencing_version not in [v for _, _, v in self.store.leases.values()]
        if fenced or action.expected_version != self.store.version:
            return
        self.store.document = action.document
        self.store.version += 1
        self.store.writes += 1
