"""Guards against suspecting a server for a lost packet, and against missing a silent server."""

import random
from typing import NamedTuple

import pytest

from redwingswitch._internal.decisions.cookies.failure_detector import (
    FIRST_PROBE_DELAY_MS,
    MAX_PROBE_DELAY_MS,
    RECENT_ANSWER_MS,
    STALL_WINDOW_MS,
    PassiveFailureDetector,
)
from redwingswitch._internal.models.cookie_flows import Suspicion
from tests.lib.cookie_flows import FAR_DOMAIN, flow_id, server


class Stall(NamedTuple):
    """A stall of a flow at a server; ``retransmissions`` is 0 for an unanswered opening packet."""

    server_id: str
    port: int
    at_ms: int
    is_confirmed: bool = True
    retransmissions: int = 0


class Answer(NamedTuple):
    """An answer from a server, which ends the suspicion of that server."""

    server_id: str
    at_ms: int


def detector_after(*steps: Stall | Answer) -> PassiveFailureDetector:
    detector = PassiveFailureDetector(random_source=random.Random(1))
    for step in steps:
        of = server(step.server_id, failure_domain=FAR_DOMAIN)
        if isinstance(step, Answer):
            detector.on_answer(of, step.at_ms)
        elif step.retransmissions:
            detector.on_retransmission(of, flow_id(step.port), step.retransmissions, step.at_ms)
        else:
            detector.on_opening_unanswered(
                of, flow_id(step.port), step.at_ms, is_confirmed=step.is_confirmed
            )
    return detector


ONE_AFTER_ANOTHER = [Stall("i-1", port, 100 * port) for port in range(1, 4)]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([Stall("i-1", 1, 0)], Suspicion.NONE, id="one lost opening packet"),
        pytest.param([Stall("i-1", 1, 0)] * 3, Suspicion.NONE, id="one flow, counted once"),
        pytest.param(ONE_AFTER_ANOTHER[:2], Suspicion.SUSPECTED, id="two flows"),
        pytest.param(ONE_AFTER_ANOTHER, Suspicion.CONDEMNED, id="three flows"),
        pytest.param(
            [stall._replace(is_confirmed=False) for stall in ONE_AFTER_ANOTHER],
            Suspicion.SUSPECTED,
            id="unconfirmed stalls never condemn",
        ),
        pytest.param(
            [Stall("i-1", 1, 0), Stall("i-1", 2, STALL_WINDOW_MS + 1)],
            Suspicion.NONE,
            id="two losses far apart",
        ),
        pytest.param(
            [Stall("i-1", 1, 0), Answer("i-1", 50), Stall("i-1", 2, 200)],
            Suspicion.NONE,
            id="an answer in between",
        ),
        pytest.param(
            [
                Answer("i-1", 100),
                Stall("i-1", 1, 99 + RECENT_ANSWER_MS),
                Stall("i-1", 2, 99 + RECENT_ANSWER_MS),
            ],
            Suspicion.NONE,
            id="packets sent before the latest answer",
        ),
        pytest.param(
            [*ONE_AFTER_ANOTHER, Answer("i-1", 400)], Suspicion.NONE, id="cleared by one answer"
        ),
        pytest.param(
            [Stall("i-1", 1, 0, retransmissions=1), Stall("i-1", 2, 1, retransmissions=1)],
            Suspicion.NONE,
            id="one retransmission of long requests",
        ),
        pytest.param(
            [Stall("i-1", 1, 0, retransmissions=2), Stall("i-1", 2, 1, retransmissions=2)],
            Suspicion.SUSPECTED,
            id="two retransmissions on two flows",
        ),
        pytest.param(
            [Stall("i-2", 1, 0), Stall("i-3", 2, 1)],
            Suspicion.SUSPECTED,
            id="two other servers of its failure domain",
        ),
        pytest.param(
            [Stall("i-2", 1, 0), Stall("i-3", 2, 1), Stall("i-3", 3, 2)],
            Suspicion.CONDEMNED,
            id="three flows at two other servers of its failure domain",
        ),
        pytest.param(
            [Stall("i-2", 1, 0), Stall("i-3", 2, 1), Answer("i-4", 100)],
            Suspicion.NONE,
            id="one server of the failure domain answers",
        ),
    ],
)
def test_suspicion(steps: list[Stall | Answer], expected: Suspicion) -> None:
    detector = detector_after(*steps)
    assert detector.suspicion(server("i-1", failure_domain=FAR_DOMAIN)) is expected


def test_a_suspected_server_gets_rare_probes_until_it_answers() -> None:
    suspected = server("i-1", failure_domain=FAR_DOMAIN)
    detector = detector_after(*ONE_AFTER_ANOTHER)
    now_ms = 300
    assert not detector.is_probe_due(suspected, now_ms)
    pauses_ms = []
    for _ in range(8):
        began_ms = now_ms
        while not detector.is_probe_due(suspected, now_ms):
            now_ms += 10
        detector.on_probe(suspected, now_ms)
        pauses_ms.append(now_ms - began_ms)
    assert FIRST_PROBE_DELAY_MS / 2 - 200 <= pauses_ms[0] <= FIRST_PROBE_DELAY_MS + 10
    assert max(pauses_ms) <= MAX_PROBE_DELAY_MS + 10
    assert pauses_ms[-1] >= MAX_PROBE_DELAY_MS / 2
    detector.on_answer(suspected, now_ms)
    assert detector.is_probe_due(suspected, now_ms)


def test_answered_since_compares_with_the_latest_answer() -> None:
    detector = detector_after(Answer("i-1", 500))
    assert detector.answered_since(server("i-1"), 500)
    assert not detector.answered_since(server("i-1"), 501)
    assert not detector.answered_since(server("i-2"), 0)


def test_stalls_of_evicted_servers_are_dropped() -> None:
    detector = detector_after(*ONE_AFTER_ANOTHER)
    detector.retain({"i-1"})
    assert detector.is_suspected(server("i-1", failure_domain=FAR_DOMAIN))
    detector.retain(set())
    assert not detector.is_suspected(server("i-1", failure_domain=FAR_DOMAIN))
