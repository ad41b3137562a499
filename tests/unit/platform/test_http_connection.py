"""Guards against responses that reach another call, or that seem complete when cut off."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from redwingswitch._internal.exceptions import StoreUnavailableError
from redwingswitch._internal.platform.http_connection import HttpConnection, Response
from tests.lib.loops import run, wait_until

LOOPBACK = "127.0.0.1"
TIMEOUT_MS = 10_000
OK = 200


def encoded(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class ScriptedServer:
    """Writes the next scripted piece of each list when a request arrives; counts connections."""

    def __init__(self, *responses: bytes, ends: bool = False) -> None:
        self.responses = list(responses)
        self.ends = ends
        self.connections: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.responses.pop(0))
                await writer.drain()
                if self.ends:
                    break
        writer.close()


def with_connection(
    server: ScriptedServer, scenario: Callable[[HttpConnection], Awaitable[None]]
) -> None:
    async def serve_and_call() -> None:
        listening = await asyncio.start_server(server.serve, LOOPBACK, 0)
        port = listening.sockets[0].getsockname()[1]
        connection = HttpConnection(address=LOOPBACK, port=port)
        try:
            await scenario(connection)
        finally:
            connection.close()
            listening.close()
            for writer in server.connections:
                writer.close()
                with suppress(ConnectionError):
                    await writer.wait_closed()

    run(serve_and_call())


async def get(connection: HttpConnection) -> Response:
    return await connection.call("GET", "/", body=b"", timeout_ms=TIMEOUT_MS)


@pytest.mark.parametrize("is_late", [False, True], ids=["with the first copy", "later"])
def test_a_second_copy_of_a_response_is_not_the_response_to_the_next_call(is_late: bool) -> None:
    first, second = encoded(b"first"), encoded(b"second")
    server = ScriptedServer(first if is_late else first + first, second)

    async def scenario(connection: HttpConnection) -> None:
        assert (await get(connection)).body == b"first"
        if is_late:
            server.connections[0].write(first)
            stream = connection.stream_socket()
            await wait_until(lambda: is_readable(stream))
        assert (await get(connection)).body == b"second"

    with_connection(server, scenario)
    assert len(server.connections) == 2


def is_readable(stream: socket.socket) -> bool:
    return bool(select.select([stream], [], [], 0)[0])


def test_a_connection_without_stray_data_is_kept() -> None:
    server = ScriptedServer(encoded(b"first"), encoded(b"second"))

    async def scenario(connection: HttpConnection) -> None:
        assert [(await get(connection)).body for _ in range(2)] == [b"first", b"second"]

    with_connection(server, scenario)
    assert len(server.connections) == 1


@pytest.mark.parametrize(
    "cut",
    [
        pytest.param(encoded(b"0123456789")[:-4], id="in the body"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Le", id="in the headers"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n",
            id="between two chunks",
        ),
    ],
)
def test_a_response_that_breaks_off_is_an_error(cut: bytes) -> None:
    async def scenario(connection: HttpConnection) -> None:
        with pytest.raises(StoreUnavailableError):
            await get(connection)

    with_connection(ScriptedServer(cut, ends=True), scenario)
