"""Guards against suspecting a server for a lost packet, and against missing a silent server."""

import random
from typing import NamedTuple

import pytest

from redwingswitch._internal.decisions.cookies.failure_detector import (
    FIRST_PROBE_DELAY_MS,
    MAX_PROBE_DELAY_MS,
    PassiveFailureDetector,
)
from redwingswitch._internal.decisions.cookies.stall_tracker import (
    MAX_STALLS,
    RECENT_ANSWER_MS,
    STALL_WINDOW_MS,
    SUSPICION_LIFETIME_MS,
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
            detector.on_retransmission(
                of,
                flow_id(step.port),
                step.retransmissions,
                step.at_ms,
                sent_ms=step.at_ms - 600,
                previous_copy_ms=step.at_ms - 400,
            )
        else:
            detector.on_opening_unanswered(
                of,
                flow_id(step.port),
                step.at_ms,
                sent_ms=step.at_ms,
                is_confirmed=step.is_confirmed,
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


@pytest.mark.parametrize(
    ("other_domain", "answered_ms", "expected"),
    [
        pytest.param(FAR_DOMAIN, 1_500, Suspicion.CONDEMNED, id="one domain, answered since"),
        pytest.param("derwent", None, Suspicion.NONE, id="two domains, no answer"),
        pytest.param("derwent", 1_100, Suspicion.NONE, id="two domains, an earlier answer"),
        pytest.param("derwent", 1_500, Suspicion.NONE, id="two domains, before an answer"),
    ],
)
def test_stalls_while_the_own_link_is_in_doubt_are_no_silence(
    other_domain: str, answered_ms: int | None, expected: Suspicion
) -> None:
    # The link of a host dropped packets to the servers of all failure domains.
    detector = detector_after(
        *(Stall("i-1", port, 1_000 + port, retransmissions=2) for port in range(3))
    )
    detector.on_opening_unanswered(
        server("i-2", failure_domain=other_domain),
        flow_id(9),
        1_200,
        sent_ms=1_200,
        is_confirmed=True,
    )
    if answered_ms is not None:
        detector.on_packet_answered(answered_ms, latest_copy_ms=answered_ms)
    of = server("i-1", failure_domain=FAR_DOMAIN)
    assert detector.suspicion(of) is Suspicion.CONDEMNED
    assert detector.silence(of, 1_600) is expected


def test_stalls_after_the_own_link_was_in_doubt_count_again() -> None:
    detector = detector_after(Stall("i-1", 1, 1_000), Stall("i-1", 2, 1_010))
    detector.on_opening_unanswered(
        server("i-2", failure_domain="derwent"), flow_id(9), 1_200, sent_ms=1_200, is_confirmed=True
    )
    assert detector.was_link_trusted(1_000)
    detector.on_packet_answered(1_300, latest_copy_ms=1_500)
    assert not detector.was_link_trusted(1_499)
    assert detector.was_link_trusted(1_500)
    of = server("i-1", failure_domain=FAR_DOMAIN)
    for port, expected in ((3, Suspicion.NONE), (4, Suspicion.SUSPECTED), (5, Suspicion.CONDEMNED)):
        detector.on_retransmission(
            of, flow_id(port), 2, 2_200 + port, sent_ms=1_600, previous_copy_ms=1_800
        )
        detector.on_packet_answered(1_700, latest_copy_ms=1_700)
        assert detector.silence(of, 2_210) is expected


DOMAIN_CONDEMNED = [
    Stall(server_id, port, at_ms, retransmissions=2)
    for server_id, port, at_ms in (("i-2", 11, 0), ("i-3", 12, 100), ("i-3", 13, 200))
]
# The latest copy that the server had to answer was sent 400 ms before each stall.
SILENT_FLOWS = [stall._replace(retransmissions=2) for stall in ONE_AFTER_ANOTHER]
OWN_STALL = Stall("i-1", 1, 300, retransmissions=2)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param(DOMAIN_CONDEMNED, Suspicion.NONE, id="only other servers do not answer"),
        pytest.param(
            DOMAIN_CONDEMNED[:2], Suspicion.NONE, id="two others of a suspected failure domain"
        ),
        pytest.param(
            [*DOMAIN_CONDEMNED, OWN_STALL],
            Suspicion.CONDEMNED,
            id="data of the server sent three times",
        ),
        pytest.param(
            [OWN_STALL._replace(at_ms=0), *DOMAIN_CONDEMNED],
            Suspicion.CONDEMNED,
            id="the server was the first one",
        ),
        pytest.param(
            [*DOMAIN_CONDEMNED, OWN_STALL._replace(retransmissions=1)],
            Suspicion.NONE,
            id="data of the server sent twice",
        ),
        pytest.param(
            [*DOMAIN_CONDEMNED, OWN_STALL._replace(retransmissions=0)],
            Suspicion.NONE,
            id="an opening packet, which a full server does not answer either",
        ),
        pytest.param(
            [*DOMAIN_CONDEMNED[:2], OWN_STALL],
            Suspicion.CONDEMNED,
            id="the third flow of its failure domain",
        ),
        pytest.param(
            [DOMAIN_CONDEMNED[0], OWN_STALL],
            Suspicion.SUSPECTED,
            id="the second flow of its failure domain",
        ),
        pytest.param(
            [
                OWN_STALL,
                *(stall._replace(at_ms=stall.at_ms + 9_000) for stall in DOMAIN_CONDEMNED),
            ],
            Suspicion.NONE,
            id="a lost packet long before",
        ),
        pytest.param(
            [
                OWN_STALL._replace(at_ms=0),
                Answer("i-1", 10),
                *(stall._replace(at_ms=stall.at_ms + 100) for stall in DOMAIN_CONDEMNED),
            ],
            Suspicion.NONE,
            id="the server has answered since",
        ),
        pytest.param(
            SILENT_FLOWS,
            Suspicion.CONDEMNED,
            id="the server alone",
        ),
        pytest.param(
            ONE_AFTER_ANOTHER, Suspicion.NONE, id="the server alone, by opening packets only"
        ),
        pytest.param(
            [*ONE_AFTER_ANOTHER, OWN_STALL],
            Suspicion.SUSPECTED,
            id="opening packets, and data sent three times",
        ),
    ],
)
def test_only_unanswered_data_of_a_server_is_its_silence(
    steps: list[Stall | Answer], expected: Suspicion
) -> None:
    # Three of the four servers of a failure domain fell silent, and open flows of the fourth one,
    # which was working on requests of 250 ms, were reset. So were those of a server that was full.
    detector = detector_after(*steps)
    # A server of another failure domain answers.
    detector.on_packet_answered(10_000, latest_copy_ms=10_000)
    now_ms = max(step.at_ms for step in steps)
    assert detector.silence(server("i-1", failure_domain=FAR_DOMAIN), now_ms) is expected


@pytest.mark.parametrize(
    ("steps", "now_ms", "silence", "suspicion"),
    [
        pytest.param(SILENT_FLOWS, 1_699, Suspicion.CONDEMNED, Suspicion.CONDEMNED, id="at once"),
        pytest.param(
            SILENT_FLOWS, 1_700, Suspicion.SUSPECTED, Suspicion.CONDEMNED, id="two of three flows"
        ),
        pytest.param(SILENT_FLOWS, 1_900, Suspicion.NONE, Suspicion.CONDEMNED, id="no flow lately"),
        pytest.param(
            [*SILENT_FLOWS, Stall("i-1", 4, 5_000, retransmissions=2)],
            5_000,
            Suspicion.SUSPECTED,
            Suspicion.CONDEMNED,
            id="one more flow of a suspected server",
        ),
        pytest.param(
            SILENT_FLOWS,
            299 + SUSPICION_LIFETIME_MS,
            Suspicion.NONE,
            Suspicion.CONDEMNED,
            id="suspected until the end of its lifetime",
        ),
        pytest.param(
            SILENT_FLOWS,
            300 + SUSPICION_LIFETIME_MS,
            Suspicion.NONE,
            Suspicion.NONE,
            id="no stall in the lifetime",
        ),
        pytest.param(
            [*SILENT_FLOWS, Stall("i-1", 4, 8_000, is_confirmed=False)],
            15_999,
            Suspicion.NONE,
            Suspicion.CONDEMNED,
            id="prolonged by a probe that failed",
        ),
        pytest.param(
            [*SILENT_FLOWS, Stall("i-1", 4, 8_300), Stall("i-1", 5, 8_400)],
            8_400,
            Suspicion.NONE,
            Suspicion.SUSPECTED,
            id="suspected again after its end",
        ),
    ],
)
def test_a_suspicion_ends_and_resets_flows_only_by_recent_stalls(
    steps: list[Stall | Answer], now_ms: int, silence: Suspicion, suspicion: Suspicion
) -> None:
    # After a cut had healed, a host still condemned a live server that it sent no new flows, and
    # reset an open flow there after one retransmission (review/11).
    detector = detector_after(*steps)
    detector.on_packet_answered(now_ms, latest_copy_ms=now_ms)
    of = server("i-1", failure_domain=FAR_DOMAIN)
    was_suspected = detector.is_suspected(of)
    ended = detector.expire(now_ms)
    assert detector.silence(of, now_ms) is silence
    assert detector.suspicion(of) is suspicion
    assert ended == (["i-1"] if was_suspected and suspicion is Suspicion.NONE else [])


@pytest.mark.parametrize(
    ("answered_ms", "expected"),
    [
        pytest.param(None, Suspicion.NONE, id="no packet"),
        pytest.param(399, Suspicion.NONE, id="a packet sent before"),
        pytest.param(401, Suspicion.CONDEMNED, id="a packet sent later"),
    ],
)
def test_silence_is_known_once_a_packet_that_was_sent_later_is_answered(
    answered_ms: int | None, expected: Suspicion
) -> None:
    # A host whose own link was congested took this for the silence of servers.
    detector = detector_after(
        *(Stall("i-1", port, 1_000 + port, retransmissions=2) for port in range(3))
    )
    if answered_ms is not None:
        detector.on_packet_answered(answered_ms, latest_copy_ms=answered_ms)
    of = server("i-1", failure_domain=FAR_DOMAIN)
    assert detector.suspicion(of) is Suspicion.CONDEMNED
    assert detector.silence(of, 1_100) is expected


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


@pytest.mark.parametrize(
    ("retained", "expected"),
    [
        pytest.param({"i-1", "i-2"}, Suspicion.CONDEMNED, id="the silent servers are still listed"),
        pytest.param({"i-1", "i-9"}, Suspicion.NONE, id="stalls at one server say nothing"),
        pytest.param({"i-9"}, Suspicion.NONE, id="the silent servers are gone"),
    ],
)
def test_a_new_server_is_not_suspected_for_servers_that_are_gone(
    retained: set[str], expected: Suspicion
) -> None:
    detector = detector_after(Stall("i-1", 1, 0), Stall("i-2", 2, 10), Stall("i-1", 3, 20))
    detector.retain(retained)
    assert detector.suspicion(server("i-9", failure_domain=FAR_DOMAIN)) is expected


def test_the_stalls_of_a_silent_failure_domain_are_bounded() -> None:
    detector = detector_after(*(Stall(f"i-{n % 2}", n, 10 * n) for n in range(10 * MAX_STALLS)))
    of = server("i-1", failure_domain=FAR_DOMAIN)
    assert detector.suspicion(of) is Suspicion.CONDEMNED
    assert all(len(tracker.stalls) <= MAX_STALLS for tracker in detector._trackers(of))
