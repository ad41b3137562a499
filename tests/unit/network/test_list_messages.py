"""Guards against list datagrams that crash the receiver or are accepted although invalid."""

import contextlib
import zlib

import logbook
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.decisions.list_sharing.datagram_parts import (
    MAX_PART_BYTES,
    split_snapshot,
)
from redwingswitch._internal.decisions.list_sharing.feed import MAX_CHANGES_PER_UPDATE
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.cookie_flows import (
    Route,
    RouteAddress,
    ServiceShare,
    ServiceSlowStart,
)
from redwingswitch._internal.models.list_readers import ListReader, Neighbour, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    FeedChange,
    FeedRequest,
    FeedUpdate,
    ListOffer,
    RoutesDifference,
    RoutesPart,
    RoutesRequest,
    SnapshotPart,
    SnapshotRequest,
)
from redwingswitch._internal.models.load_sharing import (
    MAX_AGE_CS,
    MAX_UNCONFIRMED_HOSTS,
    DomainLoad,
    LoadReport,
    LoadSummary,
    LoadSums,
    RouteSums,
    ServerSums,
    ServiceBusy,
)
from redwingswitch._internal.models.server_list import OutOfService, ServerChange, ServerList
from redwingswitch._internal.network import list_messages
from redwingswitch._internal.network.list_messages import (
    LIST_SCHEMA_VERSION,
    ListDatagram,
    ListMessage,
    decode_list_message,
    decode_routes_difference,
    decode_snapshot,
    encode_list_message,
    encode_routes_difference,
    encode_snapshot,
)
from tests.lib.cookie_flows import route, route_table, server

MAX_LIST_DATAGRAM_BYTES = 1_200
UPDATE = FeedUpdate(
    feed=7,
    first_position=3,
    from_revision=40,
    changes=(
        FeedChange(41, ServerChange("i-1", server("i-1"), is_listed=True)),
        FeedChange(42, ServerChange("i-2", None, is_listed=False)),
    ),
    end_position=5,
    revision=42,
    outages=1,
    list_age_ms=12,
    request_sent_ms=2**40,
    routes_version=2**40,
    out_of_service=OutOfService(frozenset({"hakata-depot"}), 2**40),
    neighbour=Neighbour("10.200.100.100", 7720),
    routes_age_ms=900,
    routes_revision=2**40,
)
# As it is sent: the receiver takes the feed from the sender's incarnation.
SENT_UPDATE = UPDATE._replace(feed=0)
SLOW_START = ServiceSlowStart("job-board", 2.5, 30_000)
SNAPSHOT = ServerList(
    routes=route_table()._replace(slow_starts=(SLOW_START,)),
    servers=(ServerChange("i-1", server("i-1"), is_listed=True),),
    revision=42,
    reader=RegisteredReader(ListReader("entry-1", "10.0.0.1", 7720, 9), 40),
    routes_revision=17,
    out_of_service=OutOfService(frozenset({"hakata-depot", "huon"}), 41),
)


SUMS = LoadSums(
    servers=(ServerSums(2**32 - 1, 3, 25, 40, 2, 1, 7, MAX_AGE_CS, 5),),
    routes=(RouteSums(2**32 - 1, 443, 57, 55, 130, 220),),
    services=(ServiceBusy(1, 2, 3),),
)
REPORT = LoadReport(9, 2**40, (7,), SUMS)
SUMMARY = LoadSummary(2**40, 3, 20, 60, 3, SUMS)
DOMAIN_LOAD = DomainLoad("hakata-depot", 9, 20, SUMS)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(FeedRequest(7, 3, 2**60, 2**40), id="request"),
        pytest.param(UPDATE, id="update"),
        pytest.param(UPDATE._replace(neighbour=None), id="update without neighbour"),
        pytest.param(ListOffer(2**60), id="offer"),
        pytest.param(SnapshotRequest(2**60), id="snapshot request"),
        pytest.param(SnapshotPart(3, 1, 2, b"part"), id="snapshot part"),
        pytest.param(RoutesRequest(2**60), id="routes request"),
        pytest.param(RoutesPart(3, 1, 2, b"part"), id="routes part"),
        pytest.param(REPORT, id="load report"),
        pytest.param(SUMMARY, id="load summary"),
        pytest.param(DOMAIN_LOAD, id="load of a domain"),
    ],
)
def test_messages_round_trip(message: ListMessage) -> None:
    data = encode_list_message(incarnation=7, message=message)
    assert decode_list_message(data) == ListDatagram(7, message)


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_decode_error(data: bytes) -> None:
    with contextlib.suppress(DecodeError):
        decode_list_message(data)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param([LIST_SCHEMA_VERSION + 1, 7, 0, 7, 3, 9, 5], id="another version"),
        pytest.param([LIST_SCHEMA_VERSION, 7, 10, 7, 3, 9, 5], id="unknown kind"),
        pytest.param([LIST_SCHEMA_VERSION, -1, 0, 7, 3, 9, 5], id="negative incarnation"),
        pytest.param([LIST_SCHEMA_VERSION, 7, 0, 7, 3, 9], id="missing field"),
        pytest.param([LIST_SCHEMA_VERSION, 7, 0, 7, "3", 9, 5], id="wrong type"),
        pytest.param([LIST_SCHEMA_VERSION, 8, 1, *UPDATE], id="the feed of another host"),
        pytest.param(
            [LIST_SCHEMA_VERSION, 7, 1, *SENT_UPDATE[:-1], ["entry-3", 7720]],
            id="a neighbour's name",
        ),
        pytest.param(
            [LIST_SCHEMA_VERSION, 7, 1, *SENT_UPDATE[:-1], ["10.0.0.3", 77_200]],
            id="a neighbour's invalid port",
        ),
    ],
)
def test_invalid_messages_are_rejected(fields: list[object]) -> None:
    with pytest.raises(DecodeError):
        decode_list_message(msgspec.msgpack.encode(fields))


def test_an_update_is_of_its_senders_feed() -> None:
    # The feed takes 9 bytes, which the reader would send to each follower twice a second.
    data = msgspec.msgpack.encode([LIST_SCHEMA_VERSION, 7, 1, *SENT_UPDATE])
    assert data == encode_list_message(incarnation=7, message=UPDATE)
    assert decode_list_message(data).message == UPDATE


def test_fields_of_newer_versions_are_ignored() -> None:
    data = msgspec.msgpack.encode([LIST_SCHEMA_VERSION, 7, 0, 7, 3, 9, 5, "new"])
    assert decode_list_message(data).message == FeedRequest(7, 3, 9, 5)


def test_a_full_update_fits_into_a_datagram() -> None:
    long_server = server("i-0123456789")._replace(
        service="s" * 24, failure_domain="hakata-depot", instance=2**41, address="10.200.100.100"
    )
    change = FeedChange(2**40, ServerChange(long_server.server_id, long_server, is_listed=True))
    full_update = UPDATE._replace(changes=(change,) * MAX_CHANGES_PER_UPDATE)
    assert len(encode_list_message(incarnation=7, message=full_update)) <= MAX_LIST_DATAGRAM_BYTES


def test_a_full_part_of_a_snapshot_fits_into_a_datagram() -> None:
    part, _ = split_snapshot(b"\xff" * (MAX_PART_BYTES + 1), transfer=2**32)
    data = encode_list_message(incarnation=2**53, message=part)
    assert len(data) <= MAX_LIST_DATAGRAM_BYTES


def test_a_snapshot_round_trips() -> None:
    assert decode_snapshot(encode_snapshot(SNAPSHOT)) == SNAPSHOT


@given(st.binary(max_size=200), st.booleans())
def test_any_snapshot_bytes_decode_or_raise_decode_error(data: bytes, is_compressed: bool) -> None:
    with contextlib.suppress(DecodeError):
        decode_snapshot(zlib.compress(data) if is_compressed else data)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(encode_snapshot(SNAPSHOT)[:-1], id="its end is missing"),
        pytest.param(zlib.compress(msgspec.msgpack.encode([99, 1])), id="another version"),
        pytest.param(zlib.compress(bytes(10_000)), id="too long"),
    ],
)
def test_invalid_snapshots_are_rejected(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_messages, "MAX_DECOMPRESSED_BYTES", 5_000)
    with pytest.raises(DecodeError):
        decode_snapshot(data)


DIFFERENCE = RoutesDifference(
    base_version=3,
    version=2**40,
    revision=17,
    idle_limit_ms=30_000,
    changed=tuple(route_table().routes.values()),
    removed=(RouteAddress(2**32 - 1, 443),),
    slow_starts=(SLOW_START,),
)


def test_a_difference_of_routes_round_trips() -> None:
    assert decode_routes_difference(encode_routes_difference(DIFFERENCE)) == DIFFERENCE


@given(data=st.binary(), is_compressed=st.booleans())
def test_any_difference_bytes_decode_or_raise_decode_error(
    data: bytes, is_compressed: bool
) -> None:
    with contextlib.suppress(DecodeError):
        decode_routes_difference(zlib.compress(data) if is_compressed else data)


UNUSABLE_SERVERS = [
    pytest.param({"port": 65_536}, id="port out of range"),
    pytest.param({"address": "huon"}, id="a host name"),
    pytest.param({"address": "0.0.0.0"}, id="no host's address"),
    pytest.param({"slots": 2**60}, id="too many slots"),
    pytest.param({"slots": 0}, id="no slots"),
    pytest.param({"tunnel_prefix": b"1"}, id="short tunnel prefix"),
    pytest.param({"service": "a\nb"}, id="service of two lines"),
    pytest.param({"failure_domain": "x" * 1_000}, id="long failure domain"),
    pytest.param({"server_id": "i-9"}, id="another server"),
]


@pytest.mark.parametrize("fields", UNUSABLE_SERVERS)
def test_an_unusable_entry_from_another_host_costs_only_that_entry(
    fields: dict[str, object],
) -> None:
    # A port out of range raised an error in the packet path of each host that received the entry.
    odd = ServerChange("i-1", server("i-1")._replace(**fields), is_listed=True)  # type: ignore[arg-type]
    good = ServerChange("i-2", server("i-2"), is_listed=True)
    update = UPDATE._replace(changes=(FeedChange(41, odd), FeedChange(42, good)))
    with logbook.TestHandler() as handler:
        decoded = decode_list_message(encode_list_message(incarnation=7, message=update)).message
        fleet = decode_snapshot(encode_snapshot(SNAPSHOT._replace(servers=(odd, good))))
    unusable = ServerChange("i-1", None, is_listed=True)
    assert isinstance(decoded, FeedUpdate)
    assert [each.change for each in decoded.changes] == [unusable, good]
    assert fleet.servers == (unusable, good)
    assert len(handler.records) == 2


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"list_age_ms": -1}, id="a list from the future"),
        pytest.param({"routes_age_ms": -1}, id="routes from the future"),
        pytest.param({"routes_revision": -1}, id="routes of no revision"),
        pytest.param({"first_position": -1}, id="a position before the first"),
        pytest.param({"out_of_service": OutOfService(frozenset(), -1)}, id="negative revision"),
        pytest.param({"out_of_service": OutOfService(frozenset({"a\nb"}), 1)}, id="odd domain"),
        pytest.param({"out_of_service": (("huon", 7), 1)}, id="a number as a domain"),
        pytest.param({"neighbour": Neighbour("10.0.0.1", 65_536)}, id="port out of range"),
    ],
)
def test_an_update_with_impossible_numbers_is_rejected(fields: dict[str, object]) -> None:
    update = UPDATE._replace(**fields)  # type: ignore[arg-type]
    with pytest.raises(DecodeError):
        decode_list_message(encode_list_message(incarnation=7, message=update))


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(REPORT._replace(sent_ms=-1), id="a time before the clock began"),
        pytest.param(REPORT._replace(answered=(2**32,)), id="no id of a server"),
        pytest.param(REPORT._replace(answered=(1,) * 65), id="too many answers"),
        pytest.param(SUMMARY._replace(rank=20), id="a rank beyond the hosts"),
        pytest.param(SUMMARY._replace(host_count=0, rank=0), id="no hosts"),
        pytest.param(SUMMARY._replace(total_hosts=10), id="more hosts than all"),
        pytest.param(DOMAIN_LOAD._replace(failure_domain=""), id="no failure domain"),
        pytest.param(DOMAIN_LOAD._replace(host_count=-1), id="fewer hosts than none"),
        *(
            pytest.param(REPORT._replace(sums=SUMS._replace(**{field: entries})), id=name)
            for name, field, entries in (
                ("too many servers", "servers", SUMS.servers * 25),
                ("too many routes", "routes", SUMS.routes * 33),
                ("too many services", "services", SUMS.services * 33),
                ("a negative count", "servers", (SUMS.servers[0]._replace(busy_flows=-1),)),
                ("an age beyond all", "servers", (SUMS.servers[0]._replace(answer_age_cs=251),)),
                ("an endless sum", "routes", (SUMS.routes[0]._replace(service_time_ms=2**60),)),
                ("no port", "routes", (SUMS.routes[0]._replace(port=65_536),)),
                ("no service", "services", (SUMS.services[0]._replace(service=-1),)),
            )
        ),
    ],
)
def test_load_with_impossible_numbers_is_rejected(message: ListMessage) -> None:
    with pytest.raises(DecodeError):
        decode_list_message(encode_list_message(incarnation=7, message=message))


@pytest.mark.parametrize("message", [REPORT, SUMMARY, DOMAIN_LOAD])
def test_sums_of_an_earlier_version_name_no_unconfirmed_hosts(
    message: LoadReport | LoadSummary | DomainLoad,
) -> None:
    # Otherwise hosts of two versions could not work together during an update.
    earlier = SUMS._replace(servers=tuple(each[:8] for each in SUMS.servers))  # type: ignore[arg-type]
    data = encode_list_message(incarnation=7, message=message._replace(sums=earlier))
    expected = SUMS._replace(servers=(SUMS.servers[0]._replace(unconfirmed_hosts=0),))
    assert decode_list_message(data).message == message._replace(sums=expected)


def test_unconfirmed_hosts_take_at_most_two_bytes_for_each_server() -> None:
    entry = SUMS.servers[0]._replace(unconfirmed_hosts=MAX_UNCONFIRMED_HOSTS)
    sizes = [
        len(encode_list_message(incarnation=7, message=REPORT._replace(sums=sums)))
        for sums in (
            SUMS._replace(servers=(entry[:8],) * 24),  # type: ignore[arg-type]
            SUMS._replace(servers=(entry,) * 24),
        )
    ]
    assert sizes[1] - sizes[0] <= 2 * 24


@pytest.mark.parametrize("message", [REPORT, SUMMARY, DOMAIN_LOAD])
def test_full_sums_fit_into_a_datagram(message: LoadReport | LoadSummary | DomainLoad) -> None:
    # 8 routes and 12 pairs of service and failure domain, as of a large deployment.
    sums = LoadSums(
        servers=(ServerSums(2**32 - 1, 999, 60_000, 60_000, 99, 99, 200, 200, 255),) * 24,
        routes=(RouteSums(2**32 - 1, 65_535, 60_000, 60_000, 2**20, 9_999),) * 8,
        services=(ServiceBusy(2**32 - 1, 2**32 - 1, 9_999),) * 12,
    )
    data = encode_list_message(incarnation=2**53, message=message._replace(sums=sums))
    assert len(data) <= MAX_LIST_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param(
            {"reader": RegisteredReader(ListReader("entry-1", "10.0.0.1", 65_536, 9), 40)},
            id="port out of range",
        ),
        pytest.param({"out_of_service": OutOfService(frozenset({""}), 1)}, id="domain of no name"),
    ],
)
def test_a_snapshot_with_impossible_fields_is_rejected(fields: dict[str, object]) -> None:
    fleet = SNAPSHOT._replace(**fields)  # type: ignore[arg-type]
    with pytest.raises(DecodeError):
        decode_snapshot(encode_snapshot(fleet))


ROUTE = route(RouteAddress(1, 443), "job-board")


@pytest.mark.parametrize(
    "changed",
    [
        # A packet of the first raised IndexError on each host that had taken the routes.
        pytest.param(ROUTE._replace(shares=()), id="no service"),
        pytest.param(
            ROUTE._replace(shares=(ServiceShare("a", float("nan")),)), id="weight no number"
        ),
        pytest.param(
            ROUTE._replace(shares=(ServiceShare("a", float("inf")),)), id="weight without end"
        ),
        pytest.param(ROUTE._replace(shares=(ServiceShare("a", -1.0),)), id="negative weight"),
        pytest.param(ROUTE._replace(destination=RouteAddress(-1, 443)), id="negative address"),
        pytest.param(ROUTE._replace(destination=RouteAddress(1, 65_536)), id="port out of range"),
        pytest.param(ROUTE._replace(timeout_ms=-1), id="negative timeout"),
        pytest.param(ROUTE._replace(latency_goal_ms=2**63), id="latency goal beyond 63 bits"),
        pytest.param(ROUTE._replace(priority=-1), id="negative priority"),
        pytest.param(ServiceSlowStart("a", float("nan"), 1), id="rate no number"),
        pytest.param(ServiceSlowStart("a", 1.0, -1), id="negative duration"),
    ],
)
def test_routes_that_no_packet_can_be_steered_by_are_rejected(
    changed: Route | ServiceSlowStart,
) -> None:
    routes = (changed if isinstance(changed, Route) else ROUTE,)
    slow_starts = () if isinstance(changed, Route) else (changed,)
    table = route_table(*routes)._replace(slow_starts=slow_starts)
    with pytest.raises(DecodeError):
        decode_snapshot(encode_snapshot(SNAPSHOT._replace(routes=table)))
    difference = RoutesDifference(0, 1, 1, 1, routes, (), slow_starts)
    with pytest.raises(DecodeError):
        decode_routes_difference(encode_routes_difference(difference))
