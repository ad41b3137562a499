"""Convergence of all entry hosts on the newest accepted configuration document."""

from __future__ import annotations

import xxhash

from redwingswitch._internal.decisions.configuration.lease import LeaseHolder
from redwingswitch._internal.decisions.configuration.store_sync import StoreSync
from redwingswitch._internal.decisions.configuration.transfers import (
    IncomingTransfer,
    OutgoingTransfers,
)
from redwingswitch._internal.decisions.digest_bounds import digests_match
from redwingswitch._internal.models.actions import (
    Action,
    ApplyDocument,
    Log,
    SendToPeer,
)
from redwingswitch._internal.models.configuration import (
    DOCUMENT_SCHEMA_VERSION,
    MAX_DOCUMENT_BYTES,
    Document,
)
from redwingswitch._internal.models.events import LeaseGranted, StoreDocumentArrived
from redwingswitch._internal.models.members import HostDigest, MembershipView, MemberState
from redwingswitch._internal.models.messages import (
    PeerMessage,
    RevisionDocument,
    RevisionOffer,
    RevisionRequest,
)
from redwingswitch._internal.ports import RandomSource

WATCHER_KEY_PREFIX = "redwingswitch/watcher/"
WATCHER_TTL_MS = 6_000
# More candidates would only add calls to the store. If all of them fail at once, the domain still
# gets documents from peers in other failure domains.
MAX_WATCHER_CANDIDATES = 3
CANDIDATE_DELAY_MS = 1_000
OFFERS_PER_ADOPTION = 2
INITIAL_REQUEST_INTERVAL_MS = 500
MIN_VIEW_INTERVAL_MS = 250


class ConfigurationConvergence:
    """Adopts documents from the store and from peers; the revision of a host only rises.

    In each failure domain, the host that holds the watcher lease watches the store. The other
    hosts learn of a new revision from heartbeats and fetch the document from a peer.
    """

    def __init__(self, *, host: str, failure_domain: str, random_source: RandomSource) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._random = random_source
        self._document: Document | None = None
        self._conflict = False
        self._local_domain_peers: list[str] = []
        self._other_domain_peers: list[str] = []
        self._is_candidate = False
        self._store_sync = StoreSync(random_source=random_source)
        self._lease = LeaseHolder(
            key=WATCHER_KEY_PREFIX + failure_domain,
            holder=host,
            ttl_ms=WATCHER_TTL_MS,
            random_source=random_source,
        )
        self._incoming = IncomingTransfer(random_source=random_source)
        self._outgoing = OutgoingTransfers()
        self._next_initial_request_ms: int | None = None
        self._view: MembershipView | None = None
        self._view_applied_ms: int | None = None
        self._next_view_ms: int | None = None

    def document(self) -> Document | None:
        """Return the document in force, or None if there is none yet."""
        return self._document

    def revision(self) -> int:
        """Return the revision in force, or 0 if there is none yet."""
        return 0 if self._document is None else self._document["revision"]

    def conflict(self) -> bool:
        """Return whether a different document with the revision in force was seen."""
        return self._conflict

    def watching(self, now_ms: int) -> bool:
        """Return whether this host watches the store for its failure domain."""
        return self._lease.holds(now_ms)

    def set_members(self, view: MembershipView, now_ms: int) -> list[Action]:
        """Update the live peers, and whether this host is a candidate for the watcher lease.

        In a large group the view changes with nearly every message, so it is applied at most
        every 250 ms. A candidate that is leaving applies it at once, to release its lease.
        """
        self._view = view
        applied_ms = self._view_applied_ms
        recent = applied_ms is not None and now_ms < applied_ms + MIN_VIEW_INTERVAL_MS
        if recent and not (self._is_candidate and self._is_leaving(view)):
            self._next_view_ms = (applied_ms or 0) + MIN_VIEW_INTERVAL_MS
            return []
        return self._apply_view(view, now_ms)

    def _apply_view(self, view: MembershipView, now_ms: int) -> list[Action]:
        self._view_applied_ms = now_ms
        self._next_view_ms = None
        peers = [m for m in view.serving() if m.host != self._host]
        self._local_domain_peers = [
            m.host for m in peers if m.failure_domain == self._failure_domain
        ]
        self._other_domain_peers = [
            m.host for m in peers if m.failure_domain != self._failure_domain
        ]
        known = frozenset(m.host for m in view.members if m.state != MemberState.DEAD)
        self._incoming.set_peers(local_domain=frozenset(self._local_domain_peers), known=known)
        if self._document is None and self._next_initial_request_ms is None:
            self._next_initial_request_ms = now_ms + self._random.randrange(
                INITIAL_REQUEST_INTERVAL_MS
            )
        leaving = self._is_leaving(view)
        self._is_candidate = not leaving and self._watcher_rank(view) < MAX_WATCHER_CANDIDATES
        if self._is_candidate:
            self._lease.want(now_ms, delay_ms=self._watcher_rank(view) * CANDIDATE_DELAY_MS)
            return []
        # A holder keeps its lease when hosts of a better rank return, which avoids needless moves.
        if self._lease.holds(now_ms) and not leaving:
            return []
        return self._lease.release(now_ms) + self._update_watch(now_ms)

    def on_store_document(self, event: StoreDocumentArrived, now_ms: int) -> list[Action]:
        """Adopt the store's document if it is newer; restore the local one if it is older."""
        actions: list[Action] = []
        if event.document is not None:
            actions += self._on_document(event.document, "the store", now_ms)
        revision = 0 if event.document is None else event.document["revision"]
        self._store_sync.on_document(revision=revision, version=event.version, now_ms=now_ms)
        return actions + self._restore(now_ms)

    def on_store_unavailable(self, now_ms: int) -> list[Action]:
        """Keep the document in force and retry the store later."""
        self._store_sync.on_unavailable(now_ms)
        return self._lease.on_unavailable(now_ms)

    def on_lease_granted(self, event: LeaseGranted, now_ms: int) -> list[Action]:
        """Record the grant, and start the watch unless it is running."""
        actions = self._lease.on_granted(event, now_ms)
        return actions + self._update_watch(now_ms)

    def on_lease_refused(self, now_ms: int) -> list[Action]:
        """Stop the watch, because another host of the failure domain holds the lease."""
        actions = self._lease.on_refused(now_ms)
        if not self._is_candidate:
            actions += self._lease.release(now_ms)
        return actions + self._update_watch(now_ms)

    def on_digest(self, sender: str, digest: HostDigest, now_ms: int) -> list[Action]:
        """Compare the revision in a heartbeat with the one in force."""
        return self._compare_revision(sender, digest.revision, digest.revision_digest, now_ms)

    def on_message(self, sender: str, message: PeerMessage, now_ms: int) -> list[Action]:
        """Handle a RevisionOffer, RevisionRequest or RevisionDocument; ignore other messages."""
        if isinstance(message, RevisionOffer):
            return self._compare_revision(sender, message.revision, message.digest, now_ms)
        if isinstance(message, RevisionRequest):
            return self._on_request(sender, message, now_ms)
        if isinstance(message, RevisionDocument):
            return self._on_document(message.document, sender, now_ms) + self._restore(now_ms)
        return []

    def next_deadline_ms(self) -> int | None:
        """Return when ``on_timer`` is to be called next."""
        deadlines = (
            self._lease.next_deadline_ms(),
            self._store_sync.next_deadline_ms(),
            self._incoming.next_deadline_ms(),
            self._outgoing.next_deadline_ms(),
            self._next_initial_request_ms,
            self._next_view_ms,
        )
        return min((each for each in deadlines if each is not None), default=None)

    def on_timer(self, now_ms: int) -> list[Action]:
        """Renew the lease, start or stop the watch, and continue transfers."""
        actions: list[Action] = []
        if (
            self._view is not None
            and self._next_view_ms is not None
            and now_ms >= self._next_view_ms
        ):
            actions += self._apply_view(self._view, now_ms)
        actions += self._lease.on_timer(now_ms)
        actions += self._update_watch(now_ms)
        actions += self._store_sync.on_timer(now_ms)
        actions += self._restore(now_ms)
        self._request_initial_document(now_ms)
        actions += self._incoming.on_timer(self.revision(), now_ms)
        actions += self._outgoing.on_timer(self._document, now_ms)
        return actions

    def _is_leaving(self, view: MembershipView) -> bool:
        own = view.find(self._host)
        return own is not None and own.state == MemberState.LEAVING

    def _watcher_rank(self, view: MembershipView) -> int:
        """Return the rank of this host among the live hosts of its domain, by watcher weight."""
        domain_members = [m for m in view.members if m.failure_domain == self._failure_domain]
        alive = {m.host for m in domain_members if m.state == MemberState.ALIVE} | {self._host}
        return sorted(alive, key=self._watcher_weight).index(self._host)

    def _watcher_weight(self, host: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{self._failure_domain}/{host}".encode()), host

    def _update_watch(self, now_ms: int) -> list[Action]:
        return self._store_sync.set_watching(self._lease.holds(now_ms), now_ms)

    def _restore(self, now_ms: int) -> list[Action]:
        if self._document is None or not self._lease.holds(now_ms):
            return []
        return self._store_sync.restore_if_older(
            self._document, self._lease.fencing_version or 0, now_ms
        )

    def _compare_revision(
        self, sender: str, revision: int, digest: str, now_ms: int
    ) -> list[Action]:
        if revision > self.revision():
            self._incoming.add_source(sender, revision, now_ms)
            return []
        self._incoming.on_declined(sender, now_ms)
        if revision < self.revision():
            return [self._revision_offer(sender)]
        if self._document is not None and not digests_match(digest, self._document["digest"]):
            return self._report_conflict(sender)
        return []

    def _revision_offer(self, host: str) -> Action:
        digest = "" if self._document is None else self._document["digest"]
        return SendToPeer(host, RevisionOffer(self.revision(), digest))

    def _on_request(self, sender: str, message: RevisionRequest, now_ms: int) -> list[Action]:
        if message.known_revision >= self.revision():
            # Lets the requesting host try another source at once.
            return [self._revision_offer(sender)]
        self._outgoing.enqueue(sender, now_ms)
        return self._outgoing.on_timer(self._document, now_ms)

    def _on_document(self, document: Document, source: str, now_ms: int) -> list[Action]:
        if not _is_usable(document):
            return [Log("convergence", "warning", f"document from {source} refused: not usable")]
        if document["revision"] > self.revision():
            return self._adopt(document, source, now_ms)
        if self._document is None or document["revision"] < self.revision():
            return []
        if document["digest"] != self._document["digest"]:
            return self._report_conflict(source)
        return []

    def _adopt(self, document: Document, source: str, now_ms: int) -> list[Action]:
        self._document = document
        self._conflict = False
        self._next_initial_request_ms = None
        self._incoming.on_adopted(document["revision"], now_ms)
        text = f"revision {document['revision']} taken from {source}"
        actions: list[Action] = [Log("convergence", "info", text), ApplyDocument(document)]
        targets = list(self._local_domain_peers)
        self._random.shuffle(targets)
        return actions + [self._revision_offer(host) for host in targets[:OFFERS_PER_ADOPTION]]

    def _report_conflict(self, source: str) -> list[Action]:
        if self._conflict:
            return []
        self._conflict = True
        text = f"{source} has another document with revision {self.revision()}; own one kept"
        return [Log("convergence", "error", text)]

    def _request_initial_document(self, now_ms: int) -> None:
        """Add a random live peer as a source while this host has no document.

        Such a host does not know yet which peers have one.
        """
        if self._next_initial_request_ms is None or now_ms < self._next_initial_request_ms:
            return
        self._next_initial_request_ms = now_ms + INITIAL_REQUEST_INTERVAL_MS
        peers = self._local_domain_peers + self._other_domain_peers
        if peers:
            self._incoming.add_source(peers[self._random.randrange(len(peers))], 0, now_ms)


def _is_usable(document: Document) -> bool:
    if document["schema_version"] > DOCUMENT_SCHEMA_VERSION or document["revision"] < 1:
        return False
    return len(document["text"].encode()) <= MAX_DOCUMENT_BYTES
