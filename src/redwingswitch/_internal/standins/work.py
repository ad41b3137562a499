"""The work that requests ask of a backend server stand-in, and the expected answers."""

from __future__ import annotations

import hashlib

import msgspec

MAX_SERVICE_MS = 60_000
MAX_PARTS = 64
MAX_PART_BYTES = 50_000


class Work(msgspec.Struct, array_like=True):
    """How long a request runs and the shape of its answer."""

    service_ms: int
    parts: int = 1
    part_bytes: int = 64


def encode_work(work: Work) -> bytes:
    """Return the request body that asks for ``work``."""
    return msgspec.msgpack.encode(work)


def decode_work(body: bytes) -> Work:
    """Decode the work of a request body, within limits; an invalid body means minimal work."""
    try:
        work = msgspec.msgpack.decode(body, type=Work)
    except msgspec.MsgspecError:
        return Work(service_ms=0)
    return Work(
        service_ms=min(max(work.service_ms, 0), MAX_SERVICE_MS),
        parts=min(max(work.parts, 1), MAX_PARTS),
        part_bytes=min(max(work.part_bytes, 1), MAX_PART_BYTES),
    )


def answer_part(*, request_id: bytes, part: int, part_bytes: int) -> bytes:
    """Return the expected content of one answer part, unique to the request and the part."""
    seed = hashlib.blake2b(request_id + part.to_bytes(4, "big")).digest()
    repeated = seed * (part_bytes // len(seed) + 1)
    return repeated[:part_bytes]


def complete_answer(*, request_id: bytes, work: Work) -> bytes:
    """Return the expected complete answer."""
    return b"".join(
        answer_part(request_id=request_id, part=part, part_bytes=work.part_bytes)
        for part in range(work.parts)
    )
