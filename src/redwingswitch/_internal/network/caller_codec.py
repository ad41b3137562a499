"""Codec of the datagrams to and from callers.

A datagram is a msgpack array of schema version, kind, header (an array) and body. The header is an
array of its own, so that a later version can append header fields.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.messages import MESSAGE_SCHEMA_VERSION
from redwingswitch._internal.models.requests import AnswerHeader, RequestHeader
from redwingswitch._internal.network.codec import (
    check_part,
    check_request_header,
    check_request_id,
    check_version,
)
from redwingswitch._internal.network.packing import check_integer, convert_to_model, pack, unpack

DATAGRAM_FIELD_COUNT = 4
# The largest UDP payload over IPv4.
MAX_DATAGRAM_BYTES = 65_507


class DatagramKind(IntEnum):
    """What a datagram of the request protocol carries."""

    REQUEST = 0
    CANCEL = 1
    ANSWER = 2


class CancelHeader(NamedTuple):
    """Identifies the request that a caller cancels."""

    service: str
    request_id: bytes


class RequestDatagram(NamedTuple):
    """One part of a caller's request."""

    header: RequestHeader
    body: bytes


class CancelDatagram(NamedTuple):
    """A caller's cancellation of a request."""

    header: CancelHeader
    body: bytes = b""


class AnswerDatagram(NamedTuple):
    """One part of an answer, or an outcome without an answer."""

    header: AnswerHeader
    body: bytes


CallerDatagram = RequestDatagram | CancelDatagram | AnswerDatagram

_KINDS: dict[type, DatagramKind] = {
    RequestDatagram: DatagramKind.REQUEST,
    CancelDatagram: DatagramKind.CANCEL,
    AnswerDatagram: DatagramKind.ANSWER,
}


def encode_datagram(datagram: CallerDatagram) -> bytes:
    """Return a datagram as msgpack."""
    return pack((MESSAGE_SCHEMA_VERSION, _KINDS[type(datagram)], *datagram))


def decode_datagram(data: bytes) -> CallerDatagram:
    """Return the datagram in ``data``; raise DecodeError if malformed or of another version."""
    version, kind, header, body, *_ = unpack(data, minimum_fields=DATAGRAM_FIELD_COUNT)
    check_version(version)
    check_integer(kind, name="kind", maximum=max(DatagramKind))
    if kind == DatagramKind.REQUEST:
        return _validate_request(convert_to_model([header, body], RequestDatagram))
    if kind == DatagramKind.CANCEL:
        return _validate_cancel(convert_to_model([header, body], CancelDatagram))
    return _validate_answer(convert_to_model([header, body], AnswerDatagram))


def _validate_request(datagram: RequestDatagram) -> RequestDatagram:
    check_request_header(datagram.header)
    return datagram


def _validate_cancel(datagram: CancelDatagram) -> CancelDatagram:
    check_request_id(datagram.header.request_id)
    return datagram


def _validate_answer(datagram: AnswerDatagram) -> AnswerDatagram:
    check_request_id(datagram.header.request_id)
    check_part(datagram.header.part, datagram.header.parts)
    if datagram.header.retry_after_ms < 0:
        raise DecodeError("retry_after_ms must not be negative")
    return datagram
