"""The TCP stream endpoint of a backend server stand-in: echoes what it receives."""

from __future__ import annotations

import asyncio

from redwingswitch._internal.network.splice import reset_connection

CHUNK_BYTES = 65_536


class StreamEndpoint:
    """Sends the server's name as the first line, then echoes bytes until the end of input."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.accepted = 0

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._writers)

    async def listen(self, *, address: str, port: int = 0) -> None:
        """Listen on ``port``, or on an ephemeral one."""
        self._server = await asyncio.start_server(self._serve, address, port)

    def close(self) -> None:
        """Reset every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self._writers.add(writer)
        try:
            writer.write(f"{self._name}\n".encode())
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        except OSError:
            reset_connection(writer)
        finally:
            self._writers.discard(writer)
            writer.close()
