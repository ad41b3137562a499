"""Guards against label values that make the metrics page of a host unreadable."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from redwingswitch._internal.daemon.metrics import Metrics
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.flows.steering_context import SteeringStatistics
from redwingswitch._internal.report.scrapes import Scrape, parse_scrape


def scrape_steering_host(service: str) -> Scrape:
    metrics = SteeringMetrics()
    metrics.count("packets_total", "opened", service)
    metrics.observe_latency("answer_latency_ms", service, 12)
    metrics.set_gauges("out_of_service", {(service,): 1.0})
    content, _ = metrics.render({"host_info": (("edge-1", service, "7"), 1)})
    return parse_scrape(content.decode(), scraped_at_ms=0)


def scrape_entry_host(service: str) -> Scrape:
    metrics = Metrics(host="entry-1", failure_domain=service, incarnation=7)
    metrics.count("flows_opened_total", service)
    metrics.observe_latency(service=service, size_class="short", latency_ms=12)
    statistics = SteeringStatistics()
    content, _ = metrics.render(status={}, statistics=statistics, open_connections=0)
    return parse_scrape(content.decode(), scraped_at_ms=0)


@pytest.mark.parametrize("scrape", [scrape_steering_host, scrape_entry_host])
@given(st.text(alphabet=st.characters(exclude_categories=["Cs"]), min_size=1))
@example('a"b')
@example("a\\b")
@example("a\\nb")
@example("a\nb")
@example("a\\")
@example('\\"\n')
@example('",x="')
def test_a_label_has_the_value_that_was_counted(scrape, service: str) -> None:
    found = scrape(service)
    assert found.failure_domain == service
    services = {dict(key.labels).get("service") for key in found.samples}
    assert services - {None} == {service}
    assert sum(value for key, value in found.samples.items() if "latency_ms_count" in key.name) == 1
