"""Guards against accepting malformed entries of other writers as servers or routes."""

import json
from ipaddress import IPv4Address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import RouteAddress, RouteKind, ServiceShare
from redwingswitch._internal.platform.entries import decode_routes, decode_server
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)

ENTRY = build_server_entry(service="job-board", address="10.0.0.1:8080", slow_start_left_ms=300)


def encoded(value: object) -> bytes:
    return json.dumps(value).encode()


def test_an_entry() -> None:
    server = decode_server("i-7f3a91c2", encoded(ENTRY))
    assert (server.address, server.port) == ("10.0.0.1", 8080)
    assert server.state is ServerState.ACTIVE
    assert server.slow_start_left_ms == 300
    assert server.tunnel_prefix == bytes.fromhex("000000007f3a91c2")


@pytest.mark.parametrize(
    ("change", "server_id"),
    [
        pytest.param({"State": "warming"}, "i-1", id="unknown state"),
        pytest.param({"State": None}, "i-1", id="no state"),
        pytest.param({"Slots": "two"}, "i-1", id="another type"),
        pytest.param({"Address": "10.0.0.1"}, "i-1", id="no port"),
        pytest.param({"Address": "10.0.0.1:0"}, "i-1", id="port 0"),
        pytest.param({"Address": "10.0.0.1:99999"}, "i-1", id="port out of range"),
        pytest.param({"Address": "huon:8080"}, "i-1", id="a host name"),
        pytest.param({"Address": 7}, "i-1", id="address of another type"),
        pytest.param({"Service": ["job-board"]}, "i-1", id="service of another type"),
        pytest.param({}, "i-", id="id without a number"),
        pytest.param({}, "i-11112222333344445", id="id with a number that is too long"),
    ],
)
def test_entries_that_name_no_server(change: dict[str, object], server_id: str) -> None:
    with pytest.raises(DecodeError):
        decode_server(server_id, encoded({**ENTRY, **change}))


@pytest.mark.parametrize(
    "missing", ["Service", "Address", "Zone", "Slots", "State", "RampLeftMs", "Seq"]
)
def test_entries_with_a_missing_field(missing: str) -> None:
    with pytest.raises(DecodeError):
        decode_server("i-1", encoded({k: v for k, v in ENTRY.items() if k != missing}))


def test_new_fields_are_ignored() -> None:
    assert decode_server("i-1", encoded({**ENTRY, "Colour": "red"})).service == "job-board"


@given(st.binary(max_size=60))
def test_any_bytes_are_read_or_refused(value: bytes) -> None:
    for decode in (lambda: decode_server("i-1", value), lambda: decode_routes(value)):
        with pytest.raises(DecodeError):
            decode()


def test_routes() -> None:
    document = build_configuration(
        version=7,
        routes=[
            StandinRoute("198.18.0.1", 8443, "job-board"),
            StandinRoute("198.18.0.2", 443, "photos", "download"),
            StandinRoute("198.18.0.1", 80, "job-board", "non_idempotent"),
        ],
    )
    document["Routes"][0]["Split"] = [  # type: ignore[index]
        {"Service": "job-board", "Weight": 90},
        {"Service": "photos", "Weight": 10},
    ]
    table = decode_routes(encoded(document))
    assert table.version == 7
    assert table.idle_limit_ms == 15_000
    route = table.routes[RouteAddress(int(IPv4Address("198.18.0.1")), 8443)]
    assert route.shares == (ServiceShare("job-board", 90.0), ServiceShare("photos", 10.0))
    kinds = [route.kind for route in table.routes.values()]
    assert kinds == [RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD, RouteKind.NON_IDEMPOTENT]


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"Prefix": "8443"}, id="port without slashes"),
        pytest.param({"Prefix": "/99999/"}, id="port out of range"),
        pytest.param({"Host": "huon"}, id="a host name"),
        pytest.param({"Type": "maybe"}, id="unknown kind"),
    ],
)
def test_configurations_that_cannot_be_read(change: dict[str, object]) -> None:
    document = build_configuration(version=1, routes=[StandinRoute("198.18.0.1", 1, "job-board")])
    document["Routes"][0].update(change)  # type: ignore[index]
    with pytest.raises(DecodeError):
        decode_routes(encoded(document))
