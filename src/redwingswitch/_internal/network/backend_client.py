"""TCP client for backend servers: one framed connection per server, shared by its attempts.

An attempt is one try to have a request run by a backend server; a failed request may be tried again
at another server.
"""

from __future__ import annotations

from collections.abc import Callable

from logbook import Logger
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.actions import DispatchRequest
from redwingswitch._internal.models.configuration import BackendServer
from redwingswitch._internal.models.events import AnswerPartArrived, AttemptFailed
from redwingswitch._internal.models.requests import FailureKind
from redwingswitch._internal.network.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    AnswerFrame,
    BackendFrame,
    CancelFrame,
    DispatchFrame,
    RefuseFrame,
    ShedFrame,
    decode_content,
    decode_length,
    encode_frame,
)
from redwingswitch._internal.ports import Clock

log = Logger("backend")

CONNECT_TIMEOUT_MS = 1_000
MAX_ATTEMPTS_PER_SERVER = 256
MS_PER_S = 1_000

OnEvent = Callable[[AnswerPartArrived | AttemptFailed], None]


class _Attempt:
    """An attempt in progress; ``stream`` is the connection that it was written to, if any."""

    def __init__(self, *, frame: DispatchFrame, deadline_ms: int, timer: object) -> None:
        self.frame = frame
        self.deadline_ms = deadline_ms
        self.timer = timer
        self.stream: IOStream | None = None
        self.received_parts: set[int] = set()


class BackendClient:
    """Dispatches attempts; reports each part of an answer, or the failure of the attempt once."""

    def __init__(self, *, clock: Clock, on_event: OnEvent) -> None:
        self._clock = clock
        self._on_event = on_event
        self._servers: dict[str, BackendServer] = {}
        self._connections: dict[str, BackendConnection] = {}

    def update_servers(self, servers: dict[str, BackendServer]) -> None:
        """Replace the known backend servers; attempts in progress continue."""
        self._servers = servers
        for name, connection in list(self._connections.items()):
            if name not in servers and not connection.attempts_in_progress:
                self._connections.pop(name).close()

    def dispatch(self, request: DispatchRequest) -> None:
        """Start an attempt; report it as REFUSED if it certainly did not start."""
        server = self._servers.get(request.backend_server)
        if server is None or not self._get_or_create_connection(server).dispatch(request):
            event = AttemptFailed(request.backend_server, request.attempt_id, FailureKind.REFUSED)
            IOLoop.current().add_callback(self._on_event, event)

    def cancel(self, *, backend_server: str, attempt_id: int) -> None:
        """Cancel an attempt; no further event is reported for it."""
        connection = self._connections.get(backend_server)
        if connection is not None:
            connection.cancel(attempt_id)

    def attempts_in_progress(self) -> int:
        """Return the number of attempts in progress."""
        return sum(connection.attempts_in_progress for connection in self._connections.values())

    def close(self) -> None:
        """Close every connection without reporting events."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def _get_or_create_connection(self, server: BackendServer) -> BackendConnection:
        connection = self._connections.get(server.name)
        if (
            connection is not None
            and connection.server != server
            and not connection.attempts_in_progress
        ):
            connection.close()
            connection = None
        if connection is None:
            connection = BackendConnection(
                server=server, clock=self._clock, on_event=self._on_event
            )
            self._connections[server.name] = connection
        return connection


class BackendConnection:
    """The connection to one backend server, opened by the first attempt that needs it."""

    def __init__(self, *, server: BackendServer, clock: Clock, on_event: OnEvent) -> None:
        self.server = server
        self._clock = clock
        self._on_event = on_event
        self._attempts: dict[int, _Attempt] = {}
        self._stream: IOStream | None = None
        self._connecting = False
        self._closed = False

    @property
    def attempts_in_progress(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._attempts)

    def dispatch(self, request: DispatchRequest) -> bool:
        """Start an attempt; return False when it cannot start."""
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0 or len(self._attempts) >= MAX_ATTEMPTS_PER_SERVER:
            return False
        frame = DispatchFrame(
            request.attempt_id,
            request.request_id,
            request.service,
            request.idempotent,
            remaining_ms,
            request.body,
        )
        timer = IOLoop.current().call_later(
            remaining_ms / MS_PER_S, self._on_timeout, request.attempt_id
        )
        self._attempts[request.attempt_id] = _Attempt(
            frame=frame, deadline_ms=request.deadline_ms, timer=timer
        )
        self._send_or_connect(request.attempt_id)
        return True

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt and notify the backend server if it is connected."""
        if self._remove_attempt(attempt_id):
            self._write(CancelFrame(attempt_id))

    def close(self) -> None:
        """Close the connection without reporting events."""
        self._closed = True
        for attempt_id in list(self._attempts):
            self._remove_attempt(attempt_id)
        if self._stream is not None:
            self._stream.close()

    def _send_or_connect(self, attempt_id: int) -> None:
        if self._stream is not None and not self._stream.closed():
            self._write_dispatch(self._attempts[attempt_id], self._stream)
            return
        if not self._connecting:
            self._connecting = True
            IOLoop.current().add_callback(self._connect_and_read)

    def _write_dispatch(self, attempt: _Attempt, stream: IOStream) -> None:
        # The time spent connecting counts against the deadline.
        remaining_ms = max(1, attempt.deadline_ms - self._clock.now_ms())
        attempt.stream = stream
        self._write(attempt.frame._replace(remaining_ms=remaining_ms))

    def _write(self, frame: BackendFrame) -> None:
        if self._stream is None:
            return
        try:
            self._stream.write(encode_frame(frame))
        except StreamClosedError:
            # _read_frames() fails the attempts on the closed connection.
            log.debug(f"{self.server.name} closed its connection")

    async def _connect_and_read(self) -> None:
        stream = await self._connect()
        self._connecting = False
        if stream is None or self._closed:
            self._fail_attempts(None, FailureKind.REFUSED)
            return
        self._stream = stream
        for attempt in self._attempts.values():
            if attempt.stream is None:
                self._write_dispatch(attempt, stream)
        await self._read_frames(stream)

    async def _connect(self) -> IOStream | None:
        try:
            return await TCPClient().connect(
                self.server.address,
                self.server.request_port,
                max_buffer_size=MAX_FRAME_BYTES + LENGTH_BYTES,
                timeout=CONNECT_TIMEOUT_MS / MS_PER_S,
            )
        except (OSError, TimeoutError, StreamClosedError):
            return None

    async def _read_frames(self, stream: IOStream) -> None:
        try:
            while True:
                length_bytes = decode_length(await stream.read_bytes(LENGTH_BYTES))
                self._on_frame(decode_content(await stream.read_bytes(length_bytes)))
        except StreamClosedError:
            log.debug(f"lost the connection to {self.server.name}")
        except DecodeError as error:
            log.warning(f"{self.server.name} sent an invalid frame: {error}")
        stream.close()
        if self._stream is stream:
            self._stream = None
        # Attempts that wait for a new connection were never sent, so they are not affected.
        self._fail_attempts(stream, FailureKind.RESET)

    def _on_frame(self, frame: BackendFrame) -> None:
        if isinstance(frame, AnswerFrame):
            self._on_answer(frame)
        elif isinstance(frame, ShedFrame):
            self._fail_attempt(frame.attempt_id, FailureKind.SHED)
        elif isinstance(frame, RefuseFrame):
            self._fail_attempt(frame.attempt_id, FailureKind.REFUSED)

    def _on_answer(self, frame: AnswerFrame) -> None:
        attempt = self._attempts.get(frame.attempt_id)
        if attempt is None:
            return
        attempt.received_parts.add(frame.part)
        if len(attempt.received_parts) == frame.parts:
            self._remove_attempt(frame.attempt_id)
        self._on_event(
            AnswerPartArrived(
                self.server.name, frame.attempt_id, frame.part, frame.parts, frame.body
            )
        )

    def _on_timeout(self, attempt_id: int) -> None:
        # An attempt that was never written certainly did not start.
        attempt = self._attempts[attempt_id]
        kind = FailureKind.REFUSED if attempt.stream is None else FailureKind.TIMEOUT
        self._fail_attempt(attempt_id, kind)
        self._write(CancelFrame(attempt_id))

    def _fail_attempts(self, stream: IOStream | None, kind: FailureKind) -> None:
        for attempt_id, attempt in list(self._attempts.items()):
            if attempt.stream is stream:
                self._fail_attempt(attempt_id, kind)

    def _fail_attempt(self, attempt_id: int, kind: FailureKind) -> None:
        if self._remove_attempt(attempt_id):
            self._on_event(AttemptFailed(self.server.name, attempt_id, kind))

    def _remove_attempt(self, attempt_id: int) -> bool:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return False
        IOLoop.current().remove_timeout(attempt.timer)
        return True
