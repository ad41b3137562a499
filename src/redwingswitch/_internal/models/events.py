"""Events that a driver passes to an entry host.

The driver is the code that does the I/O of an entry host: a daemon, a test or another program.
"""

from __future__ import annotations

from typing import NamedTuple

from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.identifiers import CallerAddress, FlowKey, PacketKind
from redwingswitch._internal.models.messages import PeerMessage
from redwingswitch._internal.models.requests import BackendReport, FailureKind, RequestHeader


class PacketArrived(NamedTuple):
    """A caller's packet arrived from the network fabric (hops 0) or from a peer.

    ``payload`` is the whole IP packet and is forwarded unchanged.
    """

    flow: FlowKey
    flow_hash: int
    kind: PacketKind
    payload: bytes
    hops: int = 0


class RequestPartArrived(NamedTuple):
    """A request part arrived from a caller."""

    header: RequestHeader
    body: bytes
    caller: CallerAddress


class CancelArrived(NamedTuple):
    """A caller cancelled its request."""

    service: str
    request_id: bytes


class AnswerPartArrived(NamedTuple):
    """A backend server sent part ``part`` of ``parts`` of its answer to an attempt."""

    backend_server: str
    attempt_id: int
    part: int
    parts: int
    body: bytes


class AttemptFailed(NamedTuple):
    """An attempt at a backend server ended without a complete answer."""

    backend_server: str
    attempt_id: int
    kind: FailureKind


class BackendReportArrived(NamedTuple):
    """A backend server's load endpoint answered."""

    report: BackendReport


class BackendReportFailed(NamedTuple):
    """A backend server's load endpoint did not answer."""

    backend_server: str


class StreamConnectFailed(NamedTuple):
    """The TCP listener could not connect to a backend server."""

    backend_server: str


class ListedHost(NamedTuple):
    """One row of the platform's host list."""

    host: str
    leaving: bool


class HostListChanged(NamedTuple):
    """The platform's list of hosts, which may be out of date, was read."""

    hosts: tuple[ListedHost, ...]


class StoreDocumentArrived(NamedTuple):
    """The store delivered the configuration document; ``version`` is the key's version there."""

    document: Document | None
    version: int


class StoreUnavailable(NamedTuple):
    """A call to the store failed."""


class LeaseGranted(NamedTuple):
    """The store granted or renewed the lease of the watcher, the host that watches the store.

    The watcher's writes carry ``fencing_version``, so that the store rejects those of a former one.
    ``asked_ms`` is copied from the AcquireLease action to which this event responds.
    """

    lease_id: int
    fencing_version: int
    asked_ms: int = 0


class LeaseRefused(NamedTuple):
    """Another host holds the watcher's lease, or the lease expired before its renewal."""


class PeerMessageArrived(NamedTuple):
    """An authenticated message from another entry host."""

    sender: str
    incarnation: int
    message: PeerMessage


class TimerFired(NamedTuple):
    """The deadline last returned by ``next_deadline_ms`` has passed."""


class StopRequested(NamedTuple):
    """The host is to stop gracefully by ``grace_deadline_ms``."""

    grace_deadline_ms: int


Event = (
    PacketArrived
    | RequestPartArrived
    | CancelArrived
    | AnswerPartArrived
    | AttemptFailed
    | BackendReportArrived
    | BackendReportFailed
    | StreamConnectFailed
    | HostListChanged
    | StoreDocumentArrived
    | StoreUnavailable
    | LeaseGranted
    | LeaseRefused
    | PeerMessageArrived
    | TimerFired
    | StopRequested
)
