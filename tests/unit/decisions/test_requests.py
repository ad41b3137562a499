"""Tests of request faults, each with the outcome that the caller must get."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from redwingswitch._internal.decisions.requests import coordinator, request_table
from redwingswitch._internal.models import actions as act
from redwingswitch._internal.models import events as ev
from redwingswitch._internal.models.identifiers import CallerAddress
from redwingswitch._internal.models.requests import Outcome, RequestHeader
from tests.lib.request_cluster import CALLER, RequestCluster, configuration, server, service

HOSTS = {f"h{i}": "abc"[i % 3] for i in range(6)}
ID = b"the-first-one---"
OTHER_CALLER = CallerAddress("10.9.0.2", 4000)


def _cluster(servers: int = 1) -> RequestCluster:
    names = [server(f"s{i}", "orders", "a") for i in range(servers)]
    reads = [server("r0", "reads", "a"), server("r1", "reads", "a")]
    services = [service("orders", names), service("reads", reads, idempotent=True)]
    return RequestCluster(configuration(1, dict(HOSTS), services))


def _dispatcher(cluster: RequestCluster) -> str:
    """Return the host that sent the last request to a backend server."""
    return [name for name, a in cluster.actions if isinstance(a, act.DispatchRequest)][-1]


def _answered(cluster: RequestCluster) -> None:
    cluster.send("h1", ID, "orders", parts=3)
    cluster.run(500)


def _resent(cluster: RequestCluster) -> None:
    """The answer is lost; the caller asks another host, from another address."""
    _answered(cluster)
    cluster.received_answers.clear()
    cluster.send("h2", ID, "orders", parts=3, caller=OTHER_CALLER)
    cluster.run(500)


def _resent_during_run(cluster: RequestCluster) -> None:
    cluster.send("h1", ID, "orders")
    cluster.run(25)
    assert cluster.runs[ID] == 1
    cluster.send("h2", ID, "orders")
    cluster.run(500)


def _answer_expired(cluster: RequestCluster) -> None:
    _answered(cluster)
    cluster.received_answers.clear()
    cluster.run(request_table.ANSWER_RETENTION_MS + coordinator.TICK_INTERVAL_MS)
    cluster.send("h1", ID, "orders", parts=3)
    cluster.run(500)


def _with_server_mode(mode: str) -> Callable[[RequestCluster], None]:
    def scenario(cluster: RequestCluster) -> None:
        cluster.servers["s0"].mode = mode
        cluster.send("h1", ID, "orders", remaining_ms=3_000)
        cluster.run(3_100)

    return scenario


def _dispatcher_dies(cluster: RequestCluster) -> None:
    cluster.send("h1", ID, "orders")
    cluster.run(25)
    cluster.hosts[_dispatcher(cluster)].alive = False
    cluster.exchange_views()
    for host in HOSTS:
        cluster.send(host, ID, "orders")
    cluster.run(6_000)


def _witnesses_cut_off(cluster: RequestCluster) -> None:
    """Each failure domain has one witness, so one domain alone has no majority."""
    for host, domain in HOSTS.items():
        cluster.partition[host] = "abc".index(domain)
    cluster.exchange_views()
    cluster.send("h0", ID, "orders", remaining_ms=2_000)
    cluster.run(2_100)


def _id_reused(cluster: RequestCluster) -> None:
    _answered(cluster)
    cluster.received_answers.clear()
    cluster.send("h1", ID, "orders", parts=2, caller=OTHER_CALLER)
    cluster.run(500)


def _part_missing(cluster: RequestCluster) -> None:
    header = RequestHeader("orders", ID, False, 1_000, 0, 2)
    event = ev.RequestPartArrived(header, b"x", CALLER)
    cluster.perform("h1", cluster.hosts["h1"].coordinator.on_part(event, cluster.now_ms))
    cluster.run(1_100)


def _cancelled_while_running(cluster: RequestCluster) -> None:
    cluster.send("h1", ID, "orders")
    cluster.run(25)
    cluster.cancel("h4", ID, "orders")
    cluster.run(500)
    assert any(isinstance(a, act.CancelAttempt) for _, a in cluster.actions)


def _stopped_while_running(cluster: RequestCluster) -> None:
    cluster.send("h1", ID, "orders")
    cluster.run(25)
    rig = cluster.hosts[_dispatcher(cluster)]
    cluster.perform(_dispatcher(cluster), rig.coordinator.begin_stop(cluster.now_ms))
    assert rig.coordinator.count_in_progress() == 1
    cluster.run(500)
    assert rig.coordinator.count_in_progress() == 0


def _paused_for_long(cluster: RequestCluster) -> None:
    """Requests that waited in a socket may be older than the witnesses' grants."""
    for rig in cluster.hosts.values():
        rig.paused = True
    cluster.send("h1", ID, "orders")
    cluster.run(100_000)
    for host in HOSTS:
        cluster.resume(host)
    cluster.run(500)


@pytest.mark.parametrize(
    ("scenario", "outcomes", "runs"),
    [
        pytest.param(_answered, {Outcome.ANSWERED}, 1, id="parts in any order"),
        pytest.param(_resent, {Outcome.ANSWERED}, 1, id="retained answer"),
        pytest.param(_resent_during_run, {Outcome.ANSWERED}, 1, id="copy during the run"),
        pytest.param(_answer_expired, {Outcome.INCOMPLETE}, 1, id="answer no longer retained"),
        pytest.param(_with_server_mode("refuse"), {Outcome.NOT_RUN}, 0, id="connections refused"),
        pytest.param(_with_server_mode("shed"), {Outcome.NOT_RUN}, 0, id="slots busy elsewhere"),
        pytest.param(
            _with_server_mode("reset"), {Outcome.INCOMPLETE}, 1, id="reset after one part"
        ),
        pytest.param(
            _with_server_mode("hang"), {Outcome.UNKNOWN}, 1, id="no answer by the deadline"
        ),
        pytest.param(_dispatcher_dies, {Outcome.UNKNOWN}, 1, id="dispatcher dies"),
        pytest.param(_witnesses_cut_off, {Outcome.UNKNOWN}, 0, id="two witnesses cut off"),
        pytest.param(_id_reused, {Outcome.UNKNOWN}, 1, id="id reused for another body"),
        pytest.param(_part_missing, {Outcome.UNKNOWN}, 0, id="part missing"),
        pytest.param(_cancelled_while_running, {Outcome.UNKNOWN}, 1, id="cancelled"),
        pytest.param(_stopped_while_running, {Outcome.ANSWERED}, 1, id="graceful stop"),
        pytest.param(_paused_for_long, {Outcome.UNKNOWN}, 0, id="copy older than the retention"),
    ],
)
def test_outcome_of_a_request(
    scenario: Callable[[RequestCluster], None], outcomes: set[Outcome], runs: int
) -> None:
    cluster = _cluster()
    scenario(cluster)
    assert set(cluster.outcomes(ID)) == outcomes
    assert cluster.runs[ID] == runs
    cluster.check_invariants()


def test_a_graceful_stop_refuses_the_queue_as_not_run() -> None:
    cluster = _cluster()
    ids = [b"%016d" % number for number in range(12)]
    for number, request_id in enumerate(ids):
        cluster.send(f"h{number % 6}", request_id, "orders", caller=OTHER_CALLER)
    cluster.run(28)
    name = _dispatcher(cluster)
    stopped = cluster.hosts[name].coordinator.begin_stop(cluster.now_ms)
    cluster.perform(name, stopped)
    cluster.run(1_000)
    cluster.check_invariants()
    told = {request_id: set(cluster.outcomes(request_id)) for request_id in ids}
    assert {len(outcomes) for outcomes in told.values()} == {1}
    assert {Outcome.ANSWERED} in told.values()
    assert {Outcome.NOT_RUN} in told.values()
    assert cluster.hosts[name].coordinator.count_in_progress() == 0


@pytest.mark.parametrize("mode", ["reset", "hang"])
def test_retries_and_hedges_stay_within_the_budget(mode: str) -> None:
    cluster = _cluster()
    for name in ("r0", "r1"):
        cluster.servers[name].mode = mode
    for number in range(100):
        cluster.send("h1", b"%016d" % number, "reads", remaining_ms=900)
        cluster.run(50)
    cluster.run(2_000)
    first = sum(runs > 0 for runs in cluster.runs.values())
    assert first > 10
    assert sum(cluster.runs.values()) <= 1.1 * first + 10


def test_two_dispatchers_never_exceed_a_server() -> None:
    """Hosts with different membership views share servers; refused requests are requeued."""
    cluster = _cluster(servers=2)
    for host in HOSTS:
        cluster.partition[host] = int(host in ("h0", "h1", "h2"))
    cluster.exchange_views()
    cluster.partition.clear()
    for number in range(16):
        cluster.send(f"h{number % 6}", b"%016d" % number, "orders", caller=OTHER_CALLER)
    cluster.run(5_000)
    cluster.check_invariants()
    dispatchers = {name for name, a in cluster.actions if isinstance(a, act.DispatchRequest)}
    assert len(dispatchers) == 2
    assert all(cluster.runs[b"%016d" % number] == 1 for number in range(16))
