"""A persistent HTTP/1.1 connection to one server."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from redwingswitch._internal.exceptions import ResponseTooLargeError, StoreUnavailableError

MAX_RESPONSE_BYTES = 16_000_000
CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
# A host behind a partition does not answer. A short timeout lets a later attempt succeed soon
# after the partition has healed.
CONNECT_TIMEOUT_MS = 1_000
MS_PER_S = 1_000
# TCP closes a connection that goes silent during a long watch after 3 s. A configuration accepted
# meanwhile is then read within the 4 s after which this host counts as connected again. Values are
# in seconds, except the number of probes.
KEEP_ALIVE_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.closes_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        self.headers = headers
        self.closes_connection = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True


class _Stream(IOStream):
    """A stream that knows whether it has received data which nobody has read."""

    def has_unread_data(self) -> bool:
        """Return whether data was received after the last response, or the connection ended."""
        if self._read_buffer_size:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class HttpConnection:
    """Sends one call at a time to a server; the call after a failure opens a new connection.

    A connection is also closed after a timeout, because it may never deliver data again, and when
    it has data that no call asked for: a second copy of a response would be taken for the response
    to the next call.
    """

    def __init__(self, *, address: str, port: int) -> None:
        self._address = (address, port)
        self._stream: _Stream | None = None
        self._parameters = HTTP1ConnectionParameters(max_body_size=MAX_RESPONSE_BYTES)

    async def call(self, method: str, target: str, *, body: bytes, timeout_ms: int) -> Response:
        """Return the response; raise StoreUnavailableError if none arrives within the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self._call(method, target, body)
        except TimeoutError as error:
            self.close()
            raise StoreUnavailableError(f"no response within {timeout_ms} ms") from error
        except (OSError, StreamClosedError) as error:
            self.close()
            raise StoreUnavailableError(f"the connection failed: {error}") from error
        except (ResponseTooLargeError, asyncio.CancelledError):
            self.close()
            raise

    def stream_socket(self) -> socket.socket:
        """Return the socket of the open connection."""
        if self._stream is None:
            raise StoreUnavailableError("there is no connection; make a call first")
        return self._stream.socket

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _call(self, method: str, target: str, body: bytes) -> Response:
        stream = await self._open_stream()
        connection = HTTP1Connection(stream, True, self._parameters)
        headers = HTTPHeaders(
            {"Host": ":".join(map(str, self._address)), "Content-Length": str(len(body))}
        )
        if body:
            headers["Content-Type"] = "application/json"
        await connection.write_headers(RequestStartLine(method, target, ""), headers, body or None)
        connection.finish()
        collector = _ResponseCollector()
        await connection.read_response(collector)
        if not collector.is_complete:
            _check_size(collector.headers.get("Content-Length", ""))
            raise StreamClosedError()
        if collector.closes_connection:
            self.close()
        return Response(
            status=collector.status,
            headers=collector.headers,
            body=b"".join(collector.chunks),
        )

    async def _open_stream(self) -> IOStream:
        stream = self._stream
        if stream is not None and not stream.closed() and not stream.has_unread_data():
            return stream
        self.close()
        self._stream = _Stream(_create_tcp_socket())
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            await self._stream.connect(self._address)
        return self._stream


def _check_size(content_length: str) -> None:
    size = int(content_length) if CONTENT_LENGTH_PATTERN.fullmatch(content_length) else 0
    if size > MAX_RESPONSE_BYTES:
        raise ResponseTooLargeError(
            f"a response of {size} bytes is above the limit of {MAX_RESPONSE_BYTES}"
        )


def _create_tcp_socket() -> socket.socket:
    tcp_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEP_ALIVE_OPTIONS.items():
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return tcp_socket
