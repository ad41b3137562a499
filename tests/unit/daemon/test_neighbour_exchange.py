"""Guards against hosts without a list that stay unready beside a neighbour that has one.

Pattern: hosts lose power and return while their failure domain is cut off from the store.
"""

import random

import pytest

from redwingswitch._internal.daemon.neighbour_exchange import (
    MIN_SNAPSHOT_INTERVAL_MS,
    OFFER_INTERVAL_MS,
    OFFER_RETENTION_MS,
    SNAPSHOT_TIMEOUT_MS,
    NeighbourExchange,
)
from redwingswitch._internal.daemon.steering_metrics import SteeringMetrics
from redwingswitch._internal.models.list_readers import Neighbour
from redwingswitch._internal.models.list_sharing import ListOffer, SnapshotPart, SnapshotRequest
from redwingswitch._internal.models.server_list import ServerChange, ServerList
from redwingswitch._internal.network.list_messages import ListMessage, encode_snapshot
from tests.lib.cookie_flows import route_table, server

NEIGHBOUR = Neighbour("10.0.0.2", 7720)
FLEET = ServerList(
    routes=route_table(),
    servers=(ServerChange("i-1", server("i-1"), is_listed=True),),
    revision=42,
)


class ManualClock:
    def __init__(self) -> None:
        self.time_ms = 1_000_000

    def now_ms(self) -> int:
        return self.time_ms


class Host:
    """A host with a list, or one that wants one; its messages are collected."""

    def __init__(self, *, has_list: bool) -> None:
        self.fleet = FLEET if has_list else None
        self.wants_list = not has_list
        self.sent: list[tuple[ListMessage, Neighbour]] = []
        self.clock = ManualClock()
        self.exchange = NeighbourExchange(
            clock=self.clock,
            random_source=random.Random(1),
            metrics=SteeringMetrics(),
            send=lambda message, receiver: self.sent.append((message, receiver)),
            shared_list=self,
        )

    def build_offer(self) -> ListOffer | None:
        return None if self.fleet is None else ListOffer(self.fleet.revision)

    def build_snapshot(self) -> ServerList:
        assert self.fleet is not None
        return self.fleet

    def wants_snapshot(self, offer: ListOffer) -> bool:
        return self.wants_list

    def apply_snapshot(self, fleet: ServerList) -> None:
        self.fleet = fleet
        self.wants_list = False

    def receive(self, message: ListMessage) -> None:
        assert isinstance(message, ListOffer | SnapshotRequest | SnapshotPart)
        self.exchange.on_message(message, incarnation=7, sender=NEIGHBOUR)

    def pass_ms(self, duration_ms: int) -> None:
        self.clock.time_ms += duration_ms
        self.exchange.send_due_messages()

    def sent_messages(self) -> list[ListMessage]:
        return [message for message, _ in self.sent]


def test_a_restarted_host_gets_the_list_of_a_host_that_knew_it() -> None:
    serving, restarted = Host(has_list=True), Host(has_list=False)
    serving.exchange.on_heard(NEIGHBOUR)
    serving.pass_ms(OFFER_INTERVAL_MS)
    assert serving.sent == [(ListOffer(42), NEIGHBOUR)]
    restarted.receive(serving.sent[0][0])
    serving.sent.clear()
    serving.receive(restarted.sent[0][0])
    for part in serving.sent_messages():
        restarted.receive(part)
    assert restarted.fleet == FLEET


def test_an_offer_is_taken_up_when_the_store_turns_out_to_be_late() -> None:
    host = Host(has_list=False)
    host.wants_list = False
    host.receive(ListOffer(42))
    assert not host.sent
    host.wants_list = True
    host.pass_ms(1)
    assert host.sent == [(SnapshotRequest(42), NEIGHBOUR)]


@pytest.mark.parametrize(
    ("passed_ms", "requests"),
    [
        pytest.param(SNAPSHOT_TIMEOUT_MS - 1, 1, id="the list may be on its way"),
        pytest.param(SNAPSHOT_TIMEOUT_MS, 2, id="a part was lost"),
        pytest.param(OFFER_RETENTION_MS, 1, id="the neighbour is silent"),
    ],
)
def test_a_list_that_does_not_arrive_is_requested_again(passed_ms: int, requests: int) -> None:
    host = Host(has_list=False)
    host.receive(ListOffer(42))
    host.pass_ms(passed_ms)
    assert len(host.sent) == requests


def test_a_host_without_routes_offers_and_sends_nothing() -> None:
    host = Host(has_list=False)
    host.exchange.on_heard(NEIGHBOUR)
    host.pass_ms(OFFER_INTERVAL_MS)
    host.receive(SnapshotRequest(0))
    assert not host.sent


@pytest.mark.parametrize(
    ("revision", "waits_ms", "is_sent"),
    [
        pytest.param(42, MIN_SNAPSHOT_INTERVAL_MS, True, id="as offered"),
        pytest.param(43, MIN_SNAPSHOT_INTERVAL_MS, False, id="a newer list is needed"),
        pytest.param(42, MIN_SNAPSHOT_INTERVAL_MS - 1, False, id="right after another one"),
    ],
)
def test_lists_are_sent_at_a_bounded_rate(revision: int, waits_ms: int, is_sent: bool) -> None:
    host = Host(has_list=True)
    host.receive(SnapshotRequest(0))
    host.sent.clear()
    host.clock.time_ms += waits_ms
    host.receive(SnapshotRequest(revision))
    assert bool(host.sent) is is_sent


@pytest.mark.parametrize(
    ("data", "wants_list"),
    [
        pytest.param(b"no list", True, id="malformed"),
        pytest.param(encode_snapshot(FLEET), False, id="no longer needed"),
    ],
)
def test_an_unusable_list_changes_nothing(data: bytes, wants_list: bool) -> None:
    host = Host(has_list=False)
    host.wants_list = wants_list
    host.receive(SnapshotPart(1, 0, 1, data))
    assert host.fleet is None
