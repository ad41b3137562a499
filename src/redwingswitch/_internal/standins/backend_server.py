"""Stand-in for one backend server: tunnel, streams, requests and load report."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from redwingswitch._internal.network.report_client import LoadReport
from redwingswitch._internal.ports import Clock
from redwingswitch._internal.standins.backend_files import FileEndpoint
from redwingswitch._internal.standins.backend_requests import Behaviour, RequestEndpoint
from redwingswitch._internal.standins.backend_streams import StreamEndpoint
from redwingswitch._internal.standins.backend_tunnel import OnReturn, TunnelEndpoint

MAX_RETAINED_REPORTS = 10_000


class BackendPorts(NamedTuple):
    """The bound ports, named as in the configuration file."""

    tunnel_port: int
    stream_port: int
    request_port: int
    report_port: int


class ReportFaults(NamedTuple):
    """Faults of the load report: it lags, or it is always ``fixed_report``."""

    lag_ms: int = 0
    fixed_report: LoadReport | None = None


EPHEMERAL_PORTS = BackendPorts(0, 0, 0, 0)
DEFAULT_BEHAVIOUR = Behaviour()
NO_REPORT_FAULTS = ReportFaults()


class LoadHandler(RequestHandler):
    """``GET /load``."""

    def initialize(self, *, report: Callable[[], LoadReport]) -> None:
        """Store the source of the report."""
        self._report = report

    def get(self) -> None:
        """Write the report as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self._report()))


class BackendServerStandin:
    """One backend server on ``address``.

    With ``file_bytes``, the stream port serves a file of that size over HTTP instead of an echo.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        destination: tuple[bytes, int],
        clock: Clock,
        behaviour: Behaviour = DEFAULT_BEHAVIOUR,
        report_faults: ReportFaults = NO_REPORT_FAULTS,
        on_return: OnReturn = lambda *_: None,
        ports: BackendPorts = EPHEMERAL_PORTS,
        file_bytes: int = 0,
    ) -> None:
        self._requested_ports = ports
        self.name = name
        self.service = service
        self.address = address
        self.draining = False
        self._clock = clock
        self._report_faults = report_faults
        self._reports: deque[tuple[int, LoadReport]] = deque(maxlen=MAX_RETAINED_REPORTS)
        self.tunnel = TunnelEndpoint(
            address=address,
            port=ports.tunnel_port,
            destination=destination,
            on_return=on_return,
        )
        self.streams: StreamEndpoint | FileEndpoint = (
            FileEndpoint(name=name, size_bytes=file_bytes)
            if file_bytes
            else StreamEndpoint(name=name)
        )
        self.requests = RequestEndpoint(service=service, behaviour=behaviour, clock=clock)
        self._request_port = self._listen_requests()
        self._report_server, self._report_port = self._listen_reports()

    async def start(self) -> None:
        """Begin to accept stream connections."""
        await self.streams.listen(address=self.address, port=self._requested_ports.stream_port)

    @property
    def ports(self) -> BackendPorts:
        """Return the bound ports; ``start`` must have been called."""
        return BackendPorts(
            self.tunnel.port, self.streams.port, self._request_port, self._report_port
        )

    def close(self) -> None:
        """Close everything at once, as a crash would."""
        self.tunnel.close()
        self.streams.close()
        self.requests.close()
        self._report_server.stop()

    def load(self) -> LoadReport:
        """Return the report that the endpoint serves now, with its faults applied."""
        if self._report_faults.fixed_report is not None:
            return self._report_faults.fixed_report
        now_ms = self._clock.now_ms()
        self._reports.append((now_ms, self._measure_load()))
        return self._report_at(now_ms - self._report_faults.lag_ms)

    def _measure_load(self) -> LoadReport:
        return LoadReport(
            busy_slots=self.requests.busy_slots,
            open_connections=self.streams.open_connections + len(self.tunnel.packets),
            draining=self.draining,
        )

    def _report_at(self, time_ms: int) -> LoadReport:
        while len(self._reports) > 1 and self._reports[1][0] <= time_ms:
            self._reports.popleft()
        return self._reports[0][1]

    def _listen_requests(self) -> int:
        sockets = bind_sockets(self._requested_ports.request_port, self.address)
        self.requests.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    def _listen_reports(self) -> tuple[HTTPServer, int]:
        application = Application(
            [("/load", LoadHandler, {"report": self.load})], log_function=lambda _: None
        )
        server = HTTPServer(application)
        sockets = bind_sockets(self._requested_ports.report_port, self.address)
        server.add_sockets(sockets)
        return server, sockets[0].getsockname()[1]
