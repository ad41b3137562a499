"""Guards the log lines and metrics of steering decisions that on-call engineers rely on."""

import asyncio
import re

import logbook
import pytest

from redwingswitch._internal.daemon.steering_metrics import COUNTERS, GAUGES, HISTOGRAMS, PREFIX
from redwingswitch._internal.decisions.cookies import slow_start_limits
from redwingswitch._internal.decisions.cookies.readiness import Readiness
from redwingswitch._internal.models.list_sharing import ListSharingRole
from redwingswitch._internal.models.load_sharing import HostRank
from redwingswitch._internal.platform.standins.site import SteeringSite
from redwingswitch._internal.utils.clocks import MonotonicClock
from tests.lib.loops import run, wait_until

SECRET = "the caller's secret"


async def run_flow(site: SteeringSite) -> str:
    """Use a flow, try an unknown destination, remove the server, and return the metrics."""
    site.configure()
    await site.add_server(1)
    host = site.add_host()
    await wait_until(lambda: host.daemon.servers_for_new_flows("job-board") == ["i-00000001"])
    flow = await site.open_flow(host)
    assert await flow.send_request(host.address, SECRET) == "i-00000001"
    unknown = site.callers.create_flow(("198.18.0.99", 1))
    assert not await unknown.open(host.address)
    site.store.remove("servers/i-00000001")
    await wait_until(lambda: host.daemon.servers_for_new_flows("job-board") == [])
    return host.daemon.metrics_text()


@pytest.mark.parametrize(
    "pattern",
    [
        r"opened flow=127\.0\.0\.2:\d+>198\.18\.0\.1:443 copy=0 cookie=[0-9a-f]{8} "
        r"server=i-00000001 failure_domain=huon flows=\d+ busy=\d+ routes_version=1 "
        r"list_age_ms=\d+",
        r"reset_no_route flow=127\.0\.0\.2:\d+>198\.18\.0\.99:1 copy=0 cookie=00000000 "
        r"routes_version=1 list_age_ms=\d+",
        r"routes in force version=1 routes=1 store_revision=\d+",
        r"server changed server=i-00000001 service=job-board failure_domain=huon state=active "
        r"presence=listed store_revision=\d+",
        r"server changed server=i-00000001 .* presence=(gone|lapsed) store_revision=\d+",
        r"started host=entry-0 failure_domain=huon",
        r"readiness=ready",
    ],
)
def test_log_lines_that_the_operations_page_relies_on(pattern: str) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            await run_flow(site)

    with logbook.TestHandler() as handler:
        run(scenario())
    messages = [record.message for record in handler.records]
    assert any(re.fullmatch(pattern, message) for message in messages), messages
    assert not any(SECRET in message for message in messages)


def test_metrics_after_a_flow() -> None:
    found: list[str] = []

    async def scenario() -> None:
        async with SteeringSite() as site:
            found.append(await run_flow(site))

    run(scenario())
    text = found[0]
    for name in GAUGES:
        assert f"{PREFIX}{name}" in text
    for name in HISTOGRAMS:
        assert f'{PREFIX}{name}_count{{service="job-board"}} 1' in text
    sample = f'{PREFIX}packets_total{{service="job-board",verdict="opened"}} 1'
    assert sample in text
    assert f'{PREFIX}packets_total{{service="",verdict="reset_no_route"}} 1' in text
    assert f'{PREFIX}store_calls_total{{operation="stale_list",result="ok"}} 1' in text
    assert SECRET not in text
    assert all(name.endswith("_total") for name in COUNTERS)


def test_a_host_without_a_rank_holds_flows_to_servers_in_slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with SteeringSite() as site:
            site.configure(slow_start_per_s=2)
            server = await site.add_server(1)
            site.list_server(server, slow_start_left_ms=60_000)
            host = site.add_host()
            await wait_until(lambda: host.daemon.list_role is ListSharingRole.SERVING)
            await wait_until(lambda: host.daemon.readiness is Readiness.READY)
            opening = asyncio.create_task(site.open_flow(host))
            await wait_until(lambda: f"{PREFIX}held_openings 1" in host.daemon.metrics_text())
            now_ms = MonotonicClock().now_ms()
            host.daemon._steering.slow_start.entitlement.set_host_rank(
                HostRank(0, 1, now_ms + 60_000), reader=host.daemon.incarnation, now_ms=now_ms
            )
            await opening
            text = host.daemon.metrics_text()
            assert f'{PREFIX}slow_start_openings_total{{service="job-board"}} 1' in text
            assert f"{PREFIX}slow_start_entitlement 1" in text

    monkeypatch.setattr(slow_start_limits, "ENTITLEMENT_DELAY_MS", 0)
    with logbook.TestHandler() as handler:
        run(scenario())
    # Two flows a second for two failure domains.
    pattern = (
        r"slow start server=i-00000001 service=job-board sent=1 limit=1 "
        r"flow=127\.0\.0\.2:\d+>198\.18\.0\.1:443"
    )
    messages = [record.message for record in handler.records]
    assert any(re.fullmatch(pattern, message) for message in messages), messages
    assert any(message.startswith("held_slow_start") for message in messages), messages


@pytest.mark.parametrize("has_servers", [True, False])
def test_a_host_shares_load_whether_or_not_it_can_serve_flows_yet(has_servers: bool) -> None:
    # Its modules are imported late. A reader without servers must begin to share load too, as it
    # sums up what the other hosts report.
    async def scenario() -> None:
        async with SteeringSite() as site:
            if has_servers:
                site.configure()
                await site.add_server(1)
            host = site.add_host(load_sharing=True)
            await wait_until(lambda: f"{PREFIX}load_hosts 1" in host.daemon.metrics_text())

    run(scenario())
