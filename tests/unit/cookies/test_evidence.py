"""Guards against taking a lost packet for a silent server, and a silent server for a live one."""

import random
from typing import NamedTuple

import pytest

from redwingswitch._internal.decisions.cookies.evidence import (
    ALIVE_MS,
    FIRST_TRIAL_MS,
    LAST_TRIAL_MS,
    STALL_MEMORY_MS,
    PathEvidence,
)
from redwingswitch._internal.models.cookie_flows import Suspicion
from tests.lib.cookie_flows import FAR, flow_id, server


class Stall(NamedTuple):
    """A stall of a flow at a server, at a time; ``repeats`` 0 stands for an opening."""

    server_id: str
    port: int
    at_ms: int
    is_confirmed: bool = True
    repeats: int = 0


class Answer(NamedTuple):
    """An answer of a server, at a time."""

    server_id: str
    at_ms: int


def evidence_after(*steps: Stall | Answer) -> PathEvidence:
    evidence = PathEvidence(random_source=random.Random(1))
    for step in steps:
        of = server(step.server_id, failure_domain=FAR)
        if isinstance(step, Answer):
            evidence.on_answer(of, step.at_ms)
        elif step.repeats:
            evidence.on_repeated_data(of, flow_id(step.port), step.repeats, step.at_ms)
        else:
            evidence.on_opening_unanswered(
                of, flow_id(step.port), step.at_ms, is_confirmed=step.is_confirmed
            )
    return evidence


ONE_AFTER_ANOTHER = [Stall("i-1", port, 100 * port) for port in range(1, 4)]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([Stall("i-1", 1, 0)], Suspicion.NONE, id="one lost opening"),
        pytest.param([Stall("i-1", 1, 0)] * 3, Suspicion.NONE, id="one flow, counted once"),
        pytest.param(ONE_AFTER_ANOTHER[:2], Suspicion.SUSPECTED, id="two flows"),
        pytest.param(ONE_AFTER_ANOTHER, Suspicion.CONDEMNED, id="three flows"),
        pytest.param(
            [stall._replace(is_confirmed=False) for stall in ONE_AFTER_ANOTHER],
            Suspicion.SUSPECTED,
            id="openings that no server answered never condemn",
        ),
        pytest.param(
            [Stall("i-1", 1, 0), Stall("i-1", 2, STALL_MEMORY_MS + 1)],
            Suspicion.NONE,
            id="two losses far apart",
        ),
        pytest.param(
            [Stall("i-1", 1, 0), Answer("i-1", 50), Stall("i-1", 2, 200)],
            Suspicion.NONE,
            id="an answer in between",
        ),
        pytest.param(
            [Answer("i-1", 100), Stall("i-1", 1, 99 + ALIVE_MS), Stall("i-1", 2, 99 + ALIVE_MS)],
            Suspicion.NONE,
            id="packets sent before the latest answer",
        ),
        pytest.param(
            [*ONE_AFTER_ANOTHER, Answer("i-1", 400)], Suspicion.NONE, id="cleared by one answer"
        ),
        pytest.param(
            [Stall("i-1", 1, 0, repeats=1), Stall("i-1", 2, 1, repeats=1)],
            Suspicion.NONE,
            id="long work is sent twice",
        ),
        pytest.param(
            [Stall("i-1", 1, 0, repeats=2), Stall("i-1", 2, 1, repeats=2)],
            Suspicion.SUSPECTED,
            id="data sent three times on two flows",
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
    evidence = evidence_after(*steps)
    assert evidence.suspicion(server("i-1", failure_domain=FAR)) is expected


def test_a_suspected_server_gets_rare_trials_until_it_answers() -> None:
    suspected = server("i-1", failure_domain=FAR)
    evidence = evidence_after(*ONE_AFTER_ANOTHER)
    now_ms = 300
    assert not evidence.is_due_for_trial(suspected, now_ms)
    pauses_ms = []
    for _ in range(8):
        began_ms = now_ms
        while not evidence.is_due_for_trial(suspected, now_ms):
            now_ms += 10
        evidence.on_trial(suspected, now_ms)
        pauses_ms.append(now_ms - began_ms)
    assert FIRST_TRIAL_MS / 2 - 200 <= pauses_ms[0] <= FIRST_TRIAL_MS + 10
    assert max(pauses_ms) <= LAST_TRIAL_MS + 10
    assert pauses_ms[-1] >= LAST_TRIAL_MS / 2
    evidence.on_answer(suspected, now_ms)
    assert evidence.is_due_for_trial(suspected, now_ms)


def test_the_latest_answer_tells_whether_a_missing_server_lives() -> None:
    evidence = evidence_after(Answer("i-1", 500))
    assert evidence.answered_since(server("i-1"), 500)
    assert not evidence.answered_since(server("i-1"), 501)
    assert not evidence.answered_since(server("i-2"), 0)


def test_evidence_about_forgotten_servers_goes() -> None:
    evidence = evidence_after(*ONE_AFTER_ANOTHER)
    evidence.keep({"i-1"})
    assert evidence.is_suspected(server("i-1", failure_domain=FAR))
    evidence.keep(set())
    assert not evidence.is_suspected(server("i-1", failure_domain=FAR))
