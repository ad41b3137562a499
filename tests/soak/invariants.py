"""Invariants that callers and backend servers rely on, checked while the soak runs."""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.platform.standins.flows import Packet
from tests.lib.sliding_seconds import most_in_a_second
from tests.soak.disturbances import DisturbanceLog, now_ms
from tests.soak.servers import SoakServer

# Requirements: how long a leaving server may still get new flows, and how long a configuration
# may take to be in force on every host.
DRAIN_LIMIT_MS = 3_000
CONVERGENCE_LIMIT_MS = 3_000
# Requirement: how long a failure domain that is out of service may still get new flows.
OUT_OF_SERVICE_LIMIT_MS = 5_000
# Requirement: a server in slow start gets in any sliding second at most ``SLOW_START_PER_S`` x
# ``SLOW_START_OVERSHOOT`` + ``SLOW_START_SLACK`` opening packets, summed over all hosts. With these
# numbers, each of three failure domains sends all that it may.
SLOW_START_PER_S = 6
SLOW_START_OVERSHOOT = 1.0
SLOW_START_SLACK = 0.0
SLOW_START_LIMIT = SLOW_START_PER_S * SLOW_START_OVERSHOOT + SLOW_START_SLACK
# A violation is reported when this many packets of a flow have reached another server while its
# own server is running.
MISDIRECTED_PACKET_LIMIT = 3

RouteAddress = tuple[int, int]


class OpenFlow(NamedTuple):
    """An open flow of a caller."""

    server: SoakServer
    destination: RouteAddress


class InvariantChecker:
    """Collect violations; the time limits apply to a host only while it is undisturbed."""

    def __init__(self, disturbances: DisturbanceLog) -> None:
        self.violations: list[str] = []
        self.check_count = 0
        self.open_flows: dict[int, OpenFlow] = {}
        # Services that any configuration allowed for a destination.
        self.allowed: dict[RouteAddress, set[str]] = {}
        self.removed_ms: dict[RouteAddress, int] = {}
        # When the store acknowledged that a failure domain is out of service.
        self.out_of_service_ms: dict[str, int] = {}
        self._disturbances = disturbances
        self._misdirected_packets: dict[int, int] = {}
        self._start_ms = now_ms()

    def report(self, text: str) -> None:
        """Record a violation with its time."""
        self.violations.append(f"{(now_ms() - self._start_ms) / 1_000:.2f} s {text}")

    def on_opening(self, server: SoakServer, host: str, packet: Packet) -> None:
        """Check an opening packet that reached a server."""
        destination = (packet.destination, packet.destination_port)
        self._check_service(server, destination)
        if not self._disturbances.is_undisturbed(host, "store", "machine"):
            return
        self.check_count += 1
        since_ms = server.draining_since_ms
        if since_ms is not None and now_ms() - since_ms > DRAIN_LIMIT_MS:
            self.report(f"drain: {host} opened a flow at {server.name}, which is leaving")
        emptied_ms = self.out_of_service_ms.get(server.failure_domain)
        if emptied_ms is not None and now_ms() - emptied_ms > OUT_OF_SERVICE_LIMIT_MS:
            domain = server.failure_domain
            self.report(f"out of service: {host} opened a flow at {server.name} in {domain}")
        removed_ms = self.removed_ms.get(destination)
        if removed_ms is not None and now_ms() - removed_ms > CONVERGENCE_LIMIT_MS:
            self.report(f"configuration: {host} used a route that was removed")

    def on_later_packet(self, server: SoakServer, host: str, packet: Packet) -> None:
        """Check a later packet that reached a server."""
        self._check_service(server, (packet.destination, packet.destination_port))
        flow = self.open_flows.get(packet.source_port)
        if flow is None or flow.server is server or flow.server.is_ended:
            return
        self._misdirected_packets[packet.source_port] = (
            self._misdirected_packets.get(packet.source_port, 0) + 1
        )
        if self._misdirected_packets[packet.source_port] == MISDIRECTED_PACKET_LIMIT:
            self.report(f"flow: {host} sent packets of a flow to {server.name} that is not its own")

    def on_reset(self, port: int, sender: str) -> None:
        """Check a reset that a caller received."""
        flow = self.open_flows.pop(port, None)
        if flow is None or flow.server.is_ended or flow.destination in self.removed_ms:
            return
        if self._disturbances.is_undisturbed(sender, flow.server.name, "store", "machine"):
            self.check_count += 1
            self.report(f"flow: {sender} reset a flow of {flow.server.name}, which serves it")

    def on_answer(self, port: int, name: str) -> None:
        """Check which server answered a request."""
        flow = self.open_flows.get(port)
        self.check_count += 1
        if flow is not None and flow.server.name != name:
            self.report(f"answer: {name} answered a flow of {flow.server.name}")

    def check_slow_start(self, server: SoakServer) -> None:
        """Check the opening packets that reached a server during its slow start.

        The limit holds for disturbed hosts too, also while they cannot hear each other.
        """
        openings_ms = server.slow_start_openings_ms()
        self.check_count += 1
        most = most_in_a_second(openings_ms)
        if most > SLOW_START_LIMIT:
            self.report(
                f"slow start: {server.name} got {most} opening packets in a sliding second, "
                f"{len(openings_ms)} in all; the limit is {SLOW_START_LIMIT:.0f}"
            )

    def _check_service(self, server: SoakServer, destination: RouteAddress) -> None:
        self.check_count += 1
        if server.service not in self.allowed.get(destination, set()):
            self.report(f"service: a packet for another service reached {server.name}")
