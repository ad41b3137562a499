"""Guards against accepting malformed entries of other writers as servers or routes."""

import json
from ipaddress import IPv4Address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.decisions.cookies.cookie import flow_cookie
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.configuration import ServerState
from redwingswitch._internal.models.cookie_flows import (
    RouteAddress,
    RouteKind,
    ServiceShare,
    ServiceSlowStart,
)
from redwingswitch._internal.models.server_list import ServerChange, ServerList
from redwingswitch._internal.network.list_messages import decode_snapshot, encode_snapshot
from redwingswitch._internal.platform.entries import (
    decode_reader,
    decode_routes,
    decode_server,
)
from redwingswitch._internal.platform.standins.documents import (
    StandinRoute,
    build_configuration,
    build_server_entry,
)
from tests.lib.cookie_flows import route_table

ENTRY = build_server_entry(service="job-board", address="10.0.0.1:8080", slow_start_left_ms=300)


def encoded(value: object) -> bytes:
    return json.dumps(value).encode()


def replaced(value: object, text: str, replacement: str) -> bytes:
    """Return a value as JSON with a replaced part, after asserting that it has this part."""
    whole = json.dumps(value)
    assert text in whole
    return whole.replace(text, replacement).encode()


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
    "missing", ["Service", "Address", "Zone", "Slots", "State", "RampLeftMs", "Seq", "Version"]
)
def test_entries_with_a_missing_field(missing: str) -> None:
    with pytest.raises(DecodeError):
        decode_server("i-1", encoded({k: v for k, v in ENTRY.items() if k != missing}))


@pytest.mark.parametrize("service", ["order desk", "\u6ce8\u6587", "x" * 128])
def test_usual_names_are_accepted(service: str) -> None:
    assert decode_server("i-1", encoded({**ENTRY, "Service": service})).service == service


@pytest.mark.parametrize("left_ms", [3_600_001, 2**53, 2**53 * 1_000])
def test_a_server_in_a_long_slow_start_can_be_used(left_ms: int) -> None:
    # The document allows any RampS. Entries with more than an hour were refused, so that all
    # servers of the service were unknown until their slow start had less than an hour left.
    server = decode_server("i-1", encoded({**ENTRY, "RampLeftMs": left_ms}))
    assert server.slow_start_left_ms == 3_600_000


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


@pytest.mark.parametrize(
    ("service", "expected"),
    [
        pytest.param({"RampS": 30, "RampPerS": 4.5}, (4.5, 30_000), id="limited"),
        pytest.param({"RampPerS": 4}, (4.0, 0), id="duration missing"),
        pytest.param({"RampS": 2**53, "RampPerS": 4}, (4.0, 2**53 * 1_000), id="longest"),
        pytest.param({"RampS": 30}, None, id="rate missing"),
        pytest.param({"RampS": 30, "RampPerS": 0}, None, id="rate 0"),
        pytest.param({"RampS": None, "RampPerS": None}, None, id="null"),
        pytest.param({"RampPerS": -1}, None, id="negative rate"),
        pytest.param({"RampPerS": 1e300}, None, id="rate too large"),
        pytest.param({"RampPerS": "4"}, None, id="rate of another type"),
        pytest.param({"Name": 7, "RampPerS": 4}, None, id="name of another type"),
    ],
)
def test_a_slow_start_is_read_and_an_odd_one_costs_only_itself(
    service: dict[str, object], expected: tuple[float, int] | None
) -> None:
    document = build_configuration(version=1, routes=[StandinRoute("198.18.0.1", 1, "job-board")])
    document["Services"] = [
        {"Name": "job-board", **service},
        {"Name": "photos", "RampPerS": 2, "RampS": 1},
    ]
    table = decode_routes(encoded(document))
    known = [] if expected is None else [ServiceSlowStart("job-board", *expected)]
    assert table.slow_starts == (*known, ServiceSlowStart("photos", 2.0, 1_000))
    assert len(table.routes) == 1
    fleet = ServerList(routes=table, servers=(), revision=1)
    assert decode_snapshot(encode_snapshot(fleet)).routes == table


DEEP = 100_000


@pytest.mark.parametrize(
    ("text", "replacement"),
    [
        # Each of these ended the process, here or when the entry was passed on, or flooded the log.
        pytest.param('"v1"', "[" * DEEP + "]" * DEEP, id="nested deeply"),
        pytest.param('"Slots": 2', '"Slots": 1' + "0" * 30, id="slots beyond 64 bits"),
        pytest.param('"Slots": 2', '"Slots": 1' + "0" * 5_000, id="slots of 5,000 digits"),
        pytest.param('"Slots": 2', '"Slots": -2', id="negative slots"),
        pytest.param('"Slots": 2', '"Slots": 2.5', id="a part of a slot"),
        pytest.param('"Seq": 1', '"Seq": 1.5', id="a part of a report"),
        pytest.param('"born": 1', '"born": 1.5', id="a part of a start time"),
        pytest.param('"Seq": 1', '"Seq": 1' + "0" * 30, id="report number beyond 64 bits"),
        pytest.param('"Seq": 1', '"Seq": -1', id="negative report number"),
        pytest.param('"born": 1', '"born": 1' + "0" * 30, id="start time beyond 64 bits"),
        pytest.param('"born": 1', '"born": -1', id="negative start time"),
        pytest.param('"RampLeftMs": 300', '"RampLeftMs": 1e300', id="slow start without end"),
        pytest.param('"RampLeftMs": 300', '"RampLeftMs": 1e400', id="a number too large"),
        pytest.param("10.0.0.1:8080", "10.0.0.1:" + "9" * 5_000, id="port of 5,000 digits"),
        pytest.param("10.0.0.1:8080", "10.0.0.1:65536", id="port out of range"),
        pytest.param("10.0.0.1:8080", "10.0.0.1:\u0668\u0660", id="port in other digits"),
        pytest.param("10.0.0.1:8080", "0.0.0.0:8080", id="no host's address"),
        pytest.param("10.0.0.1:8080", "224.0.0.1:8080", id="address of a group"),
        pytest.param("10.0.0.1:8080", "255.255.255.255:8080", id="address of all hosts"),
        pytest.param('"job-board"', '"job\\nboard"', id="service of two lines"),
        pytest.param('"job-board"', '""', id="no service"),
        pytest.param('"job-board"', '"' + "x" * 100_000 + '"', id="service with a long name"),
        pytest.param('"huon"', '"' + "x" * 100_000 + '"', id="failure domain with a long name"),
        pytest.param('"ready"', '"' + "\\n" * 100_000 + '"', id="state of many lines"),
    ],
)
def test_an_entry_that_no_later_step_can_use_is_refused(text: str, replacement: str) -> None:
    value = replaced(ENTRY, text, replacement)
    with pytest.raises(DecodeError) as caught:
        decode_server("i-1", value)
    message = str(caught.value)
    assert "'i-1'" in message
    assert len(message) < 400
    assert message.isprintable()


@pytest.mark.parametrize("server_id", ["i\n-1", "i -1", "x" * 200 + "-1"])
def test_an_id_that_no_log_line_can_carry_is_refused(server_id: str) -> None:
    with pytest.raises(DecodeError):
        decode_server(server_id, encoded(ENTRY))


@pytest.mark.parametrize(
    ("text", "replacement"),
    [
        pytest.param('"Version": 1', '"Version": 1' + "0" * 30, id="version beyond 64 bits"),
        pytest.param('"Version": 1', '"Version": -1', id="negative version"),
        pytest.param('"Version": 1', '"Version": 1.5', id="a part of a version"),
        pytest.param('"Priority": 2', '"Priority": 2.5', id="a part of a priority"),
        pytest.param('"TimeoutMs": 2000', '"TimeoutMs": 1e300', id="timeout without end"),
        pytest.param('"Priority": 2', '"Priority": 1' + "0" * 30, id="priority beyond 64 bits"),
        pytest.param('"Limits"', '"X": ' + "[" * DEEP + "]" * DEEP + ', "Limits"', id="nested"),
    ],
)
def test_a_configuration_that_no_later_step_can_use_is_refused(text: str, replacement: str) -> None:
    document = build_configuration(version=1, routes=[StandinRoute("198.18.0.1", 1, "job-board")])
    value = replaced(document, text, replacement)
    with pytest.raises(DecodeError):
        decode_routes(value)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param('"incarnation":1' + "0" * 30 + ',"port":1', id="incarnation beyond 64 bits"),
        pytest.param('"incarnation":1,"port":65536', id="port out of range"),
        pytest.param('"incarnation":1,"port":1,"host":"a\\nb"', id="host of two lines"),
        pytest.param('"incarnation":1,"port":1,"host":""', id="no host"),
        pytest.param('"incarnation":1,"port":1,"x":' + "[" * DEEP + "]" * DEEP, id="nested"),
    ],
)
def test_a_readers_record_that_no_later_step_can_use_is_refused(fields: str) -> None:
    value = '{"host":"h","address":"10.0.0.1",%s}'
    assert decode_reader((value % '"incarnation":1,"port":1').encode()).host == "h"
    with pytest.raises(DecodeError):
        decode_reader((value % fields).encode())


@pytest.mark.parametrize(
    ("text", "replacement"),
    [
        pytest.param('"Slots": 2', '"Slots": 2.0', id="slots"),
        pytest.param('"Seq": 1', '"Seq": 1.0', id="report number"),
        pytest.param('"born": 1', '"born": 1.0', id="start time"),
        pytest.param('"RampLeftMs": 300', '"RampLeftMs": 300.4', id="slow start"),
    ],
)
def test_figures_of_an_entry_may_be_written_with_a_fraction(text: str, replacement: str) -> None:
    # A server whose entry cannot be decoded gets no flows.
    read = decode_server("i-1", replaced(ENTRY, text, replacement))
    assert read == decode_server("i-1", encoded(ENTRY))
    assert type(read.slots) is type(read.report_number) is type(read.instance) is int


@pytest.mark.parametrize(
    ("text", "replacement"),
    [
        pytest.param('"Version": 1', '"Version": 1.0', id="version"),
        pytest.param('"Priority": 2', '"Priority": 2.0', id="priority"),
        pytest.param('"TimeoutMs": 2000', '"TimeoutMs": 2000.5', id="timeout"),
        pytest.param('"IdleTimeoutMs": 15000', '"IdleTimeoutMs": 15000.5', id="idle limit"),
    ],
)
def test_figures_of_a_configuration_may_have_a_fraction(text: str, replacement: str) -> None:
    document = build_configuration(version=1, routes=[StandinRoute("198.18.0.1", 1, "job-board")])
    read = decode_routes(replaced(document, text, replacement))
    assert read == decode_routes(encoded(document))
    assert type(read.version) is type(read.idle_limit_ms) is int


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@given(
    field=st.sampled_from([*ENTRY, "other"]),
    value=JSON_VALUES,
    server_id=st.sampled_from(["i-1"]) | st.text(),
)
def test_an_accepted_entry_can_be_passed_on_and_logged(
    field: str, value: object, server_id: str
) -> None:
    # What a decoder accepts must also pass the messages between hosts and the log.
    try:
        server = decode_server(server_id, encoded({**ENTRY, field: value}))
    except DecodeError as error:
        assert len(str(error)) < 2_000
        return
    change = ServerChange(server.server_id, server, is_listed=True)
    fleet = ServerList(routes=route_table(), servers=(change,), revision=1)
    assert decode_snapshot(encode_snapshot(fleet)).servers == (change,)
    assert f"{server.service}{server.failure_domain}{server.server_id}".isprintable()
    assert flow_cookie(server_id=server.server_id, destination=RouteAddress(1, 1))
