"""The admin HTTP endpoint: metrics, readiness, liveness and status."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

StatusSource = Callable[[], Mapping[str, object]]
# Returns the exposition text and its content type.
RenderMetrics = Callable[[], tuple[bytes, str]]


class MetricsHandler(RequestHandler):
    """``GET /metrics``: Prometheus exposition."""

    def initialize(self, *, render: RenderMetrics) -> None:
        """Set the function that renders the metrics."""
        self._render = render

    def get(self) -> None:
        """Send the metrics."""
        content, content_type = self._render()
        self.set_header("Content-Type", content_type)
        self.write(content)


class ReadyHandler(RequestHandler):
    """``GET /ready``: 200 when the host accepts traffic, 503 otherwise."""

    def initialize(self, *, status: StatusSource) -> None:
        """Set the function that returns the status."""
        self._status_source = status

    def get(self) -> None:
        """Send the status code and a body that says the same."""
        ready = bool(self._status_source()["ready"])
        self.set_status(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.write("ready\n" if ready else "not ready\n")


class LiveHandler(RequestHandler):
    """``GET /live``: 200 while the event loop runs."""

    def get(self) -> None:
        """Send a fixed body; that a response is sent at all shows that the event loop runs."""
        self.write("live\n")


class StatusHandler(RequestHandler):
    """``GET /status``: the host's state as JSON, see ``models.status``."""

    def initialize(self, *, status: StatusSource) -> None:
        """Set the function that returns the status."""
        self._status_source = status

    def get(self) -> None:
        """Send the status."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(self._status_source()))


class AdminServer:
    """The HTTP server of the admin endpoint."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        render: RenderMetrics,
        status: StatusSource,
    ) -> None:
        application = Application(
            [
                ("/metrics", MetricsHandler, {"render": render}),
                ("/ready", ReadyHandler, {"status": status}),
                ("/live", LiveHandler),
                ("/status", StatusHandler, {"status": status}),
            ],
            log_function=lambda _: None,
        )
        sockets = bind_sockets(port, address)
        self.port: int = sockets[0].getsockname()[1]
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.stop()
