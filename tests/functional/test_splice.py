"""Guards against spliced connections that lose bytes, half-closes or resets."""

import asyncio

import pytest

from redwingswitch._internal.models.configuration import BackendServer, ServerState
from redwingswitch._internal.network.splice import SpliceListener, copy_stream, reset_connection
from redwingswitch._internal.standins.backend_streams import StreamEndpoint
from tests.lib.loops import Recorder, run, wait_until

SERVER = BackendServer(
    "job-1", "job-board", "hobart", "127.0.0.1", 0, 0, 0, 0, 2, 10, ServerState.ACTIVE
)


class SpliceHarness:
    """A stream server stand-in behind a listener."""

    async def open(self, *, choices=("up",)):
        self.backend = StreamEndpoint(name="job-1")
        await self.backend.listen(address="127.0.0.1")
        ports = {"up": self.backend.port, "down": 1}
        servers = iter([SERVER._replace(stream_port=ports[c]) if c else None for c in choices])
        self.failures = Recorder()
        self.counts = Recorder()
        self.listener = SpliceListener(
            service="job-board",
            choose_server=lambda service, _: next(servers),
            on_connect_failed=self.failures,
            on_connections_changed=lambda: self.counts(self.listener.open_connections),
        )
        await self.listener.listen(address="127.0.0.1", port=0)
        return self

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.listener.port)

    async def close(self):
        await self.listener.close()
        self.backend.close()


def test_bytes_pass_both_ways_and_a_half_close_is_passed_on():
    async def body():
        harness = await SpliceHarness().open()
        reader, writer = await harness.connect()
        sent = bytes(range(256)) * 20_000
        writer.write(sent)
        writer.write_eof()
        # The stand-in ends its answer only after it has seen the end of input.
        assert await reader.read() == b"job-1\n" + sent
        writer.close()
        await wait_until(lambda: harness.listener.open_connections == 0)
        await harness.close()

    run(body())


@pytest.mark.parametrize(
    ("choices", "connected", "failures"),
    [(("down", "up"), True, 1), (("down", "down"), False, 2), ((None,), False, 0)],
    ids=["second choice", "no server up", "no server"],
)
def test_a_failed_connect_is_reported_and_another_choice_is_tried(choices, connected, failures):
    async def body():
        harness = await SpliceHarness().open(choices=choices)
        reader, writer = await harness.connect()
        if connected:
            assert await reader.readline() == b"job-1\n"
        else:
            with pytest.raises(ConnectionResetError):
                await reader.read()
        for _ in range(failures):
            assert await harness.failures.next() == "job-1"
        assert harness.failures.empty
        writer.close()
        await harness.close()

    run(body())


def test_open_connections_continue_after_the_listener_stops():
    async def body():
        harness = await SpliceHarness().open()
        reader, writer = await harness.connect()
        assert await reader.readline() == b"job-1\n"
        assert await harness.counts.next() == 1
        port = harness.listener.port
        harness.listener.stop_listening()
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"still open")
        writer.write_eof()
        assert await reader.read() == b"still open"
        writer.close()
        assert await harness.counts.next() == 0
        await harness.close()

    run(body())


@pytest.mark.parametrize("side", ["caller", "backend server"])
def test_a_reset_of_one_side_ends_the_other(side):
    async def body():
        harness = await SpliceHarness().open()
        reader, writer = await harness.connect()
        await reader.readline()
        if side == "caller":
            reset_connection(writer)
            await wait_until(lambda: harness.backend.open_connections == 0)
        else:
            harness.backend.close()
            with pytest.raises(ConnectionResetError):
                await reader.read()
        await wait_until(lambda: harness.listener.open_connections == 0)
        await harness.close()

    run(body())


def test_a_forced_close_is_no_normal_end_for_either_side():
    # At the end of the grace period the backend server saw a normal end of input, so that half an
    # upload looked complete.
    async def body():
        ends = asyncio.Queue()

        async def receive(reader, writer):
            await reader.readexactly(4)
            ends.put_nowait("started")
            try:
                ends.put_nowait(await reader.read())
            except ConnectionResetError:
                ends.put_nowait("reset")
            writer.close()

        server = await asyncio.start_server(receive, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        listener = SpliceListener(
            service="job-board",
            choose_server=lambda *_: SERVER._replace(stream_port=port),
            on_connect_failed=Recorder(),
            on_connections_changed=lambda: None,
        )
        await listener.listen(address="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        writer.write(b"half")
        assert await ends.get() == "started"
        await listener.close()
        assert await ends.get() == "reset"
        with pytest.raises(ConnectionResetError):
            await reader.read()
        server.close()

    run(body())


def test_input_is_read_no_faster_than_it_is_written():
    class Reader:
        reads = 0

        async def read(self, _):
            self.reads += 1
            return b"chunk" if self.reads <= 3 else b""

    class Writer:
        def __init__(self):
            self.draining, self.drained = Recorder(), asyncio.Semaphore(0)

        def write(self, chunk):
            assert chunk == b"chunk"

        async def drain(self):
            self.draining(None)
            await self.drained.acquire()

        def write_eof(self):
            self.draining("end")

    async def body():
        reader, writer = Reader(), Writer()
        copying = asyncio.ensure_future(copy_stream(reader, writer))
        for chunks_read in (1, 2, 3):
            await writer.draining.next()
            assert reader.reads == chunks_read
            writer.drained.release()
        assert await writer.draining.next() == "end"
        await copying

    run(body())
