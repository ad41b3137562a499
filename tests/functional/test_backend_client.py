"""Guards against failures of backend servers that are reported as the wrong kind.

REFUSED and SHED may be reported only for a request that certainly did not start: its caller is then
told "not run".
"""

import asyncio

import pytest
from tornado.netutil import bind_sockets

from redwingswitch._internal.models.actions import DispatchRequest
from redwingswitch._internal.models.configuration import BackendServer, ServerState
from redwingswitch._internal.models.events import AnswerPartArrived, AttemptFailed
from redwingswitch._internal.models.requests import BackendReport, FailureKind
from redwingswitch._internal.network.backend_client import BackendClient
from redwingswitch._internal.network.frames import (
    LENGTH_BYTES,
    AnswerFrame,
    decode_content,
    decode_length,
    encode_frame,
)
from redwingswitch._internal.network.report_client import LoadReport, ReportClient
from redwingswitch._internal.standins.backend_requests import Behaviour
from redwingswitch._internal.standins.backend_server import (
    DEFAULT_BEHAVIOUR,
    NO_REPORT_FAULTS,
    BackendServerStandin,
    ReportFaults,
)
from redwingswitch._internal.standins.work import Work, complete_answer, encode_work
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import Recorder, run, wait_until

REQUEST_ID = bytes(range(16))
CLOCK = MonotonicClock()
LONG_TIMEOUT_MS = 25_000
SHORT_WORK = Work(service_ms=0)


class ClientHarness:
    """A backend server stand-in and a client that knows it."""

    async def open(self, behaviour=DEFAULT_BEHAVIOUR, report_faults=NO_REPORT_FAULTS):
        self.standin = BackendServerStandin(
            name="job-1",
            service="job-board",
            address="127.0.0.1",
            destination=(b"\x0a\x01\x00\x01", 443),
            clock=CLOCK,
            behaviour=behaviour,
            report_faults=report_faults,
        )
        await self.standin.start()
        self.events = Recorder()
        self.client = BackendClient(clock=CLOCK, on_event=self.events)
        self.server = BackendServer(
            "job-1",
            "job-board",
            "hobart",
            "127.0.0.1",
            *self.standin.ports,
            slots=2,
            connection_limit=10,
            state=ServerState.ACTIVE,
        )
        self.client.update_servers({"job-1": self.server})
        return self

    def dispatch(self, attempt_id, *, work=SHORT_WORK, timeout_ms=LONG_TIMEOUT_MS, **fields):
        self.client.dispatch(
            DispatchRequest(
                service=fields.get("service", "job-board"),
                backend_server=fields.get("backend_server", "job-1"),
                attempt_id=attempt_id,
                request_id=REQUEST_ID,
                body=encode_work(work),
                deadline_ms=CLOCK.now_ms() + timeout_ms,
            )
        )

    def close(self):
        self.client.close()
        self.standin.close()


@pytest.mark.parametrize("reverse_parts", [False, True])
def test_answer_parts_arrive_and_end_the_attempt(reverse_parts):
    async def body():
        harness = await ClientHarness().open(Behaviour(reverse_parts=reverse_parts))
        work = Work(service_ms=0, parts=3, part_bytes=500)
        harness.dispatch(1, work=work)
        parts = [await harness.events.next() for _ in range(3)]
        assert all(isinstance(part, AnswerPartArrived) and part.parts == 3 for part in parts)
        ordered = sorted(parts, key=lambda part: part.part)
        content = b"".join(part.body for part in ordered)
        assert content == complete_answer(request_id=REQUEST_ID, work=work)
        assert (parts == ordered) is not reverse_parts
        assert harness.client.attempts_in_progress() == 0
        harness.close()

    run(body())


@pytest.mark.parametrize(
    ("behaviour", "timeout_ms", "fields", "kind", "runs"),
    [
        (Behaviour(slots=0), LONG_TIMEOUT_MS, {}, FailureKind.SHED, 0),
        (Behaviour(refuse=True), LONG_TIMEOUT_MS, {}, FailureKind.REFUSED, 0),
        (Behaviour(), LONG_TIMEOUT_MS, {"service": "photos"}, FailureKind.REFUSED, 0),
        (Behaviour(), LONG_TIMEOUT_MS, {"backend_server": "unknown"}, FailureKind.REFUSED, 0),
        (Behaviour(), 0, {}, FailureKind.REFUSED, 0),
        (Behaviour(reset=True), LONG_TIMEOUT_MS, {}, FailureKind.RESET, 0),
        (Behaviour(hang=True), 200, {}, FailureKind.TIMEOUT, 1),
    ],
    ids=["shed", "refused", "other service", "unknown", "past deadline", "reset", "hang"],
)
def test_each_failure_has_its_kind(behaviour, timeout_ms, fields, kind, runs):
    async def body():
        harness = await ClientHarness().open(behaviour)
        harness.dispatch(1, timeout_ms=timeout_ms, **fields)
        server = fields.get("backend_server", "job-1")
        assert await harness.events.next() == AttemptFailed(server, 1, kind)
        assert harness.standin.requests.runs.total() == runs
        assert harness.client.attempts_in_progress() == 0
        harness.close()

    run(body())


def test_a_second_copy_of_an_answer_does_not_reach_the_next_request():
    # Both requests use one connection; the copy arrives while the second one waits.
    async def body():
        frames = asyncio.Queue()

        async def serve(reader, writer):
            for number in range(2):
                length_bytes = decode_length(await reader.readexactly(LENGTH_BYTES))
                frame = decode_content(await reader.readexactly(length_bytes))
                frames.put_nowait(frame)
                if number:
                    writer.write(encode_frame(AnswerFrame(1, 0, 1, b"first")))
                writer.write(encode_frame(AnswerFrame(frame.attempt_id, 0, 1, b"%d" % number)))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        harness = await ClientHarness().open()
        port = server.sockets[0].getsockname()[1]
        harness.client.update_servers({"job-1": harness.server._replace(request_port=port)})
        for attempt_id, expected in ((1, b"0"), (2, b"1")):
            harness.dispatch(attempt_id)
            assert await harness.events.next() == AnswerPartArrived(
                "job-1", attempt_id, 0, 1, expected
            )
        assert frames.qsize() == 2
        harness.close()
        server.close()

    run(body())


def test_a_refused_connection_fails_every_waiting_attempt_as_refused():
    async def body():
        harness = await ClientHarness().open()
        closed = bind_sockets(0, "127.0.0.1")
        port = closed[0].getsockname()[1]
        closed[0].close()
        harness.client.update_servers({"job-1": harness.server._replace(request_port=port)})
        harness.dispatch(1)
        harness.dispatch(2)
        failures = [await harness.events.next() for _ in range(2)]
        assert failures == [AttemptFailed("job-1", n, FailureKind.REFUSED) for n in (1, 2)]
        harness.close()

    run(body())


def test_a_lost_connection_is_a_reset_and_the_next_attempt_connects_again():
    async def body():
        harness = await ClientHarness().open(Behaviour(hang=True))
        harness.dispatch(1)
        await wait_until(lambda: harness.standin.requests.busy_slots == 1)
        for stream in list(harness.standin.requests._streams):
            stream.close()
        assert await harness.events.next() == AttemptFailed("job-1", 1, FailureKind.RESET)
        harness.standin.requests.behaviour = Behaviour()
        harness.dispatch(2)
        assert isinstance(await harness.events.next(), AnswerPartArrived)
        harness.close()

    run(body())


def test_a_cancelled_attempt_stops_its_run_and_gives_no_event():
    async def body():
        harness = await ClientHarness().open(Behaviour(hang=True))
        harness.dispatch(1)
        await wait_until(lambda: harness.standin.requests.busy_slots == 1)
        harness.client.cancel(backend_server="job-1", attempt_id=1)
        await wait_until(lambda: harness.standin.requests.busy_slots == 0)
        assert harness.standin.requests.cancelled == 1
        harness.standin.requests.behaviour = Behaviour(slots=0)
        harness.dispatch(2)
        # The first event belongs to the second attempt.
        assert await harness.events.next() == AttemptFailed("job-1", 2, FailureKind.SHED)
        harness.close()

    run(body())


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (ReportFaults(), BackendReport("job-1", 0, 0, False, True)),
        (
            ReportFaults(fixed_report=LoadReport(9, 9, healthy=False)),
            BackendReport("job-1", 9, 9, False, False),
        ),
    ],
    ids=["true", "false"],
)
def test_a_load_report_is_read(faults, expected):
    async def body():
        harness = await ClientHarness().open(report_faults=faults)
        reports = ReportClient()
        reports.update_servers({"job-1": harness.server})
        assert await reports.read("job-1") == expected
        assert await reports.read("unknown") is None
        reports.update_servers(
            {"job-1": harness.server._replace(report_port=harness.server.stream_port)}
        )
        assert await reports.read("job-1") is None
        reports.close()
        harness.close()

    run(body())
