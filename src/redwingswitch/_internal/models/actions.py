"""Actions that an entry host returns for its driver to carry out.

The driver is the code that does the I/O of an entry host: a daemon, a test or another program.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.identifiers import CallerAddress, FlowKey
from redwingswitch._internal.models.messages import PeerMessage
from redwingswitch._internal.models.requests import AnswerHeader


class DropReason(StrEnum):
    """Why a packet or message was dropped; the values are metric labels."""

    NO_SERVICE = "no_service"
    NO_BACKEND_SERVER = "no_backend_server"
    WRONG_SERVICE = "wrong_service"
    MALFORMED = "malformed"
    HOLD_LIMIT = "hold_limit"
    STALE_INCARNATION = "stale_incarnation"
    OVERLOAD = "overload"


class SendToBackendServer(NamedTuple):
    """Send a caller's packet to a backend server's tunnel endpoint."""

    service: str
    backend_server: str
    flow: FlowKey
    payload: bytes


class Drop(NamedTuple):
    """Drop a packet or message and count it."""

    reason: DropReason
    subject: str = ""


class DispatchRequest(NamedTuple):
    """Send a whole request to a backend server; the attempt ends at ``deadline_ms``."""

    service: str
    backend_server: str
    attempt_id: int
    request_id: bytes
    body: bytes
    deadline_ms: int
    idempotent: bool = False


class CancelAttempt(NamedTuple):
    """Tell a backend server that an attempt's answer is no longer wanted."""

    backend_server: str
    attempt_id: int


class AnswerCaller(NamedTuple):
    """Send one answer part, or an outcome without an answer, to a caller."""

    caller: CallerAddress
    header: AnswerHeader
    body: bytes = b""


class SendToPeer(NamedTuple):
    """Send a message to another entry host."""

    host: str
    message: PeerMessage


class ApplyDocument(NamedTuple):
    """Parse an accepted document and hand the result to ``EntryHost.apply_configuration``."""

    document: Document


class AcquireLease(NamedTuple):
    """Acquire or renew the lease on ``key``; the driver answers LeaseGranted or LeaseRefused.

    ``asked_ms`` is the time of the request. The driver copies it into LeaseGranted, so that a late
    answer is not mistaken for the answer to a newer request.
    """

    key: str
    holder: str
    ttl_ms: int
    asked_ms: int = 0


class ReleaseLease(NamedTuple):
    """Release the lease on ``key``."""

    key: str


class WatchStore(NamedTuple):
    """Start or stop watching the configuration key in the store."""

    watching: bool


class RestoreDocument(NamedTuple):
    """Write a newer document back to a store that returned an older one.

    The write must compare the configuration key with ``expected_version`` and the lease key with
    ``fencing_version``; otherwise a former lease holder that was paused could overwrite what its
    successor wrote.
    """

    document: Document
    expected_version: int
    fencing_version: int


class PollBackendReport(NamedTuple):
    """Request a report from a backend server's load endpoint."""

    backend_server: str


class Log(NamedTuple):
    """Write a log line that is prefixed with ``part``, the name of a component."""

    part: str
    level: str
    text: str


class StopCompleted(NamedTuple):
    """The graceful stop has ended; the process may exit with status 0."""

    cut_off_requests: int


Action = (
    SendToBackendServer
    | Drop
    | DispatchRequest
    | CancelAttempt
    | AnswerCaller
    | SendToPeer
    | ApplyDocument
    | AcquireLease
    | ReleaseLease
    | WatchStore
    | RestoreDocument
    | PollBackendReport
    | Log
    | StopCompleted
)
