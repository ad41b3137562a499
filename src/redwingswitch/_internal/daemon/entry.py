"""The entry daemon: composes sockets, receivers and decisions, and handles their life cycle.

Received data is parsed into events by ``receivers``. ``Pipeline`` passes the events to the decision
object, ``EntryHost``, and the actions that this returns to ``ActionPerformer``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import ExitStack

from logbook import Logger
from tornado.ioloop import IOLoop, PeriodicCallback

from redwingswitch._internal.daemon.admin import AdminServer
from redwingswitch._internal.daemon.directory import AddressDirectory
from redwingswitch._internal.daemon.documents import DocumentApplier, ParseDocument
from redwingswitch._internal.daemon.host_list import HostListPoller
from redwingswitch._internal.daemon.listeners import Listeners
from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.parameters import (
    BoundPorts,
    DaemonParameters,
    EntryHostDecisions,
)
from redwingswitch._internal.daemon.performer import ActionPerformer
from redwingswitch._internal.daemon.pipeline import Pipeline
from redwingswitch._internal.daemon.receivers import (
    PacketReceiver,
    PeerMessageReceiver,
    RequestDatagramReceiver,
)
from redwingswitch._internal.daemon.request_metrics import RequestMetrics
from redwingswitch._internal.daemon.store_tasks import StoreTasks
from redwingswitch._internal.decisions.flows.steering_context import SteeringStatistics
from redwingswitch._internal.exceptions import PeerSecurityError
from redwingswitch._internal.models.configuration import BackendServer, Configuration
from redwingswitch._internal.models.events import (
    AttemptFailed,
    Event,
    StopRequested,
    StreamConnectFailed,
)
from redwingswitch._internal.models.messages import PeerMessage
from redwingswitch._internal.network.backend_client import BackendClient
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.network.peers import PeerAddress, PeerSockets
from redwingswitch._internal.network.report_client import ReportClient
from redwingswitch._internal.ports import Clock, ConfigStore, HostList, RandomSource
from redwingswitch._internal.settings import SeedSettings

log = Logger("daemon")

# Before a host dispatches a non-idempotent request, other hosts must grant it a claim on the
# request's id, each of them to one host only. After a restart a host no longer knows which claims
# it granted, and must not grant any until the earlier ones no longer matter: maximum request
# lifetime 30 s plus maximum packet lifetime 60 s.
ABSTENTION_MS = 90_000
EXPIRY_INTERVAL_MS = 10_000

# Arguments: incarnation, end of the time in which no claims are granted (see ABSTENTION_MS), seeds,
# current time.
MakeEntryHost = Callable[[int, int, tuple[SeedSettings, ...], int], EntryHostDecisions]


class EntryDaemon:
    """Runs one entry host on the current tornado event loop.

    The constructor binds the sockets and raises OSError when a port is in use. The host joins the
    fleet and handles messages only after ``start``.
    """

    def __init__(
        self,
        *,
        parameters: DaemonParameters,
        incarnation: int,
        clock: Clock,
        random_source: RandomSource,
        store: ConfigStore | None,
        host_list: HostList | None,
        parse_document: ParseDocument,
        make_entry_host: MakeEntryHost,
    ) -> None:
        self.parameters = parameters
        self._incarnation = incarnation
        self._clock = clock
        self._make_entry_host = make_entry_host
        self.metrics = Metrics(
            host=parameters.host,
            failure_domain=parameters.failure_domain,
            incarnation=incarnation,
        )
        self._request_metrics = RequestMetrics(metrics=self.metrics)
        self._document_applier = DocumentApplier(
            parse_document=parse_document,
            on_configuration=self._apply_configuration,
            metrics=self.metrics,
        )
        self._backend_client = BackendClient(clock=clock, on_event=self._on_backend_event)
        self._report_client = ReportClient()
        self._listeners = Listeners(
            address=parameters.address,
            choose_server=self._choose_server,
            on_connect_failed=self._on_connect_failed,
            on_count=self._on_connection_count,
        )
        self._store_tasks = self._make_store_tasks(store, random_source)
        self._host_list_poller = HostListPoller(host_list=host_list, submit=self._submit)
        self._directory = AddressDirectory(pinned_keys=parameters.pinned_keys)
        self._entry_host: EntryHostDecisions | None = None
        self._performer: ActionPerformer | None = None
        self._pipeline: Pipeline | None = None
        self._expiry_timer = PeriodicCallback(self._remove_expired, EXPIRY_INTERVAL_MS)
        self._stopped = asyncio.Event()
        with ExitStack() as opened:
            self._bind(opened)
            opened.pop_all()

    @property
    def ports(self) -> BoundPorts:
        """Return the bound ports."""
        return BoundPorts(
            self._peer_sockets.port,
            self._data_endpoint.port,
            self._request_endpoint.port,
            self._admin_server.port,
        )

    @property
    def open_connections(self) -> int:
        """Return the number of spliced connections."""
        return self._listeners.open_connections

    @property
    def listening_services(self) -> frozenset[str]:
        """Return the services whose TCP listener accepts connections."""
        return self._listeners.listening_services

    async def start(self, *, seeds: tuple[SeedSettings, ...]) -> None:
        """Join the fleet through the hosts in ``seeds`` and begin to handle messages."""
        started_before = self._store_tasks is None or await self._store_tasks.has_started_before(
            self.parameters.host
        )
        now_ms = self._clock.now_ms()
        abstain_until_ms = now_ms + ABSTENTION_MS if started_before else now_ms
        self._directory.set_seeds(seeds)
        self._update_peers()
        self._entry_host = self._make_entry_host(self._incarnation, abstain_until_ms, seeds, now_ms)
        self._performer = self._make_performer()
        self._pipeline = Pipeline(
            entry_host=self._entry_host,
            performer=self._performer,
            clock=self._clock,
            metrics=self.metrics,
        )
        self._pipeline.start_timer()
        self._host_list_poller.start()
        self._expiry_timer.start()
        log.info(f"{self.parameters.host} has started")

    def status(self) -> Mapping[str, object]:
        """Return the host's state for the admin endpoint."""
        if self._entry_host is None:
            return {"host": self.parameters.host, "ready": False}
        return self._entry_host.status(self._clock.now_ms())

    def request_stop(self) -> None:
        """Begin the planned stop; a second call does not move the deadline."""
        log.info(f"{self.parameters.host} stops gracefully")
        self._listeners.stop_listening()
        grace_deadline_ms = self._clock.now_ms() + self.parameters.grace_period_ms
        if self._pipeline is None:
            self._stopped.set()
        else:
            self._submit(StopRequested(grace_deadline_ms))

    async def wait_stopped(self) -> None:
        """Wait until the planned stop is complete, then close everything."""
        await self._stopped.wait()
        if self._store_tasks is not None:
            await self._store_tasks.wait_for_lease_task()
        await self.close()

    async def close(self) -> None:
        """Close every socket immediately, as a crash would."""
        self._expiry_timer.stop()
        if self._pipeline is not None:
            self._pipeline.close()
        if self._performer is not None:
            self._performer.close()
        self._host_list_poller.close()
        self._document_applier.close()
        if self._store_tasks is not None:
            self._store_tasks.close()
        self._data_endpoint.close()
        self._request_endpoint.close()
        self._admin_server.close()
        self._backend_client.close()
        self._report_client.close()
        await self._listeners.close()
        self._peer_sockets.close()

    def _bind(self, opened: ExitStack) -> None:
        """Bind all sockets; ``opened`` closes them if a later one cannot be bound."""
        parameters = self.parameters
        self._packet_receiver = PacketReceiver(
            submit=self._submit, metrics=self.metrics, directory=self._directory
        )
        self._request_receiver = RequestDatagramReceiver(
            submit=self._submit,
            metrics=self.metrics,
            request_metrics=self._request_metrics,
            clock=self._clock,
        )
        self._peer_message_receiver = PeerMessageReceiver(
            submit=self._submit,
            metrics=self.metrics,
            request_metrics=self._request_metrics,
            clock=self._clock,
        )
        self._data_endpoint = DatagramEndpoint(
            address=parameters.address,
            port=parameters.data_port,
            on_datagram=self._packet_receiver.on_datagram,
        )
        opened.callback(self._data_endpoint.close)
        self._request_endpoint = DatagramEndpoint(
            address=parameters.address,
            port=parameters.request_port,
            on_datagram=self._request_receiver.on_datagram,
        )
        opened.callback(self._request_endpoint.close)
        self._peer_sockets = PeerSockets(
            host=parameters.host,
            incarnation=self._incarnation,
            address=parameters.address,
            port=parameters.peer_port,
            keys=parameters.keys,
            allow_plaintext=parameters.allow_plaintext,
            on_message=self._peer_message_receiver.on_message,
            on_refused=self._peer_message_receiver.on_refused,
            on_sent=self._on_sent,
        )
        opened.callback(self._peer_sockets.close)
        self._admin_server = AdminServer(
            address=parameters.address,
            port=parameters.admin_port,
            render=self._render_metrics,
            status=self.status,
        )

    def _make_store_tasks(
        self, store: ConfigStore | None, random_source: RandomSource
    ) -> StoreTasks | None:
        if store is None:
            return None
        return StoreTasks(
            store=store, random_source=random_source, metrics=self.metrics, submit=self._submit
        )

    def _make_performer(self) -> ActionPerformer:
        return ActionPerformer(
            directory=self._directory,
            metrics=self.metrics,
            request_metrics=self._request_metrics,
            clock=self._clock,
            peers=self._peer_sockets,
            backends=self._backend_client,
            reports=self._report_client,
            store=self._store_tasks,
            documents=self._document_applier,
            send_packet=self._data_endpoint.send,
            send_answer=self._request_endpoint.send,
            submit=self._submit,
            on_stop_completed=self._on_stop_completed,
        )

    def _submit(self, event: Event) -> None:
        if self._pipeline is None or self._entry_host is None:
            return
        self._pipeline.submit(event)
        self._peer_sockets.set_incarnation(self._entry_host.incarnation)

    def _on_backend_event(self, event: Event) -> None:
        if isinstance(event, AttemptFailed):
            self.metrics.count("backend_failures_total", event.backend_server, event.kind.value)
        self._submit(event)

    def _on_connect_failed(self, backend_server: str) -> None:
        self.metrics.count("backend_failures_total", backend_server, "connect")
        self._submit(StreamConnectFailed(backend_server))

    def _render_metrics(self) -> tuple[bytes, str]:
        statistics = SteeringStatistics()
        if self._entry_host is not None:
            statistics = self._entry_host.steering.statistics()
        return self.metrics.render(
            status=self.status(), statistics=statistics, open_connections=self.open_connections
        )

    def _on_sent(self, message: PeerMessage, size_bytes: int) -> None:
        kind = type(message).__name__
        self.metrics.count("control_messages_total", kind)
        self.metrics.count("control_bytes_total", kind, amount=size_bytes)

    def _apply_configuration(self, configuration: Configuration) -> None:
        if self._pipeline is None:
            return
        self._directory.update(configuration, self._clock.now_ms())
        self._update_peers()
        self._backend_client.update_servers(self._directory.servers())
        self._report_client.update_servers(self._directory.servers())
        self._request_metrics.apply_configuration(configuration)
        self._pipeline.apply_configuration(configuration)
        IOLoop.current().add_callback(self._listeners.update, configuration.services)

    def _update_peers(self) -> None:
        self._peer_sockets.update_peers(
            peer for peer in self._directory.peers() if self._is_usable(peer)
        )

    def _is_usable(self, peer: PeerAddress) -> bool:
        # One peer without a secure connection must not prevent an accepted revision from being
        # applied.
        if peer.host == self.parameters.host:
            return False
        try:
            self._peer_sockets.check_peer(peer)
        except PeerSecurityError as error:
            log.error(f"{peer.host} is left out: {error}")
            return False
        return True

    def _choose_server(self, service: str, connection_hash: int) -> BackendServer | None:
        if self._entry_host is None:
            return None
        name = self._entry_host.choose_for_connection(
            service, connection_hash, self._clock.now_ms()
        )
        return self._directory.find_server(name) if name else None

    def _on_connection_count(self, count: int) -> None:
        if self._entry_host is not None:
            self._entry_host.set_open_connections(count)

    def _remove_expired(self) -> None:
        if self._directory.remove_expired(self._clock.now_ms()):
            self._update_peers()

    def _on_stop_completed(self, cut_off_requests: int) -> None:
        if cut_off_requests:
            log.warning(f"{cut_off_requests} requests and connections were cut off")
            self.metrics.count("cut_off_requests_total", amount=cut_off_requests)
        self._stopped.set()
