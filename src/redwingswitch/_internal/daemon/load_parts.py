"""Starts the parts of the steering daemon that share load with other hosts and admit flows."""

from __future__ import annotations

from tornado.ioloop import PeriodicCallback

from redwingswitch._internal.daemon.load_exchange import CHECK_INTERVAL_MS, LoadExchange
from redwingswitch._internal.daemon.server_list_sync import ServerListSynchronizer
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.cookies.cookie_steering import CookieSteering
from redwingswitch._internal.decisions.flow_admission.sources import NoSharedDemand
from redwingswitch._internal.decisions.list_sharing.sharing import ListSharing
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.steering_settings import SteeringSettings


def start_load_parts(
    *,
    settings: SteeringSettings,
    steering: CookieSteering,
    sharing: ListSharing,
    server_list: ServerListSynchronizer,
    clock: Clock,
    age_clock: Clock,
    metrics: SteeringMetrics,
) -> PeriodicCallback | None:
    """Start what the settings call for; return the running timer of the load sharing, if any."""
    timer = None
    local = sharing.local_reader
    if settings.load_sharing and local is not None:
        exchange = LoadExchange(
            steering=steering,
            load_sharing=steering.share_load(all_domains=max(1, len(settings.failure_domains))),
            sharing=sharing,
            other_readers=server_list.other_readers,
            local=local,
            failure_domain=settings.failure_domain,
            clock=clock,
            age_clock=age_clock,
            metrics=metrics,
            send=server_list.peers.send,
        )
        server_list.peers.load_exchange = exchange
        timer = PeriodicCallback(exchange.send_due_messages, CHECK_INTERVAL_MS)
        timer.start()
    if settings.admission:
        steering.use_admission(steering.load_sharing or NoSharedDemand())
    return timer
