"""The stream endpoint of a backend server stand-in that serves one file over HTTP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

CHUNK_BYTES = 65_536
MAX_FILE_BYTES = 1_000_000_000
SERVER_HEADER = "X-Backend-Server"


def file_chunks(size_bytes: int) -> Iterator[bytes]:
    """Yield the chunks of a file that is the same on all servers; no two chunks are equal."""
    for offset in range(0, size_bytes, CHUNK_BYTES):
        chunk = random.Random(offset).randbytes(CHUNK_BYTES)
        yield chunk[: size_bytes - offset]


class FileHandler(RequestHandler):
    """Answers ``GET`` of any path with the file, as fast as the client reads it."""

    def initialize(self, *, endpoint: FileEndpoint) -> None:
        """Store the endpoint, which counts the downloads."""
        self._endpoint = endpoint

    async def get(self) -> None:
        """Write the file."""
        endpoint = self._endpoint
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(endpoint.size_bytes))
        self.set_header(SERVER_HEADER, endpoint.name)
        endpoint.accepted += 1
        endpoint.open_connections += 1
        try:
            sent_bytes = 0
            for chunk in file_chunks(endpoint.size_bytes):
                if sent_bytes >= endpoint.pause_at_bytes:
                    await endpoint.released.wait()
                self.write(chunk)
                await self.flush()
                sent_bytes += len(chunk)
        except StreamClosedError:
            return
        finally:
            endpoint.open_connections -= 1


class FileEndpoint:
    """Serves one file of ``size_bytes``; ``open_connections`` counts downloads in progress.

    With ``pause_at_bytes``, each download pauses there until ``released`` is set, so that it is
    certainly in progress. Otherwise socket buffers on the way could hold the whole file.
    """

    def __init__(self, *, name: str, size_bytes: int, pause_at_bytes: int | None = None) -> None:
        if not 0 < size_bytes <= MAX_FILE_BYTES:
            raise ValueError(f"the file needs 1 to {MAX_FILE_BYTES} bytes")
        self.name = name
        self.size_bytes = size_bytes
        self.pause_at_bytes = size_bytes if pause_at_bytes is None else pause_at_bytes
        self.released = asyncio.Event()
        self.accepted = 0
        self.open_connections = 0
        self.port = 0
        application = Application(
            [(r"/.*", FileHandler, {"endpoint": self})], log_function=lambda _: None
        )
        self._server = HTTPServer(application)

    async def listen(self, *, address: str, port: int = 0) -> None:
        """Listen on ``port``, or on an ephemeral one."""
        sockets = bind_sockets(port, address)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.stop()
