"""Server selection at peak load, with unequal failure domains, lost servers and slow starts.

Each case simulates flows that open, run a request and close at servers with two slots, and checks
how the flows were distributed. Near servers are in the failure domain of the host, far ones in
another.
"""

import random
from collections import Counter
from typing import NamedTuple

import pytest

from redwingswitch._internal.decisions.cookies.server_selection import Candidate, ServerSelector
from redwingswitch._internal.models.cookie_flows import ListedServer, ServiceShare
from tests.lib.cookie_flows import FAR_DOMAIN, JOB_BOARD, NEAR_DOMAIN, route, server


class StubLoad:
    """Counts of open and busy flows per server."""

    def __init__(self) -> None:
        self.open = Counter[str]()
        self.busy = Counter[str]()

    def open_flow_count(self, server_id: str) -> int:
        return self.open[server_id]

    def busy_flow_count(self, server_id: str) -> int:
        return self.busy[server_id]


class SelectionCase(NamedTuple):
    """Counts of near and far servers, concurrent flows, and bounds of the near servers' share."""

    near: int
    far: int
    concurrent: int
    least_near_share: float
    most_near_share: float


CASES = [
    pytest.param(SelectionCase(4, 4, 1, 1.0, 1.0), id="low load stays near"),
    pytest.param(SelectionCase(4, 4, 6, 0.9, 1.0), id="half of the near slots"),
    pytest.param(SelectionCase(4, 4, 14, 0.5, 0.85), id="peak: the near slots are full"),
    pytest.param(SelectionCase(1, 7, 4, 0.1, 0.6), id="few near servers spill over early"),
    pytest.param(SelectionCase(7, 1, 12, 0.9, 1.0), id="many near servers keep their load"),
    pytest.param(SelectionCase(0, 4, 4, 0.0, 0.0), id="no near server"),
    pytest.param(SelectionCase(4, 0, 20, 1.0, 1.0), id="the other failure domain is lost"),
]


def servers_of(case: SelectionCase) -> list[ListedServer]:
    near = [server(f"i-{n}", failure_domain=NEAR_DOMAIN) for n in range(case.near)]
    far = [server(f"i-{100 + n}", failure_domain=FAR_DOMAIN) for n in range(case.far)]
    return near + far


def simulate_flows(
    servers: list[ListedServer], concurrent: int, rounds: int, capacity: dict[str, float]
) -> Counter[str]:
    load = StubLoad()
    source = random.Random(5)
    selector = ServerSelector(failure_domain=NEAR_DOMAIN, load=load, random_source=source)
    candidates = [Candidate(s, capacity.get(s.server_id, 1.0)) for s in servers]
    opened = Counter[str]()
    working: list[str] = []
    for _ in range(rounds):
        chosen = selector.select_server(candidates)
        assert chosen is not None
        opened[chosen.server_id] += 1
        load.open[chosen.server_id] += 1
        load.busy[chosen.server_id] += 1
        working.append(chosen.server_id)
        if len(working) > concurrent:
            ended = working.pop(source.randrange(len(working)))
            load.open[ended] -= 1
            load.busy[ended] -= 1
    return opened


@pytest.mark.parametrize("case", CASES)
def test_near_first_with_spill_by_load(case: SelectionCase) -> None:
    servers = servers_of(case)
    opened = simulate_flows(servers, case.concurrent, 2_000, {})
    near = sum(opened[s.server_id] for s in servers if s.failure_domain == NEAR_DOMAIN)
    assert case.least_near_share <= near / opened.total() <= case.most_near_share


@pytest.mark.parametrize("case", CASES)
def test_servers_of_one_failure_domain_get_equal_shares(case: SelectionCase) -> None:
    servers = servers_of(case)
    opened = simulate_flows(servers, case.concurrent, 2_000, {})
    for domain in (NEAR_DOMAIN, FAR_DOMAIN):
        shares = [opened[s.server_id] for s in servers if s.failure_domain == domain]
        if sum(shares) >= 200:
            assert max(shares) <= 1.25 * sum(shares) / len(shares)


def test_a_server_that_just_started_gets_less() -> None:
    servers = [server(f"i-{n}") for n in range(3)]
    opened = simulate_flows(servers, 6, 2_000, {"i-0": 0.5})
    assert opened["i-0"] < 0.8 * opened["i-1"]


def test_idle_flows_are_spread_too() -> None:
    # Long flows stay at their server, so a host with few requests must not collect them on one.
    load = StubLoad()
    selector = ServerSelector(failure_domain=NEAR_DOMAIN, load=load, random_source=random.Random(5))
    candidates = [Candidate(server(f"i-{n}")) for n in range(4)]
    for _ in range(100):
        chosen = selector.select_server(candidates)
        assert chosen is not None
        load.open[chosen.server_id] += 1
    assert max(load.open.values()) - min(load.open.values()) <= 1


def test_weights_of_a_divided_route() -> None:
    selector = ServerSelector(
        failure_domain=NEAR_DOMAIN, load=StubLoad(), random_source=random.Random(5)
    )
    divided = route(JOB_BOARD, "old", "new")._replace(
        shares=(ServiceShare("old", 9.0), ServiceShare("new", 1.0))
    )
    drawn = Counter(selector.select_service(divided) for _ in range(2_000))
    assert 0.07 <= drawn["new"] / drawn.total() <= 0.13


def test_without_candidates_no_server_is_selected() -> None:
    selector = ServerSelector(
        failure_domain=NEAR_DOMAIN, load=StubLoad(), random_source=random.Random(5)
    )
    assert selector.select_server([]) is None
