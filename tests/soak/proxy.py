"""A TCP proxy between one host and the store that injects link faults."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536
DELAY_S = 0.25


class LinkFault(StrEnum):
    """What happens to the bytes of a host's connections to the store."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    # Requests are delivered, responses are lost.
    ONE_WAY = "one_way"
    SILENT = "silent"


class StoreProxy:
    """Forward connections; ``fault`` applies to open and to new connections."""

    def __init__(self, *, address: str, target: tuple[str, int]) -> None:
        self._address = address
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.fault = LinkFault.NONE
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Change the fault; a reset ends all open connections."""
        # A connection that has lost bytes stays silent; only new connections work again.
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        self.fault = fault

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._proxy_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _proxy_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            raise ConnectionResetError("reset by the soak")
        store_reader, store_writer = await asyncio.open_connection(*self._target)
        self._writers.add(store_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, store_writer, is_response=False))
                group.create_task(self._copy(store_reader, writer, is_response=True))
        except* OSError:
            pass
        finally:
            self._writers.discard(store_writer)
            store_writer.transport.abort()
            writer.transport.abort()

    async def _copy(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        is_silenced = False
        while chunk := await source.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(DELAY_S)
            lost = self.fault is LinkFault.SILENT or (
                self.fault is LinkFault.ONE_WAY and is_response
            )
            # A connection that has lost bytes stays silent, as after a network partition.
            is_silenced = is_silenced or lost
            if not is_silenced:
                target.write(chunk)
                await target.drain()
        with contextlib.suppress(OSError):
            target.write_eof()
