"""The packet path of the steering daemon: decodes, steers, sends and logs packets.

Steering means choosing the backend server of a packet by the cookie that the packet carries.
"""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Protocol

from tornado.ioloop import IOLoop

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import (
    AdmissionOutcome,
    FlowEndpoints,
    FlowOpened,
    FlowPacket,
    ForwardPacket,
    Observation,
    RequestAnswered,
    ResetFlow,
    SlowStartOpening,
    SteeringAction,
    Suspicion,
    SuspicionChanged,
    Verdict,
)
from redwingswitch._internal.ports import Clock, DatagramSender, PacketCodec
from redwingswitch._internal.utils.event_log import EventLog

MS_PER_S = 1_000
# The verdict for the packets of an open flow. A line for each of them would add no information.
UNLOGGED_VERDICT = Verdict.STEERED


class ListAgeSource(Protocol):
    """Provides the age of this host's server list."""

    def is_outdated_by_pause(self) -> bool:
        """Return whether this host was paused and the list has not been confirmed since."""

    def may_handle_late_packets(self) -> bool:
        """Return whether packets may have waited in the socket while this host stood still.

        ``is_outdated_by_pause`` must be called before.
        """

    def list_age_ms(self) -> int:
        """Return milliseconds since the list was last known to be up to date."""

    @property
    def reader_incarnation(self) -> int:
        """Return the incarnation of the host that reads the list, 0 without one."""

    def routes_confirmed_ms(self) -> int | None:
        """Return when this host's routes were last known to be the newest; None if unknown."""


class PacketPath:
    """Passes callers' packets to the steering and performs its actions."""

    def __init__(
        self,
        *,
        steering: CookieSteering,
        codec: PacketCodec,
        clock: Clock,
        metrics: SteeringMetrics,
        event_log: EventLog,
        list_age_source: ListAgeSource,
        caller_port: int,
    ) -> None:
        self._steering = steering
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._event_log = event_log
        self._list_age_source = list_age_source
        self._caller_port = caller_port
        self._endpoint: DatagramSender | None = None
        self._timer_deadline_ms: int | None = None
        self._timer: object = None
        self.timer_lag_ms = 0
        self.last_packet_ms = 0

    def set_sender(self, endpoint: DatagramSender) -> None:
        """Set the endpoint through which all datagrams are sent."""
        self._endpoint = endpoint

    def on_datagram(self, datagram: bytes, _address: tuple[str, int]) -> None:
        """Handle a datagram from a caller."""
        now_ms = self._clock.now_ms()
        self.last_packet_ms = now_ms
        try:
            packet = self._codec.decode(datagram)
        except DecodeError as error:
            self._metrics.count("malformed_packets_total")
            self._event_log.warning("packet malformed", reason=error)
            return
        self._check_list()
        self._perform(self._steering.on_packet(packet, now_ms))
        self._set_timer(now_ms)

    def on_list_changed(self) -> None:
        """Handle the packets that were held until routes or servers became known."""
        now_ms = self._clock.now_ms()
        self._check_list()
        for action in self._steering.on_list_changed(now_ms):
            self._perform(action)
        self._set_timer(now_ms)

    def _check_list(self) -> None:
        # Packets that arrived during a pause are handled before any timer can detect the pause.
        self._steering.is_list_outdated = self._list_age_source.is_outdated_by_pause()
        self._steering.may_handle_late_packets = self._list_age_source.may_handle_late_packets()
        self._steering.routes_confirmed_ms = self._list_age_source.routes_confirmed_ms()
        self._steering.slow_start.entitlement.on_list_checked(
            confirmed_ms=self._clock.now_ms() - self._list_age_source.list_age_ms(),
            reader=self._list_age_source.reader_incarnation,
        )

    def _set_timer(self, now_ms: int) -> None:
        deadline_ms = self._steering.next_deadline_ms()
        if deadline_ms is None:
            return
        if self._timer_deadline_ms is not None:
            if self._timer_deadline_ms <= deadline_ms:
                return
            # A flow that waits for room may be due before an opening that awaits its answer.
            IOLoop.current().remove_timeout(self._timer)
        self._timer_deadline_ms = deadline_ms
        delay_ms = max(0, deadline_ms - now_ms)
        self._timer = IOLoop.current().call_later(delay_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        now_ms = self._clock.now_ms()
        if self._timer_deadline_ms is not None:
            self.timer_lag_ms = now_ms - self._timer_deadline_ms
        self._timer_deadline_ms = None
        self._check_list()
        for action in self._steering.on_timer(now_ms):
            self._perform(action)
        self._set_timer(now_ms)

    def _perform(self, action: SteeringAction) -> None:
        packet = action.packet
        service = ""
        if isinstance(action, ForwardPacket):
            service = action.server.service
            self._send_to_server(action)
            if action.verdict is not Verdict.STEERED:
                self._metrics.count("offers_total", action.server.failure_domain)
        elif isinstance(action, ResetFlow):
            service = action.service
            caller = str(IPv4Address(packet.flow.caller_address))
            self._send(self._codec.encode_reset(packet), (caller, self._caller_port))
        if (admission := action.admission) is not None:
            service = admission.service
            priority = str(admission.priority)
            self._metrics.count("admission_total", service, action.verdict, priority)
        self._metrics.count("packets_total", action.verdict, service)
        if action.verdict is not UNLOGGED_VERDICT:
            self._log_decision(action, packet)
        for observation in self._steering.take_observations():
            self._record_observation(observation)

    def _send_to_server(self, action: ForwardPacket) -> None:
        server = action.server
        datagram = self._codec.encode_for_server(
            action.packet, cookie=action.cookie, tunnel_prefix=server.tunnel_prefix
        )
        self._send(datagram, (server.address, server.port))

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        if self._endpoint is None or not self._endpoint.send(datagram, address):
            self._metrics.count("send_failures_total")
            self._event_log.warning("send refused", address=f"{address[0]}:{address[1]}")

    def _log_decision(self, action: SteeringAction, packet: FlowPacket) -> None:
        fields: dict[str, object] = {
            "flow": format_flow(packet.flow),
            "copy": packet.copy_number,
            "cookie": f"{packet.cookie:08x}",
        }
        if isinstance(action, ForwardPacket):
            server = action.server
            fields["cookie"] = f"{action.cookie:08x}"
            fields["server"] = server.server_id
            fields["failure_domain"] = server.failure_domain
            fields["flows"] = self._steering.flows.open_flow_count(server.server_id)
            fields["busy"] = self._steering.flows.busy_flow_count(server.server_id)
        if action.admission is not None:
            fields |= _admission_fields(action.admission)
        routes = self._steering.routes
        fields["routes_version"] = routes.version if routes is not None else "none"
        fields["list_age_ms"] = self._list_age_source.list_age_ms()
        self._event_log.info(action.verdict, **fields)

    def _record_observation(self, observation: Observation) -> None:
        service = observation.server.service
        if isinstance(observation, FlowOpened):
            self._metrics.observe_latency("opening_latency_ms", service, observation.latency_ms)
        elif isinstance(observation, RequestAnswered):
            self._metrics.observe_latency("answer_latency_ms", service, observation.latency_ms)
            self._metrics.count("answers_total", service, "late" if observation.is_late else "ok")
        elif isinstance(observation, SlowStartOpening):
            self._record_slow_start(observation)
        else:
            self._record_suspicion(observation)

    def _record_slow_start(self, opening: SlowStartOpening) -> None:
        self._metrics.count("slow_start_openings_total", opening.server.service)
        self._event_log.info(
            "slow start",
            server=opening.server.server_id,
            service=opening.server.service,
            sent=opening.sent,
            limit=opening.limit,
            flow=format_flow(opening.flow),
        )

    def _record_suspicion(self, change: SuspicionChanged) -> None:
        server = change.server
        level = change.suspicion.name.lower()
        if change.suspicion is not Suspicion.NONE:
            self._metrics.count("suspicions_total", server.server_id, level)
        self._event_log.info(
            "suspicion",
            server=server.server_id,
            failure_domain=server.failure_domain,
            level=level,
            flow="none" if change.flow is None else format_flow(change.flow),
        )


def _admission_fields(outcome: AdmissionOutcome) -> dict[str, object]:
    fields: dict[str, object] = {
        "service": outcome.service,
        "priority": outcome.priority,
        "wait_ms": outcome.wait_ms,
        "expected_wait_ms": outcome.expected_wait_ms,
    }
    if outcome.room_slots:
        fields["demand_slots"] = f"{outcome.demand_slots:.0f}"
        fields["room_slots"] = f"{outcome.room_slots:.0f}"
        fields["busy_flows"] = outcome.busy_flows
        fields["stretch"] = f"{outcome.stretch:.1f}"
    return fields


def format_flow(flow: FlowEndpoints) -> str:
    """Return both ends of a flow as ``address:port`` for log lines."""
    caller = IPv4Address(flow.caller_address)
    destination = IPv4Address(flow.destination.address)
    return f"{caller}:{flow.caller_port}>{destination}:{flow.destination.port}"
