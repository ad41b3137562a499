"""Guards against a check that passes what the hosts reject or cannot use, or the reverse."""

import json
from copy import deepcopy
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.decisions.list_sharing.routes_history import RoutesHistory
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import RouteTable
from redwingswitch._internal.models.server_list import ServerList
from redwingswitch._internal.network.list_messages import decode_snapshot, encode_snapshot
from redwingswitch._internal.platform.configuration_check.check import (
    CheckReport,
    check_configuration,
)
from redwingswitch._internal.platform.configuration_check.document import read_configuration
from redwingswitch._internal.platform.entries import decode_routes, decode_server
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)

GAUGES: dict[str, tuple[tuple[str, ...], float]] = {}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, 1, -1, 0.5, 2**53, 2**53 + 1, 2**63 - 1, 2**63, 3_600, 3_600.5]),
    st.sampled_from(
        ["", "a", "/80/", "/0/", "/65536/", "80", "10.0.0.1", "10.0.0.256", "download"]
    ),
    st.sampled_from(['a"b', "a\\nb", "a\\", "a\nb", "x" * 128, "x" * 129, "\u6ce8\u6587", " "]),
    st.sampled_from([[], {}, [1], [{"Service": "a"}], [{"Service": "a", "Weight": 0}]]),
)


def find_containers(value: Any) -> list[Any]:
    children = value.values() if isinstance(value, dict) else value if type(value) is list else ()
    nested = [found for child in children for found in find_containers(child)]
    return [value, *nested] if isinstance(value, dict | list) else []


@st.composite
def configurations(draw: st.DrawFn) -> bytes:
    """Draw a valid configuration, up to three values of which are odd or missing."""
    routes = [StandinRoute("198.18.0.1", 80, "a"), StandinRoute("198.18.0.1", 81, "b", "download")]
    document = build_configuration(version=draw(st.integers(0, 3)), routes=routes)
    document["Routes"][1]["Split"] = [{"Service": "a", "Weight": 9}, {"Service": "b"}]  # type: ignore[index]
    document["Services"][0] |= {"RampS": 10, "RampPerS": 30}  # type: ignore[index]
    for _ in range(draw(st.integers(0, 3))):
        container = draw(st.sampled_from(find_containers(document)))
        keys = list(container) if isinstance(container, dict) else list(range(len(container)))
        if not keys:
            continue
        key = draw(st.sampled_from(keys))
        if draw(st.booleans()):
            container[key] = deepcopy(draw(ODD_VALUES))
        else:
            del container[key]
    return json.dumps(document, indent=draw(st.sampled_from([None, 1]))).encode()


def check(value: bytes) -> CheckReport:
    return check_configuration(file="file", value=value, in_force=None, requests_per_s_by_route={})


def can_be_used(value: bytes) -> bool:
    """Return whether the hosts' own code takes a configuration and what follows from it."""
    try:
        table = decode_routes(value)
        for service in read_configuration(value).services:
            check_server("a", int(service.entry.ramp_s * 1_000))
        return are_routes_used(table)
    except DecodeError:
        return False


def check_server(service: str, slow_start_ms: int) -> None:
    entry = build_server_entry(
        service=service, address="10.0.0.1:80", slow_start_left_ms=slow_start_ms
    )
    decode_server("i-1", json.dumps(entry).encode())


def are_routes_used(table: RouteTable) -> bool:
    history = RoutesHistory()
    history.add(table, 1)
    services = {share.service for route in table.routes.values() for share in route.shares}
    for service in services:
        check_server(service, 0)
    routes = ServerList(routes=table, servers=(), revision=1, routes_revision=1)
    return (
        # Routes that are not added are not passed on.
        history.build_difference(0) is not None
        and table.version == int(float(table.version)) <= 2**53
        and decode_snapshot(encode_snapshot(routes)) == routes
        and read_labels(services) == services
    )


def read_labels(services: set[str]) -> set[str]:
    """Return the services in the metrics of a host that has counted a packet of each."""
    metrics = SteeringMetrics()
    for service in services:
        metrics.count("packets_total", "opened", service)
    try:
        families = list(text_string_to_metric_families(metrics.render(GAUGES)[0].decode()))
    except ValueError:
        return set()
    samples = [sample for family in families for sample in family.samples]
    return {sample.labels["service"] for sample in samples if "service" in sample.labels}


@given(configurations())
@example(b'{"Version": "1", "Version": 1, "Routes": []}')
@example(b'{"Version": 1, "Routes": [], "Other": "\xff"}')
@example(b'{"Version": 1, "Routes": [], "Other": 1e999}')
@example(b'{"Version": 1, "Routes": [], "Other": ' + b"[" * 5_000 + b"]" * 5_000 + b"}")
def test_a_file_has_no_errors_if_and_only_if_the_hosts_can_use_it(value: bytes) -> None:
    assert (not check(value).errors) == can_be_used(value)


@given(st.one_of(st.binary(max_size=60), st.text(alphabet='{}[]":,\\x1 \n', max_size=60)))
def test_any_text_is_rejected_as_by_the_decoder(value: bytes | str) -> None:
    encoded = value if isinstance(value, bytes) else value.encode()
    with pytest.raises(DecodeError):
        decode_routes(encoded)
    assert check(encoded).errors
