"""A short soak with a fixed seed, and proof that its checks find faults."""

import asyncio
from pathlib import Path

import pytest

from tests.soak.faults import Action, carry_cookies_over, change_routes, replace_server
from tests.soak.run import run_seed

SEED = 5
SECONDS = 10.0
HOSTS = 3


def test_a_short_soak_breaks_no_promise(tmp_path: Path) -> None:
    result = asyncio.run(run_seed(SEED, seconds=SECONDS, hosts=HOSTS, folder=tmp_path))
    assert result.broken == ()
    assert result.judged > 0


@pytest.mark.parametrize(
    ("mechanism", "action", "promise"),
    [
        pytest.param("service_in_cookie", carry_cookies_over, "service:", id="last filter"),
        pytest.param("drain_exclusion", replace_server, "drain:", id="drain"),
        pytest.param("route_removal", change_routes, "configuration:", id="removed routes"),
    ],
)
def test_the_soak_finds_a_mechanism_that_is_switched_off(
    tmp_path: Path, mechanism: str, action: Action, promise: str
) -> None:
    program = ("-m", "tests.soak.faulty", mechanism)
    result = asyncio.run(
        run_seed(SEED, seconds=6.0, hosts=HOSTS, folder=tmp_path, program=program, actions=[action])
    )
    assert any(promise in line for line in result.broken), result.broken
