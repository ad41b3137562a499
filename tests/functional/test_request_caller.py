"""Guards against a caller stand-in that accepts parts of different answers as a complete one."""

import pytest

from redwingswitch._internal.models.requests import AnswerHeader, Outcome
from redwingswitch._internal.network.caller_codec import (
    AnswerDatagram,
    RequestDatagram,
    decode_datagram,
    encode_datagram,
)
from redwingswitch._internal.network.datagrams import DatagramEndpoint
from redwingswitch._internal.standins.fabric import Fabric, FabricHost
from redwingswitch._internal.standins.request_caller import RequestCaller
from redwingswitch._internal.standins.work import Work, answer_part
from tests.lib.loops import run

WORK = Work(service_ms=0, parts=2, part_bytes=100)


def part(number, *, run=1, parts=2, content=None):
    return (Outcome.ANSWERED, number, parts, run, content)


NOT_RUN = (Outcome.NOT_RUN, 0, 1, 0, b"")


class FixedRandomSource:
    """A random source for a fabric without impairments."""

    def random(self):
        return 0.5

    def randrange(self, stop):
        return 0

    def getrandbits(self, bits):
        return 7


@pytest.mark.parametrize(
    ("answers", "outcome", "complete"),
    [
        ([part(0), part(1)], Outcome.ANSWERED, True),
        ([part(1), part(0)], Outcome.ANSWERED, True),
        ([part(0), part(0), part(1), part(1)], Outcome.ANSWERED, True),
        ([part(0, run=1), part(1, run=2), part(1, run=1)], Outcome.ANSWERED, True),
        ([part(0, run=1), part(1, run=2)], None, False),
        ([part(0)], None, False),
        ([], None, False),
        ([part(0), part(0, content=b"other"), part(1)], Outcome.ANSWERED, False),
        ([part(0), part(1, content=b"other")], Outcome.ANSWERED, False),
        ([NOT_RUN], Outcome.NOT_RUN, False),
        ([part(0), NOT_RUN], Outcome.NOT_RUN, False),
    ],
    ids=[
        "in order",
        "reordered",
        "duplicated",
        "two runs, one complete",
        "parts of two runs",
        "part missing",
        "no answer",
        "conflicting contents of a part",
        "wrong content",
        "not run",
        "not run after a part",
    ],
)
def test_only_the_parts_of_one_run_make_an_answer(answers, outcome, complete):
    async def scenario():
        def answer(data, address):
            request = decode_datagram(data)
            assert isinstance(request, RequestDatagram)
            request_id = request.header.request_id
            for result, number, parts, run_number, content in answers:
                expected = answer_part(
                    request_id=request_id, part=number, part_bytes=WORK.part_bytes
                )
                header = AnswerHeader(request_id, result, number, parts, answer_id=run_number)
                part_body = expected if content is None else content
                host.send(encode_datagram(AnswerDatagram(header, part_body)), address)

        host = DatagramEndpoint(address="127.0.0.1", port=0, on_datagram=answer)
        fabric = Fabric(random_source=FixedRandomSource())
        fabric.update_hosts([FabricHost("entry-1", "127.0.0.1", 0, host.port)])
        caller = RequestCaller(
            address="127.0.0.1",
            fabric=fabric,
            random_source=FixedRandomSource(),
            resend_interval_ms=5_000,
            wait_after_deadline_ms=0,
        )
        # A call ends with its answer; only the cases without one wait for the timeout.
        timeout_ms = 200 if outcome is None else 20_000
        result = await caller.call(
            service="job-board", work=WORK, idempotent=True, timeout_ms=timeout_ms
        )
        assert (result.outcome, result.complete) == (outcome, complete)
        caller.close()
        host.close()

    run(scenario())
