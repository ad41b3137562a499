"""Transfers of the configuration document between entry hosts.

A host receives one document at a time and paces those that it sends.
"""

from __future__ import annotations

from redwingswitch._internal.models.actions import Action, SendToPeer
from redwingswitch._internal.models.configuration import Document
from redwingswitch._internal.models.messages import RevisionDocument, RevisionRequest
from redwingswitch._internal.ports import RandomSource

MAX_REQUEST_JITTER_MS = 150
# The timeout doubles with each attempt: a lost request or document is requested again soon, and a
# large document on a slow link not too often. With 2 s from the first attempt on, three losses in a
# row exceeded the convergence limit of 9 s.
MIN_TRANSFER_TIMEOUT_MS = 250
MAX_TRANSFER_TIMEOUT_MS = 2_000
# Applies to requests of a host without a document, whose peers may not have one either.
UNCERTAIN_SOURCE_TIMEOUT_MS = 500
MAX_SOURCES = 8
MAX_WAITING_HOSTS = 16
MIN_SEND_SPACING_MS = 20
SEND_BYTES_PER_MS = 10_000


class IncomingTransfer:
    """Requests a newer document from one source at a time, and tries another after a timeout."""

    def __init__(self, *, random_source: RandomSource) -> None:
        self._random = random_source
        self._sources: dict[str, int] = {}
        self._local_domain_peers: frozenset[str] = frozenset()
        self._requested_source: str | None = None
        self._attempts = 0
        self._next_ms: int | None = None

    def set_peers(self, *, local_domain: frozenset[str], known: frozenset[str]) -> None:
        """Remove sources that are not in ``known``; those in ``local_domain`` are preferred."""
        self._local_domain_peers = local_domain
        self._sources = {host: rev for host, rev in self._sources.items() if host in known}

    def add_source(self, source: str, revision: int, now_ms: int) -> None:
        """Add a source of ``revision``, or of an unknown one if that is 0."""
        if source not in self._sources and len(self._sources) >= MAX_SOURCES:
            return
        self._sources[source] = revision
        if self._next_ms is None:
            self._next_ms = self._jittered_ms(now_ms)

    def on_adopted(self, revision: int, now_ms: int) -> None:
        """Remove the sources that have nothing newer than ``revision``."""
        self._sources = {host: rev for host, rev in self._sources.items() if rev > revision}
        self._requested_source = None
        self._attempts = 0
        self._next_ms = self._jittered_ms(now_ms) if self._sources else None

    def on_declined(self, source: str, now_ms: int) -> None:
        """Remove a source that has nothing newer; request from another one if it was asked."""
        self._sources.pop(source, None)
        if self._requested_source == source:
            self._requested_source = None
            self._next_ms = self._jittered_ms(now_ms) if self._sources else None

    def next_deadline_ms(self) -> int | None:
        """Return when the next request is due, or None."""
        return self._next_ms

    def on_timer(self, known_revision: int, now_ms: int) -> list[Action]:
        """Send a due request, to another source if the last one has timed out."""
        if self._next_ms is None or now_ms < self._next_ms:
            return []
        if self._requested_source is not None and len(self._sources) > 1:
            self._sources.pop(self._requested_source, None)
        self._requested_source = self._choose_source()
        if self._requested_source is None:
            self._next_ms = None
            return []
        known_to_have = self._sources[self._requested_source] > known_revision
        wait_ms = self._next_transfer_timeout_ms() if known_to_have else UNCERTAIN_SOURCE_TIMEOUT_MS
        self._next_ms = self._jittered_ms(now_ms) + wait_ms
        return [SendToPeer(self._requested_source, RevisionRequest(known_revision))]

    def _next_transfer_timeout_ms(self) -> int:
        self._attempts += 1
        return min(MAX_TRANSFER_TIMEOUT_MS, MIN_TRANSFER_TIMEOUT_MS << min(self._attempts - 1, 8))

    def _jittered_ms(self, now_ms: int) -> int:
        return now_ms + self._random.randrange(MAX_REQUEST_JITTER_MS)

    def _choose_source(self) -> str | None:
        if not self._sources:
            return None
        newest = max(self._sources.values())
        best = sorted(host for host, revision in self._sources.items() if revision == newest)
        preferred = [host for host in best if host in self._local_domain_peers] or best
        return preferred[self._random.randrange(len(preferred))]


class OutgoingTransfers:
    """Sends the document to the hosts that requested it, spaced by its size."""

    def __init__(self) -> None:
        self._waiting: list[str] = []
        self._next_ms: int | None = None

    def enqueue(self, host: str, now_ms: int) -> None:
        """Queue a host, unless the queue is full; the host repeats its request after a timeout."""
        if host in self._waiting or len(self._waiting) >= MAX_WAITING_HOSTS:
            return
        self._waiting.append(host)
        self._next_ms = max(now_ms, self._next_ms or now_ms)

    def next_deadline_ms(self) -> int | None:
        """Return when the next document may be sent, or None."""
        return self._next_ms if self._waiting else None

    def on_timer(self, document: Document | None, now_ms: int) -> list[Action]:
        """Send the document to the next host."""
        if not self._waiting or document is None:
            return []
        if self._next_ms is not None and now_ms < self._next_ms:
            return []
        spacing_ms = MIN_SEND_SPACING_MS + len(document["text"]) // SEND_BYTES_PER_MS
        self._next_ms = now_ms + spacing_ms
        return [SendToPeer(self._waiting.pop(0), RevisionDocument(document))]
