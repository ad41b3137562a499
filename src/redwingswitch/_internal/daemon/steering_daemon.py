"""The steering daemon: packets in, decisions, packets out; readiness; planned stop."""

from __future__ import annotations

import asyncio
import socket
from ipaddress import IPv4Address
from pathlib import Path

from logbook import Logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from redwingswitch._internal.daemon.fleet_reader import FleetReader
from redwingswitch._internal.decisions.cookies.readiness import Readiness, readiness
from redwingswitch._internal.decisions.cookies.steering import CookieSteering
from redwingswitch._internal.exceptions import DecodeError, InvalidInputGroup
from redwingswitch._internal.models.cookie_flows import (
    ForwardPacket,
    ResetFlow,
    SteeringAction,
)
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.ports import Clock, FleetStore, PacketCodec, RandomSource
from redwingswitch._internal.steering_settings import (
    SteeringSettings,
    read_steering_settings,
)

log = Logger("steering")

MS_PER_S = 1_000
# Routers check twice a second and stop sending after two misses.
ROTATION_EXIT_MS = 1_500
# A stop ends when no packet has come for this long.
QUIET_MS = 400
STOP_CHECK_MS = 100
# Left of the grace period for the exit itself.
EXIT_MARGIN_MS = 500


class SteeringDaemon:
    """One host that steers sprayed packets."""

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        store: FleetStore,
        codec: PacketCodec,
        clock: Clock,
        random_source: RandomSource,
        settings_file: Path | None = None,
        bound: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._bound = bound
        self._store = store
        self._codec = codec
        self._clock = clock
        self._steering = CookieSteering(
            failure_domain=settings.failure_domain, random_source=random_source
        )
        self._reader = FleetReader(
            store=store,
            steering=self._steering,
            clock=clock,
            random_source=random_source,
            on_change=self._on_list_change,
        )
        self._stopping = asyncio.Event()
        self.readiness = Readiness.NOT_CONFIGURED
        self.readiness_port = settings.readiness.port
        self._last_packet_ms = 0
        self._timer_is_set = False

    @property
    def store_is_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._reader.is_reachable

    @property
    def routes_version(self) -> int | None:
        """Return the version of the routes in force."""
        routes = self._steering.routes
        return None if routes is None else routes.version

    @property
    def held_packets(self) -> int:
        """Return the packets that wait for routes or servers."""
        return self._steering.held_packets

    def offers_flows_to(self, service: str) -> list[str]:
        """Return the servers of a service that may get new flows."""
        return sorted(k.server.server_id for k in self._steering.directory.of_service(service))

    async def run(self) -> None:
        """Serve until a stop is requested and done."""
        self._endpoint = DatagramEndpoint(
            address=self._settings.steering.address,
            port=self._settings.steering.port,
            on_datagram=self._on_datagram,
            bound=self._bound,
        )
        sockets = bind_sockets(self._settings.readiness.port, self._settings.readiness.address)
        self.readiness_port = sockets[0].getsockname()[1]
        server = HTTPServer(self._answer_check)
        server.add_sockets(sockets)
        reading = asyncio.create_task(self._reader.run())
        log.info(
            f"started host={self._settings.host} failure_domain={self._settings.failure_domain}"
        )
        try:
            await self._stopping.wait()
            await self._stop()
        finally:
            reading.cancel()
            server.stop()
            self._endpoint.close()
            self._store.close()
            log.info("stopped")

    def request_stop(self) -> None:
        """Begin a planned stop: leave the routers' rotation, but steer what still comes."""
        log.info("stop requested")
        self._stopping.set()
        self._note_readiness()

    def reload(self) -> None:
        """Read the settings file again; what cannot change while the daemon runs is reported."""
        if self._settings_file is None:
            return
        try:
            settings = read_steering_settings(self._settings_file)
        except InvalidInputGroup as group:
            findings = "; ".join(str(error) for error in group.exceptions)
            log.error(f"reload refused reason={findings}")
            return
        changed = [
            name
            for name, old, new in zip(settings._fields, self._settings, settings, strict=True)
            if old != new
        ]
        log.info(f"reload done changed={','.join(changed) or 'nothing'}")
        # Addresses and names hold until the next start.
        self._settings = self._settings._replace(grace_period_ms=settings.grace_period_ms)

    async def _stop(self) -> None:
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + max(0, self._settings.grace_period_ms - EXIT_MARGIN_MS)
        while True:
            await asyncio.sleep(STOP_CHECK_MS / MS_PER_S)
            now_ms = self._clock.now_ms()
            out_of_rotation = now_ms - began_ms >= ROTATION_EXIT_MS
            quiet = now_ms - self._last_packet_ms >= QUIET_MS
            if now_ms >= deadline_ms or (out_of_rotation and quiet):
                return

    def _on_datagram(self, datagram: bytes, _address: tuple[str, int]) -> None:
        now_ms = self._clock.now_ms()
        self._last_packet_ms = now_ms
        try:
            packet = self._codec.decode(datagram)
        except DecodeError as error:
            log.warning(f"packet malformed reason={error}")
            return
        self._perform(self._steering.on_packet(packet, now_ms))
        if not self._timer_is_set:
            self._set_timer(now_ms)

    def _on_list_change(self) -> None:
        self._note_readiness()
        now_ms = self._clock.now_ms()
        for action in self._steering.on_list_changed(now_ms):
            self._perform(action)
        if not self._timer_is_set:
            self._set_timer(now_ms)

    def _perform(self, action: SteeringAction) -> None:
        packet = action.packet
        if isinstance(action, ForwardPacket):
            server = action.server
            sent = self._codec.encode_for_server(
                packet, cookie=action.cookie, tunnel_prefix=server.tunnel_prefix
            )
            self._endpoint.send(sent, (server.address, server.port))
        elif isinstance(action, ResetFlow):
            caller = str(IPv4Address(packet.flow.caller_address))
            reset = self._codec.encode_reset(packet)
            self._endpoint.send(reset, (caller, self._settings.steering.port))

    def _set_timer(self, now_ms: int) -> None:
        deadline_ms = self._steering.next_deadline_ms()
        self._timer_is_set = deadline_ms is not None
        if deadline_ms is not None:
            IOLoop.current().call_later(max(0, deadline_ms - now_ms) / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        now_ms = self._clock.now_ms()
        for action in self._steering.on_timer(now_ms):
            self._perform(action)
        self._set_timer(now_ms)

    def _note_readiness(self) -> None:
        found = readiness(
            has_routes=self._steering.routes is not None,
            listed_servers=self._steering.directory.listed_count(),
            stopping=self._stopping.is_set(),
        )
        if found is not self.readiness:
            self.readiness = found
            log.info(f"readiness={found}")

    def _answer_check(self, request: HTTPServerRequest) -> None:
        known = request.path == self._settings.readiness_path
        status = 404 if not known else 200 if self.readiness is Readiness.READY else 503
        body = b"{}"
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        connection = request.connection
        assert connection is not None
        connection.write_headers(ResponseStartLine("HTTP/1.1", status, ""), headers, body)
        connection.finish()
