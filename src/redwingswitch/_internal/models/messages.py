"""Messages between entry hosts.

On the wire a message is a msgpack array: schema version, sender, incarnation, kind, fields. A field
may be added at the end of a model with a default; older receivers ignore it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from redwingswitch._internal.models.configuration import BackendServer, Document
from redwingswitch._internal.models.identifiers import (
    FLOW_HASH_BITS,
    CallerAddress,
    FlowKey,
    PacketKind,
)
from redwingswitch._internal.models.members import HostDigest, MemberUpdate
from redwingswitch._internal.models.requests import RequestHeader

MESSAGE_SCHEMA_VERSION = 1
RECORD_HASH_BYTES = FLOW_HASH_BITS // 8
MAX_HOPS = 2


class Ping(NamedTuple):
    """Asks for an ``Ack``; ``on_behalf_of`` names the host an indirect probe is for."""

    sequence: int
    updates: tuple[MemberUpdate, ...]
    digest: HostDigest
    on_behalf_of: str = ""


class Ack(NamedTuple):
    """Answers a ``Ping``; ``subject`` is the host that is shown to be alive."""

    sequence: int
    subject: str
    updates: tuple[MemberUpdate, ...]
    digest: HostDigest


class PingRequest(NamedTuple):
    """Asks the receiver to probe ``target`` for the sender."""

    sequence: int
    target: str


class RevisionOffer(NamedTuple):
    """Tells a peer which configuration revision the sender holds."""

    revision: int
    digest: str


class RevisionRequest(NamedTuple):
    """Asks for the sender's document when it is newer than ``known_revision``."""

    known_revision: int


class RevisionDocument(NamedTuple):
    """Carries an accepted document to a peer."""

    document: Document


class BatchPurpose(IntEnum):
    """Why records are sent.

    ``REPLICA``: as a second copy. ``HAND_OVER``: because the receiver now owns or replicates them.
    """

    REPLICA = 0
    HAND_OVER = 1


class RecordGroup(NamedTuple):
    """Flow hashes that share a backend server, 6 bytes each, big-endian, concatenated."""

    backend_server_id: int
    hashes: bytes


class RecordBatch(NamedTuple):
    """Flow records of one service whose backend server differs from the oldest table's.

    A flow record names the backend server of one flow.
    ``complete`` is true on the last batch of a hand-over: the sender has nothing more to hand over.
    """

    service_id: int
    sequence: int
    purpose: BatchPurpose
    groups: tuple[RecordGroup, ...]
    complete: bool = False


class RecordBatchAck(NamedTuple):
    """Confirms that a ``RecordBatch`` was stored."""

    sequence: int


class RecordQuery(NamedTuple):
    """Asks whether the receiver has a record of a flow."""

    service_id: int
    flow_hash: int


class RecordReply(NamedTuple):
    """Answers a ``RecordQuery``; ``backend_server_id`` is 0 when there is no record."""

    service_id: int
    flow_hash: int
    backend_server_id: int


class ForwardedPacket(NamedTuple):
    """Forwards a caller's packet to the owner of its bucket.

    A bucket is a group of flow hashes; its owner holds the flow records of the group.
    """

    flow: FlowKey
    flow_hash: int
    kind: PacketKind
    hops: int
    payload: bytes


class ForwardedRequest(NamedTuple):
    """Forwards a request, or a part of it, to the host that collects its parts or dispatches it."""

    header: RequestHeader
    body: bytes
    caller: CallerAddress
    hops: int


class ClaimDecision(IntEnum):
    """A witness's answer to a claim.

    ``HELD``: the id was granted to another process. ``ABSTAINS``: the witness may have lost earlier
    grants, or has no room for another. ``STALE_HOST_SET``: the claimant does not know the newest
    set of declared hosts.
    """

    GRANTED = 0
    HELD = 1
    ABSTAINS = 2
    STALE_HOST_SET = 3


class ClaimRequest(NamedTuple):
    """Asks a witness to grant a request id to the sender.

    Witnesses are the hosts that decide, by majority, which host may run a non-idempotent request.
    ``host_set_revision`` is the revision from which the sender knows the declared entry hosts, and
    ``revision`` is the configuration revision that it holds. ``claimant_incarnation`` identifies
    the sender's process: the incarnation in the envelope may rise when a suspicion is refuted.
    """

    request_id: bytes
    host_set_revision: int
    revision: int = 0
    claimant_incarnation: int = 0


class ClaimReply(NamedTuple):
    """Answers a ``ClaimRequest``; the holder fields are set for ``GRANTED`` and ``HELD``.

    ``settled`` is true when the witness knows that no change of the declared entry hosts is in
    progress at ``revision``, the configuration revision that it holds.
    """

    request_id: bytes
    decision: ClaimDecision
    holder: str = ""
    holder_incarnation: int = 0
    host_set_revision: int = 0
    revision: int = 0
    settled: bool = False


class CancelRequest(NamedTuple):
    """Forwards a caller's cancellation to the dispatcher."""

    service: str
    request_id: bytes


class HistoricTable(NamedTuple):
    """One lookup table of a ``TableHistory``: the servers from which it was computed.

    ``activates_in_ms`` is 0 for a table that has been activated.
    """

    revision: int
    activates_in_ms: int
    servers: tuple[str, ...]


class TableHistoryRequest(NamedTuple):
    """Asks for the tables of a service that the sender did not receive in time."""

    service_id: int


class TableHistory(NamedTuple):
    """Answers a ``TableHistoryRequest``, oldest table first.

    ``servers`` describes every server that the tables name, removed ones included.
    ``held_servers`` names those whose flows still need records after an ejection.
    """

    service_id: int
    tables: tuple[HistoricTable, ...]
    servers: tuple[BackendServer, ...]
    held_servers: tuple[str, ...] = ()


PeerMessage = (
    Ping
    | Ack
    | PingRequest
    | RevisionOffer
    | RevisionRequest
    | RevisionDocument
    | RecordBatch
    | RecordBatchAck
    | RecordQuery
    | RecordReply
    | ForwardedPacket
    | ForwardedRequest
    | ClaimRequest
    | ClaimReply
    | CancelRequest
    | TableHistoryRequest
    | TableHistory
)

# The position of a type is its kind on the wire; append new types at the end.
MESSAGE_TYPES: tuple[type[PeerMessage], ...] = (
    Ping,
    Ack,
    PingRequest,
    RevisionOffer,
    RevisionRequest,
    RevisionDocument,
    RecordBatch,
    RecordBatchAck,
    RecordQuery,
    RecordReply,
    ForwardedPacket,
    ForwardedRequest,
    ClaimRequest,
    ClaimReply,
    CancelRequest,
    TableHistoryRequest,
    TableHistory,
)
