"""How long callers wait for servers that fall silent, and which flows of live servers are reset.

Callers with long flows send requests through one entry host. At a moment, servers of another
failure domain stop answering, or some servers of a failure domain change in another way. Run with
``python -m benchmarks.run_all silence``.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from enum import StrEnum
from itertools import count
from typing import NamedTuple

from benchmarks.cookie_flows import (
    configure,
    flow_packet,
    idempotent_route,
    listed_server,
)
from benchmarks.event_queue import EventQueue
from benchmarks.tables import Table
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.models.cookie_flows import (
    FlowEndpoints,
    FlowPacket,
    ForwardPacket,
    ResetFlow,
    RouteAddress,
    SteeringAction,
)

SEED = 31
RUNS = 40
SERVICE = "order-desk"
DESTINATION = RouteAddress(0xC6120001, 443)
NEAR_DOMAIN, FAR_DOMAIN = "near", "far"
NEAR_SERVERS = 4
CALLERS = 45
# One way between failure domains, and between callers and hosts.
DOMAIN_DELAY_MS, CALLER_DELAY_MS = 5, 1
MEAN_WORK_MS, TAIL_WORK_MS, TAIL_RATIO = 26, 250, 0.03
PAUSE_MS = (300, 1_500)
REQUESTS_PER_FLOW = (5, 15)
OPENING_COPIES_MS = (0, 200, 600)
DATA_COPIES_MS = (0, 200, 600, 1_400)
CALLER_BUDGET_MS = 1_500
SILENT_FROM_MS = 5_000
END_MS = 20_000
DATA_BYTES = 100
# Servers of other failure domains, the number of these domains, and how many servers fall silent.
CASES = ((4, 1, 4), (8, 1, 8), (20, 1, 20), (4, 1, 3), (8, 2, 8), (20, 2, 20))


# The servers that change in the second table: these of the near ones, or these of the far ones.
CHANGED_SERVERS = 2
FAR_SERVERS = 8
SLOW_FACTOR = 7


class _Change(StrEnum):
    """What becomes of a server at ``SILENT_FROM_MS``."""

    DEAD = "answers nothing"
    SILENT = "answers only opening packets"
    FULL = "answers no opening packets"
    SLOW = "is seven times as slow"


_ANSWERING_DATA = (_Change.FULL, _Change.SLOW)
_ANSWERING_OPENINGS = (_Change.SILENT, _Change.SLOW)


class _Result(NamedTuple):
    """Waiting times of requests to silent servers, and resets of flows at live ones.

    ``openings`` are the opening packets that the changed servers got.
    """

    waits_ms: list[int]
    unanswered: int
    live_resets: int
    openings: int = 0


class _Caller:
    """One open flow of a caller."""

    __slots__ = (
        "acknowledged",
        "attempt",
        "cookie",
        "is_received",
        "left",
        "port",
        "sequence",
        "served_attempt",
        "server_id",
    )

    def __init__(self) -> None:
        self.port = 0
        self.server_id = ""
        self.cookie = 0
        self.sequence = 1
        self.acknowledged = 1
        self.left = 0
        # The attempt whose request a server has begun to work on.
        self.served_attempt = 0
        # Whether the server has acknowledged the request, so that it is not sent again.
        self.is_received = False
        # Rises with each step, so that copies of an earlier step are not sent.
        self.attempt = 0


class _Model:
    """One host, its callers and the servers, on a virtual clock."""

    def __init__(
        self, *, far_servers: int, far_domains: int, changed: Mapping[str, _Change], seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._events = EventQueue()
        self._ports = count(1_024)
        self._host = CookieSteering(failure_domain=NEAR_DOMAIN, random_source=self._random)
        far = [f"{FAR_DOMAIN}-{number % far_domains}" for number in range(far_servers)]
        domains = [NEAR_DOMAIN] * NEAR_SERVERS + far
        route = idempotent_route(
            "r", DESTINATION, service=SERVICE, timeout_ms=CALLER_BUDGET_MS, latency_goal_ms=200
        )
        servers = [
            listed_server(
                f"i-{number}", service=SERVICE, failure_domain=domain, port=8_000 + number
            )
            for number, domain in enumerate(domains)
        ]
        configure(self._host, routes=[route], servers=servers)
        self._changed = changed
        # The callers whose opening packets the host has passed on, by their ports.
        self._waiting: dict[int, _Caller] = {}
        self.result = _Result([], 0, 0)

    def run(self) -> _Result:
        for _ in range(CALLERS):
            self._after(self._random.uniform(0, PAUSE_MS[1]), self._opener(_Caller()))
        while (due_ms := self._events.next_due_ms()) <= END_MS:
            deadline_ms = self._host.next_deadline_ms()
            if deadline_ms is None or deadline_ms > due_ms:
                self._events.run_next()
                continue
            self._events.now_ms = max(self._now_ms, deadline_ms)
            for action in self._host.on_timer(self._now_ms):
                self._perform(action, None)
        return self.result

    @property
    def _now_ms(self) -> int:
        return int(self._events.now_ms)

    def _after(self, delay_ms: float, event: Callable[[], None]) -> None:
        self._events.schedule(self._now_ms + round(delay_ms), event)

    def _opener(self, caller: _Caller) -> Callable[[], None]:
        return lambda: self._open(caller)

    def _open(self, caller: _Caller) -> None:
        caller.port = next(self._ports)
        caller.server_id = ""
        caller.cookie = 0
        caller.sequence = caller.acknowledged = 1
        caller.left = self._random.randint(*REQUESTS_PER_FLOW)
        caller.attempt += 1
        for number, delay_ms in enumerate(OPENING_COPIES_MS):
            self._after(delay_ms, self._sender(caller, caller.attempt, copy_number=number))
        self._give_up_later(caller)

    def _request(self, caller: _Caller) -> None:
        caller.attempt += 1
        caller.is_received = False
        for delay_ms in DATA_COPIES_MS:
            self._after(delay_ms, self._sender(caller, caller.attempt, sent_ms=self._now_ms))
        self._give_up_later(caller)

    def _give_up_later(self, caller: _Caller) -> None:
        attempt = caller.attempt

        def give_up() -> None:
            if caller.attempt == attempt:
                self.result = self.result._replace(unanswered=self.result.unanswered + 1)
                self._open(caller)

        self._after(CALLER_BUDGET_MS, give_up)

    def _sender(
        self, caller: _Caller, attempt: int, *, copy_number: int = 0, sent_ms: int | None = None
    ) -> Callable[[], None]:
        def send() -> None:
            if caller.attempt == attempt and not caller.is_received:
                packet = _packet(caller, copy_number=copy_number, has_data=sent_ms is not None)
                self._after(CALLER_DELAY_MS, lambda: self._arrive(packet, caller, sent_ms))

        return send

    def _arrive(self, packet: FlowPacket, caller: _Caller, sent_ms: int | None) -> None:
        action = self._host.on_packet(packet, self._now_ms)
        if isinstance(action, ResetFlow) and sent_ms is not None:
            if self._changed.get(caller.server_id) in (_Change.DEAD, _Change.SILENT):
                self.result.waits_ms.append(self._now_ms - sent_ms)
            else:
                self.result = self.result._replace(live_resets=self.result.live_resets + 1)
            self._open(caller)
        else:
            self._perform(action, caller)

    def _perform(self, action: SteeringAction, caller: _Caller | None) -> None:
        if not isinstance(action, ForwardPacket):
            return
        port = action.packet.flow.caller_port
        # The host repeats only opening packets by itself.
        caller = caller or self._waiting[port]
        if action.packet.opens:
            self._waiting[port] = caller
        server = action.server
        change = None
        if self._now_ms >= SILENT_FROM_MS:
            change = self._changed.get(server.server_id)
        delay_ms = 2 * (1 if server.failure_domain == NEAR_DOMAIN else DOMAIN_DELAY_MS)
        attempt = caller.attempt
        if action.packet.opens:
            if change is not None:
                self.result = self.result._replace(openings=self.result.openings + 1)
            if change is None or change in _ANSWERING_OPENINGS:
                self._after(delay_ms, lambda: self._opened(caller, attempt, action))
            return
        if not action.packet.data_bytes or action.packet.sequence != caller.sequence:
            return
        if change is not None and change not in _ANSWERING_DATA:
            return
        if caller.served_attempt == attempt:
            # The request came a second time while the server works on it.
            caller.is_received = True
            return
        caller.served_attempt = attempt
        is_tail = self._random.random() < TAIL_RATIO
        work_ms = TAIL_WORK_MS if is_tail else max(1, self._random.gauss(MEAN_WORK_MS, 10))
        if change is _Change.SLOW:
            work_ms *= SLOW_FACTOR
        self._after(delay_ms + work_ms, lambda: self._answered(caller, attempt))

    def _opened(self, caller: _Caller, attempt: int, action: ForwardPacket) -> None:
        if caller.attempt != attempt:
            return
        caller.server_id, caller.cookie = action.server.server_id, action.cookie
        self._request(caller)

    def _answered(self, caller: _Caller, attempt: int) -> None:
        if caller.attempt != attempt:
            return
        caller.attempt += 1
        caller.sequence += DATA_BYTES
        caller.acknowledged += DATA_BYTES
        caller.left -= 1
        acknowledgement = _packet(caller, copy_number=0, has_data=False)
        self._after(CALLER_DELAY_MS, lambda: self._arrive(acknowledgement, caller, None))
        pause_ms = self._random.uniform(*PAUSE_MS)
        if caller.left:
            self._after(pause_ms, lambda: self._request(caller))
        else:
            self._after(pause_ms, lambda: self._open(caller))


def _packet(caller: _Caller, *, copy_number: int, has_data: bool) -> FlowPacket:
    return flow_packet(
        FlowEndpoints(0x64400000, caller.port, DESTINATION),
        copy_number=copy_number,
        cookie=caller.cookie,
        sequence=caller.sequence,
        acknowledged=caller.acknowledged,
        data_bytes=DATA_BYTES if has_data else 0,
    )


def _play(*, far_servers: int, far_domains: int, changed: Mapping[str, _Change]) -> list[_Result]:
    return [
        _Model(
            far_servers=far_servers, far_domains=far_domains, changed=changed, seed=SEED + run
        ).run()
        for run in range(RUNS)
    ]


def _wait_columns(results: list[_Result]) -> tuple[str, str, str, str]:
    """Return the number of resets, and the mean, the median and the 95th percentile of waits."""
    waits_ms = sorted(wait_ms for result in results for wait_ms in result.waits_ms)
    if not waits_ms:
        return "0", "-", "-", "-"
    return (
        str(len(waits_ms)),
        f"{sum(waits_ms) / len(waits_ms):.0f}",
        str(waits_ms[len(waits_ms) // 2]),
        str(waits_ms[len(waits_ms) * 95 // 100]),
    )


def _row(far_servers: int, far_domains: int, silent: int) -> tuple[str, ...]:
    changed = {f"i-{NEAR_SERVERS + number}": _Change.DEAD for number in range(silent)}
    results = _play(far_servers=far_servers, far_domains=far_domains, changed=changed)
    return (
        f"{silent} of {far_servers}",
        str(far_domains),
        *_wait_columns(results),
        str(sum(result.unanswered for result in results)),
        str(sum(result.live_resets for result in results)),
    )


def _change_row(change: _Change, *, is_near: bool) -> tuple[str, ...]:
    first = 0 if is_near else NEAR_SERVERS
    changed = {f"i-{first + number}": change for number in range(CHANGED_SERVERS)}
    results = _play(far_servers=FAR_SERVERS, far_domains=1, changed=changed)
    openings = sum(result.openings for result in results)
    return (
        str(change),
        NEAR_DOMAIN if is_near else FAR_DOMAIN,
        *_wait_columns(results),
        f"{openings / (RUNS * CHANGED_SERVERS):.1f}",
        str(sum(result.live_resets for result in results)),
    )


def run() -> list[Table]:
    """Return the tables of waiting times."""
    command = "python -m benchmarks.run_all silence"
    waits = ("flows reset", "mean wait, ms", "median", "95 %")
    return [
        Table(
            key="silence",
            title="Servers of other failure domains that fall silent",
            command=command,
            seed=SEED,
            columns=(
                "silent servers of other domains",
                "these domains",
                *waits,
                "attempts without an answer",
                "flows of live servers reset",
            ),
            rows=tuple(_row(*case) for case in CASES),
            conclusion=f"{RUNS} runs each; the wait is from the request until its flow is reset.",
        ),
        Table(
            key="silence-kinds",
            title="Servers that fail in part, or only seem to",
            command=command,
            seed=SEED,
            columns=(
                f"each of {CHANGED_SERVERS} servers",
                "failure domain",
                *waits,
                "opening packets that it then got",
                "flows of live servers reset",
            ),
            rows=tuple(
                _change_row(change, is_near=is_near)
                for change in _Change
                for is_near in (True, False)
            ),
            conclusion=(
                f"{RUNS} runs each of {(END_MS - SILENT_FROM_MS) // 1_000} s after the change; "
                "full and slow servers are live."
            ),
        ),
    ]
