"""Codec of the datagrams by which hosts of a failure domain share the list of backend servers.

One host, the reader, reads the list from the store and answers the requests of the others with the
changes. The sequence of its changes is its feed, identified by the incarnation of the reader.
"""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.list_sharing import FeedRequest, FeedUpdate
from redwingswitch._internal.network.packing import check_integer, convert_to_model, pack, unpack

LIST_SCHEMA_VERSION = 2
LEADING_FIELD_COUNT = 3
MAX_UINT64 = 2**64 - 1

ListMessage = FeedRequest | FeedUpdate
_MESSAGE_TYPES: tuple[type[FeedRequest] | type[FeedUpdate], ...] = (FeedRequest, FeedUpdate)


class ListDatagram(NamedTuple):
    """A decoded message and the sender's incarnation."""

    incarnation: int
    message: ListMessage


def encode_list_message(*, incarnation: int, message: ListMessage) -> bytes:
    """Return a message as msgpack: schema version, the sender's incarnation, kind, fields."""
    return pack((LIST_SCHEMA_VERSION, incarnation, _MESSAGE_TYPES.index(type(message)), *message))


def decode_list_message(data: bytes) -> ListDatagram:
    """Return the message in ``data``; raise DecodeError if malformed or of another version."""
    version, incarnation, kind, *fields = unpack(data, minimum_fields=LEADING_FIELD_COUNT)
    if version != LIST_SCHEMA_VERSION:
        raise DecodeError(f"schema version {version!r} is not {LIST_SCHEMA_VERSION}")
    check_integer(incarnation, name="incarnation", maximum=MAX_UINT64)
    check_integer(kind, name="kind", maximum=len(_MESSAGE_TYPES) - 1)
    message = convert_to_model(fields, _MESSAGE_TYPES[kind])
    if isinstance(message, FeedUpdate) and message.feed != incarnation:
        raise DecodeError("the feed of an update must be the incarnation of its sender")
    return ListDatagram(incarnation, message)
