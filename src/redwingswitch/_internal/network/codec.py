"""Codec of the messages between entry hosts.

The codecs for callers and backend servers use its checks of versions, request ids and part numbers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from redwingswitch._internal.configuration.document import decode_document, encode_document
from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.identifiers import REQUEST_ID_BYTES, FlowKey
from redwingswitch._internal.models.messages import (
    MESSAGE_SCHEMA_VERSION,
    MESSAGE_TYPES,
    RECORD_HASH_BYTES,
    CancelRequest,
    ClaimReply,
    ClaimRequest,
    ForwardedPacket,
    ForwardedRequest,
    PeerMessage,
    RecordBatch,
    RevisionDocument,
)
from redwingswitch._internal.models.requests import RequestHeader
from redwingswitch._internal.network.packing import check_integer, convert_to_model, pack, unpack

LEADING_FIELD_COUNT = 4
MAX_HOST_NAME_CHARACTERS = 253
MAX_UINT16 = 65_535
MAX_UINT64 = 2**64 - 1
IPV4_ADDRESS_BYTES = 4

_KINDS = {message_type: kind for kind, message_type in enumerate(MESSAGE_TYPES)}


class Envelope(NamedTuple):
    """A decoded message with its sender and the sender's incarnation."""

    sender: str
    incarnation: int
    message: PeerMessage


def encode_message(*, sender: str, incarnation: int, message: PeerMessage) -> bytes:
    """Return a message as msgpack: schema version, sender, incarnation, kind, fields."""
    kind = _KINDS[type(message)]
    fields: tuple[object, ...] = message
    if isinstance(message, RevisionDocument):
        # Sent compressed: a file of 1 MB for each of 890 changes a day would use up the budget of
        # 10 KB/s for control messages.
        fields = (encode_document(message.document),)
    return pack((MESSAGE_SCHEMA_VERSION, sender, incarnation, kind, *fields))


def decode_message(data: bytes) -> Envelope:
    """Return the message in ``data``; raise DecodeError if malformed or of another version."""
    version, sender, incarnation, kind, *fields = unpack(data, minimum_fields=LEADING_FIELD_COUNT)
    check_version(version)
    if not isinstance(sender, str) or not 0 < len(sender) <= MAX_HOST_NAME_CHARACTERS:
        raise DecodeError("the sender must be a valid host name")
    check_integer(incarnation, name="incarnation", maximum=MAX_UINT64)
    check_integer(kind, name="kind", maximum=len(MESSAGE_TYPES) - 1)
    if MESSAGE_TYPES[kind] is RevisionDocument:
        return Envelope(sender, incarnation, _decode_revision_document(fields))
    message = convert_to_model(fields, MESSAGE_TYPES[kind])
    _check_message(message)
    return Envelope(sender, incarnation, message)


def _decode_revision_document(fields: list[Any]) -> RevisionDocument:
    if not fields or not isinstance(fields[0], bytes):
        raise DecodeError("a revision document must be sent as compressed bytes")
    return RevisionDocument(decode_document(fields[0]))


def check_version(version: object) -> None:
    """Raise DecodeError unless ``version`` is the schema version of this release."""
    if type(version) is not int or version != MESSAGE_SCHEMA_VERSION:
        raise DecodeError(f"schema version {version!r} is not {MESSAGE_SCHEMA_VERSION}")


def check_request_header(header: RequestHeader) -> None:
    """Raise DecodeError for an invalid request id, remaining time or part number."""
    check_request_id(header.request_id)
    check_integer(header.remaining_ms, name="remaining_ms", maximum=MAX_UINT64)
    check_part(header.part, header.parts)


def check_request_id(request_id: bytes) -> None:
    """Raise DecodeError unless ``request_id`` has the length of a request id."""
    if len(request_id) != REQUEST_ID_BYTES:
        raise DecodeError(f"a request id must have {REQUEST_ID_BYTES} bytes")


def check_part(part: int, parts: int) -> None:
    """Raise DecodeError unless ``part`` is one of 0 to ``parts`` - 1."""
    if not 0 <= part < parts:
        raise DecodeError(f"part {part} of {parts} does not exist")


def _check_flow(flow: FlowKey) -> None:
    check_integer(flow.protocol, name="protocol", maximum=255)
    check_integer(flow.caller_port, name="caller port", maximum=MAX_UINT16)
    check_integer(flow.service_port, name="service port", maximum=MAX_UINT16)
    if {len(flow.caller_address), len(flow.service_address)} != {IPV4_ADDRESS_BYTES}:
        raise DecodeError("a flow's addresses must be IPv4 addresses")


def _check_forwarded_packet(message: ForwardedPacket) -> None:
    _check_flow(message.flow)
    check_integer(message.flow_hash, name="flow hash", maximum=MAX_UINT64)
    check_integer(message.hops, name="hops", maximum=MAX_UINT16)


def _check_forwarded_request(message: ForwardedRequest) -> None:
    check_request_header(message.header)
    check_integer(message.caller.port, name="caller port", maximum=MAX_UINT16)
    check_integer(message.hops, name="hops", maximum=MAX_UINT16)


def _check_record_batch(message: RecordBatch) -> None:
    for group in message.groups:
        if len(group.hashes) % RECORD_HASH_BYTES:
            raise DecodeError(f"record hashes must have {RECORD_HASH_BYTES} bytes each")


def _check_message_request_id(message: ClaimRequest | ClaimReply | CancelRequest) -> None:
    check_request_id(message.request_id)


_MESSAGE_CHECKS: dict[type, Callable[[Any], None]] = {
    ForwardedPacket: _check_forwarded_packet,
    ForwardedRequest: _check_forwarded_request,
    RecordBatch: _check_record_batch,
    ClaimRequest: _check_message_request_id,
    ClaimReply: _check_message_request_id,
    CancelRequest: _check_message_request_id,
}


def _check_message(message: PeerMessage) -> None:
    check = _MESSAGE_CHECKS.get(type(message))
    if check is not None:
        check(message)
