"""A minimal HTTP server for the readiness and the metrics of the steering daemon."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets


class HttpResponse(NamedTuple):
    """An HTTP response."""

    status: HTTPStatus
    content_type: str = "application/json"
    body: bytes = b"{}"


class SinglePathServer:
    """Serves one path on one port."""

    def __init__(
        self, *, address: str, port: int, path: str, get_response: Callable[[], HttpResponse]
    ) -> None:
        self._path = path
        self._get_response = get_response
        sockets = bind_sockets(port, address)
        self.port: int = sockets[0].getsockname()[1]
        self._server = HTTPServer(self._on_request)
        self._server.add_sockets(sockets)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _on_request(self, request: HTTPServerRequest) -> None:
        connection = request.connection
        if connection is None:
            return
        response = (
            self._get_response()
            if request.path == self._path
            else HttpResponse(HTTPStatus.NOT_FOUND)
        )
        headers = HTTPHeaders(
            {"Content-Type": response.content_type, "Content-Length": str(len(response.body))}
        )
        start_line = ResponseStartLine("HTTP/1.1", response.status, response.status.phrase)
        connection.write_headers(start_line, headers, response.body)
        connection.finish()
