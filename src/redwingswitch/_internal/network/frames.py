"""Frames between entry hosts and backend servers.

A frame is a 4-byte big-endian length and a msgpack array of schema version, kind and fields.
"""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.messages import MESSAGE_SCHEMA_VERSION
from redwingswitch._internal.network.codec import (
    MAX_UINT64,
    check_part,
    check_request_id,
    check_version,
)
from redwingswitch._internal.network.packing import check_integer, convert_to_model, pack, unpack

LENGTH_BYTES = 4
LEADING_FIELD_COUNT = 2
MAX_FRAME_BYTES = 16_000_000


class DispatchFrame(NamedTuple):
    """Asks a backend server to run a request."""

    attempt_id: int
    request_id: bytes
    service: str
    idempotent: bool
    remaining_ms: int
    body: bytes


class CancelFrame(NamedTuple):
    """Tells a backend server that an attempt's answer is no longer wanted."""

    attempt_id: int


class AnswerFrame(NamedTuple):
    """Carries part ``part`` of ``parts`` of the answer to an attempt."""

    attempt_id: int
    part: int
    parts: int
    body: bytes


class ShedFrame(NamedTuple):
    """States that an attempt was not started because the backend server is overloaded."""

    attempt_id: int


class RefuseFrame(NamedTuple):
    """States that an attempt was not started, for a reason other than load."""

    attempt_id: int
    reason: str = ""


BackendFrame = DispatchFrame | CancelFrame | AnswerFrame | ShedFrame | RefuseFrame

# The position of a type is its kind on the wire; append new types at the end.
FRAME_TYPES: tuple[type[BackendFrame], ...] = (
    DispatchFrame,
    CancelFrame,
    AnswerFrame,
    ShedFrame,
    RefuseFrame,
)
_KINDS = {frame_type: kind for kind, frame_type in enumerate(FRAME_TYPES)}


def encode_frame(frame: BackendFrame) -> bytes:
    """Return a frame with its length prefix."""
    content = pack((MESSAGE_SCHEMA_VERSION, _KINDS[type(frame)], *frame))
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def decode_length(prefix: bytes) -> int:
    """Return the content length in bytes; raise DecodeError beyond the size limit."""
    length_bytes = int.from_bytes(prefix, "big")
    if len(prefix) != LENGTH_BYTES or length_bytes > MAX_FRAME_BYTES:
        raise DecodeError(f"a frame must have a 4-byte length of at most {MAX_FRAME_BYTES}")
    return length_bytes


def decode_content(content: bytes) -> BackendFrame:
    """Return the frame in ``content``; raise DecodeError if malformed or of another version."""
    version, kind, *fields = unpack(content, minimum_fields=LEADING_FIELD_COUNT)
    check_version(version)
    check_integer(kind, name="kind", maximum=len(FRAME_TYPES) - 1)
    frame: BackendFrame = convert_to_model(fields, FRAME_TYPES[kind])
    check_integer(frame.attempt_id, name="attempt id", maximum=MAX_UINT64)
    if isinstance(frame, AnswerFrame):
        check_part(frame.part, frame.parts)
    if isinstance(frame, DispatchFrame):
        check_request_id(frame.request_id)
    return frame
