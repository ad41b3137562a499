"""The steering daemon: composes its sockets, servers and tasks, and handles their life cycle.

It chooses the backend server of a packet by the cookie in the packet, and reads the routes and the
list of backend servers from a store, partly through other hosts; see ``server_list_sync``.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from pathlib import Path

from logbook import Logger
from tornado.ioloop import PeriodicCallback

from redwingswitch._internal.daemon.packet_path import PacketPath
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.settings_reload import SettingsReload
from redwingswitch._internal.daemon.single_path_server import HttpResponse, SinglePathServer
from redwingswitch._internal.daemon.steering_gauges import SteeringGauges
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.readiness import Readiness, readiness
from redwingswitch._internal.decisions.cookies.slow_start_limits import (
    SlowStartLimits,
)
from redwingswitch._internal.decisions.list_sharing.age_budget import age_budget
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.list_readers import ListReader
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.ports import Clock, PacketCodec, RandomSource, ServerListStore
from redwingswitch._internal.steering_settings import SteeringSettings
from redwingswitch._internal.utils.event_log import EventLog, NonBlockingStream

log = Logger("steering")

MS_PER_S = 1_000
# Routers check the readiness twice a second and stop sending after two failed checks. A host that
# gets no more packets from them is out of their rotation.
ROTATION_EXIT_DELAY_MS = 1_500
# A stop completes when no packet has arrived for this long.
IDLE_BEFORE_EXIT_MS = 400
STOP_CHECK_INTERVAL_MS = 100
# The part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_MS = 500
# The store and the reader normally answer sooner; a host that waits longer has time for imports.
LOAD_PARTS_DELAY_MS = 100
METRICS_PATH = "/metrics"
# The probability that two hosts, or two starts of one host, draw the same incarnation is 1 in 2^53.
INCARNATION_RANGE = 1 << 53


class SteeringDaemon:
    """Steers the packets that the routers spread over the hosts.

    ``age_clock`` measures the age of the list; unlike ``clock``, it continues while the host is
    suspended.
    """

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        store: ServerListStore,
        codec: PacketCodec,
        clock: Clock,
        age_clock: Clock,
        random_source: RandomSource,
        settings_file: Path | None = None,
        bound_socket: socket.socket | None = None,
        log_stream: NonBlockingStream | None = None,
    ) -> None:
        self._settings = settings
        self._bound_socket = bound_socket
        self._store = store
        self._clock = clock
        self._age_clock = age_clock
        self._reload = SettingsReload(settings=settings, settings_file=settings_file)
        self._steering = CookieSteering(
            failure_domain=settings.failure_domain,
            random_source=random_source,
            slow_start=SlowStartLimits(
                failure_domain=settings.failure_domain,
                failure_domains=settings.failure_domains,
                overshoot=settings.slow_start_overshoot,
                slack=settings.slow_start_slack,
            ),
        )
        self._metrics = SteeringMetrics()
        self._incarnation = 1 + int(random_source.random() * (INCARNATION_RANGE - 1))
        self._sharing = ListSharing(
            local_reader=_local_reader_record(settings, self._incarnation),
            age_limit_ms=age_budget(settings.strictest_age_limit_ms).reader_age_ms,
            link_mbps=settings.link_mbps,
            random_source=random_source,
        )
        self._server_list = ServerListSynchronizer(
            store=store,
            steering=self._steering,
            sharing=self._sharing,
            clock=clock,
            age_clock=age_clock,
            random_source=random_source,
            metrics=self._metrics,
            list_age_limit_ms=settings.strictest_age_limit_ms,
            on_change=self._on_list_change,
            shares_load=settings.load_sharing,
        )
        self._packet_path = PacketPath(
            steering=self._steering,
            codec=codec,
            clock=clock,
            metrics=self._metrics,
            event_log=EventLog(part="packets", clock=clock),
            list_age_source=self._server_list,
            caller_port=settings.steering.port,
        )
        self._gauges = SteeringGauges(
            settings=settings,
            incarnation=self._incarnation,
            steering=self._steering,
            sharing=self._sharing,
            server_list=self._server_list,
            packet_path=self._packet_path,
            metrics=self._metrics,
            clock=clock,
            log_stream=log_stream,
        )
        self._stop_requested = asyncio.Event()
        self._has_load_parts = False
        self._load_timer: PeriodicCallback | None = None
        self.readiness = Readiness.NOT_CONFIGURED
        self.readiness_port = settings.readiness.port

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the latest call to the store succeeded."""
        return self._server_list.is_store_reachable

    @property
    def list_role(self) -> ListSharingRole:
        """Return how this host gets the list of backend servers."""
        return self._server_list.role

    @property
    def routes_version(self) -> int | None:
        """Return the version of the routes in force."""
        routes = self._steering.routes
        return None if routes is None else routes.version

    @property
    def held_packets(self) -> int:
        """Return the number of packets that wait for routes or servers."""
        return self._steering.held_packets

    @property
    def incarnation(self) -> int:
        """Return the number that distinguishes this start of the host from others."""
        return self._incarnation

    @property
    def known_neighbours(self) -> int:
        """Return the number of other hosts of the failure domain that this host has heard of."""
        return self._server_list.peers.known_neighbours

    def servers_for_new_flows(self, service: str) -> list[str]:
        """Return the listed servers of a service that accept new flows."""
        entries = self._steering.directory.active_servers(service)
        return sorted(entry.server.server_id for entry in entries if entry.absent_since_ms is None)

    async def run(self) -> None:
        """Serve until a requested stop is complete."""
        settings = self._settings
        endpoint = DatagramEndpoint(
            address=settings.steering.address,
            port=settings.steering.port,
            on_datagram=self._packet_path.on_datagram,
            bound_socket=self._bound_socket,
        )
        self._packet_path.set_sender(endpoint)
        endpoints = [endpoint, *self._peer_endpoints()]
        servers = [self._readiness_server(), *self._metrics_servers()]
        reader_task = asyncio.create_task(self._server_list.run())
        settings_task = asyncio.create_task(self._reload.watch())
        load_parts_timer = asyncio.get_running_loop().call_later(
            LOAD_PARTS_DELAY_MS / MS_PER_S, self._start_load_parts
        )
        log.info(f"started host={settings.host} failure_domain={settings.failure_domain}")
        try:
            await self._wait_for_stop_request(reader_task)
            await self._wait_until_idle()
        finally:
            reader_task.cancel()
            settings_task.cancel()
            load_parts_timer.cancel()
            if self._load_timer is not None:
                self._load_timer.stop()
            for server in servers:
                server.close()
            for datagram_endpoint in endpoints:
                datagram_endpoint.close()
            self._store.close()
            log.info("stopped")

    def _peer_endpoints(self) -> list[DatagramEndpoint]:
        peers = self._settings.peers
        if peers is None:
            return []
        endpoint = DatagramEndpoint(
            address=peers.address, port=peers.port, on_datagram=self._server_list.peers.on_datagram
        )
        self._server_list.peers.set_sender(endpoint)
        return [endpoint]

    async def _wait_for_stop_request(self, reader_task: asyncio.Task[None]) -> None:
        stop_task = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait({stop_task, reader_task}, return_when=asyncio.FIRST_COMPLETED)
        stop_task.cancel()
        if reader_task.done():
            # The task ends only because of a bug. Exiting, so that the process is restarted, is
            # better than running on without any further change.
            log.error("server list synchronization failed; exiting")
            reader_task.result()

    def _readiness_server(self) -> SinglePathServer:
        settings = self._settings
        server = SinglePathServer(
            address=settings.readiness.address,
            port=settings.readiness.port,
            path=settings.readiness_path,
            get_response=self._readiness_response,
        )
        self.readiness_port = server.port
        return server

    def _metrics_servers(self) -> list[SinglePathServer]:
        settings = self._settings
        if settings.metrics is None:
            return []
        return [
            SinglePathServer(
                address=settings.metrics.address,
                port=settings.metrics.port,
                path=METRICS_PATH,
                get_response=self._metrics_response,
            )
        ]

    def request_stop(self) -> None:
        """Begin a planned stop: leave the routers' rotation, but steer packets that still come."""
        log.info("stop requested")
        self._stop_requested.set()
        self._update_readiness()
        # Last, so that no fault in reading the file keeps the process from stopping.
        self.reload()

    def reload(self) -> None:
        """Reload the settings file and log what changed; apply only the grace period."""
        self._reload.reload()

    async def _wait_until_idle(self) -> None:
        """Wait until packets no longer arrive, or until the grace period is almost over."""
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + max(0, self._reload.grace_period_ms - EXIT_MARGIN_MS)
        while True:
            await asyncio.sleep(STOP_CHECK_INTERVAL_MS / MS_PER_S)
            now_ms = self._clock.now_ms()
            is_out_of_rotation = now_ms - began_ms >= ROTATION_EXIT_DELAY_MS
            is_idle = now_ms - self._packet_path.last_packet_ms >= IDLE_BEFORE_EXIT_MS
            if now_ms >= deadline_ms or (is_out_of_rotation and is_idle):
                return

    def _on_list_change(self) -> None:
        self._update_readiness()
        self._packet_path.on_list_changed()
        if self.readiness is Readiness.READY and not self._has_load_parts:
            asyncio.get_running_loop().call_soon(self._start_load_parts)

    def _start_load_parts(self) -> None:
        """Start the load sharing and the admission if the settings call for them.

        Neither changes a decision before other hosts have answered the first report. Their modules
        are therefore imported only when this host can serve flows, or while it waits for the list.
        """
        settings = self._settings
        if self._has_load_parts or self._stop_requested.is_set():
            return
        self._has_load_parts = True
        if not settings.load_sharing and not settings.admission:
            return
        from redwingswitch._internal.daemon.load_parts import start_load_parts  # noqa: PLC0415

        self._load_timer = start_load_parts(
            settings=settings,
            steering=self._steering,
            sharing=self._sharing,
            server_list=self._server_list,
            clock=self._clock,
            age_clock=self._age_clock,
            metrics=self._metrics,
        )

    def _update_readiness(self) -> None:
        current = readiness(
            has_routes=self._steering.routes is not None,
            listed_servers=self._steering.directory.listed_count(),
            stopping=self._stop_requested.is_set(),
        )
        if current is not self.readiness:
            self.readiness = current
            log.info(f"readiness={current}")

    def _readiness_response(self) -> HttpResponse:
        is_ready = self.readiness is Readiness.READY
        return HttpResponse(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics_response(self) -> HttpResponse:
        body, content_type = self._render_metrics()
        return HttpResponse(HTTPStatus.OK, content_type, body)

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return self._render_metrics()[0].decode()

    def _render_metrics(self) -> tuple[bytes, str]:
        return self._gauges.render(
            is_ready=self.readiness is Readiness.READY,
            are_settings_refused=self._reload.is_refused,
        )


def _local_reader_record(settings: SteeringSettings, incarnation: int) -> ListReader | None:
    if settings.peers is None:
        return None
    return ListReader(
        host=settings.host,
        address=settings.peers.address,
        port=settings.peers.port,
        incarnation=incarnation,
    )
