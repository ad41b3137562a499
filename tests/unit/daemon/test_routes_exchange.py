"""Guards against routes that a follower reads from the store although its reader has them.

A change of the routes used to cost two calls for each host of a failure domain.
"""

import random

import pytest

from redwingswitch._internal.daemon import routes_exchange
from redwingswitch._internal.decisions.list_sharing.datagram_parts import split_routes
from redwingswitch._internal.models.cookie_flows import RouteAddress, RouteTable
from redwingswitch._internal.models.list_readers import ListReader, Neighbour, RegisteredReader
from redwingswitch._internal.models.list_sharing import (
    RoutesDifference,
    RoutesPart,
    RoutesRequest,
)
from redwingswitch._internal.network.list_messages import ListMessage, encode_routes_difference
from tests.lib.cookie_flows import route_table
from tests.lib.routes_host import RoutesHost

READER = ListReader("entry-1", "10.0.0.1", 7720, 6)
FOLLOWER = ListReader("entry-2", "10.0.0.2", 7720, 8)
READER_AT = Neighbour(READER.address, READER.port)
FOLLOWER_AT = Neighbour(FOLLOWER.address, FOLLOWER.port)


def table(version: int, *, route_count: int = 2) -> RouteTable:
    """Return a version of the routes, with random names, that do not compress well."""
    names = random.Random(version)
    route = next(iter(route_table().routes.values()))
    routes = [
        route._replace(
            destination=RouteAddress(names.getrandbits(32), port), name=names.randbytes(30).hex()
        )
        for port in range(1, route_count + 1)
    ]
    return RouteTable(version, {each.destination: each for each in routes}, idle_limit_ms=1_000)


class Host(RoutesHost):
    """A host that keeps the messages that it sent."""

    def __init__(self, *, local: ListReader, registered: ListReader | None = READER) -> None:
        self.sent: list[tuple[ListMessage, Neighbour]] = []
        super().__init__(
            local=local, send=lambda message, receiver: self.sent.append((message, receiver))
        )
        if registered is not None:
            self.sharing.on_reader_registered(RegisteredReader(registered, 4), 0)

    def results(self) -> set[str]:
        return {labels[0] for labels in self.metrics.counts["list_updates_total"]}


def transfer(source: Host, target: Host) -> None:
    """Deliver all that ``source`` sent."""
    for message, _ in source.sent:
        assert isinstance(message, RoutesRequest | RoutesPart)
        target.exchange.on_message(message, incarnation=source.local.incarnation, sender=source.at)
    source.sent.clear()


@pytest.mark.parametrize("route_count", [2, 200])
@pytest.mark.parametrize("known", [0, 1, 3])
def test_a_follower_gets_the_routes_that_it_lacks(known: int, route_count: int) -> None:
    reader, follower = Host(local=READER), Host(local=FOLLOWER)
    for version in (1, 2, 3):
        reader.history.add(table(version, route_count=route_count), 10 * version)
    if known:
        follower.history.add(table(known, route_count=route_count), 10 * known)
    follower.exchange.request_routes()
    assert [receiver for _, receiver in follower.sent] == [READER_AT]
    transfer(follower, reader)
    assert {receiver for _, receiver in reader.sent} == {FOLLOWER_AT}
    transfer(reader, follower)
    assert follower.version_in_force == 3
    difference = follower.build_routes_difference(0)
    assert difference is not None
    assert {r.destination: r for r in difference.changed} == table(
        3, route_count=route_count
    ).routes
    assert follower.results() == {"routes_taken"}


@pytest.mark.parametrize(
    ("local", "registered"),
    [
        pytest.param(FOLLOWER, READER, id="another host is the reader"),
        pytest.param(READER, None, id="no host is the reader"),
    ],
)
def test_only_the_reader_sends_routes(local: ListReader, registered: ListReader | None) -> None:
    host = Host(local=local, registered=registered)
    host.history.add(table(1), 10)
    host.exchange.on_message(RoutesRequest(0), incarnation=9, sender=FOLLOWER_AT)
    assert not host.sent


def test_a_reader_without_routes_sends_none() -> None:
    reader = Host(local=READER)
    reader.exchange.on_message(RoutesRequest(0), incarnation=9, sender=FOLLOWER_AT)
    assert not reader.sent


@pytest.mark.parametrize(
    ("incarnation", "data", "base", "results"),
    [
        pytest.param(READER.incarnation, b"no data", 0, {"malformed"}, id="malformed"),
        pytest.param(READER.incarnation, None, 7, {"routes_gap"}, id="other base"),
        pytest.param(99, None, 0, set(), id="from a former reader"),
        pytest.param(READER.incarnation, None, 0, {"routes_taken"}, id="usable"),
    ],
)
def test_routes_are_taken_only_from_the_reader_and_if_they_fit(
    incarnation: int, data: bytes | None, base: int, results: set[str]
) -> None:
    follower = Host(local=FOLLOWER)
    difference = RoutesDifference(base, 2, 20, 1_000, tuple(table(2).routes.values()), ())
    encoded = encode_routes_difference(difference) if data is None else data
    for part in split_routes(encoded, transfer=1):
        follower.exchange.on_message(part, incarnation=incarnation, sender=READER_AT)
    assert follower.results() == results
    assert follower.version_in_force == (2 if "routes_taken" in results else 0)


def test_a_difference_is_encoded_once_for_all_followers(monkeypatch: pytest.MonkeyPatch) -> None:
    # A failure domain has 94 hosts at the growth target, and all of them ask at once.
    encoded = []

    def encode(difference: RoutesDifference) -> bytes:
        encoded.append(difference)
        return encode_routes_difference(difference)

    monkeypatch.setattr(routes_exchange, "encode_routes_difference", encode)
    reader = Host(local=READER)
    for version in (1, 2):
        reader.history.add(table(version), 10 * version)
    for known in (1, 1, 1, 0):
        reader.exchange.on_message(RoutesRequest(known), incarnation=9, sender=FOLLOWER_AT)
    assert [each.base_version for each in encoded] == [1, 0]


def test_a_lost_part_gives_nothing_and_the_next_transfer_everything() -> None:
    reader, follower = Host(local=READER), Host(local=FOLLOWER)
    reader.history.add(table(1, route_count=200), 10)
    for is_lossy in (True, False):
        follower.exchange.request_routes()
        transfer(follower, reader)
        assert len(reader.sent) > 2
        if is_lossy:
            del reader.sent[1]
        transfer(reader, follower)
        assert follower.version_in_force == (0 if is_lossy else 1)
