"""Requests, their answers and the outcomes that callers are told."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class SizeHint(IntEnum):
    """What the caller says about the length of its request."""

    UNKNOWN = 0
    SHORT = 1
    LONG = 2


class RequestHeader(NamedTuple):
    """The header of one request part; ``part`` counts from 0 to ``parts`` - 1.

    ``remaining_ms`` is relative, because wall clocks of different hosts are never compared. The
    host that receives it turns it into a deadline on its own monotonic clock.
    """

    service: str
    request_id: bytes
    idempotent: bool
    remaining_ms: int
    part: int = 0
    parts: int = 1
    size_hint: SizeHint = SizeHint.UNKNOWN


class Outcome(StrEnum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"
    INCOMPLETE = "incomplete"


class AnswerHeader(NamedTuple):
    """The header of one answer part to a caller.

    ``retry_after_ms`` is a hint for a refused request; 0 means none. Callers put an answer together
    from parts with the same ``answer_id`` only: an idempotent request may have run twice.
    """

    request_id: bytes
    outcome: Outcome
    part: int = 0
    parts: int = 1
    retry_after_ms: int = 0
    reason: str = ""
    answer_id: int = 0


class FailureKind(StrEnum):
    """How an attempt at a backend server failed.

    Only ``REFUSED`` and ``SHED`` prove that the request did not start there.
    """

    REFUSED = "refused"
    SHED = "shed"
    RESET = "reset"
    TIMEOUT = "timeout"


class BackendReport(NamedTuple):
    """A backend server's own report of its load; it lags and may mislead."""

    backend_server: str
    busy_slots: int
    open_connections: int
    draining: bool
    healthy: bool
