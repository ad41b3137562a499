"""Guards against list datagrams that crash the receiver or are accepted although invalid."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingswitch._internal.decisions.list_sharing.feed import MAX_CHANGES_PER_UPDATE
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_sharing import FeedChange, FeedRequest, FeedUpdate
from redwingswitch._internal.models.server_list import ServerChange
from redwingswitch._internal.network.list_messages import (
    LIST_SCHEMA_VERSION,
    ListDatagram,
    decode_list_message,
    encode_list_message,
)
from tests.lib.cookie_flows import server

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
    routes_revision=2**40,
)


@pytest.mark.parametrize(
    "message", [FeedRequest(7, 3, 2**60, 2**40), UPDATE], ids=["request", "update"]
)
def test_messages_round_trip(message: FeedRequest | FeedUpdate) -> None:
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
        pytest.param([LIST_SCHEMA_VERSION, 7, 2, 7, 3, 9, 5], id="unknown kind"),
        pytest.param([LIST_SCHEMA_VERSION, -1, 0, 7, 3, 9, 5], id="negative incarnation"),
        pytest.param([LIST_SCHEMA_VERSION, 7, 0, 7, 3, 9], id="missing field"),
        pytest.param([LIST_SCHEMA_VERSION, 7, 0, 7, "3", 9, 5], id="wrong type"),
        pytest.param([LIST_SCHEMA_VERSION, 8, 1, *UPDATE], id="the feed of another host"),
    ],
)
def test_invalid_messages_are_rejected(fields: list[object]) -> None:
    with pytest.raises(DecodeError):
        decode_list_message(msgspec.msgpack.encode(fields))


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
