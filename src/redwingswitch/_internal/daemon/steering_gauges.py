"""The present state of the steering daemon as gauges, read at each scrape."""

from __future__ import annotations

from redwingswitch._internal.daemon.packet_path import PacketPath
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.models.store_revisions import era_of, number_of
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.steering_settings import SteeringSettings
from redwingswitch._internal.utils.event_log import NonBlockingStream


class SteeringGauges:
    """Collects the gauges of a daemon and renders them with its counters."""

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        incarnation: int,
        steering: CookieSteering,
        sharing: ListSharing,
        server_list: ServerListSynchronizer,
        packet_path: PacketPath,
        metrics: SteeringMetrics,
        clock: Clock,
        log_stream: NonBlockingStream | None,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._steering = steering
        self._sharing = sharing
        self._server_list = server_list
        self._packet_path = packet_path
        self._metrics = metrics
        self._clock = clock
        self._log_stream = log_stream

    def render(self, *, is_ready: bool, are_settings_refused: bool) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format and their content type."""
        directory = self._steering.directory
        routes = self._steering.routes
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
            "ready": ((), float(is_ready)),
            "settings_refused": ((), float(are_settings_refused)),
            "routes_version": ((), float(routes.version if routes else 0)),
            "list_age_ms": ((), float(self._server_list.list_age_ms())),
            "store_era": ((), float(era_of(self._server_list.revision))),
            "store_revision": ((), float(number_of(self._server_list.revision))),
            "store_era_age_ms": ((), float(self._server_list.store_era_age_ms)),
            "serves_list": ((), float(self._server_list.role is ListSharingRole.SERVING)),
            "follows_reader": ((), float(self._server_list.role is ListSharingRole.FOLLOWING)),
            "listed_servers": ((), float(directory.listed_count())),
            "neighbours": ((), float(self._server_list.peers.known_neighbours)),
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
