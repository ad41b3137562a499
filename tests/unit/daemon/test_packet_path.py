"""Guards against admission decisions that are not performed, counted or logged, and late timers."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import pytest

from redwingswitch._internal.daemon import packet_path
from redwingswitch._internal.daemon.packet_path import PacketPath
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.models.cookie_flows import FlowPacket
from redwingswitch._internal.models.load_sharing import RouteDemand, ServiceDemand
from redwingswitch._internal.utils.event_log import EventLog
from tests.lib.cookie_flows import (
    JOB_BOARD,
    SIGN_OFFS,
    fire_timers_until,
    flow_id,
    open_flow,
    opening_packet,
    server,
    steering,
)


class SteppedLoop:
    """A clock and the timers of an event loop; a test moves the time."""

    def __init__(self) -> None:
        self.time_ms = 0
        self.timers: list[tuple[int, Callable[[], None]]] = []

    def now_ms(self) -> int:
        return self.time_ms

    def call_later(self, delay_s: float, call: Callable[[], None]) -> object:
        self.timers.append((self.time_ms + round(delay_s * 1_000), call))
        return self.timers[-1]

    def remove_timeout(self, timer: object) -> None:
        self.timers.remove(timer)

    def run_until(self, until_ms: int) -> None:
        while due := [timer for timer in self.timers if timer[0] <= until_ms]:
            timer = min(due, key=lambda each: each[0])
            self.timers.remove(timer)
            self.time_ms = max(self.time_ms, timer[0])
            timer[1]()
        self.time_ms = until_ms


class Outside:
    """Packets as they are, sent datagrams, a fresh list, and sums that show a shortage."""

    def __init__(self) -> None:
        self.packets: dict[bytes, FlowPacket] = {}
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.deadline_ms = 10_000

    def decode(self, datagram: bytes) -> FlowPacket:
        return self.packets[datagram]

    def encode_reset(self, packet: FlowPacket) -> bytes:
        return b"reset %d" % packet.flow.caller_port

    def encode_for_server(self, packet: FlowPacket, *, cookie: int, tunnel_prefix: bytes) -> bytes:
        return b"packet %d" % packet.flow.caller_port

    def send(self, datagram: bytes, address: tuple[str, int]) -> bool:
        self.sent.append((datagram, address))
        return True

    def is_outdated_by_pause(self) -> bool:
        return False

    def may_handle_late_packets(self) -> bool:
        return False

    def list_age_ms(self) -> int:
        return 0

    def routes_confirmed_ms(self) -> int | None:
        return None

    reader_incarnation = 0

    def service_demand(self, service: str, now_ms: int) -> ServiceDemand | None:
        if service != "job-board" or not 0 <= now_ms < self.deadline_ms:
            return None
        routes = (RouteDemand(JOB_BOARD, 200.0, 20.0), RouteDemand(SIGN_OFFS, 350.0, 20.0))
        return ServiceDemand(routes, 6, 3, 3, self.deadline_ms)


class Site:
    """The packet path of one host whose servers are short."""

    def __init__(self, loop: SteppedLoop) -> None:
        self.loop = loop
        self.outside = Outside()
        self.metrics = SteeringMetrics()
        self.steering = steering([server("i-1")])
        self.steering.use_admission(self.outside)
        for number in range(200):
            open_flow(self.steering, flow_id(10_000 + number), 5 * number - 1_100)
        fire_timers_until(self.steering, -1)
        self.path = PacketPath(
            steering=self.steering,
            codec=self.outside,
            clock=loop,
            metrics=self.metrics,
            event_log=EventLog(part="packets", clock=loop),
            list_age_source=self.outside,
            caller_port=8_172,
        )
        self.path.set_sender(self.outside)

    def arrive(self, port: int) -> None:
        self.outside.packets[b"%d" % port] = opening_packet(flow_id(port))
        self.path.on_datagram(b"%d" % port, ("127.0.0.1", 1))

    def count(self, reason: str) -> int:
        return self.metrics.counts["admission_total"]["job-board", reason, "2"]


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    loop = SteppedLoop()

    class Current:
        current = staticmethod(lambda: loop)

    monkeypatch.setattr(packet_path, "IOLoop", Current)
    return Site(loop)


def test_rejections_and_waits_are_counted_and_logged(site: Site) -> None:
    with logbook.TestHandler() as handler:
        # The evidence ends before any wait does.
        site.outside.deadline_ms = 30
        for port in range(1, 200):
            site.arrive(port)
        site.loop.run_until(400)
    assert site.count("waiting") > 0
    assert site.count("rejected_shortage") > 0
    assert site.count("admitted_after_wait") == site.count("waiting")
    resets = [sent for sent in site.outside.sent if sent[0].startswith(b"reset")]
    assert len(resets) == site.count("rejected_shortage")
    assert {address for _, address in resets} == {("100.64.0.1", 8_172)}
    assert site.metrics.counts["packets_total"]["waiting", "job-board"] == site.count("waiting")
    for event in ("waiting", "rejected_shortage", "admitted_after_wait"):
        lines = [record.message for record in handler.records if record.message.startswith(event)]
        assert lines
        assert all("priority=2 wait_ms=" in line and "expected_wait_ms=" in line for line in lines)


def test_a_wait_that_ends_before_another_timer_is_not_late(site: Site) -> None:
    for port in range(1, 200):
        site.arrive(port)
    due_ms = site.steering.next_deadline_ms()
    # The first opening's answer is due after 40 ms, and the first waiting flow before.
    assert due_ms is not None
    assert due_ms < 40
    assert [timer[0] for timer in site.loop.timers] == [due_ms]
    site.loop.run_until(3_000)
    assert site.path.timer_lag_ms == 0


def test_gauges_tell_demand_and_room(site: Site) -> None:
    site.arrive(1)
    assert site.steering.admission is not None
    (load,) = site.steering.admission.service_loads()
    site.metrics.set_gauges("service_room_slots", {(load.service,): load.room_slots})
    site.metrics.set_gauges("waiting_flows", {(): 3.0})
    content, _ = site.metrics.render({})
    assert 'service_room_slots{service="job-board"} 2.0' in content.decode()
    assert "waiting_flows 3.0" in content.decode()
