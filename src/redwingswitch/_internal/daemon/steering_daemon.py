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

from redwingswitch._internal.daemon.load_exchange import CHECK_INTERVAL_MS, LoadExchange
from redwingswitch._internal.daemon.packet_path import PacketPath
from redwingswitch._internal.daemon.server_list_sync import (
    ServerListSynchronizer,
    reader_age_limit_ms,
)
from redwingswitch._internal.daemon.single_path_server import HttpResponse, SinglePathServer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.cookies.readiness import Readiness, readiness
from redwingswitch._internal.decisions.cookies.slow_start_limits import (
    HostRankReceiver,
    SlowStartLimits,
)
from redwingswitch._internal.decisions.flow_admission.sources import NoSharedDemand
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.exceptions import InvalidInputGroup
from redwingswitch._internal.models.list_readers import ListReader
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.models.store_revisions import era_of, number_of
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.ports import Clock, PacketCodec, RandomSource, ServerListStore
from redwingswitch._internal.steering_settings import SteeringSettings, read_steering_settings
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
METRICS_PATH = "/metrics"
# The file may change without a signal; a change must be noticed before the process is stopped.
SETTINGS_CHECK_INTERVAL_MS = 2_000
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
        self._settings_file = settings_file
        self._bound_socket = bound_socket
        self._log_stream = log_stream
        self._store = store
        self._clock = clock
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
            age_limit_ms=reader_age_limit_ms(settings.strictest_age_limit_ms),
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
        self._load_exchange = self._create_load_exchange(age_clock)
        if settings.admission:
            self._steering.use_admission(self._steering.load_sharing or NoSharedDemand())
        self._packet_path = PacketPath(
            steering=self._steering,
            codec=codec,
            clock=clock,
            metrics=self._metrics,
            event_log=EventLog(part="packets", clock=clock),
            list_age_source=self._server_list,
            caller_port=settings.steering.port,
        )
        self._stop_requested = asyncio.Event()
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
    def host_rank_receiver(self) -> HostRankReceiver:
        """Return the part that takes this host's rank for servers in slow start."""
        return self._steering.slow_start.entitlement

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
        settings_task = asyncio.create_task(self._watch_settings())
        load_timer = self._start_load_exchange()
        log.info(f"started host={settings.host} failure_domain={settings.failure_domain}")
        try:
            await self._wait_for_stop_request(reader_task)
            await self._wait_until_idle()
        finally:
            reader_task.cancel()
            settings_task.cancel()
            if load_timer is not None:
                load_timer.stop()
            for server in servers:
                server.close()
            for datagram_endpoint in endpoints:
                datagram_endpoint.close()
            self._store.close()
            log.info("stopped")

    def _create_load_exchange(self, age_clock: Clock) -> LoadExchange | None:
        local = self._sharing.local_reader
        if local is None or not self._settings.load_sharing:
            return None
        all_domains = max(1, len(self._settings.failure_domains))
        exchange = LoadExchange(
            steering=self._steering,
            load_sharing=self._steering.share_load(all_domains=all_domains),
            sharing=self._sharing,
            other_readers=self._server_list.other_readers,
            local=local,
            failure_domain=self._settings.failure_domain,
            clock=self._clock,
            age_clock=age_clock,
            metrics=self._metrics,
            send=self._server_list.peers.send,
        )
        self._server_list.peers.load_exchange = exchange
        return exchange

    def _start_load_exchange(self) -> PeriodicCallback | None:
        if self._load_exchange is None:
            return None
        timer = PeriodicCallback(self._load_exchange.send_due_messages, CHECK_INTERVAL_MS)
        timer.start()
        return timer

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

    async def _watch_settings(self) -> None:
        """Reload the settings file whenever it changes."""
        known_mtime_ns = self._settings_mtime_ns()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_MS / MS_PER_S)
            mtime_ns = self._settings_mtime_ns()
            if mtime_ns != known_mtime_ns:
                known_mtime_ns = mtime_ns
                self.reload()

    def _settings_mtime_ns(self) -> int:
        if self._settings_file is None:
            return 0
        try:
            return self._settings_file.stat().st_mtime_ns
        except OSError as error:
            # The file may be in the middle of a replacement; the current settings stay in use.
            log.warning(f"settings unreadable reason={error}")
            return 0

    def request_stop(self) -> None:
        """Begin a planned stop: leave the routers' rotation, but steer packets that still come."""
        log.info("stop requested")
        self._stop_requested.set()
        self._update_readiness()
        # Last, so that no fault in reading the file keeps the process from stopping.
        self.reload()

    def reload(self) -> None:
        """Reload the settings file and log what changed; apply only the grace period."""
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
        # Changes of addresses and names take effect at the next start.
        self._settings = self._settings._replace(grace_period_ms=settings.grace_period_ms)

    async def _wait_until_idle(self) -> None:
        """Wait until packets no longer arrive, or until the grace period is almost over."""
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + max(0, self._settings.grace_period_ms - EXIT_MARGIN_MS)
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
        directory = self._steering.directory
        domains = self._sharing.out_of_service.domains
        self._metrics.set_gauges(
            "out_of_service",
            {
                (domain,): float(domain in domains)
                for domain in domains.union(self._settings.failure_domains)
            },
        )
        load_sharing = self._steering.load_sharing
        shared = None if load_sharing is None else load_sharing.shared
        gauges: dict[str, tuple[tuple[str, ...], float]] = {
            "host_info": (
                (self._settings.host, self._settings.failure_domain, str(self._incarnation)),
                1,
            ),
            "ready": ((), float(self.readiness is Readiness.READY)),
            "routes_version": ((), float(self.routes_version or 0)),
            "list_age_ms": ((), float(self._server_list.list_age_ms())),
            "store_era": ((), float(era_of(self._server_list.revision))),
            "store_revision": ((), float(number_of(self._server_list.revision))),
            "store_era_age_ms": ((), float(self._server_list.store_era_age_ms)),
            "serves_list": ((), float(self.list_role is ListSharingRole.SERVING)),
            "follows_reader": ((), float(self.list_role is ListSharingRole.FOLLOWING)),
            "listed_servers": ((), float(directory.listed_count())),
            "neighbours": ((), float(self.known_neighbours)),
            "load_hosts": ((), float(shared.total_hosts if shared else 0)),
            "load_domains": ((), float(shared.known_domains if shared else 0)),
            "avoided_servers": ((), float(len(shared.avoided.items()) if shared else 0)),
            "followed_flows": ((), float(len(self._steering.flows))),
            "held_packets": ((), float(self._steering.held_packets)),
            "held_openings": ((), float(self._steering.held_openings)),
            "slow_start_entitlement": (
                (),
                float(self._steering.slow_start.entitlement.has_rank(self._clock.now_ms())),
            ),
            "timer_lag_ms": ((), float(self._packet_path.timer_lag_ms)),
        }
        if self._log_stream is not None:
            self._metrics.counts["log_lines_lost_total"][()] = self._log_stream.lost_lines
        for name, values in self._admission_gauges().items():
            self._metrics.set_gauges(name, values)
        return self._metrics.render(gauges)

    def _admission_gauges(self) -> dict[str, dict[tuple[str, ...], float]]:
        admission = self._steering.admission
        if admission is None:
            return {}
        loads = admission.service_loads()
        return {
            "waiting_flows": {(): float(len(admission))},
            "service_demand_slots": {(load.service,): load.demand_slots for load in loads},
            "service_room_slots": {(load.service,): load.room_slots for load in loads},
        }


def _local_reader_record(settings: SteeringSettings, incarnation: int) -> ListReader | None:
    if settings.peers is None:
        return None
    return ListReader(
        host=settings.host,
        address=settings.peers.address,
        port=settings.peers.port,
        incarnation=incarnation,
    )
