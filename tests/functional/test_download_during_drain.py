"""Guards against a drain that cuts off an established download or corrupts its content."""

import asyncio
from hashlib import sha256

import pytest

from redwingswitch._internal.standins.backend_files import (
    SERVER_HEADER,
    FileEndpoint,
    file_chunks,
)
from redwingswitch._internal.standins.demo_fleet import JOB_BOARD
from tests.functional.test_entry_daemon import RunningFleet
from tests.lib.loops import run, wait_until

FILE_BYTES = 8_000_000
HEAD_BYTES = 100_000
# The servers pause here until the drain has begun. Without the pause, the socket buffers could take
# the whole file before.
PAUSE_AT_BYTES = 200_000
STREAM_LIMIT_BYTES = 4_096


async def serve_files(bench):
    """Let the job board's backend servers serve files, and wait until their ports are in force."""
    for name, server in bench.fleet.servers.items():
        if server.service == JOB_BOARD.name:
            server.streams.close()
            server.streams = FileEndpoint(
                name=name, size_bytes=FILE_BYTES, pause_at_bytes=PAUSE_AT_BYTES
            )
            await server.streams.listen(address=server.address)
    await bench.wait_in_force(await bench.fleet.apply())


async def open_download(bench, daemon):
    await wait_until(lambda: JOB_BOARD.name in daemon.listening_services)
    port = bench.fleet.listen_ports[JOB_BOARD.name]
    reader, writer = await asyncio.open_connection(
        daemon.parameters.address, port, limit=STREAM_LIMIT_BYTES
    )
    writer.write(b"GET /file HTTP/1.1\r\nHost: job-board\r\nConnection: close\r\n\r\n")
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    return reader, writer, headers[SERVER_HEADER]


async def wait_for_another_server(bench, daemon, server):
    """Open downloads until the change is activated and they go to another server."""
    chosen = server
    while chosen == server:
        _, writer, chosen = await open_download(bench, daemon)
        writer.close()


async def read_to_end(reader, writer, digest, remaining_bytes):
    while remaining_bytes:
        chunk = await reader.read(min(remaining_bytes, STREAM_LIMIT_BYTES))
        assert chunk, f"cut off {remaining_bytes} bytes before the end"
        digest.update(chunk)
        remaining_bytes -= len(chunk)
    writer.close()


@pytest.mark.parametrize("state", ["draining", "leaving"])
def test_a_download_goes_on_while_its_server_leaves(state):
    async def scenario():
        async with RunningFleet() as bench:
            await serve_files(bench)
            daemon = bench.fleet.daemons["entry-1"]
            reader, writer, server = await open_download(bench, daemon)
            digest = sha256(await reader.readexactly(HEAD_BYTES))
            bench.fleet._server_states[server] = state
            await bench.wait_in_force(await bench.fleet.apply())
            files = bench.fleet.servers[server].streams
            assert files.open_connections == 1
            await wait_for_another_server(bench, daemon, server)
            files.released.set()
            await read_to_end(reader, writer, digest, FILE_BYTES - HEAD_BYTES)
            assert digest.digest() == sha256(b"".join(file_chunks(FILE_BYTES))).digest()

    run(scenario())
