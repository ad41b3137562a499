"""The models, events, actions and messages that the other modules use."""

from __future__ import annotations

from redwingswitch._internal.models.actions import (
    AcquireLease,
    Action,
    ApplyDocument,
    Drop,
    DropReason,
    Log,
    ReleaseLease,
    RestoreDocument,
    SendToPeer,
    StopCompleted,
    WatchStore,
)
from redwingswitch._internal.models.configuration import Document, SizeClass
from redwingswitch._internal.models.events import (
    HostListChanged,
    LeaseGranted,
    ListedHost,
    StoreDocumentArrived,
)
from redwingswitch._internal.models.members import (
    HostDigest,
    MembershipStatistics,
    MembershipView,
    MemberState,
    MemberUpdate,
    MemberView,
    Seed,
)
from redwingswitch._internal.models.messages import (
    Ack,
    BatchPurpose,
    ClaimDecision,
    ClaimReply,
    ClaimRequest,
    PeerMessage,
    Ping,
    PingRequest,
    RecordBatch,
    RecordBatchAck,
    RecordGroup,
    RevisionDocument,
    RevisionOffer,
    RevisionRequest,
)
from redwingswitch._internal.models.requests import SizeHint
from redwingswitch._internal.ports import RandomSource

__all__ = [
    "Ack",
    "AcquireLease",
    "Action",
    "ApplyDocument",
    "BatchPurpose",
    "ClaimDecision",
    "ClaimReply",
    "ClaimRequest",
    "Document",
    "Drop",
    "DropReason",
    "HostDigest",
    "HostListChanged",
    "LeaseGranted",
    "ListedHost",
    "Log",
    "MemberState",
    "MemberUpdate",
    "MemberView",
    "MembershipStatistics",
    "MembershipView",
    "PeerMessage",
    "Ping",
    "PingRequest",
    "RandomSource",
    "RecordBatch",
    "RecordBatchAck",
    "RecordGroup",
    "ReleaseLease",
    "RestoreDocument",
    "RevisionDocument",
    "RevisionOffer",
    "RevisionRequest",
    "Seed",
    "SendToPeer",
    "SizeClass",
    "SizeHint",
    "StopCompleted",
    "StoreDocumentArrived",
    "WatchStore",
]
