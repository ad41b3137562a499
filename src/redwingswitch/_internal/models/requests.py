"""Models of requests, their answers and the outcomes that are reported to callers."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class SizeHint(IntEnum):
    """The duration of a request that its caller expects."""

    UNKNOWN = 0
    SHORT = 1
    LONG = 2


class RequestHeader(NamedTuple):
    """The header of one request part; ``part`` counts from 0 to ``parts`` - 1.

    ``remaining_ms`` is relative because the clocks of different hosts are never compared. The
    receiving host converts it to a deadline on its own monotonic clock.
    """

    service: str
    request_id: bytes
    idempotent: bool
    remaining_ms: int
    part: int = 0
    parts: int = 1
    size_hint: SizeHint = SizeHint.UNKNOWN


class Outcome(StrEnum):
    """The result of a request that is reported to its caller.

    ``NOT_RUN``: it certainly did not run. ``UNKNOWN``: it may have run. ``INCOMPLETE``: it ran, but
    its complete answer is not available.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"
    INCOMPLETE = "incomplete"


class AnswerHeader(NamedTuple):
    """The header of one answer part to a caller.

    ``retry_after_ms`` is a hint for a refused request; 0 means none. Callers must assemble an
    answer only from parts with the same ``answer_id``, since an idempotent request may run twice.
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

    ``SHED``: the server rejected the request because it was busy. Only ``REFUSED`` and ``SHED``
    prove that the request did not start there.
    """

    REFUSED = "refused"
    SHED = "shed"
    RESET = "reset"
    TIMEOUT = "timeout"


class BackendReport(NamedTuple):
    """A backend server's own report of its load; it may be out of date or wrong."""

    backend_server: str
    busy_slots: int
    open_connections: int
    draining: bool
    healthy: bool
