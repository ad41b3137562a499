"""Guards against exported metrics that the report cannot read or that miss what it counts."""

import pytest

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.decisions.flows.steering_context import (
    BrokenFlowCount,
    SteeringStatistics,
)
from redwingswitch._internal.models.events import AttemptFailed
from redwingswitch._internal.models.requests import FailureKind
from redwingswitch._internal.report.indicators import Measure, compute_indicators
from redwingswitch._internal.report.scrapes import parse_scrape
from redwingswitch._internal.standins.demo_fleet import JOB_BOARD
from tests.functional.test_entry_daemon import RunningFleet
from tests.lib.loops import run, wait_until
from tests.unit.report.test_burn import SERVICE


async def scrape(running, daemon, taken_ms):
    return parse_scrape((await running.get(daemon, "/metrics")).decode(), scraped_at_ms=taken_ms)


def test_the_report_reads_the_metrics_of_running_daemons():
    async def body():
        async with RunningFleet() as running:
            daemons = running.fleet.daemons
            before = [await scrape(running, daemon, 1) for daemon in daemons.values()]
            await running.call()
            await running.fleet.streams.run_flow(
                destination=JOB_BOARD.destination, packets=1, interval_s=0
            )
            after = [await scrape(running, daemon, 2) for daemon in daemons.values()]
            services = running.fleet.daemons["entry-1"]._entry_host.configuration.services
        assert {s.host: s.failure_domain for s in after} == {
            name: daemon.parameters.failure_domain for name, daemon in daemons.items()
        }
        assert [s.incarnation for s in after] == [str(d._incarnation) for d in daemons.values()]
        service_indicators = [
            i
            for i in compute_indicators([*before, *after], services)
            if i.service == JOB_BOARD.name
        ]
        totals = {m: sum(i.total for i in service_indicators if i.measure is m) for m in Measure}
        assert totals[Measure.FAILED_REQUESTS] == 1
        assert totals[Measure.SLOW_SHORT_REQUESTS] == 1
        # A caller retransmits an opening packet until it is answered, so the number varies.
        opened = sum(d.metrics.counts["flows_opened_total"].total() for d in daemons.values())
        assert totals[Measure.BROKEN_FLOWS] == opened > 0
        assert (
            sum(i.bad for i in service_indicators if i.measure is not Measure.SLOW_SHORT_REQUESTS)
            == 0
        )

    run(body())


def render_and_parse(metrics, *, incarnation=1, broken=0, taken_ms=0):
    counts = (BrokenFlowCount("job-board", "unknown_servers", broken),)
    content, _ = metrics.render(
        status={"incarnation": incarnation},
        statistics=SteeringStatistics(broken_flows=counts),
        open_connections=0,
    )
    # The report uses only the first sample.
    assert content.decode().count("redwingswitch_host_info{") == 1
    return parse_scrape(content.decode(), scraped_at_ms=taken_ms)


@pytest.mark.parametrize("incarnation", [1, 9], ids=["trusted", "refuted a suspicion"])
def test_broken_flows_count_for_their_service_once(incarnation):
    metrics = Metrics(host="entry-1", failure_domain="hobart", incarnation=1)
    scrapes = [
        render_and_parse(metrics, broken=3, taken_ms=1),
        render_and_parse(metrics, broken=5, taken_ms=2, incarnation=incarnation),
    ]
    bad = [
        i.bad for i in compute_indicators(scrapes, [SERVICE]) if i.measure is Measure.BROKEN_FLOWS
    ]
    assert bad == [2]


def test_failed_attempts_and_connections_are_counted():
    async def body():
        async with RunningFleet() as running:
            daemon = running.fleet.daemons["entry-1"]
            failures = daemon.metrics.counts["backend_failures_total"]
            daemon._on_backend_event(AttemptFailed("job-board-1", 7, FailureKind.TIMEOUT))
            assert failures["job-board-1", "timeout"] == 1
            for name, server in running.fleet.servers.items():
                if name.startswith("job-board"):
                    server.close()
            _, writer = await running.connect(daemon)
            await wait_until(lambda: any(kind == "connect" for _, kind in failures))
            writer.close()

    run(body())
