"""TCP listener that copies bytes between a caller and a backend server without parsing them.

It uses asyncio streams, because tornado's IOStream closes both directions at the end of input and
so cannot forward a half-close.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from logbook import Logger

from redwingswitch._internal.models.configuration import BackendServer
from redwingswitch._internal.models.identifiers import FlowKey, flow_hash

log = Logger("splice")

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECT_ATTEMPTS = 2
CHUNK_BYTES = 65_536
MAX_CONNECTIONS = 4_000
TCP_PROTOCOL = 6

ChooseServer = Callable[[str, int], BackendServer | None]
OnConnectFailed = Callable[[str], None]
StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SpliceListener:
    """The listener of one service on one entry host.

    To splice is to join a caller's connection with one to a backend server.
    """

    def __init__(
        self,
        *,
        service: str,
        choose_server: ChooseServer,
        on_connect_failed: OnConnectFailed,
        on_connections_changed: Callable[[], None],
    ) -> None:
        self._service = service
        self._choose_server = choose_server
        self._on_connect_failed = on_connect_failed
        self._on_connections_changed = on_connections_changed
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the bound port, or 0 when not listening."""
        if self._server is None or not self._server.sockets:
            return 0
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def open_connections(self) -> int:
        """Return the number of callers' connections in progress."""
        return len(self._tasks)

    async def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections; raise OSError when the port is in use."""
        self._server = await asyncio.start_server(self._on_connection, address, port)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close every open connection; callers see a reset."""
        self.stop_listening()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None or len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._tasks.add(task)
        self._on_connections_changed()
        try:
            await self._splice(reader, writer)
        except (OSError, asyncio.IncompleteReadError) as error:
            log.debug(f"a connection of {self._service} ended: {error}")
        except asyncio.CancelledError:
            # Cancelled by close(). If re-raised, asyncio would log the cancelled task as an error.
            reset_connection(writer)
        finally:
            self._tasks.discard(task)
            self._on_connections_changed()
            writer.close()

    async def _splice(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        backend = await self._connect(_connection_flow_hash(writer))
        if backend is None:
            # A reset tells the caller that the service is unavailable; a close would look like an
            # empty answer.
            reset_connection(writer)
            return
        backend_reader, backend_writer = backend
        is_complete = False
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(copy_stream(reader, backend_writer))
                group.create_task(copy_stream(backend_reader, writer))
            is_complete = True
        except* OSError as errors:
            log.debug(f"a connection of {self._service} was reset: {errors.exceptions[0]}")
        finally:
            if not is_complete:
                # One side was reset, or close() was called. A normal close would make half of the
                # data look complete.
                reset_connection(writer)
                reset_connection(backend_writer)
            backend_writer.close()

    async def _connect(self, connection_hash: int) -> StreamPair | None:
        for _ in range(MAX_CONNECT_ATTEMPTS):
            server = self._choose_server(self._service, connection_hash)
            if server is None:
                return None
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(server.address, server.stream_port)
            except (OSError, TimeoutError):
                log.warning(f"cannot connect to {server.name}")
                self._on_connect_failed(server.name)
        return None


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset; buffered data is discarded."""
    connection_socket = writer.get_extra_info("socket")
    # abort() alone closes the socket normally, which the other side sees as a complete end of
    # input. A linger time of 0 sends a reset instead.
    with contextlib.suppress(OSError):
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def copy_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until end of input and forward the half-close; read no faster than it writes."""
    while chunk := await reader.read(CHUNK_BYTES):
        writer.write(chunk)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()


def _connection_flow_hash(writer: asyncio.StreamWriter) -> int:
    caller = writer.get_extra_info("peername")
    service = writer.get_extra_info("sockname")
    key = FlowKey(
        TCP_PROTOCOL,
        socket.inet_aton(caller[0]),
        caller[1],
        socket.inet_aton(service[0]),
        service[1],
    )
    return flow_hash(key)
